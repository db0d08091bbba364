//! The name of a kept block: a hash over its salt, its parents and its own text.

use crate::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// The first 64 bits of SHA-256 over the given parts, each preceded by its length.
    pub fn of_parts(hashed_parts: &[&[u8]]) -> BlockHash {
        let mut running_hash = Sha256::new();
        for part in hashed_parts {
            running_hash.update((part.len() as u64).to_le_bytes());
            running_hash.update(part);
        }
        let full_hash = running_hash.finalize();
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
