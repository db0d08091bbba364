//! One attempt: selects an engine, connects to it and sends the request if the gate allows it.

use super::Relay;
use super::answer_head::OpenResponse;
use super::attempt_end::{AttemptEnd, failed};
use super::overdue::OverdueWatch;
use super::start_limit::StartLimit;
use crate::prelude::*;

/// The gate's refusal, if any.
type SharedRefusal = Arc<Mutex<Option<StartRefusal>>>;

impl Relay {
    /// Sends the request to an engine and waits for a successful response head.
    pub(super) async fn attempt(
        &mut self,
        is_retry: bool,
        last_event: Option<u64>,
    ) -> Result<OpenResponse, AttemptEnd> {
        let (chosen, reservation) = self.choose(is_retry).await?;
        let watch = OverdueWatch::begin(self, &chosen.engine);
        self.count_attempt(is_retry);
        let mut connection = self.connect(&chosen).await?;
        let limit = StartLimit::of(self, &chosen.engine, chosen.weights);
        let response = limit.within(self.send(&chosen, &mut connection, last_event)).await?;
        watch.end();
        self.check_head(*chosen, reservation, connection, response).await
    }

    /// Selects an engine and reserves the request's load on it.
    async fn choose(&mut self, is_retry: bool) -> Result<(Box<Chosen>, EngineReservation), AttemptEnd> {
        let planned = Arc::clone(&self.planned);
        let request = Box::new(SelectRequest { planned, tried: self.tried.clone(), is_retry });
        match self.scheduler.ask(|reply| SchedulerCommand::Select { request, reply }).await {
            Some(Selected::Chosen(chosen)) => {
                let tokens = self.planned.head.prompt_tokens + self.planned.head.output_tokens;
                let reservation =
                    EngineReservation::new(&self.scheduler, chosen.engine.clone(), tokens, chosen.prefill_tokens);
                Ok((chosen, reservation))
            }
            Some(Selected::Refused { retry_after }) => {
                self.retry_after = retry_after;
                Err(AttemptEnd::NoEngine)
            }
            Some(Selected::NoBudget) | None => Err(AttemptEnd::NoEngine),
        }
    }

    fn count_attempt(&self, is_retry: bool) {
        self.shared.counts.attempts.fetch_add(1, Ordering::Relaxed);
        if is_retry {
            self.shared.counts.retries.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn connect(&mut self, chosen: &Chosen) -> Result<PersistentConnection, AttemptEnd> {
        let connecting = self.pool.connect(&chosen.address, boot_now()).await;
        let (connection, _) = connecting.map_err(|reason| {
            self.record_unreachable(&chosen.engine, &reason);
            failed(Failure::NotSent)
        })?;
        Ok(connection)
    }

    /// Sends the request if the gate allows it, and waits for the response head.
    async fn send(
        &mut self,
        chosen: &Chosen,
        connection: &mut PersistentConnection,
        last_event: Option<u64>,
    ) -> Result<Response<Incoming>, AttemptEnd> {
        let snapshot = self.shared.snapshot();
        let salt = self.planned.salt(&snapshot, chosen.weights);
        let request = match self.request(chosen, &salt, last_event, &snapshot) {
            Ok(request) => request,
            Err(reason) => return Err(self.unsendable(chosen, &reason)),
        };
        let refusal = SharedRefusal::default();
        let gate = self.gate(chosen, salt, &refusal);
        let time_left = self.planned.deadline.since(boot_now()).as_duration();
        let sending = tokio::time::timeout(time_left, connection.send(request, gate));
        match sending.await {
            Err(_) => Err(AttemptEnd::TimedOut { is_sent: true }),
            Ok(Err(error)) => Err(self.send_failure(chosen, &refusal, &error)),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// The attempt cannot be written for this engine; another engine's may be.
    fn unsendable(&mut self, chosen: &Chosen, reason: &str) -> AttemptEnd {
        event!(warn, "attempt_unsendable", engine = chosen.engine, reason = reason);
        self.tried.push(chosen.engine.clone());
        failed(Failure::NotSent)
    }

    /// How an attempt ends that got no response: refused by the gate, or failed.
    fn send_failure(
        &mut self,
        chosen: &Chosen,
        refusal: &SharedRefusal,
        error: &web::prelude::SendFault,
    ) -> AttemptEnd {
        if let Some(found) = *refusal.lock().expect("no holder of this lock panics") {
            return AttemptEnd::Refused(found);
        }
        self.record_fault(&chosen.engine, FaultKind::Broken, &error.reason);
        failed(if error.byte_left { Failure::Uncertain } else { Failure::NotSent })
    }

    /// The check before the first byte is written; a refusal is stored in `refusal`.
    fn gate(&self, chosen: &Chosen, salt: Salt, refusal: &SharedRefusal) -> web::prelude::SendGate {
        let basis = AttemptBasis {
            is_public: self.planned.route.spec.public,
            tenant: self.planned.tenant.clone(),
            model: self.planned.head.model.clone(),
            engine: chosen.engine.clone(),
            weights: chosen.weights,
            salt,
            deadline: self.planned.deadline,
        };
        let (shared, refusal) = (Arc::clone(&self.shared), Arc::clone(refusal));
        Box::new(move || {
            may_start(&shared.snapshot(), shared.lease_until(), &basis, boot_now()).map_err(|found| {
                *refusal.lock().expect("no holder of this lock panics") = Some(found);
                format!("{found:?}")
            })
        })
    }

    /// The caller's request with this attempt's headers.
    fn request(
        &self,
        chosen: &Chosen,
        salt: &Salt,
        last_event: Option<u64>,
        snapshot: &FleetSnapshot,
    ) -> Result<Request<Full<Bytes>>, String> {
        let planned = &self.planned;
        let mut request = Request::new(Full::new(planned.body.clone()));
        *request.method_mut() = planned.method.clone();
        *request.uri_mut() = planned.target.parse::<Uri>().map_err(|error| error.to_string())?;
        *request.headers_mut() = planned.headers.clone();
        let attempt_head = AttemptHead {
            attempt: &planned.head.attempt,
            engine: &chosen.engine,
            time_left: planned.deadline.since(boot_now()),
            tenant: planned.tenant.as_ref().map(|(tenant, _)| tenant),
            last_event,
            weights: (chosen.weights != NO_WEIGHTS).then_some(chosen.weights),
            salt: salt.0.as_str(),
            priority: planned.priority(snapshot),
            fetch_from: chosen.fetch.as_ref().map(|fetch| fetch.address.as_str()),
            store_to: chosen.sink.as_deref(),
        };
        self.protocol.write_attempt(&attempt_head, request.headers_mut())?;
        Ok(request)
    }
}
