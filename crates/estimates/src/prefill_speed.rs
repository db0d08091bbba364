//! How fast the engines of a service read prompts, learnt from the time to the first event of requests of which
//! much had to be read.

use crate::prelude::*;

/// Said until enough was seen: a guess of the right order for engines of any kind.
const PRIOR_TOKENS_PER_MS: f64 = 50.0;
/// So few observations are no ground for an estimate yet.
const LEAST_SEEN: u64 = 8;
/// What an engine does besides reading weighs too much in the time of shorter reads.
const SHORTEST_READ_TOKENS: u64 = 2048;
/// Requests that had to wait, or that found more kept than was known, lie to both sides of the engines' own
/// speed; the former are many more.
const UNDISTURBED_QUANTILE: f64 = 0.75;
/// Beyond these no engine reads, whatever was observed.
const SLOWEST_TOKENS_PER_MS: f64 = 0.5;
const FASTEST_TOKENS_PER_MS: f64 = 5000.0;

/// An estimate of how fast prompts are read.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillSpeed {
    estimate: QuantileEstimate,
}

impl Default for PrefillSpeed {
    fn default() -> PrefillSpeed {
        PrefillSpeed { estimate: QuantileEstimate::new(UNDISTURBED_QUANTILE, PRIOR_TOKENS_PER_MS) }
    }
}

impl PrefillSpeed {
    /// An engine had so many tokens to read, and its first event came after so long.
    pub fn observe(&mut self, read_tokens: u64, waited: Span) {
        if read_tokens < SHORTEST_READ_TOKENS {
            return;
        }
        self.estimate.observe(read_tokens as f64 / (waited.0 as f64 / 1e6));
    }

    /// Tokens read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        if self.estimate.seen() < LEAST_SEEN {
            return PRIOR_TOKENS_PER_MS;
        }
        self.estimate.value().clamp(SLOWEST_TOKENS_PER_MS, FASTEST_TOKENS_PER_MS)
    }

    /// How many reads it rests on.
    pub fn seen(&self) -> u64 {
        self.estimate.seen()
    }
}
