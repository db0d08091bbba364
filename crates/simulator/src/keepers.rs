//! Simulated keepers: start and crash, disk syncs, messages, and the duties they hold.

use crate::prelude::*;

impl World {
    /// Starts a keeper from what its disk holds, unless it is up.
    pub fn start_keeper(&mut self, number: usize) {
        let member = self.member(number);
        let seeds = (0..3).map(|seed| format!("k{seed}")).collect();
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if keeper.coordinator.is_some() {
            return;
        }
        keeper.incarnation += 1;
        keeper.busy_until = now;
        keeper.frozen_until = now;
        keeper.conductor = Conductor::default();
        keeper.planner = WarmingPlanner::default();
        keeper.last_demand_query = Instant(0);
        keeper.outstanding.clear();
        keeper.listing_pending_since = None;
        let settings = CoordinatorSettings {
            requires_fresh_listing: true,
            core_size: KEEPERS,
            seeds,
            ..CoordinatorSettings::default()
        };
        let incarnation = keeper.incarnation.wrapping_mul(1_000_003).wrapping_add(keeper.id.0.wrapping_mul(7919));
        keeper.coordinator =
            Some(Coordinator::restore(member, keeper.disk.clone(), settings, incarnation, keeper.clock.read(now)));
        let incarnation = keeper.incarnation;
        self.schedule_after(Span::millis(1), SimEvent::KeeperTick { keeper: number, incarnation });
    }

    /// Crashes a keeper; its disk is kept.
    pub fn kill_keeper(&mut self, number: usize) {
        self.keepers[number].coordinator = None;
        self.keepers[number].pending_effects = None;
        self.keepers[number].incarnation += 1;
        for link in 0..self.links.len() {
            if self.links[link].open && self.links[link].keeper == number {
                self.schedule_link_close(link);
            }
        }
    }

    /// Ends a retiring keeper once it has left the view or `until` has passed; otherwise checks again later.
    pub fn stop_keeper(&mut self, number: usize, incarnation: u64, until: Instant) {
        let keeper = &self.keepers[number];
        if keeper.incarnation != incarnation {
            return;
        }
        let has_left = keeper.coordinator.as_ref().is_none_or(Coordinator::has_left);
        match has_left || self.now >= until {
            true => self.kill_keeper(number),
            false => {
                self.schedule_after(HEARTBEAT_INTERVAL, SimEvent::StopKeeper { keeper: number, incarnation, until })
            }
        }
    }

    /// Replaces a lost keeper by an empty machine with a new id.
    pub fn replace_keeper(&mut self, number: usize, moves: bool) {
        self.kill_keeper(number);
        let new_id = NodeId(self.rng.next_u64() | 1 << 60);
        let keeper = &mut self.keepers[number];
        keeper.id = new_id;
        keeper.disk = PersistedState::default();
        if moves {
            keeper.address = format!("{}x", keeper.address);
        }
        self.start_keeper(number);
    }

    /// Steps a keeper's coordinator. Effects that write to the disk are carried out after the sync.
    pub fn step_keeper(&mut self, number: usize, incarnation: Option<u64>, input: Input) {
        let now = self.now;
        if incarnation.is_some_and(|incarnation| incarnation != self.keepers[number].incarnation) {
            return;
        }
        let free_at = self.finish_sync_if_free(number);
        let keeper = &mut self.keepers[number];
        if free_at > now {
            let incarnation = Some(keeper.incarnation);
            self.defer(free_at, SimEvent::KeeperInput { keeper: number, incarnation, input });
            return;
        }
        let Some(coordinator) = keeper.coordinator.as_mut() else { return };
        let effects = coordinator.step(input, keeper.clock.read(now));
        if effects.is_empty() {
            return;
        }
        let syncs = effects.iter().any(|effect| matches!(effect, Effect::Store(_)));
        let incarnation = keeper.incarnation;
        if syncs {
            keeper.busy_until = now + keeper.sync_span;
            keeper.pending_effects = Some(effects);
            let synced_at = keeper.busy_until;
            self.schedule_at(synced_at, SimEvent::DiskSynced { keeper: number, incarnation });
        } else {
            self.apply_keeper_effects(number, effects);
        }
    }

