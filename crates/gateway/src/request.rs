//! A planned request: its tenant, route and deadline, and the names under which its prompt's parts are cached.
//! Each attempt selects an engine by it.

use crate::prelude::*;

/// The number of tokens in a block of an engine's cache.
pub const BLOCK_TOKENS: u64 = 16;
const MAX_PRIORITY: u64 = 9;

/// A request and what was derived from it on arrival.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    pub method: Method,
    pub target: String,
    /// The caller's end-to-end headers, unchanged.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The connection on which it arrived; the response counts against its budget.
    pub client: ClientAccount,
    pub head: CallerHead,
    pub route: Arc<NamedRoute>,
    pub service: ServiceName,
    /// The tenant and the hash of its API key; `None` without a known key.
    pub tenant: Option<(TenantName, String)>,
    pub began: Instant,
    pub deadline: Instant,
}

impl PlannedRequest {
    /// The retries that the route allows.
    pub fn retry_rules(&self) -> RetryRules {
        let spec = &self.route.spec;
        RetryRules {
            attempts: spec.attempts.max(1),
            repeatable: spec.is_repeatable(),
            resumable: spec.variant == RouteKind::Streaming && spec.resumable,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_streaming(&self) -> bool {
        self.route.spec.variant == RouteKind::Streaming
    }

    /// The priority for the engine: the tenant's if set, otherwise the route's.
    pub fn priority(&self, snapshot: &FleetSnapshot) -> u64 {
        let tenant = self.tenant.as_ref().and_then(|(tenant, _)| snapshot.state.desired.tenants.get(tenant));
        tenant.and_then(|spec| spec.priority).unwrap_or(self.route.spec.priority).min(MAX_PRIORITY)
    }

    /// The salt of this tenant's part names on an engine with these weights.
    pub fn salt(&self, snapshot: &FleetSnapshot, weights: WeightsEdition) -> Salt {
        let tenant = self.tenant.as_ref().map(|(tenant, _)| tenant);
        salt_for(snapshot, tenant, self.head.model.as_ref(), weights)
    }

    /// The prompt's parts by the names under which they are cached with these weights. Those of a request that names
    /// no model are not known: each engine runs it on its own first model.
    pub fn named_parts(&self, snapshot: &FleetSnapshot, weights: WeightsEdition) -> Vec<(PartName, u64)> {
        if self.head.model.is_none() {
            return Vec::new();
        }
        let salt = self.salt(snapshot, weights);
        self.head.parts.iter().map(|part| (PartName::of(&salt.0, &part.id), part.tokens)).collect()
    }

    /// The hash of the parts that the prompt is assumed to share with others: all but the last.
    fn shared_prefix(&self, snapshot: &FleetSnapshot, weights: Option<WeightsEdition>) -> u64 {
        let salt = weights.map_or(Salt(String::new()), |weights| self.salt(snapshot, weights));
        let shared = self.head.parts.iter().rev().skip(1).rev();
        shared.fold(PartName::of(&salt.0, "").0, |prefix, part| PartName::of(&prefix.to_string(), &part.id).0)
    }

    /// Builds the selection request; `sampling_seed` must differ for each selection.
    pub fn selection(
        &self,
        snapshot: &FleetSnapshot,
        candidates: &[Candidate],
        tried: &[EngineName],
        sampling_seed: u64,
    ) -> SelectionRequest {
        let editions: BTreeSet<WeightsEdition> = candidates.iter().map(|candidate| candidate.weights).collect();
        let service = snapshot.state.desired.services.get(&self.service).cloned().unwrap_or_default();
        SelectionRequest {
            parts_by_weights: editions
                .iter()
                .map(|weights| (*weights, self.named_parts(snapshot, *weights)))
                .collect(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: self.head.output_tokens,
            tried: tried.to_vec(),
            priority: self.priority(snapshot),
            target: self.route.spec.target,
            block_tokens: BLOCK_TOKENS,
            tie_break_seed: self.shared_prefix(snapshot, editions.last().copied()),
            sampling_seed,
            zone_penalty_blocks: ZONE_PENALTY_BLOCKS,
            token_bytes: service.token_bytes,
            link_mbps: service.link_mbps,
        }
    }
}

/// The salt of a tenant's part names for a model. Every request has one, since without a salt an engine shares its
/// parts with all others; requests without a model share among themselves, within the tenant's wall.
pub(crate) fn salt_for(
    snapshot: &FleetSnapshot,
    tenant: Option<&TenantName>,
    model: Option<&ModelName>,
    weights: WeightsEdition,
) -> Salt {
    let (no_tenant, no_model) = (TenantName::default(), ModelName::default());
    let wall = snapshot.state.wall_of(tenant.unwrap_or(&no_tenant));
    Salt::for_model(model.unwrap_or(&no_model), weights, wall.id, wall.edition)
}

/// The extra cost in blocks of an engine in another zone: its traffic crosses zones and its responses come later.
const ZONE_PENALTY_BLOCKS: f64 = 8.0;
