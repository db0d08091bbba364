//! Disk faults, tested with real processes: keepers on simulated disks that are slow, stalled or failing, or that
//! lose unsynced data on a power loss right after an acknowledgement. The tests need the keeper built with its
//! `faults` feature in a target folder of its own; `./check` builds it.

use testbed::prelude::*;

fn faulty_disk_fleet(nodes: usize, engines: usize) -> Fleet {
    Fleet::start(FleetPlan { nodes, engines, faulty_disks: true, ..FleetPlan::small() }).unwrap()
}

fn chain(fleet: &Fleet) -> Vec<String> {
    let page = fleet.fleet_page().unwrap_or_default();
    let members = page["view"]["chain"].as_array().cloned().unwrap_or_default();
    members.iter().filter_map(|member| member.as_str().map(str::to_owned)).collect()
}

fn change_taken(fleet: &Fleet, kind: &str) -> u64 {
    let mut edition = None;
    let taken = wait_until(Duration::from_secs(40), || {
        fleet.sample_routers();
        edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", kind]})).ok();
        edition.is_some()
    });
    assert!(taken, "no change is taken: {:?}", fleet.fleet_page());
    edition.unwrap()
}

#[test]
fn slow_and_stalled_disks_at_each_place_of_the_chain_do_not_stop_the_core() {
    let fleet = faulty_disk_fleet(2, 3);
    let (calling, calls) = fleet.start_caller("day", 30, 20, 17).unwrap();
    for place in [0, 1, 3] {
        let members = chain(&fleet);
        let faulty = fleet.keepers.iter().position(|keeper| keeper.id == members[place]).unwrap();
        fleet.set_disk_fault(faulty, "slow 120").unwrap();
        change_taken(&fleet, &format!("slow{place}"));
        assert_eq!(fleet.complete(0, 0, &format!("while a disk is slow {place}")).unwrap().0, 200);
        fleet.set_disk_fault(faulty, "stall").unwrap();
        change_taken(&fleet, &format!("stalled{place}"));
        let left_out = wait_until(Duration::from_secs(30), || !chain(&fleet).contains(&members[place]));
        assert!(left_out, "a keeper whose disk stalls leaves the chain: {:?}", fleet.fleet_page());
        fleet.set_disk_fault(faulty, "").unwrap();
        fleet.wait_for_chain(4).unwrap();
    }
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
    assert!(report.outcomes["whole"] > 300, "{}", report.text());
}

#[test]
fn power_lost_right_after_an_acknowledgement_loses_nothing_acknowledged() {
    let mut fleet = faulty_disk_fleet(0, 0);
    for round in 0..4 {
        let kind = format!("kept{round}");
        let edition = change_taken(&fleet, &kind);
        for keeper in &mut fleet.keepers {
            keeper.process = None;
        }
        for number in 0..4 {
            fleet.start_keeper(number, false).unwrap();
        }
        let mut seen = (0, Value::Null);
        let back = wait_until(Duration::from_secs(40), || {
            let asked = fleet.operator_request(Method::GET, "/v1/desired-state", None, None);
            asked.is_ok_and(|answer| {
                seen = answer;
                seen.0 == 200
            })
        });
        assert!(back, "the core comes back: {seen:?}");
        assert!(seen.1["kinds"].to_string().contains(&kind), "acknowledged as {edition}, lost: {}", seen.1);
        assert!(fleet.desired_edition().unwrap() >= edition);
    }
}

fn log_of(fleet: &Fleet, number: usize) -> String {
    std::fs::read_to_string(fleet.folder.join(format!("keeper{number}.log"))).unwrap()
}

fn is_running(fleet: &mut Fleet, number: usize) -> bool {
    fleet.keepers[number].process.as_mut().unwrap().is_running()
}

fn refuses(fleet: &Fleet, number: usize) -> bool {
    fleet.metric(&fleet.keepers[number].operator_address, "haremount_keeper_disk_refuses") == Some(1)
}

/// The kinds in the desired state that one keeper returns.
fn kinds_at(fleet: &Fleet, number: usize) -> Value {
    let asked = fleet.operator_request_at(
        &fleet.keepers[number].operator_address,
        Method::GET,
        "/v1/desired-state",
        None,
        None,
    );
    asked.map_or(Value::Null, |(_, answer)| answer["kinds"].clone())
}

#[test]
fn a_keeper_whose_disk_refuses_is_removed_from_the_chain_and_rejoins_by_itself() {
    let mut fleet = faulty_disk_fleet(2, 3);
    let (calling, calls) = fleet.start_caller("day", 60, 20, 23).unwrap();
    for (place, fault) in [(0, "full"), (1, "fail"), (3, "full"), (3, "fail")] {
        let members = chain(&fleet);
        let faulty = fleet.keepers.iter().position(|keeper| keeper.id == members[place]).unwrap();
        let id = fleet.keepers[faulty].process.as_ref().unwrap().id();
        fleet.set_disk_fault(faulty, fault).unwrap();
        let edition = change_taken(&fleet, &format!("{fault}{place}"));
        let left_out = wait_until(Duration::from_secs(30), || !chain(&fleet).contains(&members[place]));
        assert!(
            left_out,
            "{fault} at {place}: a keeper that stores nothing leaves the chain: {:?}",
            fleet.fleet_page()
        );
        assert!(refuses(&fleet, faulty));
        let door = fleet.keepers[faulty].operator_address.clone();
        assert_eq!(fleet.is_ready(&door), Ok(false));
        let change = json!({"kinds": ["own"]});
        let own = fleet.operator_request_at(&door, Method::PATCH, "/v1/desired-state", Some(&change), Some(edition));
        assert!(
            own.as_ref().is_ok_and(|(status, _)| *status != 200),
            "a keeper whose disk refuses writes acknowledges nothing: {own:?}"
        );
        let last_kind = format!("{fault}{place}-meanwhile");
        change_taken(&fleet, &last_kind);
        assert_eq!(fleet.complete(0, 0, &last_kind).unwrap().0, 200);
        assert!(is_running(&mut fleet, faulty), "{}", log_of(&fleet, faulty));
        fleet.set_disk_fault(faulty, "").unwrap();
        fleet.wait_for_chain(4).unwrap();
        assert!(wait_until(Duration::from_secs(20), || fleet.is_ready(&door) == Ok(true)));
        let is_caught_up = || kinds_at(&fleet, faulty).to_string().contains(&last_kind);
        assert!(wait_until(Duration::from_secs(20), is_caught_up), "{}", kinds_at(&fleet, faulty));
        assert_eq!(fleet.keepers[faulty].process.as_ref().unwrap().id(), id, "the same process");
        let log = log_of(&fleet, faulty);
        assert!(log.contains("event=disk_refuses") && log.contains("event=disk_takes_again"), "{log}");
    }
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
    assert!(report.outcomes["whole"] > 600, "{}", report.text());
}

