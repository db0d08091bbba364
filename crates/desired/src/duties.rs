//! Duties that one keeper at a time holds, each under a term that grows with every holder.

use crate::prelude::*;

/// What a duty is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DutyKind {
    /// Reads the platform's listing and submits it.
    Census,
    /// Gives orders to engines.
    Conductor,
}

/// Who holds a duty, and under which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: NodeId,
    pub term: Term,
}

/// What a command of a conductor whose term is over is told.
pub(crate) fn conductor_term_mismatch() -> CommandOutcome {
    CommandOutcome::refused("duty", "another term holds the conductor's duty")
}

impl FleetState {
    /// Names the next holder of a duty, if the duty still stands in the term that the command names.
    pub(crate) fn appoint(
        &mut self,
        number: Edition,
        kind: DutyKind,
        from_term: Term,
        holder: NodeId,
    ) -> CommandOutcome {
        let held_term = self.duties.get(&kind).map_or(Term(0), |duty| duty.term);
        if held_term != from_term {
            return CommandOutcome::refused("duty", format!("term is {held_term}"));
        }
        self.duties.insert(kind, Duty { holder, term: held_term.next() });
        CommandOutcome::Applied(number)
    }

    /// Whether the conductor's duty stands in this term.
    pub(crate) fn holds_conductor_term(&self, term: Term) -> bool {
        self.duties.get(&DutyKind::Conductor).map(|duty| duty.term) == Some(term)
    }
}
