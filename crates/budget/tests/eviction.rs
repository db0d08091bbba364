//! Which connections give way when a budget is full, and what is refused.

use budget::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

struct Peer {
    account: Account,
    is_evicted: Arc<AtomicBool>,
}

impl Peer {
    fn open(budget: &Arc<Budget>) -> Result<Peer, Exhausted> {
        let is_evicted = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&is_evicted);
        let account = budget.open(move || flag.store(true, Ordering::SeqCst))?;
        Ok(Peer { account, is_evicted })
    }

    /// Opens a connection that sends bytes and awaits to send the rest.
    fn sending(budget: &Arc<Budget>, bytes: u64) -> (Peer, HeldBytes) {
        let peer = Peer::open(budget).unwrap();
        let mut held = peer.account.hold();
        held.grow(bytes).unwrap();
        peer.account.record_progress(true);
        (peer, held)
    }

    fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::SeqCst)
    }
}

fn budget_of(bytes: u64, connections: usize) -> Arc<Budget> {
    Budget::new(BudgetLimits { bytes: bytes + connections as u64 * CONNECTION_BYTES, connections })
}

#[test]
fn the_longest_stalled_gives_way_for_bytes() {
    let budget = budget_of(100, 3);
    let (first, _first_held) = Peer::sending(&budget, 40);
    let (second, mut second_held) = Peer::sending(&budget, 40);
    first.account.record_progress(true);
    let (third, _third_held) = Peer::sending(&budget, 40);
    assert!(second.is_evicted() && !first.is_evicted() && !third.is_evicted());
    assert_eq!(budget.evictions(), 1);
    assert_eq!(second_held.grow(1), Err(Exhausted), "what was evicted gets nothing more");
    assert!(budget.held_bytes() <= 100 + 3 * CONNECTION_BYTES);
}

#[test]
fn connections_mid_request_give_way_before_idle_ones() {
    let budget = budget_of(100, 3);
    let idle = Peer::open(&budget).unwrap();
    let (sending, _held) = Peer::sending(&budget, 80);
    let (_third, _third_held) = Peer::sending(&budget, 80);
    assert!(sending.is_evicted() && !idle.is_evicted());
}

#[test]
fn a_request_that_is_served_never_gives_way() {
    let budget = budget_of(100, 2);
    let served = Peer::open(&budget).unwrap();
    let mut held = served.account.hold();
    held.grow(90).unwrap();
    served.account.record_progress(false);
    let serving = served.account.serve();
    let newcomer = Peer::open(&budget).unwrap();
    let mut newcomer_held = newcomer.account.hold();
    assert_eq!(newcomer_held.grow(20), Err(Exhausted));
    assert!(!served.is_evicted());
    drop((held, serving));
    newcomer_held.grow(20).unwrap();
}

#[test]
fn a_peer_that_takes_no_answer_gives_way_though_it_is_served() {
    let budget = budget_of(100, 2);
    let served = Peer::open(&budget).unwrap();
    let _serving = served.account.serve();
    let mut held = served.account.hold();
    held.grow(90).unwrap();
    served.account.set_blocked(true);
    let (_newcomer, _newcomer_held) = Peer::sending(&budget, 20);
    assert!(served.is_evicted());
}

#[test]
fn the_longest_stalled_gives_way_for_a_connection() {
    let budget = budget_of(0, 2);
    let first = Peer::open(&budget).unwrap();
    let second = Peer::open(&budget).unwrap();
    first.account.record_progress(false);
    let _third = Peer::open(&budget).unwrap();
    assert!(second.is_evicted() && !first.is_evicted());
    assert_eq!(budget.connections(), 2);
}

#[test]
fn a_connection_is_refused_if_all_others_are_served() {
    let budget = budget_of(0, 1);
    let served = Peer::open(&budget).unwrap();
    let _serving = served.account.serve();
    assert!(Peer::open(&budget).is_err());
}

#[test]
fn large_bodies_being_served_leave_room_for_connections_and_small_ones() {
    let budget = Budget::new(BudgetLimits { bytes: 100 * SMALL_BYTES, connections: 100 });
    let served = Peer::open(&budget).unwrap();
    let _serving = served.account.serve();
    let mut body = served.account.hold();
    while body.grow(1000).is_ok() {}
    assert!(budget.held_bytes() <= 75 * SMALL_BYTES);
    let newcomer = Peer::open(&budget).unwrap();
    let mut small_body = newcomer.account.hold();
    small_body.grow(SMALL_BYTES).unwrap();
    assert_eq!(small_body.grow(1), Err(Exhausted), "a large body has to wait");
}

#[test]
fn everything_is_given_back() {
    let budget = budget_of(100, 4);
    for _ in 0..50 {
        let (_peer, mut held) = Peer::sending(&budget, 60);
        let _other = Peer::sending(&budget, 60);
        let _ = held.grow_to(80);
        held.clear();
    }
    assert_eq!((budget.held_bytes(), budget.connections()), (0, 0));
}

#[test]
fn the_servers_of_a_process_share_its_limits() {
    let limits = ProcessLimits::new(160_000_000, 4200);
    let share = Share { memory_divisor: 4, descriptors_divisor: 2 };
    assert_eq!(limits.share(share), BudgetLimits { bytes: 40_000_000, connections: 2000 });
    assert!(ProcessLimits::new(1, 10).share(share).connections > 0, "few descriptors still allow some connections");
}
