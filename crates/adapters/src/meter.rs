//! A router's own count of the requests for each adapter, averaged over time.

use crate::prelude::*;

/// Rates are told in thousandths of a request a minute.
pub const RATE_UNIT: f64 = 1000.0;
/// Rates below this are told as none.
const LEAST_TOLD: f64 = 0.01;

/// What one request adds to a rate, in requests a minute.
pub fn weight_of_one(span: Span) -> f64 {
    60_000.0 / span.as_millis().max(1) as f64
}

/// What is left of a rate after a while.
pub fn decayed(rate: f64, waited: Span, span: Span) -> f64 {
    rate * (-(waited.0 as f64) / span.0.max(1) as f64).exp()
}

/// A rate that falls by itself while no request comes.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Instant,
}

/// What a router tells of the requests that arrived at it, whether they were served or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    pub router: NodeId,
    pub zone: Zone,
    /// For each adapter, in thousandths of a request a minute.
    pub rates: BTreeMap<AdapterName, u64>,
}

/// The rates of requests at one router.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: BTreeMap<AdapterName, Rate>,
}

impl DemandMeter {
    /// Counts a request that arrived.
    pub fn record(&mut self, adapter: &AdapterName, span: Span, now: Instant) {
        let rate = self.rates.entry(adapter.clone()).or_default();
        rate.value = decayed(rate.value, now.since(rate.at), span) + weight_of_one(span);
        rate.at = now;
    }

    /// The rates as they are told now; adapters long without a request are forgotten.
    pub fn rates(&mut self, span: Span, now: Instant) -> BTreeMap<AdapterName, u64> {
        self.rates.retain(|_, rate| decayed(rate.value, now.since(rate.at), span) >= LEAST_TOLD);
        let told = self.rates.iter().map(|(adapter, rate)| {
            let value = decayed(rate.value, now.since(rate.at), span);
            (adapter.clone(), (value * RATE_UNIT) as u64)
        });
        told.collect()
    }
}
