//! Operators of the core simulation, modelled as calls on a single register: conditional changes, two at once on one
//! base, resends to any keeper, and reads at any keeper. All answers together are checked for linearizability.

use crate::prelude::*;

/// How many of the last changes are kept to be resent.
const MAX_REMEMBERED_CHANGES: usize = 12;

/// Calls of the operators and the answers they got.
#[derive(Debug, Default)]
pub(crate) struct RegisterOperators {
    /// Logical time; advances with every call and answer.
    clock: u64,
    calls: Vec<RegisterCall>,
    pending_calls: BTreeMap<u64, usize>,
    last_change: u64,
    sent: VecDeque<ConfigurationChange>,
    /// The newest revision that any operator knows of.
    known_revision: u64,
}

impl RegisterOperators {
    /// A change based on the newest known revision, or sometimes on the last one sent, which may not be applied.
    pub(crate) fn random_change(&mut self, rng: &mut SeededRng) -> ConfigurationChange {
        let base = match rng.below(10) {
            0 => self.sent.back().map_or(self.known_revision, |last| last.revision.0),
            _ => self.known_revision,
        };
        self.change_on(base, rng)
    }

    /// Another change with the same base as the last one sent.
    pub(crate) fn random_rival(&mut self, rng: &mut SeededRng) -> ConfigurationChange {
        let base = self.sent.back().map_or(self.known_revision, |last| last.base.0);
        self.change_on(base, rng)
    }

    fn change_on(&mut self, base: u64, rng: &mut SeededRng) -> ConfigurationChange {
        self.last_change += 1;
        let revision = base + rng.between(1, 3);
        let change = ConfigurationChange {
            base: Revision(base),
            revision: Revision(revision),
            fingerprint: BlockHash(self.last_change),
            document: "{}".into(),
            source: format!("change {}", self.last_change),
        };
        self.sent.push_back(change.clone());
        if self.sent.len() > MAX_REMEMBERED_CHANGES {
            self.sent.pop_front();
        }
        change
    }

    /// A change that was sent before, whatever its outcome.
    pub(crate) fn random_resend(&self, rng: &mut SeededRng) -> Option<ConfigurationChange> {
        let index = rng.below(self.sent.len().max(1) as u64) as usize;
        self.sent.get(index).cloned()
    }

    pub(crate) fn call_change(&mut self, ticket: u64, change: &ConfigurationChange) {
        let (base, revision) = (change.base.0, change.revision.0);
        self.call(ticket, RegisterOperation::Change { change: change.fingerprint.0, base, revision });
    }

    pub(crate) fn call_read(&mut self, ticket: u64) {
        self.call(ticket, RegisterOperation::Read);
    }

    fn call(&mut self, ticket: u64, operation: RegisterOperation) {
        self.clock += 1;
        let answer = RegisterAnswer::Unclear;
        self.pending_calls.insert(ticket, self.calls.len());
        self.calls.push(RegisterCall { called: self.clock, returned: NEVER, operation, answer });
    }

    /// Records a keeper's answer to a call.
    pub(crate) fn record_answer(&mut self, ticket: u64, outcome: &QueryOutcome) {
        let Some(index) = self.pending_calls.remove(&ticket) else { return };
        let answer = match outcome {
            QueryOutcome::Settled(CommandOutcome::Applied(_)) => RegisterAnswer::Taken,
            QueryOutcome::Settled(CommandOutcome::Stale { .. }) => RegisterAnswer::Stale,
            QueryOutcome::Configuration { revision, .. } => RegisterAnswer::Revision(revision.0),
            _ => return,
        };
        self.clock += 1;
        let call = &mut self.calls[index];
        call.returned = self.clock;
        call.answer = answer;
        match (answer, call.operation) {
            (RegisterAnswer::Revision(revision), _) => self.known_revision = self.known_revision.max(revision),
            (RegisterAnswer::Taken, RegisterOperation::Change { revision, .. }) => {
                self.known_revision = self.known_revision.max(revision);
            }
            _ => {}
        }
    }

    /// How many calls got a definite answer.
    pub(crate) fn answered(&self) -> usize {
        self.calls.iter().filter(|call| call.answer != RegisterAnswer::Unclear).count()
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        check_register(&self.calls, 0)
    }
}
