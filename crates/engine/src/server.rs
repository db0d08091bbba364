//! The engine's HTTP server: its state and its routes.

use crate::prelude::*;

const MAX_FAULTS_BODY_BYTES: usize = 1 << 16;
/// How often a stopping engine checks whether any request still runs.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// After this many checks the engine stops even if requests still run.
const MAX_STOP_CHECKS: usize = 200;

/// The loaded weights, and the state that the conductor's orders set.
pub(crate) struct Weights {
    pub(crate) edition: u64,
    pub(crate) accepting: bool,
    /// The highest term of any order received.
    pub(crate) highest_term: u64,
}

/// A stand-in engine.
pub struct EngineServer {
    pub(crate) name: String,
    pub(crate) model: String,
    pub(crate) load_time: Duration,
    pub(crate) adapter_load_time: Duration,
    pub(crate) adapters: Mutex<AdapterSlots>,
    /// The time to fetch a block.
    pub(crate) block_transfer_time: Duration,
    /// The address of the store, if there is one.
    pub(crate) store: Option<String>,
    /// How many blocks have been fetched.
    pub(crate) fetched: AtomicU64,
    pub(crate) cache: Mutex<BlockCache>,
    /// Signals changes of the cache to polls for events.
    pub(crate) cache_changes: tokio::sync::watch::Sender<u64>,
    pub(crate) weights: Mutex<Weights>,
    pub(crate) cost: CostModel,
    /// The deadline of each running attempt.
    pub(crate) deadlines: Mutex<HashMap<String, tokio::sync::watch::Sender<Instant>>>,
    pub(crate) running: AtomicU64,
    /// How many requests wait for prefill or are being prefilled.
    pub(crate) waiting: AtomicU64,
    /// The engine log.
    pub(crate) starts: Mutex<Option<std::fs::File>>,
    /// The log of completion requests as received.
    pub(crate) received: Mutex<Option<std::fs::File>>,
    pub(crate) faults: Mutex<InjectedFaults>,
    pub(crate) stopping: AtomicBool,
    pub(crate) stop_notice: tokio::sync::Notify,
}

/// Locks a mutex.
pub(crate) fn locked<T>(lock: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    lock.lock().expect("no holder of this lock panics")
}

/// The time for the engine's log, in milliseconds since the machine booted.
pub(crate) fn now_millis() -> u64 {
    boot_now().0 / 1_000_000
}

/// Opens the file that a setting names for appending; none if the setting is absent.
fn append_file(settings: &Settings, name: &str) -> Result<Option<std::fs::File>, Report> {
    let Some(path) = settings.get(name) else { return Ok(None) };
    let opened = std::fs::OpenOptions::new().create(true).append(true).open(path);
    opened.map(Some).map_err(|fault| miette!("{name}: {path}: {fault}"))
}

impl EngineServer {
    /// Creates an engine from its settings.
    pub fn new(settings: &Settings) -> Result<EngineServer, Report> {
        let starts = append_file(settings, "starts")?;
        let received = append_file(settings, "received")?;
        let boot = Incarnation::random().to_string();
        Ok(EngineServer {
            name: settings.text("name")?.to_owned(),
            model: settings.text("model")?.to_owned(),
            load_time: settings.millis("load_ms")?.as_duration(),
            adapter_load_time: settings.millis("adapter_load_ms")?.as_duration(),
            adapters: Mutex::new(AdapterSlots::new(settings.whole("adapter_places")? as usize)),
            block_transfer_time: Duration::from_micros(settings.whole("link_us")?),
            store: settings.get("store").map(str::to_owned),
            fetched: AtomicU64::new(0),
            cache: Mutex::new(BlockCache::new(boot, settings.whole("blocks")? as usize)),
            cache_changes: tokio::sync::watch::channel(0).0,
            weights: Mutex::new(Weights { edition: settings.whole("weights")?, accepting: true, highest_term: 0 }),
            cost: CostModel::new(settings.whole("prefill_us")?, settings.whole("decode_us")?),
            deadlines: Mutex::default(),
            running: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            starts: Mutex::new(starts),
            received: Mutex::new(received),
            faults: Mutex::new(InjectedFaults::default()),
            stopping: AtomicBool::new(false),
            stop_notice: tokio::sync::Notify::new(),
        })
    }

