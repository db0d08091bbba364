//! Policies side by side, from what routers say of live traffic: by policy, by tenant, and against the
//! default, with intervals; what too few requests cannot tell is said to be so.

use crate::prelude::*;

/// Asks the routers for their figures and sums them.
pub fn gather(asker: &Asker, routers: &[String]) -> Result<PolicyMetrics, Report> {
    let mut book = PolicyMetrics::default();
    for router in routers {
        let asked =
            asker.runtime.block_on(fetch_response(router, OutgoingRequest::get("/metrics"), asker.limit, 16 << 20));
        let (_, _, body) = asked.map_err(|reason| miette!("{router}: {reason}"))?;
        let told = PolicyMetrics::from_prometheus(&String::from_utf8_lossy(&body))
            .map_err(|reason| miette!("{router}: {reason}"))?;
        book.merge(&told);
    }
    Ok(book)
}

/// Only what was asked for; an unknown name is refused.
pub fn narrow(book: &mut PolicyMetrics, policy: Option<&str>, tenant: Option<&str>) -> Result<(), Report> {
    let known = |wanted: &str, names: Vec<&String>, what: &str| match names.into_iter().any(|name| name == wanted) {
        true => Ok(()),
        false => Err(miette!("{what} {wanted}: no request under it was seen by these routers")),
    };
    if let Some(policy) = policy {
        known(policy, book.by_policy_and_tenant.keys().map(|(policy, _)| policy).collect(), "policy")?;
        book.by_policy_and_tenant.retain(|(known_policy, _), _| known_policy == policy || known_policy == "default");
    }
    if let Some(tenant) = tenant {
        known(tenant, book.by_policy_and_tenant.keys().map(|(_, tenant)| tenant).collect(), "tenant")?;
        book.by_policy_and_tenant.retain(|(_, known_tenant), _| known_tenant == tenant);
    }
    Ok(())
}

pub fn show_comparison(book: &PolicyMetrics, as_json: bool) {
    let by_policy = book.by_policy();
    if as_json {
        let policies: serde_json::Map<String, Value> = by_policy
            .iter()
            .map(|(policy, figures)| ((*policy).to_owned(), as_value(figures, beside(book, policy).as_ref())))
            .collect();
        let places: Vec<Value> = book
            .by_policy_and_tenant
            .iter()
            .map(|((policy, tenant), figures)| json!({"policy": policy, "tenant": tenant, "figures": as_value(figures, None)}))
            .collect();
        println!("{}", json!({"policies": policies, "tenants": places}));
        return;
    }
    if by_policy.is_empty() {
        println!("no request was seen yet");
    }
    for (policy, figures) in &by_policy {
        println!("policy {policy}: {}", in_words(figures));
        match beside(book, policy) {
            Some(default) => println!("  against the default, same tenants: {}", verdict(figures, &default)),
            None if *policy != "default" => {
                println!("  against the default, same tenants: no request of theirs went by it")
            }
            None => {}
        }
        for ((_, tenant), figures) in book.by_policy_and_tenant.iter().filter(|((known, _), _)| known == policy) {
            println!("  tenant {tenant}: {}", in_words(figures));
        }
    }
}

/// What a policy is held against: the default's requests of the same tenants, drawn by lot.
fn beside(book: &PolicyMetrics, policy: &str) -> Option<TrafficMetrics> {
    (policy != "default").then(|| book.default_for_tenants_of(policy)).flatten()
}

const SHARES: [(&str, f64); 3] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)];

fn in_words(figures: &TrafficMetrics) -> String {
    let first: Vec<String> = SHARES
        .iter()
        .map(|(name, share)| match figures.first.quantile(*share) {
            Some(Quantile { value, low, high }) => format!("{name} {value:.0} ms ({low:.0}-{high:.0})"),
            None => format!("{name} too few requests"),
        })
        .collect();
    let requests = figures.requests.max(1) as f64;
    let excess = figures.excess_blocks as f64 / figures.differs.max(1) as f64;
    format!(
        "requests {}; first piece {}; reused blocks {:.1} %; faults {:.2} %; other engine than default {:.1} % \
         (costing it {excess:.0} blocks more each); busiest engine {:.1} % of picks",
        figures.requests,
        first.join(", "),
        100.0 * figures.reused_blocks as f64 / figures.prompt_blocks.max(1) as f64,
        100.0 * figures.faults as f64 / requests,
        100.0 * figures.differs as f64 / requests,
        100.0 * figures.busiest_share(),
    )
}

/// What can be said of a policy's first piece against the default's.
fn verdict(figures: &TrafficMetrics, default: &TrafficMetrics) -> String {
    let told: Vec<String> = SHARES
        .iter()
        .map(|(name, share)| match (figures.first.quantile(*share), default.first.quantile(*share)) {
            (Some(own), Some(other)) if own.differs(&other) && own.value < other.value => format!("{name} sooner"),
            (Some(own), Some(other)) if own.differs(&other) => format!("{name} later"),
            (Some(_), Some(_)) => format!("{name} no difference shown"),
            _ => format!("{name} too few requests"),
        })
        .collect();
    format!("first piece {}", told.join(", "))
}

fn as_value(figures: &TrafficMetrics, default: Option<&TrafficMetrics>) -> Value {
    let mut value = json!({"busiest_share": figures.busiest_share(), "engines": figures.engines});
    for (name, sum) in figures.sums() {
        value[name] = json!(sum);
    }
    for (name, histogram) in figures.histograms() {
        for (share_name, share) in SHARES {
            value[name][share_name] = match histogram.quantile(share) {
                Some(Quantile { value, low, high }) => json!({"value": value, "low": low, "high": high}),
                None => json!("too few requests"),
            };
        }
    }
    if let Some(default) = default {
        value["against_default"] = json!(verdict(figures, default));
    }
    value
}
