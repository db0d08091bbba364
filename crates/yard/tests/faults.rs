//! Whole-fleet faults by real processes: several machines at once, a full disk, a pool replaced engine
//! by engine, configurations that are large or come in quick succession.

use yard::prelude::*;

#[test]
fn half_the_core_and_a_router_lost_at_once_come_back() {
    let mut fleet = Fleet::start(FleetPlan::small()).unwrap();
    let (calling, calls) = fleet.start_caller("day", 34, 20, 11).unwrap();
    let began = boot_millis();
    let sample_until = |fleet: &Fleet, millis: u64| {
        wait_until(Duration::from_secs(90), || {
            fleet.sample();
            boot_millis() >= began + millis
        })
    };
    sample_until(&fleet, 1000);
    fleet.keepers[0].process = None;
    fleet.keepers[2].process = None;
    fleet.nodes[0].router = None;
    sample_until(&fleet, 5000);
    let leases = fleet.gauge(&fleet.router_address(1), "haremount_router_lease_left_ms");
    assert_eq!(leases, Some(0), "without a majority nobody may start");
    fleet.start_keeper(0, false).unwrap();
    fleet.start_keeper(2, false).unwrap();
    fleet.start_router(0).unwrap();
    fleet.note(WorldLine::LastFaultOver { at: boot_millis() });
    sample_until(&fleet, 33_000);
    fleet.note(WorldLine::RunEnds { at: boot_millis() });
    calling.join().unwrap().unwrap();
    let report = DayReport::of(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
}

#[test]
fn a_keeper_whose_disk_is_full_leaves_and_the_rest_goes_on() {
    let mut fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    fleet.keepers[1].process.as_ref().unwrap().limit_file_size(4096);
    let edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "fuller"]})).unwrap();
    let code = fleet.keepers[1].process.as_mut().unwrap().wait_end(Duration::from_secs(20));
    assert_eq!(code, Some(1), "a keeper that cannot write says so and leaves");
    let log = std::fs::read_to_string(fleet.folder.join("keeper1.log")).unwrap();
    assert!(log.contains("data: "), "{log}");
    fleet.keepers[1].process = None;
    assert_eq!(fleet.complete(0, 0, "served meanwhile").unwrap().0, 200);
    fleet.start_keeper(1, false).unwrap();
    fleet.wait_core(4).unwrap();
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
            fleet.sample();
            let running = fleet.gauge(&fleet.engines[old].address, "vllm:num_requests_running{model_name=\"model\"}");
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
    let report = DayReport::of(&fleet.record(&[calls]));
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
    for router in 0..2 {
        let seen = fleet.gauge(&fleet.router_address(router), "haremount_router_edition").unwrap();
        assert!(seen >= edition, "router {router} is at {seen}, acknowledged was {edition}");
    }
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
        for router in 0..2 {
            assert!(fleet.gauge(&fleet.router_address(router), "haremount_router_edition").unwrap() >= next_edition);
        }
    }
    assert_eq!(fleet.complete(0, 0, "still served").unwrap().0, 200);
}
