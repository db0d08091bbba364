//! Responses to the caller: the head of an answer, its pieces and its end, or the error of a request given up.

use super::Forwarder;
use super::sink::Sink;
use crate::prelude::*;

/// How many events may wait for a caller that reads slowly.
const PIECE_QUEUE_CAPACITY: usize = 32;
/// The least time that the rest of a complete stream gets to be sent.
const MIN_FINISH_TIME: Duration = Duration::from_millis(500);
/// The `retry-after` of a request given up, in seconds.
const RETRY_AFTER_S: &str = "1";
/// The `retry-after` of a request whose adapter has to be loaded first, in seconds.
const COLD_ADAPTER_RETRY_AFTER_S: &str = "2";

impl Forwarder {
    /// Handles the first piece: the engine holds the prompt's blocks now, and a stream to the caller opens.
    pub(super) fn begin_answer(&mut self) -> Option<WebResponse> {
        self.first_ms = Some(boot_now().since(self.run.plan.began).as_millis());
        if let Some(attempt) = &self.attempt {
            let chosen = &attempt.placement.chosen;
            let salt = self.run.plan.salt(&attempt.snapshot, chosen.weights);
            let names = hash_blocks(&salt, self.run.plan.prompt_text.as_bytes());
            self.run.scheduler.tell(SchedulerCommand::RecordCached { engine: chosen.engine.clone(), names });
            self.run.count_blocks(&attempt.placement);
            if attempt.adapter.is_some() {
                self.run.shared.counts.count_adapter_request(chosen.distance_blocks, chosen.is_far);
            }
        }
        if !self.run.plan.streams {
            return None;
        }
        let plan = &self.run.plan;
        let held_run = if plan.resumes { self.run.held_runs.open(plan.run_number, &plan.tenant) } else { None };
        let (sink, response) = match held_run {
            Some(held_run) => (Sink::Buffer(Arc::clone(&held_run)), held_run.stream_from(0)),
            None => {
                let (pieces, response) =
                    streaming_response(StatusCode::OK, "text/event-stream", PIECE_QUEUE_CAPACITY);
                (Sink::Caller(pieces), response.with_header("cache-control", "no-store"))
            }
        };
        self.sink = Some(Arc::new(sink));
        Some(self.with_adapter_name(response.with_header(RUN_HEADER, &plan.run)))
    }

    /// Queues a piece for the caller, in the format of its request.
    pub(super) fn send_piece(&mut self, completion: Completion) {
        let plan = &self.run.plan;
        let formatted = format_piece(completion, &plan.run, plan.format);
        let event_text = format!("id: {}.{}\ndata: {formatted}\n\n", plan.run, self.piece_count);
        self.piece_count += 1;
        self.outbox.push_back(Bytes::from(event_text));
    }

    /// The response to a request that does not stream.
    pub(super) fn answer_whole(&mut self, completion: Completion) -> WebResponse {
        let plan = &self.run.plan;
        Counts::add(&self.run.shared.counts.whole, 1);
        self.run.record("whole", self.first_ms);
        event!(info, "request_ended", run = plan.run, tenant = plan.tenant, outcome = "whole");
        let adapter = completion.adapter.clone();
        let response = json_response(StatusCode::OK, &format_answer(completion, &plan.run, plan.format))
            .with_header(RUN_HEADER, &plan.run)
            .with_header(OUTCOME_HEADER, "whole");
        match adapter {
            Some(adapter) => response.with_header(ADAPTER_HEADER, &adapter),
            None => response,
        }
    }

    /// Adds the name of the attempt's adapter to the head of a stream.
    fn with_adapter_name(&self, response: WebResponse) -> WebResponse {
        match self.attempt.as_ref().and_then(|attempt| attempt.adapter.as_ref()) {
            Some(adapter) => response.with_header(ADAPTER_HEADER, &adapter.to_string()),
            None => response,
        }
    }

