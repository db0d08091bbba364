//! The data plane, tested with real processes: engines that crash, return wrong answers, cut streams or hide events;
//! engines listed as leaving; new weights; callers that send invalid requests or disconnect; draining.

use std::io::{Read, Write};
use testbed::prelude::*;

fn engine_faults(fleet: &Fleet, engine: usize, faults: Value) {
    let answer = fleet.request(&fleet.engines[engine].address, Method::POST, "/v1/faults", Some(&faults)).unwrap();
    assert_eq!(answer.0, 200);
}

/// Sends raw bytes and returns everything received.
fn raw(address: &str, sent: &[u8]) -> String {
    raw_then(address, sent, false)
}

/// Like `raw`; optionally closes the sending side at once, as a caller that disconnects half-way does.
fn raw_then(address: &str, sent: &[u8], half_closes: bool) -> String {
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let _ = stream.write_all(sent);
    if half_closes {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

fn post(fleet: &Fleet, body: &Value) -> (u16, Value) {
    let request = web::prelude::OutgoingRequest::with_json(Method::POST, "/v1/completions", body)
        .header("authorization", format!("Bearer {}", fleet.tenants[0].1));
    fleet.send_request(&fleet.router_address(0), request).unwrap()
}

#[test]
fn an_answer_that_is_not_the_engines_own_or_not_whole_never_passes() {
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    engine_faults(&fleet, 0, json!({"wrong_shot": true}));
    for stream in [true, false] {
        let body = json!({"model": "model", "prompt": "foreign", "max_tokens": 4, "stream": stream});
        let (status, answer) = post(&fleet, &body);
        assert_eq!((status, answer["error"]["type"].as_str()), (502, Some("unknown")), "{answer}");
    }
    engine_faults(&fleet, 0, json!({"cut_after": 2}));
    let body = json!({"model": "model", "prompt": "cut", "max_tokens": 6, "stream": true}).to_string();
    let sent = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        fleet.tenants[0].1,
        body.len()
    );
    let mut stream = std::net::TcpStream::connect(fleet.router_address(0)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(sent.as_bytes()).unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received).into_owned();
    assert_eq!(received.matches("text_completion").count(), 2, "{received}");
    assert!(received.contains("event: error") && !received.contains("[DONE]"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "a cut stream must not end cleanly");
    engine_faults(&fleet, 0, json!({}));
    assert_eq!(fleet.complete(0, 0, "well again").unwrap().0, 200);
}

#[test]
fn a_lost_engine_is_told_apart_from_one_that_may_have_run() {
    let mut fleet = Fleet::start(FleetPlan { nodes: 1, engines: 2, ..FleetPlan::small() }).unwrap();
    engine_faults(&fleet, 0, json!({"refuse": true}));
    engine_faults(&fleet, 1, json!({"refuse": true}));
    let unrepeatable = post(&fleet, &json!({"model": "model", "prompt": "once", "max_tokens": 1}));
    assert_eq!((unrepeatable.0, unrepeatable.1["error"]["type"].as_str()), (502, Some("unknown")));
    engine_faults(&fleet, 0, json!({}));
    engine_faults(&fleet, 1, json!({}));
    fleet.engines[0].process = None;
    fleet.engines[1].process = None;
    let nobody = post(&fleet, &json!({"model": "model", "prompt": "nobody", "max_tokens": 1}));
    assert_eq!((nobody.0, nobody.1["error"]["type"].as_str()), (503, Some("not_run")), "{}", nobody.1);
    fleet.start_engine(1, 1).unwrap();
    let served = wait_until(Duration::from_secs(20), || {
        fleet.complete(0, 0, "one is back").is_ok_and(|answer| answer.0 == 200)
    });
    assert!(served);
    assert_eq!(check_record(&fleet.record(&[])), []);
}

#[test]
fn an_engine_listed_away_gets_nothing_and_new_weights_go_round() {
    let fleet = Fleet::start(FleetPlan { engines: 4, ..FleetPlan::small() }).unwrap();
    let (calling, calls) = fleet.start_caller("day", 14, 30, 3).unwrap();
    fleet.list_engine(0, "leaving").unwrap();
    fleet.list_engine(1, "gone").unwrap();
    fleet.patch_document(&json!({"models": {"model": {"weights": 2}}})).unwrap();
    fleet.record_event(EventLine::WeightsAcked { at: boot_millis(), weights: 2 });
    let moved = wait_until(Duration::from_secs(30), || {
        fleet.sample_routers();
        fleet.fleet_page().is_ok_and(|page| {
            let engines = page["engines"].as_array().cloned().unwrap_or_default();
            let open_engines: Vec<&Value> = engines.iter().filter(|engine| engine["listed"] == "open").collect();
            open_engines.len() == 2
                && open_engines.iter().all(|engine| engine["weights"] == 2 && engine["closed"] == false)
        })
    });
    assert!(moved, "{:?}", fleet.fleet_page());
    calling.join().unwrap().unwrap();
    let report = DayReport::from_record(&fleet.record(&[calls]));
    assert_eq!(report.violations, [], "{}", report.text());
    assert!(report.outcomes["whole"] > 200, "{}", report.text());
}

#[test]
fn invalid_requests_are_refused_and_the_router_keeps_serving() {
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    let refused_bodies = [
        (json!({"model": "model", "prompt": "x", "surprise": 1}), 400),
        (json!({"model": "other", "prompt": "x"}), 404),
        (json!({"model": "model"}), 400),
        (json!({"model": "model", "prompt": ""}), 400),
        (json!({"model": "model", "prompt": "x", "messages": [{"role": "user", "content": "y"}]}), 400),
        (json!({"model": "model", "prompt": "x", "max_tokens": 0}), 400),
        (json!({"model": "model", "prompt": "x", "max_tokens": 1_000_000}), 400),
        (json!({"model": "model", "prompt": "x", "limit_ms": 20_000}), 400),
        (json!({"model": "model", "prompt": "x", "kind": "unheard of"}), 400),
        (json!({"model": "model", "prompt": "x", "n": 2}), 400),
        (json!([1, 2]), 400),
    ];
    for (body, expected_status) in refused_bodies {
        let (status, answer) = post(&fleet, &body);
        assert_eq!(status, expected_status, "{body}: {answer}");
        assert!(!answer["error"]["message"].as_str().unwrap_or("").is_empty());
    }
    let address = fleet.router_address(0);
    let key = &fleet.tenants[0].1;
    let head = |length: usize| {
        format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n"
        )
    };
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(raw(&address, format!("{}{deep}", head(deep.len())).as_bytes()).starts_with("HTTP/1.1 400"));
    let mut not_text = head(4).into_bytes();
    not_text.extend([0xff, 0xfe, b'{', b'}']);
    assert!(raw(&address, &not_text).starts_with("HTTP/1.1 400"));
    let large = "x".repeat(5 << 20);
    assert!(raw(&address, format!("{}{large}", head(large.len())).as_bytes()).contains("413"));
    let flood: String = (0..300).map(|number| format!("x-{number}: {}\r\n", "y".repeat(500))).collect();
    let answer =
        raw(&address, format!("GET /live HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{flood}\r\n").as_bytes());
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431") || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
    raw_then(&address, head(1000).as_bytes(), true);
    raw_then(&address, b"\x16\x03\x01 nonsense\r\n\r\n", true);
    assert!(
        raw(&fleet.keepers[0].address, b"GET / HTTP/1.1\r\n\r\n").len() < 400,
        "an internal link sends its hello message and nothing else"
    );
    raw_then(&fleet.keepers[0].address, &[0xff; 64], true);
    assert_eq!(fleet.complete(0, 0, "still serving").unwrap().0, 200);
    let log = std::fs::read_to_string(fleet.folder.join("router0.log")).unwrap();
    assert!(!log.contains(key.as_str()), "no key is logged");
    assert!(!log.contains("still serving"), "no prompt is logged");
}

#[test]
fn a_departed_caller_frees_the_engine_and_a_stopping_router_drains() {
    let slow = vec!["--prefill-us=0".to_owned(), "--decode-us=40000".to_owned()];
    let mut fleet =
        Fleet::start(FleetPlan { nodes: 1, engines: 1, engine_flags: slow, ..FleetPlan::small() }).unwrap();
    let running =
        |fleet: &Fleet| fleet.metric(&fleet.engines[0].address, "vllm:num_requests_running{model_name=\"model\"}");
    let address = fleet.router_address(0);
    let begin = |tokens: u64| {
        let body = json!({"model": "model", "prompt": "long", "max_tokens": tokens, "stream": true}).to_string();
        let sent = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
            fleet.tenants[0].1,
            body.len()
        );
        let mut stream = std::net::TcpStream::connect(&address).unwrap();
        stream.write_all(sent.as_bytes()).unwrap();
        let mut first_bytes = [0u8; 64];
        stream.read_exact(&mut first_bytes).unwrap();
        stream
    };
    let abandoned = begin(150);
    assert_eq!(running(&fleet), Some(1));
    drop(abandoned);
    assert!(wait_until(Duration::from_secs(5), || running(&fleet) == Some(0)), "the attempt was cancelled");
    let mut remaining = begin(30);
    fleet.nodes[0].router.as_ref().unwrap().terminate();
    let refused =
        wait_until(Duration::from_secs(5), || fleet.complete(0, 0, "too late").is_ok_and(|answer| answer.0 == 503));
    assert!(refused);
    let mut rest = String::new();
    remaining.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    remaining.read_to_string(&mut rest).ok();
    assert!(rest.contains("[DONE]"), "the running stream was allowed to finish: {rest}");
    let code = fleet.nodes[0].router.as_mut().unwrap().wait_for_exit(Duration::from_secs(20));
    assert_eq!(code, Some(0));
}

