//! Chooses where an engine fetches parts that it lacks: from one peer or store that caches clearly more of the
//! prompt's prefix, if the transfer is fast enough for the settings. The cost of a fetch depends on the links and
//! zones between source and engine, so each candidate is scored by the transfers that are possible for it. Part
//! names are salted, so parts of other weights or isolation domains never match. Only sources whose events are
//! timely count.

use crate::prelude::*;

/// A fetch must gain more tokens than this.
pub const FETCH_MIN_TOKENS: u64 = 2048;
/// A transfer between zones takes this many times as long as one within a zone.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// The source from which the chosen engine fetches cached parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchSource {
    pub source: EngineName,
    pub address: String,
    /// Tokens of the prompt's prefix that it caches beyond those at the chosen engine.
    pub tokens: u64,
}

/// The address, zone and link of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreLocation {
    pub address: String,
    pub zone: Zone,
    pub link_mbps: f64,
}

/// The source name for a store's events; no engine can have this name.
pub fn store_source(service: &ServiceName) -> EngineName {
    EngineName(format!("@store:{service}"))
}

/// A source of cached parts, with what it caches of one prompt.
#[derive(Clone, Debug)]
pub(crate) struct CachedPrefix {
    source: EngineName,
    address: String,
    location: SourceLocation,
    /// Tokens of the prompt's prefix that it caches.
    cached: u64,
}

/// The properties of a source that determine how long a transfer from it takes.
#[derive(Clone, Debug)]
struct SourceLocation {
    zone: Zone,
    link_mbps: f64,
}

/// What the sources cache of one prompt for one weights edition.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedPrefixes {
    prefixes: Vec<CachedPrefix>,
    /// The most tokens cached at each location. There are few locations, so scoring every candidate is cheap.
    locations: Vec<(SourceLocation, u64)>,
}

impl CachedPrefixes {
    /// The longest prefix that any source caches, in tokens.
    pub fn longest(&self) -> u64 {
        self.locations.iter().map(|(_, cached)| *cached).max().unwrap_or(0)
    }

    fn add(&mut self, prefix: CachedPrefix) {
        let is_same = |location: &SourceLocation| {
            location.zone == prefix.location.zone && location.link_mbps == prefix.location.link_mbps
        };
        match self.locations.iter_mut().find(|(location, _)| is_same(location)) {
            Some((_, longest)) => *longest = (*longest).max(prefix.cached),
            None => self.locations.push((prefix.location.clone(), prefix.cached)),
        }
        self.prefixes.push(prefix);
    }
}

impl Selector {
    /// What sources with timely events cache of the prompt, for each weights edition.
    pub(crate) fn cached_prefixes(
        &self,
        candidates: &[Candidate],
        request: &SelectionRequest,
        now: Instant,
    ) -> BTreeMap<WeightsEdition, CachedPrefixes> {
        let mut by_weights: BTreeMap<WeightsEdition, CachedPrefixes> = BTreeMap::new();
        for (weights, parts) in &request.parts_by_weights {
            let prefixes = by_weights.entry(*weights).or_default();
            let peers = candidates.iter().filter(|peer| peer.weights == *weights);
            for peer in peers.filter(|peer| !request.tried.contains(&peer.engine)) {
                let location = SourceLocation { zone: peer.zone.clone(), link_mbps: request.link_mbps };
                let Some(cached) = self.cached_tokens_if_timely(&peer.engine, parts, now) else { continue };
                prefixes.add(CachedPrefix {
                    source: peer.engine.clone(),
                    address: peer.address.clone(),
                    location,
                    cached,
                });
            }
            for (service, store) in &self.stores {
                let source = store_source(service);
                let link_mbps = request.link_mbps.min(store.link_mbps);
                let location = SourceLocation { zone: store.zone.clone(), link_mbps };
                let Some(cached) = self.cached_tokens_if_timely(&source, parts, now) else { continue };
                prefixes.add(CachedPrefix { source, address: store.address.clone(), location, cached });
            }
        }
        by_weights
    }

    /// Tokens of the prompt's prefix that a source caches, if any and if its events are timely.
    fn cached_tokens_if_timely(&self, source: &EngineName, parts: &[(PartName, u64)], now: Instant) -> Option<u64> {
        let state = self.sources.get(source)?;
        if now < state.backoff_until || state.events_are_late(self.settings.events_late, now) {
            return None;
        }
        Some(self.index.kept_tokens(state.index, parts)).filter(|tokens| *tokens > 0)
    }

