//! The pages on which other routers ask: for news of the sources read here, held until there is some, and for
//! when a lease was granted last.

use crate::prelude::*;

pub const RELAY_PAGE: &str = "/relay/news";
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);
const MAX_QUERY_BYTES: usize = 1024;

/// Serves other routers.
pub struct RelaySite {
    pub table: TableHandle,
    /// Counts the changes of the log.
    pub changes: tokio::sync::watch::Receiver<u64>,
    pub shared: Arc<SharedState>,
}

impl Site for RelaySite {
    fn outcome(self: Arc<Self>, mut asked: Asked) -> OutcomeFuture {
        Box::pin(async move {
            if asked.uri.path() == GRANT_PAGE {
                return self.peer_grants();
            }
            let body = asked.read_body(MAX_QUERY_BYTES).await.unwrap_or_default();
            let query = rmp_serde::from_slice::<RelayQuery>(&body);
            let (RELAY_PAGE, Ok(query)) = (asked.uri.path(), query) else {
                return outcome_bytes(StatusCode::BAD_REQUEST, "text/plain", "a router's question is needed\n");
            };
            match self.answer(query).await.and_then(|news| rmp_serde::to_vec(&news).ok()) {
                Some(bytes) => outcome_bytes(StatusCode::OK, "application/octet-stream", bytes),
                None => outcome_bytes(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "overloaded\n"),
            }
        })
    }
}

impl RelaySite {
    fn peer_grants(&self) -> WebOutcome {
        let news = self.shared.watch_grants(|grants| grants.report(boot_now()));
        let bytes = rmp_serde::to_vec(&news).unwrap_or_default();
        outcome_bytes(StatusCode::OK, "application/octet-stream", bytes)
    }

    async fn answer(&self, query: RelayQuery) -> Option<RelayUpdate> {
        let mut changes = self.changes.clone();
        changes.borrow_and_update();
        let asked = self.table.ask(|reply| TableCommand::RelayQuery { query, is_final: false, reply }).await?;
        if asked.is_some() {
            return asked;
        }
        let _ = tokio::time::timeout(LONG_POLL_WAIT, changes.changed()).await;
        self.table.ask(|reply| TableCommand::RelayQuery { query, is_final: true, reply }).await?
    }
}
