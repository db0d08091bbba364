//! A histogram of fixed buckets, so that those of many routers can be summed. Its bounds grow by about
//! a fifth each; a quantile is read inside its bucket as if that were filled evenly.

pub const BUCKETS: usize = 56;
const GROWTH: f64 = 1.2;

/// Nineteen in twenty.
const SPREAD: f64 = 1.96;

#[derive(Clone, Debug, PartialEq)]
pub struct Histogram {
    counts: [u64; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { counts: [0; BUCKETS] }
    }
}

/// A quantile and the interval in which it lies nineteen times in twenty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

impl Quantile {
    /// Whether two quantiles surely are not the same.
    pub fn differs(&self, other: &Quantile) -> bool {
        self.low > other.high || self.high < other.low
    }
}

/// The upper bound of a bucket; the last one has none.
pub fn bucket_upper_bound(bucket: usize) -> f64 {
    GROWTH.powi(bucket as i32)
}

impl Histogram {
    pub fn add(&mut self, value: f64) {
        let bucket = (0..BUCKETS - 1).find(|bucket| value <= bucket_upper_bound(*bucket)).unwrap_or(BUCKETS - 1);
        self.counts[bucket] += 1;
    }

    pub fn merge(&mut self, other: &Histogram) {
        for (own, theirs) in self.counts.iter_mut().zip(&other.counts) {
            *own += theirs;
        }
    }

    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    pub fn add_count(&mut self, bucket: usize, count: u64) {
        if let Some(own) = self.counts.get_mut(bucket) {
            *own += count;
        }
    }

    fn at_rank(&self, rank: f64) -> f64 {
        let mut before = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let count = *count as f64;
            if count > 0.0 && before + count >= rank {
                let lower = if bucket == 0 { 0.0 } else { bucket_upper_bound(bucket - 1) };
                let share = ((rank - before) / count).clamp(0.0, 1.0);
                return lower + (bucket_upper_bound(bucket) - lower) * share;
            }
            before += count;
        }
        bucket_upper_bound(BUCKETS - 1)
    }

    /// A quantile, if enough was seen: at least ten values must lie beyond it on its thinner side.
    pub fn quantile(&self, share: f64) -> Option<Quantile> {
        let count = self.count() as f64;
        if count * share.min(1.0 - share) < 10.0 {
            return None;
        }
        let rank = count * share;
        let spread = SPREAD * (count * share * (1.0 - share)).sqrt();
        let low_rank = (rank - spread).max(0.0);
        let high_rank = (rank + spread).min(count);
        Some(Quantile { value: self.at_rank(rank), low: self.at_rank(low_rank), high: self.at_rank(high_rank) })
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    /// Values drawn evenly from a range, the same each time.
    fn drawn(seed: u64, count: u64, lowest: f64, highest: f64) -> Histogram {
        let mut histogram = Histogram::default();
        let mut state = seed;
        for _ in 0..count {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            histogram.add(lowest + (highest - lowest) * ((state >> 33) as f64 / (1u64 << 31) as f64));
        }
        histogram
    }

    #[test]
    fn quantiles_come_close_and_say_when_too_little_was_seen() {
        let histogram = drawn(1, 4000, 0.0, 1000.0);
        for (share, expected) in [(0.5, 500.0), (0.9, 900.0), (0.99, 990.0)] {
            let quantile = histogram.quantile(share).unwrap();
            assert!((quantile.value - expected).abs() < expected * 0.1, "{share}: {quantile:?}");
            assert!(quantile.low <= quantile.value && quantile.value <= quantile.high);
        }
        let few = drawn(1, 99, 0.0, 1000.0);
        assert!(few.quantile(0.5).is_some() && few.quantile(0.9).is_none() && few.quantile(0.99).is_none());
        assert_eq!(Histogram::default().quantile(0.5), None);
    }

    #[test]
    fn the_same_behaviour_shows_no_difference_and_another_does() {
        let mut false_alarms = 0;
        for seed in 0..100 {
            let (left, right) = (drawn(seed, 400, 20.0, 300.0), drawn(seed + 1000, 400, 20.0, 300.0));
            let (left, right) = (left.quantile(0.5).unwrap(), right.quantile(0.5).unwrap());
            false_alarms += u32::from(left.differs(&right));
            let slower = drawn(seed + 2000, 400, 60.0, 400.0).quantile(0.5).unwrap();
            assert!(left.differs(&slower), "seed {seed}: {left:?} {slower:?}");
        }
        assert!(false_alarms <= 2, "{false_alarms} of 100 equal pairs seemed to differ");
    }
}
