//! Running attempts: admission, the counters of running work, and deadlines.

use crate::prelude::*;

/// The longest time limit of an attempt, whatever its request asks for.
const MAX_TIME_LIMIT_MS: u64 = 60_000;

/// An attempt that was admitted and has not begun to run.
pub(crate) struct AdmittedAttempt {
    /// The id that the router gave it.
    pub(crate) id: String,
    pub(crate) adapter: Option<AdapterId>,
    pub(crate) time_limit: Duration,
}

/// Holds one count of a counter until dropped.
pub(crate) struct CountGuard<'a>(&'a AtomicU64);

impl<'a> CountGuard<'a> {
    /// Increments the counter.
    pub(crate) fn new(counter: &'a AtomicU64) -> CountGuard<'a> {
        counter.fetch_add(1, Ordering::SeqCst);
        CountGuard(counter)
    }

    /// Takes over a count that was added before.
    pub(crate) fn adopt(counter: &'a AtomicU64) -> CountGuard<'a> {
        CountGuard(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request's use of an adapter, until dropped.
pub(crate) struct AdapterGuard<'a> {
    pub(crate) server: &'a EngineServer,
    pub(crate) adapter: Option<AdapterId>,
}

impl Drop for AdapterGuard<'_> {
    fn drop(&mut self) {
        if let Some(adapter) = &self.adapter {
            locked(&self.server.adapters).release(adapter);
        }
    }
}

/// A running attempt. Dropping it ends the attempt: the counters are decremented and the end is logged.
pub(crate) struct RunningAttempt<'a> {
    server: &'a EngineServer,
    attempt: String,
    _adapter_guard: AdapterGuard<'a>,
    /// Pieces sent so far.
    pub(crate) pieces: AtomicU64,
    pub(crate) complete: AtomicBool,
}

impl<'a> RunningAttempt<'a> {
    fn new(server: &'a EngineServer, attempt: String, adapter: Option<AdapterId>) -> RunningAttempt<'a> {
        let _adapter_guard = AdapterGuard { server, adapter };
        RunningAttempt {
            server,
            attempt,
            _adapter_guard,
            pieces: AtomicU64::new(0),
            complete: AtomicBool::new(false),
        }
    }
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        self.server.running.fetch_sub(1, Ordering::SeqCst);
        locked(&self.server.deadlines).remove(&self.attempt);
        self.server.log_line(&EngineLogLine::End {
            at: now_millis(),
            engine: self.server.name.clone(),
            attempt: self.attempt.clone(),
            pieces: self.pieces.load(Ordering::SeqCst),
            whole: self.complete.load(Ordering::SeqCst),
        });
    }
}

impl EngineServer {
    /// Admits and counts a request if it may run on the weights and the adapter that it asks for. Returns the weights
    /// edition that it runs on.
    pub(crate) fn admit(
        &self,
        requested_weights: Option<u64>,
        adapter: Option<&AdapterId>,
    ) -> Result<u64, Box<WebResponse>> {
        let weights = locked(&self.weights);
        if !weights.accepting {
            let response = error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_accepting",
                "the engine accepts no new requests",
            );
            return Err(Box::new(response));
        }
        if requested_weights.is_some_and(|requested_edition| requested_edition != weights.edition) {
            let reason = format!("the engine has loaded weights {}", weights.edition);
            return Err(Box::new(error_response(StatusCode::CONFLICT, "other_weights", &reason)));
        }
        if let Some(adapter) = adapter
            && let Err(refusal) = locked(&self.adapters).acquire(adapter)
        {
            let reason = format!("adapter {adapter} is not loaded");
            return Err(Box::new(error_response(StatusCode::MISDIRECTED_REQUEST, refusal.kind(), &reason)));
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        Ok(weights.edition)
    }

    /// Starts an admitted attempt and its time limit.
    pub(crate) fn begin(
        &self,
        admitted: AdmittedAttempt,
    ) -> (RunningAttempt<'_>, tokio::sync::watch::Receiver<Instant>) {
        let AdmittedAttempt { id, adapter, time_limit } = admitted;
        let (deadline_sender, deadline) = tokio::sync::watch::channel(boot_now() + Span::from_duration(time_limit));
        locked(&self.deadlines).insert(id.clone(), deadline_sender);
        (RunningAttempt::new(self, id, adapter), deadline)
    }

    /// Extends the deadline of a running attempt; it is never moved to an earlier time.
    pub(crate) fn extend_deadline(&self, attempt: &str, request: &IncomingRequest) -> WebResponse {
        let requested = boot_now() + Span::from_duration(time_limit_of(request));
        let extended = locked(&self.deadlines).get(attempt).map(|deadline_sender| {
            deadline_sender.send_modify(|deadline| *deadline = requested.max(*deadline));
        });
        match extended {
            Some(()) => json_response(StatusCode::OK, &json!({})),
            None => error_response(StatusCode::NOT_FOUND, "no_such_shot", "no such attempt is running"),
        }
    }
}

/// The time limit that a request asks for, counted from now.
pub(crate) fn time_limit_of(request: &IncomingRequest) -> Duration {
    let limit_ms = request.header(LIMIT_HEADER).and_then(|text| text.parse::<u64>().ok());
    Duration::from_millis(limit_ms.unwrap_or(MAX_TIME_LIMIT_MS).min(MAX_TIME_LIMIT_MS))
}

/// Resolves when an attempt's deadline has passed, including any extensions.
pub(crate) async fn deadline_passed(mut deadline: tokio::sync::watch::Receiver<Instant>) {
    loop {
        let remaining = deadline.borrow_and_update().since(boot_now());
        if remaining == Span(0) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(remaining.as_duration()) => {}
            _ = deadline.changed() => {}
        }
    }
}
