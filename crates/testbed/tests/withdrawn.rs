//! Keys withdrawn from callers whose streams are under way: the work ends too, on a router that hears
//! of it and on one that cannot.

use std::io::{BufRead, BufReader, Write};
use std::sync::mpsc::Receiver;
use testbed::prelude::*;

/// The longest that a request may take, by the product's own bound.
const LONGEST_LIMIT_MS: u64 = 10_000;
/// Each piece of a long answer, as long as no test has the engines hasten.
const SLOW_PIECE_MS: u64 = 60;
/// Pieces of a long answer: at the slow pace nearly as many as the limit has room for, so that no stream ends by
/// itself before a test has done what it does.
const LONG_ANSWER_PIECES: u64 = 160;
/// Longer than an engine may work on a shot without hearing from its router again: a whole lease, the grace after
/// it and the engine's slack.
const LONGEST_ALLOWANCE_MS: u64 = 2000 + 4000 + 300;
const PIECE_CAP: Duration = Duration::from_secs(20);
const SETTING_UP_CAP: Duration = Duration::from_secs(60);

/// A caller that streams a long answer, and what it saw.
struct LongCaller {
    reading: std::thread::JoinHandle<(CallerLine, String)>,
    pieces: Receiver<u64>,
}

impl LongCaller {
    /// Returns once the first piece has come; comes back as long as it is refused before one, as a router does
    /// that could not renew its lease on a starved machine.
    fn begin(fleet: &Fleet, router: usize, tenant: usize, headers: &str) -> LongCaller {
        let mut begun = None;
        let has_begun = wait_until(SETTING_UP_CAP, || {
            let caller = LongCaller::ask(fleet, router, tenant, headers);
            if caller.pieces.recv_timeout(PIECE_CAP).is_ok() {
                begun = Some(caller);
            } else {
                let (_, text) = caller.end();
                assert!(
                    text.starts_with("HTTP/1.1 503") && text.contains("not_run"),
                    "no promise not to run: {text}"
                );
            }
            begun.is_some()
        });
        assert!(has_begun, "no stream begins");
        begun.unwrap()
    }

