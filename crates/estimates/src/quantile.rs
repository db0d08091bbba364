//! A quantile of positive observations, followed on a logarithmic scale: each observation moves the estimate
//! by a share of itself, up or down, so that neither the unit nor one wild value matters.

/// The share by which the newest observation moves the estimate at least, so that it follows what changes.
const SMALLEST_STEP: f64 = 0.03;
/// The share by which the first ones move it at most.
const LARGEST_STEP: f64 = 0.7;

/// A row of observations on one side of the estimate with a chance of one in e to this is nothing unusual.
const USUAL_SURPRISE: f64 = 3.0;
/// Beyond these no quantity lies that is estimated here, in whatever unit.
const SMALLEST: f64 = 1e-9;
const LARGEST: f64 = 1e15;

/// A running estimate of one quantile.
#[derive(Clone, Debug, PartialEq)]
pub struct QuantileEstimate {
    quantile: f64,
    value: f64,
    seen: u64,
    dropped: u64,
    /// Which side of the estimate the latest observations lay on, and how many in a row.
    side: Side,
    run: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Above,
    Below,
}

impl QuantileEstimate {
    /// An estimate of this quantile, between 0 and 1, that has seen nothing and says `prior`.
    pub fn new(quantile: f64, prior: f64) -> QuantileEstimate {
        QuantileEstimate {
            quantile: quantile.clamp(0.01, 0.99),
            value: prior,
            seen: 0,
            dropped: 0,
            side: Side::Above,
            run: 0,
        }
    }

    /// Takes an observation; one that cannot be is dropped and counted.
    pub fn observe(&mut self, observed: f64) {
        if !(SMALLEST..=LARGEST).contains(&observed) {
            self.dropped += 1;
            return;
        }
        if self.seen == 0 {
            self.value = observed;
        }
        self.seen += 1;
        let side = if observed > self.value { Side::Above } else { Side::Below };
        self.run = if side == self.side { self.run + 1 } else { 1 };
        self.side = side;
        let direction = match side {
            Side::Above => self.quantile,
            Side::Below => self.quantile - 1.0,
        };
        let value = self.value * (self.step() * direction).exp();
        self.value = value.clamp(SMALLEST, LARGEST);
    }

    /// By what share the latest observation moves the estimate: less with each one seen, more where so many in a
    /// row lay on one side that what is observed must have changed.
    fn step(&self) -> f64 {
        let settled = (2.0 / self.seen as f64).clamp(SMALLEST_STEP, LARGEST_STEP);
        let side_chance = match self.side {
            Side::Above => 1.0 - self.quantile,
            Side::Below => self.quantile,
        };
        let surprise = self.run as f64 * -side_chance.ln();
        let growth = (surprise - USUAL_SURPRISE).max(0.0);
        (settled * (1.0 + growth)).min(LARGEST_STEP)
    }

    /// The estimate as it stands.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// How many observations it rests on.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// How many observations were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