#[test]
fn a_resumed_router_starts_nothing_on_stale_state() {
    let fleet = Fleet::start(FleetPlan::small()).unwrap();
    let frozen = fleet.nodes[0].router.as_ref().unwrap();
    let frozen_agent = fleet.nodes[0].agent.as_ref().unwrap();
    frozen.freeze();
    frozen_agent.freeze();
    let withdrawn = fleet.operator_request(Method::DELETE, "/v1/tenants/tenant3/keys/main", None, None).unwrap();
    assert_eq!(withdrawn.0, 200, "acknowledged once the frozen node's lease has run out: {}", withdrawn.1);
    frozen.resume();
    let (status, answer) = fleet.complete(0, 3, "with a withdrawn key").unwrap();
    assert!(status == 503 || status == 401, "{status} {answer}");
    frozen_agent.resume();
    let back = wait_until(Duration::from_secs(20), || {
        fleet.complete(0, 2, "another key").is_ok_and(|answer| answer.0 == 200)
    });
    assert!(back);
    assert_eq!(fleet.complete(0, 3, "with a withdrawn key").unwrap().0, 401);
}

#[test]
fn routers_fall_back_to_history_when_events_are_hidden() {
    let fleet = Fleet::start(FleetPlan { nodes: 1, ..FleetPlan::small() }).unwrap();
    for engine in 0..3 {
        engine_faults(&fleet, engine, json!({"hide_events": true}));
    }
    let prompt = "a long shared score ".repeat(60);
    let by_history = wait_until(Duration::from_secs(20), || {
        assert_eq!(fleet.complete(0, 0, &prompt).unwrap().0, 200);
        fleet.metric(&fleet.router_address(0), "haremount_router_history_picks_total").unwrap_or(0) > 2
    });
    assert!(by_history, "late events must be noticed");
    let reused_before = fleet.metric(&fleet.router_address(0), "haremount_router_reused_blocks_total").unwrap();
    assert_eq!(fleet.complete(0, 0, &prompt).unwrap().0, 200);
    let reused_after = fleet.metric(&fleet.router_address(0), "haremount_router_reused_blocks_total").unwrap();
    assert!(reused_after > reused_before, "history finds the engine that keeps the prefix");
}

