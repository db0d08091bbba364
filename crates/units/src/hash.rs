//! The hash that identifies a cached block.

use crate::prelude::*;

/// Identifies a KV-cache block: a hash over its salt, its parent's hash and its own text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// Hashes the parts with SHA-256, each preceded by its length, and keeps the first 64 bits.
    pub fn of_parts(parts: &[&[u8]]) -> BlockHash {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let full_hash = hasher.finalize();
        let mut first_bytes = [0u8; 8];
        first_bytes.copy_from_slice(&full_hash[..8]);
        BlockHash(u64::from_le_bytes(first_bytes))
    }
}

impl fmt::Display for BlockHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl FromStr for BlockHash {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(BlockHash)
    }
}
