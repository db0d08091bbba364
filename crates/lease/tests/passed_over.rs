//! Nodes that starve while others are granted leases must stop before what they have is out of date; nodes that
//! share an outage of the core must go on. Played with the tail's own table of leases, for both kinds of bounds.

use lease::prelude::*;
use timing::prelude::{Bounds, PEER_ANSWER_LIMIT, renewal_interval};
use units::prelude::*;

const NODES: usize = 9;
const STEP: Span = Span::millis(20);
const ROUND: Span = Span::millis(300);
const ASKED_AT_ONCE: usize = 3;
const FORMED: Span = Span::seconds(20);
const SEEDS: u64 = 300;

struct Node {
    watch: GrantTracker,
    applied: Edition,
    next_renewal: Instant,
    next_round: Instant,
    /// What of it does not work, from and until when.
    starved: Option<(Instant, Instant)>,
}

impl Node {
    fn is_starved(&self, now: Instant) -> bool {
        self.starved.is_some_and(|(from, until)| now >= from && now < until)
    }
}

/// When each edition was acknowledged.
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
    /// Whether a starved node still gets answers of others.
    hears_peers: bool,
}

impl Fleet {
    fn form(seed: u64, strict_revoke: bool) -> Fleet {
        let bounds = Bounds { strict_revoke, ..Bounds::default() };
        let timing = Timing::derive(&bounds).expect("the usual bounds can be kept to");
        let mut draw = SeededRng::new(seed);
        let start = Instant(0) + Span::seconds(1);
        let node = |draw: &mut SeededRng| Node {
            watch: GrantTracker::new(timing),
            applied: Edition(1),
            next_renewal: start + Span::millis(draw.below(600)),
            next_round: start,
            starved: None,
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

    fn run_until(&mut self, end: Instant, mut look: impl FnMut(&Fleet)) {
        while self.now < end {
            self.now = self.now + STEP;
            self.renew();
            self.ask_peers();
            if !self.core_is_out() {
                self.commit();
            }
            look(self);
        }
    }

    /// A change every second or so; what is in force is acknowledged.
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
            if self.nodes[number].is_starved(now) || core_is_out {
                continue;
            }
            // Pushes arrive with a delay; the renewal tells what was applied.
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
            self.nodes[number].next_round = now + ROUND;
            for _ in 0..ASKED_AT_ONCE {
                self.ask_one(number);
            }
        }
    }

    fn ask_one(&mut self, number: usize) {
        let other = self.draw.below(NODES as u64) as usize;
        let is_cut = |node: &Node| node.is_starved(self.now) && !self.hears_peers;
        if other == number || is_cut(&self.nodes[number]) || is_cut(&self.nodes[other]) {
            return;
        }
        let asked = Instant(self.now.0 - self.draw.below(PEER_ANSWER_LIMIT.0));
        let news = self.nodes[other].watch.report(self.now);
        let now = self.now;
        self.nodes[number].watch.record_peer_report(news, asked, now);
    }

    /// How long an acknowledged edition has not been in force at a node that starts requests.
    fn stale_for(&self, node: &Node) -> Span {
        if self.now >= node.watch.until() {
            return Span(0);
        }
        let missed = self.acknowledged.iter().find(|(edition, _)| *edition > node.applied);
        missed.map_or(Span(0), |(_, acknowledged)| self.now.since(*acknowledged))
    }
}

#[test]
fn a_starved_node_stops_before_what_it_has_is_out_of_date() {
    for seed in 0..SEEDS {
        for strict_revoke in [true, false] {
            let mut fleet = Fleet::form(seed, strict_revoke);
            let formed = fleet.now + FORMED;
            fleet.run_until(formed, |_| {});
            let starved_for = Span::millis(fleet.draw.between(500, 20_000));
            let count = fleet.draw.between(1, 3) as usize;
            for node in &mut fleet.nodes[..count] {
                node.starved = Some((formed, formed + starved_for));
            }
            fleet.run_until(formed + Span::seconds(25), |fleet| {
                for (number, node) in fleet.nodes.iter().enumerate() {
                    let stale = fleet.stale_for(node);
                    assert!(
                        stale < fleet.bounds.apply,
                        "seed {seed} strict {strict_revoke}: node {number} starts requests {} ms after an \
                         acknowledgement that it never heard of",
                        stale.as_millis(),
                    );
                }
            });
            let all_serve = fleet.nodes.iter().all(|node| fleet.now < node.watch.until());
            assert!(all_serve, "seed {seed} strict {strict_revoke}: a node never came back");
        }
    }
}

#[test]
fn an_outage_of_the_core_stops_nobody_before_the_lease_ends() {
    for seed in 0..SEEDS {
        for strict_revoke in [true, false] {
            let mut fleet = Fleet::form(seed, strict_revoke);
            let formed = fleet.now + FORMED;
            fleet.run_until(formed, |_| {});
            let out_for = Span::millis(fleet.draw.between(500, 40_000));
            fleet.core_out = Some((formed, formed + out_for));
            // A renewal may have been due just before the core went.
            let until_lease_ends = Span(fleet.timing.node_lease.0 - Span::millis(700).0);
            let served_until = formed + out_for.min(until_lease_ends);
            fleet.run_until(served_until, |fleet| {
                let stopped = fleet.nodes.iter().position(|node| fleet.now >= node.watch.until());
                assert_eq!(
                    stopped,
                    None,
                    "seed {seed} strict {strict_revoke}: stopped {} ms after the core went",
                    fleet.now.since(formed).as_millis()
                );
            });
        }
    }
}

#[test]
fn a_node_that_reaches_nobody_stops() {
    let timing = Timing::derive(&Bounds { strict_revoke: false, ..Bounds::default() }).unwrap();
    let mut watch = GrantTracker::new(timing);
    let granted = Instant(0) + Span::seconds(10);
    watch.renew(granted, granted + timing.node_lease);
    assert_eq!(watch.until(), granted + timing.unconfirmed_span);
    assert!(watch.ask_peers_from().is_some_and(|from| from < watch.until()));
}

#[test]
fn an_answer_that_came_late_confirms_nothing_and_a_grant_it_tells_of_counts() {
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
    assert_eq!(watch.until(), before, "who is passed over is confirmed by nobody");
    watch.renew(granted + Span::seconds(4), granted + Span::seconds(4) + timing.node_lease);
    assert!(!watch.is_passed_over());
}

#[test]
fn a_lease_that_ends_with_the_nodes_own_word_asks_nobody() {
    let mut watch = GrantTracker::default();
    let granted = Instant(0) + Span::seconds(10);
    watch.renew(granted, granted + Timing::DEFAULT.node_lease);
    assert_eq!((watch.until(), watch.ask_peers_from()), (granted + Timing::DEFAULT.node_lease, None));
}
