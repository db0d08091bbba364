//! What a request's state machine is told, and what it orders.

use crate::prelude::*;

/// What a request asks of its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The name under which its attempts go: attempt n is `run.n`.
    pub run: String,
    /// It may run more than once.
    pub repeatable: bool,
    /// It is answered piece by piece.
    pub streams: bool,
    /// An idempotency key is to be claimed before the first attempt.
    pub claims: bool,
    /// The run goes on without its caller, who may come back.
    pub resumes: bool,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The key is this run's.
    Taken,
    /// Another run has the key.
    Held(String),
    /// No more keys can be remembered: better not run than forget one early.
    Full,
    /// Nobody knows in time.
    Unknown,
}

impl Claimed {
    /// What the core's settlement means; none came in time if there is none.
    pub fn of(settled: Option<CommandOutcome>) -> Claimed {
        let complaint = match settled {
            Some(CommandOutcome::Applied(_)) => return Claimed::Taken,
            Some(CommandOutcome::Refused(complaints)) => complaints.into_iter().next(),
            Some(CommandOutcome::Stale { .. }) | None => None,
        };
        match complaint {
            None => Claimed::Unknown,
            Some(complaint) if complaint.reason == CLAIMS_FULL => Claimed::Full,
            Some(complaint) => Claimed::Held(complaint.path),
        }
    }
}

/// What came of a pick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    /// This engine is to be tried.
    Placed(EngineName),
    /// No engine passes.
    NoEngine,
    /// Engines serve, but none holds the adapter that the request runs on.
    NoAdapter,
    /// A second attempt would go over the retry budget.
    NoBudget,
    /// The router takes nothing more.
    Overloaded,
}

/// Why an engine says that a request did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// Success: an answer or a stream follows.
    Good,
    /// An answer that means by contract that nothing was started.
    NotStarted,
    /// The engine ended the attempt at the limit it was given, a moment before its router did.
    OutOfTime,
    /// Any other answer than success.
    Refused,
}

/// What the state machine is told.
#[derive(Clone, Debug)]
pub enum CarriageInput<P> {
    /// The request was taken; said first.
    Begin,
    /// What became of the claim.
    ClaimSettled(Claimed),
    /// What came of the pick.
    Picked(PickOutcome),
    /// The engine is reached.
    Connected,
    /// The engine is not reached, and why.
    ConnectFault(String),
    /// The gate refused in the first write: no byte left.
    Barred(StartBar),
    /// The question could not be sent whole.
    SendFault {
        /// Whether any of it may have reached the engine.
        byte_left: bool,
        /// What failed.
        reason: String,
    },
    /// The beginning of the engine's answer.
    Head {
        /// What it means.
        head: Head,
        /// What the engine said, for logs.
        told: String,
    },
    /// A piece of a stream, or a whole answer; `finished` says it is one to its end.
    Piece {
        /// The attempt that the engine names.
        attempt: String,
        /// Whether it is one to its end.
        finished: bool,
        /// The piece itself.
        piece: P,
    },
    /// The mark after the last piece of a stream.
    EndMark,
    /// The engine's stream ended cleanly.
    Closed,
    /// The engine's stream broke, and why.
    Broken(String),
    /// There is no more room to hold the run in.
    BookFull,
    /// The caller closed its connection.
    CallerGone,
    /// The request's own limit has passed.
    LimitPassed,
    /// What is under way must end.
    WorkBarred(WorkBar),
}

/// What the state machine orders.
#[derive(Clone, Debug, PartialEq)]
pub enum CarriageEffect<P> {
    /// Claim the idempotency key.
    Claim,
    /// Give the claim back: nothing ran.
    ReleaseClaim,
    /// Pick an engine.
    Pick {
        /// Engines that were tried in vain.
        tried: Vec<EngineName>,
        /// Whether it counts against the retry budget.
        is_retry: bool,
    },
    /// Reach the engine picked.
    Connect {
        /// The name of the attempt.
        attempt: String,
    },
    /// Write the question, through the gate.
    Write,
    /// The engine has the prompt's blocks: the first piece came.
    Began,
    /// Send a piece of a stream to the caller.
    SendPiece(P),
    /// Send the whole answer to the caller.
    AnswerWhole(P),
    /// End the caller's stream with its end mark.
    EndWhole,
    /// Cut the caller's stream, and say why.
    EndCut(Reason),
    /// Answer the caller that the request was not served.
    GiveUp(GivenUp),
    /// Drop the stream to the engine and give its occupancy back.
    EndAttempt,
    /// An attempt was lost; the engine is to rest if it was reached in vain.
    AttemptFault {
        /// What failed.
        reason: String,
        /// Whether the engine may have worked on it.
        ran: Ran,
        /// Whether the engine is to rest.
        rests: bool,
    },
}

/// Whether an engine may have worked on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It surely did not.
    No,
    /// It may have.
    Perhaps,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUpKind {
    /// No engine served it.
    NotServed,
    /// No engine holds its adapter warm.
    AdapterCold,
    /// Its own limit passed.
    LimitPassed,
    /// The router holds no lease.
    NoLease,
    /// Its key was withdrawn.
    KeyWithdrawn,
    /// Another run has its idempotency key.
    Claimed,
}

/// The final word of a request that brought no piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Why it was given up.
    pub kind: GivenUpKind,
    /// Whether any engine may have worked on it.
    pub ran: Ran,
    /// The reason in words; for a claimed key, the run that has it.
    pub reason: String,
}

/// Why a stream was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    /// The reason as a word of the interface.
    pub kind: &'static str,
    /// The reason in words.
    pub told: String,
}
