//! The scheduler owns the picker, the tenants' concurrency shares and the retry budget, and handles a queue of
//! commands on a thread of its own. What a request takes from it is held by guards, which release it exactly once
//! however the request ends.

use crate::prelude::*;

/// How many commands may wait.
const QUEUE_CAPACITY: usize = 8192;

/// A command to the scheduler.
pub enum SchedulerCommand {
    /// The fleet snapshot changed.
    FleetChanged,
    /// Take a concurrency slot for a tenant; the reply is false if its share is in use.
    Admit { tenant: TenantName, share: u64, reply: oneshot::Sender<bool> },
    /// Release a concurrency slot.
    Release { tenant: TenantName },
    /// Pick an engine and begin an attempt there.
    Pick { prompt: Box<Prompt>, is_retry: bool, reply: oneshot::Sender<Picked> },
    /// End an attempt, which occupied this many blocks.
    EndAttempt { engine: EngineName, blocks: BlockCount },
    /// An engine has cached these blocks.
    RecordCached { engine: EngineName, names: Vec<BlockHash> },
    /// An attempt at an engine failed.
    RecordFault { engine: EngineName },
    /// An engine refused an attempt because it does not hold the adapter.
    RecordCold { engine: EngineName, adapter: AdapterId },
    /// Return the position up to which an engine's cache events are known; `None` if a snapshot is needed.
    EventPosition { engine: EngineName, reply: oneshot::Sender<Option<EventCursor>> },
    /// Replace an engine's known blocks.
    ApplySnapshot { engine: EngineName, snapshot: CacheSnapshot, names: Vec<BlockHash>, requested_at: Instant },
    /// Apply an engine's cache events; the reply is false if they do not follow the known ones.
    ApplyEvents {
        engine: EngineName,
        batch: EventBatch,
        events: Vec<CacheEvent>,
        requested_at: Instant,
        reply: oneshot::Sender<bool>,
    },
    /// An engine reported this many running requests.
    RecordRunningCount { engine: EngineName, running: u64, requested_at: Instant },
}

/// The outcome of a pick.
pub enum Picked {
    /// The engine picked, with what the pick was based on.
    Placed(Box<Placement>),
    /// No engine qualifies.
    NoEngine,
    /// Engines serve the model, but none holds the adapter warm.
    NoAdapter,
    /// A retry would exceed the retry budget.
    NoBudget,
}

/// Sends commands to the scheduler. Requests are refused while its queue is full.
#[derive(Clone)]
pub struct SchedulerHandle {
    queue: Sender<SchedulerCommand>,
}

impl SchedulerHandle {
    /// Sends a command that needs no reply; waits while the queue is full.
    pub fn tell(&self, command: SchedulerCommand) {
        let _ = self.queue.send(command);
    }

    /// Sends a command and awaits its reply; `None` if the queue is full.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> SchedulerCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.try_send(command(reply)).ok()?;
        answer.await.ok()
    }
}

/// A tenant's concurrency slot, released when dropped.
pub struct ConcurrencySlot {
    scheduler: SchedulerHandle,
    tenant: TenantName,
}

impl Drop for ConcurrencySlot {
    fn drop(&mut self) {
        self.scheduler.tell(SchedulerCommand::Release { tenant: self.tenant.clone() });
    }
}

/// The blocks that an attempt occupies at its engine, released when dropped.
pub struct OccupancyGuard {
    scheduler: SchedulerHandle,
    /// The engine of the attempt.
    pub engine: EngineName,
    blocks: BlockCount,
}

impl Drop for OccupancyGuard {
    fn drop(&mut self) {
        self.scheduler.tell(SchedulerCommand::EndAttempt { engine: self.engine.clone(), blocks: self.blocks });
    }
}

impl SchedulerHandle {
    /// Takes a concurrency slot. The outer `None` means that the queue is full, the inner one that the tenant's
    /// share is in use.
    pub async fn admit(&self, tenant: &TenantName, share: u64) -> Option<Option<ConcurrencySlot>> {
        let admitted = self.ask(|reply| SchedulerCommand::Admit { tenant: tenant.clone(), share, reply }).await?;
        Some(admitted.then(|| ConcurrencySlot { scheduler: self.clone(), tenant: tenant.clone() }))
    }

