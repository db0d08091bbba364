//! Faults of a whole fleet, tested with real processes: several lost machines at once, a full disk, a pool replaced
//! engine by engine, and large or rapidly changing configurations.

use testbed::prelude::*;

const EDITION: &str = "haremount_router_edition";
const LEASE_LEFT: &str = "haremount_router_lease_left_ms";
/// How long a router's lease lasts after it sent its last renewal.
const LEASE: Duration = Duration::from_millis(2000);

#[test]
fn the_fleet_recovers_when_half_the_core_and_a_router_are_lost() {
    let mut fleet = Fleet::start(FleetPlan::small()).unwrap();
    let (calling, calls) = fleet.start_caller("day", 34, 20, 11).unwrap();
    let began = boot_millis();
    let sample_until = |fleet: &Fleet, millis: u64| {
        wait_until(Duration::from_secs(90), || {
            fleet.sample_routers();
            boot_millis() >= began + millis
        })
    };
    sample_until(&fleet, 1000);
    fleet.keepers[0].process = None;
    fleet.keepers[2].process = None;
    fleet.nodes[0].router = None;
    sample_until(&fleet, 5000);
    let leases = fleet.metric(&fleet.router_address(1), LEASE_LEFT);
    assert_eq!(leases, Some(0), "without a majority no router holds a lease");
    fleet.start_keeper(0, false).unwrap();
    fleet.start_keeper(2, false).unwrap();
    fleet.start_router(0).unwrap();
    fleet.record_event(EventLine::LastFaultOver { at: boot_millis() });
    sample_until(&fleet, 33_000);
    fleet.record_event(EventLine::RunEnds { at: boot_millis() });
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
}

/// Asserts that an acknowledged change is in force: every router with a lease has applied it. A router whose lease
/// expired, as can happen on a busy machine, must apply it before it starts anything.
fn assert_in_force(fleet: &Fleet, edition: u64) {
    for router in 0..2 {
        let address = fleet.router_address(router);
        // The lease is read first: if it is renewed in between, the router has the edition by then.
        let lease_left = fleet.metric(&address, LEASE_LEFT).unwrap();
        let seen = fleet.metric(&address, EDITION).unwrap();
        if seen >= edition {
            continue;
        }
        assert_eq!(lease_left, 0, "router {router} holds a lease at edition {seen}, but {edition} was acknowledged");
        fleet.wait_until_served(edition).unwrap();
    }
}

/// A fleet with a keeper that has reported its disk as full; also returns the edition.
fn fleet_with_a_full_disk() -> (Fleet, u64) {
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    fleet.keepers[1].process.as_ref().unwrap().limit_file_size(Some(4096));
    let edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "fuller"]})).unwrap();
    let refuses = || fleet.metric(&fleet.keepers[1].operator_address, "haremount_keeper_disk_refuses") == Some(1);
    assert!(wait_until(Duration::from_secs(20), refuses), "the keeper reports that its disk refuses writes");
    (fleet, edition)
}

#[test]
fn a_keeper_whose_disk_is_full_waits_and_the_fleet_keeps_serving() {
    let (mut fleet, _) = fleet_with_a_full_disk();
    assert_eq!(fleet.complete(0, 0, "served meanwhile").unwrap().0, 200);
    let edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "fuller", "still"]})).unwrap();
    let id = fleet.keepers[1].id.clone();
    let left_out = wait_until(Duration::from_secs(20), || {
        fleet.fleet_page().is_ok_and(|page| !page["view"]["chain"].to_string().contains(&id))
    });
    assert!(left_out, "{:?}", fleet.fleet_page());
    let process = fleet.keepers[1].process.as_mut().unwrap();
    assert!(process.is_running(), "a full disk ends no keeper");
    process.limit_file_size(None);
    fleet.wait_for_chain(4).unwrap();
    assert!(fleet.keepers[1].process.as_mut().unwrap().is_running());
    assert_eq!(fleet.desired_edition().unwrap(), edition);
}

#[test]
fn a_folder_found_damaged_once_the_disk_has_room_is_reported_and_not_served_from() {
    let (mut fleet, edition) = fleet_with_a_full_disk();
    std::fs::write(fleet.keepers[1].data.join("ledger.redb"), "this is no ledger").unwrap();
    let process = fleet.keepers[1].process.as_mut().unwrap();
    process.limit_file_size(None);
    assert_eq!(process.wait_for_exit(Duration::from_secs(20)), Some(1));
    let log = std::fs::read_to_string(fleet.folder.join("keeper1.log")).unwrap();
    assert!(log.contains("data: ") && log.contains("ledger"), "{log}");
    assert_eq!(fleet.desired_edition().unwrap(), edition);
}

#[test]
fn a_pool_is_replaced_engine_by_engine_under_traffic() {
    let mut fleet = Fleet::start(FleetPlan { engines: 4, ..FleetPlan::small() }).unwrap();
    let (calling, calls) = fleet.start_caller("day", 16, 30, 13).unwrap();
    for old in 0..4 {
        let new = fleet.add_engine().unwrap();
        fleet.list_engine(old, "leaving").unwrap();
        let new_name = fleet.engines[new].name.clone();
        let taken = wait_until(Duration::from_secs(20), || {
            fleet.sample_routers();
            let running =
                fleet.metric(&fleet.engines[old].address, "vllm:num_requests_running{model_name=\"model\"}");
            let page = fleet.fleet_page().unwrap_or_default();
            let confirmed = page["engines"].as_array().is_some_and(|engines| {
                engines.iter().any(|engine| engine["name"] == new_name && engine["weights"] == 1)
            });
            running == Some(0) && confirmed
        });
        assert!(taken, "engine {old} is not replaced: {:?}", fleet.fleet_page());
        fleet.list_engine(old, "gone").unwrap();
        fleet.engines[old].process = None;
    }
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
    assert!(report.outcomes["whole"] > 300, "{}", report.text());
    let new_starts: u64 = (4..8).filter_map(|number| report.engine_starts.get(&format!("engine{number}"))).sum();
    assert!(new_starts > 50, "the new engines serve: {:?}", report.engine_starts);
}

