//! The scheduler: the one owner of the picker, the tenant shares and the retry budget, working through a
//! queue of commands on a thread of its own. What is taken from it comes back by guards that give it
//! up exactly once, however a request ends.

use crate::prelude::*;

pub enum SchedulerCommand {
    /// The fleet changed.
    FleetChanged,
    Admit {
        tenant: TenantName,
        share: u64,
        reply: oneshot::Sender<bool>,
    },
    Release {
        tenant: TenantName,
    },
    Pick {
        prompt: Box<Prompt>,
        is_retry: bool,
        reply: oneshot::Sender<Picked>,
    },
    EndAttempt {
        engine: EngineName,
        blocks: BlockCount,
    },
    RecordKept {
        engine: EngineName,
        names: Vec<BlockHash>,
    },
    RecordFault {
        engine: EngineName,
    },
    /// An engine refused a request, as it does not hold its adapter.
    RecordCold {
        engine: EngineName,
        adapter: AdapterId,
    },
    EventPosition {
        engine: EngineName,
        reply: oneshot::Sender<Option<EventCursor>>,
    },
    ApplySnapshot {
        engine: EngineName,
        snapshot: CacheSnapshot,
        names: Vec<BlockHash>,
        requested_at: Instant,
    },
    ApplyEvents {
        engine: EngineName,
        batch: EventBatch,
        events: Vec<CacheEvent>,
        requested_at: Instant,
        reply: oneshot::Sender<bool>,
    },
    RecordRunningCount {
        engine: EngineName,
        running: u64,
        requested_at: Instant,
    },
}

pub enum Picked {
    Placed(Box<Placement>),
    /// No engine passes now.
    NoEngine,
    /// Engines pass, but none holds the adapter warm.
    NoAdapter,
    /// A second attempt would go over the retry budget.
    NoBudget,
}

/// The way to the scheduler. A full ring is an answer of its own: the caller is turned away.
#[derive(Clone)]
pub struct SchedulerHandle {
    queue: Sender<SchedulerCommand>,
}

impl SchedulerHandle {
    pub fn tell(&self, command: SchedulerCommand) {
        let _ = self.queue.send(command);
    }

    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> SchedulerCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.try_send(command(reply)).ok()?;
        answer.await.ok()
    }
}

/// A tenant's slot, given back when dropped.
pub struct ConcurrencySlot {
    scheduler: SchedulerHandle,
    tenant: TenantName,
}

impl Drop for ConcurrencySlot {
    fn drop(&mut self) {
        self.scheduler.tell(SchedulerCommand::Release { tenant: self.tenant.clone() });
    }
}

/// An attempt's occupancy, given back when dropped.
pub struct OccupancyGuard {
    scheduler: SchedulerHandle,
    pub engine: EngineName,
    blocks: BlockCount,
}

impl Drop for OccupancyGuard {
    fn drop(&mut self) {
        self.scheduler.tell(SchedulerCommand::EndAttempt { engine: self.engine.clone(), blocks: self.blocks });
    }
}

impl SchedulerHandle {
    pub async fn admit(&self, tenant: &TenantName, share: u64) -> Option<Option<ConcurrencySlot>> {
        let admitted = self.ask(|reply| SchedulerCommand::Admit { tenant: tenant.clone(), share, reply }).await?;
        Some(admitted.then(|| ConcurrencySlot { scheduler: self.clone(), tenant: tenant.clone() }))
    }

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

pub fn start_scheduler(router: NodeId, zone: Zone, shared: Arc<SharedState>) -> SchedulerHandle {
    let (queue, commands) = bounded_queue::<SchedulerCommand>(8192);
    spawn_thread("table", move || {
        let mut scheduler = Scheduler {
            picker: Picker::new(router, zone),
            shares: ConcurrencyShares::default(),
            budget: RetryBudget::default(),
            shared,
        };
        while let Ok(command) = commands.recv() {
            scheduler.take(command);
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
    fn take(&mut self, command: SchedulerCommand) {
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
            SchedulerCommand::RecordKept { engine, names } => self.picker.record_kept(&engine, &names, now),
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

/// Why no engine passes.
fn explain_no_placement(snapshot: &FleetSnapshot, prompt: &Prompt, now: Instant) -> Picked {
    let is_cold = prompt.adapter.as_ref().is_some_and(|adapter| !snapshot.is_warm_anywhere(adapter, now));
    if is_cold { Picked::NoAdapter } else { Picked::NoEngine }
}
