//! The fetch planner: where the blocks an engine lacks come from. From the engine's own run on, the
//! source that saves most against prefill is taken, run after run, while it saves anything; the rest is
//! prefilled. Only engines listed open on the same weights count as peers: one that leaves is asked for
//! nothing more. Names are salted, so nothing foreign matches.

use crate::prelude::*;

const MOST_RUNS: usize = 4;

/// Where kept blocks can be fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchFrom {
    /// From another engine.
    Peer(EngineName),
    /// From the prompt store.
    Store,
}

/// A row of blocks to be fetched from one source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRun {
    /// The source.
    pub from: FetchFrom,
    /// Its address.
    pub address: String,
    /// The blocks, first to last.
    pub names: Vec<BlockHash>,
}

/// A source as the planner weighs it: what it costs by the block.
struct FetchSource {
    from: FetchFrom,
    address: String,
    index: SourceIndex,
    block_span: Span,
}

impl Picker {
    /// Plans where the chosen engine gets the blocks it lacks.
    pub fn plan_fetch(&self, sight: &FleetSight, names: &[BlockHash], chosen: &Score) -> Vec<FetchRun> {
        let routing = &sight.state.desired.routing;
        let mut place = names.len().saturating_sub(chosen.prefill_blocks.0 as usize);
        let mut runs = Vec::new();
        if !routing.fetch.enabled || !chosen.by_events {
            return runs;
        }
        let sources = self.sources(sight, chosen);
        while place < names.len() && runs.len() < MOST_RUNS {
            let lacking = &names[place..];
            let best = sources
                .iter()
                .filter_map(|source| {
                    let run_length =
                        lacking.iter().take_while(|name| self.tree.contains(source.index, **name)).count();
                    let prefill_cost = routing.prefill_block.times(run_length as u64);
                    let fetch_cost = routing.fetch.setup + source.block_span.times(run_length as u64);
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
            place += run_length;
        }
        runs
    }

    fn sources(&self, sight: &FleetSight, chosen: &Score) -> Vec<FetchSource> {
        let listing = &sight.state.listing.engines;
        let fetch = &sight.state.desired.routing.fetch;
        let chosen_zone = listing.get(&chosen.engine).map(|listed| listed.zone.clone());
        let mut sources: Vec<FetchSource> = listing
            .iter()
            .filter(|(engine, listed)| **engine != chosen.engine && listed.listed == Listed::Open)
            .filter(|(engine, _)| {
                let confirmed = sight.state.standings.get(*engine).and_then(|standing| standing.confirmed.as_ref());
                confirmed.is_some_and(|(weights, _)| *weights == chosen.weights)
            })
            .filter_map(|(engine, listed)| {
                let same_zone = Some(&listed.zone) == chosen_zone.as_ref();
                Some(FetchSource {
                    from: FetchFrom::Peer(engine.clone()),
                    address: listed.address.clone(),
                    index: self.index_of(engine)?,
                    block_span: if same_zone { fetch.same_zone_block } else { fetch.other_zone_block },
                })
            })
            .collect();
        if let Some(address) = &sight.state.desired.store
            && let Some(index) = self.index_of(&EngineName::from(STORE_SOURCE))
        {
            let block_span = fetch.store_block;
            sources.push(FetchSource { from: FetchFrom::Store, address: address.clone(), index, block_span });
        }
        sources
    }
}
