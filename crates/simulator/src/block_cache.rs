//! Simulated block cache of an engine or of the store, with its numbered event log.

use crate::prelude::*;

const MAX_BLOCKS: usize = 160;
const MAX_EVENTS: usize = 256;

/// For whom, and on which weights and adapter, a cached block was computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockOrigin {
    pub weights: WeightsEdition,
    pub tenant: TenantName,
    /// The adapter it was computed with; none for the base model.
    pub adapter: Option<AdapterId>,
}

/// A bounded cache that evicts the oldest block first, and its numbered events.
#[derive(Default)]
pub struct SimBlockCache {
    pub boot: u64,
    blocks: BTreeMap<BlockHash, BlockOrigin>,
    insertion_order: VecDeque<BlockHash>,
    events: VecDeque<CacheEvent>,
    first_number: u64,
}

impl SimBlockCache {
    /// How many leading blocks of a prompt are cached.
    pub fn overlap(&self, hashes: &[BlockHash]) -> usize {
        hashes.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    pub fn origin(&self, hash: &BlockHash) -> Option<&BlockOrigin> {
        self.blocks.get(hash)
    }

    /// Caches blocks, evicts the oldest ones over the limit, and publishes both as events.
    pub fn insert(&mut self, blocks: Vec<(BlockHash, BlockOrigin)>) {
        let mut stored = Vec::new();
        for (hash, origin) in blocks {
            if self.blocks.insert(hash, origin).is_none() {
                self.insertion_order.push_back(hash);
                stored.push(hash);
            }
        }
        let mut removed = Vec::new();
        while self.blocks.len() > MAX_BLOCKS {
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            self.blocks.remove(&oldest);
            removed.push(oldest);
        }
        for event in [CacheEvent::Stored(stored), CacheEvent::Removed(removed)] {
            if !matches!(&event, CacheEvent::Stored(hashes) | CacheEvent::Removed(hashes) if hashes.is_empty()) {
                self.publish(event);
            }
        }
    }

    /// Drops all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.insertion_order.clear();
        self.publish(CacheEvent::AllCleared);
    }

    fn publish(&mut self, event: CacheEvent) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.first_number += 1;
        }
    }

    /// Starts a new boot with an empty cache; event numbers start again at one.
    pub fn restart(&mut self) {
        *self = SimBlockCache { boot: self.boot + 1, first_number: 1, ..SimBlockCache::default() };
    }

    pub fn next_number(&self) -> u64 {
        self.first_number + self.events.len() as u64
    }

    /// The events from a number on, or from the oldest one that is still kept, with the first one's number.
    pub fn events_from(&self, number: u64) -> (u64, Vec<CacheEvent>) {
        let first = number.clamp(self.first_number, self.next_number());
        (first, self.events.iter().skip((first - self.first_number) as usize).cloned().collect())
    }

    pub fn hashes(&self) -> Vec<BlockHash> {
        self.blocks.keys().copied().collect()
    }
}
