//! Keepers in virtual time: their lives, their disks, what they say, and the duties they do.

use crate::prelude::*;

impl World {
    pub fn start_keeper(&mut self, number: usize) {
        let member = self.member(number);
        let seeds = (0..3).map(|seed| format!("k{seed}")).collect();
        let now = self.now;
        let keeper = &mut self.keepers[number];
        if keeper.coordinator.is_some() {
            return;
        }
        keeper.life += 1;
        keeper.busy_until = now;
        keeper.frozen_until = now;
        keeper.conductor = Conductor::default();
        keeper.planner = WarmingPlanner::default();
        keeper.demand_asked = Instant(0);
        keeper.submitted.clear();
        keeper.census_since = None;
        let wishes = CoordinatorSettings {
            requires_fresh_listing: true,
            core_size: KEEPERS,
            seeds,
            ..CoordinatorSettings::default()
        };
        let life = keeper.life.wrapping_mul(1_000_003).wrapping_add(keeper.id.0.wrapping_mul(7919));
        keeper.coordinator =
            Some(Coordinator::restore(member, keeper.disk.clone(), wishes, life, keeper.clock.read(now)));
        let life = keeper.life;
        self.later(Span::millis(1), SimEvent::KeeperPulse { keeper: number, life });
    }

    pub fn kill_keeper(&mut self, number: usize) {
        self.keepers[number].coordinator = None;
        self.keepers[number].syncing = None;
        self.keepers[number].life += 1;
        for link in 0..self.links.len() {
            if self.links[link].open && self.links[link].keeper == number {
                self.end_link(link);
            }
        }
    }

    /// Ends a keeper that was told to stop, unless it still waits to be let go.
    pub fn stop_keeper(&mut self, number: usize, life: u64, until: Instant) {
        let keeper = &self.keepers[number];
        if keeper.life != life {
            return;
        }
        let has_left = keeper.coordinator.as_ref().is_none_or(Coordinator::has_left);
        match has_left || self.now >= until {
            true => self.kill_keeper(number),
            false => self.later(HEARTBEAT_INTERVAL, SimEvent::StopKeeper { keeper: number, life, until }),
        }
    }

    /// An empty machine in the place of a lost one.
    pub fn replace_keeper(&mut self, number: usize, moves: bool) {
        self.kill_keeper(number);
        let new_id = NodeId(self.draw.next_u64() | 1 << 60);
        let keeper = &mut self.keepers[number];
        keeper.id = new_id;
        keeper.disk = PersistedState::default();
        if moves {
            keeper.address = format!("{}x", keeper.address);
        }
        self.start_keeper(number);
    }

    pub fn step_keeper(&mut self, number: usize, life: Option<u64>, input: Input) {
        let now = self.now;
        if life.is_some_and(|life| life != self.keepers[number].life) {
            return;
        }
        let free_at = self.await_keeper(number);
        let keeper = &mut self.keepers[number];
        if free_at > now {
            let life = Some(keeper.life);
            self.defer(free_at, SimEvent::KeeperInput { keeper: number, life, input });
            return;
        }
        let Some(coordinator) = keeper.coordinator.as_mut() else { return };
        let plan = coordinator.step(input, keeper.clock.read(now));
        if plan.is_empty() {
            return;
        }
        let syncs = plan.iter().any(|effect| matches!(effect, Effect::Store(_)));
        let life = keeper.life;
        if syncs {
            keeper.busy_until = now + keeper.sync_span;
            keeper.syncing = Some(plan);
            let synced_at = keeper.busy_until;
            self.at(synced_at, SimEvent::Synced { keeper: number, life });
        } else {
            self.carry_out(number, plan);
        }
    }

    /// A sync is over, unless the disk stalled or the machine was frozen meanwhile.
    pub fn end_sync(&mut self, number: usize, life: u64) {
        if self.keepers[number].life != life {
            return;
        }
        let free_at = self.await_keeper(number);
        if free_at > self.now {
            self.defer(free_at, SimEvent::Synced { keeper: number, life });
        }
    }

    /// When a keeper takes something up again. If that is now, what it planned before is carried out first.
    pub fn await_keeper(&mut self, number: usize) -> Instant {
        while self.keepers[number].free_at() <= self.now
            && let Some(plan) = self.keepers[number].syncing.take()
        {
            self.carry_out(number, plan);
        }
        self.keepers[number].free_at()
    }

