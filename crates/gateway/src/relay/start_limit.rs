//! Ends an attempt whose response has not begun when its weights become too old for it to begin. The engine drops a
//! request whose connection closes, and the rule on old weights applies to the beginning of the response.

use super::Relay;
use super::attempt_end::{AttemptEnd, failed};
use crate::prelude::*;

/// Limits the time in which an attempt's response may begin.
pub(super) struct StartLimit {
    shared: Arc<SharedState>,
    planned: Arc<PlannedRequest>,
    engine: EngineName,
    weights: WeightsEdition,
}

impl StartLimit {
    /// The limit of an attempt at an engine with these weights.
    pub(super) fn of(relay: &Relay, engine: &EngineName, weights: WeightsEdition) -> StartLimit {
        StartLimit {
            shared: Arc::clone(&relay.shared),
            planned: Arc::clone(&relay.planned),
            engine: engine.clone(),
            weights,
        }
    }

    /// Waits for a part of the attempt that precedes the beginning of its response.
    pub(super) async fn within<T>(&self, part: impl Future<Output = Result<T, AttemptEnd>>) -> Result<T, AttemptEnd> {
        tokio::select! {
            biased;
            outcome = part => outcome,
            () = self.passed() => {
                self.log_prevented();
                Err(failed(Failure::Uncertain))
            }
        }
    }

    /// Resolves once the response may no longer begin; newer weights may be named meanwhile.
    async fn passed(&self) {
        let Some(model) = &self.planned.head.model else { return std::future::pending().await };
        let mut changes = self.shared.subscribe();
        loop {
            changes.borrow_and_update();
            let left = self.shared.snapshot().latest_start(model, self.weights).map(|until| until.since(boot_now()));
            match left {
                None => {
                    let _ = changes.changed().await;
                }
                Some(Span(0)) => return,
                Some(left) => {
                    let _ = tokio::time::timeout(left.as_duration(), changes.changed()).await;
                }
            }
        }
    }

    fn log_prevented(&self) {
        let attempt = &self.planned.head.attempt;
        event!(info, "late_start_prevented", attempt = attempt, engine = self.engine, weights = self.weights);
    }
}
