//! Keys are kept and compared as hashes only.

use crate::prelude::*;

/// SHA-256 in lowercase hex.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
