//! Orders of the conductor: each names its term, and one under a lower term than was seen is refused.

use crate::prelude::*;

const MOST_ORDER_BYTES: usize = 1 << 16;

impl EngineSite {
    /// Takes an order, if its term is the highest so far, and answers once it is carried out.
    pub(crate) async fn take_order(&self, mut asked: IncomingRequest) -> WebResponse {
        let Ok(body) = asked.read_body(MOST_ORDER_BYTES).await else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "body unreadable");
        };
        let Ok(order) = serde_json::from_slice::<EngineOrder>(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "bad_request", "no order");
        };
        let highest_term = self.note_term(order.term);
        let taken = order.term >= highest_term;
        self.log_order(&order, taken);
        if !taken {
            return error_response(StatusCode::CONFLICT, "lower_term", &format!("highest is {highest_term}"));
        }
        event!(
            info,
            "order",
            engine = self.name,
            term = order.term,
            holder = order.holder,
            wish = format!("{:?}", order.wish)
        );
        match self.obey(order.wish).await {
            Ok(()) => json_response(StatusCode::OK, &json!(self.state())),
            Err(refusal) => *refusal,
        }
    }

    /// The highest term seen, this one included.
    fn note_term(&self, term: u64) -> u64 {
        let mut weights = held(&self.weights);
        weights.highest_term = weights.highest_term.max(term);
        weights.highest_term
    }

    fn log_order(&self, order: &EngineOrder, taken: bool) {
        self.log_line(&EngineLogLine::Order {
            at: now_millis(),
            engine: self.name.clone(),
            holder: order.holder.clone(),
            term: order.term,
            taken,
            order: format!("{:?}", order.wish),
        });
    }

    async fn obey(&self, wish: EngineOrderAction) -> Result<(), Box<WebResponse>> {
        match wish {
            EngineOrderAction::Drain => held(&self.weights).accepting = false,
            EngineOrderAction::Open => held(&self.weights).accepting = !self.stopping.load(Ordering::SeqCst),
            EngineOrderAction::LoadWeights { weights } => self.load_weights(weights).await?,
            EngineOrderAction::LoadAdapter { adapter } => {
                let adapter = AdapterId::parse(&adapter).ok_or_else(|| Box::new(bad_adapter()))?;
                let loaded = self.load_adapter(&adapter).await;
                loaded.map_err(|refusal| refused_order(&refusal, &format!("{adapter} is not loaded")))?;
            }
            EngineOrderAction::UnloadAdapter { adapter } => {
                let adapter = AdapterId::parse(&adapter).ok_or_else(|| Box::new(bad_adapter()))?;
                let unloaded = held(&self.adapters).unload(&adapter);
                unloaded.map_err(|refusal| refused_order(&refusal, &format!("{adapter} is not unloaded")))?;
            }
        }
        Ok(())
    }

    /// Takes nothing more, loads the weights, and starts over with an empty memory.
    async fn load_weights(&self, edition: u64) -> Result<(), Box<WebResponse>> {
        held(&self.weights).accepting = false;
        tokio::time::sleep(self.load_time).await;
        if self.running.load(Ordering::SeqCst) > 0 {
            return Err(Box::new(error_response(StatusCode::CONFLICT, "running", "requests still run")));
        }
        held(&self.memory).clear();
        held(&self.adapters).clear();
        self.news.send_modify(|count| *count += 1);
        let mut weights = held(&self.weights);
        weights.edition = edition;
        weights.accepting = !self.stopping.load(Ordering::SeqCst);
        Ok(())
    }

    /// Loads an adapter beside what runs.
    async fn load_adapter(&self, adapter: &AdapterId) -> Result<(), AdapterRefusal> {
        if held(&self.adapters).begin_load(adapter)? {
            tokio::time::sleep(self.adapter_load_time).await;
            held(&self.adapters).finish_load(adapter);
        }
        Ok(())
    }
}

fn refused_order(refusal: &AdapterRefusal, reason: &str) -> Box<WebResponse> {
    Box::new(error_response(StatusCode::CONFLICT, refusal.kind(), reason))
}