#[test]
fn shares_limits_and_the_retry_budget_hold() {
    let slow = vec!["--prefill-us=0".to_owned(), "--decode-us=30000".to_owned()];
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 2, engine_flags: slow, ..FleetPlan::small() }).unwrap();
    fleet.patch_document(&json!({"tenants": {"tenant4": {"share": 1}}})).unwrap();
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let asking: Vec<_> = (0..4)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.complete(0, 4, &format!("at once {number}")).unwrap().0)
            })
            .collect();
        asking.into_iter().map(|asked| asked.join().unwrap()).collect()
    });
    assert!(statuses.contains(&200) && statuses.contains(&429), "{statuses:?}");
    assert_eq!(fleet.complete(0, 4, "one after the other").unwrap().0, 200);

    let late = post(&fleet, &json!({"model": "model", "prompt": "late", "max_tokens": 100, "limit_ms": 1500}));
    assert_eq!((late.0, late.1["error"]["type"].as_str()), (504, Some("unknown")), "{}", late.1);

    engine_faults(&fleet, 0, json!({"refuse": true}));
    engine_faults(&fleet, 1, json!({"refuse": true}));
    let count =
        |name: &str| fleet.metric(&fleet.router_address(0), &format!("haremount_router_{name}_total")).unwrap();
    let (attempts_before, retries_before) = (count("shots"), count("retries"));
    for number in 0..60 {
        let body =
            json!({"model": "model", "prompt": format!("again {number}"), "max_tokens": 1, "repeatable": true});
        let (status, answer) = post(&fleet, &body);
        assert_eq!((status, answer["error"]["type"].as_str()), (502, Some("unknown")), "{answer}");
    }
    let retries = count("retries") - retries_before;
    let firsts = count("shots") - attempts_before - retries;
    assert_eq!(firsts, 60);
    assert!(
        (1..=8).contains(&retries),
        "{retries} retries for 60 first attempts; the budget allows a tenth and two in reserve"
    );
}

#[test]
fn a_caller_that_sends_its_body_too_slowly_gets_408() {
    let fleet = Fleet::start(FleetPlan { nodes: 1, engines: 1, ..FleetPlan::small() }).unwrap();
    let sent = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {}\r\n\
         content-length: 1000\r\n\r\n{{\"model\"",
        fleet.tenants[0].1
    );
    let answer = raw(&fleet.router_address(0), sent.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "a body that does not come is not waited for: {answer}");
    assert!(answer.contains("x-haremount-outcome: not_run"), "{answer}");
    assert_eq!(fleet.complete(0, 0, "the next one").unwrap().0, 200);
}
