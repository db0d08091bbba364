//! The table: the one owner of the selector and of the retry budgets, working through a queue of commands
//! on a thread of its own.

use crate::prelude::*;

const TABLE_QUEUE_CAPACITY: usize = 8192;
/// The overlap weight where operators state no policy: measured, see docs/measurements.md.
const DEFAULT_OVERLAP_WEIGHT: f64 = 64.0;
/// What fetching kept tokens costs an engine, as a share of reading them.
const FETCH_SHARE: f64 = 0.15;
/// Moving kept parts pays if it takes no longer than reading them, as reading takes the engine's processor.
const FETCH_MAX_TIME_SHARE: f64 = 1.0;
/// An engine is crowded with so many times the average of requests, and a few more.
const OVERLOAD_FACTOR: f64 = 3.0;
const OVERLOAD_BASE: u64 = 6;
/// How often all routers together look at each engine when they choose: docs/decisions.md, "Lots".
const SAMPLES_PER_ENGINE: f64 = 2.0;
/// How old a load may be that is told to other routers.
const MAX_LOAD_AGE: Span = Span::millis(1500);
/// What each of its latest failures adds to an engine's cost: as much as reading some 4000 tokens.
const RECENT_FAILURE_COST: f64 = DEFAULT_OVERLAP_WEIGHT * 250.0;
/// How much of the shared parts that nobody is known to keep is expected at the prompt's home.
const HOME_AFFINITY_SHARE: f64 = 0.5;
/// Of what the bounds allow beyond the first attempts, so much is used.
const BUDGET_SHARE: f64 = 0.5;

/// What bounds further attempts over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Further attempts for each request of a service.
    pub ratio: f64,
    /// Further attempts allowed beyond that share.
    pub slack: f64,
}

impl Default for RetryBounds {
    fn default() -> RetryBounds {
        RetryBounds { ratio: 0.1, slack: 10.0 }
    }
}

/// Commands to the table.
pub enum TableCommand {
    /// The fleet changed.
    FleetChanged,
    Select {
        request: Box<SelectRequest>,
        reply: oneshot::Sender<Selected>,
    },
    /// A request ended; `unread_tokens` where its answer had not begun.
    End {
        engine: EngineName,
        tokens: u64,
        pending_prefill_tokens: Option<u64>,
    },
    /// An answer began, so the engine has read the prompt.
    ResponseBegan {
        engine: EngineName,
        parts: Vec<(PartName, u64)>,
        pending_prefill_tokens: Option<u64>,
        /// The engine's service, and how long after it was sent the answer began.
        service: ServiceName,
        waited: Span,
    },
    Load {
        engine: EngineName,
        load: EngineLoad,
    },
    Failed {
        engine: EngineName,
        kind: FaultKind,
    },
    Full {
        engine: EngineName,
    },
    Position {
        source: EngineName,
        reply: oneshot::Sender<Option<SourcePosition>>,
    },
    Events {
        source: EngineName,
        batch: PartBatch,
        received: Instant,
    },
    List {
        source: EngineName,
        list: PartList,
        received: Instant,
    },
    /// A source could not be reached.
    Unreachable {
        source: EngineName,
    },
    /// The sources that are read here now.
    DirectSources(BTreeSet<EngineName>),
    /// Another router asks; unless the answer is final, none means that there is no news yet.
    RelayQuery {
        query: RelayQuery,
        is_final: bool,
        reply: oneshot::Sender<Option<RelayUpdate>>,
    },
    /// Another router answered; `arrived` is when.
    RelayUpdate {
        router: NodeId,
        news: RelayUpdate,
        arrived: Instant,
    },
}

/// A request for an engine.
pub struct SelectRequest {
    pub planned: Arc<PlannedRequest>,
    pub tried: Vec<EngineName>,
    /// Whether it is sent a further time, which draws on the budget.
    pub is_retry: bool,
}

/// What the table answers.
pub enum Selected {
    Chosen(Box<Chosen>),
    /// No engine can take it now.
    Refused {
        retry_after: Span,
    },
    /// A further attempt would go over the budget.
    NoBudget,
}

/// The way to the table. A full queue is an answer of its own: the caller is turned away.
#[derive(Clone)]
pub struct TableHandle {
    queue: Sender<TableCommand>,
}

impl TableHandle {
    pub fn tell(&self, command: TableCommand) {
        let _ = self.queue.send(command);
    }

    /// Asks, and waits for the answer; nothing if the queue is full.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> TableCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.try_send(command(reply)).ok()?;
        answer.await.ok()
    }
}

/// A request's load on an engine, given back when dropped.
pub struct EngineReservation {
    table: TableHandle,
    pub engine: EngineName,
    tokens: u64,
    /// What the engine has to read, until the answer begins.
    pending_prefill_tokens: Option<u64>,
    began: Instant,
}

impl EngineReservation {
    pub fn new(
        table: &TableHandle,
        engine: EngineName,
        tokens: u64,
        pending_prefill_tokens: u64,
    ) -> EngineReservation {
        EngineReservation {
            table: table.clone(),
            engine,
            tokens,
            pending_prefill_tokens: Some(pending_prefill_tokens),
            began: boot_now(),
        }
    }

    /// How long ago the engine was chosen.
    pub fn age(&self) -> Span {
        boot_now().since(self.began)
    }

    /// The answer begins; what had to be read for it, the first time.
    pub fn begin_response(&mut self) -> Option<u64> {
        self.pending_prefill_tokens.take()
    }
}

