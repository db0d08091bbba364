//! Outcomes of operators' submissions, by request id.
//!
//! An operator that got no answer may retry after seconds or after hours. These outcomes are therefore kept apart
//! from those of the thousands of submissions by the fleet's own members.

use crate::prelude::*;

/// The number of remembered submissions; at six hundred changes a day it covers six days.
pub const MAX_OPERATOR_SUBMISSIONS: usize = 4096;

/// An operator's submission and its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OperatorSubmission {
    /// The number of the record that carried it.
    number: Edition,
    /// A hash of the command, to detect reuse of the request id for another command.
    fingerprint: BlockHash,
    outcome: CommandOutcome,
}

/// The latest submissions of operators, by request id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorSubmissions {
    by_request: BTreeMap<RequestId, OperatorSubmission>,
}

impl OperatorSubmissions {
    /// The outcome of a request, if it is remembered.
    pub fn outcome(&self, request: RequestId) -> Option<&CommandOutcome> {
        self.by_request.get(&request).map(|submission| &submission.outcome)
    }

    /// Whether a request id is remembered with another command than the one with this fingerprint.
    pub fn has_other_content(&self, request: RequestId, fingerprint: BlockHash) -> bool {
        self.by_request.get(&request).is_some_and(|submission| submission.fingerprint != fingerprint)
    }

    /// All remembered requests with their outcomes.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &CommandOutcome)> {
        self.by_request.iter().map(|(request, submission)| (*request, &submission.outcome))
    }

    /// The request that this record carried, if it is a remembered operator's submission.
    fn request_in(&self, number: Edition) -> Option<RequestId> {
        self.by_request.iter().find(|(_, submission)| submission.number == number).map(|(request, _)| *request)
    }

    /// Remembers a request and evicts the oldest one if there are too many.
    pub(crate) fn remember(
        &mut self,
        number: Edition,
        request: RequestId,
        fingerprint: BlockHash,
        outcome: CommandOutcome,
    ) {
        self.by_request.insert(request, OperatorSubmission { number, fingerprint, outcome });
        if self.by_request.len() <= MAX_OPERATOR_SUBMISSIONS {
            return;
        }
        let oldest =
            self.by_request.iter().min_by_key(|(_, submission)| submission.number).map(|(request, _)| *request);
        if let Some(oldest) = oldest {
            self.by_request.remove(&oldest);
        }
    }
}

impl FleetState {
    /// The request of the last applied record.
    pub fn last_request(&self) -> Option<RequestId> {
        let by_operator = self.operator_submissions.request_in(self.edition);
        by_operator.or_else(|| self.recent_outcomes.back().map(|(request, _)| *request))
    }
}

impl Command {
    /// A hash of an operator's command, for commands identified by the operator's request id. `None` for commands
    /// that are identified by their content or come from the fleet's own members.
    pub fn order_fingerprint(&self) -> Option<BlockHash> {
        let base_bytes = |base: &Option<Edition>| base.map_or(u64::MAX, |base| base.0).to_le_bytes();
        match self {
            Command::Replace { base, text } => {
                Some(BlockHash::of_parts(&[b"replace", &base_bytes(base), text.as_bytes()]))
            }
            Command::Merge { base, patch } => {
                Some(BlockHash::of_parts(&[b"merge", &base_bytes(base), patch.as_bytes()]))
            }
            Command::Intend(intent) => Some(BlockHash::of_parts(&[b"intend", format!("{intent:?}").as_bytes()])),
            Command::Confirm { plan } => Some(BlockHash::of_parts(&[b"confirm", &plan.0.to_le_bytes()])),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn the_oldest_submission_is_evicted() {
        let mut submissions = OperatorSubmissions::default();
        let fingerprint = BlockHash(1);
        let count = MAX_OPERATOR_SUBMISSIONS as u64 + 3;
        for number in 1..=count {
            let taken = CommandOutcome::Applied(Edition(number));
            submissions.remember(Edition(number), RequestId(u64::MAX - number), fingerprint, taken);
        }
        for number in 1..=count {
            let is_kept = number > 3;
            assert_eq!(submissions.outcome(RequestId(u64::MAX - number)).is_some(), is_kept, "{number}");
        }
    }
}
