//! A small seeded random number generator, for generated workloads ("days") and simulations that must be
//! reproducible from their seed. Not suitable for ids or keys.

/// A SplitMix64 generator: the same seed gives the same sequence.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    /// Returns the next number, uniform over all of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number in `0..bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// Returns a number in `lowest..=highest`.
    pub fn between(&mut self, lowest: u64, highest: u64) -> u64 {
        lowest + self.below(highest - lowest + 1)
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns an index into `weights`, chosen with a probability proportional to its weight.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = u64> + Clone) -> usize {
        let mut drawn = self.below(weights.clone().sum());
        for (index, weight) in weights.enumerate() {
            if drawn < weight {
                return index;
            }
            drawn -= weight;
        }
        0
    }
}
