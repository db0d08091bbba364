//! Relays a request to engines and the response to the caller; `RetryState` decides what follows a failure. Until
//! the response begins, the relay runs in the caller's own task, so that it ends if the caller disconnects; a
//! stream in progress has its own task.

mod answer_head;
mod attempt;
mod attempt_end;
mod buffered_response;
mod engine_reports;
mod open_stream;
mod overdue;
mod pump;
mod start_limit;

use crate::prelude::*;

/// One request being relayed.
pub struct Relay {
    planned: Arc<PlannedRequest>,
    retry_state: RetryState,
    tried: Vec<EngineName>,
    /// What the engines tried so far showed about gaps between the numbers of the stream's events.
    number_gaps: NumberGaps,
    retry_after: Span,
    shared: Arc<SharedState>,
    scheduler: SchedulerHandle,
    pool: Arc<ConnectionPool>,
    protocol: Arc<dyn Protocol>,
    _running: RunningCount,
}

impl Relay {
    /// Creates the relay of a request that has not been sent to any engine yet.
    pub fn new(planned: PlannedRequest, running: RunningCount, caller_handler: &CallerHandler) -> Relay {
        Relay {
            retry_state: RetryState::new(planned.retry_rules()),
            planned: Arc::new(planned),
            tried: Vec::new(),
            number_gaps: NumberGaps::default(),
            retry_after: NOT_READY_RETRY_AFTER,
            shared: Arc::clone(&caller_handler.shared),
            scheduler: caller_handler.scheduler.clone(),
            pool: Arc::clone(&caller_handler.pool),
            protocol: Arc::clone(&caller_handler.protocol),
            _running: running,
        }
    }

    /// Runs attempts until there is a response; a stream then continues in its own task.
    pub async fn run(mut self) -> WebResponse {
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
