//! Extends the time that an engine may work on a running attempt, as far as the router's lease allows. An attempt
//! that ends within its first allowance, as most do, costs only a timer.

use crate::prelude::*;

/// The pause after an extension that was not possible or failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The time limit of a request for an extension.
const REQUEST_TIMEOUT: Span = Span::millis(500);

/// A task that extends the allowance of one attempt; aborted when dropped.
pub struct AllowanceExtender(tokio::task::AbortHandle);

impl Drop for AllowanceExtender {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl AllowanceExtender {
    /// Starts extending `allowance`, which the engine was given together with the attempt.
    pub fn spawn(
        shared: &Arc<SharedState>,
        address: &str,
        attempt: &str,
        limit: Instant,
        mut allowance: Allowance,
    ) -> AllowanceExtender {
        let (shared, address, path) = (Arc::clone(shared), address.to_owned(), attempt_limit_path(attempt));
        let task = tokio::spawn(async move {
            while let Some(due) = allowance.due(limit) {
                let now = boot_now();
                if now < due {
                    tokio::time::sleep(due.since(now).as_duration()).await;
                    continue;
                }
                if let Some(extended) = allowance.more(shared.lease_until(), limit, now)
                    && send_allowance(&address, &path, extended, now).await
                {
                    allowance = extended;
                    continue;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
        AllowanceExtender(task.abort_handle())
    }
}

/// Sends the new allowance to the engine; true if it accepted. A process that was frozen before the first byte was
/// written sends nothing, as the allowance would be outdated.
async fn send_allowance(address: &str, path: &str, allowance: Allowance, now: Instant) -> bool {
    let allowed_ms = allowance.left(now).as_millis().to_string();
    let request = OutgoingRequest::with_json(Method::POST, path, &json!({})).header(LIMIT_HEADER, allowed_ms);
    let gate = Box::new(move || match boot_now().since(now) < REQUEST_TIMEOUT {
        true => Ok(()),
        false => Err("too late".into()),
    });
    let sending = async {
        let stream = open_stream(address, REQUEST_TIMEOUT).await.ok()?;
        stream.send_gated(request, gate).await.ok()
    };
    let response = tokio::time::timeout(REQUEST_TIMEOUT.as_duration(), sending).await.ok().flatten();
    response.is_some_and(|response| response.status == StatusCode::OK)
}
