//! Correlated losses, tested with real processes: a whole zone with its keeper, node and engine; an agent during a
//! stream; and, one after the other, every keeper named as a seed in the settings.

use std::io::{BufRead, BufReader, Write};
use testbed::prelude::*;

fn served_within(fleet: &Fleet, router: usize, cap: Duration) -> bool {
    wait_until(cap, || fleet.complete(router, 0, "are you there").is_ok_and(|answer| answer.0 == 200))
}

#[test]
fn a_zone_lost_whole_leaves_the_others_serving_and_comes_back() {
    let mut fleet = Fleet::start(FleetPlan { nodes: 4, engines: 4, ..FleetPlan::small() }).unwrap();
    let (calling, calls) = fleet.start_caller("day", 34, 20, 23).unwrap();
    let began = boot_millis();
    fleet.keepers[0].process = None;
    fleet.nodes[0].agent = None;
    fleet.nodes[0].router = None;
    fleet.engines[0].process = None;
    let mut edition = None;
    let taken = wait_until(Duration::from_secs(20), || {
        edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "three zones"]})).ok();
        edition.is_some()
    });
    assert!(taken, "three zones take changes: {:?}", fleet.fleet_page());
    for router in 1..4 {
        assert!(served_within(&fleet, router, Duration::from_secs(20)), "router {router} serves");
    }
    fleet.start_keeper(0, false).unwrap();
    fleet.start_engine(0, 1).unwrap();
    fleet.start_agent(0).unwrap();
    fleet.start_router(0).unwrap();
    fleet.record_event(EventLine::LastFaultOver { at: boot_millis() });
    fleet.wait_for_chain(4).unwrap();
    fleet.wait_until_served(edition.unwrap()).unwrap();
    wait_until(Duration::from_secs(60), || {
        fleet.sample_routers();
        boot_millis() >= began + 33_000
    });
    fleet.record_event(EventLine::RunEnds { at: boot_millis() });
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
}

#[test]
fn an_agent_that_restarts_does_not_cut_its_routers_streams() {
    let slow = vec!["--prefill-us=0".to_owned(), "--decode-us=50000".to_owned()];
    let mut fleet =
        Fleet::start(FleetPlan { nodes: 1, engines: 1, engine_flags: slow, ..FleetPlan::small() }).unwrap();
    let body = json!({"model": "model", "prompt": "long", "max_tokens": 120, "stream": true}).to_string();
    let mut stream = std::net::TcpStream::connect(fleet.router_address(0)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let sent = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n{body}",
        fleet.tenants[0].1,
        body.len()
    );
    stream.write_all(sent.as_bytes()).unwrap();
    let (begun, first_piece) = std::sync::mpsc::channel();
    let reading = std::thread::spawn(move || {
        let mut received = String::new();
        for text in BufReader::new(stream).lines().map_while(Result::ok) {
            if text.contains("text_completion") {
                let _ = begun.send(());
            }
            received.push_str(&text);
            received.push('\n');
        }
        received
    });
    first_piece.recv_timeout(Duration::from_secs(20)).unwrap();
    fleet.nodes[0].agent = None;
    fleet.start_agent(0).unwrap();
    assert!(served_within(&fleet, 0, Duration::from_secs(20)), "the router serves again");
    let received = reading.join().unwrap();
    assert!(received.contains("[DONE]"), "the stream went on: {received}");
    assert_eq!(check_record(&fleet.record(&[])), []);
}

#[test]
fn nodes_outlive_every_keeper_their_settings_name() {
    let mut fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    for seed in 0..3 {
        fleet.keepers[seed].process = None;
        let replacement = fleet.add_keeper(false).unwrap();
        let new_id = fleet.keepers[replacement].id.clone();
        let took_its_seat = wait_until(Duration::from_secs(60), || {
            fleet.fleet_page().is_ok_and(|page| {
                let chain = page["view"]["chain"].to_string();
                chain.contains(&new_id) && page["view"]["chain"].as_array().map(Vec::len) == Some(4)
            })
        });
        assert!(took_its_seat, "replacement {seed}: {:?}", fleet.fleet_page());
    }
    let edition = fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "moved"]})).unwrap();
    fleet.wait_until_served(edition).unwrap();
    assert!(served_within(&fleet, 0, Duration::from_secs(20)));
    assert_eq!(check_record(&fleet.record(&[])), []);
}

#[test]
fn a_router_restarted_while_new_weights_go_round_uses_the_old_ones_still() {
    let slow_load = vec!["--prefill-us=0".to_owned(), "--decode-us=1000".to_owned(), "--load-ms=9000".to_owned()];
    let mut fleet =
        Fleet::start(FleetPlan { nodes: 1, engines: 2, engine_flags: slow_load, ..FleetPlan::small() }).unwrap();
    fleet.patch_document(&json!({"models": {"model": {"weights": 2}}})).unwrap();
    fleet.nodes[0].router = None;
    fleet.start_router(0).unwrap();
    assert!(served_within(&fleet, 0, Duration::from_secs(30)), "{:?}", fleet.fleet_page());
    let record = fleet.record(&[]);
    let first_weights = record.starts().next().map(|start| start.weights);
    assert_eq!(first_weights, Some(1), "served before the first engines had loaded the new weights");
    assert_eq!(check_record(&record), []);
}
