//! The engine's site: its state and its pages.

use crate::prelude::*;

const MOST_FAULTS_BYTES: usize = 1 << 16;
/// How often a stopping engine looks whether anything still runs, and after how long it stops anyway.
const STOP_LOOK_SPAN: Duration = Duration::from_millis(50);
const STOP_LOOKS: usize = 200;

/// The weights it holds, and what the conductor has ordered.
pub(crate) struct Weights {
    pub(crate) edition: u64,
    pub(crate) accepting: bool,
    pub(crate) highest_term: u64,
}

/// A stand-in engine.
pub struct EngineSite {
    pub(crate) name: String,
    pub(crate) model: String,
    pub(crate) load_time: Duration,
    pub(crate) adapter_load_time: Duration,
    pub(crate) adapters: Mutex<AdapterPlaces>,
    pub(crate) link_block: Duration,
    pub(crate) store: Option<String>,
    pub(crate) fetched: AtomicU64,
    pub(crate) memory: Mutex<BlockCache>,
    pub(crate) news: tokio::sync::watch::Sender<u64>,
    pub(crate) weights: Mutex<Weights>,
    pub(crate) pace: Pace,
    /// Until when each attempt under way may be worked on.
    pub(crate) allowed: Mutex<HashMap<String, tokio::sync::watch::Sender<Instant>>>,
    pub(crate) running: AtomicU64,
    pub(crate) waiting: AtomicU64,
    pub(crate) starts: Mutex<Option<std::fs::File>>,
    pub(crate) received: Mutex<Option<std::fs::File>>,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) stopping: AtomicBool,
    pub(crate) stop_notice: tokio::sync::Notify,
}

/// The value behind a lock.
pub(crate) fn held<T>(lock: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    lock.lock().expect("no holder of this lock panics")
}

/// The time that the engine's log tells, in milliseconds since the machine was started.
pub(crate) fn now_millis() -> u64 {
    boot_now().0 / 1_000_000
}

/// Opens the file that a setting names, if it names one, for lines to be added.
fn append_file(settings: &Settings, name: &str) -> Result<Option<std::fs::File>, Report> {
    let Some(path) = settings.get(name) else { return Ok(None) };
    let opened = std::fs::OpenOptions::new().create(true).append(true).open(path);
    opened.map(Some).map_err(|fault| miette!("{name}: {path}: {fault}"))
}

impl EngineSite {
    /// An engine as its settings say.
    pub fn new(settings: &Settings) -> Result<EngineSite, Report> {
        let starts = append_file(settings, "starts")?;
        let received = append_file(settings, "received")?;
        let boot = Incarnation::random().to_string();
        Ok(EngineSite {
            name: settings.text("name")?.to_owned(),
            model: settings.text("model")?.to_owned(),
            load_time: settings.millis("load_ms")?.as_duration(),
            adapter_load_time: settings.millis("adapter_load_ms")?.as_duration(),
            adapters: Mutex::new(AdapterPlaces::new(settings.whole("adapter_places")? as usize)),
            link_block: Duration::from_micros(settings.whole("link_us")?),
            store: settings.get("store").map(str::to_owned),
            fetched: AtomicU64::new(0),
            memory: Mutex::new(BlockCache::new(boot, settings.whole("blocks")? as usize)),
            news: tokio::sync::watch::channel(0).0,
            weights: Mutex::new(Weights { edition: settings.whole("weights")?, accepting: true, highest_term: 0 }),
            pace: Pace::new(settings.whole("prefill_us")?, settings.whole("decode_us")?),
            allowed: Mutex::default(),
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            starts: Mutex::new(starts),
            received: Mutex::new(received),
            faults: Mutex::new(Faults::default()),
            stopping: AtomicBool::new(false),
            stop_notice: tokio::sync::Notify::new(),
        })
    }

