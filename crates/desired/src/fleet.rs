//! The numbered fleet state and the commands that move it. Applying never fails: a command that does
//! not fit the state is settled as refused or stale and changes nothing but the number. The state
//! remembers the latest submissions, so the same request id is settled the same way again.

use crate::prelude::*;

const REMEMBERED_SUBMISSIONS: usize = 512;
/// What a refused claim is told when no more can be remembered.
pub const CLAIMS_FULL: &str = "full";

/// How the platform lists an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listed {
    #[default]
    Open,
    Leaving,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    #[default]
    Whole,
    Prefill,
    Decode,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEngine {
    pub address: String,
    pub zone: Zone,
    pub model: ModelName,
    pub role: Role,
    pub listed: Listed,
    /// The service whose requests it takes; none where services are not told apart.
    #[serde(default)]
    pub service: ServiceName,
    /// Requests it works on at once; 0 if the list does not say.
    #[serde(default)]
    pub slots: u64,
    /// The weights the list shows for it.
    #[serde(default)]
    pub weights: Option<WeightsEdition>,
    /// Models that it holds besides, with the weights the list shows for each.
    #[serde(default)]
    pub further_models: BTreeMap<ModelName, WeightsEdition>,
}

impl ListedEngine {
    /// All models that the engine holds.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        std::iter::once(&self.model).chain(self.further_models.keys())
    }

    pub fn serves(&self, model: &ModelName) -> bool {
        self.model == *model || self.further_models.contains_key(model)
    }

    /// The weights of a model that the list shows.
    pub fn listed_weights(&self, model: &ModelName) -> Option<WeightsEdition> {
        if self.model == *model { self.weights } else { self.further_models.get(model).copied() }
    }
}

/// The platform's listing, whole; an engine that is not in it is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub boot: String,
    pub number: ListingNumber,
    pub engines: BTreeMap<EngineName, ListedEngine>,
}

/// What the conductor has settled about an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The weights the engine confirmed to the conductor, and the boot it confirmed them in.
    pub confirmed: Option<(WeightsEdition, String)>,
    /// Closed by the conductor for an order under way.
    pub closed: bool,
    /// The weights it confirmed of the models that it holds besides its first.
    #[serde(default)]
    pub further_confirmed: BTreeMap<ModelName, WeightsEdition>,
}

impl Standing {
    /// The newest weights of a model that the engine is known to hold, by its own word or by the list.
    pub fn held_weights(&self, listed: &ListedEngine, model: &ModelName) -> Option<WeightsEdition> {
        let confirmed = match listed.model == *model {
            true => self.confirmed.as_ref().map(|(weights, _)| *weights),
            false => self.further_confirmed.get(model).copied(),
        };
        confirmed.max(listed.listed_weights(model))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DutyKind {
    Census,
    Conductor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: NodeId,
    pub term: Term,
}

/// The wall a tenant's memory stands behind; number 0 is shared by all unwalled tenants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Wall {
    pub id: WallId,
    pub edition: WallEdition,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A whole document.
    Replace {
        base: Option<Edition>,
        text: String,
    },
    /// A whole configuration under a revision of the operators' own.
    Configure(Box<ConfigurationChange>),
    /// New weights of a model, whatever the document says of it.
    NameWeights {
        model: ModelName,
        weights: WeightsEdition,
    },
    /// A merge patch.
    Merge {
        base: Option<Edition>,
        patch: String,
    },
    List(Listing),
    Appoint {
        kind: DutyKind,
        from_term: Term,
        holder: NodeId,
    },
    /// The conductor's word on an engine, valid under its term alone.
    Stand {
        term: Term,
        engine: EngineName,
        standing: Standing,
    },
    /// The conductor's word on a copy of an adapter at an engine, valid under its term alone; no stage
    /// takes the copy out of the state.
    PlaceCopy {
        term: Term,
        engine: EngineName,
        adapter: AdapterId,
        stage: Option<CopyStage>,
    },
    /// Requests run on this revision of an adapter from here on, valid under the conductor's term alone.
    UseRevision {
        term: Term,
        adapter: AdapterId,
    },
    /// An operator's intent; the plan made of it goes by this record's number.
    Intend(Intent),
    Confirm {
        plan: Edition,
    },
    /// The conductor does a plan's next step.
    DoStep {
        term: Term,
        plan: Edition,
        step: usize,
    },
    /// The conductor ends a plan that cannot go on, or that nobody confirmed.
    EndPlan {
        term: Term,
        plan: Edition,
        halted: Option<String>,
    },
    /// A run claims an idempotency key, by the key's hash, for the first time or in vain.
    Claim {
        claim: BlockHash,
        router: NodeId,
        run: u64,
    },
    /// A run that surely did not run gives its claim back.
    Release {
        claim: BlockHash,
        router: NodeId,
        run: u64,
    },
    /// The tail has the book of claims turned.
    TurnClaims {
        turn: u64,
    },
}

fn other_term() -> Settled {
    Settled::Refused(vec![Complaint::at("duty", "another term holds the conductor's duty")])
}

impl Command {
    /// The size of the operators' text in it, for bounds on what is kept.
    pub fn text_bytes(&self) -> usize {
        match self {
            Command::Replace { text, .. } => text.len(),
            Command::Merge { patch, .. } => patch.len(),
            Command::Configure(change) => change.document.len() + change.source.len(),
            _ => 0,
        }
    }
}

/// One record of the chain: who asked, and for what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub request: RequestId,
    pub command: Command,
}