    /// A disk sync has ended, unless the disk stalled or the machine was frozen meanwhile.
    pub fn handle_disk_synced(&mut self, number: usize, incarnation: u64) {
        if self.keepers[number].incarnation != incarnation {
            return;
        }
        let free_at = self.finish_sync_if_free(number);
        if free_at > self.now {
            self.defer(free_at, SimEvent::DiskSynced { keeper: number, incarnation });
        }
    }

    /// Returns when the keeper can take its next input. If that is now, first carries out the effects that waited for
    /// the disk sync.
    pub fn finish_sync_if_free(&mut self, number: usize) -> Instant {
        while self.keepers[number].free_at() <= self.now
            && let Some(effects) = self.keepers[number].pending_effects.take()
        {
            self.apply_keeper_effects(number, effects);
        }
        self.keepers[number].free_at()
    }

    fn apply_keeper_effects(&mut self, number: usize, effects: Vec<Effect>) {
        let local_now = self.keepers[number].clock.read(self.now);
        let mut dispatch = Dispatch::default();
        for effect in effects {
            let Some(effect) = dispatch.admit(effect, local_now) else { continue };
            match effect {
                Effect::Store(stored) => persist(&mut self.keepers[number].disk, stored),
                Effect::Send { address, envelope, .. } => self.send_to_keeper(number, &address, envelope),
                Effect::SendToNode { node, message, .. } => self.send_to_agent(number, node, message),
                Effect::Outcome { ticket, outcome } => self.handle_outcome(ticket, outcome),
                Effect::LogEvent { event, detail } => {
                    if event == "campaign" && std::mem::take(&mut self.campaign_loss_pending) {
                        self.kill_keepers_in_campaign();
                    }
                    self.note(format!("k{number} {event} {detail}"));
                }
            }
        }
        for input in dispatch.into_inputs() {
            self.step_keeper(number, None, input);
        }
    }

    /// Crashes keepers at random moments of a vote; they restart soon.
    fn kill_keepers_in_campaign(&mut self) {
        for _ in 0..2 {
            let keeper = self.rng.below(KEEPERS as u64) as usize;
            let span = Span::micros(self.rng.between(100, 25_000));
            self.schedule_after(span, SimEvent::KillKeeper { keeper });
        }
        let span = Span::millis(self.rng.between(30, 900));
        self.schedule_after(span, SimEvent::RestartAll);
    }