    /// The cost of the tokens that the candidate lacks, expressed in tokens to prefill; fetching some of them
    /// may cost less. `cached_tokens` is what the candidate caches itself.
    pub(crate) fn min_prefill_cost(
        &self,
        cached: &CachedPrefixes,
        request: &SelectionRequest,
        candidate: &Candidate,
        cached_tokens: u64,
    ) -> u64 {
        let lacking = request.prompt_tokens.saturating_sub(cached_tokens);
        let with_transfers = cached.locations.iter().filter_map(|(location, available)| {
            let gain = (*available).min(request.prompt_tokens).saturating_sub(cached_tokens);
            let transferred = self.transfer_cost(location, request, candidate, gain)?;
            Some(lacking - gain + transferred)
        });
        with_transfers.min().unwrap_or(lacking).min(lacking)
    }

    /// The cost of transferring these tokens, expressed in tokens to prefill; none if the transfer isn't worthwhile.
    fn transfer_cost(
        &self,
        location: &SourceLocation,
        request: &SelectionRequest,
        candidate: &Candidate,
        gain: u64,
    ) -> Option<u64> {
        if gain <= self.settings.fetch_min_tokens {
            return None;
        }
        let transfer_millis = self.transfer_millis(location, request, candidate, gain);
        let prefill_millis = gain as f64 / self.tokens_per_ms(&candidate.service);
        if transfer_millis >= prefill_millis * self.settings.fetch_max_time_share {
            return None;
        }
        let share = (transfer_millis / prefill_millis).max(self.settings.fetch_share);
        Some((gain as f64 * share) as u64)
    }

    /// The source from which the chosen engine is told to fetch. `cached_tokens` is what it caches itself.
    pub(crate) fn fetch_source(
        &self,
        cached: &CachedPrefixes,
        request: &SelectionRequest,
        chosen: &Candidate,
        cached_tokens: u64,
    ) -> Option<FetchSource> {
        let peers = cached.prefixes.iter().filter(|prefix| prefix.source != chosen.engine);
        let worthwhile = peers.filter_map(|prefix| {
            let gain = prefix.cached.min(request.prompt_tokens).saturating_sub(cached_tokens);
            let transferred = self.transfer_cost(&prefix.location, request, chosen, gain)?;
            let transfer_millis = self.transfer_millis(&prefix.location, request, chosen, gain);
            Some((gain - transferred.min(gain), gain, transfer_millis, prefix))
        });
        worthwhile
            .min_by(|(left_saved, left_gain, left_millis, left), (right_saved, right_gain, right_millis, right)| {
                right_saved
                    .cmp(left_saved)
                    .then_with(|| right_gain.cmp(left_gain))
                    .then_with(|| left_millis.total_cmp(right_millis))
                    .then_with(|| self.tie_break(request, &left.source).cmp(&self.tie_break(request, &right.source)))
            })
            .map(|(_, tokens, _, prefix)| FetchSource {
                source: prefix.source.clone(),
                address: prefix.address.clone(),
                tokens,
            })
    }

    /// The store to which an engine sends shared parts after prefill: preferably one in its own zone, and none that
    /// caches all of them already. `available` is the number of tokens that the engine need not prefill.
    pub(crate) fn sink(
        &self,
        request: &SelectionRequest,
        chosen: &Candidate,
        available: u64,
        now: Instant,
    ) -> Option<String> {
        let parts = request.parts(chosen.weights);
        let shared = &parts[..parts.len().saturating_sub(1)];
        let shared_tokens: u64 = shared.iter().map(|(_, tokens)| *tokens).sum();
        if available >= shared_tokens {
            return None;
        }
        let incomplete_stores = self.stores.iter().filter(|(service, _)| {
            let Some(state) = self.sources.get(&store_source(service)) else { return false };
            let is_timely = now >= state.backoff_until && !state.events_are_late(self.settings.events_late, now);
            is_timely && self.index.kept_tokens(state.index, shared) < shared_tokens
        });
        let nearest = incomplete_stores.min_by_key(|(_, location)| location.zone != chosen.zone);
        nearest.map(|(_, location)| location.address.clone())
    }

    fn transfer_millis(
        &self,
        location: &SourceLocation,
        request: &SelectionRequest,
        candidate: &Candidate,
        tokens: u64,
    ) -> f64 {
        let bits = tokens as f64 * request.token_bytes as f64 * 8.0;
        let millis = bits / (location.link_mbps * 1000.0) + self.settings.fetch_setup_ms;
        if location.zone == candidate.zone { millis } else { millis * OTHER_ZONE_FACTOR }
    }
}
