//! A routing node's own record of which blocks it sent to which engine, a bounded FIFO per engine. It does not see
//! evictions, so it is the fallback for when an engine's cache events are late or lost.

use crate::prelude::*;

/// The blocks sent to each engine, up to a maximum number per engine.
#[derive(Debug)]
pub struct SentHistory {
    max_blocks: usize,
    sent: HashMap<SourceIndex, SentBlocks>,
}

#[derive(Debug, Default)]
struct SentBlocks {
    known: HashSet<BlockHash>,
    order: VecDeque<BlockHash>,
}

impl SentHistory {
    /// Creates an empty history that keeps at most `max_blocks` blocks per engine.
    pub fn new(max_blocks: usize) -> SentHistory {
        SentHistory { max_blocks, sent: HashMap::new() }
    }

    /// Records that blocks were sent to `source`, and discards the oldest beyond the limit.
    pub fn record(&mut self, source: SourceIndex, block_hashes: &[BlockHash]) {
        let sent_blocks = self.sent.entry(source).or_default();
        for block_hash in block_hashes {
            if sent_blocks.known.insert(*block_hash) {
                sent_blocks.order.push_back(*block_hash);
            }
        }
        while sent_blocks.order.len() > self.max_blocks {
            let Some(oldest_hash) = sent_blocks.order.pop_front() else { break };
            sent_blocks.known.remove(&oldest_hash);
        }
    }

    /// The number of leading blocks that were sent to `source` before.
    pub fn overlap(&self, source: SourceIndex, block_hashes: &[BlockHash]) -> BlockCount {
        let Some(sent_blocks) = self.sent.get(&source) else { return BlockCount(0) };
        BlockCount(block_hashes.iter().take_while(|hash| sent_blocks.known.contains(hash)).count() as u64)
    }

    /// Removes everything recorded for `source`.
    pub fn drop_source(&mut self, source: SourceIndex) {
        self.sent.remove(&source);
    }
}
