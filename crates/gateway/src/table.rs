//! The table: the one owner of the selector and of the retry budgets, working through a queue of commands
//! on a thread of its own.

use crate::prelude::*;

const TABLE_PLACES: usize = 8192;
/// The overlap weight where operators state no policy: measured, see docs/measurements.md.
const USUAL_OVERLAP_WEIGHT: f64 = 64.0;
/// What fetching kept tokens costs an engine, as a share of reading them.
const FETCH_SHARE: f64 = 0.15;
/// Moving kept parts pays if it takes no longer than reading them, as reading takes the engine's processor.
const FETCH_MOST_SHARE: f64 = 1.0;
/// An engine is crowded with so many times the average of requests, and a few more.
const CROWD_FACTOR: f64 = 3.0;
const CROWD_BASE: u64 = 6;
/// How often all routers together look at each engine when they choose: docs/decisions.md, "Lots".
const LOOKS_PER_ENGINE: f64 = 2.0;
/// How old a load may be that is told to other routers.
const LOAD_AGE: Span = Span::millis(1500);
/// What each of its latest failures adds to an engine's cost: as much as reading some 4000 tokens.
const TROUBLE_COST: f64 = USUAL_OVERLAP_WEIGHT * 250.0;
/// How much of the shared parts that nobody is known to keep is expected at the prompt's home.
const HOME_SHARE: f64 = 0.5;
/// Of what the bounds allow beyond the first attempts, so much is used.
const BUDGET_USE: f64 = 0.5;

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
    Fleet,
    Select {
        request: Box<SelectRequest>,
        reply: oneshot::Sender<Selected>,
    },
    /// A request ended; `unread_tokens` where its answer had not begun.
    End {
        engine: EngineName,
        tokens: u64,
        unread_tokens: Option<u64>,
    },
    /// An answer began, so the engine has read the prompt.
    Sent {
        engine: EngineName,
        parts: Vec<(PartName, u64)>,
        unread_tokens: Option<u64>,
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
    News {
        source: EngineName,
        batch: PartBatch,
        heard: Instant,
    },
    List {
        source: EngineName,
        list: PartList,
        heard: Instant,
    },
    /// A source could not be reached.
    Unheard {
        source: EngineName,
    },
    /// The sources that are read here now.
    ReadHere(BTreeSet<EngineName>),
    /// Another router asks; unless the answer is final, none means that there is no news yet.
    RelayAsked {
        question: RelayQuestion,
        is_final: bool,
        reply: oneshot::Sender<Option<RelayNews>>,
    },
    /// Another router answered; `arrived` is when.
    Relayed {
        router: NodeId,
        news: RelayNews,
        arrived: Instant,
    },
}

/// A request for an engine.
pub struct SelectRequest {
    pub planned: Arc<PlannedRequest>,
    pub tried: Vec<EngineName>,
    /// Whether it is sent a further time, which draws on the budget.
    pub is_further: bool,
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
pub struct EngineSeat {
    table: TableHandle,
    pub engine: EngineName,
    tokens: u64,
    /// What the engine has to read, until the answer begins.
    unread_tokens: Option<u64>,
    began: Instant,
}

impl EngineSeat {
    pub fn new(table: &TableHandle, engine: EngineName, tokens: u64, unread_tokens: u64) -> EngineSeat {
        EngineSeat { table: table.clone(), engine, tokens, unread_tokens: Some(unread_tokens), began: boot_now() }
    }

    /// How long ago the engine was chosen.
    pub fn age(&self) -> Span {
        boot_now().since(self.began)
    }