#[test]
fn a_core_whose_disks_all_refuse_acknowledges_nothing_and_recovers_afterwards() {
    let mut fleet = faulty_disk_fleet(0, 0);
    for fault in ["full", "fail"] {
        let edition = change_taken(&fleet, &format!("before-{fault}"));
        for number in 0..4 {
            fleet.set_disk_fault(number, fault).unwrap();
        }
        let lost = fleet.patch_document(&json!({"kinds": [format!("while-{fault}")]}));
        assert!(lost.is_err(), "acknowledged while no disk takes writes: {lost:?}");
        assert!((0..4).any(|number| refuses(&fleet, number)));
        assert!((0..4).all(|number| is_running(&mut fleet, number)));
        for number in 0..4 {
            fleet.set_disk_fault(number, "").unwrap();
        }
        assert!(change_taken(&fleet, &format!("after-{fault}")) > edition);
        fleet.wait_for_chain(4).unwrap();
        assert!((0..4).all(|number| is_running(&mut fleet, number)));
    }
}

/// Changes acknowledged after a disk has failed and recovered survive a power loss.
#[test]
fn power_lost_after_disks_refused_loses_nothing_acknowledged() {
    let mut fleet = faulty_disk_fleet(0, 0);
    for (round, fault) in ["fail", "full", "fail"].into_iter().enumerate() {
        for number in [round, (round + 1) % 4] {
            fleet.set_disk_fault(number, fault).unwrap();
            change_taken(&fleet, &format!("while-{number}-{fault}"));
            fleet.set_disk_fault(number, "").unwrap();
            fleet.wait_for_chain(4).unwrap();
        }
        let kind = format!("kept{round}");
        let edition = change_taken(&fleet, &kind);
        for keeper in &mut fleet.keepers {
            keeper.process = None;
        }
        for number in 0..4 {
            fleet.start_keeper(number, false).unwrap();
        }
        let back = wait_until(Duration::from_secs(40), || kinds_at(&fleet, 0).to_string().contains(&kind));
        assert!(back, "acknowledged as {edition}, lost: {}", kinds_at(&fleet, 0));
        assert!(fleet.desired_edition().unwrap() >= edition);
        fleet.wait_for_chain(4).unwrap();
    }
}

#[test]
fn a_keeper_started_on_a_disk_that_refuses_waits_until_it_takes_writes() {
    let mut fleet = faulty_disk_fleet(0, 0);
    for (number, fault, is_new) in [(1, "full", false), (2, "fail", false), (3, "full", true)] {
        fleet.keepers[number].process = None;
        if is_new {
            std::fs::remove_dir_all(&fleet.keepers[number].data).unwrap();
        }
        change_taken(&fleet, &format!("without-{number}"));
        fleet.set_disk_fault(number, fault).unwrap();
        let control = fleet.disk_fault_file(number);
        let began = boot_millis();
        let recovery = std::thread::spawn(move || {
            wait_until(Duration::from_secs(3), || false);
            std::fs::write(control, "").unwrap();
        });
        fleet.start_keeper(number, false).unwrap();
        recovery.join().unwrap();
        assert!(boot_millis() >= began + 3000, "{fault}: it started on a disk that refuses writes");
        assert!(log_of(&fleet, number).contains("event=disk_refuses"), "{}", log_of(&fleet, number));
        fleet.wait_for_chain(4).unwrap();
        change_taken(&fleet, &format!("with-{number}"));
        assert!(is_running(&mut fleet, number));
    }
}

#[test]
fn a_keeper_that_waits_for_its_disk_exits_on_request() {
    let mut fleet = faulty_disk_fleet(0, 0);
    fleet.set_disk_fault(1, "full").unwrap();
    change_taken(&fleet, "full");
    assert!(wait_until(Duration::from_secs(20), || refuses(&fleet, 1)));
    let process = fleet.keepers[1].process.as_mut().unwrap();
    process.terminate();
    assert_eq!(process.wait_for_exit(Duration::from_secs(5)), Some(0), "while it runs");
    fleet.keepers[1].process = None;
    let (program, arguments) = fleet.keeper_command(1, false);
    let mut process = Process::spawn(program, "keeper1", &arguments, &fleet.folder).unwrap();
    let waits = || log_of(&fleet, 1).matches("event=disk_refuses").count() >= 2;
    assert!(wait_until(Duration::from_secs(20), waits), "{}", log_of(&fleet, 1));
    process.terminate();
    assert_eq!(process.wait_for_exit(Duration::from_secs(5)), Some(0), "at its start");
}
