//! Rules and the table they compile to. A rule matches a tenant, a request kind and a band of
//! occupancy, each optional; the last matching rule wins, so the table is the same however often it
//! is compiled. What no rule speaks of gets the policy's own weight.

use crate::prelude::*;

/// How much an engine has in work, in three bands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LoadBand {
    Calm,
    Steady,
    Busy,
}

impl LoadBand {
    pub const ALL: [LoadBand; 3] = [LoadBand::Calm, LoadBand::Steady, LoadBand::Busy];

    pub fn of(decode_blocks: BlockCount) -> LoadBand {
        match decode_blocks.0 {
            0..=63 => LoadBand::Calm,
            64..=255 => LoadBand::Steady,
            _ => LoadBand::Busy,
        }
    }

    pub fn parse(text: &str) -> Option<LoadBand> {
        match text {
            "calm" => Some(LoadBand::Calm),
            "steady" => Some(LoadBand::Steady),
            "busy" => Some(LoadBand::Busy),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    pub tenant: Option<TenantName>,
    pub kind: Option<String>,
    pub band: Option<LoadBand>,
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    pub weight: f64,
    pub rules: Vec<Rule>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { weight: 1.0, rules: Vec::new() }
    }
}

/// The fixed table: tenant x kind x band -> weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightTable {
    fallback_weight: f64,
    weights: BTreeMap<(TenantName, String), [f64; 3]>,
}

impl Policy {
    pub fn compile(&self, tenants: &[TenantName], kinds: &[String]) -> WeightTable {
        let mut weights = BTreeMap::new();
        for tenant in tenants {
            for kind in kinds {
                let row = LoadBand::ALL.map(|band| self.weigh(tenant, kind, band));
                weights.insert((tenant.clone(), kind.clone()), row);
            }
        }
        WeightTable { fallback_weight: self.weight, weights }
    }

    fn weigh(&self, tenant: &TenantName, kind: &str, band: LoadBand) -> f64 {
        self.rules
            .iter()
            .rev()
            .find(|rule| {
                rule.tenant.as_ref().is_none_or(|named| named == tenant)
                    && rule.kind.as_ref().is_none_or(|named| named == kind)
                    && rule.band.is_none_or(|named| named == band)
            })
            .map_or(self.weight, |rule| rule.weight)
    }
}

impl WeightTable {
    pub fn weight(&self, tenant: &TenantName, kind: &str, band: LoadBand) -> f64 {
        self.weights.get(&(tenant.clone(), kind.to_owned())).map_or(self.fallback_weight, |row| row[band as usize])
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn last_matching_rule_wins_and_the_rest_keep_the_policy_weight() {
        let busy_rule = Rule { band: Some(LoadBand::Busy), weight: 0.5, ..Rule::default() };
        let tenant_rule =
            Rule { tenant: Some("opera".into()), kind: Some("layout".into()), weight: 4.0, ..Rule::default() };
        let tested_policy = Policy { weight: 2.0, rules: vec![busy_rule, tenant_rule] };
        let tenants = ["opera".into(), "choir".into()];
        let table = tested_policy.compile(&tenants, &["layout".into(), "check".into()]);
        assert_eq!(table.weight(&"opera".into(), "layout", LoadBand::Busy), 4.0);
        assert_eq!(table.weight(&"opera".into(), "check", LoadBand::Busy), 0.5);
        assert_eq!(table.weight(&"choir".into(), "layout", LoadBand::Calm), 2.0);
        assert_eq!(table.weight(&"unknown".into(), "layout", LoadBand::Busy), 2.0);
    }
}
