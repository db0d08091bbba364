//! The pages on which other routers ask: for news of the sources read here, held until there is some, and for
//! when a lease was granted last.

use crate::prelude::*;

pub const RELAY_PAGE: &str = "/relay/news";
const HELD_CALL: Duration = Duration::from_millis(1000);
const MOST_QUESTION_BYTES: usize = 1024;

/// Serves other routers.
pub struct RelaySite {
    pub table: TableHandle,
    /// Counts the changes of the log.
    pub changes: tokio::sync::watch::Receiver<u64>,
    pub shared: Arc<SharedState>,
}

impl RequestHandler for RelaySite {
    fn handle(self: Arc<Self>, mut asked: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            if asked.uri.path() == GRANT_PAGE {
                return self.grant_news();
            }
            let body = asked.read_body(MOST_QUESTION_BYTES).await.unwrap_or_default();
            let question = rmp_serde::from_slice::<RelayQuestion>(&body);
            let (RELAY_PAGE, Ok(question)) = (asked.uri.path(), question) else {
                return bytes_response(StatusCode::BAD_REQUEST, "text/plain", "a router's question is needed\n");
            };
            match self.answer(question).await.and_then(|news| rmp_serde::to_vec(&news).ok()) {
                Some(bytes) => bytes_response(StatusCode::OK, "application/octet-stream", bytes),
                None => bytes_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "overloaded\n"),
            }
        })
    }
}

impl RelaySite {
    fn grant_news(&self) -> WebResponse {
        let news = self.shared.with_grants(|grants| grants.report(boot_now()));
        let bytes = rmp_serde::to_vec(&news).unwrap_or_default();
        bytes_response(StatusCode::OK, "application/octet-stream", bytes)
    }

    async fn answer(&self, question: RelayQuestion) -> Option<RelayNews> {
        let mut changes = self.changes.clone();
        changes.borrow_and_update();
        let asked = self.table.ask(|reply| TableCommand::RelayAsked { question, is_final: false, reply }).await?;
        if asked.is_some() {
            return asked;
        }
        let _ = tokio::time::timeout(HELD_CALL, changes.changed()).await;
        self.table.ask(|reply| TableCommand::RelayAsked { question, is_final: true, reply }).await?
    }
}
