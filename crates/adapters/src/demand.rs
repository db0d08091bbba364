//! Where requests for each adapter arrive, aggregated from the routers' reports. Reports may be late or lost: each
//! decays with its age, so a silent router fades out. A region becomes active only with more than a stray
//! request, and becomes inactive some time after its last requests.

use crate::prelude::*;

/// A region becomes active at this rate, in multiples of what one request adds to the average.
const ACTIVATION_LEVEL: f64 = 1.5;
/// An active region stays active down to this rate, in the same unit.
const DEACTIVATION_LEVEL: f64 = 0.25;
/// The number of copies is reduced only when the load is below this share of what one copy fewer can take.
const SCALE_DOWN_SHARE: f64 = 0.8;

/// A router's report as received by the chain's tail, with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedDemandReport {
    pub report: DemandReport,
    pub age: Span,
}

/// The demand for one adapter in one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionDemand {
    rate: f64,
    is_active: bool,
    last_active: Option<Instant>,
    /// The number of copies for the load, as last decided.
    load_copies: u64,
}

/// Tracks the request rate of each adapter in each region.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    reports: BTreeMap<NodeId, (DemandReport, Instant)>,
    regions: BTreeMap<(AdapterName, Region), RegionDemand>,
}

impl DemandTracker {
    /// Records reports; only the latest of each router is kept.
    pub fn record(&mut self, reports: Vec<AgedDemandReport>, now: Instant) {
        for AgedDemandReport { report, age } in reports {
            let sent = Instant(now.0.saturating_sub(age.0));
            let is_newer = self.reports.get(&report.router).is_none_or(|(_, known)| *known < sent);
            if is_newer {
                self.reports.insert(report.router, (report, sent));
            }
        }
    }

    /// Recomputes all rates from the reports.
    pub(crate) fn recompute_rates(&mut self, state: &FleetState, now: Instant) {
        let warming = state.desired.warming;
        let forgotten_after = Span(warming.demand_window.0.saturating_mul(10));
        self.reports.retain(|_, (_, sent)| now.since(*sent) < forgotten_after);
        for known in self.regions.values_mut() {
            known.rate = 0.0;
        }
        for (report, sent) in self.reports.values() {
            let region = state.desired.region_of(&report.zone);
            for (adapter, reported) in &report.rates {
                let rate = decayed(*reported as f64 / RATE_UNIT, now.since(*sent), warming.demand_window);
                self.regions.entry((adapter.clone(), region.clone())).or_default().rate += rate;
            }
        }
        let one_request = rate_of_one_request(warming.demand_window);
        for known in self.regions.values_mut() {
            known.is_active =
                known.rate >= one_request * if known.is_active { DEACTIVATION_LEVEL } else { ACTIVATION_LEVEL };
            if known.is_active {
                known.last_active = Some(now);
            }
        }
        let is_relevant = |known: &RegionDemand| is_held(known, warming, now) || known.rate > 0.0;
        self.regions.retain(|(adapter, _), known| state.desired.adapters.contains_key(adapter) && is_relevant(known));
    }

    /// The regions where an adapter's requests arrive, or did within the hold span, busiest first.
    pub(crate) fn regions_of(&self, adapter: &AdapterName, warming: WarmingSettings, now: Instant) -> Vec<Region> {
        let mut found: Vec<(&Region, f64)> = self
            .regions
            .iter()
            .filter(|((name, _), known)| name == adapter && is_held(known, warming, now))
            .map(|((_, region), known)| (region, known.rate))
            .collect();
        found.sort_by(|left, right| right.1.total_cmp(&left.1).then_with(|| left.0.cmp(right.0)));
        found.into_iter().map(|(region, _)| region.clone()).collect()
    }

    /// How many copies a region needs for its load.
    pub(crate) fn copies_for(&mut self, adapter: &AdapterName, spec: &AdapterSpec, region: &Region) -> u64 {
        if spec.copy_requests == 0 {
            return spec.warm_in_region;
        }
        let key = (adapter.clone(), region.clone());
        let Some(known) = self.regions.get_mut(&key) else { return spec.warm_in_region };
        let load = known.rate / spec.copy_requests as f64;
        let needed = load.ceil() as u64;
        let is_clearly_lower = load < known.load_copies.saturating_sub(1) as f64 * SCALE_DOWN_SHARE;
        if needed > known.load_copies || is_clearly_lower {
            known.load_copies = needed;
        }
        known.load_copies.max(spec.warm_in_region)
    }

    /// When a region was last active for an adapter.
    pub(crate) fn last_use(&self, adapter: &AdapterName, region: &Region) -> Instant {
        let known = self.regions.get(&(adapter.clone(), region.clone()));
        known.and_then(|known| known.last_active).unwrap_or_default()
    }
}

/// Whether a region is active, or was within the span for which copies are kept.
fn is_held(known: &RegionDemand, warming: WarmingSettings, now: Instant) -> bool {
    known.last_active.is_some_and(|last| now.since(last) < warming.hold_time || known.is_active)
}
