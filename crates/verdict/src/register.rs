//! A linearizability checker for operators' changes and reads: whether the responses can come from one register in
//! which each call takes effect at a single instant between its invocation and its response. It uses the search of
//! Wing and Gong with Lowe's memoization of visited states.
//!
//! The register holds a revision. A change names the revision that it is based on and the one that it produces. If
//! the same change is sent again after it was applied, it is answered as applied and changes nothing.

use crate::prelude::*;

/// The operation of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterOperation {
    /// Replaces `base` by `revision`; a resent change has the same `change`.
    Change {
        /// Identifies the change across resends.
        change: u64,
        /// The revision that the change is based on.
        base: u64,
        /// The revision that the change produces.
        revision: u64,
    },
    /// Reads the revision in force.
    Read,
}

/// The response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterAnswer {
    /// The change was applied, now or by an earlier send.
    Taken,
    /// The revision in force is not the one that the change is based on.
    Stale,
    /// The revision in force.
    Revision(u64),
    /// Unknown: the call may have taken effect, may do so later, or never.
    Unclear,
}

/// One call with its invocation and response times; only the order of the times matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterCall {
    /// When the call was sent.
    pub called: u64,
    /// When the response arrived; [`NEVER`] if the outcome is unclear.
    pub returned: u64,
    /// The operation.
    pub operation: RegisterOperation,
    /// The response.
    pub answer: RegisterAnswer,
}

/// The response time of a call whose outcome is unclear.
pub const NEVER: u64 = u64::MAX;

/// A search state: the calls that are linearized (as a bit set), and the revision after them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SearchState {
    linearized: Vec<u64>,
    revision: u64,
}

const WORD_BITS: usize = 64;

impl SearchState {
    fn start(call_count: usize, revision: u64) -> SearchState {
        SearchState { linearized: vec![0; call_count.div_ceil(WORD_BITS)], revision }
    }

    fn contains(&self, call: usize) -> bool {
        self.linearized[call / WORD_BITS] & (1 << (call % WORD_BITS)) != 0
    }

    fn with(&self, call: usize, revision: u64) -> SearchState {
        let mut linearized = self.linearized.clone();
        linearized[call / WORD_BITS] |= 1 << (call % WORD_BITS);
        SearchState { linearized, revision }
    }
}

/// Checks that the calls are linearizable on a register that starts at `first_revision`. The error names the calls of
/// which none can come next in the state with the most linearized calls.
pub fn check_register(calls: &[RegisterCall], first_revision: u64) -> Result<(), String> {
    let clear_count = calls.iter().filter(|call| call.answer != RegisterAnswer::Unclear).count();
    let mut visited: BTreeSet<SearchState> = BTreeSet::new();
    let mut open = vec![SearchState::start(calls.len(), first_revision)];
    let mut furthest = (0, String::new());
    while let Some(state) = open.pop() {
        let is_linearized = |index: usize| state.contains(index);
        let linearized_count = (0..calls.len())
            .filter(|index| is_linearized(*index) && calls[*index].answer != RegisterAnswer::Unclear)
            .count();
        if linearized_count == clear_count {
            return Ok(());
        }
        let earliest_return =
            (0..calls.len()).filter(|index| !is_linearized(*index)).map(|index| calls[index].returned).min();
        let may_be_next = |index: &usize| {
            !is_linearized(*index) && earliest_return.is_none_or(|earliest| calls[*index].called <= earliest)
        };
        let candidates: Vec<usize> = (0..calls.len()).filter(may_be_next).collect();
        if linearized_count >= furthest.0 {
            let named: Vec<String> = candidates.iter().map(|index| format!("{:?}", calls[*index])).collect();
            furthest = (
                linearized_count,
                format!("at revision {}, none of these calls can come next: {}", state.revision, named.join("; ")),
            );
        }
        for next in next_states(calls, &state, &candidates) {
            if visited.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    Err(furthest.1)
}

/// The states that follow a state. A call that fits and changes nothing is linearized at once: every order that is
/// possible without it is also possible after it. Of unclear calls of the same change, only the first is tried.
fn next_states(calls: &[RegisterCall], state: &SearchState, candidates: &[usize]) -> Vec<SearchState> {
    let mut unclear_changes = BTreeSet::new();
    let mut after = Vec::new();
    for index in candidates.iter().copied() {
        let Some(revision) = apply(calls, state, index) else { continue };
        if revision == state.revision {
            return vec![state.with(index, revision)];
        }
        let is_another = match (calls[index].answer, calls[index].operation) {
            (RegisterAnswer::Unclear, RegisterOperation::Change { change, .. }) => unclear_changes.insert(change),
            _ => true,
        };
        if is_another {
            after.push(state.with(index, revision));
        }
    }
    after
}

/// The revision after a call, if the register would give the call's response in this state. An unclear call counts
/// only if it changes the revision; otherwise it can be left out.
fn apply(calls: &[RegisterCall], state: &SearchState, index: usize) -> Option<u64> {
    let call = &calls[index];
    let now = state.revision;
    let RegisterOperation::Change { change, base, revision } = call.operation else {
        return (call.answer == RegisterAnswer::Revision(now)).then_some(now);
    };
    let was_taken = (0..calls.len()).any(|other| {
        let is_same =
            matches!(calls[other].operation, RegisterOperation::Change { change: known, .. } if known == change);
        is_same && state.contains(other) && calls[other].answer != RegisterAnswer::Stale
    });
    match call.answer {
        RegisterAnswer::Taken if was_taken => Some(now),
        RegisterAnswer::Taken | RegisterAnswer::Unclear => (!was_taken && base == now).then_some(revision),
        RegisterAnswer::Stale => (!was_taken && base != now).then_some(now),
        RegisterAnswer::Revision(_) => None,
    }
}
