//! Carrying a request to its engines and the answer back. The exchange says what follows a failure; this
//! does it. Until the answer begins the relay lives in its caller's own call, so that a caller who leaves
//! ends it; a stream under way has a task of its own.

mod answer_head;
mod attempt;
mod attempt_end;
mod notes;
mod open_stream;
mod pump;
mod silence;
mod whole_answer;

use crate::prelude::*;

/// One request on its way.
pub struct Relay {
    planned: Arc<PlannedRequest>,
    exchange: Exchange,
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
    pub fn new(planned: PlannedRequest, running: RunningCount, front: &Front) -> Relay {
        Relay {
            exchange: Exchange::new(planned.terms()),
            planned: Arc::new(planned),
            tried: Vec::new(),
            retry_after: RETRY_SOON,
            shared: Arc::clone(&front.shared),
            table: front.table.clone(),
            pool: Arc::clone(&front.pool),
            protocol: Arc::clone(&front.protocol),
            _running: running,
        }
    }

    /// Carries on until there is an answer; a stream then goes on by itself.
    pub async fn carry(mut self) -> WebResponse {
        let mut next = Next::Select { is_further: false };
        loop {
            let is_further = match next {
                Next::Select { is_further } => is_further,
                Next::Answer(answer) => return self.final_answer(answer),
                Next::Abort => return self.final_answer(FinalAnswer::Uncertain),
            };
            let end = if self.planned.streams() {
                match self.open_stream(is_further, self.planned.head.last_event).await {
                    Ok(begun) => return self.pass_stream(begun),
                    Err(end) => end,
                }
            } else {
                match self.whole_answer(is_further).await {
                    Ok(answered) => return answered,
                    Err(end) => end,
                }
            };
            next = match self.after(end) {
                Ok(next) => next,
                Err(answered) => return *answered,
            };
        }
    }
}
