//! Where requests enter: pages, checks, the plan, a seat for the tenant, and on to the carrying.

use crate::prelude::*;

pub struct Entry {
    pub router: NodeId,
    pub stand: Arc<Stand>,
    pub table: TableAsker,
    pub next_run: AtomicU64,
}

/// Counts a request as running until dropped.
pub struct Running(Arc<Stand>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.counts.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Site for Entry {
    fn answer(self: Arc<Self>, asked: Asked) -> AnswerFuture {
        Box::pin(self.route(asked))
    }
}

impl Entry {
    async fn route(self: Arc<Self>, asked: Asked) -> Answered {
        let (method, segments) = asked.way();
        match (method.as_str(), segments.as_slice()) {
            ("POST", ["v1", "completions"]) => self.take(asked, Form::Completion).await,
            ("POST", ["v1", "chat", "completions"]) => self.take(asked, Form::Chat).await,
            ("GET", ["live"]) => answer_bytes(StatusCode::OK, "text/plain", "live\n"),
            ("GET", ["ready"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics(),
            _ => no_such_page(),
        }
    }

    async fn take(&self, mut asked: Asked, form: Form) -> Answered {
        Counts::add(&self.stand.counts.requests, 1);
        self.stand.counts.running.fetch_add(1, Ordering::SeqCst);
        let running = Running(Arc::clone(&self.stand));
        match self.admit(&mut asked, form).await {
            Ok((plan, seat)) => {
                let run =
                    Run { plan, _held: (seat, running), stand: Arc::clone(&self.stand), table: self.table.clone() };
                run.carry().await
            }
            Err(refusal) => {
                Counts::add(&self.stand.counts.refused, 1);
                event!(info, "request_refused", status = refusal.status.as_u16(), reason = refusal.reason);
                refusal.into_answer()
            }
        }
    }

    async fn admit(&self, asked: &mut Asked, form: Form) -> Result<(Plan, Seat), Refusal> {
        let now = boot_now();
        if self.stand.draining.load(Ordering::SeqCst) {
            let reason = "this router is stopping";
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "draining", reason).retry_after(1));
        }
        if !self.stand.holds_lease(now) {
            let reason = "this router holds no lease";
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no_lease", reason).retry_after(1));
        }
        let headers = HeaderFields::read(asked)?;
        let body = asked.read_body(MOST_REQUEST_BYTES).await.map_err(|fault| match fault {
            BodyFault::TooLarge => {
                let reason = format!("at most {MOST_REQUEST_BYTES} bytes");
                Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", reason)
            }
            BodyFault::TooSlow => Refusal::new(StatusCode::REQUEST_TIMEOUT, "too_slow", "the body came too slowly"),
            BodyFault::Broken(reason) => Refusal::new(StatusCode::BAD_REQUEST, "bad_request", reason),
        })?;
        let request: CallerRequest = serde_json::from_slice(&body)
            .map_err(|fault| Refusal::new(StatusCode::BAD_REQUEST, "bad_request", fault.to_string()))?;
        let run_number = self.next_run.fetch_add(1, Ordering::SeqCst);
        let run = format!("{}.{run_number}", self.router);
        let plan = Plan::make(request, form, &headers, &self.stand.sight(), run, now)?;
        let overloaded = || {
            let reason = "the router is overloaded";
            Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", reason).retry_after(1)
        };
        let admitted = self.table.admit(&plan.tenant, plan.share).await.ok_or_else(overloaded)?;
        let Some(seat) = admitted else {
            let reason = "the tenant's share is in use";
            return Err(Refusal::new(StatusCode::TOO_MANY_REQUESTS, "over_share", reason).retry_after(1));
        };
        Ok((plan, seat))
    }

    fn ready(&self) -> Answered {
        let is_ready = self.stand.holds_lease(boot_now()) && !self.stand.draining.load(Ordering::SeqCst);
        if is_ready {
            answer_bytes(StatusCode::OK, "text/plain", "ready\n")
        } else {
            answer_bytes(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
        }
    }

    fn metrics(&self) -> Answered {
        let counts = &self.stand.counts;
        let now = boot_now();
        let sight = self.stand.sight();
        let mut text = String::new();
        let counters = [
            ("requests_total", &counts.requests),
            ("running", &counts.running),
            ("shots_total", &counts.shots),
            ("retries_total", &counts.retries),
            ("whole_total", &counts.whole),
            ("not_run_total", &counts.not_run),
            ("unknown_total", &counts.unknown),
            ("cut_total", &counts.cut),
            ("cancelled_total", &counts.cancelled),
            ("refused_total", &counts.refused),
            ("prompt_blocks_total", &counts.prompt_blocks),
            ("reused_blocks_total", &counts.reused_blocks),
            ("history_picks_total", &counts.history_picks),
        ];
        for (name, counter) in counters {
            text.push_str(&format!("haremount_router_{name} {}\n", counter.load(Ordering::Relaxed)));
        }
        text.push_str(&format!("haremount_router_edition {}\n", sight.state.edition));
        text.push_str(&format!("haremount_router_lease_left_ms {}\n", self.stand.lease_left(now).as_millis()));
        answer_bytes(StatusCode::OK, "text/plain; version=0.0.4", text)
    }
}
