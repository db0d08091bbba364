//! A small seeded generator, for days and simulated runs that must be the same for the same seed. Not
//! for ids or keys.

/// A small, fast generator of the same numbers for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    pub fn between(&mut self, lowest: u64, highest: u64) -> u64 {
        lowest + self.below(highest - lowest + 1)
    }

    /// True so many times in a hundred.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn weighted_index(&mut self, shares: impl Iterator<Item = u64> + Clone) -> usize {
        let mut drawn = self.below(shares.clone().sum());
        for (place, share) in shares.enumerate() {
            if drawn < share {
                return place;
            }
            drawn -= share;
        }
        0
    }
}
