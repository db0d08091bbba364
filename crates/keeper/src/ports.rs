//! The keeper's interfaces to outside protocols: the operators' protocol, the engine directory and orders to
//! engines. An implementation only translates; the keeper sends requests, applies timeouts, retries and decides.

use crate::prelude::*;

/// A page of the engine directory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryPage {
    pub engines: Vec<(EngineName, ListedEngine)>,
    /// The token of the next page, if there is one.
    pub next: Option<String>,
}

/// A paginated list of the engines that exist.
pub trait EngineDirectory: Send + Sync + 'static {
    fn address(&self) -> String;
    /// The request for the first page, or for the page with the given token.
    fn page_request(&self, page: Option<&str>) -> web::prelude::OutgoingRequest;
    fn parse_page(&self, body: &[u8]) -> Result<DirectoryPage, String>;
}

/// An order to an engine to load new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    pub model: ModelName,
    pub weights: WeightsEdition,
    pub holder: NodeId,
    /// The term of the conductor duty; it increases with each holder and no two holders share one.
    pub term: Term,
}

/// An engine's report on itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    pub weights: BTreeMap<ModelName, WeightsEdition>,
    /// A load order is in progress.
    pub is_loading: bool,
    /// Requests that wait for a slot.
    pub waiting: u64,
    /// Requests that hold a slot, whether or not they have started.
    pub running: u64,
}

/// The protocol for orders to engines and for engines' reports.
pub trait EngineOrders: Send + Sync + 'static {
    fn load_request(&self, order: &LoadOrder) -> web::prelude::OutgoingRequest;
    fn classify_answer(&self, status: StatusCode) -> OrderAnswer;
    fn report_request(&self) -> web::prelude::OutgoingRequest;
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;
}

/// A configuration from an operator, validated and translated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedConfiguration {
    pub revision: Revision,
    /// The desired-state document.
    pub document: String,
    /// The configuration in the operators' format.
    pub source: String,
}

/// The kinds of call that operators make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replaces the whole configuration.
    Replace,
    /// Replaces the named items of the configuration.
    Patch,
    Read,
    RaiseWeights,
}

/// The protocol that operators use.
pub trait OperatorProtocol: Send + Sync + 'static {
    fn call(&self, method: &Method, segments: &[&str]) -> Option<OperatorCall>;
    /// Reads the revision that a change is based on from its header.
    fn base_revision(&self, headers: &HeaderMap) -> Result<Revision, String>;
    fn parse_configuration(&self, body: &JsonValue) -> Result<ParsedConfiguration, Vec<ValidationError>>;
    /// Applies a change of named items to the configuration in `source`.
    fn apply_patch(&self, source: &str, body: &JsonValue) -> Result<ParsedConfiguration, Vec<ValidationError>>;
    fn parse_weights(&self, body: &JsonValue) -> Result<(ModelName, WeightsEdition), Vec<ValidationError>>;
}
