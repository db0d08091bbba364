//! Keys withdrawn from callers whose streams are under way: the work ends too, on a router that hears
//! of it and on one that cannot.

use std::io::{BufRead, BufReader, Write};
use testbed::prelude::*;

/// A caller that streams a long answer, and what it saw.
struct LongCaller {
    reading: std::thread::JoinHandle<(CallerLine, String)>,
}

impl LongCaller {
    /// Returns once the first piece has come.
    fn begin(fleet: &Fleet, router: usize, tenant: usize, headers: &str) -> LongCaller {
        let body = json!({"model": "model", "prompt": format!("long {router} {tenant}"), "max_tokens": 160,
            "stream": true, "limit_ms": 10_000})
        .to_string();
        let key = fleet.tenants[tenant].1.clone();
        let mut stream = std::net::TcpStream::connect(fleet.router_address(router)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
        let length = body.len();
        let sent = format!("{head}authorization: Bearer {key}\r\n{headers}content-length: {length}\r\n\r\n{body}");
        stream.write_all(sent.as_bytes()).unwrap();
        let (begun, first_piece) = std::sync::mpsc::channel();
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
                    let _ = begun.send(());
                }
                received.push_str(&text);
                received.push('\n');
            }
            line.ended = boot_millis();
            (line, received)
        });
        first_piece.recv_timeout(Duration::from_secs(20)).expect("a first piece");
        LongCaller { reading }
    }

    fn end(self) -> (CallerLine, String) {
        self.reading.join().unwrap()
    }
}

fn slow_fleet() -> Fleet {
    let slow = vec!["--prefill-us=0".to_owned(), "--decode-us=60000".to_owned()];
    Fleet::start(FleetPlan { engine_flags: slow, ..FleetPlan::small() }).unwrap()
}

fn withdraw(fleet: &Fleet, tenant: usize) -> u64 {
    let (name, key) = fleet.tenants[tenant].clone();
    let (status, told) = fleet.operate(Method::DELETE, &format!("/v1/tenants/{name}/keys/main"), None, None).unwrap();
    assert_eq!(status, 200, "{told}");
    let at = boot_millis();
    fleet.note(WorldLine::KeyWithdrawn { at, key });
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
    let [(first, first_text), (held, held_text), (other, other_text)] = callers.map(LongCaller::end);
    assert!(other_text.contains("[DONE]"), "another tenant's stream goes on: {other_text}");
    for (line, text) in [(&first, &first_text), (&held, &held_text)] {
        assert!(text.contains("event: error") && text.contains("key_withdrawn"), "{text}");
        assert!(line.last_at < at + 1000, "{} ms after the acknowledgement", line.last_at - at);
    }
    let (status, _) = fleet
        .ask_question(
            &fleet.router_address(0),
            web::prelude::Question::get(&format!("/v1/runs/{}", held.run))
                .header("authorization", format!("Bearer {}", fleet.tenants[3].1)),
        )
        .unwrap();
    assert_eq!(status, 401, "what is held is not for a withdrawn key");
    let all_ended = wait_until(Duration::from_secs(10), || fleet.record(&[]).ends().len() == 3);
    assert!(all_ended, "the engines' work ends with the streams");
    let mut record = fleet.record(&[]);
    record.callers = vec![first, held, other];
    assert_eq!(judge(&record), []);
}

#[test]
fn a_router_that_cannot_hear_of_withdrawn_keys_ends_its_streams_within_the_limit() {
    let fleet = slow_fleet();
    let caller = LongCaller::begin(&fleet, 0, 3, "");
    fleet.nodes[0].agent.as_ref().unwrap().freeze();
    withdraw(&fleet, 3);
    let (line, text) = caller.end();
    fleet.nodes[0].agent.as_ref().unwrap().wake();
    assert!(text.contains("event: error") && text.contains("no_lease"), "{text}");
    let ended = wait_until(Duration::from_secs(10), || fleet.record(&[]).ends().len() == 1);
    assert!(ended);
    let mut record = fleet.record(&[]);
    record.callers = vec![line];
    assert_eq!(judge(&record), []);
}

#[test]
fn the_engines_of_a_frozen_router_end_its_work_by_themselves() {
    let fleet = slow_fleet();
    let caller = LongCaller::begin(&fleet, 0, 3, "");
    let other = LongCaller::begin(&fleet, 1, 4, "");
    let frozen_router = fleet.nodes[0].router.as_ref().unwrap();
    let frozen_agent = fleet.nodes[0].agent.as_ref().unwrap();
    frozen_router.freeze();
    frozen_agent.freeze();
    withdraw(&fleet, 3);
    let (other_line, other_text) = other.end();
    assert!(other_text.contains("[DONE]"), "a router that lives is allowed time on and on: {other_text}");
    let ended = wait_until(Duration::from_secs(20), || fleet.record(&[]).ends().len() == 2);
    assert!(ended, "nobody but the engine itself can have ended it");
    frozen_router.wake();
    frozen_agent.wake();
    let (line, text) = caller.end();
    assert!(text.contains("event: error"), "{text}");
    let mut record = fleet.record(&[]);
    record.callers = vec![line, other_line];
    assert_eq!(judge(&record), []);
}
