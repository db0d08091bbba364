//! Kept blocks in virtual time, of engines and of the store, with the numbered news of them.

use crate::prelude::*;

const KEPT_BLOCKS: usize = 160;
const KEPT_NEWS: usize = 256;

/// Who made a kept block, and on which weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Made {
    pub weights: WeightsEdition,
    pub tenant: TenantName,
    /// The adapter it was made under; none for the bare model.
    pub adapter: Option<AdapterId>,
}

/// Kept blocks and the numbered news of them.
#[derive(Default)]
pub struct SimMemory {
    pub boot: u64,
    kept: BTreeMap<BlockHash, Made>,
    order: VecDeque<BlockHash>,
    news: VecDeque<CacheEvent>,
    first_number: u64,
}

impl SimMemory {
    pub fn overlap(&self, names: &[BlockHash]) -> usize {
        names.iter().take_while(|name| self.kept.contains_key(name)).count()
    }

    pub fn made(&self, name: &BlockHash) -> Option<&Made> {
        self.kept.get(name)
    }

    pub fn keep(&mut self, blocks: Vec<(BlockHash, Made)>) {
        let mut stored = Vec::new();
        for (name, made) in blocks {
            if self.kept.insert(name, made).is_none() {
                self.order.push_back(name);
                stored.push(name);
            }
        }
        let mut removed = Vec::new();
        while self.kept.len() > KEPT_BLOCKS {
            let Some(oldest) = self.order.pop_front() else { break };
            self.kept.remove(&oldest);
            removed.push(oldest);
        }
        for event in [CacheEvent::Stored(stored), CacheEvent::Removed(removed)] {
            if !matches!(&event, CacheEvent::Stored(names) | CacheEvent::Removed(names) if names.is_empty()) {
                self.tell(event);
            }
        }
    }

    pub fn clear(&mut self) {
        self.kept.clear();
        self.order.clear();
        self.tell(CacheEvent::AllCleared);
    }

    fn tell(&mut self, event: CacheEvent) {
        self.news.push_back(event);
        if self.news.len() > KEPT_NEWS {
            self.news.pop_front();
            self.first_number += 1;
        }
    }

    /// A new life: nothing is kept, and news are numbered from one on.
    pub fn restart(&mut self) {
        *self = SimMemory { boot: self.boot + 1, first_number: 1, ..SimMemory::default() };
    }

    pub fn next_number(&self) -> u64 {
        self.first_number + self.news.len() as u64
    }

    pub fn news_from(&self, number: u64) -> (u64, Vec<CacheEvent>) {
        let first = number.clamp(self.first_number, self.next_number());
        (first, self.news.iter().skip((first - self.first_number) as usize).cloned().collect())
    }

    pub fn names(&self) -> Vec<BlockHash> {
        self.kept.keys().copied().collect()
    }
}