    /// The answer begins; what had to be read for it, the first time.
    pub fn begin_answer(&mut self) -> Option<u64> {
        self.unread_tokens.take()
    }
}

impl Drop for EngineSeat {
    fn drop(&mut self) {
        let (engine, tokens, unread_tokens) = (self.engine.clone(), self.tokens, self.unread_tokens);
        self.table.tell(TableCommand::End { engine, tokens, unread_tokens });
    }
}

/// Starts the table's thread; also tells how often the relay's log has changed.
pub fn start_table(
    node: NodeId,
    zone: Zone,
    shared: Arc<SharedState>,
    bounds: RetryBounds,
    disabled: Disabled,
) -> (TableHandle, tokio::sync::watch::Receiver<u64>) {
    let (queue, commands) = bounded_queue::<TableCommand>(TABLE_PLACES);
    let (changes, changes_seen) = tokio::sync::watch::channel(0);
    spawn_thread("table", move || {
        let settings = SelectionSettings {
            fetch_share: FETCH_SHARE,
            home_affinity_share: HOME_SHARE,
            fetch_min_tokens: BLOCK_TOKENS,
            fetch_max_time_share: FETCH_MOST_SHARE,
            pending_prefill_share: 1.0,
            limits_queue_wait: true,
            recent_failure_cost: TROUBLE_COST,
            overload_factor: Some(CROWD_FACTOR),
            overload_base: CROWD_BASE,
            samples_per_engine: Some(LOOKS_PER_ENGINE),
            ..SelectionSettings::default()
        };
        let selector = Selector::with_settings(node, zone, without(&disabled, settings));
        let mut table = Table {
            selector,
            budgets: HashMap::new(),
            bounds,
            disabled,
            shared,
            log: RelayLog::new(Incarnation::random().0),
            selections: 0,
            read_here: BTreeSet::new(),
            loads: BTreeMap::new(),
            changes,
        };
        while let Ok(command) = commands.recv() {
            table.take(command);
        }
    });
    (TableHandle { queue }, changes_seen)
}

struct Table {
    selector: Selector,
    budgets: HashMap<ServiceName, RetryBudget>,
    bounds: RetryBounds,
    disabled: Disabled,
    shared: Arc<SharedState>,
    log: RelayLog,
    /// How often an engine was asked for.
    selections: u64,
    read_here: BTreeSet<EngineName>,
    /// What engines told this router itself of their load.
    loads: BTreeMap<EngineName, (EngineLoad, Instant)>,
    changes: tokio::sync::watch::Sender<u64>,
}

impl Table {
    fn take(&mut self, command: TableCommand) {
        let now = boot_now();
        match command {
            TableCommand::Fleet => self.follow_fleet(),
            TableCommand::Select { request, reply } => {
                let tokens = request.planned.head.prompt_tokens + request.planned.head.output_tokens;
                let selected = self.select(&request, now);
                if let Err(Selected::Chosen(chosen)) = reply.send(selected) {
                    self.end(&chosen.engine, tokens, Some(chosen.prefill_tokens));
                }
            }
            TableCommand::End { engine, tokens, unread_tokens } => self.end(&engine, tokens, unread_tokens),
            TableCommand::Sent { engine, parts, unread_tokens, service, waited } => {
                if let Some(unread_tokens) = unread_tokens {
                    self.selector.end_prefill(&engine, unread_tokens);
                    self.selector.observe_prefill(&service, unread_tokens, waited);
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
            TableCommand::News { source, batch, heard } => {
                if self.selector.apply_events(&source, &batch, heard) == FollowOutcome::Followed {
                    self.log.note_events(&source, &batch.events);
                    self.tell_changes();
                }
            }
            TableCommand::List { source, list, heard } => {
                let position = SourcePosition { epoch: list.epoch, next: list.next };
                self.selector.replace_parts(&source, position, &list.kept, heard);
                self.log.note_list(&source);
                self.tell_changes();
            }
            TableCommand::Unheard { source } => self.selector.mark_unreachable(&source),
            TableCommand::ReadHere(sources) => {
                self.read_here = sources;
                self.tell_changes();
            }
            TableCommand::RelayAsked { question, is_final, reply } => {
                let has_news = is_final || self.log.has_news(&question);
                let _ = reply.send(has_news.then(|| self.relay(&question, now)));
            }
            TableCommand::Relayed { router, news, arrived } => self.take_relayed(router, news, arrived),
        }
    }

    fn end(&mut self, engine: &EngineName, tokens: u64, unread_tokens: Option<u64>) {
        self.selector.end(engine, tokens);
        if let Some(unread_tokens) = unread_tokens {
            self.selector.end_prefill(engine, unread_tokens);
        }
    }

    fn tell_changes(&self) {
        self.changes.send_replace(self.log.next());
    }

    fn relay(&self, question: &RelayQuestion, now: Instant) -> RelayNews {
        let list = |source: &EngineName| self.selector.kept_parts(source);
        let age = |source: &EngineName| now.since(self.selector.events_known_until(source));
        let mut news = self.log.answer(question, &self.read_here, list, age);
        let fresh_loads = self.loads.iter().filter(|(_, (_, told))| now.since(*told) < LOAD_AGE);
        news.loads = fresh_loads.map(|(engine, (load, told))| (engine.clone(), *load, now.since(*told))).collect();
        let relayed = |(engine, work): (EngineName, NodeLoad)| RelayedWork {
            engine,
            requests: work.requests,
            tokens: work.tokens,
            unread_tokens: work.pending_prefill_tokens,
        };
        news.work = self.selector.node_load().into_iter().map(relayed).collect();
        news
    }

    fn take_relayed(&mut self, router: NodeId, news: RelayNews, arrived: Instant) {
        let told = news.work.into_iter().map(|RelayedWork { engine, requests, tokens, unread_tokens }| {
            (engine, NodeLoad { requests, tokens, pending_prefill_tokens: unread_tokens })
        });
        if !self.disabled.contains(&Mechanism::PeerWork) {
            self.selector.record_peer_report(router, told.collect(), arrived);
        }
        for (engine, EngineLoad { running, waiting, slots }, age) in news.loads {
            let load = selection::prelude::EngineLoad { running, waiting, slots };
            self.selector.record_load(&engine, load, Instant(arrived.0.saturating_sub(age.0)));
        }
        for relayed in news.sources {
            if self.read_here.contains(&relayed.source) {
                continue;
            }
            let heard = Instant(arrived.0.saturating_sub(relayed.age.0));
            let parts = relayed.parts.into_iter().map(|(name, tokens)| (PartName(name), tokens));
            let parts: Vec<(PartName, u64)> = parts.collect();
            match relayed.is_list {
                true => self.selector.replace_parts(&relayed.source, SourcePosition::default(), &parts, heard),
                false => self.selector.apply_changes(&relayed.source, &parts, heard),
            }
        }
    }

    fn follow_fleet(&mut self) {
        let sight = self.shared.snapshot();
        let stores = match self.disabled.contains(&Mechanism::Store) {
            true => BTreeMap::new(),
            false => stores(&sight.state.desired),
        };
        let mut named: BTreeSet<EngineName> = sight.state.listing.engines.keys().cloned().collect();
        named.extend(stores.keys().map(store_source));
        self.selector.retain_sources(&named);
        self.selector.set_stores(stores);
        self.loads.retain(|engine, _| named.contains(engine));
        self.budgets.retain(|service, _| sight.state.desired.services.contains_key(service));
    }

    fn select(&mut self, request: &SelectRequest, now: Instant) -> Selected {
        let sight = self.shared.snapshot();
        let planned = &request.planned;
        let candidates = candidates(&sight, &planned.service, planned.head.model.as_ref(), now);
        self.selections += 1;
        let mut selection_request = planned.selection(&sight, &candidates, &request.tried, self.selections);
        if self.disabled.contains(&Mechanism::ZonePenalty) {
            selection_request.zone_penalty_blocks = 0.0;
        }
        let tenant = planned.tenant.as_ref().map(|(tenant, _)| tenant.clone()).unwrap_or_default();
        let has_policy = sight.state.desired.policies.contains_key(DEFAULT_POLICY);
        let weigh = |band| match has_policy {
            true => sight.default_table.weight(&tenant, planned.route.name.as_str(), band),
            false => USUAL_OVERLAP_WEIGHT,
        };
        self.selector.expire_peer_reports(self.shared.router_count() as u64, now);
        let chosen = match self.selector.select(&candidates, &selection_request, weigh, now) {
            Selection::Refused { retry_after } => return Selected::Refused { retry_after },
            Selection::Chosen(chosen) => chosen,
        };
        if !self.draw_on_budget(&planned.service, request.is_further) {
            return Selected::NoBudget;
        }
        self.selector.begin(&chosen.engine, selection_request.tokens());
        self.selector.begin_prefill(&chosen.engine, chosen.prefill_tokens);
        Selected::Chosen(Box::new(chosen))
    }

    /// A first attempt earns a part of a further one; a further one spends a whole.
    fn draw_on_budget(&mut self, service: &ServiceName, is_further: bool) -> bool {
        let budget = self.budgets.entry(service.clone()).or_default();
        let own_slack = self.bounds.slack * BUDGET_USE / self.shared.router_count() as f64;
        budget.set_max_attempts(own_slack as u64);
        if is_further {
            return budget.try_withdraw();
        }
        budget.deposit((self.bounds.ratio * BUDGET_USE * 100.0) as u64);
        true
    }
}
