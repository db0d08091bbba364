//! Commands that move the fleet state, who asked for them, and how they are settled.

use crate::prelude::*;

/// What a refused claim is told when no more can be remembered.
pub const CLAIMS_FULL: &str = "full";

/// One change of the fleet state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A whole document.
    Replace {
        base: Option<Edition>,
        text: String,
    },
    /// A whole configuration under a revision of the operators' own.
    Configure(Box<ConfigurationChange>),
    /// Whether a change was taken that builds on a revision which is not the one in force, as far as whoever
    /// asks can tell: it is settled as that change was, else as stale.
    #[serde(rename = "RecallChange")]
    QueryChange {
        base: Revision,
        fingerprint: BlockHash,
    },
    /// New weights of a model, whatever the document says of it.
    #[serde(rename = "NameWeights")]
    RaiseWeights {
        model: ModelName,
        weights: WeightsEdition,
    },
    /// A merge patch.
    Merge {
        base: Option<Edition>,
        patch: String,
    },
    List(Listing),
    Appoint {
        kind: DutyKind,
        from_term: Term,
        holder: NodeId,
    },
    /// The conductor's word on an engine, valid under its term alone.
    #[serde(rename = "Stand")]
    SetEngineStatus {
        term: Term,
        engine: EngineName,
        #[serde(rename = "standing")]
        status: EngineStatus,
    },
    /// The conductor's word on a copy of an adapter at an engine, valid under its term alone; no stage
    /// takes the copy out of the state.
    PlaceCopy {
        term: Term,
        engine: EngineName,
        adapter: AdapterId,
        stage: Option<CopyStage>,
    },
    /// Requests run on this revision of an adapter from here on, valid under the conductor's term alone.
    #[serde(rename = "UseRevision")]
    ActivateRevision {
        term: Term,
        adapter: AdapterId,
    },
    /// An operator's intent; the plan made of it goes by this record's number.
    Intend(Intent),
    Confirm {
        plan: Edition,
    },
    /// The conductor does a plan's next step.
    DoStep {
        term: Term,
        plan: Edition,
        step: usize,
    },
    /// The conductor ends a plan that cannot go on, or that nobody confirmed.
    EndPlan {
        term: Term,
        plan: Edition,
        halted: Option<String>,
    },
    /// A run claims an idempotency key, by the key's hash, for the first time or in vain.
    Claim {
        claim: BlockHash,
        router: NodeId,
        run: u64,
    },
    /// A run that surely did not run gives its claim back.
    Release {
        claim: BlockHash,
        router: NodeId,
        run: u64,
    },
    /// The tail has the book of claims turned.
    #[serde(rename = "TurnClaims")]
    RotateClaims {
        #[serde(rename = "turn")]
        rotation: u64,
    },
}

impl Command {
    /// The size of the operators' text in it, for bounds on what is kept.
    pub fn text_bytes(&self) -> usize {
        match self {
            Command::Replace { text, .. } => text.len(),
            Command::Merge { patch, .. } => patch.len(),
            Command::Configure(change) => change.document.len() + change.source.len(),
            _ => 0,
        }
    }

    /// Whether it concerns the book of claims, which the core alone keeps.
    pub(crate) fn concerns_claims(&self) -> bool {
        matches!(self, Command::Claim { .. } | Command::Release { .. } | Command::RotateClaims { .. })
    }
}

/// One record of the chain: who asked, and for what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub request: RequestId,
    pub command: Command,
}

/// How a submission was settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Done, in this edition.
    #[serde(rename = "Taken")]
    Applied(Edition),
    /// It builds on another edition than the one that holds.
    Stale { now: Edition },
    /// Nothing was changed, for these reasons.
    Refused(Vec<ValidationError>),
}

impl CommandOutcome {
    /// Refused for a single reason.
    pub(crate) fn refused(path: &str, reason: impl Into<String>) -> CommandOutcome {
        CommandOutcome::Refused(vec![ValidationError::at(path, reason)])
    }
}
