//! Where requests for each adapter arrive, from what routers told. Reports come late and are lost: each
//! counts for less as it ages, and a router that is silent fades out. A region begins to count with more
//! than a stray request, and stops counting some time after its last ones.

use crate::prelude::*;

/// A region begins to count at so many requests' worth of the average, and goes on down to the other.
const BEGINS_AT: f64 = 1.5;
const GOES_ON_AT: f64 = 0.25;
/// The count of copies that follows the load falls only when the load is clearly below.
const FALLS_BELOW: f64 = 0.8;

/// A report as the tail heard it, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardDemand {
    pub report: DemandReport,
    pub age: Span,
}

/// What is known of one adapter's requests in one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionDemand {
    rate: f64,
    counts: bool,
    last_counted: Option<Instant>,
    /// Copies that its load asked for last.
    scaled: u64,
}

/// Rates by adapter and region, and since when each counts.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    reports: BTreeMap<NodeId, (DemandReport, Instant)>,
    regions: BTreeMap<(AdapterName, Region), RegionDemand>,
}

impl DemandBook {
    /// Takes what the tail has heard; the latest report of a router counts.
    pub fn hear(&mut self, heard: Vec<HeardDemand>, now: Instant) {
        for HeardDemand { report, age } in heard {
            let said = Instant(now.0.saturating_sub(age.0));
            let is_newer = self.reports.get(&report.router).is_none_or(|(_, known)| *known < said);
            if is_newer {
                self.reports.insert(report.router, (report, said));
            }
        }
    }

    /// Works the rates out anew.
    pub(crate) fn settle(&mut self, state: &FleetState, now: Instant) {
        let warming = state.desired.warming;
        let forgotten_after = Span(warming.demand_window.0.saturating_mul(10));
        self.reports.retain(|_, (_, said)| now.since(*said) < forgotten_after);
        for known in self.regions.values_mut() {
            known.rate = 0.0;
        }
        for (report, said) in self.reports.values() {
            let region = state.desired.region_of(&report.zone);
            for (adapter, told) in &report.rates {
                let rate = decayed(*told as f64 / RATE_UNIT, now.since(*said), warming.demand_window);
                self.regions.entry((adapter.clone(), region.clone())).or_default().rate += rate;
            }
        }
        let one = weight_of_one(warming.demand_window);
        for known in self.regions.values_mut() {
            known.counts = known.rate >= one * if known.counts { GOES_ON_AT } else { BEGINS_AT };
            if known.counts {
                known.last_counted = Some(now);
            }
        }
        let holds = |known: &RegionDemand| is_held(known, warming, now) || known.rate > 0.0;
        self.regions.retain(|(adapter, _), known| state.desired.adapters.contains_key(adapter) && holds(known));
    }

    /// The regions where an adapter's requests arrive or did a short while ago, busiest first.
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

    /// How many copies a region's load asks for.
    pub(crate) fn copies_for(&mut self, adapter: &AdapterName, wish: &AdapterSpec, region: &Region) -> u64 {
        if wish.copy_requests == 0 {
            return wish.warm_in_region;
        }
        let naming = (adapter.clone(), region.clone());
        let Some(known) = self.regions.get_mut(&naming) else { return wish.warm_in_region };
        let load = known.rate / wish.copy_requests as f64;
        let asked = load.ceil() as u64;
        let is_clearly_less = load < known.scaled.saturating_sub(1) as f64 * FALLS_BELOW;
        if asked > known.scaled || is_clearly_less {
            known.scaled = asked;
        }
        known.scaled.max(wish.warm_in_region)
    }

    /// When an adapter's requests counted last in a region.
    pub(crate) fn last_use(&self, adapter: &AdapterName, region: &Region) -> Instant {
        let known = self.regions.get(&(adapter.clone(), region.clone()));
        known.and_then(|known| known.last_counted).unwrap_or_default()
    }
}

/// Whether a region counts now or did within the span for which copies are held.
fn is_held(known: &RegionDemand, warming: WarmingSettings, now: Instant) -> bool {
    known.last_counted.is_some_and(|last| now.since(last) < warming.hold_time || known.counts)
}
