//! Compares policies by the routers' metrics of live traffic: by policy, by tenant and against the default, with
//! confidence intervals. Quantiles with too few requests are reported as such.

use crate::prelude::*;

/// Fetches the metrics of all routers and sums them.
pub fn fetch_metrics(client: &Client, routers: &[String]) -> Result<PolicyMetrics, Report> {
    let mut metrics = PolicyMetrics::default();
    for router in routers {
        let response =
            client.runtime.block_on(fetch_response(router, OutgoingRequest::get("/metrics"), client.limit, 16 << 20));
        let (_, _, body) = response.map_err(|reason| miette!("{router}: {reason}"))?;
        let router_metrics = PolicyMetrics::from_prometheus(&String::from_utf8_lossy(&body))
            .map_err(|reason| miette!("{router}: {reason}"))?;
        metrics.merge(&router_metrics);
    }
    Ok(metrics)
}

/// Keeps only the given policy (and the default) and the given tenant; an unknown name is an error.
pub fn filter_metrics(metrics: &mut PolicyMetrics, policy: Option<&str>, tenant: Option<&str>) -> Result<(), Report> {
    let check_known =
        |wanted: &str, names: Vec<&String>, what: &str| match names.into_iter().any(|name| name == wanted) {
            true => Ok(()),
            false => Err(miette!("{what} {wanted}: these routers have seen no request for it")),
        };
    if let Some(policy) = policy {
        check_known(policy, metrics.by_policy_and_tenant.keys().map(|(policy, _)| policy).collect(), "policy")?;
        metrics
            .by_policy_and_tenant
            .retain(|(known_policy, _), _| known_policy == policy || known_policy == "default");
    }
    if let Some(tenant) = tenant {
        check_known(tenant, metrics.by_policy_and_tenant.keys().map(|(_, tenant)| tenant).collect(), "tenant")?;
        metrics.by_policy_and_tenant.retain(|(_, known_tenant), _| known_tenant == tenant);
    }
    Ok(())
}

pub fn print_comparison(metrics: &PolicyMetrics, as_json: bool) {
    let by_policy = metrics.by_policy();
    if as_json {
        let policies: serde_json::Map<String, Value> = by_policy
            .iter()
            .map(|(policy, figures)| {
                ((*policy).to_owned(), to_json(figures, default_baseline(metrics, policy).as_ref()))
            })
            .collect();
        let tenants: Vec<Value> = metrics
            .by_policy_and_tenant
            .iter()
            .map(|((policy, tenant), figures)| json!({"policy": policy, "tenant": tenant, "figures": to_json(figures, None)}))
            .collect();
        println!("{}", json!({"policies": policies, "tenants": tenants}));
        return;
    }
    if by_policy.is_empty() {
        println!("no request was seen yet");
    }
    for (policy, figures) in &by_policy {
        println!("policy {policy}: {}", summary(figures));
        match default_baseline(metrics, policy) {
            Some(default) => {
                println!("  against the default, same tenants: {}", compare_first_piece(figures, &default))
            }
            None if *policy != "default" => {
                println!("  against the default, same tenants: none of their requests used it")
            }
            None => {}
        }
        for ((_, tenant), figures) in metrics.by_policy_and_tenant.iter().filter(|((known, _), _)| known == policy) {
            println!("  tenant {tenant}: {}", summary(figures));
        }
    }
}

/// The baseline of a policy: randomly chosen requests of the same tenants that used the default.
fn default_baseline(metrics: &PolicyMetrics, policy: &str) -> Option<TrafficMetrics> {
    (policy != "default").then(|| metrics.default_for_tenants_of(policy)).flatten()
}

const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)];

fn summary(figures: &TrafficMetrics) -> String {
    let first: Vec<String> = QUANTILES
        .iter()
        .map(|(name, quantile)| match figures.first.quantile(*quantile) {
            Some(Quantile { value, low, high }) => format!("{name} {value:.0} ms ({low:.0}-{high:.0})"),
            None => format!("{name} too few requests"),
        })
        .collect();
    let requests = figures.requests.max(1) as f64;
    let excess_blocks = figures.excess_blocks as f64 / figures.differs.max(1) as f64;
    format!(
        "requests {}; first piece {}; reused blocks {:.1} %; faults {:.2} %; other engine than default {:.1} % \
         (costing it {excess_blocks:.0} blocks more each); busiest engine {:.1} % of picks",
        figures.requests,
        first.join(", "),
        100.0 * figures.reused_blocks as f64 / figures.prompt_blocks.max(1) as f64,
        100.0 * figures.faults as f64 / requests,
        100.0 * figures.differs as f64 / requests,
        100.0 * figures.busiest_share(),
    )
}

/// Compares the quantiles of a policy's time to first piece with the default's.
fn compare_first_piece(figures: &TrafficMetrics, default: &TrafficMetrics) -> String {
    let results: Vec<String> = QUANTILES
        .iter()
        .map(|(name, quantile)| match (figures.first.quantile(*quantile), default.first.quantile(*quantile)) {
            (Some(own), Some(other)) if own.differs(&other) && own.value < other.value => format!("{name} sooner"),
            (Some(own), Some(other)) if own.differs(&other) => format!("{name} later"),
            (Some(_), Some(_)) => format!("{name} no difference shown"),
            _ => format!("{name} too few requests"),
        })
        .collect();
    format!("first piece {}", results.join(", "))
}

fn to_json(figures: &TrafficMetrics, default: Option<&TrafficMetrics>) -> Value {
    let mut value = json!({"busiest_share": figures.busiest_share(), "engines": figures.engines});
    for (name, sum) in figures.sums() {
        value[name] = json!(sum);
    }
    for (name, histogram) in figures.histograms() {
        for (quantile_name, quantile) in QUANTILES {
            value[name][quantile_name] = match histogram.quantile(quantile) {
                Some(Quantile { value, low, high }) => json!({"value": value, "low": low, "high": high}),
                None => json!("too few requests"),
            };
        }
    }
    if let Some(default) = default {
        value["against_default"] = json!(compare_first_piece(figures, default));
    }
    value
}
