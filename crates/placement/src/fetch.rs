//! Plans where an engine fetches the blocks that it lacks. After the engine's own cached prefix, the planner takes
//! the source that saves the most time against prefill, run by run, as long as it saves any; the rest is
//! prefilled. Only engines that are listed open on the same weights count as peers: a leaving engine gets no
//! further requests. Block names are salted, so blocks of other weights or isolation domains never match.

use crate::prelude::*;

const MAX_RUNS: usize = 4;

/// A source of cached blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchFrom {
    /// From another engine.
    Peer(EngineName),
    /// From the prompt store.
    Store,
}

/// A run of consecutive blocks to fetch from one source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRun {
    /// The source.
    pub from: FetchFrom,
    /// Its address.
    pub address: String,
    /// The blocks, first to last.
    pub names: Vec<BlockHash>,
}

/// A source with its fetch time per block.
struct FetchSource {
    from: FetchFrom,
    address: String,
    index: SourceIndex,
    time_per_block: Span,
}

impl Picker {
    /// Plans where the chosen engine fetches the blocks that it lacks.
    pub fn plan_fetch(&self, snapshot: &FleetSnapshot, names: &[BlockHash], chosen: &Score) -> Vec<FetchRun> {
        let routing = &snapshot.state.desired.routing;
        let mut next = names.len().saturating_sub(chosen.prefill_blocks.0 as usize);
        let mut runs = Vec::new();
        if !routing.fetch.enabled || !chosen.by_events {
            return runs;
        }
        let sources = self.sources(snapshot, chosen);
        while next < names.len() && runs.len() < MAX_RUNS {
            let lacking = &names[next..];
            let best = sources
                .iter()
                .filter_map(|source| {
                    let run_length =
                        lacking.iter().take_while(|name| self.tree.contains(source.index, **name)).count();
                    let prefill_cost = routing.prefill_block.times(run_length as u64);
                    let fetch_cost = routing.fetch.setup + source.time_per_block.times(run_length as u64);
                    let saved = prefill_cost.0.checked_sub(fetch_cost.0).filter(|saved| *saved > 0)?;
                    Some((saved, run_length, source))
                })
                .max_by_key(|(saved, _, _)| *saved);
            let Some((_, run_length, source)) = best else { break };
            runs.push(FetchRun {
                from: source.from.clone(),
                address: source.address.clone(),
                names: lacking[..run_length].to_vec(),
            });
            next += run_length;
        }
        runs
    }

    fn sources(&self, snapshot: &FleetSnapshot, chosen: &Score) -> Vec<FetchSource> {
        let listing = &snapshot.state.listing.engines;
        let fetch = &snapshot.state.desired.routing.fetch;
        let chosen_zone = listing.get(&chosen.engine).map(|listed| listed.zone.clone());
        let mut sources: Vec<FetchSource> = listing
            .iter()
            .filter(|(engine, listed)| **engine != chosen.engine && listed.listed == Listed::Open)
            .filter(|(engine, _)| {
                let confirmed =
                    snapshot.state.engine_statuses.get(*engine).and_then(|status| status.confirmed.as_ref());
                confirmed.is_some_and(|(weights, _)| *weights == chosen.weights)
            })
            .filter_map(|(engine, listed)| {
                let same_zone = Some(&listed.zone) == chosen_zone.as_ref();
                Some(FetchSource {
                    from: FetchFrom::Peer(engine.clone()),
                    address: listed.address.clone(),
                    index: self.index_of(engine)?,
                    time_per_block: if same_zone { fetch.same_zone_block } else { fetch.other_zone_block },
                })
            })
            .collect();
        if let Some(address) = &snapshot.state.desired.store
            && let Some(index) = self.index_of(&EngineName::from(STORE_SOURCE))
        {
            let time_per_block = fetch.store_block;
            sources.push(FetchSource { from: FetchFrom::Store, address: address.clone(), index, time_per_block });
        }
        sources
    }
}
