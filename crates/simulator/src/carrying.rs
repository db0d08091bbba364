//! Requests at routers in virtual time: each is driven by the same carriage, gate, picker and budget as
//! in the router, and its effects reach the modelled engines and callers.

use crate::prelude::*;

const CLAIM_LIMIT: Span = Span::millis(2500);
const CLAIM_AGAIN: Span = Span::millis(400);
const WORK_LOOK: Span = Span::millis(100);

/// A piece as an engine made it: of which shot, and which in order. A whole answer's place is how many
/// pieces long it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimPiece {
    pub shot: String,
    pub place: u64,
    /// The adapter it names.
    pub adapter: Option<AdapterId>,
}

pub struct SimRun {
    pub number: u64,
    pub carriage: Carriage<SimPiece>,
    pub request: SimRequest,
    /// The caller whose stream this run feeds now, and which of its streams that is.
    pub caller: Option<(usize, u64)>,
    pub limit: Instant,
    pub claim: Option<BlockHash>,
    shot: Option<SimShot>,
    pub held: Option<HeldEvents<SimPiece>>,
    pub cut_kind: &'static str,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct SimRequest {
    pub tenant: TenantName,
    pub key_hash: String,
    pub text: String,
    pub tokens: u64,
    pub streams: bool,
    pub repeatable: bool,
    pub resumes: bool,
    pub idempotency_key: Option<u64>,
    pub limit: Span,
    /// What is asked, however often, and by when it must be answered.
    pub question: Option<(u64, Instant)>,
}

struct SimShot {
    name: String,
    engine: usize,
    blocks: BlockCount,
    placement: Box<Placement>,
    ground: Ground,
    names: Vec<BlockHash>,
    /// When its question reaches the engine; a close of the stream comes after that.
    arrives_at: Option<Instant>,
    /// How long the engine may work on it, as the router last told it.
    allowance: Allowance,
    prefilled: Prefilled,
}

/// In a split pool, how far the prefill elsewhere has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prefilled {
    Not,
    Asked,
    Over,
}

impl World {
    /// A request has reached a router: it is turned away or becomes a run.
    pub fn enter(&mut self, node: usize, caller: usize, request: SimRequest) {
        let now = self.now;
        let woken_at = self.nodes[node].frozen_until;
        if woken_at > now {
            return self.defer(woken_at, Happening::Enters { node, caller, request });
        }
        let local_now = self.nodes[node].clock.read(now);
        let Some(router) = self.nodes[node].router.as_mut() else {
            return self.caller_gets(caller, CallerNews::NoAnswer);
        };
        self.callers[caller].line.router = format!("n{node}");
        if !is_leased(router.lease_until, local_now) {
            return self.caller_gets(caller, CallerNews::Final { status: 503, outcome: "not_run" });
        }
        let Some(tenant) = router.sight.tenants_by_key.get(&request.key_hash).cloned() else {
            return self.caller_gets(caller, CallerNews::Final { status: 401, outcome: "not_run" });
        };
        if let Some(adapter) = router.sight.state.adapter_for(&tenant, &ModelName(MODEL.into())) {
            let span = router.sight.state.desired.warming.demand_span;
            router.meter.note(&adapter.name, span, local_now);
        }
        router.next_run += 1;
        let number = router.next_run;
        let run_name = format!("{}.{number}", router.id);
        let router_id = router.id;
        self.callers[caller].line.run = run_name.clone();
        let claim = request
            .idempotency_key
            .filter(|_| !request.repeatable)
            .map(|key| BlockHash::over(&[b"claim", tenant.as_str().as_bytes(), &key.to_le_bytes()]));
        let terms = Terms {
            run: run_name,
            repeatable: request.repeatable,
            streams: request.streams,
            claims: claim.is_some(),
            resumes: request.resumes,
        };
        let run = SimRun {
            number,
            carriage: Carriage::new(terms),
            limit: local_now + request.limit,
            request: SimRequest { tenant, ..request },
            caller: Some((caller, 0)),
            claim,
            shot: None,
            held: None,
            cut_kind: "",
        };
        router.runs.insert(number, run);
        self.drive(node, router_id, number, CarriageInput::Begin);
    }

