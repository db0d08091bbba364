//! One attempt at an engine: picks it, connects, sends the request if it may still start, and reads the answer.

use super::{Awaited, Forwarder, Input};
use crate::prelude::*;

/// The time limit for connecting to an engine.
pub(super) const CONNECT_TIMEOUT: Span = Span::millis(700);
/// Maximum size of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// How long an answer that is not streamed may take once it has begun.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the body of an engine's error response.
const MAX_ERROR_BYTES: usize = 1 << 16;
/// How long the body of an engine's error response may take.
const ERROR_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A running attempt; dropped when it ends, which frees all that it holds.
pub(super) struct Attempt {
    pub(super) placement: Box<Placement>,
    /// The fleet snapshot from which it was placed.
    pub(super) snapshot: Arc<FleetSnapshot>,
    /// The adapter it runs on; `None` for the base model.
    pub(super) adapter: Option<AdapterId>,
    pub(super) occupancy: OccupancyGuard,
    stream: Option<OpenStream>,
    response: Option<IncomingResponse>,
    reader: EventReader,
    /// Extends the engine's time allowance; ends with the attempt.
    extender: Option<AllowanceExtender>,
}

impl Attempt {
    fn new(
        placement: Box<Placement>,
        snapshot: Arc<FleetSnapshot>,
        adapter: Option<AdapterId>,
        occupancy: OccupancyGuard,
    ) -> Attempt {
        let reader = EventReader::default();
        Attempt { placement, snapshot, adapter, occupancy, stream: None, response: None, reader, extender: None }
    }

    /// The body of the request to the engine.
    fn engine_request(&self, plan: &RequestPlan, salt: &Salt) -> EngineRequest {
        EngineRequest {
            model: plan.model.0.clone(),
            prompt: (*plan.prompt_text).clone(),
            max_tokens: plan.max_tokens,
            stream: plan.streams,
            cache_salt: salt.0.clone(),
            fetch: to_fetch_orders(&self.placement.fetches),
        }
    }

    /// The facts that are checked again when the first byte is written.
    fn basis(&self, plan: &RequestPlan, salt: Salt) -> AttemptBasis {
        let chosen = &self.placement.chosen;
        AttemptBasis {
            key_hash: plan.key_hash.clone(),
            tenant: plan.tenant.clone(),
            model: plan.model.clone(),
            engine: chosen.engine.clone(),
            weights: chosen.weights,
            adapter: self.adapter.clone(),
            salt,
            limit: plan.limit,
        }
    }

    /// Reads the next piece of the engine's stream, or its end.
    async fn read_streamed(&mut self, has_end_mark: bool) -> Input {
        let Some(response) = self.response.as_mut() else { return no_connection() };
        loop {
            match self.reader.next_data() {
                Some(Err(reason)) => return Input::Broken(reason),
                Some(Ok(data)) if data == STREAM_END => return Input::EndMark,
                Some(Ok(data)) => return read_piece(&data, self.adapter.as_ref()),
                None if has_end_mark && !self.reader.is_empty() => {
                    return Input::Broken("data after the end mark".into());
                }
                None => {}
            }
            match response.next_chunk().await {
                Ok(Some(bytes)) => self.reader.feed(&bytes),
                Ok(None) => return Input::Closed,
                Err(reason) => return Input::Broken(reason),
            }
        }
    }

    /// Reads an answer that is not streamed.
    async fn read_whole(&mut self) -> Input {
        let Some(response) = self.response.as_mut() else { return no_connection() };
        match read_whole(&mut response.body, MAX_ANSWER_BYTES, ANSWER_READ_TIMEOUT).await {
            Ok(body) => read_piece(&String::from_utf8_lossy(&body), self.adapter.as_ref()),
            Err(fault) => Input::Broken(format!("answer: {fault:?}")),
        }
    }
}

