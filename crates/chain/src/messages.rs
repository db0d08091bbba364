//! The messages between neighbouring members of the chain.

use crate::prelude::*;

/// A numbered entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub mark: LogPosition,
    pub submission: Submission,
}

/// Replication messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChainMessage {
    /// New records, sent to the successor.
    Append { view: ViewNumber, previous: LogPosition, records: Vec<Record> },
    /// Asks the predecessor for everything after the end of the sender's log. The reply carries the same nonce.
    Have { view: ViewNumber, last: LogPosition, nonce: u64 },
    /// The reply to `Have` with the missing records.
    Level {
        view: ViewNumber,
        nonce: u64,
        previous: LogPosition,
        records: Vec<Record>,
        ages: CommitAges,
        #[serde(default, skip_serializing_if = "SourceState::is_usual")]
        source: SourceState,
    },
    /// The reply to `Have` with the full state, if the predecessor's log does not contain the position asked from.
    Snapshot {
        view: ViewNumber,
        nonce: u64,
        mark: LogPosition,
        state: Box<FleetState>,
        ages: CommitAges,
        #[serde(default, skip_serializing_if = "SourceState::is_usual")]
        source: SourceState,
    },
}

/// The state in the view of a member that serves a catch-up request. It determines what the receiver may use the
/// reply for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceState {
    /// It has promised its vote, so its log does not change in this view any more.
    pub sealed: bool,
    /// Its log is not synced with the chain in this view. It holds everything committed in earlier views.
    pub unsynced: bool,
}

impl SourceState {
    fn is_usual(&self) -> bool {
        *self == SourceState::default()
    }
}

/// Upper bounds on the time since commit, as of sending the message. Nothing is known about the age of what is not
/// listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitAges {
    pub records: Vec<(Edition, Span)>,
    /// Superseded weights, and the time since they were superseded.
    pub gave_way: Vec<(ModelName, WeightsEdition, Span)>,
}
