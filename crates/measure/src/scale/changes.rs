//! Changes of the configuration: how many a second the core takes from operators that write at once, and
//! what one costs each keeper.

use super::fleet_use::{FleetUse, KeeperPlaces, median, start_fleet};
use super::hollow_nodes::HollowNodes;
use super::run::{Run, ScaleFault};
use super::sample::Sample;
use crate::prelude::*;
use std::time::Duration;

const NODES: usize = 20;
const CAP: Duration = Duration::from_secs(30);

pub fn measure(run: &Run, sizes: &[u64], round: u64) -> Result<(), ScaleFault> {
    let fleet = start_fleet(run, FleetPlan { nodes: 1, engines: 0, ..FleetPlan::small() })?;
    let hollow = HollowNodes::start()?;
    hollow.add(&fleet, NODES);
    run.wait("all nodes leased", CAP, || hollow.are_leased(NODES))?;
    for size in sizes {
        let mut sample = Sample::new("changes", *size, round);
        let places = KeeperPlaces::read(&fleet)?;
        let tally_before = hollow.tally();
        let use_before = FleetUse::read(&fleet);
        let Written { mut took, unknown } = write_for_a_while(run, &fleet, *size)?;
        let use_after = FleetUse::read(&fleet);
        let seconds = use_after.seconds_since(&use_before);
        let changes = took.len() as f64;
        sample.add("changes", changes);
        sample.add("unknown", unknown as f64);
        let views = KeeperPlaces::read(&fleet)?.view - places.view;
        sample.add("view_changes", views as f64);
        sample.add("changes_per_s", changes / seconds);
        sample.add("change_ms", median(&mut took));
        sample.add("change_p90_ms", took.get(took.len() * 9 / 10).copied().unwrap_or(0.0));
        sample.add("change_most_ms", took.last().copied().unwrap_or(0.0));
        use_after.add_processor_time(&use_before, &places, (changes.max(1.0), "per_change"), &mut sample);
        let pushes = hollow.tally().received_since(&tally_before, "push");
        sample.add("push_bytes_each", pushes.bytes as f64 / pushes.messages.max(1) as f64);
        run.record(sample);
    }
    Ok(())
}

/// Small changes one after the other, until all nodes have applied them: how long each took, in milliseconds.
pub fn change_in_turn(
    run: &Run,
    fleet: &Fleet,
    hollow: &HollowNodes,
    count: u64,
    cap: Duration,
) -> Result<Vec<f64>, ScaleFault> {
    let mut took = Vec::new();
    let mut last_edition = 0;
    for number in 0..count {
        run.check()?;
        let began = boot_now();
        last_edition = fleet.patch_document(&json!({"routing": {"events_late_ms": 2000 + number}}))?;
        took.push(boot_now().since(began).0 as f64 / 1e6);
    }
    run.wait("changes applied", cap, || hollow.standing().applied_by_all >= last_edition)?;
    Ok(took)
}

/// How long each change took, and how many were answered as not known to be in force.
#[derive(Debug, Default)]
struct Written {
    took: Vec<f64>,
    unknown: u64,
}

/// So many operators each change a key of their own, one change after the other.
fn write_for_a_while(run: &Run, fleet: &Fleet, writers: u64) -> Result<Written, ScaleFault> {
    let until = boot_now() + Span::of(run.plan.window);
    let all: Vec<Result<Written, String>> = std::thread::scope(|scope| {
        let writing: Vec<_> = (0..writers).map(|writer| scope.spawn(move || write(fleet, writer, until))).collect();
        writing.into_iter().map(|writer| writer.join().unwrap_or(Err("a writer failed".into()))).collect()
    });
    run.check()?;
    let mut whole = Written::default();
    for written in all {
        let written = written?;
        whole.took.extend(written.took);
        whole.unknown += written.unknown;
    }
    Ok(whole)
}

fn write(fleet: &Fleet, writer: u64, until: Instant) -> Result<Written, String> {
    let mut written = Written::default();
    let path = format!("/v1/tenants/{}/keys/writer-{writer}", fleet.tenants[0].0);
    while boot_now() < until {
        let key = json!({"key": format!("key-{writer}-{}", NodeId::random())});
        let began = boot_now();
        let (status, answer) = fleet.operate(Method::PUT, &path, Some(&key), None)?;
        match status {
            200 => written.took.push(boot_now().since(began).0 as f64 / 1e6),
            504 => written.unknown += 1,
            _ => return Err(format!("a change was answered {status}: {answer}")),
        }
    }
    Ok(written)
}
