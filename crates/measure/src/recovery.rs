//! Recovery times of a running fleet after lost and frozen processes, cut connections and disk faults.

use crate::prelude::*;

// Positions in the chain of four keepers.
const HEAD: usize = 0;
const MIDDLE: usize = 1;
const TAIL: usize = 3;

/// Time until every router served again, and until a change was acknowledged, in milliseconds.
struct Recovery {
    served: u64,
    acknowledged: u64,
}

#[derive(Default)]
struct Recoveries {
    served: Vec<u64>,
    acknowledged: Vec<u64>,
}

impl Recoveries {
    fn push(&mut self, recovery: Recovery) {
        self.served.push(recovery.served);
        self.acknowledged.push(recovery.acknowledged);
    }
}

fn print_recoveries(figures: BTreeMap<&str, Recoveries>) {
    for (what, mut recoveries) in figures {
        println!(
            "{what}: all routers serve, ms {}; a change acknowledged, ms {}",
            crate::quantiles_text(&mut recoveries.served),
            crate::quantiles_text(&mut recoveries.acknowledged)
        );
    }
}

/// Index of the keeper at a position in the chain.
fn member_at(fleet: &Fleet, position: usize) -> Result<usize, String> {
    let page = fleet.fleet_page()?;
    let id = page["view"]["chain"][position].as_str().unwrap_or("");
    let member = fleet.keepers.iter().position(|keeper| keeper.id == id);
    member.ok_or(format!("no known keeper at position {position} of the chain"))
}

/// Time from a loss, or from the restart after it, until every router serves and a change is acknowledged.
pub fn measure_recovery() -> Result<(), String> {
    let mut figures: BTreeMap<&str, Recoveries> = BTreeMap::new();
    for _ in 0..3 {
        let mut fleet = Fleet::start(FleetPlan { nodes: 3, engines: 4, ..FleetPlan::small() })?;
        for what in [
            "head lost",
            "middle lost",
            "tail lost",
            "engine lost",
            "router lost and back",
            "agent lost and back",
            "two keepers lost and back",
            "keeper frozen 3 s",
            "node frozen 3 s",
            "engine frozen 3 s",
            "store lost",
        ] {
            let lost = match what {
                "head lost" => Some(member_at(&fleet, HEAD)?),
                "middle lost" => Some(member_at(&fleet, MIDDLE)?),
                "tail lost" => Some(member_at(&fleet, TAIL)?),
                _ => None,
            };
            match (lost, what) {
                (Some(keeper), _) => fleet.keepers[keeper].process = None,
                (None, "store lost") => fleet.store = None,
                (None, "keeper frozen 3 s") => freeze_for(&[fleet.keepers[1].process.as_ref()]),
                (None, "node frozen 3 s") => {
                    freeze_for(&[fleet.nodes[0].agent.as_ref(), fleet.nodes[0].router.as_ref()]);
                }
                (None, "engine frozen 3 s") => freeze_for(&[fleet.engines[1].process.as_ref()]),
                (None, "engine lost") => fleet.engines[0].process = None,
                (None, "router lost and back") => {
                    fleet.nodes[0].router = None;
                    fleet.start_router(0)?;
                }
                (None, "agent lost and back") => {
                    fleet.nodes[0].agent = None;
                    fleet.start_agent(0)?;
                }
                _ => {
                    fleet.keepers[0].process = None;
                    fleet.keepers[1].process = None;
                    wait_until(Duration::from_secs(20), || {
                        fleet.metric(&fleet.router_address(0), "haremount_router_lease_left_ms") == Some(0)
                    });
                    fleet.start_keeper(0, false)?;
                    fleet.start_keeper(1, false)?;
                }
            }
            let recovery = time_recovery(&fleet).map_err(|reason| format!("{what}: {reason}"))?;
            figures.entry(what).or_default().push(recovery);
            if let Some(keeper) = lost {
                fleet.start_keeper(keeper, false)?;
            }
            if what == "engine lost" {
                fleet.start_engine(0, 1)?;
            }
            fleet.wait_for_chain(4)?;
        }
    }
    print_recoveries(figures);
    Ok(())
}