    /// Ends the stream. It is complete only once the caller has received every piece and the end mark.
    pub(super) fn end_stream(&mut self, cut: Option<CutReason>) {
        let Some(sink) = self.sink.clone() else { return };
        let counts = &self.run.shared.counts;
        let (counter, outcome) = if cut.is_some() { (&counts.cut, "cut") } else { (&counts.whole, "whole") };
        Counts::add(counter, 1);
        let end_event = format!("id: {}.{}\ndata: {STREAM_END}\n\n", self.run.plan.run, self.piece_count);
        self.log_end(outcome, cut.as_ref().map_or("", |reason| &reason.message));
        if let (None, Some(first_ms), true) = (&cut, self.first_ms, self.piece_count > 1) {
            let streamed = boot_now().since(self.run.plan.began).as_millis().saturating_sub(first_ms);
            let pace = streamed as f64 / (self.piece_count - 1) as f64;
            let tenant = &self.run.plan.tenant;
            self.run.shared.record_policy_metrics(&self.policy, tenant, |figures| figures.pace.add(pace));
        }
        match cut {
            Some(reason) => sink.cut(reason),
            None => {
                let mut rest = std::mem::take(&mut self.outbox);
                rest.push_back(Bytes::from(end_event));
                let limit_left = self.run.plan.limit.since(boot_now()).as_duration().max(MIN_FINISH_TIME);
                tokio::spawn(async move { sink.finish(rest, limit_left).await });
            }
        }
    }

    /// Records and logs the end of the run.
    pub(super) fn log_end(&self, outcome: &str, reason: &str) {
        self.run.record(outcome, self.first_ms);
        event!(
            info,
            "request_ended",
            run = self.run.plan.run,
            tenant = self.run.plan.tenant,
            outcome = outcome,
            pieces = self.piece_count,
            engine = self.engine,
            reason = reason
        );
    }

    /// The final response of a request given up, with the time after which to retry.
    pub(super) fn give_up(&self, given_up: GivenUp) -> WebResponse {
        let counts = &self.run.shared.counts;
        let plan = &self.run.plan;
        let GivenUp { kind, ran, reason } = given_up;
        if kind == GivenUpKind::Claimed {
            Counts::add(&counts.refused, 1);
            let message = "the idempotency key is claimed by an earlier request; the request is not run again";
            let body = json!({"error": {"type": "claimed", "message": message}, "run": reason});
            return json_response(StatusCode::CONFLICT, &body).with_header(OUTCOME_HEADER, "claimed");
        }
        let may_have_run = ran == Ran::Perhaps;
        let (counter, outcome) =
            if may_have_run { (&counts.unknown, "unknown") } else { (&counts.not_run, "not_run") };
        Counts::add(counter, 1);
        self.log_end(outcome, &reason);
        let (status, error_type, message) = match (kind, may_have_run) {
            (GivenUpKind::LimitPassed, _) => {
                (StatusCode::GATEWAY_TIMEOUT, outcome, "the request's time limit passed")
            }
            (GivenUpKind::NoLease, _) => (StatusCode::SERVICE_UNAVAILABLE, "no_lease", "this router holds no lease"),
            (GivenUpKind::KeyWithdrawn, _) => (StatusCode::UNAUTHORIZED, "unknown_key", "the key was withdrawn"),
            (GivenUpKind::AdapterCold, false) => (StatusCode::SERVICE_UNAVAILABLE, "adapter_cold", reason.as_str()),
            (_, true) => (StatusCode::BAD_GATEWAY, outcome, reason.as_str()),
            (_, false) => (StatusCode::SERVICE_UNAVAILABLE, outcome, reason.as_str()),
        };
        let retry_after = if kind == GivenUpKind::AdapterCold { COLD_ADAPTER_RETRY_AFTER_S } else { RETRY_AFTER_S };
        if kind == GivenUpKind::AdapterCold {
            Counts::add(&counts.adapter_cold, 1);
        }
        error_response(status, error_type, message)
            .with_header(OUTCOME_HEADER, outcome)
            .with_header(RUN_HEADER, &plan.run)
            .with_header("retry-after", retry_after)
    }
}
