//! The account of a client's connection, and its eviction.

use crate::prelude::*;
use tokio::sync::watch;

/// What one client's connection holds. It can be asked, and waited for, whether the connection has to give way.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    account: Account,
    is_evicted: watch::Receiver<bool>,
}

impl gotham::state::StateData for ClientAccount {}

impl ClientAccount {
    /// Opens an account; fails if the budget bears no further connection.
    pub fn open(budget: &Arc<Budget>) -> Result<ClientAccount, Exhausted> {
        let (sender, is_evicted) = watch::channel(false);
        let account = budget.open(move || {
            let _ = sender.send(true);
        })?;
        Ok(ClientAccount { account, is_evicted })
    }

    /// Bytes held for this client, none yet.
    pub fn hold(&self) -> HeldBytes {
        self.account.hold()
    }

    /// Whether the connection has to give way.
    pub(crate) fn is_evicted(&self) -> bool {
        *self.is_evicted.borrow()
    }

    /// Resolves once the connection has to give way.
    pub async fn evicted(&self) {
        let mut is_evicted = self.is_evicted.clone();
        if is_evicted.wait_for(|is_evicted| *is_evicted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    pub(crate) fn serve(&self) -> ServingGuard {
        self.account.serve()
    }

    pub(crate) fn record_progress(&self, awaits_request: bool) {
        self.account.record_progress(awaits_request);
    }

    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        self.account.set_blocked(is_blocked);
    }
}
