//! The scheduler owns the selector and the retry budgets, and handles a queue of commands on a thread of its own.

use crate::prelude::*;

/// How many commands may wait.
const QUEUE_CAPACITY: usize = 8192;
/// The overlap weight if the desired state has no default policy.
const DEFAULT_OVERLAP_WEIGHT: f64 = 64.0;
/// The cost of fetching cached tokens, as a share of the cost of their prefill.
const FETCH_SHARE: f64 = 0.15;
/// A fetch may take as long as the prefill, as prefill occupies the engine's processor and a fetch does not.
const FETCH_MAX_TIME_SHARE: f64 = 1.0;
/// An engine is overloaded from this many times the average number of requests plus `OVERLOAD_BASE` on.
const OVERLOAD_FACTOR: f64 = 3.0;
const OVERLOAD_BASE: u64 = 6;
/// How many routers sample each engine on average: few, so that routers with the same information do not all
/// select the same engine.
const SAMPLES_PER_ENGINE: f64 = 2.0;
/// The maximum age of an engine's load that is sent to other routers.
const MAX_LOAD_AGE: Span = Span::millis(1500);
/// The cost that each recent failure adds to an engine: that of the prefill of 250 blocks, or 4000 tokens.
const RECENT_FAILURE_COST: f64 = DEFAULT_OVERLAP_WEIGHT * 250.0;
/// Of the shared parts without a known cached copy, the share that is expected at the prompt's home engine.
const HOME_AFFINITY_SHARE: f64 = 0.5;
/// The share of the allowed retries that is used.
const BUDGET_SHARE: f64 = 0.5;

/// The limits on the retries of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The retries allowed per request of a service.
    pub ratio: f64,
    /// The retries allowed in addition to that ratio.
    pub slack: f64,
}

impl Default for RetryBounds {
    fn default() -> RetryBounds {
        RetryBounds { ratio: 0.1, slack: 10.0 }
    }
}

/// A command to the scheduler.
pub enum SchedulerCommand {
    /// The fleet snapshot changed.
    FleetChanged,
    /// Selects an engine for an attempt.
    Select { request: Box<SelectRequest>, reply: oneshot::Sender<Selected> },
    /// A request ended; with `pending_prefill_tokens` if its response had not begun.
    EndAttempt { engine: EngineName, tokens: u64, pending_prefill_tokens: Option<u64> },
    /// A response began, so the engine has finished the prefill and caches the prompt's parts.
    ResponseBegan {
        engine: EngineName,
        parts: Vec<(PartName, u64)>,
        pending_prefill_tokens: Option<u64>,
        /// The engine's service, and the time from the engine's selection to the start of the response.
        service: ServiceName,
        waited: Span,
    },
    /// An engine reported its load.
    RecordLoad { engine: EngineName, load: EngineLoad },
    /// An attempt failed at an engine.
    RecordFault { engine: EngineName, kind: FaultKind },
    /// An engine rejected an attempt because it is full.
    RecordFull { engine: EngineName },
    /// Asks for the position from which to request a source's events; the reply is `None` if its full list is needed.
    EventPosition { source: EngineName, reply: oneshot::Sender<Option<SourcePosition>> },
    /// A batch of events of a source.
    ApplyEvents { source: EngineName, batch: PartBatch, received: Instant },
    /// The full list of a source.
    ApplyList { source: EngineName, list: PartList, received: Instant },
    /// A source is unreachable.
    Unreachable { source: EngineName },
    /// The sources that this router reads directly now.
    DirectSources(BTreeSet<EngineName>),
    /// Another router's query. Without changes the reply is `None`, unless `is_final`.
    RelayQuery { query: RelayQuery, is_final: bool, reply: oneshot::Sender<Option<RelayUpdate>> },
    /// Another router's update, which arrived at `arrived`.
    RelayUpdate { router: NodeId, update: RelayUpdate, arrived: Instant },
}

/// A request to select an engine.
pub struct SelectRequest {
    pub planned: Arc<PlannedRequest>,
    pub tried: Vec<EngineName>,
    /// Whether this is a retry, which is charged to the retry budget.
    pub is_retry: bool,
}

