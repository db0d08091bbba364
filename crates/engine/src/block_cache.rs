//! An LRU cache of block hashes, and the numbered events that report its changes.

use crate::prelude::*;

const MAX_RETAINED_EVENTS: usize = 4096;
const MAX_EVENTS_PER_BATCH: usize = 512;

/// A bounded LRU cache of block hashes.
pub struct BlockCache {
    /// Identifies this start of the process; event numbers begin anew with each.
    pub boot: String,
    max_blocks: usize,
    /// The logical clock of the LRU order.
    ticks: u64,
    last_used: HashMap<BlockHash, u64>,
    by_age: BTreeMap<u64, BlockHash>,
    events: VecDeque<CacheEvent>,
    /// The number of the oldest retained event.
    first_number: u64,
}

impl BlockCache {
    pub fn new(boot: String, max_blocks: usize) -> BlockCache {
        BlockCache {
            boot,
            max_blocks,
            ticks: 0,
            last_used: HashMap::new(),
            by_age: BTreeMap::new(),
            events: VecDeque::new(),
            first_number: 1,
        }
    }

    /// How many blocks are cached, counted from the prompt's first up to the first that is missing.
    pub fn cached_prefix_len(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.last_used.contains_key(hash)).count()
    }

    /// Caches a prompt's blocks, the leading ones as the most recently used, and evicts the least recently used.
    pub fn insert(&mut self, hashes: &[BlockHash]) {
        let mut stored = Vec::new();
        for hash in hashes.iter().rev() {
            self.ticks += 1;
            match self.last_used.insert(*hash, self.ticks) {
                Some(old_tick) => {
                    self.by_age.remove(&old_tick);
                }
                None => stored.push(*hash),
            }
            self.by_age.insert(self.ticks, *hash);
        }
        stored.reverse();
        let mut removed = Vec::new();
        while self.last_used.len() > self.max_blocks {
            let Some((_, oldest)) = self.by_age.pop_first() else { break };
            self.last_used.remove(&oldest);
            removed.push(oldest);
        }
        if !stored.is_empty() {
            self.push_event(CacheEvent::Stored(stored));
        }
        if !removed.is_empty() {
            self.push_event(CacheEvent::Removed(removed));
        }
    }

    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_age.clear();
        self.push_event(CacheEvent::AllCleared);
    }

    fn push_event(&mut self, event: CacheEvent) {
        self.events.push_back(event);
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
            self.first_number += 1;
        }
    }

    /// The number of the next event.
    pub fn next_number(&self) -> u64 {
        self.first_number + self.events.len() as u64
    }

    /// The events from a number on. Events no longer retained are left out, which the reader detects as a gap.
    pub fn events_from(&self, number: u64) -> EventBatch {
        let first = number.clamp(self.first_number, self.next_number());
        let skipped_count = (first - self.first_number) as usize;
        let batch = self.events.iter().skip(skipped_count).take(MAX_EVENTS_PER_BATCH);
        let events = batch.map(EngineEvent::from_cache_event).collect();
        EventBatch { boot: self.boot.clone(), first, events }
    }

    pub fn snapshot(&self) -> CacheSnapshot {
        let block_hashes = self.last_used.keys().map(BlockHash::to_string).collect();
        CacheSnapshot { boot: self.boot.clone(), next: self.next_number(), block_hashes }
    }

    /// The fraction of the capacity in use.
    pub fn fill_ratio(&self) -> f64 {
        self.last_used.len() as f64 / self.max_blocks as f64
    }
}
