//! Inputs and effects of the attempt state machine.

use crate::prelude::*;

/// The properties of a request that govern its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTerms {
    /// The name of the run; its attempt n is named `run.n`.
    pub run: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the answer is streamed piece by piece.
    pub streams: bool,
    /// Whether an idempotency key must be claimed before the first attempt.
    pub claims: bool,
    /// Whether the run continues without its caller, who may resume it.
    pub resumes: bool,
}

/// The outcome of claiming an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This run holds the key.
    Taken,
    /// Another run, named here, holds the key.
    Held(String),
    /// No more keys can be stored: the request is refused, as dropping a key early could run a request twice.
    Full,
    /// The outcome was not known in time.
    Unknown,
}

impl ClaimOutcome {
    /// Interprets the coordinator's settlement; `None` means that none came in time.
    pub fn of(outcome: Option<CommandOutcome>) -> ClaimOutcome {
        let error = match outcome {
            Some(CommandOutcome::Applied(_)) => return ClaimOutcome::Taken,
            Some(CommandOutcome::Refused(errors)) => errors.into_iter().next(),
            Some(CommandOutcome::Stale { .. }) | None => None,
        };
        match error {
            None => ClaimOutcome::Unknown,
            Some(error) if error.reason == CLAIMS_FULL => ClaimOutcome::Full,
            Some(error) => ClaimOutcome::Held(error.path),
        }
    }
}

/// The outcome of picking an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    /// The engine to try next.
    Placed(EngineName),
    /// No engine qualifies.
    NoEngine,
    /// Engines serve the model, but none holds the request's adapter.
    NoAdapter,
    /// A retry would exceed the retry budget.
    NoBudget,
    /// The router accepts no more requests.
    Overloaded,
}

/// What the head of an engine's response means for the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// Success: an answer or a stream follows.
    Success,
    /// A refusal that by contract guarantees that nothing was started.
    NotStarted,
    /// The engine stopped the attempt at the time limit, just before its router did.
    OutOfTime,
    /// Any other response; the attempt may have run.
    Failure,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum AttemptInput<P> {
    /// The request was accepted; always the first input.
    Begin,
    /// The outcome of the claim.
    ClaimSettled(ClaimOutcome),
    /// The outcome of the pick.
    Picked(PickOutcome),
    /// The connection to the engine is open.
    Connected,
    /// Connecting to the engine failed, with the reason.
    ConnectFault(String),
    /// The check before the first write refused the attempt; no byte was sent.
    StartRefused(StartRefusal),
    /// The request could not be sent completely.
    SendFault {
        /// Whether any byte may have reached the engine.
        byte_left: bool,
        /// What failed.
        reason: String,
    },
    /// The head of the engine's response.
    Head {
        /// Its class.
        head: ResponseClass,
        /// The engine's answer in words, for logs.
        detail: String,
    },
    /// A piece of a stream, or a whole answer.
    Piece {
        /// The attempt named by the engine.
        attempt: String,
        /// Whether generation has finished.
        finished: bool,
        /// The piece itself.
        piece: P,
    },
    /// The mark after the last piece of a stream.
    EndMark,
    /// The engine's stream ended cleanly.
    Closed,
    /// The engine's stream broke, with the reason.
    Broken(String),
    /// The buffer of the resumable run is full.
    BufferFull,
    /// The caller closed its connection.
    CallerGone,
    /// The request's own limit has passed.
    LimitPassed,
    /// Running work must stop.
    WorkStopped(StopReason),
}

/// An effect that the state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEffect<P> {
    /// Claim the idempotency key.
    Claim,
    /// Release the claim, because nothing ran.
    ReleaseClaim,
    /// Pick an engine.
    Pick {
        /// Engines that have failed this request.
        tried: Vec<EngineName>,
        /// Whether it counts against the retry budget.
        is_retry: bool,
    },
    /// Connect to the engine picked.
    Connect {
        /// The name of the attempt.
        attempt: String,
    },
    /// Check that the attempt may start and write the request, in one call.
    Write,
    /// The first piece arrived, so the engine now holds the prompt's blocks.
    FirstPieceReceived,
    /// Send a piece of a stream to the caller.
    SendPiece(P),
    /// Send the whole answer to the caller.
    AnswerWhole(P),
    /// End the caller's stream with its end mark.
    EndWhole,
    /// Cut the caller's stream, and say why.
    EndCut(CutReason),
    /// Answer the caller that the request was not served.
    GiveUp(GivenUp),
    /// Close the stream to the engine and release its slot.
    EndAttempt,
    /// An attempt failed.
    AttemptFault {
        /// What failed.
        reason: String,
        /// Whether the engine may have worked on it.
        ran: Ran,
        /// Whether to avoid the engine for a while.
        avoid_engine: bool,
    },
}

/// Whether an engine may have worked on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It certainly did not.
    No,
    /// It may have, or did.
    Perhaps,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUpKind {
    /// No engine served it.
    NotServed,
    /// No engine holds the request's adapter warm.
    AdapterCold,
    /// The request's own time limit passed.
    LimitPassed,
    /// The router holds no lease.
    NoLease,
    /// The request's API key was withdrawn.
    KeyWithdrawn,
    /// Another run holds the idempotency key.
    Claimed,
}

/// The final answer of a request that failed before its first piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Why it was given up.
    pub kind: GivenUpKind,
    /// Whether any engine may have worked on it.
    pub ran: Ran,
    /// The reason in words; for a claimed key, the name of the run that holds it.
    pub reason: String,
}

/// Why a stream was cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutReason {
    /// The error type in the API.
    pub kind: &'static str,
    /// The reason in words.
    pub message: String,
}
