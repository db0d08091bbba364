//! Trials, intents and plans, resumed streams, claims, block fetches, the prompt store, recordings and replay, tested
//! with real processes.

use std::io::{Read, Write};
use std::process::Command;
use testbed::prelude::*;

fn console(fleet: &Fleet, words: &[&str]) -> (Option<i32>, String) {
    let door = fleet.keepers.iter().map(|keeper| keeper.operator_address.clone()).collect::<Vec<_>>().join(",");
    let output = Command::new(program_path("console").unwrap())
        .args(["--door", door.as_str()])
        .args(words)
        .env("HAREMOUNT_KEY", &fleet.operator_key)
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout) + &text(&output.stderr))
}

/// States an intent through the console and returns the number of its plan.
fn state_intent(fleet: &Fleet, words: &[&str]) -> u64 {
    let (code, text) = console(fleet, &[&["--json", "intent"], words].concat());
    assert_eq!(code, Some(0), "{text}");
    serde_json::from_str::<Value>(&text).unwrap()["plan"].as_u64().unwrap()
}

fn plan_page(fleet: &Fleet, plan: u64) -> Value {
    fleet
        .operator_request(Method::GET, &format!("/v1/plans/{plan}"), None, None)
        .map(|answer| answer.1)
        .unwrap_or(Value::Null)
}

fn wait_plan(fleet: &Fleet, plan: u64, status: &str) {
    let reached = wait_until(Duration::from_secs(40), || plan_page(fleet, plan)["status"] == status);
    assert!(reached, "{}", plan_page(fleet, plan));
}

#[test]
fn intents_become_plans_that_are_confirmed_and_outlive_their_holder() {
    let mut fleet = Fleet::start(FleetPlan { engines: 4, ..FleetPlan::small() }).unwrap();
    fleet
        .patch_document(&json!({"policies": {"reuse": {"weight": 8, "rules": [{"band": "busy", "weight": 2}]}}}))
        .unwrap();
    let trial = state_intent(&fleet, &["trial", "reuse", "tenant0"]);
    assert_eq!(plan_page(&fleet, trial)["status"], "stated");
    assert_eq!(console(&fleet, &["plan", "confirm", &trial.to_string()]).0, Some(0));
    assert_eq!(console(&fleet, &["plan", "confirm", &trial.to_string()]).0, Some(0), "twice is once");
    wait_plan(&fleet, trial, "done");
    for round in 0..6 {
        assert_eq!(fleet.complete(round % 2, 0, &"trial and error ".repeat(30)).unwrap().0, 200);
    }
    let routers = format!("{},{}", fleet.router_address(0), fleet.router_address(1));
    let (code, text) = console(&fleet, &["policy", "compare", &routers]);
    assert!(code == Some(0) && text.contains("policy reuse: requests 6"), "{text}");
    assert!(text.contains("p50 too few requests") && text.contains("tenant tenant0: requests 6"), "{text}");
    for (flag, name) in [("--policy", "unheard"), ("--tenant", "nobody")] {
        let (code, text) = console(&fleet, &["policy", "compare", &routers, flag, name]);
        assert!(code == Some(1) && text.contains(name), "{text}");
    }
    let (code, text) = console(&fleet, &["policy", "compare", &routers, "--json", "--policy", "reuse"]);
    let compared: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, compared["policies"]["reuse"]["requests"].as_u64()), (Some(0), Some(6)), "{text}");
    fleet.patch_document(&json!({"policies": {"reuse": {"weight": 9}}})).unwrap();
    let (_, text) = console(&fleet, &["policy", "compare", &routers]);
    assert!(!text.contains("policy reuse"), "a changed policy's figures begin anew: {text}");
    fleet
        .patch_document(&json!({"policies": {"reuse": {"weight": 8, "rules": [{"band": "busy", "weight": 2}]}}}))
        .unwrap();
    let (_, table) = console(&fleet, &["policy", "show", "reuse"]);
    assert!(table.contains("\"busy\": 2.0") || table.contains("\"busy\": 2"), "{table}");

    let moved = state_intent(&fleet, &["adopt", "reuse"]);
    fleet.patch_document(&json!({"kinds": ["layout", "part", "check", "other"]})).unwrap();
    let (code, text) = console(&fleet, &["plan", "confirm", &moved.to_string()]);
    assert!(code == Some(1) && text.contains("stale"), "the base moved: {text}");
    for (words, reason) in [
        (vec!["wall", "nobody"], "unknown tenant"),
        (vec!["trial", "nothing", "tenant0"], "unknown policy"),
        (vec!["move-weights", "model", "1"], "only grow"),
        (vec!["drain", "nowhere"], "unknown engine"),
    ] {
        let (code, text) = console(&fleet, &[&["intent"], words.as_slice()].concat());
        assert!(code == Some(1) && text.contains(reason), "{words:?}: {text}");
    }
    assert_eq!(console(&fleet, &["plan", "confirm", "999999"]).0, Some(1));

    let weights = state_intent(&fleet, &["move-weights", "model", "2"]);
    assert_eq!(console(&fleet, &["plan", "confirm", &weights.to_string()]).0, Some(0));
    fleet.record_event(EventLine::WeightsAcked { at: boot_millis(), weights: 2 });
    let holder = fleet.fleet_page().unwrap()["duties"]["conductor"]["holder"].as_str().unwrap().to_owned();
    let lost = fleet.keepers.iter().position(|keeper| keeper.id == holder).unwrap();
    fleet.keepers[lost].process = None;
    wait_plan(&fleet, weights, "done");
    let page = fleet.fleet_page().unwrap();
    assert!(page["engines"].as_array().unwrap().iter().all(|engine| engine["weights"] == 2), "{page}");
    let drained = state_intent(&fleet, &["drain", "engine1"]);
    assert_eq!(console(&fleet, &["plan", "confirm", &drained.to_string()]).0, Some(0));
    wait_plan(&fleet, drained, "done");
    assert_eq!(check_record(&fleet.record(&[])), []);
}

