//! Figures as Prometheus text, and the way back. The text carries a format number; another one is
//! refused with both named.

use crate::prelude::*;

pub const FORMAT: u64 = 1;
const FORMAT_LINE: &str = "haremount_policy_format";

impl PolicyMetrics {
    pub fn to_prometheus(&self) -> String {
        let mut text = format!("{FORMAT_LINE} {FORMAT}\n");
        for ((policy, tenant), figures) in &self.by_policy_and_tenant {
            let labels = format!("policy=\"{policy}\",tenant=\"{tenant}\"");
            for (name, sum) in figures.sums() {
                let _ = writeln!(text, "haremount_policy_{name}_total{{{labels}}} {sum}");
            }
            for (name, histogram) in figures.histograms() {
                let mut so_far = 0;
                for (bucket, count) in histogram.counts().iter().enumerate() {
                    so_far += count;
                    let is_last = bucket + 1 == BUCKETS;
                    if *count > 0 && !is_last {
                        let le = bucket_upper_bound(bucket);
                        let _ = writeln!(text, "haremount_policy_{name}_bucket{{{labels},le=\"{le:.4}\"}} {so_far}");
                    }
                }
                let _ = writeln!(text, "haremount_policy_{name}_bucket{{{labels},le=\"+Inf\"}} {so_far}");
            }
            for (engine, count) in &figures.engines {
                let _ = writeln!(text, "haremount_policy_picks_total{{{labels},engine=\"{engine}\"}} {count}");
            }
        }
        text
    }

    /// Reads what a router told among its other metrics.
    pub fn from_prometheus(text: &str) -> Result<PolicyMetrics, String> {
        let told_format = text.lines().find_map(|line| line.strip_prefix(FORMAT_LINE)).map(str::trim);
        if told_format != Some(FORMAT.to_string().as_str()) {
            let theirs = told_format.unwrap_or("none");
            return Err(format!("its figures have format {theirs}, this program reads format {FORMAT}"));
        }
        let mut book = PolicyMetrics::default();
        let mut so_far: BTreeMap<(String, String), u64> = BTreeMap::new();
        for line in text.lines().filter_map(|line| line.strip_prefix("haremount_policy_")) {
            let Some((name, labels, value)) = take_apart(line) else { continue };
            let label = |wanted: &str| labels.iter().find(|(key, _)| *key == wanted).map(|(_, value)| *value);
            let (Some(policy), Some(tenant)) = (label("policy"), label("tenant")) else { continue };
            let figures = book.entry(policy, tenant);
            if let Some(engine) = label("engine") {
                *figures.engines.entry(engine.to_owned()).or_default() += value;
            } else if let Some(name) = name.strip_suffix("_total") {
                let place = figures.sums().iter().position(|(known, _)| *known == name);
                if let Some(place) = place {
                    *figures.sums_mut()[place] += value;
                }
            } else if let (Some(name), Some(le)) = (name.strip_suffix("_bucket"), label("le")) {
                let place = figures.histograms().iter().position(|(known, _)| *known == name);
                let bucket = match le {
                    "+Inf" => Some(BUCKETS - 1),
                    text => text.parse::<f64>().ok().and_then(|le| {
                        (0..BUCKETS - 1).find(|bucket| (bucket_upper_bound(*bucket) - le).abs() < 0.001 + le * 0.0001)
                    }),
                };
                let (Some(place), Some(bucket)) = (place, bucket) else {
                    return Err(format!("a bucket is not of format {FORMAT}: {line}"));
                };
                let counted = so_far.entry((format!("{policy}/{tenant}"), name.to_owned())).or_default();
                let Some(count) = value.checked_sub(*counted) else {
                    return Err(format!("a bucket counts less than the one before it: {line}"));
                };
                *counted = value;
                figures.histograms_mut()[place].add_count(bucket, count);
            }
        }
        Ok(book)
    }
}

type Labels<'a> = Vec<(&'a str, &'a str)>;

fn take_apart(line: &str) -> Option<(&str, Labels<'_>, u64)> {
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
    fn what_was_told_is_read_again_and_sums_over_routers() {
        let mut book = PolicyMetrics::default();
        for place in 0..300u64 {
            let figures = book.entry(if place % 3 == 0 { "trial" } else { "default" }, &format!("t{}", place % 2));
            figures.requests += 1;
            figures.prompt_blocks += 10;
            figures.reused_blocks += place % 10;
            figures.first.add(place as f64 * 70.0);
            figures.pace.add(0.3);
            figures.occupancy.add(1e9);
            *figures.engines.entry(format!("e{}", place % 4)).or_default() += 1;
        }
        let other_metrics = "haremount_router_requests_total 5\n";
        let told = format!("{other_metrics}{}", book.to_prometheus());
        assert_eq!(PolicyMetrics::from_prometheus(&told).unwrap(), book);
        let mut doubled = book.clone();
        doubled.merge(&book);
        assert_eq!(doubled.by_policy()["default"].requests, 400);
        assert_eq!(doubled.by_policy()["trial"].first.count(), 200);
        doubled.clear_policy("trial");
        assert!(!doubled.by_policy().contains_key("trial"));
    }

    #[test]
    fn another_format_is_refused_by_name() {
        let other = PolicyMetrics::default().to_prometheus().replace("format 1", "format 7");
        let refused = PolicyMetrics::from_prometheus(&other).unwrap_err();
        assert!(refused.contains('7') && refused.contains('1'), "{refused}");
        assert!(PolicyMetrics::from_prometheus("haremount_router_requests_total 5\n").unwrap_err().contains("none"));
        let torn = format!(
            "{}haremount_policy_first_ms_bucket{{policy=\"p\",tenant=\"t\",le=\"777\"}} 4\n",
            PolicyMetrics::default().to_prometheus()
        );
        assert!(PolicyMetrics::from_prometheus(&torn).is_err());
    }
}
