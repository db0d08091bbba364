//! The load that other nodes put on the engines. A node receives reports from only some of the others, and each
//! reports only its own requests; the load of the rest is estimated from these reports.

use crate::prelude::*;

/// A peer's report is dropped once it is this old.
const REPORT_MAX_AGE: Span = Span::millis(1500);

/// The load of one node's own requests on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Running and waiting requests.
    pub requests: u64,
    /// The tokens of their prompts and outputs.
    pub tokens: u64,
    /// Tokens that the engine has yet to prefill for them.
    pub pending_prefill_tokens: u64,
}

impl NodeLoad {
    fn add(&mut self, other: NodeLoad) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_add(other.pending_prefill_tokens);
    }

    fn subtract(&mut self, other: NodeLoad) {
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

/// The latest report of one peer.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Instant,
    loads: Vec<(EngineName, NodeLoad)>,
}

/// The latest reports of all peers, and their sums by engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    by_peer: BTreeMap<NodeId, PeerReport>,
    sums: HashMap<EngineName, NodeLoad>,
    requests: u64,
}

impl PeerReports {
    /// Replaces a peer's earlier report, unless that one is newer.
    pub fn record(&mut self, peer: NodeId, loads: Vec<(EngineName, NodeLoad)>, at: Instant) {
        if self.by_peer.get(&peer).is_some_and(|earlier| earlier.at > at) {
            return;
        }
        self.remove_peer(peer);
        for (engine, load) in &loads {
            self.sums.entry(engine.clone()).or_default().add(*load);
            self.requests = self.requests.saturating_add(load.requests);
        }
        self.by_peer.insert(peer, PeerReport { at, loads });
    }

    /// Drops outdated reports.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |report: &PeerReport| now.since(report.at) >= REPORT_MAX_AGE;
        let expired: Vec<NodeId> =
            self.by_peer.iter().filter(|(_, report)| is_expired(report)).map(|(peer, _)| *peer).collect();
        for peer in expired {
            self.remove_peer(peer);
        }
    }

    fn remove_peer(&mut self, peer: NodeId) {
        let Some(report) = self.by_peer.remove(&peer) else { return };
        for (engine, load) in report.loads {
            self.requests = self.requests.saturating_sub(load.requests);
            let Some(sum) = self.sums.get_mut(&engine) else { continue };
            sum.subtract(load);
            if *sum == NodeLoad::default() {
                self.sums.remove(&engine);
            }
        }
    }

    /// The load on an engine that the reports show.
    pub fn reported(&self, engine: &EngineName) -> NodeLoad {
        self.sums.get(engine).copied().unwrap_or_default()
    }

    /// The factor that scales the reported load to the load of all other nodes. Only requests of reporting nodes
    /// are seen. With an exponential prior of the engines' loads around their mean, each seen request stands for
    /// this many on average. If few nodes report, it is far less than the number of nodes for each reporting
    /// one, because a single seen request is as much chance as load.
    pub fn factor(&self, other_nodes: u64, engines: u64) -> f64 {
        let reporting = self.by_peer.len() as f64;
        let seen_share = reporting / (other_nodes as f64).max(reporting);
        if reporting == 0.0 || self.requests == 0 || engines == 0 {
            return 1.0;
        }
        let mean_load = self.requests as f64 / seen_share / engines as f64;
        1.0 + (1.0 - seen_share) / (seen_share + 1.0 / mean_load)
    }

    /// The estimated load of all other nodes on an engine.
    pub fn estimate(&self, engine: &EngineName, factor: f64) -> NodeLoad {
        self.reported(engine).scaled(factor)
    }
}
