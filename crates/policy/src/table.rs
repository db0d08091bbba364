//! Rules and the table they compile to. A rule matches a tenant, a request kind and a load band, each of them
//! optional. The last matching rule wins, so compiling is deterministic. Where no rule matches, the policy's own
//! weight applies.

use crate::prelude::*;

/// An engine's load, in three bands of blocks in work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LoadBand {
    Calm,
    Steady,
    Busy,
}

impl LoadBand {
    /// All bands, in the order of the columns of [`WeightTable`].
    pub const ALL: [LoadBand; 3] = [LoadBand::Calm, LoadBand::Steady, LoadBand::Busy];

    /// The band for a number of blocks in work.
    pub fn of(decode_blocks: BlockCount) -> LoadBand {
        match decode_blocks.0 {
            0..=63 => LoadBand::Calm,
            64..=255 => LoadBand::Steady,
            _ => LoadBand::Busy,
        }
    }

    /// Parses the name used in settings.
    pub fn parse(text: &str) -> Option<LoadBand> {
        match text {
            "calm" => Some(LoadBand::Calm),
            "steady" => Some(LoadBand::Steady),
            "busy" => Some(LoadBand::Busy),
            _ => None,
        }
    }
}

/// Sets the weight for the requests it matches; a condition that is `None` matches everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    pub tenant: Option<TenantName>,
    pub kind: Option<String>,
    pub band: Option<LoadBand>,
    pub weight: f64,
}

/// A base weight and the rules that override it.
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

/// A compiled policy: tenant x kind x load band -> weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightTable {
    base_weight: f64,
    weights: BTreeMap<(TenantName, String), [f64; 3]>,
}

impl Policy {
    /// Evaluates the rules for every combination of the given tenants and kinds.
    pub fn compile(&self, tenants: &[TenantName], kinds: &[String]) -> WeightTable {
        let mut weights = BTreeMap::new();
        for tenant in tenants {
            for kind in kinds {
                let row = LoadBand::ALL.map(|band| self.weight_for(tenant, kind, band));
                weights.insert((tenant.clone(), kind.clone()), row);
            }
        }
        WeightTable { base_weight: self.weight, weights }
    }

    fn weight_for(&self, tenant: &TenantName, kind: &str, band: LoadBand) -> f64 {
        self.rules
            .iter()
            .rev()
            .find(|rule| {
                rule.tenant.as_ref().is_none_or(|wanted| wanted == tenant)
                    && rule.kind.as_ref().is_none_or(|wanted| wanted == kind)
                    && rule.band.is_none_or(|wanted| wanted == band)
            })
            .map_or(self.weight, |rule| rule.weight)
    }
}

impl WeightTable {
    /// Looks up a weight; tenants and kinds that were not compiled get the policy's base weight.
    pub fn weight(&self, tenant: &TenantName, kind: &str, band: LoadBand) -> f64 {
        self.weights.get(&(tenant.clone(), kind.to_owned())).map_or(self.base_weight, |row| row[band as usize])
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_last_matching_rule_wins_and_the_base_weight_is_the_fallback() {
        let busy_rule = Rule { band: Some(LoadBand::Busy), weight: 0.5, ..Rule::default() };
        let tenant_rule =
            Rule { tenant: Some("opera".into()), kind: Some("layout".into()), weight: 4.0, ..Rule::default() };
        let policy = Policy { weight: 2.0, rules: vec![busy_rule, tenant_rule] };
        let tenants = ["opera".into(), "choir".into()];
        let table = policy.compile(&tenants, &["layout".into(), "check".into()]);
        assert_eq!(table.weight(&"opera".into(), "layout", LoadBand::Busy), 4.0);
        assert_eq!(table.weight(&"opera".into(), "check", LoadBand::Busy), 0.5);
        assert_eq!(table.weight(&"choir".into(), "layout", LoadBand::Calm), 2.0);
        assert_eq!(table.weight(&"unknown".into(), "layout", LoadBand::Busy), 2.0);
    }
}
