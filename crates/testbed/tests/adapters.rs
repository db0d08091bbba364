//! Adapters, tested with real processes: two regions, two customers with an adapter each, a shift of the load, the
//! loss of a node and of an engine, and requests that are refused.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use testbed::prelude::*;
use units::prelude::*;
use web::prelude::{IncomingResponse, OutgoingRequest, open_stream, read_whole, small_runtime};

const QUESTION_MS: u64 = 10_000;
const ATTEMPT_MS: u64 = 3_500;
const TOKENS: u64 = 4;
/// Tenant indexes: the two customers with adapters, and one on the base model.
const ENGRAVER: usize = 0;
const CLINIC: usize = 1;
const BARE: usize = 3;
/// Routers by region: they run in zones a to d, of which a and b are the north.
const NORTH: [usize; 2] = [0, 1];
const SOUTH: [usize; 2] = [2, 3];

/// The load generator and the lines it has recorded.
struct Callers {
    routers: Vec<String>,
    tenants: Vec<(String, String)>,
    moved: AtomicBool,
    stops: AtomicBool,
    next_question: AtomicU64,
    open: AtomicU64,
    lines: Mutex<Vec<CallerLine>>,
}

/// The outcome of an attempt for its caller.
enum Attempt {
    Over,
    /// The request certainly did not run; it may be sent again.
    NotRun {
        pause_ms: u64,
    },
    /// The request may have run.
    Uncertain,
}

impl Callers {
    fn count(&self) -> usize {
        self.lines.lock().unwrap().len()
    }

