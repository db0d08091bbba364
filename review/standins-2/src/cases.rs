//! The cases.

use crate::record;
use crate::standins::prelude::*;

/// Runs a case; returns whether the rule was broken, or `None` if there is no such case.
pub fn run(case: &str, has_trouble: bool) -> Option<bool> {
    record::start();
    record::write(&format!("case {case}, with the disruption: {has_trouble}"));
    let is_broken = match case {
        "wall" => wall(has_trouble),
        "order" => order(has_trouble),
        "idle" => idle(has_trouble),
        "tenant" => tenant(has_trouble),
        "unframed" => unframed(has_trouble),
        "same-place" => same_place(has_trouble),
        "model-name" => model_name(has_trouble),
        "unwalled" => unwalled(has_trouble),
        _ => return None,
    };
    record::write(if is_broken { "the rule was broken" } else { "the rule held" });
    Some(is_broken)
}

/// The bounds of the site that the claims name.
fn plan() -> FleetPlan {
    FleetPlan::with_bounds(json!({"version_ms": 12_000}))
}

fn tenant_item(name: &str, key: &str, isolated: bool) -> Value {
    json!({"name": name, "api_keys": [key], "rank": 1, "isolated": isolated})
}

fn change(fleet: &Fleet, call: &Call) {
    let body = String::from_utf8_lossy(call.body.as_deref().unwrap_or_default()).into_owned();
    let shown: String = body.chars().take(240).collect();
    record::write(&format!("operator: {} {} If-Match {:?}: {shown}", call.method, call.page, call.base));
    let response = fleet.operator.apply(call);
    record::write(&format!("operator: answered {}", response.status));
}

/// The time after an acknowledgement from which it binds machines in touch, and some.
fn wait_until_in_force() {
    std::thread::sleep(Duration::from_millis(3500));
}

fn served(client: &mut Client, request: &ClientRequest, what: &str) -> (ClientRequest, Reply) {
    let (request, reply) = client.assert_served(request);
    record::write(&format!("client: {what}, request {}: {}", request.attempt, reply.status));
    (request, reply)
}

/// A tenant is removed, and comes back as an isolated one. Another tenant then sends the prompt that it sent before.
fn wall(has_trouble: bool) -> bool {
    const RETURNING: &str = "ondje31";
    const RETURNING_KEY: &str = "q7w2z9m4c1v8b5t3e6k0";
    let whole = configuration_with(1, "tenants", &[tenant_item(RETURNING, RETURNING_KEY, false)]);
    let (fleet, engines) = Fleet::serving(&plan(), &[EnginePlan::new("i-1")], whole);
    let mut client = Client::keep_alive(fleet.front());
    let of_prompt = |key: &str, part: &str| {
        ClientRequest::below(PURE_PREFIX).keyed(key).of_prompt(&[("5c1e07a2", 800), (part, 64)])
    };
    served(&mut client, &of_prompt(RETURNING_KEY, "0000000a"), &format!("a prompt of tenant {RETURNING}"));
    if has_trouble {
        change(&fleet, &Call::patch(1, json!({"revision": 3, "remove": {"tenants": [RETURNING]}})));
        wait_until_in_force();
    }
    let isolated = tenant_item(RETURNING, RETURNING_KEY, true);
    let base = if has_trouble { 3 } else { 1 };
    change(&fleet, &Call::patch(base, json!({"revision": 5, "upsert": {"tenants": [isolated]}})));
    wait_until_in_force();
    let (request, _) =
        served(&mut client, &of_prompt(KEY, "0000000b"), &format!("the prompt of tenant {TENANT_NAME}"));
    let mut is_broken = false;
    for arrival in engines[0].runs() {
        let header = |name: &str| arrival.request.headers.get(name).unwrap_or("-").to_owned();
        let (tenant, salt) = (header(TENANT), header(CACHE_SALT));
        if [RETURNING, TENANT_NAME].contains(&tenant.as_str()) && header(PROMPT_PREFIX).starts_with("5c1e07a2") {
            record::write(&format!(
                "engine: ran {} for tenant {tenant} under salt {salt}",
                arrival.request.attempt()
            ));
        }
    }
    for part_use in engines[0].part_uses() {
        if part_use.attempt == request.attempt && part_use.cached_tenant == RETURNING {
            is_broken = true;
            record::write(&format!(
                "engine: {} of tenant {} used part {} that tenant {} (isolated) made",
                part_use.attempt, part_use.tenant, part_use.part, part_use.cached_tenant
            ));
        }
    }
    is_broken
}

