//! Requests: what serving them costs one router, by requests a second.

use super::child::OwnedChild;
use super::fleet_use::{start_fleet, watch};
use super::run::{Run, ScaleFault};
use super::sample::Sample;
use crate::prelude::*;
use std::process::Command;
use std::time::Duration;

const ENGINES: usize = 4;
const SETTLE: Duration = Duration::from_secs(2);
/// How long callers go on beyond the window.
const MARGIN: Duration = Duration::from_secs(4);

pub fn measure(run: &Run, sizes: &[u64], round: u64) -> Result<(), ScaleFault> {
    let fleet = start_fleet(run, FleetPlan { nodes: 1, engines: ENGINES, ..FleetPlan::small() })?;
    let keys_path = fleet.folder.join("keys.json");
    std::fs::write(&keys_path, json!(fleet.tenants).to_string()).map_err(|fault| fault.to_string())?;
    for size in sizes {
        let mut sample = Sample::new("requests", *size, round);
        let out_path = fleet.folder.join(format!("calls-{size}"));
        let mut command = Command::new(testbed::prelude::program_path("caller")?);
        command
            .arg(format!("--routers={}", fleet.router_address(0)))
            .arg(format!("--office={}", fleet.plan.office))
            .arg(format!("--keys={}", keys_path.display()))
            .arg(format!("--out={}", out_path.display()))
            .arg(format!("--seconds={}", (run.plan.window + MARGIN).as_secs()))
            .arg(format!("--rate={size}"))
            .arg(format!("--seed={round}"));
        let caller = OwnedChild::start(&mut command)?;
        run.pass(SETTLE)?;
        let before = read_counts(&fleet);
        let window_from = boot_millis();
        let seconds = watch(run, &fleet, &mut sample)?;
        let window_to = boot_millis();
        let after = read_counts(&fleet);
        caller.finish(run, "the callers")?;
        let requests = (after.whole - before.whole) as f64;
        sample.add("whole_per_s", requests / seconds);
        sample.add("second_shots", (after.retries - before.retries) as f64);
        sample.add("prompt_blocks_per_request", (after.prompt_blocks - before.prompt_blocks) as f64 / requests);
        let calls = fleet.record(&[out_path]).callers;
        let in_window = calls.iter().filter(|call| call.ended >= window_from && call.ended < window_to);
        let pieces: u64 = in_window.map(|call| call.pieces).sum();
        sample.add("pieces_per_s", pieces as f64 / seconds);
        let not_whole = calls.iter().filter(|call| call.outcome != "whole").count();
        sample.add("not_whole", not_whole as f64);
        run.record(sample);
    }
    Ok(())
}

struct RouterCounts {
    whole: u64,
    retries: u64,
    prompt_blocks: u64,
}

fn read_counts(fleet: &Fleet) -> RouterCounts {
    let gauge = |name: &str| fleet.gauge(&fleet.router_address(0), name).unwrap_or(0);
    RouterCounts {
        whole: gauge("haremount_router_whole_total"),
        retries: gauge("haremount_router_retries_total"),
        prompt_blocks: gauge("haremount_router_prompt_blocks_total"),
    }
}
