//! Whether what operators were answered can have come from one register that changes at one instant for each
//! change: linearizability, searched after Wing and Gong, with positions met before left out (Lowe).
//!
//! The register holds a revision. A change names the revision it builds on and the one it makes; the same change
//! sent again after it was taken is answered as taken and changes nothing.

use crate::prelude::*;

/// What an operator asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterOperation {
    /// Make `revision` of `base`; `change` is the same where the very same change is sent again.
    Change {
        /// Which change this is.
        change: u64,
        /// The revision it builds on.
        base: u64,
        /// The revision it makes.
        revision: u64,
    },
    /// Tell the revision in force.
    Read,
}

/// What an operator was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterAnswer {
    /// The change is in force, or was.
    Taken,
    /// Another revision is in force than the one that the change builds on.
    Stale,
    /// This revision is in force.
    Revision(u64),
    /// Nothing is known: it may have been done, or may yet be done.
    Unclear,
}

/// One call, from its sending to its answer; instants only have to be in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterCall {
    /// When it was sent.
    pub called: u64,
    /// When its answer came; the end of time for one that is unclear.
    pub returned: u64,
    /// What was asked for.
    pub operation: RegisterOperation,
    /// What was answered.
    pub answer: RegisterAnswer,
}

/// The instant at which a call without a clear answer returns.
pub const NEVER: u64 = u64::MAX;

/// Where a search stands: which calls are placed, and the revision after them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    placed: Vec<u64>,
    revision: u64,
}

const WORD_BITS: usize = 64;

impl Position {
    fn start(call_count: usize, revision: u64) -> Position {
        Position { placed: vec![0; call_count.div_ceil(WORD_BITS)], revision }
    }

    fn has(&self, call: usize) -> bool {
        self.placed[call / WORD_BITS] & (1 << (call % WORD_BITS)) != 0
    }

    fn with(&self, call: usize, revision: u64) -> Position {
        let mut placed = self.placed.clone();
        placed[call / WORD_BITS] |= 1 << (call % WORD_BITS);
        Position { placed, revision }
    }
}

/// Whether the calls can have been carried out one by one, each between its sending and its answer, on a register
/// that began with a revision; else the calls of which none can come next where the search came furthest.
pub fn check_register(calls: &[RegisterCall], first_revision: u64) -> Result<(), String> {
    let clear_count = calls.iter().filter(|call| call.answer != RegisterAnswer::Unclear).count();
    let mut met: BTreeSet<Position> = BTreeSet::new();
    let mut open = vec![Position::start(calls.len(), first_revision)];
    let mut furthest = (0, String::new());
    while let Some(position) = open.pop() {
        let is_placed = |place: usize| position.has(place);
        let placed_count = (0..calls.len())
            .filter(|place| is_placed(*place) && calls[*place].answer != RegisterAnswer::Unclear)
            .count();
        if placed_count == clear_count {
            return Ok(());
        }
        let earliest_return =
            (0..calls.len()).filter(|place| !is_placed(*place)).map(|place| calls[place].returned).min();
        let may_be_next = |place: &usize| {
            !is_placed(*place) && earliest_return.is_none_or(|earliest| calls[*place].called <= earliest)
        };
        let candidates: Vec<usize> = (0..calls.len()).filter(may_be_next).collect();
        if placed_count >= furthest.0 {
            let named: Vec<String> = candidates.iter().map(|place| format!("{:?}", calls[*place])).collect();
            furthest = (placed_count, format!("at revision {} none of: {}", position.revision, named.join("; ")));
        }
        for next in positions_after(calls, &position, &candidates) {
            if met.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    Err(furthest.1)
}

/// Where a search goes on from a position. A call that fits and changes nothing is placed at once: whatever may
/// follow without it may follow after it. Of calls without an answer that ask for the same change, the one sent
/// first stands for all.
fn positions_after(calls: &[RegisterCall], position: &Position, candidates: &[usize]) -> Vec<Position> {
    let mut unclear_changes = BTreeSet::new();
    let mut after = Vec::new();
    for place in candidates.iter().copied() {
        let Some(revision) = apply(calls, position, place) else { continue };
        if revision == position.revision {
            return vec![position.with(place, revision)];
        }
        let is_another = match (calls[place].answer, calls[place].operation) {
            (RegisterAnswer::Unclear, RegisterOperation::Change { change, .. }) => unclear_changes.insert(change),
            _ => true,
        };
        if is_another {
            after.push(position.with(place, revision));
        }
    }
    after
}

/// The revision after a call, if its answer is the one that the register gives there. One without a clear answer
/// counts only where it changes something; elsewhere it need not be placed.
fn apply(calls: &[RegisterCall], position: &Position, place: usize) -> Option<u64> {
    let call = &calls[place];
    let now = position.revision;
    let RegisterOperation::Change { change, base, revision } = call.operation else {
        return (call.answer == RegisterAnswer::Revision(now)).then_some(now);
    };
    let was_taken = (0..calls.len()).any(|other| {
        let is_same =
            matches!(calls[other].operation, RegisterOperation::Change { change: known, .. } if known == change);
        is_same && position.has(other) && calls[other].answer != RegisterAnswer::Stale
    });
    match call.answer {
        RegisterAnswer::Taken if was_taken => Some(now),
        RegisterAnswer::Taken | RegisterAnswer::Unclear => (!was_taken && base == now).then_some(revision),
        RegisterAnswer::Stale => (!was_taken && base != now).then_some(now),
        RegisterAnswer::Revision(_) => None,
    }
}
