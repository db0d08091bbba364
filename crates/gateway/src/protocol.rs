//! The ports of the gateway: what is read of callers' requests and of engines' answers, and what is
//! written to engines. Implementations only translate.

use crate::prelude::*;

/// One named part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    pub id: String,
    pub tokens: u64,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Names this try of the caller.
    pub attempt: String,
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Span>,
    /// The last event the caller has of a stream that it takes up again.
    pub last_event: Option<u64>,
    pub model: Option<ModelName>,
    pub parts: Vec<PromptPart>,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

/// What an attempt tells its engine, beside the caller's own request.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    pub attempt: &'a str,
    /// The engine that is meant; any other must not run the request.
    pub engine: &'a EngineName,
    /// How long the engine may work.
    pub time_left: Span,
    pub tenant: Option<&'a TenantName>,
    pub last_event: Option<u64>,
    pub weights: Option<WeightsEdition>,
    /// Under which text the parts of the prompt are kept.
    pub salt: Option<&'a str>,
    pub priority: u64,
    /// Where parts are fetched from that the engine lacks.
    pub fetch_from: Option<&'a str>,
    /// The store that gets the parts once they are read.
    pub store_to: Option<&'a str>,
}

/// An engine's own count of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    pub running: u64,
    pub waiting: u64,
    pub slots: u64,
}

/// What the head of an engine's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The attempt it answers, as the engine names it.
    pub attempt: Option<String>,
    /// Whether the engine states that it has not run the request.
    pub is_not_executed: bool,
    /// Whether the engine is another one than was meant.
    pub is_misdirected: bool,
    pub load: Option<EngineLoad>,
    /// How long the connection may lie idle.
    pub keep_alive: Option<Span>,
    /// The engine closes the connection after this answer.
    pub closes: bool,
}

/// A batch of news about kept parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartEvents {
    pub epoch: u64,
    /// The number to ask from next.
    pub next: u64,
    /// Whether events before these are lost.
    pub is_lost: bool,
    pub events: Vec<PartEvent>,
}

/// All that a source keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartList {
    pub epoch: u64,
    pub next: u64,
    pub kept: Vec<(PartName, u64)>,
}

/// How callers' requests are read and answered.
pub trait CallerProtocol: Send + Sync + 'static {
    /// Reads a request's head; an error is the reason for refusing it.
    fn read_head(&self, headers: &HeaderMap) -> Result<CallerHead, String>;

    /// Marks an answer of the gateway's own as belonging to an attempt.
    fn mark_answer(&self, attempt: &str, headers: &mut HeaderMap);

    /// The page on which the platform asks whether this process is ready.
    fn ready_page(&self) -> &'static str;
}

/// How attempts are written to engines and their answers read.
pub trait EngineProtocol: Send + Sync + 'static {
    /// Writes an attempt's head over the caller's own headers.
    fn write_attempt(&self, attempt: &AttemptHead<'_>, headers: &mut HeaderMap);

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Asks a source for its news after a number, held for as long as there is none.
    fn events_request(&self, since: u64, wait: Span) -> Request<Full<Bytes>>;

    fn read_events(&self, body: &[u8]) -> Result<PartEvents, String>;

    /// Asks a source for all that it keeps.
    fn parts_request(&self) -> Request<Full<Bytes>>;

    fn read_parts_list(&self, body: &[u8]) -> Result<PartList, String>;
}

/// Both sides of what a gateway speaks.
pub trait Protocol: CallerProtocol + EngineProtocol {}

impl<P: CallerProtocol + EngineProtocol> Protocol for P {}
