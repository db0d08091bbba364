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
    pub fn salt(&self, snapshot: &FleetSnapshot, weights: WeightsEdition) -> Option<Salt> {
        let model = self.head.model.as_ref()?;
        let unknown = TenantName::default();
        let tenant = self.tenant.as_ref().map_or(&unknown, |(tenant, _)| tenant);
        let wall = snapshot.state.wall_of(tenant);
        Some(Salt::for_model(model, weights, wall.id, wall.edition))
    }

    /// The prompt's parts by the names under which they are cached with these weights.
    pub fn named_parts(&self, snapshot: &FleetSnapshot, weights: WeightsEdition) -> Vec<(PartName, u64)> {
        let Some(salt) = self.salt(snapshot, weights) else { return Vec::new() };
        self.head.parts.iter().map(|part| (PartName::of(&salt.0, &part.id), part.tokens)).collect()
    }

    /// The hash of the parts that the prompt is assumed to share with others: all but the last.
    fn shared_prefix(&self, snapshot: &FleetSnapshot, weights: Option<WeightsEdition>) -> u64 {
        let salt = weights.and_then(|weights| self.salt(snapshot, weights)).unwrap_or(Salt(String::new()));
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

/// The extra cost in blocks of an engine in another zone: its traffic crosses zones and its responses come later.
const ZONE_PENALTY_BLOCKS: f64 = 8.0;
