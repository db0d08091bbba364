//! Engines and the platform's list of them, as PROTOCOL.md describes them: a sound engine that runs what it is sent,
//! keeps prompt parts under the salt that it is given, and answers reports, orders and event calls.

use crate::http::{self, Message};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    /// `X-Haremount-Tenant` as received; `None` without the header.
    pub tenant: Option<String>,
    /// The prompt parts that were found kept, each with the tenant whose request produced it.
    pub found: Vec<(String, String)>,
}

#[derive(Default)]
struct State {
    version: u64,
    call_seq: u64,
    highest_fence: u64,
    runs: Vec<Run>,
    /// The tenant whose request produced a part, by salt and part.
    kept: BTreeMap<(String, String), (String, u64)>,
    events: Vec<(u64, String, String, u64)>,
}

/// What an engine is.
pub struct EnginePlan {
    pub id: &'static str,
    pub service: &'static str,
    /// Empty for an engine without models.
    pub model: &'static str,
    pub slots: u64,
}

/// An engine; it serves until the process ends.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    /// Empty for an engine without models.
    pub model: String,
    pub slots: u64,
    pause: Arc<Mutex<Duration>>,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    pub fn start(plan: &EnginePlan, ip: Ipv4Addr, record: &Record) -> std::io::Result<Engine> {
        let listener = TcpListener::bind((ip, 0))?;
        let engine = Engine {
            id: plan.id.to_owned(),
            address: listener.local_addr()?,
            service: plan.service.to_owned(),
            model: plan.model.to_owned(),
            slots: plan.slots,
            pause: Arc::default(),
            state: Arc::new(Mutex::new(State { version: 1, ..State::default() })),
            record: record.clone(),
        };
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Everything that was run.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The pause after the first event of each stream from now on.
    pub fn set_pause(&self, pause: Duration) {
        *self.pause.lock().expect("no holder of this lock panics") = pause;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writing) = stream.try_clone() else { return };
        let mut writer = writing;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request);
            if self.answer(&request, &mut writer).is_none() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let target = request.target().to_owned();
        let json =
            |body: String| http::encode("HTTP/1.1 200 OK", &[("Content-Type", "application/json".into())], &body);
        if target.starts_with("/v1/kv-events") {
            let since = target.split("since=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            let wait = request.header("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            return writer.write_all(&json(self.events_since(since, Duration::from_millis(wait)))).ok();
        }
        match target.as_str() {
            "/health" => {
                let headers = [("X-Haremount-Engine-Id", self.id.clone())];
                writer.write_all(&http::encode("HTTP/1.1 200 OK", &headers, "")).ok()
            }
            "/v1/report" => writer.write_all(&json(self.report())).ok(),
            "/v1/kv-list" => writer.write_all(&json(self.kept_list())).ok(),
            "/v1/order" => {
                let status = self.take_order(&request.text());
                writer.write_all(&http::encode(&format!("HTTP/1.1 {status} Order"), &[], "")).ok()
            }
            _ => self.run(request, writer),
        }
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let attempt = request.header("x-haremount-attempt-id").unwrap_or_default().to_owned();
        let is_expected = request.header("x-haremount-expect-engine").is_none_or(|engine| engine == self.id);
        let version = self.state().version;
        let expected_version = request.header("x-haremount-expect-version").and_then(|text| text.parse::<u64>().ok());
        if attempt.is_empty() || !is_expected || expected_version.is_some_and(|expected| expected != version) {
            let (status, attempt) = if attempt.is_empty() { (400, "".into()) } else { (421, attempt) };
            let headers = [("X-Haremount-Not-Executed", "1".into()), ("X-Haremount-Attempt-Id", attempt)];
            return writer.write_all(&http::encode(&format!("HTTP/1.1 {status} Refused"), &headers, "")).ok();
        }
        if !self.read_prompt(request, writer) {
            self.record.note(format!("engine {} drops {attempt}: its caller left before the first token", self.id));
            return None;
        }
        self.note_run(request, &attempt, version);
        let headers = [
            ("Content-Type", "text/event-stream".to_owned()),
            ("X-Haremount-Attempt-Id", attempt.clone()),
            ("X-Haremount-Server-Seal", format!("{}.{attempt}", self.id)),
            ("X-Haremount-Weight-Versions", version.to_string()),
        ];
        if !request.target().contains("/stream/") {
            return writer.write_all(&http::encode("HTTP/1.1 200 OK", &headers, "whole body\n")).ok();
        }
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in &headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        writer.write_all(format!("{head}\r\n").as_bytes()).ok()?;
        for number in 1..=STREAM_EVENTS {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                self.record.note(format!("engine {} attempt {attempt}: its caller left", self.id));
                return None;
            }
            let pause = *self.pause.lock().expect("no holder of this lock panics");
            std::thread::sleep(if number == 1 { pause.max(EVENT_INTERVAL) } else { EVENT_INTERVAL });
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }

    /// Takes the time to read the parts of the prompt that are not kept; false if the caller leaves meanwhile.
    fn read_prompt(&self, request: &Message, stream: &TcpStream) -> bool {
        let salt = request.header("x-haremount-cache-salt").unwrap_or_default();
        let mut unread = 0;
        for part in request.header("x-haremount-prompt-prefix").unwrap_or_default().split(',') {
            let Some((id, tokens)) = part.trim().split_once(':') else { continue };
            let is_kept = self.state().kept.contains_key(&(salt.to_owned(), id.to_owned()));
            unread += if is_kept && unread == 0 { 0 } else { tokens.parse::<u64>().unwrap_or(0) };
        }
        let until = Instant::now() + Duration::from_millis(unread / TOKENS_PER_MS);
        while Instant::now() < until {
            if has_left(stream) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        !has_left(stream)
    }

    /// Records the run, and the prompt parts that it finds kept and produces. A part is found only if every part
    /// before it is.
    fn note_run(&self, request: &Message, attempt: &str, version: u64) {
        let tenant = request.header("x-haremount-tenant").map(str::to_owned);
        let salt = request.header("x-haremount-cache-salt").unwrap_or_default().to_owned();
        let producer = tenant.clone().unwrap_or_default();
        let mut state = self.state();
        let mut found = Vec::new();
        let mut is_prefix_kept = true;
        for part in request.header("x-haremount-prompt-prefix").unwrap_or_default().split(',') {
            let Some((id, tokens)) = part.trim().split_once(':') else { continue };
            let key = (salt.clone(), id.to_owned());
            let tokens: u64 = tokens.parse().unwrap_or(0);
            match state.kept.get(&key).cloned() {
                Some((maker, _)) if is_prefix_kept => found.push((id.to_owned(), maker)),
                Some(_) => {}
                None => {
                    is_prefix_kept = false;
                    state.kept.insert(key, (producer.clone(), tokens));
                    let number = state.events.len() as u64 + 1;
                    state.events.push((number, salt.clone(), id.to_owned(), tokens));
                }
            }
        }
        self.record.note(format!(
            "engine {} runs {attempt} on {}: tenant {tenant:?} salt {salt:?} weights {version} found {found:?}",
            self.id,
            request.target()
        ));
        state.runs.push(Run { at: Instant::now(), attempt: attempt.to_owned(), tenant, found });
    }

    fn events_since(&self, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        while (self.state().events.len() as u64) < since.max(1) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        let state = self.state();
        let events: Vec<String> = state
            .events
            .iter()
            .filter(|(number, ..)| *number >= since)
            .map(|(number, salt, id, tokens)| format!(r#"[{number},"+","{salt}","{id}",{tokens},"{}"]"#, self.model))
            .collect();
        let next = state.events.len() + 1;
        format!(r#"{{"epoch":1,"next_token":{next},"lost":false,"event_log":[{}]}}"#, events.join(","))
    }

    fn kept_list(&self) -> String {
        let state = self.state();
        let parts = state
            .kept
            .iter()
            .map(|((salt, id), (_, tokens))| format!(r#"["{salt}","{id}",{tokens},"{}"]"#, self.model));
        let parts: Vec<String> = parts.collect();
        let next = state.events.len() + 1;
        format!(r#"{{"epoch":1,"next_token":{next},"retained":[{}]}}"#, parts.join(","))
    }

    fn models(&self) -> String {
        if self.model.is_empty() {
            return "[]".to_owned();
        }
        let version = self.state().version;
        format!(r#"[{{"name":"{}","revision":{version},"adapter_ids":[]}}]"#, self.model)
    }

    fn report(&self) -> String {
        let (models, call_seq) = (self.models(), self.state().call_seq);
        format!(
            r#"{{"stage":"unified","model_ids":{models},"saturated":false,"call_seq":{call_seq},"queued":0,"in_flight":0,"cache_used":0,"cache_capacity":239003,"handles":0}}"#
        )
    }

    fn take_order(&self, body: &str) -> u16 {
        let number = |name: &str| {
            let text = body.split(&format!("\"{name}\":")).nth(1)?;
            text.trim_start().split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (Some(fence), Some(revision)) = (number("fence_token"), number("revision")) else { return 400 };
        let mut state = self.state();
        if fence < state.highest_fence {
            return 412;
        }
        state.highest_fence = fence;
        if revision <= state.version {
            return 200;
        }
        state.call_seq += 1;
        state.version = revision;
        state.kept.clear();
        202
    }

    /// The engine's entry in the platform's list.
    fn entry(&self) -> String {
        let (models, address) = (self.models(), self.address);
        format!(
            r#"{{"backend":"{}","address":"{address}","zone":"hala-a","revision":"v1","slots":{},"phase":"ready","cold_left_ms":0,"stage":"unified","model_ids":{models},"id":"{}"}}"#,
            self.service, self.slots, self.id
        )
    }
}

/// Whether the peer of a connection on which nothing is due has closed it.
fn has_left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0; 1]);
    let is_open = peeked.is_err_and(|fault| fault.kind() == std::io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_err() || !is_open
}

/// How fast engines read prompts, as in the small site ppnc-nuty.
const TOKENS_PER_MS: u64 = 112;

/// The events of each stream, and the time between two.
pub const STREAM_EVENTS: u64 = 5;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Serves the platform's list of these engines; returns its address.
pub fn start_directory(ip: Ipv4Addr, engines: Vec<Engine>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let engines = engines.clone();
            std::thread::spawn(move || {
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = BufReader::new(reading);
                while let Some(mut request) = http::read_head(&mut reader) {
                    http::read_body(&mut reader, &mut request);
                    let entries: Vec<String> = engines.iter().map(Engine::entry).collect();
                    let body = format!(r#"{{"engines":[{}],"next_token":null}}"#, entries.join(","));
                    let headers = [("Content-Type", "application/json".to_owned())];
                    if stream.write_all(&http::encode("HTTP/1.1 200 OK", &headers, &body)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
