//! The index of cached tokens by source and part. Every source has its own map of names to tokens, so that dropping
//! a source is a single removal and an entry takes only a name and a count.

use crate::prelude::*;

/// The cached tokens of a prompt's prefix: those of all leading parts that are cached entirely, and of the first part
/// that isn't. The engine would prefill everything after that. `kept_of` returns the cached tokens of a part.
pub fn leading_tokens(parts: &[(PartName, u64)], kept_of: impl Fn(PartName) -> u64) -> u64 {
    let mut leading = 0_u64;
    for (name, size) in parts {
        let kept = kept_of(*name).min(*size);
        leading = leading.saturating_add(kept);
        if kept < *size {
            break;
        }
    }
    leading
}

#[derive(Debug, Default)]
struct KeptParts {
    tokens_of: HashMap<PartName, u32>,
    tokens: u64,
}

impl KeptParts {
    fn set(&mut self, name: PartName, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let before = match tokens {
            0 => self.tokens_of.remove(&name),
            _ => self.tokens_of.insert(name, tokens),
        };
        self.tokens = self.tokens + u64::from(tokens) - u64::from(before.unwrap_or(0));
    }
}

/// The parts that sources cache, from their events and lists. Sources are identified by small numbers.
#[derive(Debug, Default)]
pub struct PartIndex {
    kept_by: HashMap<u32, KeptParts>,
}

impl PartIndex {
    /// Applies one event of a source.
    pub fn apply(&mut self, source: u32, event: &PartEvent) {
        self.kept_by.entry(source).or_default().set(event.name, event.tokens);
    }

    /// Follows a source: applies the events of a batch after the position. If events were lost, drops all parts of
    /// the source.
    pub fn follow(&mut self, source: u32, position: &mut SourcePosition, batch: &PartBatch) -> FollowOutcome {
        let known_until = position.next;
        let outcome = position.follow(batch);
        match outcome {
            FollowOutcome::Followed => {
                for event in batch.events.iter().filter(|event| event.number > known_until) {
                    self.apply(source, event);
                }
            }
            FollowOutcome::Lost => self.drop_source(source),
        }
        outcome
    }

    /// Records a part that the source must cache by now, before its event arrives.
    pub fn expect(&mut self, source: u32, name: PartName, tokens: u64) {
        self.kept_by.entry(source).or_default().set(name, tokens);
    }

    /// Replaces all parts of a source by its full list.
    pub fn replace_all(&mut self, source: u32, list: &[(PartName, u64)]) {
        let mut kept = KeptParts { tokens_of: HashMap::with_capacity(list.len()), tokens: 0 };
        for (name, tokens) in list {
            kept.set(*name, *tokens);
        }
        self.kept_by.insert(source, kept);
    }

    pub fn drop_source(&mut self, source: u32) {
        self.kept_by.remove(&source);
    }

    /// Tokens of a prompt's prefix that the source caches.
    pub fn kept_tokens(&self, source: u32, parts: &[(PartName, u64)]) -> u64 {
        let Some(kept) = self.kept_by.get(&source) else { return 0 };
        leading_tokens(parts, |name| kept.tokens_of.get(&name).copied().unwrap_or(0).into())
    }

    /// All parts that a source caches.
    pub fn list(&self, source: u32) -> Vec<(PartName, u64)> {
        let Some(kept) = self.kept_by.get(&source) else { return Vec::new() };
        kept.tokens_of.iter().map(|(name, tokens)| (*name, u64::from(*tokens))).collect()
    }

    /// Cached tokens of one part.
    pub fn tokens_of(&self, source: u32, name: PartName) -> u64 {
        self.kept_by.get(&source).and_then(|kept| kept.tokens_of.get(&name)).copied().unwrap_or(0).into()
    }

    pub fn source_count(&self) -> usize {
        self.kept_by.len()
    }

    pub fn part_count(&self, source: u32) -> usize {
        self.kept_by.get(&source).map_or(0, |kept| kept.tokens_of.len())
    }

    /// All tokens that the source caches.
    pub fn token_count(&self, source: u32) -> u64 {
        self.kept_by.get(&source).map_or(0, |kept| kept.tokens)
    }

    /// The number of entries over all sources, which determines the memory use.
    pub fn entry_count(&self) -> usize {
        self.kept_by.values().map(|kept| kept.tokens_of.len()).sum()
    }
}
