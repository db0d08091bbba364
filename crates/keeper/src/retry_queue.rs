//! What a keeper does while its disk refuses, full or failing: it waits and tries again, for as long as it
//! takes. Meanwhile it takes in what others say, lest they stand still, keeps it for a while, and then drops
//! what they say again anyway. It ends when told to, or when the folder turns out to be damaged.

use crate::prelude::*;

const MIN_RETRY_DELAY: Span = Span::millis(100);
const MAX_RETRY_DELAY: Span = Span::millis(500);
/// What was said longer ago has been said again, or no longer matters: by then this keeper is taken for lost.
pub const STALE_AFTER: Span = SUSPECT_TIMEOUT;
const MAX_BUFFERED_COMMANDS: usize = 4096;

pub struct RetryQueue {
    queue: Receiver<ExecutorCommand>,
    /// Taken in while waiting, in order.
    buffered: Vec<ExecutorCommand>,
    /// Links of agents that arrived while waiting and were closed, until their end is told.
    closed_agents: BTreeSet<LinkId>,
}

impl RetryQueue {
    pub fn new(queue: Receiver<ExecutorCommand>) -> RetryQueue {
        RetryQueue { queue, buffered: Vec::new(), closed_agents: BTreeSet::new() }
    }

    /// The next commands, after waiting at most so long for one; nothing if all senders left.
    pub fn next_batch(&mut self, timeout: Duration, max: usize) -> Option<Vec<ExecutorCommand>> {
        match self.buffered.is_empty() {
            true => receive_batch(&self.queue, timeout, max),
            false => Some(std::mem::take(&mut self.buffered)),
        }
    }

    /// Does what needs the disk, again and again while the disk refuses. At each refusal `refused` is told for
    /// how long by now. Nothing if told to stop meanwhile.
    pub fn run_with_retry<T>(
        &mut self,
        mut attempt: impl FnMut() -> Result<T, DiskFault>,
        mut on_refusal: impl FnMut(Span),
    ) -> Result<Option<T>, DiskFault> {
        let mut refused_since = None;
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let fault = match attempt() {
                Ok(done) => {
                    if let Some(refused_since) = refused_since {
                        event!(info, "disk_takes_again", millis = boot_now().since(refused_since).as_millis());
                    }
                    return Ok(Some(done));
                }
                Err(fault) => fault,
            };
            if !fault.may_pass {
                return Err(fault);
            }
            if refused_since.is_none() {
                event!(error, "disk_refuses", reason = fault);
            }
            let since = *refused_since.get_or_insert_with(boot_now);
            on_refusal(boot_now().since(since));
            if !self.receive_during(delay, since) {
                return Ok(None);
            }
            delay = delay.times(2).min(MAX_RETRY_DELAY);
        }
    }

    /// Takes in commands for a while; false once one tells to stop.
    fn receive_during(&mut self, delay: Span, since: Instant) -> bool {
        let until = boot_now() + delay;
        loop {
            let now = boot_now();
            let Some(commands) = receive_batch(&self.queue, until.since(now).as_duration(), MAX_BUFFERED_COMMANDS)
            else {
                return false;
            };
            if commands.iter().any(|command| matches!(command, ExecutorCommand::Stop)) {
                return false;
            }
            self.buffered.extend(commands);
            if now.since(since) >= STALE_AFTER || self.buffered.len() > MAX_BUFFERED_COMMANDS {
                self.drop_stale();
            }
            if now >= until {
                return true;
            }
        }
    }

    /// Keeps which links are up, and seeds. Whoever asked something is told that nothing is known, and agents
    /// that arrive find another keeper sooner.
    fn drop_stale(&mut self) {
        let ended: BTreeSet<LinkId> = self.buffered.iter().filter_map(ended_link).collect();
        let mut opened: BTreeSet<LinkId> = BTreeSet::new();
        let closed_agents = &mut self.closed_agents;
        self.buffered.retain(|command| match command {
            ExecutorCommand::Link(LinkEvent::Up(link, hello)) => {
                opened.insert(link.id);
                let has_ended = ended.contains(&link.id);
                if hello.purpose == Purpose::Agent && !has_ended {
                    link.close();
                    closed_agents.insert(link.id);
                }
                hello.purpose != Purpose::Agent && !has_ended
            }
            ExecutorCommand::Link(LinkEvent::Down(id, _)) => !opened.contains(id) && !closed_agents.remove(id),
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
