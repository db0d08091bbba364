//! A running estimate of a quantile of positive observations on a logarithmic scale. Each observation multiplies the
//! estimate by a bounded factor, so neither the unit nor a single outlier matters.

/// The smallest logarithmic step of an observation, so that the estimate keeps tracking changes.
const MIN_STEP: f64 = 0.03;
/// The largest logarithmic step of an observation.
const MAX_STEP: f64 = 0.7;

/// The surprisal, in nats, of a run of observations on one side of the estimate that isn't unusual: a probability of
/// 1 in e^3.
const USUAL_SURPRISAL: f64 = 3.0;
/// No quantity estimated here is smaller, in any unit.
const MIN_VALUE: f64 = 1e-9;
/// No quantity estimated here is larger, in any unit.
const MAX_VALUE: f64 = 1e15;

/// A running estimate of one quantile.
#[derive(Clone, Debug, PartialEq)]
pub struct QuantileEstimate {
    quantile: f64,
    value: f64,
    observations: u64,
    dropped: u64,
    /// The side of the estimate on which the latest observation lay.
    side: Side,
    /// The number of consecutive observations on that side.
    run_length: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Above,
    Below,
}

impl QuantileEstimate {
    /// An estimate of this quantile, between 0 and 1, that equals `prior` until the first observation.
    pub fn new(quantile: f64, prior: f64) -> QuantileEstimate {
        QuantileEstimate {
            quantile: quantile.clamp(0.01, 0.99),
            value: prior,
            observations: 0,
            dropped: 0,
            side: Side::Above,
            run_length: 0,
        }
    }

    /// Updates the estimate by an observation. An impossible observation is dropped and counted.
    pub fn observe(&mut self, observed: f64) {
        if !(MIN_VALUE..=MAX_VALUE).contains(&observed) {
            self.dropped += 1;
            return;
        }
        if self.observations == 0 {
            self.value = observed;
        }
        self.observations += 1;
        let side = if observed > self.value { Side::Above } else { Side::Below };
        self.run_length = if side == self.side { self.run_length + 1 } else { 1 };
        self.side = side;
        let direction = match side {
            Side::Above => self.quantile,
            Side::Below => self.quantile - 1.0,
        };
        let value = self.value * (self.step() * direction).exp();
        self.value = value.clamp(MIN_VALUE, MAX_VALUE);
    }

    /// The logarithmic step of the latest observation. It shrinks with the number of observations, and grows after a
    /// long run on one side, which means that the observed quantity changed.
    fn step(&self) -> f64 {
        let base = (2.0 / self.observations as f64).clamp(MIN_STEP, MAX_STEP);
        let side_probability = match self.side {
            Side::Above => 1.0 - self.quantile,
            Side::Below => self.quantile,
        };
        let surprisal = self.run_length as f64 * -side_probability.ln();
        let growth = (surprisal - USUAL_SURPRISAL).max(0.0);
        (base * (1.0 + growth)).min(MAX_STEP)
    }

    /// The current estimate.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The number of observations that the estimate is based on.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    /// The number of dropped observations.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
