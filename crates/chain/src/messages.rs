//! What chain members say to each other.

use crate::prelude::*;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub mark: LogPosition,
    pub submission: Submission,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChainMessage {
    /// New records for the member after the sender.
    Append {
        view: ViewNumber,
        previous: LogPosition,
        records: Vec<Record>,
    },
    /// "My log ends here; bring me level." The nonce ties the answer to this asking.
    Have {
        view: ViewNumber,
        last: LogPosition,
        nonce: u64,
    },
    Level {
        view: ViewNumber,
        nonce: u64,
        previous: LogPosition,
        records: Vec<Record>,
        ages: CommitAges,
    },
    Snapshot {
        view: ViewNumber,
        nonce: u64,
        mark: LogPosition,
        state: Box<FleetState>,
        ages: CommitAges,
    },
}

/// How long ago things were committed at the most, when the message was sent. What is not named may be of
/// any age.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitAges {
    pub records: Vec<(Edition, Span)>,
    /// Weights that newer ones have replaced, and how long ago.
    pub gave_way: Vec<(ModelName, WeightsEdition, Span)>,
}
