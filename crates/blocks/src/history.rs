//! A routing node's own record of which blocks it sent where, bounded and first-in first-out for each
//! engine. It cannot see evictions; it serves when an engine's events are late or lost.

use crate::prelude::*;

#[derive(Debug)]
pub struct SentHistory {
    most_blocks: usize,
    sent: HashMap<SourceIndex, SentBlocks>,
}

#[derive(Debug, Default)]
struct SentBlocks {
    known: HashSet<BlockHash>,
    order: VecDeque<BlockHash>,
}

impl SentHistory {
    pub fn new(most_blocks: usize) -> SentHistory {
        SentHistory { most_blocks, sent: HashMap::new() }
    }

    pub fn record(&mut self, source: SourceIndex, block_names: &[BlockHash]) {
        let sent_blocks = self.sent.entry(source).or_default();
        for block_name in block_names {
            if sent_blocks.known.insert(*block_name) {
                sent_blocks.order.push_back(*block_name);
            }
        }
        while sent_blocks.order.len() > self.most_blocks {
            let Some(oldest_name) = sent_blocks.order.pop_front() else { break };
            sent_blocks.known.remove(&oldest_name);
        }
    }

    pub fn overlap(&self, source: SourceIndex, block_names: &[BlockHash]) -> BlockCount {
        let Some(sent_blocks) = self.sent.get(&source) else { return BlockCount(0) };
        BlockCount(block_names.iter().take_while(|name| sent_blocks.known.contains(name)).count() as u64)
    }

    pub fn drop_source(&mut self, source: SourceIndex) {
        self.sent.remove(&source);
    }
}
