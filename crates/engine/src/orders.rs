//! The conductor's orders. Each carries a term; as fencing, an order is rejected if its term is lower than the
//! highest seen.

use crate::prelude::*;

const MAX_ORDER_BODY_BYTES: usize = 1 << 16;

impl EngineServer {
    /// Accepts an order unless its term is lower than the highest seen, and answers when it has been carried out.
    pub(crate) async fn handle_order(&self, mut request: IncomingRequest) -> WebResponse {
        let Ok(body) = request.read_body(MAX_ORDER_BODY_BYTES).await else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body could not be read");
        };
        let Ok(order) = serde_json::from_slice::<EngineOrder>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "the body is not an order");
        };
        let highest_term = self.record_term(order.term);
        let accepted = order.term >= highest_term;
        self.log_order(&order, accepted);
        if !accepted {
            return error_response(
                StatusCode::CONFLICT,
                "lower_term",
                &format!("the highest term seen is {highest_term}"),
            );
        }
        event!(
            info,
            "order",
            engine = self.name,
            term = order.term,
            holder = order.holder,
            wish = format!("{:?}", order.wish)
        );
        match self.execute(order.wish).await {
            Ok(()) => json_response(StatusCode::OK, &json!(self.state())),
            Err(refusal) => *refusal,
        }
    }

    /// Records an order's term and returns the highest seen, including this one.
    fn record_term(&self, term: u64) -> u64 {
        let mut weights = locked(&self.weights);
        weights.highest_term = weights.highest_term.max(term);
        weights.highest_term
    }

    fn log_order(&self, order: &EngineOrder, accepted: bool) {
        self.log_line(&EngineLogLine::Order {
            at: now_millis(),
            engine: self.name.clone(),
            holder: order.holder.clone(),
            term: order.term,
            taken: accepted,
            order: format!("{:?}", order.wish),
        });
    }

    async fn execute(&self, action: EngineOrderAction) -> Result<(), Box<WebResponse>> {
        match action {
            EngineOrderAction::Drain => locked(&self.weights).accepting = false,
            EngineOrderAction::Open => locked(&self.weights).accepting = !self.stopping.load(Ordering::SeqCst),
            EngineOrderAction::LoadWeights { weights } => self.load_weights(weights).await?,
            EngineOrderAction::LoadAdapter { adapter } => {
                let adapter = AdapterId::parse(&adapter).ok_or_else(|| Box::new(bad_adapter_response()))?;
                let loaded = self.load_adapter(&adapter).await;
                loaded.map_err(|refusal| order_rejected(&refusal, &format!("adapter {adapter} was not loaded")))?;
            }
            EngineOrderAction::UnloadAdapter { adapter } => {
                let adapter = AdapterId::parse(&adapter).ok_or_else(|| Box::new(bad_adapter_response()))?;
                let unloaded = locked(&self.adapters).unload(&adapter);
                unloaded
                    .map_err(|refusal| order_rejected(&refusal, &format!("adapter {adapter} was not unloaded")))?;
            }
        }
        Ok(())
    }

    /// Stops accepting requests, loads the weights, and starts again with an empty cache and no adapters.
    async fn load_weights(&self, edition: u64) -> Result<(), Box<WebResponse>> {
        locked(&self.weights).accepting = false;
        tokio::time::sleep(self.load_time).await;
        if self.running.load(Ordering::SeqCst) > 0 {
            return Err(Box::new(error_response(StatusCode::CONFLICT, "running", "requests are still running")));
        }
        locked(&self.cache).clear();
        locked(&self.adapters).clear();
        self.cache_changes.send_modify(|count| *count += 1);
        let mut weights = locked(&self.weights);
        weights.edition = edition;
        weights.accepting = !self.stopping.load(Ordering::SeqCst);
        Ok(())
    }

    /// Loads an adapter while requests continue to run.
    async fn load_adapter(&self, adapter: &AdapterId) -> Result<(), AdapterRefusal> {
        if locked(&self.adapters).begin_load(adapter)? {
            tokio::time::sleep(self.adapter_load_time).await;
            locked(&self.adapters).finish_load(adapter);
        }
        Ok(())
    }
}

fn order_rejected(refusal: &AdapterRefusal, reason: &str) -> Box<WebResponse> {
    Box::new(error_response(StatusCode::CONFLICT, refusal.kind(), reason))
}