#[test]
fn large_and_quick_configurations_are_in_force_when_acknowledged() {
    let fleet = Fleet::start(FleetPlan { engines: 1, ..FleetPlan::small() }).unwrap();
    let many: serde_json::Map<String, Value> = (0..4000)
        .map(|number| (format!("clinic{number}"), json!({"share": 4, "keys": {"main": format!("{number:064x}")}})))
        .collect();
    let edition = fleet.patch_document(&json!({"tenants": many})).unwrap();
    assert_in_force(&fleet, edition);
    let too_many: serde_json::Map<String, Value> = (0..9000)
        .map(|number| (format!("more{number}"), json!({"keys": {"main": format!("{:064x}", 10_000 + number)}})))
        .collect();
    let refused = fleet.patch_document(&json!({"tenants": too_many})).unwrap_err();
    assert!(refused.contains("too large"), "{refused}");
    let mut last_edition = edition;
    for round in 0..25 {
        let next_edition =
            fleet.patch_document(&json!({"kinds": ["layout", "part", "check", format!("quick{round}")]})).unwrap();
        assert!(next_edition > last_edition);
        last_edition = next_edition;
        assert_in_force(&fleet, next_edition);
    }
    assert_eq!(fleet.complete(0, 0, "still served").unwrap().0, 200);
    for router in 0..2 {
        let log = std::fs::read_to_string(fleet.folder.join(format!("router{router}.log"))).unwrap();
        assert!(!log.contains("event=push_gap"), "a pushed change was lost: {log}");
    }
}

#[test]
fn the_fleet_recovers_when_the_tail_or_the_core_is_cut_off() {
    let fleet = Fleet::start(FleetPlan { engines: 1, relayed: true, ..FleetPlan::small() }).unwrap();
    let page = fleet.fleet_page().unwrap();
    let tail_id = page["view"]["chain"][3].as_str().unwrap().to_owned();
    let tail = fleet.keepers.iter().position(|keeper| keeper.id == tail_id).unwrap();
    fleet.keepers[tail].relay.as_ref().unwrap().set_mode(RelayMode::Stalled);
    let removed = wait_until(Duration::from_secs(30), || {
        fleet.fleet_page().is_ok_and(|page| !page["view"]["chain"].to_string().contains(&tail_id))
    });
    assert!(removed, "a tail that receives nothing is removed from the chain: {:?}", fleet.fleet_page());
    fleet.keepers[tail].relay.as_ref().unwrap().set_mode(RelayMode::Open);
    fleet.wait_for_chain(4).unwrap();
    let edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "cut"]})).unwrap();
    fleet.wait_until_served(edition).unwrap();
    for keeper in &fleet.keepers {
        keeper.relay.as_ref().unwrap().set_mode(RelayMode::Cut);
    }
    // Until then a renewal that was granted before the cut can still restore a lease.
    let cut = boot_millis();
    wait_until(LEASE + Duration::from_secs(10), || boot_millis() >= cut + LEASE.as_millis() as u64);
    for router in 0..2 {
        let lease_left = fleet.metric(&fleet.router_address(router), LEASE_LEFT);
        assert_eq!(lease_left, Some(0), "leases end when the core is cut off");
    }
    let refused = fleet.complete(0, 0, "nobody may start").unwrap();
    assert_eq!((refused.0, refused.1["error"]["type"].as_str()), (503, Some("no_lease")));
    for keeper in &fleet.keepers {
        keeper.relay.as_ref().unwrap().set_mode(RelayMode::Open);
    }
    fleet.wait_until_served(edition).unwrap();
    assert_eq!(fleet.desired_edition().unwrap(), edition);
    assert_eq!(check_record(&fleet.record(&[])), []);
}

#[test]
fn a_stopping_conductor_hands_its_duty_over() {
    let mut fleet = Fleet::start(FleetPlan { nodes: 0, engines: 0, ..FleetPlan::small() }).unwrap();
    let holder = |fleet: &Fleet| {
        let page = fleet.fleet_page().unwrap_or_default();
        page["duties"]["conductor"]["holder"].as_str().unwrap_or("").to_owned()
    };
    assert!(wait_until(Duration::from_secs(20), || !holder(&fleet).is_empty()));
    let first = holder(&fleet);
    let stopped = fleet.keepers.iter().position(|keeper| keeper.id == first).unwrap();
    let process = fleet.keepers[stopped].process.as_mut().unwrap();
    process.terminate();
    assert_eq!(process.wait_for_exit(Duration::from_secs(10)), Some(0));
    fleet.keepers[stopped].process = None;
    let log = std::fs::read_to_string(fleet.folder.join(format!("keeper{stopped}.log"))).unwrap();
    assert!(log.contains("event=duty_handed_over"), "{log}");
    assert!(wait_until(Duration::from_secs(20), || !holder(&fleet).is_empty() && holder(&fleet) != first));
}