/// The result of a selection.
pub enum Selected {
    Chosen(Box<Chosen>),
    /// No engine can take the request now.
    Refused {
        retry_after: Span,
    },
    /// The retry would exceed the budget.
    NoBudget,
}

/// Sends commands to the scheduler. Requests are refused while its queue is full.
#[derive(Clone)]
pub struct SchedulerHandle {
    queue: Sender<SchedulerCommand>,
}

impl SchedulerHandle {
    /// Sends a command without a reply. Blocks the thread while the queue is full.
    pub fn tell(&self, command: SchedulerCommand) {
        let _ = self.queue.send(command);
    }

    /// Sends a command and waits for its reply; `None` if the queue is full.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> SchedulerCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.try_send(command(reply)).ok()?;
        answer.await.ok()
    }
}

/// A request's load on an engine; released when dropped.
pub struct EngineReservation {
    scheduler: SchedulerHandle,
    pub engine: EngineName,
    tokens: u64,
    /// The tokens of the prefill; `None` once the response has begun.
    pending_prefill_tokens: Option<u64>,
    began: Instant,
}

impl EngineReservation {
    pub fn new(
        scheduler: &SchedulerHandle,
        engine: EngineName,
        tokens: u64,
        pending_prefill_tokens: u64,
    ) -> EngineReservation {
        EngineReservation {
            scheduler: scheduler.clone(),
            engine,
            tokens,
            pending_prefill_tokens: Some(pending_prefill_tokens),
            began: boot_now(),
        }
    }

    /// The time since the engine was selected.
    pub fn age(&self) -> Span {
        boot_now().since(self.began)
    }

    /// Records that the response begins; returns the prefill tokens on the first call.
    pub fn begin_response(&mut self) -> Option<u64> {
        self.pending_prefill_tokens.take()
    }
}

impl Drop for EngineReservation {
    fn drop(&mut self) {
        let (engine, tokens, pending_prefill_tokens) =
            (self.engine.clone(), self.tokens, self.pending_prefill_tokens);
        self.scheduler.tell(SchedulerCommand::EndAttempt { engine, tokens, pending_prefill_tokens });
    }
}

/// Starts the scheduler's thread; also returns a receiver of the relay log's next number.
pub fn start_scheduler(
    node: NodeId,
    zone: Zone,
    shared: Arc<SharedState>,
    bounds: RetryBounds,
    disabled: DisabledMechanisms,
) -> (SchedulerHandle, tokio::sync::watch::Receiver<u64>) {
    let (queue, commands) = bounded_queue::<SchedulerCommand>(QUEUE_CAPACITY);
    let (changes, changes_receiver) = tokio::sync::watch::channel(0);
    spawn_thread("table", move || {
        let settings = SelectionSettings {
            fetch_share: FETCH_SHARE,
            home_affinity_share: HOME_AFFINITY_SHARE,
            fetch_min_tokens: BLOCK_TOKENS,
            fetch_max_time_share: FETCH_MAX_TIME_SHARE,
            pending_prefill_share: 1.0,
            limits_queue_wait: true,
            recent_failure_cost: RECENT_FAILURE_COST,
            overload_factor: Some(OVERLOAD_FACTOR),
            overload_base: OVERLOAD_BASE,
            samples_per_engine: Some(SAMPLES_PER_ENGINE),
            ..SelectionSettings::default()
        };
        let selector = Selector::with_settings(node, zone, disable_mechanisms(&disabled, settings));
        let mut scheduler = Scheduler {
            selector,
            budgets: HashMap::new(),
            bounds,
            disabled,
            shared,
            log: RelayLog::new(Incarnation::random().0),
            selections: 0,
            direct_sources: BTreeSet::new(),
            loads: BTreeMap::new(),
            changes,
        };
        while let Ok(command) = commands.recv() {
            scheduler.handle(command);
        }
    });
    (SchedulerHandle { queue }, changes_receiver)
}

struct Scheduler {
    selector: Selector,
    budgets: HashMap<ServiceName, RetryBudget>,
    bounds: RetryBounds,
    disabled: DisabledMechanisms,
    shared: Arc<SharedState>,
    log: RelayLog,
    /// The number of selections so far, which seeds the sampling.
    selections: u64,
    direct_sources: BTreeSet<EngineName>,
    /// The loads that engines reported to this router itself.
    loads: BTreeMap<EngineName, (EngineLoad, Instant)>,
    changes: tokio::sync::watch::Sender<u64>,
}

