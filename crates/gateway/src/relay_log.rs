//! The log of what a router read of its sources, from which other routers are brought up to date: by the
//! changes after a number, or by whole lists where those are gone.

use crate::prelude::*;

const MAX_ENTRIES: usize = 16_384;

/// What a router asks another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayQuery {
    /// The life of the log whose numbers are known, and the number after the last one known.
    pub incarnation: u64,
    pub since: u64,
}

/// News of one source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedSource {
    pub source: EngineName,
    /// How long ago the source was heard.
    pub age: Span,
    /// Whether the parts are all that it keeps, or changes in their order.
    pub is_list: bool,
    /// Names of parts, and tokens kept of each now.
    pub parts: Vec<(u64, u64)>,
}

/// What a router itself runs on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedWork {
    pub engine: EngineName,
    /// Requests, their tokens, and the tokens that are yet to be read for them.
    pub requests: u64,
    pub tokens: u64,
    pub pending_prefill_tokens: u64,
}

/// What a router answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayUpdate {
    pub incarnation: u64,
    pub next: u64,
    pub sources: Vec<RelayedSource>,
    /// Loads that engines told the router, and how long ago.
    pub loads: Vec<(EngineName, EngineLoad, Span)>,
    /// All that the router itself runs now.
    #[serde(default)]
    pub work: Vec<RelayedWork>,
}

#[derive(Clone, Debug)]
enum Change {
    Set(u64, u64),
    /// The source's list was taken anew.
    Listed,
}

/// Numbered changes of the sources that this router reads.
#[derive(Clone, Debug)]
pub struct RelayLog {
    incarnation: u64,
    first: u64,
    entries: VecDeque<(EngineName, Change)>,
}

impl RelayLog {
    pub fn new(incarnation: u64) -> RelayLog {
        RelayLog { incarnation, first: 0, entries: VecDeque::new() }
    }

    /// The number of the next change.
    pub fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    pub fn record_events(&mut self, source: &EngineName, events: &[PartEvent]) {
        for event in events {
            self.push(source, Change::Set(event.name.0, event.tokens));
        }
    }

    pub fn record_list(&mut self, source: &EngineName) {
        self.push(source, Change::Listed);
    }

    fn push(&mut self, source: &EngineName, change: Change) {
        self.entries.push_back((source.clone(), change));
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
            self.first += 1;
        }
    }

    /// Whether there is anything that the asker does not know.
    pub fn has_changes(&self, query: &RelayQuery) -> bool {
        query.incarnation != self.incarnation || query.since != self.next()
    }

    /// Brings an asker up to date about the sources that are read here now. `list` gives all that is known to
    /// be kept at a source, and `age` how long ago it was heard.
    pub fn answer(
        &self,
        query: &RelayQuery,
        direct_sources: &BTreeSet<EngineName>,
        list: impl Fn(&EngineName) -> Option<Vec<(PartName, u64)>>,
        age: impl Fn(&EngineName) -> Span,
    ) -> RelayUpdate {
        let is_known = query.incarnation == self.incarnation && (self.first..=self.next()).contains(&query.since);
        let skipped = if is_known { (query.since - self.first) as usize } else { self.entries.len() };
        let mut changed: BTreeMap<&EngineName, Option<Vec<(u64, u64)>>> = BTreeMap::new();
        for (source, change) in self.entries.iter().skip(skipped) {
            let changes = changed.entry(source).or_insert_with(|| Some(Vec::new()));
            match change {
                Change::Set(name, tokens) => {
                    if let Some(changes) = changes {
                        changes.push((*name, *tokens));
                    }
                }
                Change::Listed => *changes = None,
            }
        }
        let mut sources = Vec::new();
        for source in direct_sources {
            let changes = match changed.remove(source) {
                Some(changes) => changes,
                None => is_known.then(Vec::new),
            };
            let (is_list, parts) = match changes {
                Some(changes) => (false, changes),
                None => match list(source) {
                    Some(parts) => (true, parts.into_iter().map(|(name, tokens)| (name.0, tokens)).collect()),
                    None => continue,
                },
            };
            sources.push(RelayedSource { source: source.clone(), age: age(source), is_list, parts });
        }
        RelayUpdate { incarnation: self.incarnation, next: self.next(), sources, loads: Vec::new(), work: Vec::new() }
    }
}