/// Starts a stream, reads the given number of complete events, and returns the run and the event ids.
fn begin_stream(fleet: &Fleet, router: usize, headers: &str, tokens: u64, events: usize) -> (String, Vec<String>) {
    let body = json!({"model": "model", "prompt": "to be resumed", "max_tokens": tokens, "stream": true}).to_string();
    let sent = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n{headers}content-length: {}\r\n\r\n{body}",
        fleet.tenants[0].1,
        body.len()
    );
    let mut stream = std::net::TcpStream::connect(fleet.router_address(router)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(sent.as_bytes()).unwrap();
    let mut text = String::new();
    let mut buffer = [0u8; 512];
    while text.matches("\n\n").count() < events {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let run = text.lines().find_map(|line| line.strip_prefix("x-haremount-run: ")).unwrap().trim().to_owned();
    (run, event_ids(&text))
}

fn event_ids(text: &str) -> Vec<String> {
    text.lines().filter_map(|line| line.strip_prefix("id: ")).map(|id| id.trim().to_owned()).collect()
}

fn resume(fleet: &Fleet, router: usize, tenant: usize, run: &str, last_event: Option<&str>) -> String {
    let last = last_event.map(|id| format!("last-event-id: {id}\r\n")).unwrap_or_default();
    let sent = format!(
        "GET /v1/runs/{run} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {}\r\n{last}\r\n",
        fleet.tenants[tenant].1
    );
    let mut stream = std::net::TcpStream::connect(fleet.router_address(router)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(sent.as_bytes()).unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn a_broken_stream_goes_on_where_it_left_off_through_any_router() {
    let slow = vec!["--prefill-us=0".to_owned(), "--decode-us=15000".to_owned()];
    let fleet = Fleet::start(FleetPlan { engines: 1, engine_flags: slow, ..FleetPlan::small() }).unwrap();
    let routers_connected = wait_until(Duration::from_secs(10), || {
        let (run, ids) = begin_stream(&fleet, 0, "x-haremount-resume: true\r\n", 40, 5);
        let last_seen = &ids[4];
        let rest = resume(&fleet, 1, 0, &run, Some(last_seen));
        if rest.starts_with("HTTP/1.1 410") {
            return false;
        }
        assert!(rest.contains("[DONE]"), "{rest}");
        let expected: Vec<String> = (5..=40).map(|piece| format!("{run}.{piece}")).collect();
        assert_eq!(event_ids(&rest), expected, "no piece lost or repeated");
        for (last_event, status) in [(format!("{run}.99"), 400), (format!("{run}x.1"), 400), ("1".repeat(300), 400)] {
            let answer = resume(&fleet, 0, 0, &run, Some(&last_event));
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        }
        assert!(resume(&fleet, 0, 2, &run, None).starts_with("HTTP/1.1 410"), "another tenant's run");
        true
    });
    assert!(routers_connected, "the routers did not discover each other");
    let (unheld, _) = begin_stream(&fleet, 0, "", 40, 2);
    assert!(resume(&fleet, 1, 0, &unheld, None).starts_with("HTTP/1.1 410"));
    assert!(resume(&fleet, 0, 0, "0123456789abcdef.1", None).starts_with("HTTP/1.1 410"));
    let starts = fleet.record(&[]);
    assert_eq!(check_record(&starts), []);
}

#[test]
fn a_claimed_key_is_not_run_again_through_any_router() {
    let fleet = Fleet::start(FleetPlan::small()).unwrap();
    let ask = |router: usize, tenant: usize, key: &str, model: &str| {
        let body = json!({"model": model, "prompt": "pay once", "max_tokens": 2});
        let request = web::prelude::OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", fleet.tenants[tenant].1))
            .header("idempotency-key", key);
        fleet.send_request(&fleet.router_address(router), request).unwrap()
    };
    let first = ask(0, 0, "order-7", "model");
    assert_eq!(first.0, 200, "{}", first.1);
    for router in [0, 1] {
        let again = ask(router, 0, "order-7", "model");
        assert_eq!((again.0, again.1["error"]["type"].as_str()), (409, Some("claimed")), "{}", again.1);
        assert_eq!(again.1["run"], first.1["id"], "it says which run holds the claim");
    }
    assert_eq!(ask(1, 2, "order-7", "model").0, 200, "another tenant's key is another key");
    let (left, right) = std::thread::scope(|scope| {
        let left = scope.spawn(|| ask(0, 0, "race", "model").0);
        let right = scope.spawn(|| ask(1, 0, "race", "model").0);
        (left.join().unwrap(), right.join().unwrap())
    });
    let mut statuses = [left, right];
    statuses.sort();
    assert_eq!(statuses, [200, 409]);
    let starts = fleet.record(&[]).starts().count();
    assert_eq!(starts, 3, "one start for each claim");
}

#[test]
fn missing_blocks_are_fetched_and_a_store_that_comes_back_empty_does_no_harm() {
    let mut fleet = Fleet::start(FleetPlan { nodes: 1, engines: 2, ..FleetPlan::small() }).unwrap();
    let fetched =
        |fleet: &Fleet| fleet.metric(&fleet.router_address(0), "haremount_router_fetch_blocks_total").unwrap_or(0);
    let prompt = |number: usize| format!("{}{number}", "a shared prefix of some length ".repeat(80));
    assert_eq!(fleet.complete(0, 0, &prompt(0)).unwrap().0, 200);
    let was_fetched = wait_until(Duration::from_secs(20), || {
        std::thread::scope(|scope| {
            for number in 0..6 {
                let fleet = &fleet;
                let asked_prompt = prompt(number);
                scope.spawn(move || fleet.complete(0, 0, &asked_prompt).unwrap());
            }
        });
        fetched(&fleet) > 0
    });
    assert!(was_fetched, "an engine that lacks the prefix gets it from a peer or the store");
    fleet.store = None;
    assert_eq!(fleet.complete(0, 0, &prompt(7)).unwrap().0, 200, "without the store");
    let listen = vec![format!("--listen={}", fleet.store_address)];
    fleet.store = Some(Process::start("store", "store", &listen, &fleet.folder).unwrap());
    for number in 8..14 {
        assert_eq!(fleet.complete(0, 0, &prompt(number)).unwrap().0, 200, "with an empty store");
    }
    assert_eq!(check_record(&fleet.record(&[])), []);
}

#[test]
fn a_recorded_day_is_placed_the_same_offline() {
    let fleet = Fleet::start(FleetPlan { records_days: true, ..FleetPlan::small() }).unwrap();
    let (calling, calls) = fleet.start_caller("day", 4, 30, 5).unwrap();
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
    let folder = fleet.folder.join("days");
    let files = || -> Vec<String> {
        let entries = std::fs::read_dir(&folder).unwrap();
        entries.map(|entry| entry.unwrap().path().display().to_string()).collect()
    };
    let replay = |words: &[&str], files: &[String]| {
        let output = Command::new(program_path("replay").unwrap()).args(words).args(files).output().unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr),
        )
    };
    let recorded = wait_until(Duration::from_secs(10), || {
        let (_, text) = replay(&["check"], &files());
        let whole = text.split("whole=").nth(1).and_then(|rest| rest.trim().parse::<u64>().ok());
        whole == report.outcomes.get("whole").copied()
    });
    assert!(recorded, "every run is recorded: {} {:?}", report.text(), replay(&["check"], &files()));
    let (code, text) = replay(&["offline"], &files());
    assert!(code == Some(0) && text.contains("different 0"), "{text}");
    let policy = fleet.folder.join("policy.json");
    std::fs::write(&policy, r#"{"weight": 0}"#).unwrap();
    let (code, text) = replay(&["offline", "--policy", &policy.display().to_string()], &files());
    assert!(code == Some(0) && !text.contains("different 0"), "{text}");
    let text = std::fs::read_to_string(&files()[0]).unwrap();
    assert!(!text.contains(&fleet.tenants[0].1), "no key is recorded");
    let damaged = fleet.folder.join("damaged.day").display().to_string();
    std::fs::write(&damaged, text.replacen("whole", "other", 1)).unwrap();
    let (code, told) = replay(&["check"], std::slice::from_ref(&damaged));
    assert!(code == Some(1) && told.contains("corrupted, the checksum differs"), "{told}");
    std::fs::write(&damaged, &text[..text.len() - 20]).unwrap();
    let (code, told) = replay(&["check"], std::slice::from_ref(&damaged));
    assert!(code == Some(1) && told.contains("--use-cut"), "{told}");
    assert_eq!(replay(&["--use-cut", "check"], std::slice::from_ref(&damaged)).0, Some(0));
    let keys = fleet.folder.join("keys.json").display().to_string();
    let routers = fleet.router_address(0);
    let (code, told) =
        replay(&["play", "--routers", &routers, "--keys", &keys, "--speed", "4", "--seconds", "3"], &files());
    assert!(code == Some(0) && told.contains("played: ") && told.contains("whole="), "{told}");
}
