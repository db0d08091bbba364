//! A node that is cut off while others are granted leases must stop before its state is out of date; nodes must go on
//! through an outage of the core that affects all of them. Simulated with the tail's own table of leases, with and
//! without strict revocation.

use lease::prelude::*;
use timing::prelude::{Bounds, PEER_ANSWER_LIMIT, renewal_interval};
use units::prelude::*;

const NODES: usize = 9;
const STEP: Span = Span::millis(20);
const QUERY_INTERVAL: Span = Span::millis(300);
const PEERS_PER_ROUND: usize = 3;
const WARM_UP: Span = Span::seconds(20);
const SEEDS: u64 = 300;

struct Node {
    watch: GrantTracker,
    applied: Edition,
    next_renewal: Instant,
    next_round: Instant,
    /// From when until when the node gets no lease renewals.
    cut_off: Option<(Instant, Instant)>,
}

impl Node {
    fn is_cut_off(&self, now: Instant) -> bool {
        self.cut_off.is_some_and(|(from, until)| now >= from && now < until)
    }
}

/// The editions acknowledged so far, and when.
type Acknowledged = Vec<(Edition, Instant)>;

struct Fleet {
    timing: Timing,
    bounds: Bounds,
    draw: SeededRng,
    now: Instant,
    nodes: Vec<Node>,
    leases: NodeLeases,
    committed: Edition,
    acknowledged: Acknowledged,
    core_out: Option<(Instant, Instant)>,
    /// Whether a cut-off node still receives answers from its peers.
    hears_peers: bool,
}

impl Fleet {
    fn new(seed: u64, strict_revoke: bool) -> Fleet {
        let bounds = Bounds { strict_revoke, ..Bounds::default() };
        let timing = Timing::derive(&bounds).expect("the default bounds are feasible");
        let mut draw = SeededRng::new(seed);
        let start = Instant(0) + Span::seconds(1);
        let node = |draw: &mut SeededRng| Node {
            watch: GrantTracker::new(timing),
            applied: Edition(1),
            next_renewal: start + Span::millis(draw.below(600)),
            next_round: start,
            cut_off: None,
        };
        let nodes = (0..NODES).map(|_| node(&mut draw)).collect();
        let leases = NodeLeases::with_timing(timing, Edition(1), start);
        let hears_peers = draw.chance(50);
        Fleet {
            timing,
            bounds,
            draw,
            now: start,
            nodes,
            leases,
            committed: Edition(1),
            acknowledged: Vec::new(),
            core_out: None,
            hears_peers,
        }
    }

    fn core_is_out(&self) -> bool {
        self.core_out.is_some_and(|(from, until)| self.now >= from && self.now < until)
    }

    fn run_until(&mut self, end: Instant, mut check: impl FnMut(&Fleet)) {
        while self.now < end {
            self.now = self.now + STEP;
            self.renew();
            self.ask_peers();
            if !self.core_is_out() {
                self.commit();
            }
            check(self);
        }
    }

    /// Commits a change about once a second, and acknowledges what is in force.
    fn commit(&mut self) {
        if self.draw.chance(2) {
            self.committed = self.committed.next();
        }
        let in_force = self.leases.advance_in_force(self.committed, self.now);
        if self.acknowledged.last().is_none_or(|(edition, _)| *edition < in_force) {
            self.acknowledged.push((in_force, self.now));
        }
    }

    fn renew(&mut self) {
        let (now, core_is_out) = (self.now, self.core_is_out());
        for number in 0..NODES {
            if self.nodes[number].is_cut_off(now) || core_is_out {
                continue;
            }
            // Pushed changes arrive with a delay; the renewal reports what was applied.
            let node = &mut self.nodes[number];
            if now < node.next_renewal {
                continue;
            }
            node.applied = self.committed;
            let id = NodeId(number as u64 + 1);
            if self.leases.renew(id, node.applied, Edition(0), now) {
                node.watch.renew(now, now + self.timing.node_lease);
            }
            let jitter = Span::millis(self.draw.below(60));
            self.nodes[number].next_renewal = now + renewal_interval(self.timing.node_lease) + jitter;
        }
    }

    fn ask_peers(&mut self) {
        let now = self.now;
        for number in 0..NODES {
            let asks = self.nodes[number].watch.ask_peers_from().is_some_and(|from| now >= from);
            if !asks || now < self.nodes[number].next_round {
                continue;
            }
            self.nodes[number].next_round = now + QUERY_INTERVAL;
            for _ in 0..PEERS_PER_ROUND {
                self.ask_one(number);
            }
        }
    }

    fn ask_one(&mut self, number: usize) {
        let other = self.draw.below(NODES as u64) as usize;
        let is_unreachable = |node: &Node| node.is_cut_off(self.now) && !self.hears_peers;
        if other == number || is_unreachable(&self.nodes[number]) || is_unreachable(&self.nodes[other]) {
            return;
        }
        let asked = Instant(self.now.0 - self.draw.below(PEER_ANSWER_LIMIT.0));
        let report = self.nodes[other].watch.report(self.now);
        let now = self.now;
        self.nodes[number].watch.record_peer_report(report, asked, now);
    }

