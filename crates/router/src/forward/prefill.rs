//! Prefill at another engine, in a pool with separate prefill and decode engines.

use super::attempt::{CONNECT_TIMEOUT, with_adapter_header};
use crate::prelude::*;

impl Run {
    /// Requests the prefill ahead of the decode, with the same checks before the first byte as any attempt. If it
    /// fails, the decode engine does the prefill itself.
    pub(super) async fn prefill(&self, prefill_place: &PrefillPlace, attempt_name: &str, basis: &AttemptBasis) {
        let (prompt, cache_salt) = ((*self.plan.prompt_text).clone(), basis.salt.0.clone());
        let half_left = Span(self.plan.limit.since(boot_now()).0 / 2);
        let allowance = Allowance::under(self.shared.lease_until(), self.plan.limit);
        let allowed_ms = allowance.left(boot_now()).min(half_left).as_millis().max(1);
        let request =
            OutgoingRequest::with_json(Method::POST, "/v1/prefill", &json!(PrefillRequest { prompt, cache_salt }))
                .header(ATTEMPT_HEADER, attempt_name)
                .header(WEIGHTS_HEADER, basis.weights.to_string())
                .header(LIMIT_HEADER, allowed_ms.to_string());
        let request = with_adapter_header(request, basis.adapter.as_ref());
        let shared = Arc::clone(&self.shared);
        let basis = AttemptBasis { engine: prefill_place.engine.clone(), ..basis.clone() };
        let gate = Box::new(move || shared.may_start(&basis).map_err(|found| format!("{found:?}")));
        let sending = async {
            let stream = open_stream(&prefill_place.address, CONNECT_TIMEOUT).await?;
            let response = stream.send_gated(request, gate).await.map_err(|fault| fault.reason)?;
            match response.status {
                StatusCode::OK => Ok(()),
                status => Err(format!("engine answered {}", status.as_u16())),
            }
        };
        let timed_out = Err("prefill took more than half of the time left".into());
        if let Err(reason) = tokio::time::timeout(half_left.as_duration(), sending).await.unwrap_or(timed_out) {
            event!(warn, "prefill_fault", run = self.plan.run, engine = prefill_place.engine, reason = reason);
        }
    }
}