impl Scheduler {
    fn handle(&mut self, command: SchedulerCommand) {
        let now = boot_now();
        match command {
            SchedulerCommand::FleetChanged => self.update_fleet(),
            SchedulerCommand::Select { request, reply } => {
                let tokens = request.planned.head.prompt_tokens + request.planned.head.output_tokens;
                let selected = self.select(&request, now);
                if let Err(Selected::Chosen(chosen)) = reply.send(selected) {
                    self.end(&chosen.engine, tokens, Some(chosen.prefill_tokens));
                }
            }
            SchedulerCommand::EndAttempt { engine, tokens, pending_prefill_tokens } => {
                self.end(&engine, tokens, pending_prefill_tokens)
            }
            SchedulerCommand::ResponseBegan { engine, parts, pending_prefill_tokens, service, waited } => {
                if let Some(pending_prefill_tokens) = pending_prefill_tokens {
                    self.selector.end_prefill(&engine, pending_prefill_tokens);
                    self.selector.observe_prefill(&service, pending_prefill_tokens, waited);
                }
                self.selector.record_success(&engine, now);
                self.selector.record_sent(&engine, &parts, now);
            }
            SchedulerCommand::RecordLoad { engine, load } => {
                self.loads.insert(engine.clone(), (load, now));
                let EngineLoad { running, waiting, slots } = load;
                let load = selection::prelude::EngineLoad { running, waiting, slots };
                self.selector.record_load(&engine, load, now);
            }
            SchedulerCommand::RecordFault { engine, kind } => self.selector.record_fault(&engine, kind, now),
            SchedulerCommand::RecordFull { engine } => self.selector.record_full(&engine, now),
            SchedulerCommand::EventPosition { source, reply } => {
                let _ = reply.send(self.selector.position(&source));
            }
            SchedulerCommand::ApplyEvents { source, batch, received } => {
                if self.selector.apply_events(&source, &batch, received) == FollowOutcome::Followed {
                    self.log.record_events(&source, &batch.events);
                    self.publish_changes();
                }
            }
            SchedulerCommand::ApplyList { source, list, received } => {
                let position = SourcePosition { epoch: list.epoch, next: list.next };
                self.selector.replace_parts(&source, position, &list.cached, received);
                self.log.record_list(&source);
                self.publish_changes();
            }
            SchedulerCommand::Unreachable { source } => self.selector.mark_unreachable(&source),
            SchedulerCommand::DirectSources(sources) => {
                self.direct_sources = sources;
                self.publish_changes();
            }
            SchedulerCommand::RelayQuery { query, is_final, reply } => {
                let has_changes = is_final || self.log.has_changes(&query);
                let _ = reply.send(has_changes.then(|| self.relay(&query, now)));
            }
            SchedulerCommand::RelayUpdate { router, update, arrived } => {
                self.apply_relay_update(router, update, arrived)
            }
        }
    }

    fn end(&mut self, engine: &EngineName, tokens: u64, pending_prefill_tokens: Option<u64>) {
        self.selector.end(engine, tokens);
        if let Some(pending_prefill_tokens) = pending_prefill_tokens {
            self.selector.end_prefill(engine, pending_prefill_tokens);
        }
    }

    fn publish_changes(&self) {
        self.changes.send_replace(self.log.next());
    }

    fn relay(&self, query: &RelayQuery, now: Instant) -> RelayUpdate {
        let list = |source: &EngineName| self.selector.cached_parts(source);
        let age = |source: &EngineName| now.since(self.selector.events_known_until(source));
        let mut update = self.log.answer(query, &self.direct_sources, list, age);
        let fresh_loads = self.loads.iter().filter(|(_, (_, received))| now.since(*received) < MAX_LOAD_AGE);
        update.loads =
            fresh_loads.map(|(engine, (load, received))| (engine.clone(), *load, now.since(*received))).collect();
        let relayed_work = |(engine, work): (EngineName, NodeLoad)| RelayedWork {
            engine,
            requests: work.requests,
            tokens: work.tokens,
            pending_prefill_tokens: work.pending_prefill_tokens,
        };
        update.work = self.selector.node_load().into_iter().map(relayed_work).collect();
        update
    }

