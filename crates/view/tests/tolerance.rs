//! The minimum chain length for taking writes, by number of voters and tolerated disk losses.

use units::prelude::*;
use view::prelude::*;

fn view(voters: u64, chain: u64, tolerance: u64) -> View {
    let ids = |count: u64| (1..=count).map(NodeId).collect::<Vec<_>>();
    View { voters: ids(voters), chain: ids(chain), tolerance, ..View::default() }
}

#[test]
fn the_chain_outlasts_the_tolerated_disk_losses() {
    for (voters, tolerance, least) in [(4, 1, 2), (3, 1, 2), (5, 2, 3), (4, 2, 3), (1, 0, 1), (3, 0, 2), (2, 0, 1)] {
        assert_eq!(
            view(voters, voters, tolerance).min_chain_length(),
            least,
            "{voters} voters, tolerance {tolerance}"
        );
    }
}

#[test]
fn a_chain_of_one_takes_writes_only_at_tolerance_zero() {
    assert!(view(1, 1, 0).accepts_writes());
    assert!(!view(1, 1, 1).accepts_writes());
    assert!(!View::default().accepts_writes());
}
