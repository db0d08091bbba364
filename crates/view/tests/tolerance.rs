//! How long a chain must be to take writes.

use units::prelude::*;
use view::prelude::*;

fn view(voters: u64, chain: u64, tolerance: u64) -> View {
    let ids = |count: u64| (1..=count).map(NodeId).collect::<Vec<_>>();
    View { voters: ids(voters), chain: ids(chain), tolerance, ..View::default() }
}

#[test]
fn as_many_lost_disks_as_are_tolerated_lose_no_record() {
    for (voters, tolerance, least) in [(4, 1, 2), (3, 1, 2), (5, 2, 3), (4, 2, 3), (1, 0, 1), (3, 0, 2), (2, 0, 1)] {
        assert_eq!(
            view(voters, voters, tolerance).min_chain_length(),
            least,
            "{voters} voters, tolerance {tolerance}"
        );
    }
}

#[test]
fn a_chain_of_one_takes_writes_only_where_no_loss_is_tolerated() {
    assert!(view(1, 1, 0).accepts_writes());
    assert!(!view(1, 1, 1).accepts_writes());
    assert!(!View::default().accepts_writes());
}