    fn apply_relay_update(&mut self, router: NodeId, update: RelayUpdate, arrived: Instant) {
        let loads =
            update.work.into_iter().map(|RelayedWork { engine, requests, tokens, pending_prefill_tokens }| {
                (engine, NodeLoad { requests, tokens, pending_prefill_tokens })
            });
        if !self.disabled.contains(&Mechanism::PeerWork) {
            self.selector.record_peer_report(router, loads.collect(), arrived);
        }
        for (engine, EngineLoad { running, waiting, slots }, age) in update.loads {
            let load = selection::prelude::EngineLoad { running, waiting, slots };
            self.selector.record_load(&engine, load, Instant(arrived.0.saturating_sub(age.0)));
        }
        for relayed in update.sources {
            if self.direct_sources.contains(&relayed.source) {
                continue;
            }
            let received = Instant(arrived.0.saturating_sub(relayed.age.0));
            let parts = relayed.parts.into_iter().map(|(name, tokens)| (PartName(name), tokens));
            let parts: Vec<(PartName, u64)> = parts.collect();
            match relayed.is_list {
                true => self.selector.replace_parts(&relayed.source, SourcePosition::default(), &parts, received),
                false => self.selector.apply_changes(&relayed.source, &parts, received),
            }
        }
    }

    fn update_fleet(&mut self) {
        let snapshot = self.shared.snapshot();
        let stores = match self.disabled.contains(&Mechanism::Store) {
            true => BTreeMap::new(),
            false => stores(&snapshot.state.desired),
        };
        let mut known_sources: BTreeSet<EngineName> = snapshot.state.listing.engines.keys().cloned().collect();
        known_sources.extend(stores.keys().map(store_source));
        self.selector.retain_sources(&known_sources);
        self.selector.set_stores(stores);
        self.loads.retain(|engine, _| known_sources.contains(engine));
        self.budgets.retain(|service, _| snapshot.state.desired.services.contains_key(service));
    }

    fn select(&mut self, request: &SelectRequest, now: Instant) -> Selected {
        let snapshot = self.shared.snapshot();
        let planned = &request.planned;
        let candidates = candidates(&snapshot, &planned.service, planned.head.model.as_ref(), now);
        self.selections += 1;
        let mut selection_request = planned.selection(&snapshot, &candidates, &request.tried, self.selections);
        if self.disabled.contains(&Mechanism::ZonePenalty) {
            selection_request.zone_penalty_blocks = 0.0;
        }
        let tenant = planned.tenant.as_ref().map(|(tenant, _)| tenant.clone()).unwrap_or_default();
        let has_policy = snapshot.state.desired.policies.contains_key(DEFAULT_POLICY);
        let overlap_weight = |band| match has_policy {
            true => snapshot.default_table.weight(&tenant, planned.route.name.as_str(), band),
            false => DEFAULT_OVERLAP_WEIGHT,
        };
        self.selector.expire_peer_reports(self.shared.router_count() as u64, now);
        let chosen = match self.selector.select(&candidates, &selection_request, overlap_weight, now) {
            Selection::Refused { retry_after } => return Selected::Refused { retry_after },
            Selection::Chosen(chosen) => chosen,
        };
        if !self.take_from_budget(&planned.service, request.is_retry) {
            return Selected::NoBudget;
        }
        self.selector.begin(&chosen.engine, selection_request.tokens());
        self.selector.begin_prefill(&chosen.engine, chosen.prefill_tokens);
        Selected::Chosen(Box::new(chosen))
    }

    /// A first attempt deposits a fraction of a retry; a retry withdraws a whole one.
    fn take_from_budget(&mut self, service: &ServiceName, is_retry: bool) -> bool {
        let budget = self.budgets.entry(service.clone()).or_default();
        let slack_per_router = self.bounds.slack * BUDGET_SHARE / self.shared.router_count() as f64;
        budget.set_max_attempts(slack_per_router as u64);
        if is_retry {
            return budget.try_withdraw();
        }
        budget.deposit((self.bounds.ratio * BUDGET_SHARE * 100.0) as u64);
        true
    }
}
