//! The prefill speed of a service's engines, estimated from the time to the first event of requests with a long
//! prefill.

use crate::prelude::*;

/// Used until there are enough observations: the right order of magnitude for any kind of engine.
const PRIOR_TOKENS_PER_MS: f64 = 50.0;
/// The prior is used until there are this many observations.
const MIN_OBSERVATIONS: u64 = 8;
/// For a shorter prefill, the engine's other work takes too large a share of the time.
const MIN_PREFILL_TOKENS: u64 = 2048;
/// Requests that waited in the queue appear slower than the engine's speed, and requests that found more cached
/// tokens than known appear faster; the former are far more frequent.
const UNDISTURBED_QUANTILE: f64 = 0.75;
/// No engine is slower, whatever was observed.
const MIN_TOKENS_PER_MS: f64 = 0.5;
/// No engine is faster, whatever was observed.
const MAX_TOKENS_PER_MS: f64 = 5000.0;

/// An estimate of the prefill speed.
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
    /// Records that an engine prefilled these tokens and sent its first event after `waited`.
    pub fn observe(&mut self, prefill_tokens: u64, waited: Span) {
        if prefill_tokens < MIN_PREFILL_TOKENS {
            return;
        }
        self.estimate.observe(prefill_tokens as f64 / (waited.0 as f64 / 1e6));
    }

    /// Tokens prefilled per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        if self.estimate.observations() < MIN_OBSERVATIONS {
            return PRIOR_TOKENS_PER_MS;
        }
        self.estimate.value().clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS)
    }

    /// The number of observations that the estimate is based on.
    pub fn observations(&self) -> u64 {
        self.estimate.observations()
    }
}
