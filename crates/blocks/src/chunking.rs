//! Splits a prompt into blocks and hashes them. A token is taken as four bytes and a block as sixteen tokens. Only
//! whole blocks are hashed, and each hash covers the whole prefix up to the end of its block.

use crate::prelude::*;

/// Bytes of prompt text per token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per KV-cache block.
pub const BLOCK_TOKENS: usize = 16;
/// Bytes of prompt text per KV-cache block.
pub const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;

/// The root of a chain of block hashes; engines receive it as `cache_salt`. Blocks hashed under different salts never
/// match.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Salt(pub String);

impl Salt {
    /// The salt for a model at a version of its weights, behind a wall at a version of that wall.
    pub fn for_model(model: &ModelName, weights: WeightsEdition, wall: WallId, wall_edition: WallEdition) -> Salt {
        let numbers = [weights.0.to_le_bytes(), wall.0.to_le_bytes(), wall_edition.0.to_le_bytes()];
        let salt_hash =
            BlockHash::of_parts(&[b"salt", model.as_str().as_bytes(), &numbers[0], &numbers[1], &numbers[2]]);
        Salt(format!("w{weights}.{salt_hash}"))
    }

    /// Derives the salt for an adapter. It differs from the base model's and from that of any other adapter or
    /// revision. Without an adapter, the base model's salt is returned unchanged.
    pub fn with_adapter(self, adapter: Option<&AdapterId>) -> Salt {
        let Some(adapter) = adapter else { return self };
        let revision = adapter.revision.0.to_le_bytes();
        let adapter_hash =
            BlockHash::of_parts(&[b"adapter", self.0.as_bytes(), adapter.name.as_str().as_bytes(), &revision]);
        Salt(format!("{}.{adapter_hash}", self.0))
    }
}

/// Hashes the whole blocks of a prompt, first to last.
pub fn hash_blocks(salt: &Salt, prompt: &[u8]) -> Vec<BlockHash> {
    let mut parent_hash = BlockHash::of_parts(&[b"root", salt.0.as_bytes()]);
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            parent_hash = BlockHash::of_parts(&[&parent_hash.0.to_le_bytes(), block]);
            parent_hash
        })
        .collect()
}

/// The number of blocks that a prompt occupies, including a partial last one.
pub fn blocks_needed(prompt_bytes: usize) -> BlockCount {
    BlockCount(prompt_bytes.div_ceil(BLOCK_BYTES) as u64)
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn every_part_of_the_salt_changes_every_hash() {
        let prompt = [b'x'; 3 * BLOCK_BYTES + 5];
        let base_hashes =
            hash_blocks(&Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0)), &prompt);
        assert_eq!(base_hashes.len(), 3);
        let other_salts = [
            Salt::for_model(&"n".into(), WeightsEdition(1), WallId(0), WallEdition(0)),
            Salt::for_model(&"m".into(), WeightsEdition(2), WallId(0), WallEdition(0)),
            Salt::for_model(&"m".into(), WeightsEdition(1), WallId(1), WallEdition(0)),
            Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(1)),
        ];
        let base_salt = Salt::for_model(&"m".into(), WeightsEdition(1), WallId(0), WallEdition(0));
        assert_eq!(base_salt.clone().with_adapter(None), base_salt);
        let adapted = [AdapterId::new("x", 1), AdapterId::new("x", 2), AdapterId::new("y", 1)];
        let adapted_salts = adapted.map(|adapter| base_salt.clone().with_adapter(Some(&adapter)));
        assert!(adapted_salts[0] != adapted_salts[1] && adapted_salts[0] != adapted_salts[2]);
        for other_salt in other_salts.into_iter().chain(adapted_salts) {
            let other_hashes = hash_blocks(&other_salt, &prompt);
            assert!(other_hashes.iter().all(|hash| !base_hashes.contains(hash)), "{other_salt:?}");
        }
    }
}
