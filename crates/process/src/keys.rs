//! API keys are stored and compared only as hashes.

use crate::prelude::*;

/// The SHA-256 hash of a text in lowercase hex.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
