//! Kept blocks, least recently used first to go, and the numbered events that tell of them.

use crate::prelude::*;

const KEPT_EVENTS: usize = 4096;

pub struct BlockCache {
    pub boot: String,
    most_blocks: usize,
    ticks: u64,
    kept: HashMap<BlockHash, u64>,
    by_age: BTreeMap<u64, BlockHash>,
    events: VecDeque<CacheEvent>,
    first_number: u64,
}

impl BlockCache {
    pub fn new(boot: String, most_blocks: usize) -> BlockCache {
        BlockCache {
            boot,
            most_blocks,
            ticks: 0,
            kept: HashMap::new(),
            by_age: BTreeMap::new(),
            events: VecDeque::new(),
            first_number: 1,
        }
    }

    pub fn cached_prefix_len(&self, names: &[BlockHash]) -> usize {
        names.iter().take_while(|name| self.kept.contains_key(name)).count()
    }

    /// Keeps a prompt's blocks, the leading ones as the youngest, and drops the oldest.
    pub fn insert(&mut self, names: &[BlockHash]) {
        let mut stored = Vec::new();
        for name in names.iter().rev() {
            self.ticks += 1;
            match self.kept.insert(*name, self.ticks) {
                Some(old_tick) => {
                    self.by_age.remove(&old_tick);
                }
                None => stored.push(*name),
            }
            self.by_age.insert(self.ticks, *name);
        }
        stored.reverse();
        let mut removed = Vec::new();
        while self.kept.len() > self.most_blocks {
            let Some((_, oldest)) = self.by_age.pop_first() else { break };
            self.kept.remove(&oldest);
            removed.push(oldest);
        }
        if !stored.is_empty() {
            self.tell(CacheEvent::Stored(stored));
        }
        if !removed.is_empty() {
            self.tell(CacheEvent::Removed(removed));
        }
    }

    pub fn clear(&mut self) {
        self.kept.clear();
        self.by_age.clear();
        self.tell(CacheEvent::AllCleared);
    }

    fn tell(&mut self, event: CacheEvent) {
        self.events.push_back(event);
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
            self.first_number += 1;
        }
    }

    pub fn next_number(&self) -> u64 {
        self.first_number + self.events.len() as u64
    }

    /// Events from a number on; those no longer kept are missing, which the reader sees as a gap.
    pub fn events_from(&self, number: u64) -> EventBatch {
        let first = number.clamp(self.first_number, self.next_number());
        let skipped_count = (first - self.first_number) as usize;
        let events = self.events.iter().skip(skipped_count).take(512).map(EngineEvent::from_cache_event).collect();
        EventBatch { boot: self.boot.clone(), first, events }
    }

    pub fn snapshot(&self) -> CacheSnapshot {
        let block_hashes = self.kept.keys().map(BlockHash::to_string).collect();
        CacheSnapshot { boot: self.boot.clone(), next: self.next_number(), block_hashes }
    }

    pub fn fill_ratio(&self) -> f64 {
        self.kept.len() as f64 / self.most_blocks as f64
    }
}