    /// For how long a node that starts requests has been missing an acknowledged edition.
    fn stale_for(&self, node: &Node) -> Span {
        if self.now >= node.watch.until() {
            return Span(0);
        }
        let missed = self.acknowledged.iter().find(|(edition, _)| *edition > node.applied);
        missed.map_or(Span(0), |(_, acknowledged)| self.now.since(*acknowledged))
    }
}

#[test]
fn a_cut_off_node_stops_before_its_state_is_out_of_date() {
    for seed in 0..SEEDS {
        for strict_revoke in [true, false] {
            let mut fleet = Fleet::new(seed, strict_revoke);
            let warmed_up = fleet.now + WARM_UP;
            fleet.run_until(warmed_up, |_| {});
            let cut_off_for = Span::millis(fleet.draw.between(500, 20_000));
            let count = fleet.draw.between(1, 3) as usize;
            for node in &mut fleet.nodes[..count] {
                node.cut_off = Some((warmed_up, warmed_up + cut_off_for));
            }
            fleet.run_until(warmed_up + Span::seconds(25), |fleet| {
                for (number, node) in fleet.nodes.iter().enumerate() {
                    let stale = fleet.stale_for(node);
                    assert!(
                        stale < fleet.bounds.apply,
                        "seed {seed} strict {strict_revoke}: node {number} starts requests {} ms after an \
                         acknowledgement of a change it has not applied",
                        stale.as_millis(),
                    );
                }
            });
            let all_serve = fleet.nodes.iter().all(|node| fleet.now < node.watch.until());
            assert!(all_serve, "seed {seed} strict {strict_revoke}: a node did not resume");
        }
    }
}

#[test]
fn an_outage_of_the_core_stops_no_node_before_its_lease_ends() {
    for seed in 0..SEEDS {
        for strict_revoke in [true, false] {
            let mut fleet = Fleet::new(seed, strict_revoke);
            let warmed_up = fleet.now + WARM_UP;
            fleet.run_until(warmed_up, |_| {});
            let out_for = Span::millis(fleet.draw.between(500, 40_000));
            fleet.core_out = Some((warmed_up, warmed_up + out_for));
            // A renewal may have been due just before the outage began.
            let until_lease_ends = Span(fleet.timing.node_lease.0 - Span::millis(700).0);
            let served_until = warmed_up + out_for.min(until_lease_ends);
            fleet.run_until(served_until, |fleet| {
                let stopped = fleet.nodes.iter().position(|node| fleet.now >= node.watch.until());
                assert_eq!(
                    stopped,
                    None,
                    "seed {seed} strict {strict_revoke}: stopped {} ms after the outage began",
                    fleet.now.since(warmed_up).as_millis()
                );
            });
        }
    }
}

#[test]
fn a_node_that_reaches_no_peer_stops() {
    let timing = Timing::derive(&Bounds { strict_revoke: false, ..Bounds::default() }).unwrap();
    let mut watch = GrantTracker::new(timing);
    let granted = Instant(0) + Span::seconds(10);
    watch.renew(granted, granted + timing.node_lease);
    assert_eq!(watch.until(), granted + timing.unconfirmed_span);
    assert!(watch.ask_peers_from().is_some_and(|from| from < watch.until()));
}

#[test]
fn a_late_report_confirms_nothing_but_its_grant_counts() {
    let timing = Timing::derive(&Bounds { strict_revoke: false, ..Bounds::default() }).unwrap();
    let granted = Instant(0) + Span::seconds(10);
    let mut watch = GrantTracker::new(timing);
    watch.renew(granted, granted + timing.node_lease);
    let before = watch.until();
    let late = GrantReport { age: Some(Span::seconds(3)) };
    watch.record_peer_report(late, granted + Span::seconds(3), granted + Span::seconds(4));
    assert_eq!((watch.until(), watch.is_passed_over()), (before, false));
    let newer = GrantReport { age: Some(Span::millis(100)) };
    watch.record_peer_report(newer, granted + Span::seconds(3), granted + Span::seconds(4));
    assert!(watch.is_passed_over());
    watch.record_peer_report(late, granted + Span::seconds(4), granted + Span::seconds(4));
    assert_eq!(watch.until(), before, "a node that is passed over cannot be confirmed");
    watch.renew(granted + Span::seconds(4), granted + Span::seconds(4) + timing.node_lease);
    assert!(!watch.is_passed_over());
}

#[test]
fn a_lease_that_needs_no_confirmation_asks_no_peer() {
    let mut watch = GrantTracker::default();
    let granted = Instant(0) + Span::seconds(10);
    watch.renew(granted, granted + Timing::DEFAULT.node_lease);
    assert_eq!((watch.until(), watch.ask_peers_from()), (granted + Timing::DEFAULT.node_lease, None));
}