/// How a submission was settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    Taken(Edition),
    Stale { now: Edition },
    Refused(Vec<Complaint>),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    pub edition: Edition,
    /// The edition in which the operators' document last changed: its ETag.
    pub desired_edition: Edition,
    pub desired_text: String,
    pub desired: DesiredState,
    pub shared_wall: WallEdition,
    pub walls: BTreeMap<TenantName, Wall>,
    pub listing: Listing,
    /// The edition in which the listing was taken.
    pub listing_edition: Edition,
    pub standings: BTreeMap<EngineName, Standing>,
    pub duties: BTreeMap<DutyKind, Duty>,
    pub plans: BTreeMap<Edition, Plan>,
    /// Engines an operator had drained.
    pub drained: BTreeSet<EngineName>,
    pub settled: VecDeque<(RequestId, Settled)>,
    #[serde(default)]
    pub claim_book: ClaimBook,
    #[serde(default)]
    pub configuration: Configuration,
    /// Weights named apart from the document; they hold for models that the document has.
    #[serde(default)]
    pub named_weights: BTreeMap<ModelName, WeightsEdition>,
    #[serde(default)]
    pub adapters: HeldAdapters,
}

impl FleetState {
    pub fn apply(&mut self, submission: &Submission) -> Settled {
        if let Some(earlier) = self.settled_before(submission.request) {
            self.edition = self.edition.next();
            return earlier;
        }
        let number = self.edition.next();
        let outcome = self.settle(number, &submission.command);
        self.edition = number;
        self.settled.push_back((submission.request, outcome.clone()));
        if self.settled.len() > REMEMBERED_SUBMISSIONS {
            self.settled.pop_front();
        }
        outcome
    }

    /// Applies as a router does, which keeps no claims: they concern the core alone.
    pub fn follow(&mut self, submission: &Submission) {
        let is_of_claims = matches!(
            submission.command,
            Command::Claim { .. } | Command::Release { .. } | Command::TurnClaims { .. }
        );
        if !is_of_claims {
            self.apply(submission);
            return;
        }
        self.edition = self.edition.next();
        self.settled.push_back((submission.request, Settled::Taken(self.edition)));
        if self.settled.len() > REMEMBERED_SUBMISSIONS {
            self.settled.pop_front();
        }
    }

    /// The state as routers are given it.
    pub fn without_claims(&self) -> FleetState {
        let claim_book = ClaimBook::blank(self.claim_book.turn);
        FleetState {
            edition: self.edition,
            desired_edition: self.desired_edition,
            desired_text: self.desired_text.clone(),
            desired: self.desired.clone(),
            shared_wall: self.shared_wall,
            walls: self.walls.clone(),
            listing: self.listing.clone(),
            listing_edition: self.listing_edition,
            standings: self.standings.clone(),
            duties: self.duties.clone(),
            plans: self.plans.clone(),
            drained: self.drained.clone(),
            settled: self.settled.clone(),
            claim_book,
            configuration: self.configuration.without_source(),
            named_weights: self.named_weights.clone(),
            adapters: self.adapters.clone(),
        }
    }

    pub fn settled_before(&self, request: RequestId) -> Option<Settled> {
        self.settled.iter().rev().find(|(earlier, _)| *earlier == request).map(|(_, outcome)| outcome.clone())
    }

