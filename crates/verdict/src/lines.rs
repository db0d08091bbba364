//! The lines that are judged.

use crate::prelude::*;

/// What one caller saw of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerLine {
    pub at: u64,
    pub ended: u64,
    pub router: String,
    /// Empty if no run was named.
    pub run: String,
    pub tenant: String,
    pub key: String,
    pub kind: String,
    pub repeatable: bool,
    /// The idempotency key it asked under; empty if none.
    pub idempotency: String,
    pub streams: bool,
    pub status: u16,
    /// whole, not_run, unknown, cut, refused, no_answer, cancelled.
    pub outcome: String,
    pub first_ms: Option<u64>,
    /// The shot whose pieces came; empty if none did.
    pub shot: String,
    /// When the last piece came; 0 if none did.
    pub last_at: u64,
    pub pieces: u64,
    pub prompt_blocks: u64,
    pub cached_blocks: u64,
    /// What is wrong with the answer; empty if nothing.
    pub wrong: String,
    /// The adapter that the answer names, as `name@revision`; empty if none.
    #[serde(default)]
    pub adapter: String,
    /// What is asked, however often its caller asks again; empty where that is not told.
    #[serde(default)]
    pub question: String,
}

/// What else happened, and was acknowledged when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum WorldLine {
    KeyWithdrawn {
        at: u64,
        key: String,
    },
    ListedAway {
        at: u64,
        engine: String,
    },
    ListedOpen {
        at: u64,
        engine: String,
    },
    Acked {
        at: u64,
        edition: u64,
    },
    WeightsAcked {
        at: u64,
        weights: u64,
    },
    Walled {
        at: u64,
        tenant: String,
    },
    /// The tenant's wall may be down from here on.
    Unwalled {
        at: u64,
        tenant: String,
    },
    /// A kept block served a shot though it was made on other weights or for another tenant.
    MemoryUsed {
        at: u64,
        shot: String,
        weights: u64,
        made_on: u64,
        tenant: String,
        made_for: String,
    },
    /// From here on, and a moment before, the tenant's requests run on this adapter, as `name@revision`.
    AdapterInForce {
        at: u64,
        tenant: String,
        adapter: String,
    },
    /// A kept block that was made under one adapter served a shot under another; empty for the bare model.
    AdapterMemoryUsed {
        at: u64,
        shot: String,
        adapter: String,
        made_under: String,
    },
    /// A machine or process was lost, by the name that callers and shots know it by.
    Lost {
        at: u64,
        what: String,
    },
    /// A router seen holding a lease with this edition in force.
    Sample {
        at: u64,
        router: String,
        edition: u64,
        leased: bool,
        /// Shots and second shots of this router so far.
        shots: u64,
        retries: u64,
    },
    Fault {
        at: u64,
        what: String,
    },
    LastFaultOver {
        at: u64,
    },
    RunEnds {
        at: u64,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub callers: Vec<CallerLine>,
    pub engines: Vec<EngineLine>,
    pub world: Vec<WorldLine>,
    /// Shots and second shots as the routers counted them, if known.
    pub shots: u64,
    pub retries: u64,
}

impl Record {
    pub fn starts(&self) -> impl Iterator<Item = &StartLine> {
        self.engines.iter().filter_map(|line| match line {
            EngineLine::Start(start) => Some(start),
            EngineLine::Prefill(_) | EngineLine::Asked { .. } | EngineLine::End { .. } | EngineLine::Order { .. } => {
                None
            }
        })
    }

    /// Every beginning of work on a prompt: starts, and prefills for starts elsewhere.
    pub fn works(&self) -> impl Iterator<Item = &StartLine> {
        self.engines.iter().filter_map(|line| match line {
            EngineLine::Start(start) | EngineLine::Prefill(start) => Some(start),
            EngineLine::Asked { .. } | EngineLine::End { .. } | EngineLine::Order { .. } => None,
        })
    }

    /// Whenever an engine was asked for anything on behalf of a prompt, in any way.
    pub fn requests_to<'a>(&'a self, engine_name: &'a str) -> impl Iterator<Item = u64> + 'a {
        let works = self.works().map(|start| (start.engine.as_str(), start.at));
        let fetches = self.engines.iter().filter_map(|line| match line {
            EngineLine::Asked { at, engine } => Some((engine.as_str(), *at)),
            _ => None,
        });
        works.chain(fetches).filter(move |(engine, _)| *engine == engine_name).map(|(_, at)| at)
    }

    /// How the work on each shot ended, as its engine told: when, after how many pieces, whether whole.
    pub fn ends(&self) -> BTreeMap<&str, ShotEnd> {
        let ends = self.engines.iter().filter_map(|line| match line {
            EngineLine::End { at, shot, pieces, whole, .. } => {
                Some((shot.as_str(), ShotEnd { at: *at, pieces: *pieces, whole: *whole }))
            }
            EngineLine::Start(_) | EngineLine::Prefill(_) | EngineLine::Asked { .. } | EngineLine::Order { .. } => {
                None
            }
        });
        ends.collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShotEnd {
    pub at: u64,
    pub pieces: u64,
    pub whole: bool,
}

/// The run a shot belongs to: the shot's name without its last part.
pub fn run_of(shot: &str) -> &str {
    shot.rsplit_once('.').map_or(shot, |(run, _)| run)
}
