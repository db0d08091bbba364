//! The log of changes that a router has read from its sources. Other routers are updated from it by the changes
//! after a number, or by full lists if those changes are no longer in the log.

use crate::prelude::*;

const MAX_ENTRIES: usize = 16_384;

/// A router's query to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayQuery {
    /// The incarnation of the log that `since` refers to, and the number after the last change known.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub since: u64,
}

/// The changes of one source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedSource {
    pub source: EngineName,
    /// The time since the source was last read.
    pub age: Span,
    /// Whether `parts` is the full list, rather than changes in order.
    pub is_list: bool,
    /// The part names, with the tokens now cached of each.
    pub parts: Vec<(u64, u64)>,
}

/// A router's own requests on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedWork {
    pub engine: EngineName,
    /// The number of requests, their tokens, and their tokens whose prefill is pending.
    pub requests: u64,
    pub tokens: u64,
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
}

/// A router's response to a `RelayQuery`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayUpdate {
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub next: u64,
    pub sources: Vec<RelayedSource>,
    /// The loads that engines reported to the router, and the time since.
    pub loads: Vec<(EngineName, EngineLoad, Span)>,
    /// The router's own requests that are running now.
    #[serde(default)]
    pub work: Vec<RelayedWork>,
}

#[derive(Clone, Debug)]
enum Change {
    Set(u64, u64),
    /// The source's full list was read again.
    Listed,
}

/// The numbered changes of the sources that this router reads.
#[derive(Clone, Debug)]
pub struct RelayLog {
    incarnation: u64,
    first: u64,
    entries: VecDeque<(EngineName, Change)>,
}

impl RelayLog {
    /// An empty log.
    pub fn new(incarnation: u64) -> RelayLog {
        RelayLog { incarnation, first: 0, entries: VecDeque::new() }
    }

    /// The number of the next change.
    pub fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Records events read from a source.
    pub fn record_events(&mut self, source: &EngineName, events: &[PartEvent]) {
        for event in events {
            self.push(source, Change::Set(event.name.0, event.tokens));
        }
    }

    /// Records that a source's full list was read.
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

    /// Whether there are changes that the querying router does not know.
    pub fn has_changes(&self, query: &RelayQuery) -> bool {
        query.incarnation != self.incarnation || query.since != self.next()
    }

    /// Builds an update about the sources that this router reads now. `list` returns all known cached parts of a
    /// source, and `age` the time since it was last read.
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