    fn settle(&mut self, number: Edition, command: &Command) -> Settled {
        match command {
            Command::Replace { base, text } => {
                let Some(stale) = self.stale(*base) else {
                    return self.take_document(number, text, None, DOCUMENT_BOUNDS);
                };
                stale
            }
            Command::Merge { base, patch } => {
                let Some(stale) = self.stale(*base) else {
                    let current_text = self.desired_text.clone();
                    return self.take_document(number, &current_text, Some(patch), DOCUMENT_BOUNDS);
                };
                stale
            }
            Command::Configure(change) => self.configure(number, change),
            Command::NameWeights { model, weights } => self.name_weights(number, model, *weights),
            Command::List(listing) => self.take_listing(number, listing),
            Command::Appoint { kind, from_term, holder } => {
                let held_term = self.duties.get(kind).map_or(Term(0), |duty| duty.term);
                if held_term != *from_term {
                    return Settled::Refused(vec![Complaint::at("duty", format!("term is {held_term}"))]);
                }
                self.duties.insert(*kind, Duty { holder: *holder, term: held_term.next() });
                Settled::Taken(number)
            }
            Command::Stand { term, engine, standing } => {
                if !self.conducts(*term) {
                    return other_term();
                }
                if self.listing.engines.contains_key(engine) {
                    self.standings.insert(engine.clone(), standing.clone());
                }
                Settled::Taken(number)
            }
            Command::PlaceCopy { term, engine, adapter, stage } => match self.conducts(*term) {
                true => self.place_copy(number, engine, adapter, stage),
                false => other_term(),
            },
            Command::UseRevision { term, adapter } => match self.conducts(*term) {
                true => self.use_revision(number, adapter),
                false => other_term(),
            },
            Command::Claim { claim, router, run } => self.claim(number, *claim, (*router, *run)),
            Command::Release { claim, router, run } => {
                self.claim_book.give_back(*claim, (*router, *run));
                Settled::Taken(number)
            }
            Command::TurnClaims { turn } => match self.claim_book.turn_from(*turn) {
                true => Settled::Taken(number),
                false => Settled::Refused(vec![Complaint::at("turn", "turned already")]),
            },
            plan_command => self.plan_command(number, plan_command),
        }
    }

    fn plan_command(&mut self, number: Edition, command: &Command) -> Settled {
        match command {
            Command::Intend(intent) => match self.plan_steps(intent) {
                Ok(steps) => {
                    let (intent, base) = (intent.clone(), self.desired_edition);
                    let plan = Plan { intent, base, steps, done: 0, status: PlanStatus::Stated, confirmed: None };
                    self.plans.insert(number, plan);
                    self.drop_old_plans();
                    Settled::Taken(number)
                }
                Err(complaints) => Settled::Refused(complaints),
            },
            Command::Confirm { plan } => self.confirm(number, *plan),
            Command::DoStep { term, plan, step } => self.do_step(number, *term, *plan, *step),
            Command::EndPlan { term, plan, halted } => {
                if !self.conducts(*term) {
                    return other_term();
                }
                let Some(ended) = self.plans.get_mut(plan).filter(|plan| !plan.is_over()) else {
                    return Settled::Refused(vec![Complaint::at("plan", "unknown or over")]);
                };
                ended.status = halted.clone().map_or(PlanStatus::Expired, PlanStatus::Halted);
                Settled::Taken(number)
            }
            _ => Settled::Refused(vec![Complaint::at("", "not a plan's command")]),
        }
    }

    fn conducts(&self, term: Term) -> bool {
        self.duties.get(&DutyKind::Conductor).map(|duty| duty.term) == Some(term)
    }

    fn drop_old_plans(&mut self) {
        while self.plans.len() > KEPT_PLANS {
            let oldest_over = self.plans.iter().find(|(_, plan)| plan.is_over()).map(|(number, _)| *number);
            let Some(dropped) = oldest_over.or_else(|| self.plans.keys().next().copied()) else { return };
            self.plans.remove(&dropped);
        }
    }

    fn confirm(&mut self, number: Edition, plan_number: Edition) -> Settled {
        let desired_edition = self.desired_edition;
        let refused = |reason: String| Settled::Refused(vec![Complaint::at("plan", reason)]);
        let Some(plan) = self.plans.get_mut(&plan_number) else { return refused("unknown plan".into()) };
        if let Some(confirmed) = plan.confirmed {
            return Settled::Taken(confirmed);
        }
        match &plan.status {
            PlanStatus::Stated if plan.base != desired_edition => Settled::Stale { now: desired_edition },
            PlanStatus::Stated => {
                plan.status = PlanStatus::Confirmed;
                plan.confirmed = Some(number);
                Settled::Taken(number)
            }
            PlanStatus::Expired => refused("the plan has expired".into()),
            other => refused(format!("the plan is {other:?}")),
        }
    }

