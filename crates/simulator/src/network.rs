//! The simulated network: which machine cannot reach which, and message delays.

use crate::prelude::*;

/// Machine number of the first node; keepers are numbered from 0.
pub const NODE_BASE: usize = 100;

/// The cuts between machines, by direction, and whether messages are slow.
#[derive(Default)]
pub struct SimNetwork {
    pub cuts: BTreeSet<(usize, usize)>,
    pub slow: bool,
}

impl SimNetwork {
    /// Whether messages from one machine to the other are lost or held up.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Cuts all machines on the left off from those on the right, in one or both directions.
    pub fn cut_between(&mut self, left: &[usize], right: &[usize], both_ways: bool) {
        for from in left {
            for to in right.iter().filter(|to| *to != from) {
                self.cuts.insert((*from, *to));
                if both_ways {
                    self.cuts.insert((*to, *from));
                }
            }
        }
    }

    /// Removes all cuts and ends the slowness.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.slow = false;
    }

    /// A random message delay.
    pub fn delay(&self, rng: &mut SeededRng) -> Span {
        let micros = match (self.slow, rng.chance(2)) {
            (true, _) => rng.between(20_000, 120_000),
            (false, true) => rng.between(5_000, 60_000),
            (false, false) => rng.between(200, 3_000),
        };
        Span(micros * 1000)
    }
}