    pub fn send_to_keeper(&mut self, from: usize, address: &str, envelope: Envelope) {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.address == address) else { return };
        if self.net.is_cut(from, to) {
            return;
        }
        let delay = self.net.delay(&mut self.rng);
        self.schedule_after(
            delay,
            SimEvent::KeeperInput { keeper: to, incarnation: None, input: Input::Peer(envelope) },
        );
    }

    pub fn send_to_agent(&mut self, keeper: usize, node_id: NodeId, message: KeeperToAgent) {
        let incarnation = self.keepers[keeper].incarnation;
        let found = self.links.iter().rposition(|link| {
            link.accepted
                && link.keeper == keeper
                && link.keeper_incarnation == incarnation
                && self.nodes[link.node].id == node_id
        });
        let Some(link) = found.filter(|link| self.links[*link].open) else { return };
        self.links[link].to_node.push_back(message);
        let delay = self.net.delay(&mut self.rng);
        self.schedule_after(delay, SimEvent::DeliverToNode { link });
    }

    /// Runs the census and conductor duties of one keeper, as the keeper program does.
    pub fn run_duties(&mut self, number: usize) {
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if keeper.frozen_until > now || keeper.busy_until > now {
            return;
        }
        let local_now = keeper.clock.read(now);
        let Some(coordinator) = keeper.coordinator.as_ref() else { return };
        if !coordinator.has_view() {
            return;
        }
        let reading = Input::ListingRead {
            read: Some(("p".into(), ListingNumber(self.listing_number))),
            requested_at: local_now,
        };
        let incarnation = keeper.incarnation;
        let reads_now = now.since(keeper.last_listing_read) >= Span::millis(250);
        if reads_now {
            keeper.last_listing_read = now;
        }
        let state = coordinator.state().clone();
        let census = coordinator.actionable_duty(DutyKind::Census, local_now);
        let conductor_term = coordinator.actionable_duty(DutyKind::Conductor, local_now);
        let leased_term = coordinator.leased_duty(DutyKind::Conductor, local_now);
        if reads_now {
            self.schedule_after(
                Span::millis(3),
                SimEvent::KeeperInput { keeper: number, incarnation: Some(incarnation), input: reading },
            );
        }
        let keeper = &mut self.keepers[number];
        if state.listing.number.0 < self.listing_number {
            let since = *keeper.listing_pending_since.get_or_insert(now);
            if census.is_some() || now.since(since) >= Span::millis(500) {
                keeper.listing_pending_since = Some(now);
                let listing = self.listing();
                let request = RequestId(0xce00_0000 + self.listing_number);
                self.submit(number, Submission { request, command: Command::List(listing) }, None);
            }
        } else {
            keeper.listing_pending_since = None;
        }
        if let Some((term, _)) = conductor_term {
            self.run_conductor(number, term, &state, local_now);
        }
        match leased_term {
            Some((term, _)) => {
                self.keep_adapters_warm(number, term, conductor_term.is_some(), &state, local_now);
            }
            None => {
                self.keepers[number].planner.forget();
                self.keepers[number].planner.note_weights(&state, local_now);
            }
        }
    }

    fn listing(&self) -> Listing {
        let engines = self
            .engines
            .iter()
            .filter_map(|engine| {
                let listed_engine = ListedEngine {
                    address: engine.name.0.clone(),
                    zone: engine.zone.clone(),
                    model: ModelName(MODEL.into()),
                    role: engine.role,
                    listed: engine.listed?,
                    ..ListedEngine::default()
                };
                Some((engine.name.clone(), listed_engine))
            })
            .collect();
        Listing { boot: "p".into(), number: ListingNumber(self.listing_number), engines }
    }

    pub fn run_conductor(&mut self, number: usize, term: Term, state: &FleetState, local_now: Instant) {
        let observed: BTreeMap<EngineName, EngineObservation> = self
            .engines
            .iter()
            .filter(|engine| engine.up)
            .map(|engine| {
                let seen = EngineObservation {
                    boot: engine.cache.boot.to_string(),
                    weights: engine.weights,
                    running: engine.attempts.len() as u64,
                    accepting: engine.accepting,
                    at: local_now,
                };
                (engine.name.clone(), seen)
            })
            .collect();
        let now = self.now;
        self.keepers[number].outstanding.retain(|_, until| now < *until);
        let actions = self.keepers[number].conductor.next_actions(state, &observed, local_now);
        for action in actions {
            match action {
                ConductorAction::SetEngineStatus { engine, status: standing }
                    if standing.closed && !self.may_close(number, state, &engine) => {}
                ConductorAction::SetEngineStatus { engine, status: standing } => {
                    let now = self.now;
                    let waits = self.keepers[number].outstanding.get(&engine).is_some_and(|until| now < *until);
                    if waits {
                        continue;
                    }
                    self.keepers[number].outstanding.insert(engine.clone(), now + Span::seconds(5));
                    let kind = ChangeKind::ConductorStep { keeper: number, engine: engine.clone() };
                    let request = RequestId(self.rng.next_u64());
                    self.submit(
                        number,
                        Submission { request, command: Command::SetEngineStatus { term, engine, status: standing } },
                        Some(kind),
                    );
                }
                ConductorAction::Load { engine, weights, .. } => {
                    self.issue_order(number, term, engine.clone(), engine, SimOrderKind::LoadWeights(weights));
                }
                ConductorAction::Open { engine, .. } => {
                    self.issue_order(number, term, engine.clone(), engine, SimOrderKind::Open)
                }
                ConductorAction::DoStep { plan, .. } if !self.may_do_step(number, state, plan) => {}
                ConductorAction::DoStep { plan, step } => {
                    self.submit_plan_step(number, plan, Command::DoStep { term, plan, step })
                }
                ConductorAction::EndPlan { plan, halted } => {
                    self.submit_plan_step(number, plan, Command::EndPlan { term, plan, halted });
                }
            }
        }
    }

    /// Sends an order to an engine, unless an earlier one under this key is still in flight.
    pub fn issue_order(
        &mut self,
        number: usize,
        term: Term,
        engine: EngineName,
        key: EngineName,
        kind: SimOrderKind,
    ) {
        let Some(engine) = self.engines.iter().position(|known| known.name == engine) else { return };
        if self.keepers[number].outstanding.contains_key(&key) {
            return;
        }
        self.keepers[number].outstanding.insert(key, self.now + Span::millis(700));
        let order = SimOrder { holder: self.keepers[number].id.to_string(), term, kind };
        let incarnation = self.keepers[number].incarnation;
        let delay = self.net.delay(&mut self.rng);
        self.schedule_after(delay, SimEvent::SendOrder { keeper: number, incarnation, engine, order });
    }

    /// Checks once more, just before the order is sent, that the keeper still holds the duty in the order's term.
    pub fn send_order(&mut self, number: usize, incarnation: u64, engine: usize, order: SimOrder) {
        let keeper = &self.keepers[number];
        if keeper.incarnation != incarnation {
            return;
        }
        if keeper.frozen_until > self.now {
            let woken_at = keeper.frozen_until;
            return self.defer(woken_at, SimEvent::SendOrder { keeper: number, incarnation, engine, order });
        }
        let Some(coordinator) = &keeper.coordinator else { return };
        let held = coordinator.actionable_duty(DutyKind::Conductor, keeper.clock.read(self.now));
        if held.is_some_and(|(term, _)| term == order.term) {
            let delay = self.net.delay(&mut self.rng);
            self.schedule_after(delay, SimEvent::OrderArrives { engine, order });
        }
    }

    fn submit_plan_step(&mut self, number: usize, plan: Edition, command: Command) {
        let key = EngineName(format!("plan {plan}"));
        if self.keepers[number].outstanding.contains_key(&key) {
            return;
        }
        self.keepers[number].outstanding.insert(key.clone(), self.now + Span::seconds(5));
        let request = RequestId(self.rng.next_u64());
        let kind = ChangeKind::ConductorStep { keeper: number, engine: key };
        self.submit(number, Submission { request, command }, Some(kind));
    }

    /// Submits a change through a keeper and remembers its kind for the outcome.
    pub fn submit(&mut self, keeper: usize, submission: Submission, kind: Option<ChangeKind>) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.pending_changes.insert(ticket, PendingChange { request: submission.request, kind });
        let limit = self.keepers[keeper].clock.read(self.now) + Span::seconds(8);
        let input = Input::Query { ticket, query: CoreQuery::Submit(submission), deadline: limit };
        let incarnation = self.keepers[keeper].incarnation;
        self.schedule_after(Span::millis(1), SimEvent::KeeperInput { keeper, incarnation: Some(incarnation), input });
    }

    /// Whether the fleet must tolerate the loss of this keeper's disk: only one disk is lost at a time, while the
    /// other keepers are complete.
    pub fn tolerates_disk_loss(&self, keeper: usize) -> bool {
        let id = self.keepers[keeper].id;
        let newest_view =
            self.keepers.iter().filter_map(|other| other.disk.view.as_ref()).max_by_key(|view| view.number);
        let Some(view) = newest_view else { return false };
        let others_aligned = self
            .keepers
            .iter()
            .filter(|other| other.id != id && view.in_chain(other.id) && other.disk.complete_view == view.number)
            .count();
        let voters_left = self.keepers.iter().filter(|other| other.id != id && view.is_voter(other.id)).count();
        others_aligned >= 1 && voters_left >= view.majority() && view.voters.len() == KEEPERS
    }
}

/// Applies a synced write to a simulated disk.
pub fn persist(disk: &mut PersistedState, stored: Stored) {
    match stored {
        Stored::Record(record) => disk.records.push(record),
        Stored::Snapshot { position, state } => {
            disk.position = position;
            disk.state = *state;
            disk.records.clear();
        }
        Stored::View(view) => disk.view = Some(view),
        Stored::Vote(vote) => disk.vote = vote,
        Stored::SyncedView(view_number) => disk.synced_view = view_number,
        Stored::CompleteView(view_number) => disk.complete_view = view_number,
        Stored::TailStarted(view_number) => disk.begun = view_number,
    }
}
