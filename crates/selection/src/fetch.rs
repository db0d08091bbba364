//! Where the parts an engine lacks come from: one peer or store that keeps clearly more of the prompt's
//! beginning, if moving takes no longer than the settings allow. What a fetch costs depends on the links and
//! zones between source and engine, so each candidate is scored by what it could really have moved. Names
//! are salted, so nothing foreign matches, and only what events tell counts.

use crate::prelude::*;

/// A fetch that gains fewer tokens, or just as many, is not worth it.
pub const FETCH_LEAST_TOKENS: u64 = 2048;
/// A move between zones takes so many times as long as one within a zone.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// From where the chosen engine is to take kept parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchSource {
    pub source: EngineName,
    pub address: String,
    /// Tokens that it keeps beyond those of the chosen engine.
    pub tokens: u64,
}

/// Where a store is.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreLocation {
    pub address: String,
    pub zone: Zone,
    pub link_mbps: f64,
}

/// The name under which a store's events are followed; no engine can have it.
pub fn store_source(service: &ServiceName) -> EngineName {
    EngineName(format!("@store:{service}"))
}

/// A source of kept parts as it is weighed.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    source: EngineName,
    address: String,
    place: OfferPlace,
    /// Tokens that it keeps of the prompt's beginning.
    kept: u64,
}

/// What decides how long a move from a source takes.
#[derive(Clone, Debug)]
struct OfferPlace {
    zone: Zone,
    link_mbps: f64,
}

/// What the sources keep of one prompt on one version of the weights.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holdings {
    offers: Vec<Offer>,
    /// The most that is kept at each place; every candidate is scored by these few.
    places: Vec<(OfferPlace, u64)>,
}

impl Holdings {
    /// The most that any source keeps of the prompt's beginning.
    pub fn best_kept(&self) -> u64 {
        self.places.iter().map(|(_, kept)| *kept).max().unwrap_or(0)
    }

    fn add(&mut self, offer: Offer) {
        let is_same = |place: &OfferPlace| place.zone == offer.place.zone && place.link_mbps == offer.place.link_mbps;
        match self.places.iter_mut().find(|(place, _)| is_same(place)) {
            Some((_, kept)) => *kept = (*kept).max(offer.kept),
            None => self.places.push((offer.place.clone(), offer.kept)),
        }
        self.offers.push(offer);
    }
}

impl Selector {
    /// What is kept of the prompt by sources whose events are timely, for each version of the weights.
    pub(crate) fn holdings(
        &self,
        candidates: &[Candidate],
        request: &SelectionRequest,
        now: Instant,
    ) -> BTreeMap<WeightsEdition, Holdings> {
        let mut holdings: BTreeMap<WeightsEdition, Holdings> = BTreeMap::new();
        for (weights, parts) in &request.parts_by_weights {
            let held = holdings.entry(*weights).or_default();
            let peers = candidates.iter().filter(|peer| peer.weights == *weights);
            for peer in peers.filter(|peer| !request.tried.contains(&peer.engine)) {
                let place = OfferPlace { zone: peer.zone.clone(), link_mbps: request.link_mbps };
                let Some(kept) = self.timely_tokens(&peer.engine, parts, now) else { continue };
                held.add(Offer { source: peer.engine.clone(), address: peer.address.clone(), place, kept });
            }
            for (service, store) in &self.stores {
                let source = store_source(service);
                let link_mbps = request.link_mbps.min(store.link_mbps);
                let place = OfferPlace { zone: store.zone.clone(), link_mbps };
                let Some(kept) = self.timely_tokens(&source, parts, now) else { continue };
                held.add(Offer { source, address: store.address.clone(), place, kept });
            }
        }
        holdings
    }

    /// Tokens of the prompt's beginning that a source keeps, if any and if its events are timely.
    fn timely_tokens(&self, source: &EngineName, parts: &[(PartName, u64)], now: Instant) -> Option<u64> {
        let known = self.known.get(source)?;
        if now < known.rest_until || known.events_are_late(self.settings.events_late, now) {
            return None;
        }
        Some(self.index.kept_tokens(known.index, parts)).filter(|kept| *kept > 0)
    }

