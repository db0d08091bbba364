//! One attempt: an engine is chosen and connected, and the request sent to it through the gate.

use super::Relay;
use super::answer_head::OpenAnswer;
use super::attempt_end::{AttemptEnd, failed};
use super::silence::SilenceWatch;
use crate::prelude::*;

/// Why the gate stayed shut, if it did.
type FoundBar = Arc<Mutex<Option<Bar>>>;

impl Relay {
    /// Sends the request to an engine and waits for a good head.
    pub(super) async fn attempt(
        &mut self,
        is_further: bool,
        last_event: Option<u64>,
    ) -> Result<OpenAnswer, AttemptEnd> {
        let (chosen, seat) = self.choose(is_further).await?;
        let watch = SilenceWatch::begin(self, &chosen.engine);
        self.count_attempt(is_further);
        let mut connection = self.connect(&chosen).await?;
        let response = self.send(&chosen, &mut connection, last_event).await?;
        watch.end();
        self.judge(*chosen, seat, connection, response).await
    }

    /// Chooses an engine, with its load counted from now on.
    async fn choose(&mut self, is_further: bool) -> Result<(Box<Chosen>, EngineSeat), AttemptEnd> {
        let planned = Arc::clone(&self.planned);
        let request = Box::new(SelectRequest { planned, tried: self.tried.clone(), is_further });
        match self.table.ask(|reply| TableCommand::Select { request, reply }).await {
            Some(Selected::Chosen(chosen)) => {
                let tokens = self.planned.head.prompt_tokens + self.planned.head.output_tokens;
                let seat = EngineSeat::new(&self.table, chosen.engine.clone(), tokens, chosen.prefill_tokens);
                Ok((chosen, seat))
            }
            Some(Selected::Refused { retry_after }) => {
                self.retry_after = retry_after;
                Err(AttemptEnd::NoEngine)
            }
            Some(Selected::NoBudget) | None => Err(AttemptEnd::NoEngine),
        }
    }

    fn count_attempt(&self, is_further: bool) {
        self.shared.counts.attempts.fetch_add(1, Ordering::Relaxed);
        if is_further {
            self.shared.counts.retries.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn connect(&mut self, chosen: &Chosen) -> Result<PersistentConnection, AttemptEnd> {
        let connecting = self.pool.connect(&chosen.address, boot_now()).await;
        let (connection, _) = connecting.map_err(|reason| {
            self.note_unreachable(&chosen.engine, &reason);
            failed(Failure::NotSent)
        })?;
        Ok(connection)
    }

    /// Sends the request, unless the gate finds that it may not start any more, and waits for a head.
    async fn send(
        &mut self,
        chosen: &Chosen,
        connection: &mut PersistentConnection,
        last_event: Option<u64>,
    ) -> Result<Response<Incoming>, AttemptEnd> {
        let sight = self.shared.snapshot();
        let salt = self.planned.salt(&sight, chosen.weights);
        let request = self.request(chosen, salt.as_ref(), last_event, &sight);
        let bar = FoundBar::default();
        let gate = self.gate(chosen, salt, &bar);
        let time_left = self.planned.deadline.since(boot_now()).as_duration();
        let sending = tokio::time::timeout(time_left, connection.send(request, gate));
        match sending.await {
            Err(_) => Err(AttemptEnd::OutOfTime { is_sent: true }),
            Ok(Err(fault)) => Err(self.unsent(chosen, &bar, &fault)),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// What a request that could not be sent whole ends as: barred, or failed.
    fn unsent(&mut self, chosen: &Chosen, bar: &FoundBar, fault: &web::prelude::SendFault) -> AttemptEnd {
        if let Some(found) = *bar.lock().expect("no holder of this lock panics") {
            return AttemptEnd::Barred(found);
        }
        self.note_fault(&chosen.engine, FaultKind::Broken, &fault.reason);
        failed(if fault.byte_left { Failure::Uncertain } else { Failure::NotSent })
    }

    /// The last look before the first byte; what it finds is left in `bar`.
    fn gate(&self, chosen: &Chosen, salt: Option<Salt>, bar: &FoundBar) -> web::prelude::SendGate {
        let ground = AttemptGround {
            tenant: self.planned.tenant.clone(),
            model: self.planned.head.model.clone(),
            engine: chosen.engine.clone(),
            weights: chosen.weights,
            salt,
            deadline: self.planned.deadline,
        };
        let (shared, bar) = (Arc::clone(&self.shared), Arc::clone(bar));
        Box::new(move || {
            may_start(&shared.snapshot(), shared.lease_until(), &ground, boot_now()).map_err(|found| {
                *bar.lock().expect("no holder of this lock panics") = Some(found);
                format!("{found:?}")
            })
        })
    }

    /// The caller's request, with what the protocol tells the engine about this attempt.
    fn request(
        &self,
        chosen: &Chosen,
        salt: Option<&Salt>,
        last_event: Option<u64>,
        sight: &FleetSnapshot,
    ) -> Request<Full<Bytes>> {
        let planned = &self.planned;
        let mut request = Request::new(Full::new(planned.body.clone()));
        *request.method_mut() = planned.method.clone();
        *request.uri_mut() = planned.target.parse().unwrap_or_default();
        *request.headers_mut() = planned.headers.clone();
        let attempt_head = AttemptHead {
            attempt: &planned.head.attempt,
            engine: &chosen.engine,
            left: planned.deadline.since(boot_now()),
            tenant: planned.tenant.as_ref().map(|(tenant, _)| tenant),
            last_event,
            weights: planned.head.model.as_ref().map(|_| chosen.weights),
            salt: salt.map(|salt| salt.0.as_str()),
            urgency: planned.priority(sight),
            fetch_from: chosen.fetch.as_ref().map(|fetch| fetch.address.as_str()),
            store_to: chosen.sink.as_deref(),
        };
        self.protocol.write_attempt(&attempt_head, request.headers_mut());
        request
    }
}
