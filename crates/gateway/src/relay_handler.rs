//! The endpoints for other routers: long polling for changes of the sources read here, and the age of the latest
//! lease grant.

use crate::prelude::*;

/// The path on which routers report the changes of the sources they read.
pub const RELAY_PATH: &str = "/relay/news";
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);
const MAX_QUERY_BYTES: usize = 1024;

/// Serves other routers' queries.
pub struct RelayHandler {
    pub scheduler: SchedulerHandle,
    /// Changes whenever the log does.
    pub changes: tokio::sync::watch::Receiver<u64>,
    pub shared: Arc<SharedState>,
}

impl RequestHandler for RelayHandler {
    fn handle(self: Arc<Self>, mut request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            if request.uri.path() == GRANTS_PATH {
                return self.grant_report();
            }
            let body = request.read_body(MAX_QUERY_BYTES).await.unwrap_or_default();
            let query = rmp_serde::from_slice::<RelayQuery>(&body);
            let (RELAY_PATH, Ok(query)) = (request.uri.path(), query) else {
                return bytes_response(StatusCode::BAD_REQUEST, "text/plain", "not a valid relay query\n");
            };
            match self.answer(query).await.and_then(|update| rmp_serde::to_vec(&update).ok()) {
                Some(bytes) => bytes_response(StatusCode::OK, "application/octet-stream", bytes),
                None => bytes_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "overloaded\n"),
            }
        })
    }
}

impl RelayHandler {
    fn grant_report(&self) -> WebResponse {
        let report = self.shared.with_grants(|grants| grants.report(boot_now()));
        let bytes = rmp_serde::to_vec(&report).unwrap_or_default();
        bytes_response(StatusCode::OK, "application/octet-stream", bytes)
    }

    async fn answer(&self, query: RelayQuery) -> Option<RelayUpdate> {
        let mut changes = self.changes.clone();
        changes.borrow_and_update();
        let update =
            self.scheduler.ask(|reply| SchedulerCommand::RelayQuery { query, is_final: false, reply }).await?;
        if update.is_some() {
            return update;
        }
        let _ = tokio::time::timeout(LONG_POLL_WAIT, changes.changed()).await;
        self.scheduler.ask(|reply| SchedulerCommand::RelayQuery { query, is_final: true, reply }).await?
    }
}
