//! Metrics by policy and tenant.

use crate::prelude::*;

/// Metrics of the requests of one tenant under one policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficMetrics {
    pub requests: u64,
    pub faults: u64,
    pub prompt_blocks: u64,
    pub reused_blocks: u64,
    /// Picks in which the default policy would have chosen another engine.
    pub differs: u64,
    /// By how many blocks those picks cost more than the default policy's choice, under the default's weights.
    pub excess_blocks: u64,
    /// Milliseconds until the first streamed piece.
    pub first: Histogram,
    /// Mean milliseconds between the pieces of a stream, one value per stream.
    pub pace: Histogram,
    /// Blocks in work on the chosen engine at the time of the pick.
    pub occupancy: Histogram,
    /// Picks by engine.
    pub engines: BTreeMap<String, u64>,
}

impl TrafficMetrics {
    /// Adds another set of metrics.
    pub fn merge(&mut self, other: &TrafficMetrics) {
        for (own, theirs) in self.sums_mut().into_iter().zip(other.sums()) {
            *own += theirs.1;
        }
        for (own, theirs) in self.histograms_mut().into_iter().zip(other.histograms()) {
            own.merge(theirs.1);
        }
        for (engine, count) in &other.engines {
            *self.engines.entry(engine.clone()).or_default() += count;
        }
    }

    /// The counters and the names under which they are exported.
    pub fn sums(&self) -> [(&'static str, u64); 6] {
        [
            ("requests", self.requests),
            ("faults", self.faults),
            ("prompt_blocks", self.prompt_blocks),
            ("reused_blocks", self.reused_blocks),
            ("differs", self.differs),
            ("excess_blocks", self.excess_blocks),
        ]
    }

    pub(crate) fn sums_mut(&mut self) -> [&mut u64; 6] {
        [
            &mut self.requests,
            &mut self.faults,
            &mut self.prompt_blocks,
            &mut self.reused_blocks,
            &mut self.differs,
            &mut self.excess_blocks,
        ]
    }

    /// The histograms and the names under which they are exported.
    pub fn histograms(&self) -> [(&'static str, &Histogram); 3] {
        [("first_ms", &self.first), ("pace_ms", &self.pace), ("occupancy_blocks", &self.occupancy)]
    }

    pub(crate) fn histograms_mut(&mut self) -> [&mut Histogram; 3] {
        [&mut self.first, &mut self.pace, &mut self.occupancy]
    }

    /// The share of all picks that went to the most frequently picked engine.
    pub fn busiest_share(&self) -> f64 {
        let picks: u64 = self.engines.values().sum();
        let most = self.engines.values().max().copied().unwrap_or(0);
        most as f64 / picks.max(1) as f64
    }
}

/// Metrics of all policies and tenants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyMetrics {
    /// Keyed by policy name and tenant name.
    pub by_policy_and_tenant: BTreeMap<(String, String), TrafficMetrics>,
}

impl PolicyMetrics {
    /// The metrics of a policy and tenant, created if absent.
    pub fn entry(&mut self, policy: &str, tenant: &str) -> &mut TrafficMetrics {
        self.by_policy_and_tenant.entry((policy.to_owned(), tenant.to_owned())).or_default()
    }

    /// Discards a policy's metrics. Called when the policy changes, as they do not describe the new version.
    pub fn clear_policy(&mut self, policy: &str) {
        self.by_policy_and_tenant.retain(|(known, _), _| known != policy);
    }

    /// Discards a tenant's metrics. Called when its trial changes, so that both sides of a trial cover the same
    /// period.
    pub fn clear_tenant(&mut self, tenant: &str) {
        self.by_policy_and_tenant.retain(|(_, known), _| known != tenant);
    }

    /// The default policy's metrics, summed over only those tenants that also have metrics under `policy`.
    pub fn default_for_tenants_of(&self, policy: &str) -> Option<TrafficMetrics> {
        let mut merged: Option<TrafficMetrics> = None;
        for (_, tenant) in self.by_policy_and_tenant.keys().filter(|(known, _)| known == policy) {
            if let Some(metrics) = self.by_policy_and_tenant.get(&("default".to_owned(), tenant.clone())) {
                merged.get_or_insert_default().merge(metrics);
            }
        }
        merged
    }

    /// Adds the metrics of another router.
    pub fn merge(&mut self, other: &PolicyMetrics) {
        for ((policy, tenant), metrics) in &other.by_policy_and_tenant {
            self.entry(policy, tenant).merge(metrics);
        }
    }

    /// The metrics of each policy, summed over all tenants.
    pub fn by_policy(&self) -> BTreeMap<&str, TrafficMetrics> {
        let mut sums: BTreeMap<&str, TrafficMetrics> = BTreeMap::new();
        for ((policy, _), metrics) in &self.by_policy_and_tenant {
            sums.entry(policy).or_default().merge(metrics);
        }
        sums
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_trial_is_compared_with_the_default_for_its_own_tenants_only() {
        let mut metrics = PolicyMetrics::default();
        metrics.entry("trial", "a").requests = 10;
        assert_eq!(
            metrics.default_for_tenants_of("trial"),
            None,
            "the trial's tenants have no requests under the default policy"
        );
        metrics.entry("default", "a").requests = 9;
        metrics.entry("default", "b").requests = 500;
        assert_eq!(metrics.default_for_tenants_of("trial").map(|metrics| metrics.requests), Some(9));
        metrics.clear_tenant("a");
        assert_eq!(metrics.by_policy().len(), 1);
    }
}
