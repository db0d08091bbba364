//! What other nodes run on the engines, estimated from those of them that tell. A node hears some of the others
//! only, and each knows its own requests alone; what the rest run is estimated from what is seen.

use crate::prelude::*;

/// A peer that has not told for so long counts as not heard.
const REPORT_SPAN: Span = Span::millis(1500);

/// A node's own requests on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests that run or wait there.
    pub requests: u64,
    /// Their tokens, of prompts and outputs.
    pub tokens: u64,
    /// Tokens that the engine has yet to read for them.
    pub pending_prefill_tokens: u64,
}

impl NodeLoad {
    fn add(&mut self, other: NodeLoad) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_add(other.pending_prefill_tokens);
    }

    fn take_away(&mut self, other: NodeLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(other.pending_prefill_tokens);
    }

    fn scaled(self, factor: f64) -> NodeLoad {
        let scaled = |count: u64| (count as f64 * factor) as u64;
        NodeLoad {
            requests: scaled(self.requests),
            tokens: scaled(self.tokens),
            pending_prefill_tokens: scaled(self.pending_prefill_tokens),
        }
    }
}

/// What one peer told last.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Instant,
    work: Vec<(EngineName, NodeLoad)>,
}

/// The latest reports of peers, and their sums by engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    by_peer: BTreeMap<NodeId, PeerReport>,
    sums: HashMap<EngineName, NodeLoad>,
    requests: u64,
}

impl PeerReports {
    /// Takes a peer's report of all its work, as it stood at an instant, in place of its earlier one.
    pub fn note(&mut self, peer: NodeId, work: Vec<(EngineName, NodeLoad)>, at: Instant) {
        if self.by_peer.get(&peer).is_some_and(|earlier| earlier.at > at) {
            return;
        }
        self.forget_peer(peer);
        for (engine, told) in &work {
            self.sums.entry(engine.clone()).or_default().add(*told);
            self.requests = self.requests.saturating_add(told.requests);
        }
        self.by_peer.insert(peer, PeerReport { at, work });
    }

    /// Drops what was told too long ago.
    pub fn forget_old(&mut self, now: Instant) {
        let is_old = |report: &PeerReport| now.since(report.at) >= REPORT_SPAN;
        let old: Vec<NodeId> =
            self.by_peer.iter().filter(|(_, report)| is_old(report)).map(|(peer, _)| *peer).collect();
        for peer in old {
            self.forget_peer(peer);
        }
    }

    fn forget_peer(&mut self, peer: NodeId) {
        let Some(report) = self.by_peer.remove(&peer) else { return };
        for (engine, told) in report.work {
            self.requests = self.requests.saturating_sub(told.requests);
            let Some(sum) = self.sums.get_mut(&engine) else { continue };
            sum.take_away(told);
            if *sum == NodeLoad::default() {
                self.sums.remove(&engine);
            }
        }
    }

    /// What the nodes heard run on an engine.
    pub fn seen(&self, engine: &EngineName) -> NodeLoad {
        self.sums.get(engine).copied().unwrap_or_default()
    }

    /// By how much what is seen is to be multiplied for what all other nodes run. Of the requests on an engine
    /// only those of the nodes heard are seen; with an exponential prior of the engines' loads around their
    /// mean, each seen one stands for this many in the mean. Where few are heard it is far less than the
    /// number of nodes for each one heard, since a single request seen is chance as much as load.
    pub fn factor(&self, other_nodes: u64, engines: u64) -> f64 {
        let heard = self.by_peer.len() as f64;
        let seen_share = heard / (other_nodes as f64).max(heard);
        if heard == 0.0 || self.requests == 0 || engines == 0 {
            return 1.0;
        }
        let mean_load = self.requests as f64 / seen_share / engines as f64;
        1.0 + (1.0 - seen_share) / (seen_share + 1.0 / mean_load)
    }

    /// What all other nodes are estimated to run on an engine.
    pub fn estimate(&self, engine: &EngineName, factor: f64) -> NodeLoad {
        self.seen(engine).scaled(factor)
    }
}
