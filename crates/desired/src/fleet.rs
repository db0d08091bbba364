//! The numbered fleet state and the commands that move it. Applying never fails: a command that does
//! not fit the state is settled as refused or stale and changes nothing but the number. The state
//! remembers the latest submissions, so the same request id is settled the same way again; those of
//! operators are remembered apart, and longer.

use crate::prelude::*;

/// How many submissions are remembered that are no operators' orders: their senders ask again within seconds, or
/// what they submit can be settled twice without harm.
const MAX_REMEMBERED_OUTCOMES: usize = 512;

/// The state of the fleet that all keepers and routers agree on, after the records up to an edition.
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
    #[serde(rename = "standings")]
    pub engine_statuses: BTreeMap<EngineName, EngineStatus>,
    pub duties: BTreeMap<DutyKind, Duty>,
    pub plans: BTreeMap<Edition, Plan>,
    /// Engines an operator had drained.
    pub drained: BTreeSet<EngineName>,
    #[serde(rename = "settled")]
    pub recent_outcomes: VecDeque<(RequestId, CommandOutcome)>,
    #[serde(default, rename = "orders")]
    pub operator_submissions: OperatorSubmissions,
    #[serde(default, rename = "claim_book")]
    pub claim_table: ClaimTable,
    #[serde(default)]
    pub configuration: Configuration,
    /// Weights named apart from the document; they hold for models that the document has.
    #[serde(default, rename = "named_weights")]
    pub minimum_weights: BTreeMap<ModelName, WeightsEdition>,
    #[serde(default)]
    pub adapters: AdapterPlacements,
}

impl FleetState {
    /// Applies a record of the chain, whatever becomes of its command.
    pub fn apply(&mut self, submission: &Submission) -> CommandOutcome {
        if let Some(earlier) = self.previous_outcome(submission.request) {
            self.edition = self.edition.next();
            return earlier;
        }
        let number = self.edition.next();
        let outcome = self.execute(number, &submission.command);
        self.edition = number;
        self.remember(submission, outcome.clone());
        outcome
    }

    /// Applies as a router does, which keeps no claims: they concern the core alone.
    pub fn apply_without_claims(&mut self, submission: &Submission) {
        if !submission.command.concerns_claims() {
            self.apply(submission);
            return;
        }
        self.edition = self.edition.next();
        self.remember(submission, CommandOutcome::Applied(self.edition));
    }

    fn remember(&mut self, submission: &Submission, outcome: CommandOutcome) {
        let request = submission.request;
        if let Some(fingerprint) = submission.command.order_fingerprint() {
            self.operator_submissions.remember(self.edition, request, fingerprint, outcome);
            return;
        }
        self.recent_outcomes.push_back((request, outcome));
        if self.recent_outcomes.len() > MAX_REMEMBERED_OUTCOMES {
            self.recent_outcomes.pop_front();
        }
    }

    /// The state as routers are given it.
    pub fn without_claims(&self) -> FleetState {
        let claim_table = ClaimTable::empty_at(self.claim_table.rotation);
        FleetState {
            edition: self.edition,
            desired_edition: self.desired_edition,
            desired_text: self.desired_text.clone(),
            desired: self.desired.clone(),
            shared_wall: self.shared_wall,
            walls: self.walls.clone(),
            listing: self.listing.clone(),
            listing_edition: self.listing_edition,
            engine_statuses: self.engine_statuses.clone(),
            duties: self.duties.clone(),
            plans: self.plans.clone(),
            drained: self.drained.clone(),
            recent_outcomes: self.recent_outcomes.clone(),
            operator_submissions: self.operator_submissions.clone(),
            claim_table,
            configuration: self.configuration.without_source(),
            minimum_weights: self.minimum_weights.clone(),
            adapters: self.adapters.clone(),
        }
    }

    /// How a request was settled, if that is still remembered.
    pub fn previous_outcome(&self, request: RequestId) -> Option<CommandOutcome> {
        let by_member = || self.recent_outcomes.iter().rev().find(|(earlier, _)| *earlier == request);
        let by_operator = self.operator_submissions.outcome(request);
        by_operator.or_else(|| by_member().map(|(_, outcome)| outcome)).cloned()
    }

    /// Why a submission cannot be settled under its id, if that was used for something else.
    pub fn request_id_conflict(&self, request: RequestId, fingerprint: Option<BlockHash>) -> Option<CommandOutcome> {
        let is_applied =
            fingerprint.is_some_and(|fingerprint| self.operator_submissions.has_other_content(request, fingerprint));
        is_applied.then(|| CommandOutcome::refused("x-request-id", "used for another change already"))
    }

    fn execute(&mut self, number: Edition, command: &Command) -> CommandOutcome {
        match command {
            Command::Replace { base, text } => self.replace_document(number, *base, text),
            Command::Merge { base, patch } => self.merge_document(number, *base, patch),
            Command::Configure(change) => self.configure(number, change),
            Command::QueryChange { base, fingerprint } => self.query_change(*base, *fingerprint),
            Command::RaiseWeights { model, weights } => self.raise_weights(number, model, *weights),
            Command::List(listing) => self.apply_listing(number, listing),
            Command::Appoint { kind, from_term, holder } => self.appoint(number, *kind, *from_term, *holder),
            Command::SetEngineStatus { term, engine, status } => {
                self.set_engine_status(number, *term, engine, status)
            }
            Command::PlaceCopy { term, engine, adapter, stage } => match self.holds_conductor_term(*term) {
                true => self.place_copy(number, engine, adapter, stage),
                false => conductor_term_mismatch(),
            },
            Command::ActivateRevision { term, adapter } => match self.holds_conductor_term(*term) {
                true => self.activate_revision(number, adapter),
                false => conductor_term_mismatch(),
            },
            Command::Claim { claim, router, run } => self.claim(number, *claim, (*router, *run)),
            Command::Release { claim, router, run } => self.release(number, *claim, (*router, *run)),
            Command::RotateClaims { rotation } => self.rotate_claims(number, *rotation),
            Command::Intend(_) | Command::Confirm { .. } | Command::DoStep { .. } | Command::EndPlan { .. } => {
                self.apply_plan_command(number, command)
            }
        }
    }

    /// The tenant whose key has this hash, if the key is in force.
    pub fn tenant_of_key(&self, key_hash: &str) -> Option<&TenantName> {
        self.desired
            .tenants
            .iter()
            .find(|(_, spec)| spec.keys.values().any(|known_hash| known_hash == key_hash))
            .map(|(tenant, _)| tenant)
    }

    /// Whether a key of this hash is an operator's.
    pub fn is_operator(&self, key_hash: &str) -> bool {
        self.desired.operators.values().any(|known_hash| known_hash == key_hash)
    }
}
