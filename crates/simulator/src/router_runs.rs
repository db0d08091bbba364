//! Requests at simulated routers. Each is driven by the same attempt machine, admission checks, picker and retry
//! budget as in the router program; its effects reach the simulated engines and callers.

use crate::prelude::*;

/// A piece of an engine's answer: its attempt and its index. For a whole answer the index is the number of pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimPiece {
    pub attempt: String,
    pub place: u64,
    /// The adapter it names.
    pub adapter: Option<AdapterId>,
}

/// A request under way at a router.
pub struct SimRun {
    pub number: u64,
    pub machine: AttemptMachine<SimPiece>,
    pub request: SimRequest,
    /// The caller that this run streams to now, and the number of that caller's stream.
    pub caller: Option<(usize, u64)>,
    pub limit: Instant,
    pub claim: Option<BlockHash>,
    pub(crate) attempt: Option<SimAttempt>,
    pub held: Option<HeldEvents<SimPiece>>,
    pub cut_kind: &'static str,
}

/// A caller's request.
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
    /// The question's number, shared by all its attempts, and its deadline.
    pub question: Option<(u64, Instant)>,
}

/// The current attempt of a run.
pub(crate) struct SimAttempt {
    pub(crate) name: String,
    pub(crate) engine: usize,
    pub(crate) blocks: BlockCount,
    pub(crate) placement: Box<Placement>,
    pub(crate) basis: AttemptBasis,
    pub(crate) names: Vec<BlockHash>,
    /// When its request reaches the engine; a close of the stream arrives no earlier.
    pub(crate) arrives_at: Option<Instant>,
    /// How long the engine may work on it, as last granted by the router.
    pub(crate) allowance: Allowance,
    pub(crate) prefill: PrefillState,
}

/// Progress of the prefill on another engine in a split pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillState {
    NotRequested,
    Requested,
    Done,
}

impl World {
    /// Admits a request that has reached a router: it is rejected or becomes a run.
    pub fn admit_request(&mut self, node: usize, caller: usize, request: SimRequest) {
        let now = self.now;
        let woken_at = self.nodes[node].frozen_until;
        if woken_at > now {
            return self.defer(woken_at, SimEvent::RequestArrives { node, caller, request });
        }
        let local_now = self.nodes[node].clock.read(now);
        let Some(router) = self.nodes[node].router.as_mut() else {
            return self.deliver_to_caller(caller, CallerMessage::NoAnswer);
        };
        self.callers[caller].line.router = format!("n{node}");
        if !is_leased(router.lease_until, local_now) {
            return self.deliver_to_caller(caller, CallerMessage::Final { status: 503, outcome: "not_run" });
        }
        let Some(tenant) = router.snapshot.tenants_by_key.get(&request.key_hash).cloned() else {
            return self.deliver_to_caller(caller, CallerMessage::Final { status: 401, outcome: "not_run" });
        };
        if let Some(adapter) = router.snapshot.state.adapter_for(&tenant, &ModelName(MODEL.into())) {
            let span = router.snapshot.state.desired.warming.demand_window;
            router.meter.record(&adapter.name, span, local_now);
        }
        router.next_run += 1;
        let number = router.next_run;
        let run_name = format!("{}.{number}", router.id);
        let router_id = router.id;
        self.callers[caller].line.run = run_name.clone();
        let claim = request
            .idempotency_key
            .filter(|_| !request.repeatable)
            .map(|key| BlockHash::of_parts(&[b"claim", tenant.as_str().as_bytes(), &key.to_le_bytes()]));
        let terms = RequestTerms {
            run: run_name,
            repeatable: request.repeatable,
            streams: request.streams,
            claims: claim.is_some(),
            resumes: request.resumes,
        };
        let run = SimRun {
            number,
            machine: AttemptMachine::new(terms),
            limit: local_now + request.limit,
            request: SimRequest { tenant, ..request },
            caller: Some((caller, 0)),
            claim,
            attempt: None,
            held: None,
            cut_kind: "",
        };
        router.runs.insert(number, run);
        self.drive(node, router_id, number, AttemptInput::Begin);
    }

