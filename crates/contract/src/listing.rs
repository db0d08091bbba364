//! The platform's listing of engines.

use crate::prelude::*;

/// All engines that the platform knows of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformListing {
    /// Identifies one run of the platform; numbering starts anew with each.
    pub boot: String,
    /// Increases with every change to the listing.
    pub number: u64,
    pub engines: Vec<PlatformEngine>,
}

/// An engine in the platform's listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformEngine {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub model: String,
    #[serde(default)]
    pub role: PlatformRole,
    pub state: PlatformState,
}

/// The part an engine has in serving: the whole request, or one phase of it in a split pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformRole {
    #[default]
    Whole,
    Prefill,
    Decode,
}

/// An engine's state as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformState {
    Open,
    Leaving,
    Gone,
}