    /// News from an engine for a shot; void if that shot is over.
    pub fn hear_engine(&mut self, to: ShotPlaceName, input: CarriageInput<SimPiece>) {
        let woken_at = self.nodes[to.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, Happening::RunInput { to, input });
        }
        let router = self.nodes[to.node].router.as_ref().filter(|router| router.id == to.router);
        let Some((router, run)) = router.and_then(|router| Some((router, router.runs.get(&to.run)?))) else { return };
        if run.shot.as_ref().is_none_or(|shot| shot.name != to.shot) {
            return;
        }
        // A router woken looks at its key and lease before it reads what has come meanwhile.
        let local_now = self.nodes[to.node].clock.read(self.now);
        let (key_hash, tenant) = (&run.request.key_hash, &run.request.tenant);
        let input = match may_go_on(&router.sight, router.lease_until, key_hash, tenant, local_now) {
            Err(bar) => CarriageInput::WorkBarred(bar),
            Ok(()) => own_answer(run, input),
        };
        let is_cold = matches!(&input, CarriageInput::Head { told, .. } if told == NOT_RESIDENT);
        let adapter =
            run.shot.as_ref().and_then(|shot| Some((shot.ground.engine.clone(), shot.ground.adapter.clone()?)));
        if let (true, Some((engine, adapter)), Some(router)) = (is_cold, adapter, self.nodes[to.node].router.as_mut())
        {
            router.picker.note_cold(&engine, &adapter, local_now);
        }
        self.drive(to.node, to.router, to.run, input);
    }

    /// Steps a run's carriage, and whatever follows from its effects at once.
    pub fn drive(&mut self, node: usize, router_id: NodeId, number: u64, input: CarriageInput<SimPiece>) {
        self.drive_on(node, router_id, number, Some(input));
    }

    /// With no input, a shot whose prefill is over goes on to its engine.
    fn drive_on(&mut self, node: usize, router_id: NodeId, number: u64, input: Option<CarriageInput<SimPiece>>) {
        let Some(router) = self.nodes[node].router.as_mut().filter(|router| router.id == router_id) else { return };
        let Some(mut run) = router.runs.remove(&number) else { return };
        let writes = input.is_none();
        let mut inputs: VecDeque<CarriageInput<SimPiece>> = input.into_iter().collect();
        if writes {
            let local_now = self.nodes[node].clock.read(self.now);
            self.write(node, router_id, &mut run, local_now, &mut inputs);
        }
        while let Some(input) = inputs.pop_front() {
            for effect in run.carriage.step(input) {
                self.carry(node, router_id, &mut run, effect, &mut inputs);
            }
        }
        let stays = !run.carriage.is_done() || run.held.is_some();
        if let Some(router) = self.nodes[node].router.as_mut().filter(|_| stays) {
            router.runs.insert(number, run);
        }
    }

    fn carry(
        &mut self,
        node: usize,
        router_id: NodeId,
        run: &mut SimRun,
        effect: CarriageEffect<SimPiece>,
        inputs: &mut VecDeque<CarriageInput<SimPiece>>,
    ) {
        let now = self.now;
        let local_now = self.nodes[node].clock.read(now);
        match effect {
            CarriageEffect::Claim => {
                let Some(claim) = run.claim else { return };
                let command = Command::Claim { claim, router: router_id, run: run.number };
                self.ask_core(node, router_id, run.number, command, true);
            }
            CarriageEffect::ReleaseClaim => {
                let Some(claim) = run.claim else { return };
                let command = Command::Release { claim, router: router_id, run: run.number };
                self.ask_core(node, router_id, run.number, command, false);
            }
            CarriageEffect::Pick { tried, is_retry } => {
                inputs.push_back(CarriageInput::Picked(self.pick(node, run, tried, is_retry, local_now)));
            }
            CarriageEffect::Connect { shot } => {
                let Some(under_way) = run.shot.as_mut() else { return };
                under_way.name = shot.clone();
                let to = ShotPlaceName { node, router: router_id, run: run.number, shot };
                let (span, input) = match self.engines[under_way.engine].up {
                    true if self.net.slow && self.draw.chance(30) => {
                        (Span::millis(self.draw.between(100, 690)), CarriageInput::Connected)
                    }
                    true => (self.net.delay(&mut self.draw), CarriageInput::Connected),
                    false if self.draw.chance(30) => (Span::millis(700), CarriageInput::ConnectFault("late".into())),
                    false => (Span::millis(2), CarriageInput::ConnectFault("refused".into())),
                };
                let prefiller = under_way.placement.prefill.iter().map(|prefill| prefill.engine.clone());
                let engines = prefiller.chain([under_way.ground.engine.clone()]).collect();
                self.later(span, Happening::RunInput { to, input });
                self.freeze_in_connect(node, &run.request.key_hash, &run.request.tenant, engines);
            }
            CarriageEffect::Write => self.write(node, router_id, run, local_now, inputs),
            CarriageEffect::Began => {
                if let (Some(router), Some(shot)) = (self.nodes[node].router.as_mut(), &run.shot) {
                    router.picker.note_kept(&shot.ground.engine, &shot.names, local_now);
                }
                if run.request.resumes && run.request.streams {
                    run.held = Some(HeldEvents::default());
                }
            }
            CarriageEffect::SendPiece(piece) => {
                if let Some(held) = &mut run.held
                    && !held.hold(piece.clone(), 64)
                {
                    inputs.push_back(CarriageInput::BookFull);
                    return;
                }
                self.feed_caller(run, CallerNews::Piece(piece));
            }
            CarriageEffect::AnswerWhole(piece) => self.feed_caller(run, CallerNews::Whole(piece)),
            CarriageEffect::EndWhole => {
                if let Some(held) = &mut run.held {
                    held.end(HeldEnd::Whole, local_now);
                }
                self.feed_caller(run, CallerNews::End);
            }
            CarriageEffect::EndCut(reason) => {
                let kind = reason.kind;
                run.cut_kind = kind;
                if let Some(held) = &mut run.held {
                    held.end(HeldEnd::Cut(reason), local_now);
                }
                self.feed_caller(run, CallerNews::Cut(kind));
            }
            CarriageEffect::GiveUp(given_up) => {
                let outcome = match (given_up.kind, given_up.ran) {
                    (GivenUpKind::Claimed, _) => "claimed",
                    (_, Ran::Perhaps) => "unknown",
                    (_, Ran::No) => "not_run",
                };
                let status = match given_up.kind {
                    GivenUpKind::Claimed => 409,
                    GivenUpKind::KeyWithdrawn => 401,
                    GivenUpKind::LimitPassed => 504,
                    GivenUpKind::NoLease => 503,
                    GivenUpKind::NotServed | GivenUpKind::AdapterCold if given_up.ran == Ran::No => 503,
                    GivenUpKind::NotServed | GivenUpKind::AdapterCold => 502,
                };
                self.feed_caller(run, CallerNews::Final { status, outcome });
            }
            CarriageEffect::EndShot => self.end_shot(node, run),
            CarriageEffect::ShotFault { rests, .. } => {
                if let (Some(router), Some(shot), true) = (self.nodes[node].router.as_mut(), &run.shot, rests) {
                    router.picker.note_fault(&shot.ground.engine, local_now);
                }
            }
        }
    }

    fn pick(
        &mut self,
        node: usize,
        run: &mut SimRun,
        tried: Vec<EngineName>,
        is_retry: bool,
        local_now: Instant,
    ) -> PickOutcome {
        let Some(router) = self.nodes[node].router.as_mut() else { return PickOutcome::Overloaded };
        let sight = &router.sight;
        let model = ModelName(MODEL.into());
        let wall = sight.state.wall_of(&run.request.tenant);
        let adapter = sight.state.adapter_for(&run.request.tenant, &model);
        let salt_on = |weights| Salt::of(&model, weights, wall.id, wall.edition).under(adapter.as_ref());
        let names: BTreeMap<WeightsEdition, Vec<BlockHash>> = sight
            .editions_in_use(&model, local_now)
            .into_iter()
            .map(|weights| (weights, cut(&salt_on(weights), run.request.text.as_bytes())))
            .collect();
        let prompt = Prompt {
            tenant: run.request.tenant.clone(),
            kind: "k".into(),
            model: model.clone(),
            adapter: adapter.clone(),
            names,
            blocks: blocks_of(run.request.text.len()),
            outcome_blocks: BlockCount(run.request.tokens.div_ceil(16)),
            lot: 0,
            tried,
        };
        let Some(placement) = router.picker.pick(sight, &prompt, local_now) else {
            let is_cold = adapter.is_some_and(|adapter| !sight.is_warm_anywhere(&adapter, local_now));
            return if is_cold { PickOutcome::NoAdapter } else { PickOutcome::NoEngine };
        };
        if is_retry {
            if !router.budget.spend() {
                return PickOutcome::NoBudget;
            }
            router.retries += 1;
        } else {
            router.budget.earn(sight.state.desired.routing.retry_percent);
        }
        router.shots += 1;
        let weights = placement.chosen.weights;
        let engine_name = placement.chosen.engine.clone();
        let blocks = BlockCount(prompt.blocks.0 + prompt.outcome_blocks.0);
        let ground = Ground {
            key_hash: run.request.key_hash.clone(),
            tenant: run.request.tenant.clone(),
            model: model.clone(),
            engine: engine_name.clone(),
            weights,
            adapter: adapter.clone(),
            salt: salt_on(weights),
            limit: run.limit,
        };
        router.picker.begin_shot(&engine_name, blocks);
        let names = prompt.names.get(&weights).cloned().unwrap_or_default();
        let Some(engine) = self.engines.iter().position(|engine| engine.name == engine_name) else {
            return PickOutcome::NoEngine;
        };
        run.shot = Some(SimShot {
            name: String::new(),
            engine,
            blocks,
            placement: Box::new(placement),
            ground,
            names,
            arrives_at: None,
            allowance: Allowance::under(router.lease_until, run.limit),
            prefilled: Prefilled::Not,
        });
        PickOutcome::Placed(engine_name)
    }

    fn write(
        &mut self,
        node: usize,
        router_id: NodeId,
        run: &mut SimRun,
        local_now: Instant,
        inputs: &mut VecDeque<CarriageInput<SimPiece>>,
    ) {
        let (Some(router), Some(shot)) = (&self.nodes[node].router, run.shot.as_mut()) else { return };
        let to = ShotPlaceName { node, router: router_id, run: run.number, shot: shot.name.clone() };
        if let Some(prefill) = shot.placement.prefill.clone()
            && shot.prefilled == Prefilled::Not
        {
            shot.prefilled = Prefilled::Asked;
            let ground = Ground { engine: prefill.engine.clone(), ..shot.ground.clone() };
            let place = self.engines.iter().position(|engine| engine.name == prefill.engine);
            let may_prefill = may_start(&router.sight, router.lease_until, &ground, local_now).is_ok();
            if let Some(engine) = place.filter(|_| may_prefill) {
                let ask = EngineAsk {
                    to: to.clone(),
                    tenant: run.request.tenant.clone(),
                    weights: ground.weights,
                    adapter: ground.adapter.clone(),
                    salt: ground.salt.clone(),
                    names: shot.names.clone(),
                    fetches: Vec::new(),
                    tokens: 0,
                    streams: false,
                    limit: run.limit.since(local_now),
                };
                let patience = Span(run.limit.since(local_now).0 / 2);
                let delay = self.net.delay(&mut self.draw);
                self.later(delay, Happening::EnginePrefills { engine, ask: Box::new(ask) });
                return self.later(patience, Happening::Prefilled { to });
            }
        }
        shot.prefilled = Prefilled::Over;
        if let Err(bar) = may_start(&router.sight, router.lease_until, &shot.ground, local_now) {
            inputs.push_back(CarriageInput::Barred(bar));
            return;
        }
        let arrives_at = self.now + self.net.delay(&mut self.draw);
        shot.arrives_at = Some(arrives_at);
        shot.allowance = Allowance::under(router.lease_until, run.limit);
        let ask = EngineAsk {
            to,
            tenant: run.request.tenant.clone(),
            weights: shot.ground.weights,
            adapter: shot.ground.adapter.clone(),
            salt: shot.ground.salt.clone(),
            names: shot.names.clone(),
            fetches: shot.placement.fetches.clone(),
            tokens: run.request.tokens,
            streams: run.request.streams,
            limit: shot.allowance.left(local_now),
        };
        let engine = shot.engine;
        self.at(arrives_at, Happening::EngineGets { engine, ask: Box::new(ask) });
    }

    /// A prefill is over, or was waited for long enough: the decoding engine is asked.
    pub fn hear_prefilled(&mut self, to: ShotPlaceName) {
        let woken_at = self.nodes[to.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, Happening::Prefilled { to });
        }
        let router = self.nodes[to.node].router.as_ref().filter(|router| router.id == to.router);
        let shot = router.and_then(|router| router.runs.get(&to.run)?.shot.as_ref());
        if shot.is_some_and(|shot| shot.name == to.shot && shot.prefilled == Prefilled::Asked) {
            self.drive_on(to.node, to.router, to.run, None);
        }
    }

    fn end_shot(&mut self, node: usize, run: &mut SimRun) {
        let Some(shot) = run.shot.take() else { return };
        if let Some(router) = self.nodes[node].router.as_mut() {
            router.picker.end_shot(&shot.ground.engine, shot.blocks);
        }
        if let Some(arrives_at) = shot.arrives_at {
            let closed_at = self.now + Span::millis(3) + self.net.delay(&mut self.draw);
            let lost = Happening::EngineLosesCaller { engine: shot.engine, shot: shot.name };
            self.at(closed_at.max(arrives_at), lost);
        }
    }

    fn feed_caller(&mut self, run: &SimRun, news: CallerNews) {
        if let Some((caller, _)) = run.caller.filter(|attached| self.is_attached(*attached)) {
            self.caller_gets(caller, news);
        }
    }

    // Claims.

    fn ask_core(&mut self, node: usize, router: NodeId, run: u64, command: Command, is_claim: bool) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let submission = Submission { request: RequestId(self.draw.number() | 1), command };
        if is_claim {
            self.tickets.insert(ticket, (node, router, run));
        }
        let until = self.now + CLAIM_LIMIT;
        self.say_submission(node, router, ticket, submission, until);
    }

    /// Says a submission to the agent, again and again until it is settled or its limit has passed.
    pub fn say_submission(
        &mut self,
        node: usize,
        router: NodeId,
        ticket: u64,
        submission: Submission,
        until: Instant,
    ) {
        let woken_at = self.nodes[node].frozen_until;
        let again = |submission| Happening::ClaimAgain { node, router, ticket, submission, until };
        if woken_at > self.now {
            return self.defer(woken_at, again(submission));
        }
        let is_here = self.nodes[node].router.as_ref().is_some_and(|known| known.id == router);
        if !is_here {
            return;
        }
        if self.now >= until {
            if let Some((_, _, run)) = self.tickets.remove(&ticket) {
                self.drive(node, router, run, CarriageInput::ClaimSettled(Claimed::Unknown));
            }
            return;
        }
        if self.nodes[node].fed_router == Some(router) {
            let input = CourierInput::Router(RouterUp::Submit { ticket, submission: submission.clone() });
            self.tell_node(node, input);
        }
        self.later(CLAIM_AGAIN, again(submission));
    }

    pub fn settle_claim(&mut self, node: usize, ticket: u64, outcome: Settled) {
        let Some((_, router, run)) = self.tickets.remove(&ticket) else { return };
        self.drive(node, router, run, CarriageInput::ClaimSettled(Claimed::of(Some(outcome))));
    }

    // What ends work.

    /// Limits, withdrawn keys and long-lost leases end what a router has under way.
    pub fn look_at_work(&mut self, node: usize) {
        if self.nodes[node].frozen_until > self.now {
            return;
        }
        let local_now = self.nodes[node].clock.read(self.now);
        let Some(router) = self.nodes[node].router.as_mut() else { return };
        let router_id = router.id;
        router.runs.retain(|_, run| !run.held.as_ref().is_some_and(|held| held.is_over(local_now)));
        let mut ended = Vec::new();
        for (number, run) in router.runs.iter().filter(|(_, run)| !run.carriage.is_done()) {
            let (key_hash, tenant) = (&run.request.key_hash, &run.request.tenant);
            if let Err(bar) = may_go_on(&router.sight, router.lease_until, key_hash, tenant, local_now) {
                ended.push((*number, CarriageInput::WorkBarred(bar)));
            } else if local_now >= run.limit {
                ended.push((*number, CarriageInput::LimitPassed));
            }
        }
        for (number, input) in ended {
            self.drive(node, router_id, number, input);
        }
        self.allow_more(node, local_now);
    }

    /// Engines that are at work for long are allowed more time while the lease bears it.
    fn allow_more(&mut self, node: usize, local_now: Instant) {
        let Some(router) = self.nodes[node].router.as_mut() else { return };
        let mut allowed = Vec::new();
        for run in router.runs.values_mut() {
            let Some(shot) = run.shot.as_mut().filter(|shot| shot.arrives_at.is_some()) else { continue };
            if let Some(more) = shot.allowance.more(router.lease_until, run.limit, local_now) {
                shot.allowance = more;
                allowed.push((shot.engine, shot.name.clone(), more.left(local_now)));
            }
        }
        for (engine, shot, span) in allowed {
            let delay = self.net.delay(&mut self.draw);
            self.later(delay, Happening::EngineAllows { engine, shot, span });
        }
    }

    pub fn work_pulse(&mut self, node: usize, life: u64) {
        if self.nodes[node].life == life {
            self.look_at_work(node);
            self.later(WORK_LOOK, Happening::WorkLook { node, life });
        }
    }

    /// A router's runs end with it; engines notice at once, or not if the whole machine is gone.
    pub fn lose_runs(&mut self, node: usize, with_machine: bool) {
        let Some(router) = self.nodes[node].router.take() else { return };
        for run in router.runs.into_values() {
            if !run.carriage.is_done() {
                self.feed_caller(&run, CallerNews::Lost);
            }
            let Some(shot) = run.shot.filter(|_| !with_machine) else { continue };
            if let Some(arrives_at) = shot.arrives_at {
                let lost = Happening::EngineLosesCaller { engine: shot.engine, shot: shot.name };
                self.at(arrives_at.max(self.now + Span::millis(3)), lost);
            }
        }
    }

    // Resuming.

    /// A caller asks a router for the rest of its run.
    pub fn resume(&mut self, node: usize, caller: usize, carried: bool) {
        let woken_at = self.nodes[node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, Happening::Resumes { node, caller, carried });
        }
        let local_now = self.nodes[node].clock.read(self.now);
        let Some(router) = self.nodes[node].router.as_mut() else {
            return self.caller_gets(caller, CallerNews::Refused);
        };
        if !is_leased(router.lease_until, local_now) {
            return self.caller_gets(caller, CallerNews::Refused);
        }
        let line = &self.callers[caller].line;
        let Some(tenant) = router.sight.tenants_by_key.get(&line.key).cloned() else {
            return self.caller_gets(caller, CallerNews::Gone);
        };
        let Some(named) = EventName::read(&line.run) else { return self.caller_gets(caller, CallerNews::Gone) };
        if named.router != router.id {
            let has_door = !carried && router.doors.iter().any(|door| door.router == named.router);
            let holds = |other: &SimNode| other.router.as_ref().is_some_and(|known| known.id == named.router);
            let found = self.nodes.iter().position(holds).filter(|_| has_door);
            let delay = self.net.delay(&mut self.draw);
            return match found {
                Some(holder) => self.later(delay, Happening::Resumes { node: holder, caller, carried: true }),
                None => self.caller_gets(caller, CallerNews::Gone),
            };
        }
        let last_piece = line.pieces.checked_sub(1);
        let Some(run) = router.runs.get_mut(&named.run).filter(|run| run.request.tenant == tenant) else {
            return self.caller_gets(caller, CallerNews::Gone);
        };
        let Some(held) = &run.held else { return self.caller_gets(caller, CallerNews::Gone) };
        let Some(place) = resume_place(last_piece, held.count()) else {
            return self.caller_gets(caller, CallerNews::Gone);
        };
        let (pieces, end) = held.from(place);
        run.caller = Some((caller, self.callers[caller].attach()));
        let cut_kind = run.cut_kind;
        for piece in pieces {
            self.caller_gets(caller, CallerNews::Piece(piece));
        }
        match end {
            Some(HeldEnd::Whole) => self.caller_gets(caller, CallerNews::End),
            Some(HeldEnd::Cut(_)) => self.caller_gets(caller, CallerNews::Cut(cut_kind)),
            None => {}
        }
    }
}

/// What an engine tells, if it names the adapter that the shot was to run on.
fn own_answer(run: &SimRun, input: CarriageInput<SimPiece>) -> CarriageInput<SimPiece> {
    let CarriageInput::Piece { piece, .. } = &input else { return input };
    let adapter = run.shot.as_ref().and_then(|shot| shot.ground.adapter.as_ref());
    let named = piece.adapter.as_ref().map(AdapterId::to_string);
    match is_own_answer(adapter, named.as_deref()) {
        true => input,
        false => CarriageInput::Broken("an answer of another adapter".into()),
    }
}
