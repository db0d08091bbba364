//! What a keeper needs of the world outside, as ports: an operators' protocol, a directory of engines, and
//! orders to engines. Each only translates; asking, waiting, trying again and deciding are the keeper's.

use crate::prelude::*;

/// A page of the directory of engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryPage {
    pub engines: Vec<(EngineName, ListedEngine)>,
    /// Names the page that follows, if there is one.
    pub next: Option<String>,
}

/// Which engines there are, page by page.
pub trait EngineDirectory: Send + Sync + 'static {
    fn address(&self) -> String;
    /// Asks for the first page, or for the one that a page named.
    fn page_request(&self, page: Option<&str>) -> web::prelude::Question;
    fn parse_page(&self, body: &[u8]) -> Result<DirectoryPage, String>;
}

/// An order to bring an engine to new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    pub model: ModelName,
    pub weights: WeightsEdition,
    pub holder: NodeId,
    /// Rises with every holder; never held by two.
    pub term: Term,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    pub weights: BTreeMap<ModelName, WeightsEdition>,
    /// An order is under way.
    pub is_loading: bool,
    /// Requests that have come and not begun.
    pub waiting: u64,
}

/// Orders to engines and their reports.
pub trait EngineOrders: Send + Sync + 'static {
    fn load_request(&self, order: &LoadOrder) -> web::prelude::Question;
    fn classify_answer(&self, status: StatusCode) -> OrderAnswer;
    fn report_request(&self) -> web::prelude::Question;
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;
}

/// A configuration as operators sent it, checked and translated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedConfiguration {
    pub revision: Revision,
    /// The product's document.
    pub document: String,
    /// The configuration in the operators' own words.
    pub source: String,
}

/// What an operator's call is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// A whole configuration.
    Replace,
    /// Named items of it.
    Patch,
    Read,
    RaiseWeights,
}

/// How operators speak.
pub trait OperatorProtocol: Send + Sync + 'static {
    fn call(&self, method: &Method, segments: &[&str]) -> Option<OperatorCall>;
    /// The header that names the revision a change builds on, and its reading.
    fn base_revision(&self, headers: &HeaderMap) -> Result<Revision, String>;
    fn parse_configuration(&self, body: &JsonValue) -> Result<ParsedConfiguration, Vec<ValidationError>>;
    /// The configuration that a change of named items makes of the one before.
    fn apply_patch(&self, source: &str, body: &JsonValue) -> Result<ParsedConfiguration, Vec<ValidationError>>;
    fn parse_weights(&self, body: &JsonValue) -> Result<(ModelName, WeightsEdition), Vec<ValidationError>>;
}