    fn do_step(&mut self, number: Edition, term: Term, plan_number: Edition, step_number: usize) -> Settled {
        if !self.conducts(term) {
            return other_term();
        }
        let next_step =
            self.plans.get(&plan_number).filter(|plan| plan.done == step_number).and_then(Plan::next_step);
        let Some(step) = next_step.cloned() else {
            return Settled::Refused(vec![Complaint::at("step", "not the next one")]);
        };
        let outcome = match step {
            Step::Patch(patch) => {
                let current_text = self.desired_text.clone();
                self.take_document(number, &current_text, Some(&patch), DOCUMENT_BOUNDS)
            }
            Step::Drain { engine } => {
                self.drained.insert(engine);
                Settled::Taken(number)
            }
            Step::Undrain { engine } => {
                self.drained.remove(&engine);
                Settled::Taken(number)
            }
            Step::WaitWeights { .. } | Step::WaitIdle { .. } => Settled::Taken(number),
        };
        if let Some(plan) = self.plans.get_mut(&plan_number) {
            match &outcome {
                Settled::Refused(complaints) => {
                    let reasons: Vec<String> = complaints.iter().map(Complaint::to_string).collect();
                    plan.status = PlanStatus::Halted(reasons.join("; "));
                }
                _ => {
                    plan.done += 1;
                    if plan.done == plan.steps.len() {
                        plan.status = PlanStatus::Done;
                    }
                }
            }
        }
        outcome
    }

    fn claim(&mut self, number: Edition, claim: BlockHash, claimant: Claimant) -> Settled {
        let (path, reason) = match self.claim_book.take(claim, claimant) {
            Ok(()) => return Settled::Taken(number),
            Err(ClaimFault::Held((router, run))) => (format!("{router}.{run}"), "claimed"),
            Err(ClaimFault::Released) => (format!("{}.{}", claimant.0, claimant.1), "given back before"),
            Err(ClaimFault::Full) => (String::new(), CLAIMS_FULL),
        };
        Settled::Refused(vec![Complaint::at(&path, reason)])
    }

    fn stale(&self, base: Option<Edition>) -> Option<Settled> {
        base.filter(|base| *base != self.desired_edition).map(|_| Settled::Stale { now: self.desired_edition })
    }

    pub(crate) fn take_document(
        &mut self,
        number: Edition,
        text: &str,
        patch: Option<&String>,
        bounds: Bounds,
    ) -> Settled {
        let base_text = if text.is_empty() { "{}" } else { text };
        let checked = parse_bounded(base_text, bounds).and_then(|mut document| {
            if let Some(patch_text) = patch {
                merge(&mut document, &parse_bounded(patch_text, bounds)?);
            }
            Ok(document)
        });
        let document = match checked {
            Ok(document) => document,
            Err(complaint) => return Settled::Refused(vec![complaint]),
        };
        let desired_text = write_sorted(&document);
        if desired_text.len() > bounds.bytes {
            return Settled::Refused(vec![Complaint::at("", "too large once merged")]);
        }
        let mut next_desired = match read_document(&document) {
            Ok(next_desired) => next_desired,
            Err(complaints) => return Settled::Refused(complaints),
        };
        for (model, weights) in &self.named_weights {
            if let Some(wish) = next_desired.models.get_mut(model) {
                wish.weights = wish.weights.max(*weights);
            }
        }
        let complaints = self.check_move(&next_desired);
        if !complaints.is_empty() {
            return Settled::Refused(complaints);
        }
        self.move_walls(number, &next_desired);
        self.adapters.follow(&self.desired, &next_desired);
        std::mem::swap(&mut self.desired, &mut next_desired);
        self.desired_text = desired_text;
        self.desired_edition = number;
        Settled::Taken(number)
    }

    /// What no document may do to the one before it: take weights back, or lock every operator out.
    fn check_move(&self, next_desired: &DesiredState) -> Vec<Complaint> {
        let mut complaints = Vec::new();
        for (model, wish) in &next_desired.models {
            let Some(current_wish) = self.desired.models.get(model) else { continue };
            if wish.weights < current_wish.weights {
                let reason =
                    format!("weights editions only grow: {} is below {}", wish.weights, current_wish.weights);
                complaints.push(Complaint::at(&format!("models.{model}.weights"), reason));
            }
        }
        if next_desired.operators.is_empty() && !self.desired.operators.is_empty() {
            complaints.push(Complaint::at("operators", "at least one operator key must stay"));
        }
        complaints.extend(self.desired.check_adapter_move(next_desired, &self.adapters.given_up));
        complaints
    }