impl Forwarder {
    /// Asks the scheduler for an engine.
    pub(super) async fn pick(&mut self, tried: &[EngineName], is_retry: bool) -> Input {
        let snapshot = self.run.shared.snapshot();
        let prompt = self.run.plan.prompt(&snapshot, tried, boot_now());
        let adapter = prompt.adapter.clone();
        let outcome = match self.run.scheduler.pick(prompt, is_retry).await {
            None => PickOutcome::Overloaded,
            Some((Picked::Placed(placement), Some(occupancy))) => {
                let engine = placement.chosen.engine.clone();
                self.engine = engine.clone();
                self.policy = placement.policy.clone();
                self.attempt = Some(Attempt::new(placement, snapshot, adapter, occupancy));
                PickOutcome::Placed(engine)
            }
            Some((Picked::NoBudget, _)) => PickOutcome::NoBudget,
            Some((Picked::NoAdapter, _)) => PickOutcome::NoAdapter,
            Some(_) => PickOutcome::NoEngine,
        };
        Input::Picked(outcome)
    }

    /// Opens a connection to the engine for this attempt alone.
    pub(super) async fn connect(&mut self) -> Input {
        let Some(attempt) = self.attempt.as_mut() else { return no_attempt() };
        match open_stream(&attempt.placement.address, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                attempt.stream = Some(stream);
                Input::Connected
            }
            Err(reason) => Input::ConnectFault(reason),
        }
    }

    /// Sends the request. The same call that writes its first byte checks that the attempt may start.
    pub(super) async fn send_request(&mut self) -> Input {
        let attempt_name = self.machine.attempt();
        let Some(attempt) = self.attempt.as_mut() else { return no_attempt() };
        let Some(stream) = attempt.stream.take() else { return no_connection() };
        let plan = &self.run.plan;
        let salt = plan.salt(&attempt.snapshot, attempt.placement.chosen.weights);
        let engine_request = attempt.engine_request(plan, &salt);
        let basis = attempt.basis(plan, salt);
        if let Some(prefill_place) = &attempt.placement.prefill {
            self.run.prefill(prefill_place, &attempt_name, &basis).await;
        }
        let shared = &self.run.shared;
        let allowance = Allowance::under(shared.lease_until(), plan.limit);
        let allowed_ms = allowance.left(boot_now()).as_millis().max(1);
        attempt.extender =
            Some(AllowanceExtender::spawn(shared, &attempt.placement.address, &attempt_name, plan.limit, allowance));
        let request = OutgoingRequest::with_json(Method::POST, "/v1/completions", &json!(engine_request))
            .header(ATTEMPT_HEADER, attempt_name)
            .header(WEIGHTS_HEADER, basis.weights.to_string())
            .header(LIMIT_HEADER, allowed_ms.to_string());
        let request = with_adapter_header(request, basis.adapter.as_ref());
        let refusal = Arc::new(Mutex::new(None));
        let gate = {
            let (shared, refusal) = (Arc::clone(shared), Arc::clone(&refusal));
            Box::new(move || {
                shared.may_start(&basis).map_err(|found| {
                    *refusal.lock().expect("no holder of this lock panics") = Some(found);
                    format!("{found:?}")
                })
            })
        };
        match stream.send_gated(request, gate).await {
            Ok(response) => self.read_head(response).await,
            Err(SendFault { reason, byte_left }) => match *refusal.lock().expect("no holder of this lock panics") {
                Some(found) => Input::StartRefused(found),
                None => Input::SendFault { byte_left, reason },
            },
        }
    }

    /// Reads the head of the engine's response: the answer begins, or the reason why it does not.
    async fn read_head(&mut self, response: IncomingResponse) -> Input {
        if response.status != StatusCode::OK {
            return self.read_error(response).await;
        }
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.response = Some(response);
        }
        self.awaited = Awaited::Pieces;
        Input::Head { head: ResponseClass::Success, detail: String::new() }
    }

    async fn read_error(&self, mut response: IncomingResponse) -> Input {
        let body = read_whole(&mut response.body, MAX_ERROR_BYTES, ERROR_READ_TIMEOUT).await.unwrap_or_default();
        let error_body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let error_type = error_body["error"]["type"].as_str().unwrap_or("");
        let head = match error_type {
            "not_accepting" | "other_weights" | ADAPTER_NOT_RESIDENT => ResponseClass::NotStarted,
            "limit_passed" => ResponseClass::OutOfTime,
            _ => ResponseClass::Failure,
        };
        if error_type == ADAPTER_NOT_RESIDENT {
            self.report_cold_adapter();
        }
        Input::Head { head, detail: format!("engine answered {} {error_type}", response.status.as_u16()) }
    }

    /// Reads the next piece of the answer, or an answer that is not streamed.
    pub(super) async fn read(&mut self) -> Input {
        let has_end_mark = self.machine.has_end_mark();
        let Some(attempt) = self.attempt.as_mut() else { return no_attempt() };
        match self.run.plan.streams {
            true => attempt.read_streamed(has_end_mark).await,
            false => attempt.read_whole().await,
        }
    }

    /// Reports that the engine does not hold the adapter, contrary to the fleet state.
    fn report_cold_adapter(&self) {
        let Some(attempt) = &self.attempt else { return };
        let Some(adapter) = attempt.adapter.clone() else { return };
        Counts::add(&self.run.shared.counts.adapter_refusals, 1);
        self.run.scheduler.tell(SchedulerCommand::RecordCold { engine: attempt.occupancy.engine.clone(), adapter });
    }

    /// Logs and counts a failed attempt.
    pub(super) fn record_fault(&self, reason: &str, ran: Ran, avoid_engine: bool) {
        let Some(attempt) = &self.attempt else { return };
        let tenant = &self.run.plan.tenant;
        self.run.shared.record_policy_metrics(&attempt.placement.policy, tenant, |figures| figures.faults += 1);
        event!(
            warn,
            "shot_fault",
            shot = self.machine.attempt(),
            engine = attempt.occupancy.engine,
            reason = reason,
            ran = format!("{ran:?}").to_lowercase()
        );
        if avoid_engine {
            self.run.scheduler.tell(SchedulerCommand::RecordFault { engine: attempt.occupancy.engine.clone() });
        }
    }
}

