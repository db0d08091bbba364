//! The numbered fleet state and the commands that move it. Applying never fails: a command that does
//! not fit the state is settled as refused or stale and changes nothing but the number. The state
//! remembers the latest submissions, so the same request id is settled the same way again; those of
//! operators are remembered apart, and longer.

use crate::prelude::*;

/// How many submissions are remembered that are no operators' orders: their senders ask again within seconds, or
/// what they submit can be settled twice without harm.
const REMEMBERED_SUBMISSIONS: usize = 512;

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
    pub standings: BTreeMap<EngineName, Standing>,
    pub duties: BTreeMap<DutyKind, Duty>,
    pub plans: BTreeMap<Edition, Plan>,
    /// Engines an operator had drained.
    pub drained: BTreeSet<EngineName>,
    pub settled: VecDeque<(RequestId, Settled)>,
    #[serde(default)]
    pub orders: SettledOrders,
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
    /// Applies a record of the chain, whatever becomes of its command.
    pub fn apply(&mut self, submission: &Submission) -> Settled {
        if let Some(earlier) = self.settled_before(submission.request) {
            self.edition = self.edition.next();
            return earlier;
        }
        let number = self.edition.next();
        let outcome = self.settle(number, &submission.command);
        self.edition = number;
        self.remember(submission, outcome.clone());
        outcome
    }

    /// Applies as a router does, which keeps no claims: they concern the core alone.
    pub fn follow(&mut self, submission: &Submission) {
        if !submission.command.is_of_claims() {
            self.apply(submission);
            return;
        }
        self.edition = self.edition.next();
        self.remember(submission, Settled::Taken(self.edition));
    }

    fn remember(&mut self, submission: &Submission, outcome: Settled) {
        let request = submission.request;
        if let Some(fingerprint) = submission.command.order_fingerprint() {
            self.orders.remember(self.edition, request, fingerprint, outcome);
            return;
        }
        self.settled.push_back((request, outcome));
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
            orders: self.orders.clone(),
            claim_book,
            configuration: self.configuration.without_source(),
            named_weights: self.named_weights.clone(),
            adapters: self.adapters.clone(),
        }
    }

    /// How a request was settled, if that is still remembered.
    pub fn settled_before(&self, request: RequestId) -> Option<Settled> {
        let of_members = || self.settled.iter().rev().find(|(earlier, _)| *earlier == request);
        let order = self.orders.outcome(request);
        order.or_else(|| of_members().map(|(_, outcome)| outcome)).cloned()
    }

    /// Why a submission cannot be settled under its id, if that was used for something else.
    pub fn id_in_use(&self, request: RequestId, fingerprint: Option<BlockHash>) -> Option<Settled> {
        let is_taken = fingerprint.is_some_and(|fingerprint| self.orders.is_taken_by_another(request, fingerprint));
        is_taken.then(|| Settled::refused("x-request-id", "used for another change already"))
    }

    fn settle(&mut self, number: Edition, command: &Command) -> Settled {
        match command {
            Command::Replace { base, text } => self.replace_document(number, *base, text),
            Command::Merge { base, patch } => self.merge_document(number, *base, patch),
            Command::Configure(change) => self.configure(number, change),
            Command::RecallChange { base, fingerprint } => self.recall_change(*base, *fingerprint),
            Command::NameWeights { model, weights } => self.name_weights(number, model, *weights),
            Command::List(listing) => self.take_listing(number, listing),
            Command::Appoint { kind, from_term, holder } => self.appoint(number, *kind, *from_term, *holder),
            Command::Stand { term, engine, standing } => self.take_standing(number, *term, engine, standing),
            Command::PlaceCopy { term, engine, adapter, stage } => match self.conducts(*term) {
                true => self.place_copy(number, engine, adapter, stage),
                false => other_term(),
            },
            Command::UseRevision { term, adapter } => match self.conducts(*term) {
                true => self.use_revision(number, adapter),
                false => other_term(),
            },
            Command::Claim { claim, router, run } => self.claim(number, *claim, (*router, *run)),
            Command::Release { claim, router, run } => self.release(number, *claim, (*router, *run)),
            Command::TurnClaims { turn } => self.turn_claims(number, *turn),
            Command::Intend(_) | Command::Confirm { .. } | Command::DoStep { .. } | Command::EndPlan { .. } => {
                self.settle_plan_command(number, command)
            }
        }
    }

    /// The tenant whose key has this hash, if the key is in force.
    pub fn tenant_of_key(&self, key_hash: &str) -> Option<&TenantName> {
        self.desired
            .tenants
            .iter()
            .find(|(_, wish)| wish.keys.values().any(|known_hash| known_hash == key_hash))
            .map(|(tenant, _)| tenant)
    }

    /// Whether a key of this hash is an operator's.
    pub fn is_operator(&self, key_hash: &str) -> bool {
        self.desired.operators.values().any(|known_hash| known_hash == key_hash)
    }
}
