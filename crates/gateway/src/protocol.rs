//! The gateway's protocol interfaces: reading callers' requests and engines' responses, and writing requests to
//! engines. Implementations only translate.

use crate::prelude::*;

/// One named part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: String,
    pub tokens: u64,
}

/// The contents of a caller's request head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id for this attempt.
    pub attempt: String,
    pub key: Option<String>,
    /// The caller's time limit, from the arrival of the request.
    pub deadline: Option<Span>,
    /// The last event that the caller has received of a stream that it resumes.
    pub last_event: Option<u64>,
    pub model: Option<ModelName>,
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

/// What an attempt tells its engine in addition to the caller's request.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    pub attempt: &'a str,
    /// The selected engine; any other must not run the request.
    pub engine: &'a EngineName,
    /// The time left until the request's deadline.
    pub time_left: Span,
    pub tenant: Option<&'a TenantName>,
    pub last_event: Option<u64>,
    pub weights: Option<WeightsEdition>,
    /// The salt of the prompt's part names.
    pub salt: &'a str,
    pub priority: u64,
    /// The address from which the engine may fetch missing parts.
    pub fetch_from: Option<&'a str>,
    /// The address of the store to which the engine writes the computed parts.
    pub store_to: Option<&'a str>,
}

/// The load that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    pub running: u64,
    pub waiting: u64,
    pub slots: u64,
}

/// The contents of an engine's response head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the attempt that the engine answers.
    pub attempt: Option<String>,
    /// Whether the engine states that it has not run the request.
    pub is_not_executed: bool,
    /// Whether the request reached another engine, or other weights, than selected.
    pub is_misdirected: bool,
    pub load: Option<EngineLoad>,
    /// How long the connection may stay idle.
    pub keep_alive: Option<Span>,
    /// Whether the engine closes the connection after this response.
    pub closes: bool,
}

/// A batch of events about a source's cached parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartEvents {
    pub epoch: u64,
    /// The number from which to read next.
    pub next: u64,
    /// Whether events before this batch are lost.
    pub is_lost: bool,
    pub events: Vec<PartEvent>,
}

/// All parts cached by a source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartList {
    pub epoch: u64,
    pub next: u64,
    pub cached: Vec<(PartName, u64)>,
}

/// Reads callers' requests and marks responses to them.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Reads a request's head; an error is the reason of its refusal.
    fn read_head(&self, headers: &HeaderMap) -> Result<CallerHead, String>;

    /// Marks the gateway's own response as belonging to an attempt.
    fn mark_answer(&self, attempt: &str, headers: &mut HeaderMap);

    /// The path of the platform's readiness probe.
    fn ready_page(&self) -> &'static str;
}

/// Writes attempts to engines and reads their responses.
pub trait EngineProtocol: Send + Sync + 'static {
    /// Writes an attempt's headers, replacing the caller's headers of the same names. An error if one of them cannot be
    /// written; the attempt must not be sent then.
    fn write_attempt(&self, attempt: &AttemptHead<'_>, headers: &mut HeaderMap) -> Result<(), String>;

    /// Reads the head of an engine's response.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// The long-polling request for a source's events after a number.
    fn events_request(&self, since: u64, wait: Span) -> Request<Full<Bytes>>;

    /// Reads the response to an events request.
    fn read_events(&self, body: &[u8]) -> Result<PartEvents, String>;

    /// The request for all parts cached by a source.
    fn parts_request(&self) -> Request<Full<Bytes>>;

    /// Reads the response to a parts request.
    fn read_parts_list(&self, body: &[u8]) -> Result<PartList, String>;
}

/// The protocol of both callers and engines.
pub trait Protocol: CallerProtocol + EngineProtocol {}

impl<P: CallerProtocol + EngineProtocol> Protocol for P {}
