//! The prefix tree. Names are chained, so a block's name stands for its whole prefix and the tree can
//! be kept flat: name -> the sources that keep it. A prompt's overlap with an engine is the run of its
//! leading blocks that the engine keeps; a block whose parent was evicted does not count.

use crate::prelude::*;

/// A source of events by a small index, so that the tree holds numbers and not names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SourceIndex(pub u32);

#[derive(Debug, Default)]
pub struct PrefixIndex {
    keepers_of: HashMap<BlockHash, Vec<SourceIndex>>,
    kept_by: HashMap<SourceIndex, HashSet<BlockHash>>,
}

impl PrefixIndex {
    pub fn apply(&mut self, source: SourceIndex, event: &CacheEvent) {
        match event {
            CacheEvent::Stored(block_names) => {
                for block_name in block_names {
                    self.store(source, *block_name);
                }
            }
            CacheEvent::Removed(block_names) => {
                for block_name in block_names {
                    self.remove(source, *block_name);
                }
            }
            CacheEvent::AllCleared => self.drop_source(source),
        }
    }

    fn store(&mut self, source: SourceIndex, block_name: BlockHash) {
        if self.kept_by.entry(source).or_default().insert(block_name) {
            self.keepers_of.entry(block_name).or_default().push(source);
        }
    }

    fn remove(&mut self, source: SourceIndex, block_name: BlockHash) {
        if !self.kept_by.get_mut(&source).is_some_and(|kept| kept.remove(&block_name)) {
            return;
        }
        self.forget(source, block_name);
    }

    fn forget(&mut self, source: SourceIndex, block_name: BlockHash) {
        let Some(keepers) = self.keepers_of.get_mut(&block_name) else { return };
        keepers.retain(|keeper| *keeper != source);
        if keepers.is_empty() {
            self.keepers_of.remove(&block_name);
        }
    }

    pub fn drop_source(&mut self, source: SourceIndex) {
        for block_name in self.kept_by.remove(&source).unwrap_or_default() {
            self.forget(source, block_name);
        }
    }

    pub fn contains(&self, source: SourceIndex, block_name: BlockHash) -> bool {
        self.kept_by.get(&source).is_some_and(|kept| kept.contains(&block_name))
    }

    /// For each source that keeps the first block: how many leading blocks it keeps.
    pub fn overlaps(&self, block_names: &[BlockHash]) -> Vec<(SourceIndex, BlockCount)> {
        let Some(first_keepers) = block_names.first().and_then(|name| self.keepers_of.get(name)) else {
            return Vec::new();
        };
        first_keepers
            .iter()
            .map(|source| {
                let kept = &self.kept_by[source];
                let run_length = block_names.iter().take_while(|name| kept.contains(name)).count();
                (*source, BlockCount(run_length as u64))
            })
            .collect()
    }

    pub fn block_count(&self) -> usize {
        self.keepers_of.len()
    }

    pub fn count_of(&self, source: SourceIndex) -> usize {
        self.kept_by.get(&source).map_or(0, HashSet::len)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn overlap_is_the_unbroken_leading_run() {
        let names: Vec<BlockHash> = (1..=5).map(BlockHash).collect();
        let mut tree = PrefixIndex::default();
        tree.apply(SourceIndex(1), &CacheEvent::Stored(names.clone()));
        tree.apply(SourceIndex(2), &CacheEvent::Stored(names[..2].to_vec()));
        tree.apply(SourceIndex(1), &CacheEvent::Removed(vec![names[3]]));
        let mut overlaps = tree.overlaps(&names);
        overlaps.sort();
        assert_eq!(overlaps, [(SourceIndex(1), BlockCount(3)), (SourceIndex(2), BlockCount(2))]);
        tree.apply(SourceIndex(1), &CacheEvent::AllCleared);
        assert_eq!(tree.overlaps(&names), [(SourceIndex(2), BlockCount(2))]);
        tree.drop_source(SourceIndex(2));
        assert_eq!(tree.block_count(), 0);
    }

    #[test]
    fn a_gap_or_another_boot_is_lost_and_a_repeat_is_harmless() {
        let batch = [CacheEvent::AllCleared, CacheEvent::AllCleared];
        let mut place = EventCursor { boot: "b1".into(), next_number: 5 };
        assert_eq!(place.accept_batch("b1", 4, &batch).map(<[_]>::len), Some(1));
        assert_eq!(place.next_number, 6);
        assert_eq!(place.accept_batch("b1", 7, &batch), None);
        assert_eq!(place.accept_batch("b2", 6, &batch), None);
        assert_eq!(place.accept_batch("b1", 2, &batch).map(<[_]>::len), Some(0));
        assert_eq!(place.next_number, 6);
    }
}
