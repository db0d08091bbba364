//! Policy trials on live traffic. A policy equal to the default must show no difference, one that ignores cached
//! prompts must show a known one, and a hostile one shows its effect on other tenants.

use crate::prelude::*;

const SECONDS: u64 = 25;

/// For each office, puts half of a large tenant's requests on trial of one policy after the other.
pub fn measure_trials() -> Result<(), String> {
    for office in ["engraving", "sms"] {
        let fleet = Fleet::start(FleetPlan::office(office))?;
        let tenant = fleet.tenants[0].0.clone();
        for (round, policy) in ["same", "blind", "hostile", "same", "hostile"].into_iter().enumerate() {
            fleet.patch_document(&json!({
                "policies": {"same": {"weight": 1}, "blind": {"weight": 0}, "hostile": {"weight": 1_000_000}},
                "trials": {tenant.clone(): policy},
                "routing": {"trial_percent": 49 + round},
            }))?;
            let (calling, calls) = fleet.start_caller(&format!("day{round}"), SECONDS, 0, round as u64 + 1)?;
            calling.join().map_err(|_| "the caller's thread panicked")??;
            let metrics = collect_metrics(&fleet)?;
            let trial = metrics.by_policy().remove(policy).unwrap_or_default();
            let default = metrics.default_for_tenants_of(policy).unwrap_or_default();
            let record = fleet.record(&[calls]);
            let others = record.callers.iter().filter(|caller| caller.tenant != tenant);
            let mut firsts: Vec<u64> = others.filter_map(|caller| caller.first_ms).collect();
            println!("{office} {policy}: trial {}", traffic_text(&trial));
            println!("{office} {policy}: default of the same tenant {}", traffic_text(&default));
            println!("{office} {policy}: other tenants' first piece ms {}", crate::quantiles_text(&mut firsts));
        }
    }
    Ok(())
}

fn collect_metrics(fleet: &Fleet) -> Result<PolicyMetrics, String> {
    let mut metrics = PolicyMetrics::default();
    for node in 0..fleet.nodes.len() {
        metrics.merge(&PolicyMetrics::from_prometheus(&fleet.metrics(&fleet.router_address(node))?)?);
    }
    Ok(metrics)
}

fn traffic_text(figures: &TrafficMetrics) -> String {
    let quantiles: Vec<String> = [("p50", 0.5), ("p90", 0.9)]
        .iter()
        .map(|(name, share)| match figures.first.quantile(*share) {
            Some(found) => format!("{name} {:.0} ({:.0}-{:.0})", found.value, found.low, found.high),
            None => format!("{name} too few"),
        })
        .collect();
    let reused = 100.0 * figures.reused_blocks as f64 / figures.prompt_blocks.max(1) as f64;
    format!(
        "{} requests, first piece ms {}, reused {reused:.1} %, busiest engine {:.1} % of picks",
        figures.requests,
        quantiles.join(" "),
        100.0 * figures.busiest_share()
    )
}
