//! The readiness probe, the liveness probe and the metrics.

use crate::prelude::*;

/// Serves the probes and the metrics.
pub struct Readiness {
    pub shared: Arc<SharedState>,
    pub ready_page: &'static str,
    /// What callers hold.
    pub callers: Arc<Budget>,
}

/// Whether requests are accepted: the router holds a lease, has a configuration and is not draining.
pub fn takes_requests(shared: &SharedState, now: Instant) -> bool {
    let has_configuration = shared.snapshot().state.configuration.revision.0 > 0;
    has_configuration && shared.holds_lease(now) && !shared.draining.load(Ordering::SeqCst)
}

impl RequestHandler for Readiness {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            match request.uri.path() {
                page if page == self.ready_page => self.ready(),
                "/metrics" => self.metrics(),
                "/live" => bytes_response(StatusCode::OK, "text/plain", "live\n"),
                _ => bytes_response(StatusCode::NOT_FOUND, "text/plain", "no such page\n"),
            }
        })
    }
}

impl Readiness {
    fn ready(&self) -> WebResponse {
        match takes_requests(&self.shared, boot_now()) {
            true => bytes_response(StatusCode::OK, "text/plain", "ready\n"),
            false => bytes_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
        }
    }

    fn metrics(&self) -> WebResponse {
        let counts = &self.shared.counts;
        let counters = [
            ("requests_total", &counts.requests),
            ("running", &counts.running),
            ("attempts_total", &counts.attempts),
            ("further_attempts_total", &counts.retries),
            ("whole_total", &counts.whole),
            ("not_run_total", &counts.not_run),
            ("uncertain_total", &counts.unknown),
            ("cut_total", &counts.cut),
            ("refused_total", &counts.refused),
            ("late_starts_total", &counts.late_starts),
        ];
        let mut text = String::new();
        for (name, counter) in counters {
            text.push_str(&format!("haremount_gateway_{name} {}\n", counter.load(Ordering::Relaxed)));
        }
        let lease_left = self.shared.lease_left(boot_now()).as_millis();
        text.push_str(&format!("haremount_gateway_lease_left_ms {lease_left}\n"));
        let is_passed_over = u8::from(self.shared.with_grants(|grants| grants.is_passed_over()));
        text.push_str(&format!("haremount_gateway_passed_over {is_passed_over}\n"));
        let caller_figures = [
            ("caller_bytes", self.callers.held_bytes()),
            ("caller_connections", self.callers.connections() as u64),
            ("callers_evicted_total", self.callers.evictions()),
        ];
        for (name, figure) in caller_figures {
            text.push_str(&format!("haremount_gateway_{name} {figure}\n"));
        }
        bytes_response(StatusCode::OK, "text/plain; version=0.0.4", text)
    }
}
