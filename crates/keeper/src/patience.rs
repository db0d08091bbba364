//! What a keeper does while its disk refuses, full or failing: it waits and tries again, for as long as it
//! takes. Meanwhile it takes in what others say, lest they stand still, keeps it for a while, and then drops
//! what they say again anyway. It ends when told to, or when the folder turns out to be damaged.

use crate::prelude::*;

const SHORTEST_PAUSE: Span = Span::millis(100);
const LONGEST_PAUSE: Span = Span::millis(500);
/// What was said longer ago has been said again, or no longer matters: by then this keeper is taken for lost.
pub const STALE_AFTER: Span = SUSPECT_TIMEOUT;
const MOST_HELD: usize = 4096;

pub struct Patience {
    queue: Receiver<ExecutorCommand>,
    /// Taken in while waiting, in order.
    held: Vec<ExecutorCommand>,
    /// Links of agents that arrived while waiting and were closed, until their end is told.
    closed: BTreeSet<LinkId>,
}

impl Patience {
    pub fn new(queue: Receiver<ExecutorCommand>) -> Patience {
        Patience { queue, held: Vec::new(), closed: BTreeSet::new() }
    }

    /// The next commands, after waiting at most so long for one; nothing if all senders left.
    pub fn next(&mut self, span: Duration, most: usize) -> Option<Vec<ExecutorCommand>> {
        match self.held.is_empty() {
            true => receive_batch(&self.queue, span, most),
            false => Some(std::mem::take(&mut self.held)),
        }
    }

    /// Does what needs the disk, again and again while the disk refuses. At each refusal `refused` is told for
    /// how long by now. Nothing if told to stop meanwhile.
    pub fn insist<T>(
        &mut self,
        mut attempt: impl FnMut() -> Result<T, DiskFault>,
        mut refused: impl FnMut(Span),
    ) -> Result<Option<T>, DiskFault> {
        let mut began = None;
        let mut pause = SHORTEST_PAUSE;
        loop {
            let fault = match attempt() {
                Ok(done) => {
                    if let Some(began) = began {
                        event!(info, "disk_takes_again", millis = boot_now().since(began).as_millis());
                    }
                    return Ok(Some(done));
                }
                Err(fault) => fault,
            };
            if !fault.is_transient {
                return Err(fault);
            }
            if began.is_none() {
                event!(error, "disk_refuses", reason = fault);
            }
            let since = *began.get_or_insert_with(boot_now);
            refused(boot_now().since(since));
            if !self.sit_out(pause, since) {
                return Ok(None);
            }
            pause = pause.times(2).min(LONGEST_PAUSE);
        }
    }

    /// Takes in commands for a while; false once one tells to stop.
    fn sit_out(&mut self, pause: Span, since: Instant) -> bool {
        let until = boot_now() + pause;
        loop {
            let now = boot_now();
            let Some(commands) = receive_batch(&self.queue, until.since(now).as_duration(), MOST_HELD) else {
                return false;
            };
            if commands.iter().any(|command| matches!(command, ExecutorCommand::Stop)) {
                return false;
            }
            self.held.extend(commands);
            if now.since(since) >= STALE_AFTER || self.held.len() > MOST_HELD {
                self.forget_stale();
            }
            if now >= until {
                return true;
            }
        }
    }

    /// Keeps which links are up, and seeds. Whoever asked something is told that nothing is known, and agents
    /// that arrive find another keeper sooner.
    fn forget_stale(&mut self) {
        let ended: BTreeSet<LinkId> = self.held.iter().filter_map(ended_link).collect();
        let mut begun: BTreeSet<LinkId> = BTreeSet::new();
        let closed = &mut self.closed;
        self.held.retain(|command| match command {
            ExecutorCommand::Link(LinkEvent::Up(link, hello)) => {
                begun.insert(link.id);
                let has_ended = ended.contains(&link.id);
                if hello.purpose == Purpose::Agent && !has_ended {
                    link.close();
                    closed.insert(link.id);
                }
                hello.purpose != Purpose::Agent && !has_ended
            }
            ExecutorCommand::Link(LinkEvent::Down(id, _)) => !begun.contains(id) && !closed.remove(id),
            ExecutorCommand::Seeds(_) => true,
            _ => false,
        });
    }
}

fn ended_link(command: &ExecutorCommand) -> Option<LinkId> {
    match command {
        ExecutorCommand::Link(LinkEvent::Down(id, _)) => Some(*id),
        _ => None,
    }
}