    /// A tenant newly walled gets a wall of its own, and shared memory, which may hold what it made
    /// before, starts over for everybody else.
    fn move_walls(&mut self, number: Edition, next_desired: &DesiredState) {
        for (tenant, wish) in &next_desired.tenants {
            let was_walled = self.walls.contains_key(tenant);
            if wish.walled && !was_walled {
                let own_wall = BlockHash::over(&[b"wall", tenant.as_str().as_bytes(), &number.0.to_le_bytes()]);
                let wall = Wall { id: WallId(own_wall.0.max(1)), edition: WallEdition(number.0) };
                self.walls.insert(tenant.clone(), wall);
                if self.desired.tenants.contains_key(tenant) {
                    self.shared_wall = WallEdition(number.0);
                }
            }
        }
        self.walls.retain(|tenant, _| next_desired.tenants.get(tenant).is_some_and(|wish| wish.walled));
    }

    fn take_listing(&mut self, number: Edition, listing: &Listing) -> Settled {
        if listing.boot == self.listing.boot && listing.number <= self.listing.number {
            return Settled::Refused(vec![Complaint::at("listing", format!("already at {}", self.listing.number))]);
        }
        self.drained.retain(|engine| listing.engines.contains_key(engine));
        for (engine, known) in &self.listing.engines {
            let moved = listing.engines.get(engine).is_none_or(|listed| listed.address != known.address);
            if moved {
                self.standings.remove(engine);
                self.adapters.forget_engine(engine);
            }
        }
        self.listing = listing.clone();
        self.listing_edition = number;
        Settled::Taken(number)
    }

    pub fn wall_of(&self, tenant: &TenantName) -> Wall {
        self.walls.get(tenant).copied().unwrap_or(Wall { id: WallId(0), edition: self.shared_wall })
    }

    /// The tenant whose key has this hash, if the key is in force.
    pub fn tenant_of_key(&self, key_hash: &str) -> Option<&TenantName> {
        self.desired
            .tenants
            .iter()
            .find(|(_, wish)| wish.keys.values().any(|known_hash| known_hash == key_hash))
            .map(|(tenant, _)| tenant)
    }

