//! The executor's command queue, with retries of disk operations while the disk is full or failing. Retries go on
//! without limit. Meanwhile commands are received, so that their senders do not block, and buffered; after a while
//! those that senders repeat anyway are dropped. Retrying ends on a stop command or if the folder is damaged.

use crate::prelude::*;

const MIN_RETRY_DELAY: Span = Span::millis(100);
const MAX_RETRY_DELAY: Span = Span::millis(500);
/// Older commands are repeated by their senders or no longer matter, because the others suspect this keeper by then.
pub const STALE_AFTER: Span = SUSPECT_TIMEOUT;
const MAX_BUFFERED_COMMANDS: usize = 4096;

/// A queue of commands that keeps receiving while a disk operation is retried.
pub struct RetryQueue {
    queue: Receiver<ExecutorCommand>,
    /// Commands received while waiting, in order.
    buffered: Vec<ExecutorCommand>,
    /// Links of agents that were closed while waiting and whose `Down` event has not arrived yet.
    closed_agents: BTreeSet<LinkId>,
}

impl RetryQueue {
    pub fn new(queue: Receiver<ExecutorCommand>) -> RetryQueue {
        RetryQueue { queue, buffered: Vec::new(), closed_agents: BTreeSet::new() }
    }

    /// The next commands, waiting at most `timeout` for the first one; `None` if all senders are gone.
    pub fn next_batch(&mut self, timeout: Duration, max: usize) -> Option<Vec<ExecutorCommand>> {
        match self.buffered.is_empty() {
            true => receive_batch(&self.queue, timeout, max),
            false => Some(std::mem::take(&mut self.buffered)),
        }
    }

    /// Runs a disk operation and repeats it while the disk refuses. `on_refusal` gets the time since the first
    /// refusal. Returns `None` if a stop command arrives meanwhile.
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
            if !fault.is_transient {
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

    /// Buffers commands during the delay; false if one of them is a stop command.
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

    /// Drops all buffered commands but seeds and the state of links. Dropped queries are answered as unknown. New
    /// links of agents are closed, so that the agents try another keeper sooner.
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
