//! The replicated fleet state and the dispatch of commands.
//!
//! Applying a submission never fails: a command that does not fit the state is refused or stale and changes only
//! the edition. The state remembers the outcomes of recent submissions, so that a retry with the same request id
//! gets the same outcome. Operators' submissions are remembered separately, and for longer.

use crate::prelude::*;

/// Remembered outcomes of submissions that do not come from operators. Their senders retry within seconds, or
/// applying their command twice does no harm.
const MAX_REMEMBERED_OUTCOMES: usize = 512;

/// The state of the fleet after all chain records up to `edition`, equal on all keepers and routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    pub edition: Edition,
    /// The edition in which the operators' document last changed; it is the document's ETag.
    pub desired_edition: Edition,
    /// The operators' document as JSON with sorted keys.
    pub desired_text: String,
    pub desired: DesiredState,
    /// The edition of the wall that all unwalled tenants share.
    pub shared_wall: WallEdition,
    pub walls: BTreeMap<TenantName, Wall>,
    pub listing: Listing,
    /// The edition in which the listing was last replaced.
    pub listing_edition: Edition,
    #[serde(rename = "standings")]
    pub engine_statuses: BTreeMap<EngineName, EngineStatus>,
    pub duties: BTreeMap<DutyKind, Duty>,
    pub plans: BTreeMap<Edition, Plan>,
    /// Engines that operators have drained.
    pub drained: BTreeSet<EngineName>,
    /// Recent submissions that do not come from operators, with their outcomes; the newest is last.
    #[serde(rename = "settled")]
    pub recent_outcomes: VecDeque<(RequestId, CommandOutcome)>,
    #[serde(default, rename = "orders")]
    pub operator_submissions: OperatorSubmissions,
    #[serde(default, rename = "claim_book")]
    pub claim_table: ClaimTable,
    #[serde(default)]
    pub configuration: Configuration,
    /// Minimum weights of models, set independently of the document; they apply to models in the document.
    #[serde(default, rename = "named_weights")]
    pub minimum_weights: BTreeMap<ModelName, WeightsEdition>,
    #[serde(default)]
    pub adapters: AdapterPlacements,
    #[serde(default = "FormerTenants::unknown", skip_serializing_if = "FormerTenants::is_unknown")]
    pub former_tenants: FormerTenants,
}

impl FleetState {
    /// Applies a chain record and returns the outcome of its command; a retry gets the remembered outcome.
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

    /// Applies a chain record on a router. Routers keep no claim table, so commands on claims change only the
    /// edition and the remembered outcomes.
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

    /// A copy for routers: without claims, and without the operators' configuration source.
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
            former_tenants: self.former_tenants.clone(),
        }
    }

    /// The outcome of an earlier submission with this request id, if it is still remembered.
    pub fn previous_outcome(&self, request: RequestId) -> Option<CommandOutcome> {
        let by_member = || self.recent_outcomes.iter().rev().find(|(earlier, _)| *earlier == request);
        let by_operator = self.operator_submissions.outcome(request);
        by_operator.or_else(|| by_member().map(|(_, outcome)| outcome)).cloned()
    }

    /// The refusal of a submission whose request id was already used for another change.
    pub fn request_id_conflict(&self, request: RequestId, fingerprint: Option<BlockHash>) -> Option<CommandOutcome> {
        let is_reused =
            fingerprint.is_some_and(|fingerprint| self.operator_submissions.has_other_content(request, fingerprint));
        is_reused.then(|| CommandOutcome::refused("x-request-id", "already used for another change"))
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

    /// The tenant that has a key with this hash.
    pub fn tenant_of_key(&self, key_hash: &str) -> Option<&TenantName> {
        self.desired
            .tenants
            .iter()
            .find(|(_, spec)| spec.keys.values().any(|known_hash| known_hash == key_hash))
            .map(|(tenant, _)| tenant)
    }

    /// Whether an operator has a key with this hash.
    pub fn is_operator(&self, key_hash: &str) -> bool {
        self.desired.operators.values().any(|known_hash| known_hash == key_hash)
    }
}
