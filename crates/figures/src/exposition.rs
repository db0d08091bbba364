//! Writes policy metrics as Prometheus text, and parses them back. The text carries a format number; text in another
//! format is rejected with an error that names both.

use crate::prelude::*;

/// The format number of the exposed text.
pub const FORMAT: u64 = 1;
const FORMAT_METRIC: &str = "haremount_policy_format";

impl PolicyMetrics {
    /// Writes the metrics in the Prometheus text format. Empty buckets are left out.
    pub fn to_prometheus(&self) -> String {
        let mut text = format!("{FORMAT_METRIC} {FORMAT}\n");
        for ((policy, tenant), metrics) in &self.by_policy_and_tenant {
            let labels = format!("policy=\"{policy}\",tenant=\"{tenant}\"");
            for (name, sum) in metrics.sums() {
                let _ = writeln!(text, "haremount_policy_{name}_total{{{labels}}} {sum}");
            }
            for (name, histogram) in metrics.histograms() {
                let mut cumulative = 0;
                for (bucket, count) in histogram.counts().iter().enumerate() {
                    cumulative += count;
                    let is_last = bucket + 1 == BUCKETS;
                    if *count > 0 && !is_last {
                        let le = bucket_upper_bound(bucket);
                        let _ =
                            writeln!(text, "haremount_policy_{name}_bucket{{{labels},le=\"{le:.4}\"}} {cumulative}");
                    }
                }
                let _ = writeln!(text, "haremount_policy_{name}_bucket{{{labels},le=\"+Inf\"}} {cumulative}");
            }
            for (engine, count) in &metrics.engines {
                let _ = writeln!(text, "haremount_policy_picks_total{{{labels},engine=\"{engine}\"}} {count}");
            }
        }
        text
    }

    /// Parses the policy metrics out of a router's metrics page; other metrics are ignored.
    pub fn from_prometheus(text: &str) -> Result<PolicyMetrics, String> {
        let found_format = text.lines().find_map(|line| line.strip_prefix(FORMAT_METRIC)).map(str::trim);
        if found_format != Some(FORMAT.to_string().as_str()) {
            let found = found_format.unwrap_or("none");
            return Err(format!("unsupported policy metrics format: {found} (expected {FORMAT})"));
        }
        let mut policy_metrics = PolicyMetrics::default();
        let mut cumulative: BTreeMap<(String, String), u64> = BTreeMap::new();
        for line in text.lines().filter_map(|line| line.strip_prefix("haremount_policy_")) {
            let Some((name, labels, value)) = parse_sample(line) else { continue };
            let label = |wanted: &str| labels.iter().find(|(key, _)| *key == wanted).map(|(_, value)| *value);
            let (Some(policy), Some(tenant)) = (label("policy"), label("tenant")) else { continue };
            let metrics = policy_metrics.entry(policy, tenant);
            if let Some(engine) = label("engine") {
                *metrics.engines.entry(engine.to_owned()).or_default() += value;
            } else if let Some(name) = name.strip_suffix("_total") {
                let index = metrics.sums().iter().position(|(known, _)| *known == name);
                if let Some(index) = index {
                    *metrics.sums_mut()[index] += value;
                }
            } else if let (Some(name), Some(le)) = (name.strip_suffix("_bucket"), label("le")) {
                let index = metrics.histograms().iter().position(|(known, _)| *known == name);
                let bucket = match le {
                    "+Inf" => Some(BUCKETS - 1),
                    text => text.parse::<f64>().ok().and_then(|le| {
                        (0..BUCKETS - 1).find(|bucket| (bucket_upper_bound(*bucket) - le).abs() < 0.001 + le * 0.0001)
                    }),
                };
                let (Some(index), Some(bucket)) = (index, bucket) else {
                    return Err(format!("not a histogram bucket of policy metrics format {FORMAT}: {line}"));
                };
                let counted = cumulative.entry((format!("{policy}/{tenant}"), name.to_owned())).or_default();
                let Some(count) = value.checked_sub(*counted) else {
                    return Err(format!("cumulative bucket count decreases: {line}"));
                };
                *counted = value;
                metrics.histograms_mut()[index].add_count(bucket, count);
            }
        }
        Ok(policy_metrics)
    }
}

/// Label names and values of a sample.
type Labels<'a> = Vec<(&'a str, &'a str)>;

/// Splits a sample line into its name, labels and value.
fn parse_sample(line: &str) -> Option<(&str, Labels<'_>, u64)> {
    let (name, rest) = line.split_once('{')?;
    let (labels, value) = rest.split_once("} ")?;
    let labels = labels.split(',').filter_map(|label| {
        let (key, value) = label.split_once('=')?;
        Some((key, value.trim_matches('"')))
    });
    Some((name, labels.collect(), value.trim().parse().ok()?))
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn exposed_metrics_parse_back_and_sum_over_routers() {
        let mut policy_metrics = PolicyMetrics::default();
        for index in 0..300u64 {
            let metrics =
                policy_metrics.entry(if index % 3 == 0 { "trial" } else { "default" }, &format!("t{}", index % 2));
            metrics.requests += 1;
            metrics.prompt_blocks += 10;
            metrics.reused_blocks += index % 10;
            metrics.first.add(index as f64 * 70.0);
            metrics.pace.add(0.3);
            metrics.occupancy.add(1e9);
            *metrics.engines.entry(format!("e{}", index % 4)).or_default() += 1;
        }
        let other_metrics = "haremount_router_requests_total 5\n";
        let text = format!("{other_metrics}{}", policy_metrics.to_prometheus());
        assert_eq!(PolicyMetrics::from_prometheus(&text).unwrap(), policy_metrics);
        let mut doubled = policy_metrics.clone();
        doubled.merge(&policy_metrics);
        assert_eq!(doubled.by_policy()["default"].requests, 400);
        assert_eq!(doubled.by_policy()["trial"].first.count(), 200);
        doubled.clear_policy("trial");
        assert!(!doubled.by_policy().contains_key("trial"));
    }

    #[test]
    fn another_format_is_rejected_and_named() {
        let other = PolicyMetrics::default().to_prometheus().replace("format 1", "format 7");
        let error = PolicyMetrics::from_prometheus(&other).unwrap_err();
        assert!(error.contains('7') && error.contains('1'), "{error}");
        assert!(PolicyMetrics::from_prometheus("haremount_router_requests_total 5\n").unwrap_err().contains("none"));
        let torn = format!(
            "{}haremount_policy_first_ms_bucket{{policy=\"p\",tenant=\"t\",le=\"777\"}} 4\n",
            PolicyMetrics::default().to_prometheus()
        );
        assert!(PolicyMetrics::from_prometheus(&torn).is_err());
    }
}
