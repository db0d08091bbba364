//! Duties: leader roles, each held by one keeper at a time under a term that grows with every holder.

use crate::prelude::*;

/// The leader roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DutyKind {
    /// Polls the platform's listing of engines and submits it.
    Census,
    /// Sends orders to engines, executes plans and places adapters.
    Conductor,
}

/// The holder of a duty and the holder's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: NodeId,
    pub term: Term,
}

/// The refusal of a command whose conductor term is not the current one.
pub(crate) fn conductor_term_mismatch() -> CommandOutcome {
    CommandOutcome::refused("duty", "not the current term of the conductor's duty")
}

impl FleetState {
    /// Makes a node the next holder of a duty, under a new term; refused unless the current term is `from_term`.
    pub(crate) fn appoint(
        &mut self,
        number: Edition,
        kind: DutyKind,
        from_term: Term,
        holder: NodeId,
    ) -> CommandOutcome {
        let held_term = self.duties.get(&kind).map_or(Term(0), |duty| duty.term);
        if held_term != from_term {
            return CommandOutcome::refused("duty", format!("the current term is {held_term}"));
        }
        self.duties.insert(kind, Duty { holder, term: held_term.next() });
        CommandOutcome::Applied(number)
    }

    /// Whether this is the current term of the conductor's duty.
    pub(crate) fn holds_conductor_term(&self, term: Term) -> bool {
        self.duties.get(&DutyKind::Conductor).map(|duty| duty.term) == Some(term)
    }
}
