//! The prefix index. Hashes are chained, so a block's hash stands for its whole prefix and a flat map from hash to
//! sources replaces a prefix tree. A prompt's overlap with an engine is the number of consecutive leading blocks that
//! the engine caches; a block whose parent was evicted does not count.

use crate::prelude::*;

/// A compact index for a source of cache events, so that the prefix index need not store names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SourceIndex(pub u32);

/// Which sources cache which blocks.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    sources_by_block: HashMap<BlockHash, Vec<SourceIndex>>,
    blocks_by_source: HashMap<SourceIndex, HashSet<BlockHash>>,
}

impl PrefixIndex {
    /// Applies a cache event of `source`.
    pub fn apply(&mut self, source: SourceIndex, event: &CacheEvent) {
        match event {
            CacheEvent::Stored(block_hashes) => {
                for block_hash in block_hashes {
                    self.store(source, *block_hash);
                }
            }
            CacheEvent::Removed(block_hashes) => {
                for block_hash in block_hashes {
                    self.remove(source, *block_hash);
                }
            }
            CacheEvent::AllCleared => self.drop_source(source),
        }
    }

    fn store(&mut self, source: SourceIndex, block_hash: BlockHash) {
        if self.blocks_by_source.entry(source).or_default().insert(block_hash) {
            self.sources_by_block.entry(block_hash).or_default().push(source);
        }
    }

    fn remove(&mut self, source: SourceIndex, block_hash: BlockHash) {
        if !self.blocks_by_source.get_mut(&source).is_some_and(|cached| cached.remove(&block_hash)) {
            return;
        }
        self.remove_holder(source, block_hash);
    }

    fn remove_holder(&mut self, source: SourceIndex, block_hash: BlockHash) {
        let Some(holders) = self.sources_by_block.get_mut(&block_hash) else { return };
        holders.retain(|holder| *holder != source);
        if holders.is_empty() {
            self.sources_by_block.remove(&block_hash);
        }
    }

    /// Removes all blocks of `source`.
    pub fn drop_source(&mut self, source: SourceIndex) {
        for block_hash in self.blocks_by_source.remove(&source).unwrap_or_default() {
            self.remove_holder(source, block_hash);
        }
    }

    /// Whether `source` caches this block.
    pub fn contains(&self, source: SourceIndex, block_hash: BlockHash) -> bool {
        self.blocks_by_source.get(&source).is_some_and(|cached| cached.contains(&block_hash))
    }

    /// For each source that caches the first block, the number of consecutive leading blocks it caches.
    pub fn overlaps(&self, block_hashes: &[BlockHash]) -> Vec<(SourceIndex, BlockCount)> {
        let Some(first_holders) = block_hashes.first().and_then(|hash| self.sources_by_block.get(hash)) else {
            return Vec::new();
        };
        first_holders
            .iter()
            .map(|source| {
                let cached = &self.blocks_by_source[source];
                let run_length = block_hashes.iter().take_while(|hash| cached.contains(hash)).count();
                (*source, BlockCount(run_length as u64))
            })
            .collect()
    }

    /// The number of distinct blocks over all sources.
    pub fn block_count(&self) -> usize {
        self.sources_by_block.len()
    }

    /// The number of blocks that `source` caches.
    pub fn count_of(&self, source: SourceIndex) -> usize {
        self.blocks_by_source.get(&source).map_or(0, HashSet::len)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn overlap_counts_only_consecutive_leading_blocks() {
        let hashes: Vec<BlockHash> = (1..=5).map(BlockHash).collect();
        let mut index = PrefixIndex::default();
        index.apply(SourceIndex(1), &CacheEvent::Stored(hashes.clone()));
        index.apply(SourceIndex(2), &CacheEvent::Stored(hashes[..2].to_vec()));
        index.apply(SourceIndex(1), &CacheEvent::Removed(vec![hashes[3]]));
        let mut overlaps = index.overlaps(&hashes);
        overlaps.sort();
        assert_eq!(overlaps, [(SourceIndex(1), BlockCount(3)), (SourceIndex(2), BlockCount(2))]);
        index.apply(SourceIndex(1), &CacheEvent::AllCleared);
        assert_eq!(index.overlaps(&hashes), [(SourceIndex(2), BlockCount(2))]);
        index.drop_source(SourceIndex(2));
        assert_eq!(index.block_count(), 0);
    }

    #[test]
    fn a_gap_or_another_boot_is_rejected_and_a_repeat_is_ignored() {
        let batch = [CacheEvent::AllCleared, CacheEvent::AllCleared];
        let mut cursor = EventCursor { boot: "b1".into(), next_number: 5 };
        assert_eq!(cursor.accept_batch("b1", 4, &batch).map(<[_]>::len), Some(1));
        assert_eq!(cursor.next_number, 6);
        assert_eq!(cursor.accept_batch("b1", 7, &batch), None);
        assert_eq!(cursor.accept_batch("b2", 6, &batch), None);
        assert_eq!(cursor.accept_batch("b1", 2, &batch).map(<[_]>::len), Some(0));
        assert_eq!(cursor.next_number, 6);
    }
}
