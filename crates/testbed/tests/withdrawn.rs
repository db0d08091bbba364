//! Withdrawal of keys with running streams: the work ends on routers that learn of the withdrawal and on routers that
//! cannot.

use std::io::{BufRead, BufReader, Write};
use std::sync::mpsc::Receiver;
use testbed::prelude::*;

/// The longest limit that a request may set.
const LONGEST_LIMIT_MS: u64 = 10_000;
/// Time between the pieces of a long answer until a test speeds the engines up.
const SLOW_PIECE_MS: u64 = 60;
/// Pieces of a long answer: at the slow rate nearly as many as fit in the limit, so that no stream ends by itself
/// before the test has acted.
const LONG_ANSWER_PIECES: u64 = 160;
/// Upper bound on how long an engine may work on an attempt without hearing from its router again: a full lease, the
/// grace after it and the engine's slack.
const LONGEST_ALLOWANCE_MS: u64 = 2000 + 4000 + 300;
const PIECE_TIMEOUT: Duration = Duration::from_secs(20);
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller that streams a long answer, read on a thread.
struct LongCaller {
    reading: std::thread::JoinHandle<(CallerLine, String)>,
    pieces: Receiver<u64>,
}

impl LongCaller {
    /// Returns once the first piece has arrived. Retries while the request is refused before that, which a router
    /// does if it could not renew its lease on an overloaded machine.
    fn start(fleet: &Fleet, router: usize, tenant: usize, headers: &str) -> LongCaller {
        let mut started = None;
        let has_started = wait_until(SETUP_TIMEOUT, || {
            let caller = LongCaller::send(fleet, router, tenant, headers);
            if caller.pieces.recv_timeout(PIECE_TIMEOUT).is_ok() {
                started = Some(caller);
            } else {
                let (_, text) = caller.end();
                assert!(
                    text.starts_with("HTTP/1.1 503") && text.contains("not_run"),
                    "the refusal does not say not_run: {text}"
                );
            }
            started.is_some()
        });
        assert!(has_started, "no stream starts");
        started.unwrap()
    }

    fn send(fleet: &Fleet, router: usize, tenant: usize, headers: &str) -> LongCaller {
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
        let (piece_sender, pieces) = std::sync::mpsc::channel();
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
                    let _ = piece_sender.send(line.last_at);
                }
                received.push_str(&text);
                received.push('\n');
            }
            line.ended = boot_millis();
            (line, received)
        });
        LongCaller { reading, pieces }
    }

    /// Waits for a piece that arrives after a boot-time moment in milliseconds.
    fn await_piece_after(&self, moment: u64) {
        while self.pieces.recv_timeout(PIECE_TIMEOUT).expect("a further piece") <= moment {}
    }

    fn end(self) -> (CallerLine, String) {
        self.reading.join().unwrap()
    }
}

fn slow_fleet() -> Fleet {
    let slow = vec!["--prefill-us=0".to_owned(), format!("--decode-us={}", SLOW_PIECE_MS * 1000)];
    Fleet::start(FleetPlan { engine_flags: slow, ..FleetPlan::small() }).unwrap()
}

/// Number of attempts that the engines have ended, from their own logs: other processes may be frozen.
fn ended_attempts(fleet: &Fleet) -> usize {
    fleet.engine_lines().iter().filter(|line| matches!(line, EngineLogLine::End { .. })).count()
}

/// Makes the engines produce their remaining pieces without delay.
fn speed_up_engines(fleet: &Fleet) {
    for engine in &fleet.engines {
        let faults = json!({"decode_us": 0});
        let (status, _) = fleet.request(&engine.address, Method::POST, "/v1/faults", Some(&faults)).unwrap();
        assert_eq!(status, 200);
    }
}

/// Withdraws a tenant's key and returns the time of the acknowledgement. If the response says that the change is not
/// known to be in force (504), the request is queried again.
fn withdraw(fleet: &Fleet, tenant: usize) -> u64 {
    let (name, key) = fleet.tenants[tenant].clone();
    let page = format!("/v1/tenants/{name}/keys/main");
    let (mut status, mut answer) = fleet.operator_request(Method::DELETE, &page, None, None).unwrap();
    let request = answer["request"].as_str().unwrap_or_default().to_owned();
    let is_known = wait_until(SETUP_TIMEOUT, || {
        if status == 504 {
            let page = format!("/v1/requests/{request}");
            (status, answer) = fleet.operator_request(Method::GET, &page, None, None).unwrap();
        }
        status != 504
    });
    assert!(is_known && status == 200, "{answer}");
    let at = boot_millis();
    fleet.record_event(EventLine::KeyWithdrawn { at, key });
    at
}

#[test]
fn a_withdrawn_key_ends_its_running_streams_at_once() {
    let fleet = slow_fleet();
    let callers = [
        LongCaller::start(&fleet, 0, 3, ""),
        LongCaller::start(&fleet, 1, 3, "x-haremount-resume: true\r\n"),
        LongCaller::start(&fleet, 1, 4, ""),
    ];
    let at = withdraw(&fleet, 3);
    let [first_caller, held_caller, other_caller] = callers;
    let ((first, first_text), (held, held_text)) = (first_caller.end(), held_caller.end());
    speed_up_engines(&fleet);
    let (other, other_text) = other_caller.end();
    assert!(other_text.contains("[DONE]"), "another tenant's stream goes on: {other_text}");
    assert_eq!(other.pieces, LONG_ANSWER_PIECES);
    assert!(
        other.last_at >= at.max(first.ended).max(held.ended),
        "the stream was still running when the others ended"
    );
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
    assert_eq!(status, 401, "a held run is not returned for a withdrawn key");
    let all_ended = wait_until(Duration::from_secs(10), || fleet.record(&[]).ends().len() == 3);
    assert!(all_ended, "the engines' work ends with the streams");
    let mut record = fleet.record(&[]);
    record.callers = vec![first, held, other];
    assert_eq!(check_record(&record), []);
}

#[test]
fn a_router_that_cannot_learn_of_withdrawn_keys_ends_its_streams_within_the_limit() {
    let fleet = slow_fleet();
    let caller = LongCaller::start(&fleet, 0, 3, "");
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
    let other = LongCaller::start(&fleet, 1, 4, "");
    let caller = LongCaller::start(&fleet, 0, 3, "");
    let frozen_router = fleet.nodes[0].router.as_ref().unwrap();
    let frozen_agent = fleet.nodes[0].agent.as_ref().unwrap();
    frozen_router.freeze();
    frozen_agent.freeze();
    withdraw(&fleet, 3);
    let ended = wait_until(Duration::from_secs(20), || ended_attempts(&fleet) == 1);
    assert!(ended, "only the engine itself can have ended the attempt");
    other.await_piece_after(other_began + LONGEST_ALLOWANCE_MS);
    speed_up_engines(&fleet);
    let (other_line, other_text) = other.end();
    assert!(other_text.contains("[DONE]"), "a running router keeps renewing its allowance: {other_text}");
    assert_eq!(other_line.pieces, LONG_ANSWER_PIECES);
    assert!(other_line.last_at > other_began + LONGEST_ALLOWANCE_MS, "no single allowance is so long");
    let all_ended = wait_until(Duration::from_secs(10), || ended_attempts(&fleet) == 2);
    assert!(all_ended);
    frozen_router.resume();
    frozen_agent.resume();
    let (line, text) = caller.end();
    assert!(text.contains("event: error"), "{text}");
    let mut record = fleet.record(&[]);
    record.callers = vec![line, other_line];
    assert_eq!(check_record(&record), []);
}