    /// Accepts no new requests from now on; the engine stops when the running ones have ended.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        locked(&self.weights).accepting = false;
        self.stop_notice.notify_one();
    }

    /// Resolves when a stop was requested and either no request runs any more or ten seconds have passed.
    pub async fn stopped(&self) {
        self.stop_notice.notified().await;
        for _ in 0..MAX_STOP_CHECKS {
            if self.running.load(Ordering::SeqCst) == 0 {
                return;
            }
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    }

    async fn route(self: Arc<Self>, mut request: IncomingRequest) -> WebResponse {
        let (method, segments) = request.method_and_path();
        match (method.as_str(), segments.as_slice()) {
            ("POST", ["v1", "completions"]) => self.complete(request).await,
            ("GET", ["v1", "kept", "events"]) => {
                let number = request.query_value("from").and_then(|text| text.parse().ok()).unwrap_or(1);
                let wait_ms = request.query_value("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                drop(request);
                self.events(number, wait_ms).await
            }
            ("GET", ["v1", "kept", "snapshot"]) => {
                let snapshot = locked(&self.cache).snapshot();
                json_response(StatusCode::OK, &json!(snapshot))
            }
            ("POST", ["v1", "kept", "blocks"]) => self.answer_block_query(request).await,
            ("POST", ["v1", "shots", attempt, "limit"]) => self.extend_deadline(attempt, &request),
            ("POST", ["v1", "prefill"]) => self.prefill_only(request).await,
            ("GET", ["v1", "state"]) => json_response(StatusCode::OK, &json!(self.state())),
            ("GET", ["metrics"]) => self.metrics(),
            ("GET", ["live"]) => bytes_response(StatusCode::OK, "text/plain", "live\n"),
            ("POST", ["v1", "orders"]) => self.handle_order(request).await,
            ("POST", ["v1", "faults"]) => {
                let Ok(body) = request.read_body(MAX_FAULTS_BODY_BYTES).await else {
                    return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body could not be read");
                };
                self.set_faults(&body)
            }
            _ => not_found_response(),
        }
    }

    /// The engine's report of its own state.
    pub(crate) fn state(&self) -> EngineState {
        let boot = locked(&self.cache).boot.clone();
        let (adapters, adapter_places) = {
            let slots = locked(&self.adapters);
            (slots.resident(), slots.slot_count())
        };
        let weights = locked(&self.weights);
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
        let fill_ratio = locked(&self.cache).fill_ratio();
        let text = format!(
            "vllm:num_requests_running{labels} {}\nvllm:num_requests_waiting{labels} {}\n\
             vllm:kv_cache_usage_perc{labels} {fill_ratio:.4}\nharemount:blocks_in_work{labels} {}\n\
             haremount:fetched_blocks{labels} {}\n",
            self.running.load(Ordering::SeqCst),
            self.waiting.load(Ordering::SeqCst),
            self.cost.active_blocks(),
            self.fetched.load(Ordering::SeqCst),
        );
        bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
    }

    async fn events(&self, number: u64, wait_ms: u64) -> WebResponse {
        poll_events(&self.cache, &self.cache_changes, || locked(&self.faults).hide_events, number, wait_ms).await
    }

    /// Appends a request as received to the log of requests, if there is one.
    pub(crate) fn log_received(&self, request: &EngineRequest, attempt: &str) {
        if let Some(file) = locked(&self.received).as_mut() {
            let line =
                ReceivedLine { engine: self.name.clone(), attempt: attempt.to_owned(), request: request.clone() };
            let _ = file.write_all(format!("{}\n", json!(line)).as_bytes());
        }
    }

    /// Appends a line to the engine log, if there is one.
    pub(crate) fn log_line(&self, line: &EngineLogLine) {
        if let Some(file) = locked(&self.starts).as_mut() {
            let _ = file.write_all(format!("{}\n", json!(line)).as_bytes());
        }
    }
}

impl RequestHandler for EngineServer {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(self.route(request))
    }
}
