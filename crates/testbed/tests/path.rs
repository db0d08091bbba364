//! End-to-end path, tested with real processes: a fleet forms, accepts a desired state, serves, and delivers every
//! change to every router before the change is acknowledged.

use testbed::prelude::*;

#[test]
fn a_fleet_forms_serves_and_changes() {
    let fleet = Fleet::start(FleetPlan::small()).unwrap();
    for router in 0..2 {
        let (status, answer) = fleet.complete(router, 0, &"sheet music ".repeat(40)).unwrap();
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer["choices"][0]["finish_reason"], "length");
    }
    let edition = fleet.desired_edition().unwrap();
    let stale =
        fleet.operator_request(Method::PATCH, "/v1/desired-state", Some(&json!({})), Some(edition - 1)).unwrap();
    assert_eq!(stale.0, 412, "{}", stale.1);
    let refused = fleet
        .operator_request(
            Method::PATCH,
            "/v1/desired-state",
            Some(&json!({"kinds": 3, "tenants": {"x": {"y": 1}}})),
            Some(edition),
        )
        .unwrap();
    assert_eq!(refused.0, 422, "{}", refused.1);
    let paths: Vec<&str> = refused.1["error"]["complaints"]
        .as_array()
        .unwrap()
        .iter()
        .map(|found| found["path"].as_str().unwrap())
        .collect();
    assert!(paths.contains(&"kinds") && paths.contains(&"tenants.x.y"), "{paths:?}");
    assert_eq!(fleet.desired_edition().unwrap(), edition, "a refused change changes nothing");

    let withdrawn = fleet.operator_request(Method::DELETE, "/v1/tenants/tenant0/keys/main", None, None).unwrap();
    assert_eq!(withdrawn.0, 200, "{}", withdrawn.1);
    for router in 0..2 {
        let (status, _) = fleet.complete(router, 0, "after the key").unwrap();
        assert_eq!(status, 401, "the key is gone everywhere once that is acknowledged");
        let (status, _) = fleet.complete(router, 1, "another key").unwrap();
        assert_eq!(status, 200);
    }
    let unknown_key =
        fleet.request(&fleet.keepers[1].operator_address, Method::GET, "/v1/desired-state", None).unwrap();
    assert_eq!(unknown_key.0, 401);
    assert_eq!(check_record(&fleet.record(&[])), []);
}

#[test]
fn a_day_is_served_without_violations_while_processes_are_killed() {
    let mut fleet = Fleet::start(FleetPlan::small()).unwrap();
    let (calling, calls) = fleet.start_caller("day", 14, 20, 7).unwrap();
    let began = boot_millis();
    let sample_until = |fleet: &Fleet, millis: u64| {
        wait_until(Duration::from_secs(60), || {
            fleet.sample_routers();
            boot_millis() >= began + millis
        })
    };
    sample_until(&fleet, 1000);
    fleet.keepers[3].process = None;
    fleet.engines[0].process = None;
    sample_until(&fleet, 2000);
    fleet.nodes[0].router = None;
    fleet.nodes[1].agent = None;
    sample_until(&fleet, 3000);
    fleet.start_engine(0, 1).unwrap();
    fleet.start_router(0).unwrap();
    fleet.start_agent(1).unwrap();
    fleet.start_keeper(3, false).unwrap();
    calling.join().unwrap().unwrap();
    fleet.wait_for_chain(4).unwrap();
    let record = fleet.record(&[calls]);
    let report = DayReport::from_record(&record);
    assert_eq!(report.violations, [], "{}", report.text());
    assert!(report.outcomes.get("whole").copied().unwrap_or(0) > 100, "{}", report.text());
    for router in 0..2 {
        assert_eq!(fleet.complete(router, 2, "after all that").unwrap().0, 200);
    }
}