    fn carry_out(&mut self, number: usize, plan: Vec<Effect>) {
        let local_now = self.keepers[number].clock.read(self.now);
        let mut dispatch = Dispatch::default();
        for effect in plan {
            let Some(effect) = dispatch.admit(effect, local_now) else { continue };
            match effect {
                Effect::Store(stored) => keep(&mut self.keepers[number].disk, stored),
                Effect::Send { address, envelope, .. } => self.post(number, &address, envelope),
                Effect::SendToNode { node, message, .. } => self.tell(number, node, message),
                Effect::Outcome { ticket, outcome } => self.take_outcome(ticket, outcome),
                Effect::LogEvent { event, detail } => {
                    if event == "campaign" && std::mem::take(&mut self.campaign_fails) {
                        self.fail_campaign();
                    }
                    self.note(format!("k{number} {event} {detail}"));
                }
            }
        }
        for input in dispatch.into_inputs() {
            self.step_keeper(number, None, input);
        }
    }

    /// Keepers are lost at some moment of the vote, and start again soon.
    fn fail_campaign(&mut self) {
        for _ in 0..2 {
            let keeper = self.draw.below(KEEPERS as u64) as usize;
            let span = Span::micros(self.draw.between(100, 25_000));
            self.later(span, SimEvent::Loses { keeper });
        }
        let span = Span::millis(self.draw.between(30, 900));
        self.later(span, SimEvent::Revives);
    }

    pub fn post(&mut self, from: usize, address: &str, envelope: Envelope) {
        let Some(to) = self.keepers.iter().position(|keeper| keeper.address == address) else { return };
        if self.net.is_cut(from, to) {
            return;
        }
        let delay = self.net.delay(&mut self.draw);
        self.later(delay, SimEvent::KeeperInput { keeper: to, life: None, input: Input::Peer(envelope) });
    }

    pub fn tell(&mut self, keeper: usize, node_id: NodeId, message: KeeperToAgent) {
        let life = self.keepers[keeper].life;
        let found = self.links.iter().rposition(|link| {
            link.taken_up && link.keeper == keeper && link.keeper_life == life && self.nodes[link.node].id == node_id
        });
        let Some(link) = found.filter(|link| self.links[*link].open) else { return };
        self.links[link].down.push_back(message);
        let delay = self.net.delay(&mut self.draw);
        self.later(delay, SimEvent::PumpDown { link });
    }

