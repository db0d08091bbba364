//! Figures by policy and tenant.

use crate::prelude::*;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficMetrics {
    pub requests: u64,
    pub faults: u64,
    pub prompt_blocks: u64,
    pub reused_blocks: u64,
    /// Picks in which the default policy would have chosen another engine.
    pub differs: u64,
    /// By how many blocks those picks cost more than the default's, by the default's own weights.
    pub excess_blocks: u64,
    /// Milliseconds until the first piece.
    pub first: Histogram,
    /// Milliseconds between the pieces of a stream, one mean for each stream.
    pub pace: Histogram,
    /// Blocks that the chosen engine was working on.
    pub occupancy: Histogram,
    pub engines: BTreeMap<String, u64>,
}

impl TrafficMetrics {
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

    pub fn histograms(&self) -> [(&'static str, &Histogram); 3] {
        [("first_ms", &self.first), ("pace_ms", &self.pace), ("occupancy_blocks", &self.occupancy)]
    }

    pub(crate) fn histograms_mut(&mut self) -> [&mut Histogram; 3] {
        [&mut self.first, &mut self.pace, &mut self.occupancy]
    }

    /// The share of all picks that went to the engine picked most.
    pub fn busiest_share(&self) -> f64 {
        let picks: u64 = self.engines.values().sum();
        let most = self.engines.values().max().copied().unwrap_or(0);
        most as f64 / picks.max(1) as f64
    }
}

/// Figures of every policy and tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyMetrics {
    pub by_policy_and_tenant: BTreeMap<(String, String), TrafficMetrics>,
}

impl PolicyMetrics {
    pub fn entry(&mut self, policy: &str, tenant: &str) -> &mut TrafficMetrics {
        self.by_policy_and_tenant.entry((policy.to_owned(), tenant.to_owned())).or_default()
    }

    /// A policy was changed: what was seen of it before says nothing of it now.
    pub fn clear_policy(&mut self, policy: &str) {
        self.by_policy_and_tenant.retain(|(known, _), _| known != policy);
    }

    /// A tenant's trial was changed: what was seen of it before is of another time.
    pub fn clear_tenant(&mut self, tenant: &str) {
        self.by_policy_and_tenant.retain(|(_, known), _| known != tenant);
    }

    /// The default's figures of those tenants alone that also ran under a policy.
    pub fn default_for_tenants_of(&self, policy: &str) -> Option<TrafficMetrics> {
        let mut beside: Option<TrafficMetrics> = None;
        for (_, tenant) in self.by_policy_and_tenant.keys().filter(|(known, _)| known == policy) {
            if let Some(figures) = self.by_policy_and_tenant.get(&("default".to_owned(), tenant.clone())) {
                beside.get_or_insert_default().merge(figures);
            }
        }
        beside
    }

    pub fn merge(&mut self, other: &PolicyMetrics) {
        for ((policy, tenant), figures) in &other.by_policy_and_tenant {
            self.entry(policy, tenant).merge(figures);
        }
    }

    /// The sums over all tenants of each policy.
    pub fn by_policy(&self) -> BTreeMap<&str, TrafficMetrics> {
        let mut sums: BTreeMap<&str, TrafficMetrics> = BTreeMap::new();
        for ((policy, _), figures) in &self.by_policy_and_tenant {
            sums.entry(policy).or_default().merge(figures);
        }
        sums
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn a_trial_is_held_against_its_own_tenants_alone() {
        let mut book = PolicyMetrics::default();
        book.entry("trial", "a").requests = 10;
        assert_eq!(book.default_for_tenants_of("trial"), None, "nothing of theirs went by the default");
        book.entry("default", "a").requests = 9;
        book.entry("default", "b").requests = 500;
        assert_eq!(book.default_for_tenants_of("trial").map(|figures| figures.requests), Some(9));
        book.clear_tenant("a");
        assert_eq!(book.by_policy().len(), 1);
    }
}
