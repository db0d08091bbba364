//! AllowanceExtender an engine more time for an attempt under way, while the lease bears it. An attempt that is over
//! before its first allowance, as most are, costs nothing here but a timer.

use crate::prelude::*;

const RETRY_PAUSE: Duration = Duration::from_millis(200);
const REQUEST_TIMEOUT: Span = Span::millis(500);

pub struct AllowanceExtender(tokio::task::AbortHandle);

impl Drop for AllowanceExtender {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl AllowanceExtender {
    pub fn begin(
        shared: &Arc<SharedState>,
        address: &str,
        attempt: &str,
        limit: Instant,
        mut allowance: Allowance,
    ) -> AllowanceExtender {
        let (shared, address, page) = (Arc::clone(shared), address.to_owned(), attempt_limit_path(attempt));
        let allowing = tokio::spawn(async move {
            while let Some(due) = allowance.due(limit) {
                let now = boot_now();
                if now < due {
                    tokio::time::sleep(due.since(now).as_duration()).await;
                    continue;
                }
                if let Some(more) = allowance.more(shared.lease_until(), limit, now)
                    && allow(&address, &page, more, now).await
                {
                    allowance = more;
                    continue;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
        AllowanceExtender(allowing.abort_handle())
    }
}

/// Tells the engine; a process that was frozen before the first byte left does not say what is old.
async fn allow(address: &str, page: &str, more: Allowance, now: Instant) -> bool {
    let allowed_ms = more.left(now).as_millis().to_string();
    let question = Question::with_json(Method::POST, page, &json!({})).header(LIMIT_HEADER, allowed_ms);
    let gate = Box::new(move || match boot_now().since(now) < REQUEST_TIMEOUT {
        true => Ok(()),
        false => Err("too late".into()),
    });
    let telling = async {
        let stream = open_stream(address, REQUEST_TIMEOUT).await.ok()?;
        stream.send_gated(question, gate).await.ok()
    };
    let told = tokio::time::timeout(REQUEST_TIMEOUT.as_duration(), telling).await.ok().flatten();
    told.is_some_and(|replied| replied.status == StatusCode::OK)
}