    /// Handles a message from an engine to an attempt; ignored if that attempt has ended.
    pub fn handle_engine_input(&mut self, to: AttemptAddress, input: AttemptInput<SimPiece>) {
        let woken_at = self.nodes[to.node].frozen_until;
        if woken_at > self.now {
            return self.defer(woken_at, SimEvent::RunInput { to, input });
        }
        let router = self.nodes[to.node].router.as_ref().filter(|router| router.id == to.router);
        let Some((router, run)) = router.and_then(|router| Some((router, router.runs.get(&to.run)?))) else { return };
        if run.attempt.as_ref().is_none_or(|attempt| attempt.name != to.attempt) {
            return;
        }
        // A router that wakes up checks the key and its lease before it reads what arrived meanwhile.
        let local_now = self.nodes[to.node].clock.read(self.now);
        let (key_hash, tenant) = (&run.request.key_hash, &run.request.tenant);
        let input = match may_continue(&router.snapshot, router.lease_until, key_hash, tenant, local_now) {
            Err(refusal) => AttemptInput::WorkStopped(refusal),
            Ok(()) => check_named_adapter(run, input),
        };
        let is_cold = matches!(&input, AttemptInput::Head { detail, .. } if detail == ADAPTER_NOT_RESIDENT);
        let adapter = run
            .attempt
            .as_ref()
            .and_then(|attempt| Some((attempt.basis.engine.clone(), attempt.basis.adapter.clone()?)));
        if let (true, Some((engine, adapter)), Some(router)) = (is_cold, adapter, self.nodes[to.node].router.as_mut())
        {
            router.picker.record_cold(&engine, &adapter, local_now);
        }
        self.drive(to.node, to.router, to.run, input);
    }

    /// Steps a run's attempt machine and carries out its effects and the inputs that follow from them.
    pub fn drive(&mut self, node: usize, router_id: NodeId, number: u64, input: AttemptInput<SimPiece>) {
        self.drive_or_write(node, router_id, number, Some(input));
    }

    /// Steps a run. Without an input, sends an attempt whose prefill is done to its decode engine.
    pub(crate) fn drive_or_write(
        &mut self,
        node: usize,
        router_id: NodeId,
        number: u64,
        input: Option<AttemptInput<SimPiece>>,
    ) {
        let Some(router) = self.nodes[node].router.as_mut().filter(|router| router.id == router_id) else { return };
        let Some(mut run) = router.runs.remove(&number) else { return };
        let writes = input.is_none();
        let mut inputs: VecDeque<AttemptInput<SimPiece>> = input.into_iter().collect();
        if writes {
            let local_now = self.nodes[node].clock.read(self.now);
            self.write_request(node, router_id, &mut run, local_now, &mut inputs);
        }
        while let Some(input) = inputs.pop_front() {
            for effect in run.machine.step(input) {
                self.apply_attempt_effect(node, router_id, &mut run, effect, &mut inputs);
            }
        }
        let stays = !run.machine.is_done() || run.held.is_some();
        if let Some(router) = self.nodes[node].router.as_mut().filter(|_| stays) {
            router.runs.insert(number, run);
        }
    }
}

/// Turns an answer that names another adapter than the attempt's into a broken stream.
fn check_named_adapter(run: &SimRun, input: AttemptInput<SimPiece>) -> AttemptInput<SimPiece> {
    let AttemptInput::Piece { piece, .. } = &input else { return input };
    let adapter = run.attempt.as_ref().and_then(|attempt| attempt.basis.adapter.as_ref());
    let named = piece.adapter.as_ref().map(AdapterId::to_string);
    match names_expected_adapter(adapter, named.as_deref()) {
        true => input,
        false => AttemptInput::Broken("an answer of another adapter".into()),
    }
}
