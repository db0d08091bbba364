//! Allowing an engine more time for an attempt under way, while the lease bears it. An attempt that is over
//! before its first allowance, as most are, costs nothing here but a timer.

use crate::prelude::*;

const AGAIN_AFTER: Duration = Duration::from_millis(200);
const ASK_LIMIT: Span = Span::millis(500);

pub struct Allowing(tokio::task::AbortHandle);

impl Drop for Allowing {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Allowing {
    pub fn begin(
        shared: &Arc<SharedState>,
        address: &str,
        attempt: &str,
        limit: Instant,
        mut allowance: Allowance,
    ) -> Allowing {
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
                tokio::time::sleep(AGAIN_AFTER).await;
            }
        });
        Allowing(allowing.abort_handle())
    }
}

/// Tells the engine; a process that was frozen before the first byte left does not say what is old.
async fn allow(address: &str, page: &str, more: Allowance, now: Instant) -> bool {
    let allowed_ms = more.left(now).as_millis().to_string();
    let question = OutgoingRequest::with_json(Method::POST, page, &json!({})).header(LIMIT_HEADER, allowed_ms);
    let gate = Box::new(move || match boot_now().since(now) < ASK_LIMIT {
        true => Ok(()),
        false => Err("too late".into()),
    });
    let telling = async {
        let stream = open_stream(address, ASK_LIMIT).await.ok()?;
        stream.send_gated(question, gate).await.ok()
    };
    let told = tokio::time::timeout(ASK_LIMIT.as_duration(), telling).await.ok().flatten();
    told.is_some_and(|replied| replied.status == StatusCode::OK)
}
