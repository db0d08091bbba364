//! The platform's listing of engines.

use crate::prelude::*;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformListing {
    /// One life of the platform's numbering.
    pub boot: String,
    pub number: u64,
    pub engines: Vec<PlatformEngine>,
}

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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformRole {
    #[default]
    Whole,
    Prefill,
    Decode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformState {
    Open,
    Leaving,
    Gone,
}
