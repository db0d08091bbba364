//! Budgets, and the accounts of the connections that draw on them.

use crate::prelude::*;

/// The budget is used up by requests that are being served, or the account has been evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// What the peers of a server may hold together.
pub struct Budget {
    limits: BudgetLimits,
    ledger: Mutex<Ledger>,
}

impl Budget {
    /// A budget within limits.
    pub fn new(limits: BudgetLimits) -> Arc<Budget> {
        Arc::new(Budget { limits, ledger: Mutex::new(Ledger::default()) })
    }

    /// Opens the account of a new connection. `evict` is called if the connection has to give way; it must close the
    /// connection or make its owner close it, and must not use the budget itself.
    pub fn open(self: &Arc<Budget>, evict: impl Fn() + Send + Sync + 'static) -> Result<Account, Exhausted> {
        let (opened, evicted) = self.ledger().open(&self.limits, boot_now(), Arc::new(evict));
        evict_all(evicted);
        Ok(Account(Arc::new(OpenAccount { budget: Arc::clone(self), id: opened? })))
    }

    /// The bytes held now.
    pub fn held_bytes(&self) -> u64 {
        self.ledger().held_bytes()
    }

    /// The connections open now.
    pub fn connections(&self) -> usize {
        self.ledger().connections()
    }

    /// The connections that had to give way so far.
    pub fn evictions(&self) -> u64 {
        self.ledger().evictions()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of this lock panics")
    }
}

/// The evictions run without the lock, because closing a connection may drop what it holds.
fn evict_all(evicted: Vec<Evict>) {
    for evict in evicted {
        evict();
    }
}

/// The account of one connection, closed when its last clone and all that it holds are dropped.
#[derive(Clone)]
pub struct Account(Arc<OpenAccount>);

struct OpenAccount {
    budget: Arc<Budget>,
    id: AccountId,
}

impl Drop for OpenAccount {
    fn drop(&mut self) {
        let has_declined = {
            let mut ledger = self.budget.ledger();
            ledger.close(self.id);
            ledger.take_decline(&self.budget.limits)
        };
        if has_declined {
            return_unused_memory();
        }
    }
}

impl std::fmt::Debug for Account {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_tuple("Account").field(&self.0.id).finish()
    }
}

impl Account {
    /// Bytes held for this connection, none yet.
    pub fn hold(&self) -> HeldBytes {
        HeldBytes { account: self.clone(), bytes: 0 }
    }

    /// Records that the peer sent or took bytes, and whether the rest of a request is awaited from it now.
    pub fn record_progress(&self, awaits_request: bool) {
        self.0.budget.ledger().record_progress(self.0.id, boot_now(), awaits_request);
    }

    /// Records whether the peer does not take what is to be sent to it.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.0.budget.ledger().set_blocked(self.0.id, is_blocked);
    }

    /// Protects the connection from eviction until the guard is dropped, unless it waits for its peer.
    pub fn serve(&self) -> ServingGuard {
        self.0.budget.ledger().change_serving(self.0.id, true);
        ServingGuard(self.clone())
    }
}

/// A request of the connection is being served.
pub struct ServingGuard(Account);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.0.budget.ledger().change_serving(self.0.0.id, false);
    }
}

/// Bytes that count against the budget until dropped.
pub struct HeldBytes {
    account: Account,
    bytes: u64,
}

impl HeldBytes {
    /// Counts more bytes, for which others may be evicted. On failure nothing is added.
    pub fn grow(&mut self, bytes: u64) -> Result<(), Exhausted> {
        let OpenAccount { budget, id } = &*self.account.0;
        let limit = budget.limits.limit_for(self.bytes + bytes);
        let (grown, evicted) = budget.ledger().grow(limit, *id, bytes);
        evict_all(evicted);
        grown?;
        self.bytes += bytes;
        Ok(())
    }

    /// Counts so many bytes in all, if that is more than now.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), Exhausted> {
        match bytes.checked_sub(self.bytes) {
            None | Some(0) => Ok(()),
            Some(missing) => self.grow(missing),
        }
    }

    /// Counts nothing any more.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if bytes == 0 {
            return;
        }
        self.account.0.budget.ledger().release(self.account.0.id, bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.clear();
    }
}