    /// What the candidate's share of the prompt costs, in tokens as if they were read: what it lacks, or less
    /// where some of that can be moved. `kept` is what it keeps itself.
    pub(crate) fn cheapest_tokens(
        &self,
        held: &Holdings,
        request: &SelectionRequest,
        candidate: &Candidate,
        kept: u64,
    ) -> u64 {
        let lacking = request.prompt_tokens.saturating_sub(kept);
        let with_moves = held.places.iter().filter_map(|(place, offered)| {
            let gain = (*offered).min(request.prompt_tokens).saturating_sub(kept);
            let moved = self.moved_cost(place, request, candidate, gain)?;
            Some(lacking - gain + moved)
        });
        with_moves.min().unwrap_or(lacking).min(lacking)
    }

    /// What moving so many tokens costs, in tokens as if they were read; nothing if it does not pay.
    fn moved_cost(
        &self,
        place: &OfferPlace,
        request: &SelectionRequest,
        candidate: &Candidate,
        gain: u64,
    ) -> Option<u64> {
        if gain <= self.settings.fetch_least_tokens {
            return None;
        }
        let move_millis = self.move_millis(place, request, candidate, gain);
        let read_millis = gain as f64 / self.tokens_per_ms(&candidate.service);
        if move_millis >= read_millis * self.settings.fetch_most_share {
            return None;
        }
        let share = (move_millis / read_millis).max(self.settings.fetch_share);
        Some((gain as f64 * share) as u64)
    }

    /// The source that the chosen engine is told to take parts from. `kept` is what it keeps itself.
    pub(crate) fn fetch_source(
        &self,
        held: &Holdings,
        request: &SelectionRequest,
        chosen: &Candidate,
        kept: u64,
    ) -> Option<FetchSource> {
        let peers = held.offers.iter().filter(|offer| offer.source != chosen.engine);
        let paying = peers.filter_map(|offer| {
            let gain = offer.kept.min(request.prompt_tokens).saturating_sub(kept);
            let moved = self.moved_cost(&offer.place, request, chosen, gain)?;
            let move_millis = self.move_millis(&offer.place, request, chosen, gain);
            Some((gain - moved.min(gain), gain, move_millis, offer))
        });
        paying
            .min_by(|(left_saved, left_gain, left_millis, left), (right_saved, right_gain, right_millis, right)| {
                right_saved
                    .cmp(left_saved)
                    .then_with(|| right_gain.cmp(left_gain))
                    .then_with(|| left_millis.total_cmp(right_millis))
                    .then_with(|| self.spread(request, &left.source).cmp(&self.spread(request, &right.source)))
            })
            .map(|(_, tokens, _, offer)| FetchSource {
                source: offer.source.clone(),
                address: offer.address.clone(),
                tokens,
            })
    }

    /// The store to which an engine that reads shared parts sends them: the one of its own zone first, and
    /// none that keeps them all already. `held` is what the engine need not read.
    pub(crate) fn sink(
        &self,
        request: &SelectionRequest,
        chosen: &Candidate,
        held: u64,
        now: Instant,
    ) -> Option<String> {
        let parts = request.parts(chosen.weights);
        let shared = &parts[..parts.len().saturating_sub(1)];
        let shared_tokens: u64 = shared.iter().map(|(_, tokens)| *tokens).sum();
        if held >= shared_tokens {
            return None;
        }
        let lacking_stores = self.stores.iter().filter(|(service, _)| {
            let Some(known) = self.known.get(&store_source(service)) else { return false };
            let is_timely = now >= known.rest_until && !known.events_are_late(self.settings.events_late, now);
            is_timely && self.index.kept_tokens(known.index, shared) < shared_tokens
        });
        let nearest = lacking_stores.min_by_key(|(_, place)| place.zone != chosen.zone);
        nearest.map(|(_, place)| place.address.clone())
    }

    fn move_millis(&self, place: &OfferPlace, request: &SelectionRequest, candidate: &Candidate, tokens: u64) -> f64 {
        let bits = tokens as f64 * request.token_bytes as f64 * 8.0;
        let millis = bits / (place.link_mbps * 1000.0) + self.settings.fetch_setup_ms;
        if place.zone == candidate.zone { millis } else { millis * OTHER_ZONE_FACTOR }
    }
}