    fn ask(fleet: &Fleet, router: usize, tenant: usize, headers: &str) -> LongCaller {
        let body = json!({"model": "model", "prompt": format!("long {router} {tenant}"),
            "max_tokens": LONG_ANSWER_PIECES, "stream": true, "limit_ms": LONGEST_LIMIT_MS})
        .to_string();
        let key = fleet.tenants[tenant].1.clone();
        let mut stream = std::net::TcpStream::connect(fleet.router_address(router)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
        let length = body.len();
        let sent = format!("{head}authorization: Bearer {key}\r\n{headers}content-length: {length}\r\n\r\n{body}");
        stream.write_all(sent.as_bytes()).unwrap();
        let (told, pieces) = std::sync::mpsc::channel();
        let tenant_name = fleet.tenants[tenant].0.clone();
        let reading = std::thread::spawn(move || {
            let mut line = CallerLine { tenant: tenant_name, key, streams: true, ..CallerLine::default() };
            let mut received = String::new();
            for text in BufReader::new(stream).lines().map_while(Result::ok) {
                if let Some(run) = text.strip_prefix("x-haremount-run: ") {
                    line.run = run.trim().to_owned();
                }
                if text.contains("text_completion") {
                    line.pieces += 1;
                    line.last_at = boot_millis();
                    let _ = told.send(line.last_at);
                }
                received.push_str(&text);
                received.push('\n');
            }
            line.ended = boot_millis();
            (line, received)
        });
        LongCaller { reading, pieces }
    }

    /// Waits for a piece that comes after a moment of the boot-time clock, in milliseconds.
    fn await_piece_after(&self, moment: u64) {
        while self.pieces.recv_timeout(PIECE_CAP).expect("a further piece") <= moment {}
    }

    fn end(self) -> (CallerLine, String) {
        self.reading.join().unwrap()
    }
}

fn slow_fleet() -> Fleet {
    let slow = vec!["--prefill-us=0".to_owned(), format!("--decode-us={}", SLOW_PIECE_MS * 1000)];
    Fleet::start(FleetPlan { engine_flags: slow, ..FleetPlan::small() }).unwrap()
}

/// How many shots the engines have ended, by their own record; nobody else is asked, who might be frozen.
fn ended_shots(fleet: &Fleet) -> usize {
    fleet.engine_lines().iter().filter(|line| matches!(line, EngineLogLine::End { .. })).count()
}

/// What the engines still work on ends as soon as they can.
fn hasten_engines(fleet: &Fleet) {
    for engine in &fleet.engines {
        let hastened = json!({"decode_us": 0});
        let (status, _) = fleet.request(&engine.address, Method::POST, "/v1/faults", Some(&hastened)).unwrap();
        assert_eq!(status, 200);
    }
}

/// Withdraws a tenant's key; the moment of the acknowledgement. An operator who is told that it is not known to be
/// in force asks again.
fn withdraw(fleet: &Fleet, tenant: usize) -> u64 {
    let (name, key) = fleet.tenants[tenant].clone();
    let page = format!("/v1/tenants/{name}/keys/main");
    let (mut status, mut told) = fleet.operator_request(Method::DELETE, &page, None, None).unwrap();
    let request = told["request"].as_str().unwrap_or_default().to_owned();
    let is_known = wait_until(SETTING_UP_CAP, || {
        if status == 504 {
            let page = format!("/v1/requests/{request}");
            (status, told) = fleet.operator_request(Method::GET, &page, None, None).unwrap();
        }
        status != 504
    });
    assert!(is_known && status == 200, "{told}");
    let at = boot_millis();
    fleet.record_event(EventLine::KeyWithdrawn { at, key });
    at
}

#[test]
fn a_withdrawn_key_ends_its_running_streams_at_once() {
    let fleet = slow_fleet();
    let callers = [
        LongCaller::begin(&fleet, 0, 3, ""),
        LongCaller::begin(&fleet, 1, 3, "x-haremount-resume: true\r\n"),
        LongCaller::begin(&fleet, 1, 4, ""),
    ];
    let at = withdraw(&fleet, 3);
    let [first_caller, held_caller, other_caller] = callers;
    let ((first, first_text), (held, held_text)) = (first_caller.end(), held_caller.end());
    hasten_engines(&fleet);
    let (other, other_text) = other_caller.end();
    assert!(other_text.contains("[DONE]"), "another tenant's stream goes on: {other_text}");
    assert_eq!(other.pieces, LONG_ANSWER_PIECES);
    assert!(other.last_at >= at.max(first.ended).max(held.ended), "it was under way when the others ended");
    for (line, text) in [(&first, &first_text), (&held, &held_text)] {
        assert!(text.contains("event: error") && text.contains("key_withdrawn"), "{text}");
        assert!(line.last_at < at + 1000, "{} ms after the acknowledgement", line.last_at - at);
    }
    let (status, _) = fleet
        .send_request(
            &fleet.router_address(0),
            web::prelude::OutgoingRequest::get(&format!("/v1/runs/{}", held.run))
                .header("authorization", format!("Bearer {}", fleet.tenants[3].1)),
        )
        .unwrap();
    assert_eq!(status, 401, "what is held is not for a withdrawn key");
    let all_ended = wait_until(Duration::from_secs(10), || fleet.record(&[]).ends().len() == 3);
    assert!(all_ended, "the engines' work ends with the streams");
    let mut record = fleet.record(&[]);
    record.callers = vec![first, held, other];
    assert_eq!(check_record(&record), []);
}

#[test]
fn a_router_that_cannot_hear_of_withdrawn_keys_ends_its_streams_within_the_limit() {
    let fleet = slow_fleet();
    let caller = LongCaller::begin(&fleet, 0, 3, "");
    fleet.nodes[0].agent.as_ref().unwrap().freeze();
    withdraw(&fleet, 3);
    let (line, text) = caller.end();
    fleet.nodes[0].agent.as_ref().unwrap().resume();
    assert!(text.contains("event: error") && text.contains("no_lease"), "{text}");
    let ended = wait_until(Duration::from_secs(10), || fleet.record(&[]).ends().len() == 1);
    assert!(ended);
    let mut record = fleet.record(&[]);
    record.callers = vec![line];
    assert_eq!(check_record(&record), []);
}

#[test]
fn the_engines_of_a_frozen_router_end_its_work_by_themselves() {
    let fleet = slow_fleet();
    let other_began = boot_millis();
    let other = LongCaller::begin(&fleet, 1, 4, "");
    let caller = LongCaller::begin(&fleet, 0, 3, "");
    let frozen_router = fleet.nodes[0].router.as_ref().unwrap();
    let frozen_agent = fleet.nodes[0].agent.as_ref().unwrap();
    frozen_router.freeze();
    frozen_agent.freeze();
    withdraw(&fleet, 3);
    let ended = wait_until(Duration::from_secs(20), || ended_shots(&fleet) == 1);
    assert!(ended, "nobody but the engine itself can have ended it");
    other.await_piece_after(other_began + LONGEST_ALLOWANCE_MS);
    hasten_engines(&fleet);
    let (other_line, other_text) = other.end();
    assert!(other_text.contains("[DONE]"), "a router that lives is allowed time on and on: {other_text}");
    assert_eq!(other_line.pieces, LONG_ANSWER_PIECES);
    assert!(other_line.last_at > other_began + LONGEST_ALLOWANCE_MS, "no single allowance is so long");
    let all_ended = wait_until(Duration::from_secs(10), || ended_shots(&fleet) == 2);
    assert!(all_ended);
    frozen_router.resume();
    frozen_agent.resume();
    let (line, text) = caller.end();
    assert!(text.contains("event: error"), "{text}");
    let mut record = fleet.record(&[]);
    record.callers = vec![line, other_line];
    assert_eq!(check_record(&record), []);
}
