//! What a request's state machine is told, and what it orders.

use crate::prelude::*;

/// What a request asks of its carriage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The name under which its shots go: shot n is `run.n`.
    pub run: String,
    pub repeatable: bool,
    pub streams: bool,
    /// An idempotency key is to be claimed before the first shot.
    pub claims: bool,
    /// The run goes on without its caller, who may come back.
    pub resumes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
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
    pub fn of(settled: Option<Settled>) -> Claimed {
        let complaint = match settled {
            Some(Settled::Taken(_)) => return Claimed::Taken,
            Some(Settled::Refused(complaints)) => complaints.into_iter().next(),
            Some(Settled::Stale { .. }) | None => None,
        };
        match complaint {
            None => Claimed::Unknown,
            Some(complaint) if complaint.reason == CLAIMS_FULL => Claimed::Full,
            Some(complaint) => Claimed::Held(complaint.path),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    Placed(EngineName),
    NoEngine,
    /// A second shot would go over the retry budget.
    NoBudget,
    Overloaded,
}

/// Why an engine says that a request did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    Good,
    /// An answer that means by contract that nothing was started.
    NotStarted,
    /// The engine ended the shot at the limit it was given, a moment before its router did.
    OutOfTime,
    /// Any other answer than success.
    Refused,
}

#[derive(Clone, Debug)]
pub enum CarriageInput<P> {
    Begin,
    ClaimSettled(Claimed),
    Picked(PickOutcome),
    Connected,
    ConnectFault(String),
    /// The gate refused in the first write: no byte left.
    Barred(StartBar),
    SendFault {
        byte_left: bool,
        reason: String,
    },
    Head {
        head: Head,
        told: String,
    },
    /// A piece of a stream, or a whole answer; `finished` says it is one to its end.
    Piece {
        shot: String,
        finished: bool,
        piece: P,
    },
    EndMark,
    /// The engine's stream ended cleanly.
    Closed,
    Broken(String),
    /// There is no more room to hold the run in.
    BookFull,
    CallerGone,
    LimitPassed,
    WorkBarred(WorkBar),
}

#[derive(Clone, Debug, PartialEq)]
pub enum CarriageEffect<P> {
    Claim,
    ReleaseClaim,
    Pick {
        tried: Vec<EngineName>,
        is_retry: bool,
    },
    Connect {
        shot: String,
    },
    /// Write the question, through the gate.
    Write,
    /// The engine has the prompt's blocks: the first piece came.
    Began,
    SendPiece(P),
    AnswerWhole(P),
    EndWhole,
    EndCut(Reason),
    GiveUp(GivenUp),
    /// Drop the stream to the engine and give its occupancy back.
    EndShot,
    /// A shot was lost; the engine is to rest if it was reached in vain.
    ShotFault {
        reason: String,
        ran: Ran,
        rests: bool,
    },
}

/// Whether an engine may have worked on a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    No,
    Perhaps,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUpKind {
    NotServed,
    LimitPassed,
    NoLease,
    KeyWithdrawn,
    Claimed,
}

/// The final word of a request that brought no piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    pub kind: GivenUpKind,
    pub ran: Ran,
    pub reason: String,
}

/// Why a stream was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason {
    pub kind: &'static str,
    pub told: String,
}