    pub fn is_operator(&self, key_hash: &str) -> bool {
        self.desired.operators.values().any(|known_hash| known_hash == key_hash)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn submit(state: &mut FleetState, command: Command) -> Settled {
        state.apply(&Submission { request: RequestId::random(), command })
    }

    fn merge_in(state: &mut FleetState, patch: &str) -> Settled {
        submit(state, Command::Merge { base: None, patch: patch.into() })
    }

    #[test]
    fn walling_a_tenant_starts_shared_memory_over() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"tenants":{"a":{},"b":{}}}"#);
        let wall_before = state.wall_of(&"b".into());
        assert_eq!(state.wall_of(&"a".into()), wall_before);
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":true}}}"#);
        assert_ne!(state.wall_of(&"a".into()).id, state.wall_of(&"b".into()).id);
        assert_ne!(state.wall_of(&"b".into()), wall_before, "what a made unwalled must not serve b");
        let first_wall = state.wall_of(&"a".into());
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":false}}}"#);
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":true}}}"#);
        assert_ne!(state.wall_of(&"a".into()), first_wall);
    }

    #[test]
    fn tenants_walled_at_once_get_walls_of_their_own() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"tenants":{"a":{"walled":true},"b":{"walled":true}}}"#);
        assert_ne!(state.wall_of(&"a".into()), state.wall_of(&"b".into()));
    }

    #[test]
    fn a_repeated_submission_is_settled_once() {
        let mut state = FleetState::default();
        let submission = Submission {
            request: RequestId(7),
            command: Command::Merge { base: Some(Edition(0)), patch: r#"{"kinds":["x"]}"#.into() },
        };
        assert_eq!(state.apply(&submission), Settled::Taken(Edition(1)));
        assert_eq!(state.apply(&submission), Settled::Taken(Edition(1)));
        assert_eq!(state.desired_edition, Edition(1));
        let late = Command::Merge { base: Some(Edition(0)), patch: "{}".into() };
        assert_eq!(submit(&mut state, late), Settled::Stale { now: Edition(1) });
    }

    #[test]
    fn a_refused_document_changes_nothing() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"models":{"m":{"weights":2}}}"#);
        let state_before = state.clone();
        for patch in [r#"{"models":{"m":{"weights":1}}}"#, r#"{"x":1}"#, "{", "[]"] {
            assert!(matches!(merge_in(&mut state, patch), Settled::Refused(_)), "{patch}");
        }
        assert_eq!(state.desired, state_before.desired);
        assert_eq!(state.desired_edition, state_before.desired_edition);
    }

    #[test]
    fn an_older_listing_is_not_taken_back() {
        let mut state = FleetState::default();
        let listing = |number| Listing { boot: "b".into(), number: ListingNumber(number), ..Listing::default() };
        assert!(matches!(submit(&mut state, Command::List(listing(5))), Settled::Taken(_)));
        assert!(matches!(submit(&mut state, Command::List(listing(4))), Settled::Refused(_)));
        assert_eq!(state.listing.number, ListingNumber(5));
    }

    #[test]
    fn a_plan_is_confirmed_once_and_no_step_is_done_twice() {
        let mut state = FleetState::default();
        merge_in(&mut state, r#"{"models":{"m":{"weights":1}},"tenants":{"a":{}},"policies":{"p":{"weight":4}}}"#);
        submit(&mut state, Command::Appoint { kind: DutyKind::Conductor, from_term: Term(0), holder: NodeId(1) });
        let intend = |state: &mut FleetState, intent| match submit(state, Command::Intend(intent)) {
            Settled::Taken(plan) => plan,
            other => panic!("{other:?}"),
        };
        let tenants = vec![TenantName::from("a")];
        let plan = intend(&mut state, Intent::Trial { policy: "p".into(), tenants: tenants.clone() });
        let step = |term, step| Command::DoStep { term: Term(term), plan, step };
        assert!(matches!(submit(&mut state, step(1, 0)), Settled::Refused(_)), "not confirmed yet");
        let confirmed = submit(&mut state, Command::Confirm { plan });
        assert_eq!(submit(&mut state, Command::Confirm { plan }), confirmed, "twice is once");
        assert!(matches!(submit(&mut state, step(2, 0)), Settled::Refused(_)), "another term");
        assert!(matches!(submit(&mut state, step(1, 0)), Settled::Taken(_)));
        assert_eq!(state.desired.trials[&tenants[0]], "p");
        assert!(matches!(submit(&mut state, step(1, 0)), Settled::Refused(_)), "a step is done once");
        assert_eq!(state.plans[&plan].status, PlanStatus::Done);

        let late_plan = intend(&mut state, Intent::Adopt { policy: "p".into() });
        merge_in(&mut state, r#"{"kinds":["moved"]}"#);
        assert!(matches!(submit(&mut state, Command::Confirm { plan: late_plan }), Settled::Stale { .. }));
        let adopted = intend(&mut state, Intent::Adopt { policy: "p".into() });
        submit(&mut state, Command::EndPlan { term: Term(1), plan: late_plan, halted: None });
        assert!(matches!(submit(&mut state, Command::Confirm { plan: late_plan }), Settled::Refused(_)), "expired");
        submit(&mut state, Command::Confirm { plan: adopted });
        submit(&mut state, Command::DoStep { term: Term(1), plan: adopted, step: 0 });
        assert_eq!((state.desired.policies["default"].weight, state.desired.trials.len()), (4.0, 0));
        let unknown = Intent::Wall { tenant: "nobody".into() };
        assert!(matches!(submit(&mut state, Command::Intend(unknown)), Settled::Refused(_)));
    }

    #[test]
    fn a_claim_is_held_until_released_by_its_own_run() {
        let mut state = FleetState::default();
        let claim = |run| Command::Claim { claim: BlockHash(7), router: NodeId(1), run };
        assert!(matches!(submit(&mut state, claim(1)), Settled::Taken(_)));
        let Settled::Refused(complaints) = submit(&mut state, claim(2)) else { panic!("claimed twice") };
        assert_eq!(complaints[0].path, format!("{}.1", NodeId(1)));
        submit(&mut state, Command::Release { claim: BlockHash(7), router: NodeId(1), run: 2 });
        assert!(matches!(submit(&mut state, claim(3)), Settled::Refused(_)), "not its own run");
        submit(&mut state, Command::Release { claim: BlockHash(7), router: NodeId(1), run: 1 });
        assert!(matches!(submit(&mut state, claim(3)), Settled::Taken(_)));
    }
}