/// An engine in trouble writes two events at once, of which the second has a damaged number.
fn order(has_trouble: bool) -> bool {
    const STREAMS: usize = 100;
    /// Two of the hundred answers are spoiled: 0.02 of them, as the pages say.
    const SPOILED: [usize; 2] = [40, 80];
    let spoiled = Arc::new(AtomicBool::new(false));
    let mut fleet = Fleet::start(&plan());
    let mut proxies = Vec::new();
    let engines: Vec<Engine> = ["i-1", "i-2"]
        .into_iter()
        .map(|id| {
            let mut engine = fleet.start_engine(EnginePlan::new(id));
            let flag = Arc::clone(&spoiled);
            let proxy = proxy(engine.address, move |from, to| pass_answer(from, to, &flag));
            engine.address = proxy.address;
            proxies.push(proxy);
            fleet.directory.list(&engine);
            engine
        })
        .collect();
    change(&fleet, &Call::put(0, configuration(1)));
    fleet.wait_until_ready();
    fleet.wait_until_known(&engines);
    let mut client = Client::keep_alive(fleet.front());
    let mut is_broken = false;
    for number in 1..=STREAMS {
        let is_spoiled = has_trouble && SPOILED.contains(&number);
        spoiled.store(is_spoiled, Ordering::SeqCst);
        let request = ClientRequest::below(STREAM_PREFIX);
        let outcome = client.request(&request);
        let Ok(reply) = outcome else {
            record::write(&format!("client: stream {number}, request {}: {outcome:?}", request.attempt));
            continue;
        };
        let seen = event_numbers(&reply.body);
        let is_complete = reply.cut.is_none();
        let expected: Vec<u64> = (1..=request.output).collect();
        let is_right = if is_complete { seen == expected } else { expected.starts_with(&seen) };
        if is_spoiled || !is_right {
            let note = if is_spoiled { ", spoiled" } else { "" };
            record::write(&format!(
                "client: stream {number}{note}, request {}: {}, complete {is_complete}, events {seen:?}",
                request.attempt, reply.status
            ));
            for run in runs_of(&engines, &request.attempt) {
                let after = run.request.headers.number(LAST_EVENT_ID);
                record::write(&format!("engine: {} ran {} after event {after:?}", run.engine, request.attempt));
            }
        }
        is_broken |= reply.is_success() && !is_right;
    }
    is_broken
}