fn no_attempt() -> Input {
    Input::Broken("no attempt is running".into())
}

fn no_connection() -> Input {
    Input::Broken("no connection is open".into())
}

/// Names the adapter that the prompt runs on in the request's headers.
pub(super) fn with_adapter_header(request: OutgoingRequest, adapter: Option<&AdapterId>) -> OutgoingRequest {
    match adapter {
        Some(adapter) => request.header(ADAPTER_HEADER, adapter.to_string()),
        None => request,
    }
}

/// Parses a piece, or an answer that is not streamed, and checks that it names the adapter of its attempt.
fn read_piece(data: &str, adapter: Option<&AdapterId>) -> Input {
    match serde_json::from_str::<Completion>(data) {
        Ok(completion) if !names_expected_adapter(adapter, completion.adapter.as_deref()) => {
            Input::Broken("the answer names another adapter".into())
        }
        Ok(completion) => {
            let finished = !completion.choices.is_empty()
                && completion.choices.iter().all(|choice| choice.finish_reason.is_some());
            Input::Piece { attempt: completion.id.clone(), finished, piece: Box::new(completion) }
        }
        Err(fault) => Input::Broken(format!("malformed piece: {fault}")),
    }
}

/// Converts the runs of blocks that the engine is to fetch to the form of its API.
fn to_fetch_orders(fetches: &[FetchRun]) -> Vec<FetchOrder> {
    fetches
        .iter()
        .map(|run| FetchOrder { address: run.address.clone(), block_hashes: format_hashes(&run.names) })
        .collect()
}
