//! The list of routers that a tail tells is whole, also that of a tail which has just begun and hears of its
//! routers one after the other. Routers share their work by that list: those of a short one would take over all.

mod common;

use common::*;
use coordinator::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use units::prelude::*;

const SEEDS: u64 = 200;
const STEP: Span = Span::millis(20);
const RENEW_EVERY: Span = Span::millis(400);
/// Agents that were left by their tail arrive at the next within this.
const ARRIVING_SPAN_MS: u64 = 900;
const PLAYED: Span = Span::seconds(4);

/// A small generator of numbers; the same for the same seed.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// A tail and the agents that arrive at it, each at its time.
struct Arrivals {
    tail: Coordinator,
    began: Instant,
    now: Instant,
    arrive_at: BTreeMap<NodeId, Instant>,
    renewed_at: BTreeMap<NodeId, Instant>,
    /// The lists that were told, each with when.
    told: Vec<(Instant, BTreeSet<NodeId>)>,
}

impl Arrivals {
    fn new(arrive_ms: &[u64]) -> Arrivals {
        let (tail, now) = acting_tail();
        let arrive_at = (100..).map(NodeId).zip(arrive_ms.iter().map(|ms| now + Span::millis(*ms))).collect();
        Arrivals { tail, began: now, now, arrive_at, renewed_at: BTreeMap::new(), told: Vec::new() }
    }

    fn play(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let plan = self.tail.step(Input::Tick, self.now);
            self.note_told(plan);
            let arrived: Vec<NodeId> =
                self.arrive_at.iter().filter(|(_, at)| **at <= self.now).map(|(node, _)| *node).collect();
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
        let message = AgentToKeeper::Renew { sent: self.now, applied, life: 1, router: Some(router) };
        let plan = self.tail.step(Input::Node { node, message }, self.now);
        self.note_told(plan);
    }

    fn note_told(&mut self, plan: Vec<Effect>) {
        for effect in plan {
            if let Effect::SendToNode { message: KeeperToAgent::Routers(routers), .. } = effect {
                let listed = routers.iter().map(|listed| listed.router).collect();
                self.told.push((self.now, listed));
            }
        }
    }

    fn all(&self) -> BTreeSet<NodeId> {
        self.arrive_at.keys().copied().collect()
    }
}

#[test]
fn a_tail_that_begins_tells_no_list_of_the_first_that_arrive_alone() {
    for seed in 0..SEEDS {
        let mut draws = Draws(seed);
        let count = 2 + draws.below(60);
        let arrive_ms: Vec<u64> = (0..count).map(|_| draws.below(ARRIVING_SPAN_MS)).collect();
        let mut arrivals = Arrivals::new(&arrive_ms);
        arrivals.play(PLAYED);
        assert!(!arrivals.told.is_empty(), "seed {seed}: no list was told");
        for (at, listed) in &arrivals.told {
            let missing = arrivals.all().len() - listed.len();
            assert_eq!(missing, 0, "seed {seed}: told after {:?} ms", at.since(arrivals.began).as_millis());
        }
    }
}

#[test]
fn a_list_that_goes_on_changing_is_told_all_the_same() {
    let arrive_ms: Vec<u64> = (0..40).map(|number| number * 300).collect();
    let mut arrivals = Arrivals::new(&arrive_ms);
    arrivals.play(PLAYED);
    let first = arrivals.told.first().expect("a list was told");
    assert!(first.0.since(arrivals.began) <= Span::millis(3200), "{:?}", first.0.since(arrivals.began));
}

#[test]
fn a_router_without_a_lease_leaves_the_list_and_one_that_is_back_returns() {
    let mut arrivals = Arrivals::new(&[0, 0, 0]);
    arrivals.play(PLAYED);
    let all = arrivals.all();
    assert_eq!(arrivals.told.last().map(|(_, listed)| listed.clone()), Some(all.clone()));
    let gone = NodeId(100);
    let address_kept = arrivals.arrive_at.remove(&gone);
    arrivals.play(PLAYED);
    assert_eq!(arrivals.told.last().map(|(_, listed)| listed.len()), Some(2));
    arrivals.arrive_at.insert(gone, address_kept.unwrap());
    arrivals.play(PLAYED);
    assert_eq!(arrivals.told.last().map(|(_, listed)| listed.clone()), Some(all));
}