/// Passes an answer on. While `spoiled` is set, it spoils the next stream: the events 5 and 6 come in one chunk, the
/// sixth with a damaged number.
fn pass_answer(from: &mut Connection, to: &mut Connection, spoiled: &AtomicBool) -> Result<(), ConnectionError> {
    let until = Instant::now() + TIMEOUT;
    let (head, mut reader) = from.answer_head(until)?;
    let headers: Vec<(&str, String)> =
        head.headers.0.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    to.send(&encode_head(&format!("HTTP/1.1 {} Said", head.status), &headers))?;
    let is_chunked = head.headers.get("transfer-encoding").is_some();
    let mut held_back = Vec::new();
    while let Some(piece) = reader.next(from, until)? {
        if !is_chunked {
            to.send(&piece)?;
            continue;
        }
        if piece.starts_with(b"id: 5\n") && spoiled.swap(false, Ordering::SeqCst) {
            held_back = piece;
            continue;
        }
        if !held_back.is_empty() {
            let damaged = String::from_utf8_lossy(&piece).replacen("id: 6\n", "id: 2\n", 1);
            let mut both = std::mem::take(&mut held_back);
            both.extend(damaged.into_bytes());
            to.send(&encode_chunk(&both))?;
            continue;
        }
        to.send(&encode_chunk(&piece))?;
    }
    if is_chunked {
        to.send(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// The operator lowers `idle_ms` and raises it again, while streams are under way whose events come 2.4 s apart.
fn idle(has_trouble: bool) -> bool {
    const GAP: Duration = Duration::from_millis(2400);
    const EVENTS: u64 = 2;
    const USUAL_MS: u64 = 15_000;
    const LOWERED_MS: u64 = 2000;
    /// `apply_ms` and 1 s.
    const AFTER_ACKNOWLEDGEMENT: Duration = Duration::from_millis(3000);
    let with_idle = |revision: u64, idle_ms: u64| {
        let mut whole = configuration(revision);
        whole["limits"]["idle_ms"] = json!(idle_ms);
        whole
    };
    let engines = ["i-1", "i-2"].map(|id| EnginePlan::new(id).paced(GAP).with_slots(64));
    let (fleet, _engines) = Fleet::serving(&plan(), &engines, with_idle(1, USUAL_MS));
    let front = fleet.front();
    let cuts: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut streams = Vec::new();
    let mut send_ten = |when: &'static str| {
        for _ in 0..10 {
            let cuts = Arc::clone(&cuts);
            streams.push(std::thread::spawn(move || {
                let request = ClientRequest { output: EVENTS, ..ClientRequest::below(NON_RESUMABLE_PREFIX) };
                let outcome = Client::keep_alive(front).request(&request);
                let (ending, is_cut) = match &outcome {
                    Ok(reply) => {
                        let millis = reply.ended.duration_since(reply.sent).as_millis();
                        let events = event_numbers(&reply.body);
                        let text = format!(
                            "{}, events {events:?}, cut {:?}, ended {millis} ms later",
                            reply.status, reply.cut
                        );
                        (text, reply.is_success() && reply.cut.is_some())
                    }
                    Err(fault) => (format!("no answer: {fault:?}"), true),
                };
                if is_cut {
                    lock(&cuts).push(Instant::now());
                }
                record::write(&format!("client: request {} sent {when}: {ending}", request.attempt));
            }));
            std::thread::sleep(Duration::from_millis(60));
        }
    };
    // So that no start of a process is near.
    std::thread::sleep(Duration::from_secs(4));
    send_ten("before the changes");
    std::thread::sleep(Duration::from_secs(6));
    send_ten("around the changes");
    std::thread::sleep(Duration::from_millis(1700));
    let change_sent = Instant::now();
    if has_trouble {
        change(&fleet, &Call::put(1, with_idle(3, LOWERED_MS)));
    }
    let window = change_sent..Instant::now() + AFTER_ACKNOWLEDGEMENT;
    std::thread::sleep(Duration::from_secs(4));
    if has_trouble {
        change(&fleet, &Call::put(3, with_idle(5, USUAL_MS)));
    }
    std::thread::sleep(Duration::from_secs(4));
    send_ten("after the changes");
    for stream in streams {
        let _ = stream.join();
    }
    let cuts = lock(&cuts);
    let around = cuts.iter().filter(|at| window.contains(at)).count();
    let others = cuts.len() - around;
    record::write(&format!("cut: {around} from the sending of the first change until 3 s past its acknowledgement"));
    record::write(&format!("cut: {others} at other times"));
    around > 3 * others
}

/// A change of the configuration adds a tenant whose name holds a space.
fn tenant(has_trouble: bool) -> bool {
    const NAME: &str = "Klein Windhoek";
    const ADDED_KEY: &str = "q7w2z9m4c1v8b5t3e6k0";
    let name = if has_trouble { NAME } else { "kleinw10" };
    let (fleet, engines) = Fleet::serving(&plan(), &[EnginePlan::new("i-1")], configuration(1));
    let added = tenant_item(name, ADDED_KEY, false);
    change(&fleet, &Call::patch(1, json!({"revision": 3, "upsert": {"tenants": [added]}})));
    wait_until_in_force();
    let mut client = Client::keep_alive(fleet.front());
    let (request, _) = served(&mut client, &ClientRequest::below(PURE_PREFIX).keyed(ADDED_KEY), "a request");
    let mut is_broken = false;
    for run in runs_of(&engines, &request.attempt) {
        let told = run.request.headers.get(TENANT).unwrap_or("-");
        record::write(&format!("engine: ran {} for tenant {told}; the key belongs to {name}", request.attempt));
        is_broken |= told != name;
    }
    is_broken
}

/// An engine in trouble answers without a length and breaks off.
fn unframed(has_trouble: bool) -> bool {
    const REQUESTS: usize = 100;
    /// Two of the hundred answers are broken off: 0.02 of them, as the pages say.
    const BROKEN_OFF: [usize; 2] = [40, 80];
    let breaks_off = Arc::new(AtomicBool::new(false));
    let mut fleet = Fleet::start(&plan());
    let mut proxies = Vec::new();
    let engines: Vec<Engine> = ["i-1", "i-2"]
        .into_iter()
        .map(|id| {
            let mut engine = fleet.start_engine(EnginePlan::new(id));
            let flag = Arc::clone(&breaks_off);
            let proxy = proxy(engine.address, move |from, to| pass_unframed(from, to, &flag));
            engine.address = proxy.address;
            proxies.push(proxy);
            fleet.directory.list(&engine);
            engine
        })
        .collect();
    change(&fleet, &Call::put(0, configuration(1)));
    fleet.wait_until_ready();
    fleet.wait_until_known(&engines);
    let mut client = Client::keep_alive(fleet.front());
    let mut is_broken = false;
    for number in 1..=REQUESTS {
        let is_broken_off = has_trouble && BROKEN_OFF.contains(&number);
        breaks_off.store(is_broken_off, Ordering::SeqCst);
        let prefix = if number <= REQUESTS / 2 { EFFECTFUL_PREFIX } else { NON_RESUMABLE_PREFIX };
        let request = ClientRequest::below(prefix);
        let outcome = client.request(&request);
        let note = if is_broken_off { ", broken off by the engine" } else { "" };
        let Ok(reply) = outcome else {
            record::write(&format!("client: request {number}{note}, {}: {outcome:?}", request.attempt));
            continue;
        };
        let (bytes, whole) = (reply.body.len(), request.expected_body().len());
        let seems_complete = reply.is_success() && reply.cut.is_none();
        let is_wrong = seems_complete && bytes != whole;
        if is_broken_off || is_wrong {
            let length = reply.headers.get("content-length");
            record::write(&format!(
                "client: request {number}{note}, {}: {}, content-length {length:?}, cut {:?}, {bytes} of the engine's {whole} bytes",
                request.attempt, reply.status, reply.cut
            ));
        }
        is_broken |= is_wrong;
    }
    is_broken
}

/// Passes an answer on. While the flag is set, the next success comes without a length, and its second half is lost.
fn pass_unframed(from: &mut Connection, to: &mut Connection, flag: &AtomicBool) -> Result<(), ConnectionError> {
    let until = Instant::now() + TIMEOUT;
    let (head, mut reader) = from.answer_head(until)?;
    let breaks_off = head.headers.get(SEAL).is_some() && flag.swap(false, Ordering::SeqCst);
    let is_framing =
        |name: &str| ["content-length", "transfer-encoding"].contains(&name.to_ascii_lowercase().as_str());
    let headers: Vec<(&str, String)> = head
        .headers
        .0
        .iter()
        .filter(|(name, _)| !breaks_off || !is_framing(name))
        .map(|(name, value)| (name.as_str(), value.clone()))
        .collect();
    to.send(&encode_head(&format!("HTTP/1.1 {} Said", head.status), &headers))?;
    let is_chunked = head.headers.get("transfer-encoding").is_some();
    let mut pieces = Vec::new();
    while let Some(piece) = reader.next(from, until)? {
        match (breaks_off, is_chunked) {
            (true, _) => pieces.push(piece),
            (false, true) => to.send(&encode_chunk(&piece))?,
            (false, false) => to.send(&piece)?,
        }
    }
    if breaks_off {
        // Whole events of a stream, or half of the bytes of another answer.
        let kept: Vec<u8> = match is_chunked {
            true => pieces[..pieces.len() / 2].concat(),
            false => {
                let bytes = pieces.concat();
                bytes[..bytes.len() / 2].to_vec()
            }
        };
        to.send(&kept)?;
        return Err(ConnectionError::Closed);
    }
    if is_chunked {
        to.send(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Passes requests on to an engine, and its answers back with `pass`.
fn proxy(
    engine: SocketAddr,
    pass: impl Fn(&mut Connection, &mut Connection) -> Result<(), ConnectionError> + Send + Sync + 'static,
) -> Server {
    let SocketAddr::V4(engine_v4) = engine else { panic!("an engine has an IPv4 address") };
    Server::start((*engine_v4.ip(), 0).into(), move |mut caller| {
        let Ok(mut connection) = Connection::connect(engine) else { return };
        while let Ok(Some(request)) = caller.request(Instant::now() + TIMEOUT) {
            let headers: Vec<(&str, String)> =
                request.headers.0.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
            let first_line = format!("{} {} HTTP/1.1", request.method, request.target);
            let mut bytes = encode_head(&first_line, &headers);
            match request.headers.get("transfer-encoding") {
                Some(_) => {
                    bytes.extend(encode_chunk(&request.body));
                    bytes.extend(b"0\r\n\r\n");
                }
                None => bytes.extend(&request.body),
            }
            if connection.send(&bytes).is_err() || pass(&mut connection, &mut caller).is_err() {
                return;
            }
        }
    })
}

/// A change adds a route to another service whose host differs from that of a route in use by the case of its letters.
fn same_place(has_trouble: bool) -> bool {
    let plans = [
        EnginePlan::new("i-1"),
        EnginePlan { model: OTHER_MODEL.to_owned(), ..EnginePlan::new("o-1").of_service(OTHER_SERVICE) },
    ];
    let (fleet, engines) = Fleet::serving(&plan(), &plans, configuration(1));
    let mut client = Client::keep_alive(fleet.front());
    let request = || ClientRequest::below(EFFECTFUL_PREFIX);
    served(&mut client, &request(), "a request of route r-once, before the change");
    let host = if has_trouble { HOST.to_ascii_uppercase() } else { OTHER_HOST.to_owned() };
    let added = route("r-twice", EFFECTFUL_PREFIX, "effectful", OTHER_SERVICE);
    let added = with(&added, json!({"host": host, "rank": 0}));
    let call = Call::patch(1, json!({"revision": 3, "upsert": {"routes": [added]}}));
    let body = String::from_utf8_lossy(call.body.as_deref().unwrap_or_default()).into_owned();
    record::write(&format!("operator: PATCH /v1/config If-Match 1: {body}"));
    let status = fleet.operator.call(&call).status;
    record::write(&format!("operator: answered {status}"));
    wait_until_in_force();
    let (mut own, mut others) = (0, 0);
    for model in [MODEL_NAME, OTHER_MODEL] {
        for _ in 0..5 {
            let request = ClientRequest { model: model.to_owned(), ..request() };
            let outcome = client.request(&request).map(|reply| reply.status);
            let ran: Vec<String> = runs_of(&engines, &request.attempt).into_iter().map(|run| run.engine).collect();
            let attempt = &request.attempt;
            record::write(&format!("client: host {HOST}, model {model}, {attempt}: {outcome:?}, ran at {ran:?}"));
            own += usize::from(ran == ["i-1"]);
            others += usize::from(ran == ["o-1"]);
        }
    }
    record::write(&format!("requests to host {HOST}: {own} run by the service of r-once, {others} by the other"));
    // If the hosts are the same, two routes share host and prefix, and the change calls for a 4xx. If they are not,
    // no configuration lets the other service run requests to this host.
    status == 200 && others > 0
}

/// A change adds a service whose model has a name with a slash, and a route to it.
fn model_name(has_trouble: bool) -> bool {
    const ADDED_SERVICE: &str = "drafting";
    const ADDED_PREFIX: &str = "/draf417/";
    const REQUESTS: usize = 24;
    let model = if has_trouble { "khomas/sms-drafts-8b" } else { "khomas-sms-drafts-8b" };
    let added_engine = EnginePlan { model: model.to_owned(), ..EnginePlan::new("a-1").of_service(ADDED_SERVICE) };
    let plans = [EnginePlan::new("i-1")];
    let (mut fleet, first) = Fleet::serving(&plan(), &plans, configuration(1));
    let added_engine = fleet.start_engine(added_engine);
    fleet.directory.list(&added_engine);
    let added_route = route("r-added", ADDED_PREFIX, "pure", ADDED_SERVICE);
    let upsert = json!({"backends": [service(ADDED_SERVICE, model)], "routes": [added_route]});
    change(&fleet, &Call::patch(1, json!({"revision": 3, "upsert": upsert})));
    wait_until_in_force();
    let mut client = Client::keep_alive(fleet.front());
    let mut served_on = |prefix: &str, model: &str, engine: &Engine| {
        let mut count = 0;
        let mut last = String::new();
        for _ in 0..REQUESTS {
            let request = ClientRequest { model: model.to_owned(), ..ClientRequest::below(prefix) };
            let mut outcome = client.request(&request);
            if let Some(pause) = outcome.as_ref().ok().and_then(Reply::retry_after) {
                std::thread::sleep(pause.min(request.deadline / 3));
                outcome = client.request(&request.again());
            }
            count += usize::from(outcome.as_ref().is_ok_and(|reply| reply.is_success() && reply.cut.is_none()));
            last = match outcome {
                Ok(reply) => {
                    format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body[..reply.body.len().min(40)]))
                }
                Err(fault) => format!("{fault:?}"),
            };
        }
        let last = last.trim();
        record::write(&format!("client: {prefix}, model {model}: {count} of {REQUESTS} served; the last: {last:?}"));
        record::write(&format!("engine: {} received {} requests", engine.id(), engine.arrivals().len()));
        count
    };
    let on_first = served_on(PURE_PREFIX, MODEL_NAME, &first[0]);
    let on_added = served_on(ADDED_PREFIX, model, &added_engine);
    4 * on_added < on_first
}

/// A change gives the engines a model whose name holds a letter that is not ASCII. An isolated tenant and another one
/// send the same prompt.
fn unwalled(has_trouble: bool) -> bool {
    let model = if has_trouble { "\u{17c}uraw-8b" } else { "zuraw-8b" };
    let plans = [EnginePlan::new("i-1")];
    let (mut fleet, _first) = Fleet::serving(&plan(), &plans, configuration(1));
    let engine =
        fleet.start_engine(EnginePlan { model: model.to_owned(), ..EnginePlan::new("a-1").of_service("drafting") });
    fleet.directory.list(&engine);
    let prefix = "/draf417/";
    let upsert =
        json!({"backends": [service("drafting", model)], "routes": [route("r-added", prefix, "pure", "drafting")]});
    change(&fleet, &Call::patch(1, json!({"revision": 3, "upsert": upsert})));
    wait_until_in_force();
    let mut client = Client::keep_alive(fleet.front());
    for (tenant, key) in [(WALLED, WALLED_KEY), (TENANT_NAME, KEY)] {
        let request = ClientRequest { model: model.to_owned(), ..ClientRequest::below(prefix).keyed(key) };
        let own_part = request.parts[1].0.clone();
        let request = request.of_prompt(&[("5c1e07a2", 800), (&own_part, 64)]);
        let isolated = if tenant == WALLED { " (isolated)" } else { "" };
        served(&mut client, &request, &format!("the prompt of tenant {tenant}{isolated}"));
    }
    for run in engine.runs() {
        let header = |name: &str| run.request.headers.get(name).unwrap_or("-").to_owned();
        record::write(&format!(
            "engine: ran {} for tenant {}, model {}, salt {}, expected version {}",
            run.request.attempt(),
            header(TENANT),
            header(MODEL),
            header(CACHE_SALT),
            header(EXPECT_VERSION)
        ));
    }
    let mut is_broken = false;
    for part in engine.part_uses().into_iter().filter(|part| part.tenant != part.cached_tenant) {
        is_broken = true;
        let (tenant, made_by) = (&part.tenant, &part.cached_tenant);
        record::write(&format!("engine: {} of tenant {tenant} used a part of tenant {made_by}", part.attempt));
    }
    is_broken
}
