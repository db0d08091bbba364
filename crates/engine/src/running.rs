//! Work under way: who is admitted, what is counted while it runs, and until when it may go on.

use crate::prelude::*;

/// Nothing is worked on for longer, whatever an attempt says.
const LONGEST_WORK_MS: u64 = 60_000;

/// An attempt that was admitted, before its work begins.
pub(crate) struct Admitted {
    /// The router's name of it.
    pub(crate) name: String,
    pub(crate) adapter: Option<AdapterId>,
    pub(crate) limit: Duration,
}

/// One that a counter holds until this is dropped.
pub(crate) struct Counted<'a>(&'a AtomicU64);

impl<'a> Counted<'a> {
    /// Counts one up.
    pub(crate) fn new(counter: &'a AtomicU64) -> Counted<'a> {
        counter.fetch_add(1, Ordering::SeqCst);
        Counted(counter)
    }

    /// One that the counter holds already.
    pub(crate) fn already(counter: &'a AtomicU64) -> Counted<'a> {
        Counted(counter)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request that runs on an adapter, until dropped.
pub(crate) struct AdapterUse<'a> {
    pub(crate) site: &'a EngineSite,
    pub(crate) adapter: Option<AdapterId>,
}

impl Drop for AdapterUse<'_> {
    fn drop(&mut self) {
        if let Some(adapter) = &self.adapter {
            held(&self.site.adapters).leave(adapter);
        }
    }
}

/// Counts a run down and logs its end when dropped, however it ends.
pub(crate) struct Running<'a> {
    site: &'a EngineSite,
    attempt: String,
    _on_adapter: AdapterUse<'a>,
    pub(crate) pieces: AtomicU64,
    pub(crate) whole: AtomicBool,
}

impl<'a> Running<'a> {
    fn new(site: &'a EngineSite, attempt: String, adapter: Option<AdapterId>) -> Running<'a> {
        let _on_adapter = AdapterUse { site, adapter };
        Running { site, attempt, _on_adapter, pieces: AtomicU64::new(0), whole: AtomicBool::new(false) }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.site.running.fetch_sub(1, Ordering::SeqCst);
        held(&self.site.allowed).remove(&self.attempt);
        self.site.log_line(&EngineLogLine::End {
            at: now_millis(),
            engine: self.site.name.clone(),
            attempt: self.attempt.clone(),
            pieces: self.pieces.load(Ordering::SeqCst),
            whole: self.whole.load(Ordering::SeqCst),
        });
    }
}

impl EngineSite {
    /// Counts work in, if it may begin on the weights and the adapter it asks for; the weights it begins on.
    pub(crate) fn admit(
        &self,
        asked_weights: Option<u64>,
        adapter: Option<&AdapterId>,
    ) -> Result<u64, Box<WebResponse>> {
        let weights = held(&self.weights);
        if !weights.accepting {
            let refusal =
                error_response(StatusCode::SERVICE_UNAVAILABLE, "not_accepting", "this engine starts nothing now");
            return Err(Box::new(refusal));
        }
        if asked_weights.is_some_and(|asked_edition| asked_edition != weights.edition) {
            let refusal =
                error_response(StatusCode::CONFLICT, "other_weights", &format!("weights {}", weights.edition));
            return Err(Box::new(refusal));
        }
        if let Some(adapter) = adapter
            && let Err(refusal) = held(&self.adapters).enter(adapter)
        {
            let reason = format!("{adapter} is not held here");
            return Err(Box::new(error_response(StatusCode::MISDIRECTED_REQUEST, refusal.kind(), &reason)));
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        Ok(weights.edition)
    }

    /// Begins to count an attempt's run and its time.
    pub(crate) fn begin(&self, admitted: Admitted) -> (Running<'_>, tokio::sync::watch::Receiver<Instant>) {
        let Admitted { name, adapter, limit } = admitted;
        let (allowed, time_over) = tokio::sync::watch::channel(boot_now() + Span::from_duration(limit));
        held(&self.allowed).insert(name.clone(), allowed);
        (Running::new(self, name, adapter), time_over)
    }

    /// Gives an attempt under way more time; less is never taken.
    pub(crate) fn allow(&self, attempt: &str, asked: &IncomingRequest) -> WebResponse {
        let until = boot_now() + Span::from_duration(limit_of(asked));
        let is_running = held(&self.allowed).get(attempt).map(|allowed| {
            allowed.send_modify(|allowed_until| *allowed_until = until.max(*allowed_until));
        });
        match is_running {
            Some(()) => json_response(StatusCode::OK, &json!({})),
            None => error_response(StatusCode::NOT_FOUND, "no_such_shot", "no such shot is under way"),
        }
    }
}

/// How long an attempt may be worked on from now on.
pub(crate) fn limit_of(asked: &IncomingRequest) -> Duration {
    let limit_ms = asked.header(LIMIT_HEADER).and_then(|text| text.parse::<u64>().ok());
    Duration::from_millis(limit_ms.unwrap_or(LONGEST_WORK_MS).min(LONGEST_WORK_MS))
}

/// Resolves when an attempt's time is over, however often it was given more.
pub(crate) async fn passed(mut time_over: tokio::sync::watch::Receiver<Instant>) {
    loop {
        let left = time_over.borrow_and_update().since(boot_now());
        if left == Span(0) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left.as_duration()) => {}
            _ = time_over.changed() => {}
        }
    }
}
