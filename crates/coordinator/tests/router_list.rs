//! A tail sends only complete lists of routers, even just after it started, while routers connect one by one. Routers
//! divide work by that list, so those on a partial list would take over all of it.

mod common;

use common::*;
use coordinator::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use units::prelude::*;

const SEEDS: u64 = 200;
const STEP: Span = Span::millis(20);
const RENEW_EVERY: Span = Span::millis(400);
/// Agents reconnect to a new tail within this many milliseconds.
const ARRIVAL_WINDOW_MS: u64 = 900;
const RUN_PERIOD: Span = Span::seconds(4);

/// A deterministic pseudorandom number generator.
struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A tail and agents that connect to it at given times.
struct Arrivals {
    tail: Coordinator,
    started_at: Instant,
    now: Instant,
    arrival_times: BTreeMap<NodeId, Instant>,
    renewed_at: BTreeMap<NodeId, Instant>,
    /// The lists sent, each with its time.
    sent_lists: Vec<(Instant, BTreeSet<NodeId>)>,
}

impl Arrivals {
    fn new(arrival_ms: &[u64]) -> Arrivals {
        let (tail, now) = acting_tail();
        let arrival_times = (100..).map(NodeId).zip(arrival_ms.iter().map(|ms| now + Span::millis(*ms))).collect();
        Arrivals { tail, started_at: now, now, arrival_times, renewed_at: BTreeMap::new(), sent_lists: Vec::new() }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let plan = self.tail.step(Input::Tick, self.now);
            self.record_sent(plan);
            let arrived: Vec<NodeId> =
                self.arrival_times.iter().filter(|(_, at)| **at <= self.now).map(|(node, _)| *node).collect();
            for node in arrived {
                self.renew(node);
            }
        }
    }

    fn renew(&mut self, node: NodeId) {
        if self.renewed_at.get(&node).is_some_and(|renewed| self.now < *renewed + RENEW_EVERY) {
            return;
        }
        self.renewed_at.insert(node, self.now);
        let address = format!("10.0.0.{}:1", node.0);
        let router = RouterAddress { router: node, address, zone: Zone("z".into()), relay: None };
        let applied = Some(self.tail.last().edition);
        let message = AgentToKeeper::Renew { sent: self.now, applied, incarnation: 1, router: Some(router) };
        let plan = self.tail.step(Input::Node { node, message }, self.now);
        self.record_sent(plan);
    }

    fn record_sent(&mut self, plan: Vec<Effect>) {
        for effect in plan {
            if let Effect::SendToNode { message: KeeperToAgent::Routers(routers), .. } = effect {
                let listed = routers.iter().map(|listed| listed.router).collect();
                self.sent_lists.push((self.now, listed));
            }
        }
    }

    fn all(&self) -> BTreeSet<NodeId> {
        self.arrival_times.keys().copied().collect()
    }
}

#[test]
fn a_new_tail_sends_no_partial_list() {
    for seed in 0..SEEDS {
        let mut rng = SeededRng(seed);
        let count = 2 + rng.below(60);
        let arrival_ms: Vec<u64> = (0..count).map(|_| rng.below(ARRIVAL_WINDOW_MS)).collect();
        let mut arrivals = Arrivals::new(&arrival_ms);
        arrivals.run(RUN_PERIOD);
        assert!(!arrivals.sent_lists.is_empty(), "seed {seed}: no list was sent");
        for (at, listed) in &arrivals.sent_lists {
            let missing = arrivals.all().len() - listed.len();
            assert_eq!(missing, 0, "seed {seed}: sent after {:?} ms", at.since(arrivals.started_at).as_millis());
        }
    }
}

#[test]
fn a_list_that_keeps_changing_is_sent_within_the_maximum_delay() {
    let arrival_ms: Vec<u64> = (0..40).map(|number| number * 300).collect();
    let mut arrivals = Arrivals::new(&arrival_ms);
    arrivals.run(RUN_PERIOD);
    let first = arrivals.sent_lists.first().expect("a list was sent");
    assert!(first.0.since(arrivals.started_at) <= Span::millis(3200), "{:?}", first.0.since(arrivals.started_at));
}

#[test]
fn a_router_is_listed_while_it_holds_a_lease() {
    let mut arrivals = Arrivals::new(&[0, 0, 0]);
    arrivals.run(RUN_PERIOD);
    let all = arrivals.all();
    assert_eq!(arrivals.sent_lists.last().map(|(_, listed)| listed.clone()), Some(all.clone()));
    let gone = NodeId(100);
    let address_kept = arrivals.arrival_times.remove(&gone);
    arrivals.run(RUN_PERIOD);
    assert_eq!(arrivals.sent_lists.last().map(|(_, listed)| listed.len()), Some(2));
    arrivals.arrival_times.insert(gone, address_kept.unwrap());
    arrivals.run(RUN_PERIOD);
    assert_eq!(arrivals.sent_lists.last().map(|(_, listed)| listed.clone()), Some(all));
}
