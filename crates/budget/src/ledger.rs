//! The entries of a budget's accounts, and the choice of those that give way.

use crate::prelude::*;

/// Memory is returned to the system only if a notable part of the budget was held.
const NOTABLE_DIVISOR: u64 = 16;

/// Makes a connection give way.
pub(crate) type Evict = Arc<dyn Fn() + Send + Sync>;

/// Identifies an account within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AccountId(u64);

/// One account.
struct Entry {
    bytes: u64,
    /// When the peer last sent or took bytes.
    progress: Instant,
    awaits_request: bool,
    is_blocked: bool,
    /// The requests being served.
    serving: usize,
    is_evicted: bool,
    evict: Evict,
}

/// What a connection waits for, in the order in which connections give way for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Waiting {
    /// The peer is to send the rest of a request, or to take an answer.
    MidExchange,
    /// The peer may send a request.
    Idle,
}

impl Entry {
    /// What the connection waits for; none while it is served.
    fn waiting(&self) -> Option<Waiting> {
        if self.is_evicted {
            return None;
        }
        if self.is_blocked || self.awaits_request {
            return Some(Waiting::MidExchange);
        }
        (self.serving == 0).then_some(Waiting::Idle)
    }
}

/// All accounts of a budget. Evicted accounts no longer count, although their connections take a moment to close.
#[derive(Default)]
pub(crate) struct Ledger {
    entries: BTreeMap<AccountId, Entry>,
    held_bytes: u64,
    connections: usize,
    evictions: u64,
    next_id: u64,
    /// The most bytes held since memory was last returned to the system.
    peak_bytes: u64,
}

impl Ledger {
    pub(crate) fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections
    }

    pub(crate) fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Opens an account; returns the evictions to be carried out.
    pub(crate) fn open(
        &mut self,
        limits: &BudgetLimits,
        now: Instant,
        evict: Evict,
    ) -> (Result<AccountId, Exhausted>, Vec<Evict>) {
        let mut evicted = Vec::new();
        while self.connections >= limits.connections {
            let Some(victim) = self.longest_stalled() else {
                return (Err(Exhausted), evicted);
            };
            evicted.extend(self.mark_evicted(victim));
        }
        let id = AccountId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            bytes: 0,
            progress: now,
            awaits_request: false,
            is_blocked: false,
            serving: 0,
            is_evicted: false,
            evict,
        };
        self.entries.insert(id, entry);
        self.connections += 1;
        let (grown, more_evicted) = self.grow(limits.bytes, id, CONNECTION_BYTES);
        evicted.extend(more_evicted);
        if grown.is_err() {
            self.close(id);
        }
        (grown.map(|()| id), evicted)
    }

    pub(crate) fn close(&mut self, id: AccountId) {
        if let Some(entry) = self.entries.remove(&id)
            && !entry.is_evicted
        {
            self.held_bytes -= entry.bytes;
            self.connections -= 1;
        }
    }

    /// Adds bytes to an account, up to a limit of all held bytes; returns the evictions to be carried out.
    pub(crate) fn grow(&mut self, limit: u64, id: AccountId, bytes: u64) -> (Result<(), Exhausted>, Vec<Evict>) {
        let mut evicted = Vec::new();
        if self.entries.get(&id).is_none_or(|entry| entry.is_evicted) {
            return (Err(Exhausted), evicted);
        }
        while self.held_bytes + bytes > limit {
            let Some(victim) = self.victim_for_bytes(id) else { return (Err(Exhausted), evicted) };
            evicted.extend(self.mark_evicted(victim));
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += bytes;
            self.held_bytes += bytes;
            self.peak_bytes = self.peak_bytes.max(self.held_bytes);
        }
        (Ok(()), evicted)
    }

    pub(crate) fn release(&mut self, id: AccountId, bytes: u64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.bytes -= bytes;
        if !entry.is_evicted {
            self.held_bytes -= bytes;
        }
    }

    /// Whether so much less is held than before that the memory should be returned to the system; true once.
    pub(crate) fn take_decline(&mut self, limits: &BudgetLimits) -> bool {
        let has_declined = self.peak_bytes > limits.bytes / NOTABLE_DIVISOR && self.held_bytes < self.peak_bytes / 2;
        if has_declined {
            self.peak_bytes = self.held_bytes;
        }
        has_declined
    }

    pub(crate) fn record_progress(&mut self, id: AccountId, now: Instant, awaits_request: bool) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.progress = now;
        entry.awaits_request = awaits_request;
    }

    pub(crate) fn set_blocked(&mut self, id: AccountId, is_blocked: bool) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_blocked = is_blocked;
        }
    }

    pub(crate) fn change_serving(&mut self, id: AccountId, begins: bool) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.serving = if begins { entry.serving + 1 } else { entry.serving - 1 };
    }

    /// The connection that gives way for bytes of another one.
    fn victim_for_bytes(&self, but: AccountId) -> Option<AccountId> {
        let others = self.entries.iter().filter(|(id, _)| **id != but);
        let waiting = others.filter_map(|(id, entry)| Some((entry.waiting()?, entry.progress, *id)));
        waiting.min().map(|(_, _, id)| id)
    }

    /// Of the connections that wait for their peer, the one without progress for the longest time.
    fn longest_stalled(&self) -> Option<AccountId> {
        let waiting = self.entries.iter().filter(|(_, entry)| entry.waiting().is_some());
        waiting.map(|(id, entry)| (entry.progress, *id)).min().map(|(_, id)| id)
    }

    fn mark_evicted(&mut self, id: AccountId) -> Option<Evict> {
        let entry = self.entries.get_mut(&id)?;
        entry.is_evicted = true;
        self.held_bytes -= entry.bytes;
        self.connections -= 1;
        self.evictions += 1;
        Some(Arc::clone(&entry.evict))
    }
}
