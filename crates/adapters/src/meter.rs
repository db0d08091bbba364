//! A router's own request rate for each adapter, as a decaying average.

use crate::prelude::*;

/// Reported rates are in units of 1/`RATE_UNIT` requests per minute.
pub const RATE_UNIT: f64 = 1000.0;
/// Rates below this, in requests per minute, are not reported.
const MIN_REPORTED_RATE: f64 = 0.01;

/// What one request adds to a rate, in requests per minute.
pub fn rate_of_one_request(span: Span) -> f64 {
    60_000.0 / span.as_millis().max(1) as f64
}

/// The rate after exponential decay over `elapsed`.
pub fn decayed(rate: f64, elapsed: Span, span: Span) -> f64 {
    rate * (-(elapsed.0 as f64) / span.0.max(1) as f64).exp()
}

/// A rate that decays while no request arrives.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Instant,
}

/// A router's report of the requests that arrived at it, whether they were served or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    pub router: NodeId,
    pub zone: Zone,
    /// The rate of each adapter, in thousandths of a request per minute.
    pub rates: BTreeMap<AdapterName, u64>,
}

/// Measures the request rate of each adapter at one router.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: BTreeMap<AdapterName, Rate>,
}

impl DemandMeter {
    /// Counts a request that arrived.
    pub fn record(&mut self, adapter: &AdapterName, span: Span, now: Instant) {
        let rate = self.rates.entry(adapter.clone()).or_default();
        rate.value = decayed(rate.value, now.since(rate.at), span) + rate_of_one_request(span);
        rate.at = now;
    }

    /// The rates to report now; adapters long without a request are dropped.
    pub fn rates(&mut self, span: Span, now: Instant) -> BTreeMap<AdapterName, u64> {
        self.rates.retain(|_, rate| decayed(rate.value, now.since(rate.at), span) >= MIN_REPORTED_RATE);
        let rates = self.rates.iter().map(|(adapter, rate)| {
            let value = decayed(rate.value, now.since(rate.at), span);
            (adapter.clone(), (value * RATE_UNIT) as u64)
        });
        rates.collect()
    }
}
