//! The table: the one owner of the picker, the tenant shares and the retry budget, working through a
//! queue of commands on a thread of its own. What is taken from it comes back by guards that give it
//! up exactly once, however a request ends.

use crate::prelude::*;

pub enum TableCommand {
    /// The fleet changed.
    Fleet,
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
    Kept {
        engine: EngineName,
        names: Vec<BlockHash>,
    },
    Fault {
        engine: EngineName,
    },
    /// An engine refused a request, as it does not hold its adapter.
    Cold {
        engine: EngineName,
        adapter: AdapterId,
    },
    Place {
        engine: EngineName,
        reply: oneshot::Sender<Option<EventCursor>>,
    },
    Snapshot {
        engine: EngineName,
        snapshot: CacheSnapshot,
        names: Vec<BlockHash>,
        asked: Instant,
    },
    Events {
        engine: EngineName,
        batch: EventBatch,
        events: Vec<CacheEvent>,
        asked: Instant,
        reply: oneshot::Sender<bool>,
    },
    Count {
        engine: EngineName,
        running: u64,
        asked: Instant,
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

/// The way to the table. A full ring is an answer of its own: the caller is turned away.
#[derive(Clone)]
pub struct TableAsker {
    queue: Sender<TableCommand>,
}

impl TableAsker {
    pub fn tell(&self, command: TableCommand) {
        let _ = self.queue.send(command);
    }

    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> TableCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.try_send(command(reply)).ok()?;
        answer.await.ok()
    }
}

/// A tenant's seat, given back when dropped.
pub struct Seat {
    table: TableAsker,
    tenant: TenantName,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.table.tell(TableCommand::Release { tenant: self.tenant.clone() });
    }
}

/// An attempt's occupancy, given back when dropped.
pub struct AttemptPlace {
    table: TableAsker,
    pub engine: EngineName,
    blocks: BlockCount,
}

impl Drop for AttemptPlace {
    fn drop(&mut self) {
        self.table.tell(TableCommand::EndAttempt { engine: self.engine.clone(), blocks: self.blocks });
    }
}

impl TableAsker {
    pub async fn admit(&self, tenant: &TenantName, share: u64) -> Option<Option<Seat>> {
        let admitted = self.ask(|reply| TableCommand::Admit { tenant: tenant.clone(), share, reply }).await?;
        Some(admitted.then(|| Seat { table: self.clone(), tenant: tenant.clone() }))
    }

    pub async fn pick(&self, prompt: Prompt, is_retry: bool) -> Option<(Picked, Option<AttemptPlace>)> {
        let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
        let picked = self.ask(|reply| TableCommand::Pick { prompt: Box::new(prompt), is_retry, reply }).await?;
        let place = match &picked {
            Picked::Placed(placement) => {
                Some(AttemptPlace { table: self.clone(), engine: placement.chosen.engine.clone(), blocks })
            }
            _ => None,
        };
        Some((picked, place))
    }
}

pub fn start_table(router: NodeId, zone: Zone, shared: Arc<SharedState>) -> TableAsker {
    let (queue, commands) = bounded_queue::<TableCommand>(8192);
    spawn_thread("table", move || {
        let mut table = Table {
            picker: Picker::new(router, zone),
            shares: ConcurrencyShares::default(),
            budget: RetryBudget::default(),
            shared,
        };
        while let Ok(command) = commands.recv() {
            table.take(command);
        }
    });
    TableAsker { queue }
}

struct Table {
    picker: Picker,
    shares: ConcurrencyShares,
    budget: RetryBudget,
    shared: Arc<SharedState>,
}

impl Table {
    fn take(&mut self, command: TableCommand) {
        let now = boot_now();
        match command {
            TableCommand::Fleet => self.picker.retain_listed(&self.shared.snapshot()),
            TableCommand::Admit { tenant, share, reply } => {
                let admitted = self.shares.try_acquire(&tenant, share);
                if reply.send(admitted).is_err() && admitted {
                    self.shares.release(&tenant);
                }
            }
            TableCommand::Release { tenant } => self.shares.release(&tenant),
            TableCommand::Pick { prompt, is_retry, reply } => {
                let picked = self.pick(&prompt, is_retry, now);
                if let Err(Picked::Placed(placement)) = reply.send(picked) {
                    let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
                    self.picker.end_attempt(&placement.chosen.engine, blocks);
                }
            }
            TableCommand::EndAttempt { engine, blocks } => self.picker.end_attempt(&engine, blocks),
            TableCommand::Kept { engine, names } => self.picker.record_kept(&engine, &names, now),
            TableCommand::Fault { engine } => self.picker.record_fault(&engine, now),
            TableCommand::Cold { engine, adapter } => self.picker.record_cold(&engine, &adapter, now),
            TableCommand::Place { engine, reply } => {
                let _ = reply.send(self.picker.event_position(&engine));
            }
            TableCommand::Snapshot { engine, snapshot, names, asked } => {
                self.picker.apply_snapshot(&engine, &snapshot.boot, snapshot.next, names, asked);
            }
            TableCommand::Events { engine, batch, events, asked, reply } => {
                let followed = self.picker.apply_events(&engine, &batch.boot, batch.first, &events, asked);
                let _ = reply.send(followed);
            }
            TableCommand::Count { engine, running, asked } => {
                self.picker.record_running_count(&engine, running, asked)
            }
        }
    }

    fn pick(&mut self, prompt: &Prompt, is_retry: bool, now: Instant) -> Picked {
        let sight = self.shared.snapshot();
        let Some(placement) = self.picker.pick(&sight, prompt, now) else {
            return unplaced(&sight, prompt, now);
        };
        if is_retry {
            if !self.budget.try_withdraw() {
                return Picked::NoBudget;
            }
            Counts::add(&self.shared.counts.retries, 1);
        } else {
            self.budget.deposit(sight.state.desired.routing.retry_percent);
        }
        Counts::add(&self.shared.counts.attempts, 1);
        let blocks = BlockCount(prompt.blocks.0 + prompt.output_blocks.0);
        self.picker.begin_attempt(&placement.chosen.engine, blocks);
        Picked::Placed(Box::new(placement))
    }
}

/// Why no engine passes.
fn unplaced(sight: &FleetSnapshot, prompt: &Prompt, now: Instant) -> Picked {
    let is_cold = prompt.adapter.as_ref().is_some_and(|adapter| !sight.is_warm_anywhere(adapter, now));
    if is_cold { Picked::NoAdapter } else { Picked::NoEngine }
}