    /// Census and conductor of one keeper, as the daemon's duties do them.
    pub fn tend_keeper(&mut self, number: usize) {
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
        let life = keeper.life;
        let reads_now = now.since(keeper.census_read) >= Span::millis(250);
        if reads_now {
            keeper.census_read = now;
        }
        let state = coordinator.state().clone();
        let census = coordinator.actionable_duty(DutyKind::Census, local_now);
        let conductor_term = coordinator.actionable_duty(DutyKind::Conductor, local_now);
        let named_term = coordinator.leased_duty(DutyKind::Conductor, local_now);
        if reads_now {
            self.later(Span::millis(3), SimEvent::KeeperInput { keeper: number, life: Some(life), input: reading });
        }
        let keeper = &mut self.keepers[number];
        if state.listing.number.0 < self.listing_number {
            let since = *keeper.census_since.get_or_insert(now);
            if census.is_some() || now.since(since) >= Span::millis(500) {
                keeper.census_since = Some(now);
                let listing = self.listing();
                let request = RequestId(0xce00_0000 + self.listing_number);
                self.ask(number, Submission { request, command: Command::List(listing) }, None);
            }
        } else {
            keeper.census_since = None;
        }
        if let Some((term, _)) = conductor_term {
            self.conduct(number, term, &state, local_now);
        }
        match named_term {
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

    pub fn conduct(&mut self, number: usize, term: Term, state: &FleetState, local_now: Instant) {
        let observed: BTreeMap<EngineName, EngineObservation> = self
            .engines
            .iter()
            .filter(|engine| engine.up)
            .map(|engine| {
                let seen = EngineObservation {
                    boot: engine.memory.boot.to_string(),
                    weights: engine.weights,
                    running: engine.attempts.len() as u64,
                    accepting: engine.accepting,
                    at: local_now,
                };
                (engine.name.clone(), seen)
            })
            .collect();
        let now = self.now;
        self.keepers[number].submitted.retain(|_, until| now < *until);
        let acts = self.keepers[number].conductor.next_actions(state, &observed, local_now);
        for act in acts {
            match act {
                ConductorAction::SetEngineStatus { engine, status: standing }
                    if standing.closed && !self.may_close(number, state, &engine) => {}
                ConductorAction::SetEngineStatus { engine, status: standing } => {
                    let now = self.now;
                    let waits = self.keepers[number].submitted.get(&engine).is_some_and(|until| now < *until);
                    if waits {
                        continue;
                    }
                    self.keepers[number].submitted.insert(engine.clone(), now + Span::seconds(5));
                    let means = Meaning::Stands { keeper: number, engine: engine.clone() };
                    let request = RequestId(self.draw.next_u64());
                    self.ask(
                        number,
                        Submission { request, command: Command::SetEngineStatus { term, engine, status: standing } },
                        Some(means),
                    );
                }
                ConductorAction::Load { engine, weights, .. } => {
                    self.order(number, term, engine.clone(), engine, SimWish::LoadWeights(weights));
                }
                ConductorAction::Open { engine, .. } => {
                    self.order(number, term, engine.clone(), engine, SimWish::Open)
                }
                ConductorAction::DoStep { plan, .. } if !self.may_do_step(number, state, plan) => {}
                ConductorAction::DoStep { plan, step } => {
                    self.step_plan(number, plan, Command::DoStep { term, plan, step })
                }
                ConductorAction::EndPlan { plan, halted } => {
                    self.step_plan(number, plan, Command::EndPlan { term, plan, halted });
                }
            }
        }
    }

    /// Gives an order, unless an earlier wish for this engine is under way.
    pub fn order(&mut self, number: usize, term: Term, engine: EngineName, naming: EngineName, wish: SimWish) {
        let Some(engine) = self.engines.iter().position(|known| known.name == engine) else { return };
        if self.keepers[number].submitted.contains_key(&naming) {
            return;
        }
        self.keepers[number].submitted.insert(naming, self.now + Span::millis(700));
        let order = SimOrder { holder: self.keepers[number].id.to_string(), term, wish };
        let life = self.keepers[number].life;
        let delay = self.net.delay(&mut self.draw);
        self.later(delay, SimEvent::OrderLeaves { keeper: number, life, engine, order });
    }

    /// The duty is looked at once more in the write that would give the order.
    pub fn order_leaves(&mut self, number: usize, life: u64, engine: usize, order: SimOrder) {
        let keeper = &self.keepers[number];
        if keeper.life != life {
            return;
        }
        if keeper.frozen_until > self.now {
            let woken_at = keeper.frozen_until;
            return self.defer(woken_at, SimEvent::OrderLeaves { keeper: number, life, engine, order });
        }
        let Some(coordinator) = &keeper.coordinator else { return };
        let held = coordinator.actionable_duty(DutyKind::Conductor, keeper.clock.read(self.now));
        if held.is_some_and(|(term, _)| term == order.term) {
            let delay = self.net.delay(&mut self.draw);
            self.later(delay, SimEvent::Ordered { engine, order });
        }
    }

    fn step_plan(&mut self, number: usize, plan: Edition, command: Command) {
        let naming = EngineName(format!("plan {plan}"));
        if self.keepers[number].submitted.contains_key(&naming) {
            return;
        }
        self.keepers[number].submitted.insert(naming.clone(), self.now + Span::seconds(5));
        let request = RequestId(self.draw.next_u64());
        let means = Meaning::Stands { keeper: number, engine: naming };
        self.ask(number, Submission { request, command }, Some(means));
    }

    pub fn ask(&mut self, keeper: usize, submission: Submission, means: Option<Meaning>) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.asked.insert(ticket, AskedChange { request: submission.request, means });
        let limit = self.keepers[keeper].clock.read(self.now) + Span::seconds(8);
        let input = Input::Query { ticket, query: CoreQuery::Submit(submission), deadline: limit };
        let life = self.keepers[keeper].life;
        self.later(Span::millis(1), SimEvent::KeeperInput { keeper, life: Some(life), input });
    }

    /// A disk may be lost if the promise made for it holds: one at a time, the others whole.
    pub fn may_lose(&self, keeper: usize) -> bool {
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

/// What a synced store leaves on a simulated disk.
pub fn keep(disk: &mut PersistedState, stored: Stored) {
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