    /// Picks an engine; `None` if the queue is full. The guard ends the attempt.
    pub async fn pick(&self, prompt: Prompt, is_retry: bool) -> Option<(Picked, Option<OccupancyGuard>)> {
        let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
        let picked = self.ask(|reply| SchedulerCommand::Pick { prompt: Box::new(prompt), is_retry, reply }).await?;
        let occupancy = match &picked {
            Picked::Placed(placement) => {
                Some(OccupancyGuard { scheduler: self.clone(), engine: placement.chosen.engine.clone(), blocks })
            }
            _ => None,
        };
        Some((picked, occupancy))
    }
}

/// Starts the scheduler's thread.
pub fn start_scheduler(router: NodeId, zone: Zone, shared: Arc<SharedState>) -> SchedulerHandle {
    let (queue, commands) = bounded_queue::<SchedulerCommand>(QUEUE_CAPACITY);
    spawn_thread("table", move || {
        let mut scheduler = Scheduler {
            picker: Picker::new(router, zone),
            shares: ConcurrencyShares::default(),
            budget: RetryBudget::default(),
            shared,
        };
        while let Ok(command) = commands.recv() {
            scheduler.handle(command);
        }
    });
    SchedulerHandle { queue }
}

struct Scheduler {
    picker: Picker,
    shares: ConcurrencyShares,
    budget: RetryBudget,
    shared: Arc<SharedState>,
}

impl Scheduler {
    fn handle(&mut self, command: SchedulerCommand) {
        let now = boot_now();
        match command {
            SchedulerCommand::FleetChanged => self.picker.retain_listed(&self.shared.snapshot()),
            SchedulerCommand::Admit { tenant, share, reply } => {
                let admitted = self.shares.try_acquire(&tenant, share);
                if reply.send(admitted).is_err() && admitted {
                    self.shares.release(&tenant);
                }
            }
            SchedulerCommand::Release { tenant } => self.shares.release(&tenant),
            SchedulerCommand::Pick { prompt, is_retry, reply } => {
                let picked = self.pick(&prompt, is_retry, now);
                if let Err(Picked::Placed(placement)) = reply.send(picked) {
                    let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
                    self.picker.end_attempt(&placement.chosen.engine, blocks);
                }
            }
            SchedulerCommand::EndAttempt { engine, blocks } => self.picker.end_attempt(&engine, blocks),
            SchedulerCommand::RecordCached { engine, names } => self.picker.record_cached(&engine, &names, now),
            SchedulerCommand::RecordFault { engine } => self.picker.record_fault(&engine, now),
            SchedulerCommand::RecordCold { engine, adapter } => self.picker.record_cold(&engine, &adapter, now),
            SchedulerCommand::EventPosition { engine, reply } => {
                let _ = reply.send(self.picker.event_position(&engine));
            }
            SchedulerCommand::ApplySnapshot { engine, snapshot, names, requested_at } => {
                self.picker.apply_snapshot(&engine, &snapshot.boot, snapshot.next, names, requested_at);
            }
            SchedulerCommand::ApplyEvents { engine, batch, events, requested_at, reply } => {
                let followed = self.picker.apply_events(&engine, &batch.boot, batch.first, &events, requested_at);
                let _ = reply.send(followed);
            }
            SchedulerCommand::RecordRunningCount { engine, running, requested_at } => {
                self.picker.record_running_count(&engine, running, requested_at)
            }
        }
    }

    fn pick(&mut self, prompt: &Prompt, is_retry: bool, now: Instant) -> Picked {
        let snapshot = self.shared.snapshot();
        let Some(placement) = self.picker.pick(&snapshot, prompt, now) else {
            return explain_no_placement(&snapshot, prompt, now);
        };
        if is_retry {
            if !self.budget.try_withdraw() {
                return Picked::NoBudget;
            }
            Counts::add(&self.shared.counts.retries, 1);
        } else {
            self.budget.deposit(snapshot.state.desired.routing.retry_percent);
        }
        Counts::add(&self.shared.counts.attempts, 1);
        let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
        self.picker.begin_attempt(&placement.chosen.engine, blocks);
        Picked::Placed(Box::new(placement))
    }
}

/// Why no engine qualifies.
fn explain_no_placement(snapshot: &FleetSnapshot, prompt: &Prompt, now: Instant) -> Picked {
    let is_cold = prompt.adapter.as_ref().is_some_and(|adapter| !snapshot.is_warm_anywhere(adapter, now));
    if is_cold { Picked::NoAdapter } else { Picked::NoEngine }
}
