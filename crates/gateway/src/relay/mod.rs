//! Carrying a request to its engines and the answer back. The exchange says what follows a failure; this
//! does it. Until the answer begins the relay lives in its caller's own call, so that a caller who leaves
//! ends it; a stream under way has a task of its own.

mod answer_head;
mod attempt;
mod attempt_end;
mod buffered_response;
mod engine_reports;
mod open_stream;
mod overdue;
mod pump;

use crate::prelude::*;

/// One request on its way.
pub struct Relay {
    planned: Arc<PlannedRequest>,
    retry_state: RetryState,
    tried: Vec<EngineName>,
    retry_after: Span,
    shared: Arc<SharedState>,
    table: TableHandle,
    pool: Arc<ConnectionPool>,
    protocol: Arc<dyn Protocol>,
    _running: RunningCount,
}

impl Relay {
    /// A planned request that has not been sent to any engine yet.
    pub fn new(planned: PlannedRequest, running: RunningCount, caller_site: &CallerSite) -> Relay {
        Relay {
            retry_state: RetryState::new(planned.retry_rules()),
            planned: Arc::new(planned),
            tried: Vec::new(),
            retry_after: NOT_READY_RETRY_AFTER,
            shared: Arc::clone(&caller_site.shared),
            table: caller_site.table.clone(),
            pool: Arc::clone(&caller_site.pool),
            protocol: Arc::clone(&caller_site.protocol),
            _running: running,
        }
    }

    /// Carries on until there is an answer; a stream then goes on by itself.
    pub async fn run(mut self) -> WebOutcome {
        let mut next = NextStep::Select { is_retry: false };
        loop {
            let is_retry = match next {
                NextStep::Select { is_retry } => is_retry,
                NextStep::Answer(answer) => return self.final_response(answer),
                NextStep::Abort => return self.final_response(FinalResponse::Uncertain),
            };
            let end = if self.planned.is_streaming() {
                match self.open_stream(is_retry, self.planned.head.last_event).await {
                    Ok(stream) => return self.forward_stream(stream),
                    Err(end) => end,
                }
            } else {
                match self.buffered_response(is_retry).await {
                    Ok(response) => return response,
                    Err(end) => end,
                }
            };
            next = match self.next_step(end) {
                Ok(next) => next,
                Err(response) => return *response,
            };
        }
    }
}
