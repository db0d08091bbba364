//! A node's record of the parts that it sent to each source, limited in first-in, first-out order. It doesn't reflect
//! evictions; it is used if a source's events are late or lost.

use crate::prelude::*;

/// The parts that this node sent, by source.
#[derive(Debug)]
pub struct SentParts {
    max_parts: usize,
    sent: HashMap<u32, SentToSource>,
}

#[derive(Debug, Default)]
struct SentToSource {
    tokens_of: HashMap<PartName, u32>,
    order: VecDeque<PartName>,
}

impl SentParts {
    /// `max_parts` is the limit for each source.
    pub fn new(max_parts: usize) -> SentParts {
        SentParts { max_parts, sent: HashMap::new() }
    }

    /// Records sent parts. A part that is sent again keeps its place in the order and takes the new size.
    pub fn record(&mut self, source: u32, parts: &[(PartName, u64)]) {
        let sent = self.sent.entry(source).or_default();
        for (name, tokens) in parts {
            let tokens = u32::try_from(*tokens).unwrap_or(u32::MAX);
            match sent.tokens_of.entry(*name) {
                Entry::Occupied(mut entry) => {
                    entry.insert(tokens);
                }
                Entry::Vacant(entry) => {
                    entry.insert(tokens);
                    sent.order.push_back(*name);
                }
            }
        }
        while sent.order.len() > self.max_parts {
            let Some(oldest) = sent.order.pop_front() else { break };
            sent.tokens_of.remove(&oldest);
        }
    }

    /// Tokens of a prompt's prefix that were sent to the source, counted as in `PartIndex`.
    pub fn kept_tokens(&self, source: u32, parts: &[(PartName, u64)]) -> u64 {
        let Some(sent) = self.sent.get(&source) else { return 0 };
        leading_tokens(parts, |name| sent.tokens_of.get(&name).copied().unwrap_or(0).into())
    }

    pub fn drop_source(&mut self, source: u32) {
        self.sent.remove(&source);
    }

    pub fn part_count(&self, source: u32) -> usize {
        self.sent.get(&source).map_or(0, |sent| sent.order.len())
    }
}