    /// Takes nothing more; the engine has stopped once what runs is done.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        held(&self.weights).accepting = false;
        self.stop_notice.notify_one();
    }

    /// Resolves once a stop was asked for and nothing runs any more, within ten seconds.
    pub async fn stopped(&self) {
        self.stop_notice.notified().await;
        for _ in 0..STOP_LOOKS {
            if self.running.load(Ordering::SeqCst) == 0 {
                return;
            }
            tokio::time::sleep(STOP_LOOK_SPAN).await;
        }
    }

    async fn enter(self: Arc<Self>, mut asked: IncomingRequest) -> WebResponse {
        let (method, segments) = asked.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("POST", ["v1", "completions"]) => self.complete(asked).await,
            ("GET", ["v1", "kept", "events"]) => {
                let number = asked.query_value("from").and_then(|text| text.parse().ok()).unwrap_or(1);
                let wait_ms = asked.query_value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                drop(asked);
                self.events(number, wait_ms).await
            }
            ("GET", ["v1", "kept", "snapshot"]) => {
                let snapshot = held(&self.memory).snapshot();
                json_response(StatusCode::OK, &json!(snapshot))
            }
            ("POST", ["v1", "kept", "blocks"]) => self.tell_blocks(asked).await,
            ("POST", ["v1", "shots", attempt, "limit"]) => self.allow(attempt, &asked),
            ("POST", ["v1", "prefill"]) => self.prefill_only(asked).await,
            ("GET", ["v1", "state"]) => json_response(StatusCode::OK, &json!(self.state())),
            ("GET", ["metrics"]) => self.metrics(),
            ("GET", ["live"]) => bytes_response(StatusCode::OK, "text/plain", "live\n"),
            ("POST", ["v1", "orders"]) => self.take_order(asked).await,
            ("POST", ["v1", "faults"]) => {
                let Ok(body) = asked.read_body(MOST_FAULTS_BYTES).await else {
                    return error_response(StatusCode::BAD_REQUEST, "bad_request", "body unreadable");
                };
                self.set_faults(&body)
            }
            _ => not_found_response(),
        }
    }

    /// What the engine says of itself.
    pub(crate) fn state(&self) -> EngineState {
        let boot = held(&self.memory).boot.clone();
        let (adapters, adapter_places) = {
            let places = held(&self.adapters);
            (places.resident(), places.count())
        };
        let weights = held(&self.weights);
        EngineState {
            boot,
            model: self.model.clone(),
            weights: weights.edition,
            running: self.running.load(Ordering::SeqCst),
            accepting: weights.accepting,
            highest_term: weights.highest_term,
            adapters,
            adapter_places,
        }
    }

    fn metrics(&self) -> WebResponse {
        let labels = format!("{{model_name=\"{}\"}}", self.model);
        let kept_share = held(&self.memory).fill_ratio();
        let text = format!(
            "vllm:num_requests_running{labels} {}\nvllm:num_requests_waiting{labels} {}\n\
             vllm:kv_cache_usage_perc{labels} {kept_share:.4}\nharemount:blocks_in_work{labels} {}\n\
             haremount:fetched_blocks{labels} {}\n",
            self.running.load(Ordering::SeqCst),
            self.waiting.load(Ordering::SeqCst),
            self.pace.blocks_in_work(),
            self.fetched.load(Ordering::SeqCst),
        );
        bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
    }

    async fn events(&self, number: u64, wait_ms: u64) -> WebResponse {
        poll_events(&self.memory, &self.news, || held(&self.faults).hide_events, number, wait_ms).await
    }

    /// Appends a request as it came to the file of received ones, if there is one.
    pub(crate) fn log_received(&self, request: &EngineRequest, attempt: &str) {
        if let Some(file) = held(&self.received).as_mut() {
            let line =
                ReceivedLine { engine: self.name.clone(), attempt: attempt.to_owned(), request: request.clone() };
            let _ = file.write_all(format!("{}\n", json!(line)).as_bytes());
        }
    }

    /// Appends a line to the file of starts, if there is one.
    pub(crate) fn log_line(&self, line: &EngineLogLine) {
        if let Some(file) = held(&self.starts).as_mut() {
            let _ = file.write_all(format!("{}\n", json!(line)).as_bytes());
        }
    }
}

impl RequestHandler for EngineSite {
    fn handle(self: Arc<Self>, asked: IncomingRequest) -> ResponseFuture {
        Box::pin(self.enter(asked))
    }
}