impl Drop for EngineReservation {
    fn drop(&mut self) {
        let (engine, tokens, pending_prefill_tokens) =
            (self.engine.clone(), self.tokens, self.pending_prefill_tokens);
        self.table.tell(TableCommand::End { engine, tokens, pending_prefill_tokens });
    }
}

/// Starts the table's thread; also tells how often the relay's log has changed.
pub fn start_table(
    node: NodeId,
    zone: Zone,
    shared: Arc<SharedState>,
    bounds: RetryBounds,
    disabled: DisabledMechanisms,
) -> (TableHandle, tokio::sync::watch::Receiver<u64>) {
    let (queue, commands) = bounded_queue::<TableCommand>(TABLE_QUEUE_CAPACITY);
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
        let mut table = Table {
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
            table.handle(command);
        }
    });
    (TableHandle { queue }, changes_receiver)
}

struct Table {
    selector: Selector,
    budgets: HashMap<ServiceName, RetryBudget>,
    bounds: RetryBounds,
    disabled: DisabledMechanisms,
    shared: Arc<SharedState>,
    log: RelayLog,
    /// How often an engine was asked for.
    selections: u64,
    direct_sources: BTreeSet<EngineName>,
    /// What engines told this router itself of their load.
    loads: BTreeMap<EngineName, (EngineLoad, Instant)>,
    changes: tokio::sync::watch::Sender<u64>,
}

impl Table {
    fn handle(&mut self, command: TableCommand) {
        let now = boot_now();
        match command {
            TableCommand::FleetChanged => self.update_fleet(),
            TableCommand::Select { request, reply } => {
                let tokens = request.planned.head.prompt_tokens + request.planned.head.output_tokens;
                let selected = self.select(&request, now);
                if let Err(Selected::Chosen(chosen)) = reply.send(selected) {
                    self.end(&chosen.engine, tokens, Some(chosen.prefill_tokens));
                }
            }
            TableCommand::End { engine, tokens, pending_prefill_tokens } => {
                self.end(&engine, tokens, pending_prefill_tokens)
            }
            TableCommand::ResponseBegan { engine, parts, pending_prefill_tokens, service, waited } => {
                if let Some(pending_prefill_tokens) = pending_prefill_tokens {
                    self.selector.end_prefill(&engine, pending_prefill_tokens);
                    self.selector.observe_prefill(&service, pending_prefill_tokens, waited);
                }
                self.selector.record_success(&engine, now);
                self.selector.record_sent(&engine, &parts, now);
            }
            TableCommand::Load { engine, load } => {
                self.loads.insert(engine.clone(), (load, now));
                let EngineLoad { running, waiting, slots } = load;
                let load = selection::prelude::EngineLoad { running, waiting, slots };
                self.selector.record_load(&engine, load, now);
            }
            TableCommand::Failed { engine, kind } => self.selector.record_fault(&engine, kind, now),
            TableCommand::Full { engine } => self.selector.record_full(&engine, now),
            TableCommand::Position { source, reply } => {
                let _ = reply.send(self.selector.position(&source));
            }
            TableCommand::Events { source, batch, received } => {
                if self.selector.apply_events(&source, &batch, received) == FollowOutcome::Followed {
                    self.log.record_events(&source, &batch.events);
                    self.publish_changes();
                }
            }
            TableCommand::List { source, list, received } => {
                let position = SourcePosition { epoch: list.epoch, next: list.next };
                self.selector.replace_parts(&source, position, &list.kept, received);
                self.log.record_list(&source);
                self.publish_changes();
            }
            TableCommand::Unreachable { source } => self.selector.mark_unreachable(&source),
            TableCommand::DirectSources(sources) => {
                self.direct_sources = sources;
                self.publish_changes();
            }
            TableCommand::RelayQuery { query, is_final, reply } => {
                let has_changes = is_final || self.log.has_changes(&query);
                let _ = reply.send(has_changes.then(|| self.relay(&query, now)));
            }
            TableCommand::RelayUpdate { router, news, arrived } => self.apply_relay_update(router, news, arrived),
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
        let list = |source: &EngineName| self.selector.kept_parts(source);
        let age = |source: &EngineName| now.since(self.selector.events_known_until(source));
        let mut news = self.log.answer(query, &self.direct_sources, list, age);
        let fresh_loads = self.loads.iter().filter(|(_, (_, received))| now.since(*received) < MAX_LOAD_AGE);
        news.loads =
            fresh_loads.map(|(engine, (load, received))| (engine.clone(), *load, now.since(*received))).collect();
        let relayed_work = |(engine, work): (EngineName, NodeLoad)| RelayedWork {
            engine,
            requests: work.requests,
            tokens: work.tokens,
            pending_prefill_tokens: work.pending_prefill_tokens,
        };
        news.work = self.selector.node_load().into_iter().map(relayed_work).collect();
        news
    }

    fn apply_relay_update(&mut self, router: NodeId, news: RelayUpdate, arrived: Instant) {
        let loads = news.work.into_iter().map(|RelayedWork { engine, requests, tokens, pending_prefill_tokens }| {
            (engine, NodeLoad { requests, tokens, pending_prefill_tokens })
        });
        if !self.disabled.contains(&Mechanism::PeerWork) {
            self.selector.record_peer_report(router, loads.collect(), arrived);
        }
        for (engine, EngineLoad { running, waiting, slots }, age) in news.loads {
            let load = selection::prelude::EngineLoad { running, waiting, slots };
            self.selector.record_load(&engine, load, Instant(arrived.0.saturating_sub(age.0)));
        }
        for relayed in news.sources {
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
        let snapshot = self.shared.sight();
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
        let snapshot = self.shared.sight();
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

    /// A first attempt earns a part of a further one; a further one spends a whole.
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
