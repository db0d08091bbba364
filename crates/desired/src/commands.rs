//! Commands that change the fleet state, submissions that carry them, and their outcomes.

use crate::prelude::*;

/// Reason given when a claim is refused because the claim table is full.
pub const CLAIMS_FULL: &str = "full";

/// One change of the fleet state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the whole document.
    Replace { base: Option<Edition>, text: String },
    /// Replaces the whole configuration, under a revision that operators number themselves.
    Configure(Box<ConfigurationChange>),
    /// Asks whether a change was applied whose base, as far as the sender can tell, is not the current revision.
    /// Its outcome is that of the change if it was applied, and stale otherwise.
    #[serde(rename = "RecallChange")]
    QueryChange { base: Revision, fingerprint: BlockHash },
    /// Raises the minimum weights of a model, independently of the document.
    #[serde(rename = "NameWeights")]
    RaiseWeights { model: ModelName, weights: WeightsEdition },
    /// Applies a JSON merge patch (RFC 7396) to the document.
    Merge { base: Option<Edition>, patch: String },
    /// Replaces the platform's listing of engines.
    List(Listing),
    /// Makes a node the next holder of a duty, if the duty's term is still `from_term`.
    Appoint { kind: DutyKind, from_term: Term, holder: NodeId },
    /// Sets the conductor's status of an engine; refused unless the conductor's term is still `term`.
    #[serde(rename = "Stand")]
    SetEngineStatus {
        term: Term,
        engine: EngineName,
        #[serde(rename = "standing")]
        status: EngineStatus,
    },
    /// Sets the stage of an adapter's copy at an engine, or removes the copy if there is no stage; refused unless
    /// the conductor's term is still `term`.
    PlaceCopy { term: Term, engine: EngineName, adapter: AdapterId, stage: Option<CopyStage> },
    /// Makes this revision of an adapter the one that requests run on; refused unless the conductor's term is
    /// still `term`.
    #[serde(rename = "UseRevision")]
    ActivateRevision { term: Term, adapter: AdapterId },
    /// States an operator's intent. The plan made from it is identified by the number of this record.
    Intend(Intent),
    /// Confirms a plan, so that the conductor may execute it.
    Confirm { plan: Edition },
    /// Executes the next step of a plan, on behalf of the conductor.
    DoStep { term: Term, plan: Edition, step: usize },
    /// Ends a plan that cannot proceed, or that was not confirmed in time, on behalf of the conductor.
    EndPlan { term: Term, plan: Edition, halted: Option<String> },
    /// Claims an idempotency key, by its hash, for a run; refused if another run holds it.
    Claim { claim: BlockHash, router: NodeId, run: u64 },
    /// Releases the claim of a run that certainly did not execute.
    Release { claim: BlockHash, router: NodeId, run: u64 },
    /// Starts a new generation of the claim table; submitted by the chain's tail.
    #[serde(rename = "TurnClaims")]
    RotateClaims {
        #[serde(rename = "turn")]
        rotation: u64,
    },
}

impl Command {
    /// The size of the operators' text in the command, used to bound the memory of the record log.
    pub fn text_bytes(&self) -> usize {
        match self {
            Command::Replace { text, .. } => text.len(),
            Command::Merge { patch, .. } => patch.len(),
            Command::Configure(change) => change.document.len() + change.source.len(),
            _ => 0,
        }
    }

    /// Whether it reads or changes the claim table, which only the core nodes keep.
    pub(crate) fn concerns_claims(&self) -> bool {
        matches!(self, Command::Claim { .. } | Command::Release { .. } | Command::RotateClaims { .. })
    }
}

/// The content of one chain record: a request id and its command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub request: RequestId,
    pub command: Command,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The command took effect in this edition.
    #[serde(rename = "Taken")]
    Applied(Edition),
    /// The command's base is not the current edition.
    Stale { now: Edition },
    /// Nothing was changed, for these reasons.
    Refused(Vec<ValidationError>),
}

impl CommandOutcome {
    /// A refusal with a single reason.
    pub(crate) fn refused(path: &str, reason: impl Into<String>) -> CommandOutcome {
        CommandOutcome::Refused(vec![ValidationError::at(path, reason)])
    }
}
