//! The core, tested with real processes: loss of each position in the chain, restart of all keepers from disk, an
//! empty replacement, founding refused where a fleet exists, and the error for a damaged data folder.

use testbed::prelude::*;

/// A fleet of keepers only.
fn core_only() -> Fleet {
    Fleet::start(FleetPlan { nodes: 0, engines: 0, ..FleetPlan::small() }).unwrap()
}

fn keeper_at(fleet: &Fleet, position: usize) -> usize {
    let page = fleet.fleet_page().unwrap();
    let id = page["view"]["chain"][position].as_str().unwrap().to_owned();
    fleet.keepers.iter().position(|keeper| keeper.id == id).unwrap()
}

fn wait_change(fleet: &Fleet, kind: &str) -> u64 {
    let mut edition = None;
    let taken = wait_until(Duration::from_secs(30), || {
        edition = fleet.patch_document(&json!({"kinds": [kind]})).ok();
        edition.is_some()
    });
    assert!(taken, "no change is taken: {:?}", fleet.fleet_page());
    edition.unwrap()
}

#[test]
fn the_chain_recovers_from_loss_of_head_middle_and_tail() {
    let mut fleet = core_only();
    for (round, place) in [0, 1, 3].into_iter().enumerate() {
        let edition = fleet.patch_document(&json!({"kinds": [format!("before{round}")]})).unwrap();
        let lost = keeper_at(&fleet, place);
        fleet.keepers[lost].process = None;
        let next_edition = wait_change(&fleet, &format!("after{round}"));
        assert!(next_edition > edition);
        fleet.start_keeper(lost, false).unwrap();
        fleet.wait_for_chain(4).unwrap();
    }
}

#[test]
fn a_core_restarted_from_disk_keeps_what_it_acknowledged() {
    let mut fleet = core_only();
    let edition = fleet.patch_document(&json!({"kinds": ["kept"]})).unwrap();
    for number in 0..4 {
        fleet.keepers[number].process = None;
    }
    for number in 0..4 {
        fleet.start_keeper(number, false).unwrap();
    }
    let mut seen = None;
    wait_until(Duration::from_secs(30), || {
        seen = fleet
            .operator_request(Method::GET, "/v1/desired-state", None, None)
            .ok()
            .filter(|answer| answer.0 == 200);
        seen.is_some()
    });
    assert_eq!(seen.unwrap().1["kinds"], json!(["kept"]));
    assert_eq!(fleet.desired_edition().unwrap(), edition);
}

#[test]
fn a_lost_disk_is_replaced_by_an_empty_machine_elsewhere() {
    let mut fleet = core_only();
    let edition = fleet.patch_document(&json!({"kinds": ["kept"]})).unwrap();
    let lost = keeper_at(&fleet, 0);
    let lost_id = fleet.keepers[lost].id.clone();
    fleet.keepers[lost].process = None;
    std::fs::remove_dir_all(&fleet.keepers[lost].data).unwrap();
    let spare = fleet.add_keeper(false).unwrap();
    let replaced = wait_until(Duration::from_secs(40), || {
        fleet.fleet_page().is_ok_and(|page| {
            let voters = page["view"]["voters"].to_string();
            voters.contains(&fleet.keepers[spare].id) && !voters.contains(&lost_id)
        })
    });
    assert!(replaced, "{:?}", fleet.fleet_page());
    fleet.wait_for_chain(4).unwrap();
    assert_eq!(fleet.desired_edition().unwrap(), edition);
    wait_change(&fleet, "goes on");
}

#[test]
fn two_operators_at_once_and_a_request_asked_twice() {
    let fleet = core_only();
    let base = fleet.desired_edition().unwrap();
    let change = |door: usize, kind: &str| {
        let body = json!({"kinds": [kind]});
        fleet
            .operator_request_at(
                &fleet.keepers[door].operator_address,
                Method::PATCH,
                "/v1/desired-state",
                Some(&body),
                Some(base),
            )
            .unwrap()
    };
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| change(1, "one"));
        let second = scope.spawn(|| change(2, "two"));
        (first.join().unwrap(), second.join().unwrap())
    });
    let mut statuses = [first.0, second.0];
    statuses.sort();
    assert_eq!(statuses, [200, 412], "{first:?} {second:?}");
    let (winner, loser) = if first.0 == 200 { (first, second) } else { (second, first) };
    assert_eq!(loser.1["now"], winner.1["edition"], "the refused operator is told the edition in force");
    let request = winner.1["request"].as_str().unwrap();
    let again = fleet.operator_request(Method::GET, &format!("/v1/requests/{request}"), None, None).unwrap();
    assert_eq!(again.1["edition"], winner.1["edition"]);
}

#[test]
fn founding_twice_damaged_folders_and_used_ports_are_refused() {
    let fleet = core_only();
    let key_file = fleet.folder.join("operator.key").display().to_string();
    let run = |name: &str, flags: &[String]| {
        let outcome = Process::start("keeper", name, flags, &fleet.folder);
        let log = std::fs::read_to_string(fleet.folder.join(format!("{name}.log"))).unwrap();
        assert!(outcome.is_err(), "{name} started");
        log
    };
    let second_folder = fleet.folder.join("second.data").display().to_string();
    let flags = |data: &str| {
        vec![
            "--found".to_owned(),
            format!("--operator-key-file={key_file}"),
            format!("--data={data}"),
            format!("--seeds={}", fleet.seed_addresses()),
        ]
    };
    let log = run("second-founder", &flags(&second_folder));
    assert!(log.contains("already belongs to fleet"), "{log}");
    std::fs::create_dir_all(&second_folder).unwrap();
    std::fs::write(format!("{second_folder}/ledger.redb"), "this is no ledger").unwrap();
    let log = run("damaged", &flags(&second_folder));
    assert!(log.contains("data: ") && log.contains("ledger"), "{log}");
    let in_use = vec![
        format!("--listen={}", fleet.keepers[0].address),
        format!("--data={}", fleet.folder.join("third.data").display()),
    ];
    let log = run("port-in-use", &in_use);
    assert!(log.contains("listen: ") && log.contains("in use"), "{log}");
}

#[test]
fn a_folder_restored_from_a_backup_catches_up() {
    let mut fleet = core_only();
    let restored = keeper_at(&fleet, 1);
    let id = fleet.keepers[restored].id.clone();
    let process = fleet.keepers[restored].process.as_mut().unwrap();
    process.terminate();
    assert_eq!(process.wait_for_exit(Duration::from_secs(10)), Some(0));
    fleet.keepers[restored].process = None;
    let backup = fleet.folder.join("backup");
    std::fs::create_dir_all(&backup).unwrap();
    let ledger = fleet.keepers[restored].data.join("ledger.redb");
    std::fs::copy(&ledger, backup.join("ledger.redb")).unwrap();
    let edition = wait_change(&fleet, "made while it was away");
    std::fs::remove_file(&ledger).unwrap();
    std::fs::copy(backup.join("ledger.redb"), &ledger).unwrap();
    fleet.start_keeper(restored, false).unwrap();
    assert_eq!(fleet.keepers[restored].id, id, "a restored folder is the machine it was");
    fleet.wait_for_chain(4).unwrap();
    assert!(fleet.desired_edition().unwrap() >= edition);
    let door = fleet.keepers[restored].operator_address.clone();
    let own_answer = fleet.operator_request_at(&door, Method::GET, "/v1/desired-state", None, None).unwrap();
    assert_eq!(own_answer.1["kinds"], json!(["made while it was away"]));
}