    /// Sends questions at a steady rate until stopped.
    async fn play(self: Arc<Self>) {
        let mut pulse = tokio::time::interval(Duration::from_millis(40));
        for tick in 0u64.. {
            pulse.tick().await;
            if self.stops.load(Ordering::SeqCst) {
                return;
            }
            let home = if self.moved.load(Ordering::SeqCst) { SOUTH } else { NORTH };
            let mut asked = vec![(ENGRAVER, home)];
            if tick.is_multiple_of(2) {
                asked.push((CLINIC, SOUTH));
            }
            if tick.is_multiple_of(4) {
                asked.push((BARE, if tick.is_multiple_of(8) { NORTH } else { SOUTH }));
            }
            for (tenant, region) in asked {
                let number = self.next_question.fetch_add(1, Ordering::SeqCst);
                self.open.fetch_add(1, Ordering::SeqCst);
                let callers = Arc::clone(&self);
                tokio::spawn(async move {
                    callers.ask(number, tenant, region).await;
                    callers.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
    }

    /// Asks one question, and retries at the region's other router while that is safe and time is left.
    async fn ask(&self, number: u64, tenant: usize, region: [usize; 2]) {
        let asked_at = boot_millis();
        let repeatable = !number.is_multiple_of(3);
        for attempt in 0.. {
            let left = (asked_at + QUESTION_MS).saturating_sub(boot_millis());
            if left < 300 {
                return;
            }
            let router = region[(number as usize + attempt) % region.len()];
            let mut line = CallerLine {
                at: boot_millis(),
                router: format!("n{router}"),
                tenant: self.tenants[tenant].0.clone(),
                key: self.tenants[tenant].1.clone(),
                kind: if number.is_multiple_of(2) { "streamed".into() } else { "whole".into() },
                repeatable,
                streams: number.is_multiple_of(2),
                question: format!("q{number}"),
                ..CallerLine::default()
            };
            let outcome = self.attempt(&self.routers[router], number, left.min(ATTEMPT_MS), &mut line).await;
            line.ended = boot_millis();
            self.lines.lock().unwrap().push(line);
            let pause_ms = match outcome {
                Attempt::Over => return,
                Attempt::NotRun { pause_ms } => pause_ms,
                Attempt::Uncertain if repeatable => 50,
                Attempt::Uncertain => return,
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn attempt(&self, router: &str, number: u64, limit_ms: u64, line: &mut CallerLine) -> Attempt {
        let prompt = format!("{:-<640}", format!("question {number} "));
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": TOKENS, "stream": line.streams,
                          "repeatable": line.repeatable, "limit_ms": limit_ms});
        let request = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body)
            .header("authorization", format!("Bearer {}", line.key));
        line.outcome = "no_answer".into();
        let Ok(stream) = open_stream(router, Span::millis(700)).await else {
            return Attempt::NotRun { pause_ms: 10 };
        };
        let sending = stream.send(request);
        let Ok(sent) = tokio::time::timeout(Duration::from_millis(limit_ms + 1000), sending).await else {
            return Attempt::Uncertain;
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(fault) if !fault.byte_left => return Attempt::NotRun { pause_ms: 10 },
            Err(_) => return Attempt::Uncertain,
        };
        let header = |name: &str| response.header(name).unwrap_or("").to_owned();
        (line.status, line.run) = (response.status.as_u16(), header("x-haremount-run"));
        line.adapter = header("x-haremount-adapter");
        if line.status != 200 {
            line.outcome = header("x-haremount-outcome");
            let pause_ms = header("retry-after").parse().unwrap_or(1u64) * 1000;
            return if line.outcome == "not_run" { Attempt::NotRun { pause_ms } } else { Attempt::Uncertain };
        }
        let read = match line.streams {
            true => read_stream(&mut response, &prompt, line).await,
            false => read_answer(response, &prompt, line).await,
        };
        line.outcome = if read { "whole".into() } else { "cut".into() };
        if read { Attempt::Over } else { Attempt::Uncertain }
    }
}

/// Checks that a text is the output of the named adapter for this prompt and attempt.
fn check_text(text: &str, expected: &str, line: &mut CallerLine) {
    if text != expected {
        line.wrong = format!("{text:?} is not what {:?} makes", line.adapter);
    }
}

async fn read_answer(response: IncomingResponse, prompt: &str, line: &mut CallerLine) -> bool {
    let IncomingResponse { body, .. } = response;
    let Ok(body) = read_whole(body, 1 << 20, Duration::from_secs(8)).await else { return false };
    let Ok(answer) = serde_json::from_slice::<Value>(&body) else { return false };
    line.first_ms = Some(boot_millis() - line.at);
    line.attempt = answer["shot"].as_str().unwrap_or("").to_owned();
    (line.pieces, line.last_at) = (1, boot_millis());
    let piece = |place| contract::prelude::stand_in_piece_with_adapter(&line.adapter, prompt, &line.attempt, place);
    let expected: String = (0..TOKENS).map(piece).collect();
    check_text(answer["choices"][0]["text"].as_str().unwrap_or(""), &expected, line);
    true
}

async fn read_stream(response: &mut IncomingResponse, prompt: &str, line: &mut CallerLine) -> bool {
    let mut text = String::new();
    while let Ok(Some(bytes)) = response.next_chunk().await {
        text.push_str(&String::from_utf8_lossy(&bytes));
        while let Some((event, rest)) = text.clone().split_once("\n\n") {
            text = rest.to_owned();
            let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else { return false };
            if event.starts_with("event: error") {
                return false;
            }
            if data == "[DONE]" {
                return line.pieces == TOKENS;
            }
            take_piece(data, prompt, line);
        }
    }
    false
}

fn take_piece(data: &str, prompt: &str, line: &mut CallerLine) {
    let piece: Value = serde_json::from_str(data).unwrap_or(Value::Null);
    if line.pieces == 0 {
        line.first_ms = Some(boot_millis() - line.at);
        line.attempt = piece["shot"].as_str().unwrap_or("").to_owned();
    }
    let named = piece["adapter"].as_str().unwrap_or("");
    if named != line.adapter {
        line.wrong = format!("a piece of {named:?} in a stream of {:?}", line.adapter);
    }
    let expected = contract::prelude::stand_in_piece_with_adapter(&line.adapter, prompt, &line.attempt, line.pieces);
    check_text(piece["choices"][0]["text"].as_str().unwrap_or(""), &expected, line);
    line.pieces += 1;
    line.last_at = boot_millis();
}

/// Engines on which an adapter is warm in a region, from the operators' API.
fn warm_in(fleet: &Fleet, adapter: &str, region: &str) -> Vec<String> {
    let Ok((200, page)) = fleet.operator_request(Method::GET, "/v1/adapters", None, None) else { return Vec::new() };
    let adapters = page["adapters"].as_array().cloned().unwrap_or_default();
    let found = adapters.iter().filter(|known| known["name"] == adapter);
    let copies = found.flat_map(|known| known["copies"].as_array().cloned().unwrap_or_default());
    let warm = copies.filter(|copy| copy["stage"] == "warm" && (region.is_empty() || copy["region"] == region));
    warm.filter_map(|copy| copy["engine"].as_str().map(str::to_owned)).collect()
}

fn await_warm(fleet: &Fleet, adapter: &str, region: &str, but: &str, count: usize) {
    let is_warm = wait_until(Duration::from_secs(40), || {
        warm_in(fleet, adapter, region).iter().filter(|engine| *engine != but).count() >= count
    });
    let page = fleet.operator_request(Method::GET, "/v1/adapters", None, None);
    assert!(is_warm, "{adapter} is not warm {count} times in {region:?}: {page:?}");
}

fn bind_adapters(fleet: &Fleet, places: u64) {
    let (engraver, clinic) = (fleet.tenants[ENGRAVER].0.clone(), fleet.tenants[CLINIC].0.clone());
    fleet
        .patch_document(&json!({
            "models": {"model": {"adapter_places": places}},
            "adapters": {"engraver": {"model": "model", "revision": 3, "owners": [engraver]},
                         "clinic": {"model": "model", "revision": 1, "owners": [clinic]}},
            "tenants": {engraver.clone(): {"adapters": ["engraver"]}, clinic.clone(): {"adapters": ["clinic"]}},
            "zones": {"a": "north", "b": "north", "c": "south", "d": "south"},
            "warming": {"loads_at_once": 4, "demand_ms": 2000, "hold_ms": 4000},
        }))
        .unwrap();
    let at = boot_millis();
    for (tenant, adapter) in [(engraver, "engraver@3"), (clinic, "clinic@1")] {
        fleet.record_event(EventLine::AdapterInForce { at, tenant, adapter: adapter.into() });
    }
}

fn adapter_flags(places: u64) -> Vec<String> {
    let mut flags = FleetPlan::small().engine_flags;
    flags.extend([format!("--adapter-places={places}"), "--adapter-load-ms=400".into()]);
    flags
}

/// Waits until the running load has recorded the given number of further lines.
fn await_lines(callers: &Callers, more: usize) {
    let wanted = callers.count() + more;
    assert!(wait_until(Duration::from_secs(40), || callers.count() >= wanted), "the load has stopped");
}

/// Formats the time to the first piece of a tenant's requests in a period: p50, p90 and maximum.
fn first_pieces(lines: &[CallerLine], tenant: &str, from: u64, to: u64) -> String {
    let of_time = lines.iter().filter(|line| line.tenant == tenant && (from..to).contains(&line.at));
    let mut firsts: Vec<u64> = of_time.filter_map(|line| line.first_ms).collect();
    firsts.sort();
    let at = |share: usize| firsts.get(firsts.len() * share / 100).copied().unwrap_or(0);
    format!(
        "{} answers, first piece p50 {} ms, p90 {} ms, most {} ms",
        firsts.len(),
        at(50),
        at(90),
        at(100).max(firsts.last().copied().unwrap_or(0))
    )
}

#[test]
fn the_load_moves_between_regions_and_a_node_and_an_engine_are_lost() {
    let plan = FleetPlan { nodes: 4, engines: 8, engine_flags: adapter_flags(2), ..FleetPlan::small() };
    let mut fleet = Fleet::start(plan).unwrap();
    bind_adapters(&fleet, 2);
    await_warm(&fleet, "engraver", "", "", 1);
    await_warm(&fleet, "clinic", "", "", 1);
    let callers = Arc::new(Callers {
        routers: (0..4).map(|router| fleet.router_address(router)).collect(),
        tenants: fleet.tenants.clone(),
        moved: AtomicBool::new(false),
        stops: AtomicBool::new(false),
        next_question: AtomicU64::new(1),
        open: AtomicU64::new(0),
        lines: Mutex::default(),
    });
    let runtime = small_runtime(2).unwrap();
    let playing = runtime.spawn(Arc::clone(&callers).play());
    await_warm(&fleet, "engraver", "north", "", 2);
    await_warm(&fleet, "clinic", "south", "", 2);
    let steady_from = boot_millis();
    await_lines(&callers, 200);

    // The load moves south, and a node there is lost once the first question is answered there.
    let moved_at = boot_millis();
    callers.moved.store(true, Ordering::SeqCst);
    let engraver = fleet.tenants[ENGRAVER].0.clone();
    let has_come = |lines: &[CallerLine]| {
        lines.iter().any(|line| line.tenant == engraver && line.at >= moved_at && line.outcome == "whole")
    };
    assert!(wait_until(Duration::from_secs(20), || has_come(&callers.lines.lock().unwrap())));
    fleet.record_event(EventLine::Lost { at: boot_millis(), what: "n2".into() });
    fleet.nodes[2].router = None;
    fleet.nodes[2].agent = None;
    await_warm(&fleet, "engraver", "south", "", 1);
    let warm_after = boot_millis() - moved_at;
    await_warm(&fleet, "engraver", "south", "", 2);
    let both_after = boot_millis() - moved_at;
    await_lines(&callers, 100);

    // An engine in the south on which the adapter is warm is lost.
    let lost = warm_in(&fleet, "engraver", "south")[0].clone();
    let number = fleet.engines.iter().position(|engine| engine.name == lost).unwrap();
    let lost_at = boot_millis();
    fleet.record_event(EventLine::Lost { at: lost_at, what: lost.clone() });
    fleet.engines[number].process = None;
    await_warm(&fleet, "engraver", "south", &lost, 2);
    let replaced_after = boot_millis() - lost_at;
    let after_from = boot_millis();
    await_lines(&callers, 200);
    callers.stops.store(true, Ordering::SeqCst);
    assert!(wait_until(Duration::from_secs(20), || callers.open.load(Ordering::SeqCst) == 0));
    runtime.block_on(playing).unwrap();

    let mut record = fleet.record(&[]);
    record.callers = callers.lines.lock().unwrap().clone();
    let ended = boot_millis();
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    record.callers.iter().for_each(|line| *outcomes.entry(&line.outcome).or_default() += 1);
    let loads = record.engines.iter().filter(
        |line| matches!(line, EngineLogLine::Order { order, taken: true, .. } if order.starts_with("LoadAdapter")),
    );
    println!("adapters: outcomes {outcomes:?}, {} load orders", loads.count());
    println!(
        "adapters: warm in the south {warm_after} ms after the shift, twice after {both_after} ms; the lost engine replaced after {replaced_after} ms"
    );
    for (named, from, to) in
        [("before", steady_from, moved_at), ("during", moved_at, after_from), ("after", after_from, ended)]
    {
        println!("adapters: {named}: {}", first_pieces(&record.callers, &engraver, from, to));
    }
    for (name, counted) in ["own_zone", "own_region", "other_region", "cold"].map(|name| {
        let counter = format!("haremount_router_adapter_{name}_total");
        let up = [0, 1, 3].map(|router| fleet.metric(&fleet.router_address(router), &counter).unwrap_or(0));
        (name, up.iter().sum::<u64>())
    }) {
        println!("adapters: {name} {counted}");
    }
    assert_eq!(check_record(&record), []);
    assert_eq!(verdict::prelude::check_questions(&record, QUESTION_MS + 500), [""; 0]);
    assert!(record.callers.iter().filter(|line| line.outcome == "whole").count() > 500);
}

/// Sends a request to an engine or a router; returns the status, the body and selected headers.
fn send_for_headers(address: &str, request: OutgoingRequest) -> (u16, Value, String) {
    let runtime = small_runtime(1).unwrap();
    let (status, headers, body) =
        runtime.block_on(web::prelude::fetch_response(address, request, Span::seconds(12), 1 << 20)).unwrap();
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
    let head =
        format!("{} {} {}", header("x-haremount-adapter"), header("x-haremount-outcome"), header("retry-after"));
    (status.as_u16(), serde_json::from_slice(&body).unwrap_or(Value::Null), head)
}

fn completion(key: &str, adapter: &str) -> OutgoingRequest {
    let body = json!({"model": "model", "prompt": "one", "max_tokens": 2, "stream": false, "cache_salt": "w1.x"});
    let mut body = body;
    if adapter.is_empty() {
        body.as_object_mut().unwrap().remove("cache_salt");
    }
    let request = OutgoingRequest::with_json(Method::POST, "/v1/completions", &body);
    match adapter {
        "" => request.header("authorization", format!("Bearer {key}")),
        adapter => request.header("x-haremount-adapter", adapter),
    }
}

#[test]
fn an_engine_refuses_unloaded_adapters_and_a_foreign_answer_is_rejected() {
    let plan = FleetPlan { nodes: 1, engines: 1, engine_flags: adapter_flags(2), ..FleetPlan::small() };
    let fleet = Fleet::start(plan).unwrap();
    bind_adapters(&fleet, 2);
    await_warm(&fleet, "engraver", "", "", 1);
    await_warm(&fleet, "clinic", "", "", 1);
    let engine = fleet.engines[0].address.clone();
    let starts = || fleet.record(&[]).starts().count();
    let started = starts();
    for foreign in ["engraver@2", "engraver@4", "other@1"] {
        let (status, answer, _) = send_for_headers(&engine, completion("", foreign));
        assert_eq!((status, answer["error"]["type"].as_str()), (421, Some("adapter_not_resident")), "{foreign}");
    }
    assert_eq!(starts(), started, "a refusal does no work");
    for (tenant, adapter) in [(ENGRAVER, "engraver@3"), (CLINIC, "clinic@1"), (BARE, "")] {
        let key = fleet.tenants[tenant].1.clone();
        let (status, answer, head) = send_for_headers(&fleet.router_address(0), completion(&key, ""));
        assert_eq!((status, head.as_str()), (200, format!("{adapter} whole ").as_str()), "{answer}");
        assert_eq!(answer["adapter"].as_str().unwrap_or(""), adapter);
    }
    let salts: std::collections::BTreeSet<String> =
        fleet.record(&[]).starts().map(|start| start.salt.clone()).collect();
    assert_eq!(salts.len(), 3, "block hashes depend on the adapter");
    let faults = json!({"answers_as": "clinic@1"});
    assert_eq!(fleet.request(&engine, Method::POST, "/v1/faults", Some(&faults)).unwrap().0, 200);
    let key = fleet.tenants[ENGRAVER].1.clone();
    let (status, answer, _) = send_for_headers(&fleet.router_address(0), completion(&key, ""));
    assert_eq!((status, answer["error"]["type"].as_str()), (502, Some("unknown")), "{answer}");
}

#[test]
fn a_request_for_a_cold_adapter_is_refused_and_never_runs_on_the_base_model() {
    let plan = FleetPlan { nodes: 1, engines: 1, engine_flags: adapter_flags(0), ..FleetPlan::small() };
    let fleet = Fleet::start(plan).unwrap();
    bind_adapters(&fleet, 1);
    let key = fleet.tenants[ENGRAVER].1.clone();
    let (status, answer, head) = send_for_headers(&fleet.router_address(0), completion(&key, ""));
    assert_eq!((status, answer["error"]["type"].as_str(), head.as_str()), (503, Some("adapter_cold"), " not_run 2"));
    assert_eq!(fleet.record(&[]).starts().count(), 0);
    let bare = fleet.tenants[BARE].1.clone();
    assert_eq!(send_for_headers(&fleet.router_address(0), completion(&bare, "")).0, 200);
    let document = json!({"adapters": {"engraver": {"owners": ["nobody"]}}});
    assert!(fleet.patch_document(&document).unwrap_err().contains("unknown tenant nobody"));
}
