//! Disks by real processes: keepers on pretended disks that are slow, stalled, failing, or lose what was
//! not synced when power goes right after an acknowledgement. They need the keeper built with its
//! `faults` feature, apart from the ordinary one; `./check` builds it.

use yard::prelude::*;

fn frail_fleet(nodes: usize, engines: usize) -> Fleet {
    Fleet::start(FleetPlan { nodes, engines, frail: true, ..FleetPlan::small() }).unwrap()
}

fn chain(fleet: &Fleet) -> Vec<String> {
    let page = fleet.fleet_page().unwrap_or_default();
    let members = page["view"]["chain"].as_array().cloned().unwrap_or_default();
    members.iter().filter_map(|member| member.as_str().map(str::to_owned)).collect()
}

fn change_taken(fleet: &Fleet, kind: &str) -> u64 {
    let mut edition = None;
    let taken = wait_until(Duration::from_secs(40), || {
        fleet.sample();
        edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", kind]})).ok();
        edition.is_some()
    });
    assert!(taken, "no change is taken: {:?}", fleet.fleet_page());
    edition.unwrap()
}

#[test]
fn slow_and_stalled_disks_at_each_place_of_the_chain_stop_nobody() {
    let fleet = frail_fleet(2, 3);
    let (calling, calls) = fleet.start_caller("day", 30, 20, 17).unwrap();
    for place in [0, 1, 3] {
        let members = chain(&fleet);
        let troubled = fleet.keepers.iter().position(|keeper| keeper.id == members[place]).unwrap();
        fleet.trouble_disk(troubled, "slow 120").unwrap();
        change_taken(&fleet, &format!("slow{place}"));
        assert_eq!(fleet.complete(0, 0, &format!("while a disk is slow {place}")).unwrap().0, 200);
        fleet.trouble_disk(troubled, "stall").unwrap();
        change_taken(&fleet, &format!("stalled{place}"));
        let left_out = wait_until(Duration::from_secs(30), || !chain(&fleet).contains(&members[place]));
        assert!(left_out, "a keeper whose disk stands still leaves the chain: {:?}", fleet.fleet_page());
        fleet.trouble_disk(troubled, "").unwrap();
        fleet.wait_core(4).unwrap();
    }
    calling.join().unwrap().unwrap();
    let report = DayReport::of(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
    assert!(report.outcomes["whole"] > 300, "{}", report.text());
}

#[test]
fn power_lost_right_after_an_acknowledgement_loses_nothing_acknowledged() {
    let mut fleet = frail_fleet(0, 0);
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
            let asked = fleet.operate(Method::GET, "/v1/desired-state", None, None);
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

#[test]
fn a_keeper_whose_disk_does_not_sync_says_so_and_leaves() {
    let mut fleet = frail_fleet(0, 0);
    for (number, wish) in [(1, "fail"), (2, "full")] {
        fleet.trouble_disk(number, wish).unwrap();
        change_taken(&fleet, wish);
        let code = fleet.keepers[number].process.as_mut().unwrap().wait_end(Duration::from_secs(20));
        assert_eq!(code, Some(1), "{wish}");
        let log = std::fs::read_to_string(fleet.folder.join(format!("keeper{number}.log"))).unwrap();
        assert!(log.contains("data: "), "{log}");
        fleet.trouble_disk(number, "").unwrap();
        fleet.keepers[number].process = None;
        fleet.start_keeper(number, false).unwrap();
        fleet.wait_core(4).unwrap();
    }
}
