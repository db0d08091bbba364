//! A histogram with fixed buckets, so that the histograms of many routers can be summed. Bucket bounds grow
//! geometrically; quantiles are interpolated linearly within a bucket.

/// The number of buckets, including the last, unbounded one.
pub const BUCKETS: usize = 56;
/// The ratio of each bucket's upper bound to the one before it.
const GROWTH: f64 = 1.2;
/// Standard deviations on each side of the mean that make up a 95 % confidence interval.
const CONFIDENCE_95: f64 = 1.96;
/// A quantile is estimated only if at least this many samples are expected on either side of it.
const MIN_TAIL_SAMPLES: f64 = 10.0;

/// Counts of values by bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct Histogram {
    counts: [u64; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram { counts: [0; BUCKETS] }
    }
}

/// An estimated quantile and its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    pub value: f64,
    pub low: f64,
    pub high: f64,
}

impl Quantile {
    /// Whether two quantiles differ significantly: their confidence intervals do not overlap.
    pub fn differs(&self, other: &Quantile) -> bool {
        self.low > other.high || self.high < other.low
    }
}

/// The inclusive upper bound of a bucket. The last bucket is unbounded; its nominal bound limits interpolation only.
pub fn bucket_upper_bound(bucket: usize) -> f64 {
    GROWTH.powi(bucket as i32)
}

impl Histogram {
    /// Counts one value.
    pub fn add(&mut self, value: f64) {
        let bucket = (0..BUCKETS - 1).find(|bucket| value <= bucket_upper_bound(*bucket)).unwrap_or(BUCKETS - 1);
        self.counts[bucket] += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Histogram) {
        for (own, theirs) in self.counts.iter_mut().zip(&other.counts) {
            *own += theirs;
        }
    }

    /// The number of values counted.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The counts by bucket.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    /// Adds `count` values to a bucket. A bucket out of range is ignored.
    pub fn add_count(&mut self, bucket: usize, count: u64) {
        if let Some(own) = self.counts.get_mut(bucket) {
            *own += count;
        }
    }

    /// The value at a rank, interpolated within its bucket.
    fn at_rank(&self, rank: f64) -> f64 {
        let mut cumulative = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let count = *count as f64;
            if count > 0.0 && cumulative + count >= rank {
                let lower = if bucket == 0 { 0.0 } else { bucket_upper_bound(bucket - 1) };
                let share = ((rank - cumulative) / count).clamp(0.0, 1.0);
                return lower + (bucket_upper_bound(bucket) - lower) * share;
            }
            cumulative += count;
        }
        bucket_upper_bound(BUCKETS - 1)
    }

    /// Estimates a quantile, with `share` between 0 and 1. Returns `None` with fewer than ten samples expected beyond
    /// it on its thinner side.
    pub fn quantile(&self, share: f64) -> Option<Quantile> {
        let count = self.count() as f64;
        if count * share.min(1.0 - share) < MIN_TAIL_SAMPLES {
            return None;
        }
        let rank = count * share;
        let half_width = CONFIDENCE_95 * (count * share * (1.0 - share)).sqrt();
        let low_rank = (rank - half_width).max(0.0);
        let high_rank = (rank + half_width).min(count);
        Some(Quantile { value: self.at_rank(rank), low: self.at_rank(low_rank), high: self.at_rank(high_rank) })
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    /// A histogram of uniformly distributed values, reproducible from the seed.
    fn uniform(seed: u64, count: u64, lowest: f64, highest: f64) -> Histogram {
        let mut histogram = Histogram::default();
        let mut state = seed;
        for _ in 0..count {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            histogram.add(lowest + (highest - lowest) * ((state >> 33) as f64 / (1u64 << 31) as f64));
        }
        histogram
    }

    #[test]
    fn quantiles_are_accurate_and_absent_with_too_few_samples() {
        let histogram = uniform(1, 4000, 0.0, 1000.0);
        for (share, expected) in [(0.5, 500.0), (0.9, 900.0), (0.99, 990.0)] {
            let quantile = histogram.quantile(share).unwrap();
            assert!((quantile.value - expected).abs() < expected * 0.1, "{share}: {quantile:?}");
            assert!(quantile.low <= quantile.value && quantile.value <= quantile.high);
        }
        let few = uniform(1, 99, 0.0, 1000.0);
        assert!(few.quantile(0.5).is_some() && few.quantile(0.9).is_none() && few.quantile(0.99).is_none());
        assert_eq!(Histogram::default().quantile(0.5), None);
    }

    #[test]
    fn equal_distributions_do_not_differ_and_unequal_ones_do() {
        let mut false_alarms = 0;
        for seed in 0..100 {
            let (left, right) = (uniform(seed, 400, 20.0, 300.0), uniform(seed + 1000, 400, 20.0, 300.0));
            let (left, right) = (left.quantile(0.5).unwrap(), right.quantile(0.5).unwrap());
            false_alarms += u32::from(left.differs(&right));
            let slower = uniform(seed + 2000, 400, 60.0, 400.0).quantile(0.5).unwrap();
            assert!(left.differs(&slower), "seed {seed}: {left:?} {slower:?}");
        }
        assert!(false_alarms <= 2, "{false_alarms} of 100 equal pairs were reported as different");
    }
}