/// Measures the time from now until every router serves and a change is acknowledged.
fn time_recovery(fleet: &Fleet) -> Result<Recovery, String> {
    let began = boot_now();
    let elapsed = || boot_now().since(began).as_millis();
    let mut served = None;
    let mut acknowledged = None;
    wait_until(Duration::from_secs(60), || {
        let routers = fleet.nodes.len();
        if served.is_none()
            && (0..routers).all(|router| fleet.complete(router, 0, "back?").is_ok_and(|answer| answer.0 == 200))
        {
            served = Some(elapsed());
        }
        let change = json!({"routing": {"events_late_ms": 2000 + boot_millis() % 1000}});
        if served.is_some() && fleet.patch_document(&change).is_ok() {
            acknowledged = Some(elapsed());
        }
        acknowledged.is_some()
    });
    let served = served.ok_or("not every router served again within 60 s")?;
    let acknowledged = acknowledged.ok_or("no change was acknowledged within 60 s")?;
    Ok(Recovery { served, acknowledged })
}

/// Recovery times after connections are cut or stalled by relays, and after disk faults.
pub fn measure_cuts() -> Result<(), String> {
    let mut figures: BTreeMap<&str, Recoveries> = BTreeMap::new();
    for _ in 0..3 {
        let mut fleet = Fleet::start(FleetPlan { nodes: 3, engines: 3, relayed: true, ..FleetPlan::small() })?;
        let set_mode = |fleet: &Fleet, keeper: usize, mode: RelayMode| {
            fleet.keepers[keeper].relay.iter().for_each(|relay| relay.set_mode(mode));
        };
        for what in [
            "tail hears nothing",
            "core cut off 3 s and back",
            "core stalled 3 s and back",
            "a disk full",
            "a disk lost",
        ] {
            let tail = member_at(&fleet, TAIL)?;
            let all = 0..fleet.keepers.len();
            let outage_mode = if what.contains("stalled") { RelayMode::Stalled } else { RelayMode::Cut };
            match what {
                "tail hears nothing" => set_mode(&fleet, tail, RelayMode::Stalled),
                "a disk full" => {
                    fleet.keepers[tail].process.iter().for_each(|process| process.limit_file_size(Some(4096)));
                }
                "a disk lost" => {
                    fleet.keepers[tail].process = None;
                    std::fs::remove_dir_all(&fleet.keepers[tail].data).map_err(|fault| fault.to_string())?;
                    fleet.start_keeper(tail, false)?;
                }
                _ => {
                    all.clone().for_each(|keeper| set_mode(&fleet, keeper, outage_mode));
                    wait_until(Duration::from_secs(3), || false);
                    all.clone().for_each(|keeper| set_mode(&fleet, keeper, RelayMode::Open));
                }
            }
            let recovery = time_recovery(&fleet).map_err(|reason| format!("{what}: {reason}"))?;
            figures.entry(what).or_default().push(recovery);
            all.for_each(|keeper| set_mode(&fleet, keeper, RelayMode::Open));
            if what == "a disk full" {
                fleet.keepers[tail].process.iter().for_each(|process| process.limit_file_size(None));
            }
            fleet.wait_for_chain(4)?;
        }
    }
    print_recoveries(figures);
    Ok(())
}

/// Suspends processes for three seconds; recovery is measured from their resumption.
fn freeze_for(processes: &[Option<&Process>]) {
    processes.iter().flatten().for_each(|process| process.freeze());
    wait_until(Duration::from_secs(3), || false);
    processes.iter().flatten().for_each(|process| process.resume());
}

/// The longest time without a served request on any router after the tail is lost.
pub fn measure_gap() -> Result<(), String> {
    let mut fleet = Fleet::start(FleetPlan { nodes: 3, engines: 3, ..FleetPlan::small() })?;
    let mut gaps = Vec::new();
    for _ in 0..5 {
        let tail = member_at(&fleet, TAIL)?;
        fleet.keepers[tail].process = None;
        let began = boot_now();
        let mut last_served = [began; 3];
        let mut longest = 0;
        wait_until(Duration::from_secs(6), || {
            for (router, last) in last_served.iter_mut().enumerate() {
                if fleet.complete(router, 0, "served?").is_ok_and(|answer| answer.0 == 200) {
                    let now = boot_now();
                    longest = u64::max(longest, now.since(*last).as_millis());
                    *last = now;
                }
            }
            boot_now().since(began) >= Span::seconds(5)
        });
        gaps.push(longest);
        fleet.start_keeper(tail, false)?;
        fleet.wait_for_chain(4)?;
    }
    println!("tail lost: longest stretch without a served request, ms: {}", crate::quantiles_text(&mut gaps));
    Ok(())
}
