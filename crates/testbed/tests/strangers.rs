//! Foreign peers and special pools: another wire format, another fleet, separate prefill and decode engines, slow
//! links; and the rule that no decision uses the wall clock.

use testbed::prelude::*;
use wire::prelude::{FORMAT, Hello, Purpose, write_frame};

#[test]
fn another_wire_format_and_another_fleet_are_refused_by_name() {
    let fleet = Fleet::start(FleetPlan { keepers: 2, nodes: 0, engines: 0, ..FleetPlan::small() }).unwrap();
    let log = |number: usize| std::fs::read_to_string(fleet.folder.join(format!("keeper{number}.log"))).unwrap();
    let newer = Hello { format: 9, ..Hello::new(Default::default(), Default::default(), Purpose::Agent) };
    let mut stream = std::net::TcpStream::connect(&fleet.keepers[0].address).unwrap();
    write_frame(&mut stream, &newer).unwrap();
    assert!(
        wait_until(Duration::from_secs(10), || log(0).contains(&format!("wire format 9 met, {FORMAT} spoken here"))),
        "{}",
        log(0)
    );

    let mut other = Fleet::start(FleetPlan { keepers: 2, nodes: 0, engines: 0, ..FleetPlan::small() }).unwrap();
    other.keepers[0].process = None;
    other.keepers[1].process = None;
    let flags = vec![
        format!("--data={}", other.keepers[0].data.display()),
        format!("--seeds={},{}", fleet.keepers[0].address, fleet.keepers[1].address),
    ];
    let _stray = Process::start("keeper", "stray", &flags, &other.folder).unwrap();
    assert!(wait_until(Duration::from_secs(10), || log(0).contains("wrong fleet")), "{}", log(0));
    let page = fleet.fleet_page().unwrap();
    assert_eq!(page["members"].as_array().map(Vec::len), Some(2), "a keeper of another fleet does not join");
}

#[test]
fn a_split_pool_prefills_and_decodes_on_different_engines() {
    let fleet = Fleet::start(FleetPlan { engines: 3, split_roles: true, ..FleetPlan::small() }).unwrap();
    let prompt = "a long score, prefilled in one place and decoded in another ".repeat(20);
    for round in 0..4 {
        let (status, answer) = fleet.complete(round % 2, 0, &prompt).unwrap();
        assert_eq!(status, 200, "{answer}");
        assert!(answer["usage"]["cached_tokens"].as_u64().unwrap() > 200, "{answer}");
    }
    let record = fleet.record(&[]);
    assert!(record.starts().all(|start| start.engine != "engine0"), "the prefilling engine answers nobody");
    assert_eq!(record.starts().count(), 4);
    let prefills: Vec<_> =
        record.engines.iter().filter(|line| matches!(line, testbed::prelude::EngineLogLine::Prefill(_))).collect();
    assert!(!prefills.is_empty() && prefills.len() <= 4, "prefills are logged as work: {prefills:?}");
    let other_weights = web::prelude::OutgoingRequest::with_json(
        Method::POST,
        "/v1/prefill",
        &json!({"prompt": prompt, "cache_salt": "w9.x"}),
    )
    .header("x-haremount-weights", "9");
    let (status, answer) = fleet.send_request(&fleet.engines[0].address, other_weights).unwrap();
    assert_eq!((status, answer["error"]["type"].as_str()), (409, Some("other_weights")), "{answer}");
    assert_eq!(check_record(&record), []);
}

#[test]
fn a_link_that_slows_down_turns_fetches_into_prefill() {
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 2, ..FleetPlan::small() }).unwrap();
    for engine in &fleet.engines {
        let slow = json!({"link_us": 900_000});
        assert_eq!(fleet.request(&engine.address, Method::POST, "/v1/faults", Some(&slow)).unwrap().0, 200);
    }
    let prompt = |number: usize| format!("{}{number}", "a prefix that somebody else keeps ".repeat(80));
    assert_eq!(fleet.complete(0, 0, &prompt(0)).unwrap().0, 200);
    let planned = wait_until(Duration::from_secs(20), || {
        std::thread::scope(|scope| {
            for number in 0..4 {
                let fleet = &fleet;
                let asked_prompt = prompt(number);
                scope.spawn(move || assert_eq!(fleet.complete(0, 0, &asked_prompt).unwrap().0, 200));
            }
        });
        fleet.metric(&fleet.router_address(0), "haremount_router_fetch_blocks_total").unwrap_or(0) > 0
    });
    assert!(planned, "a fetch was planned");
    assert_eq!(check_record(&fleet.record(&[])), []);
}

/// Every Rust file in `crates/`, with its text.
fn sources() -> Vec<(String, String)> {
    let crates = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_owned();
    let mut folders = vec![crates];
    let mut found = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|ending| ending == "rs") {
                found.push((path.display().to_string(), std::fs::read_to_string(&path).unwrap()));
            }
        }
    }
    found
}

#[test]
fn the_wall_clock_is_read_only_for_output() {
    let sources = sources();
    assert!(sources.len() > 80, "only {} files were read", sources.len());
    let clock_name = ["System", "Time"].concat();
    let reader_name = ["wall_", "millis()"].concat();
    for (path, text) in &sources {
        if text.contains(&clock_name) {
            assert!(path.ends_with("units/src/clock.rs"), "{path} reads the wall clock");
        }
        if text.contains(&reader_name) {
            let may_print = ["units/src/clock.rs", "process/src/logs.rs", "router/src/forward/run.rs"];
            assert!(may_print.iter().any(|allowed| path.ends_with(allowed)), "{path} asks for wall time");
        }
    }
}
