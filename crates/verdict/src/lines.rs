//! The lines that are judged.

use crate::prelude::*;

/// What one caller saw of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerLine {
    /// When it asked.
    pub at: u64,
    /// When its answer was over.
    pub ended: u64,
    /// The router it asked.
    pub router: String,
    /// Empty if no run was named.
    pub run: String,
    /// The tenant whose key it used.
    pub tenant: String,
    /// The key's hash.
    pub key: String,
    /// The kind of request.
    pub kind: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key it asked under; empty if none.
    pub idempotency: String,
    /// Whether it asked for a stream.
    pub streams: bool,
    /// The status of the answer; 0 if none came.
    pub status: u16,
    /// whole, not_run, unknown, cut, refused, no_answer, cancelled.
    pub outcome: String,
    /// How long the first piece took.
    pub first_ms: Option<u64>,
    /// The attempt whose pieces came; empty if none did.
    #[serde(rename = "shot")]
    pub attempt: String,
    /// When the last piece came; 0 if none did.
    pub last_at: u64,
    /// Pieces that came.
    pub pieces: u64,
    /// Blocks of the prompt, as the answer told.
    pub prompt_blocks: u64,
    /// Blocks of it that its engine kept, as the answer told.
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
pub enum EventLine {
    /// A key's end was acknowledged.
    KeyWithdrawn {
        /// When.
        at: u64,
        /// The key's hash.
        key: String,
    },
    /// An engine is listed as leaving or gone.
    ListedAway {
        /// When.
        at: u64,
        /// The engine.
        engine: String,
    },
    /// An engine is listed open.
    ListedOpen {
        /// When.
        at: u64,
        /// The engine.
        engine: String,
    },
    /// A change was acknowledged.
    Acked {
        /// When.
        at: u64,
        /// The number of the state that holds it.
        edition: u64,
    },
    /// Newer weights were acknowledged as confirmed everywhere.
    WeightsAcked {
        /// When.
        at: u64,
        /// The weights.
        weights: u64,
    },
    /// A tenant's wall was acknowledged.
    Walled {
        /// When.
        at: u64,
        /// The tenant.
        tenant: String,
    },
    /// The tenant's wall may be down from here on.
    Unwalled {
        /// When.
        at: u64,
        /// The tenant.
        tenant: String,
    },
    /// A kept block served an attempt though it was made on other weights or for another tenant.
    MemoryUsed {
        /// When.
        at: u64,
        /// The attempt it served.
        #[serde(rename = "shot")]
        attempt: String,
        /// The weights the attempt ran on.
        weights: u64,
        /// The weights the block was made on.
        made_on: u64,
        /// The tenant of the attempt.
        tenant: String,
        /// The tenant the block was made for.
        made_for: String,
    },
    /// From here on, and a moment before, the tenant's requests run on this adapter, as `name@revision`.
    AdapterInForce {
        /// When.
        at: u64,
        /// The tenant.
        tenant: String,
        /// The adapter.
        adapter: String,
    },
    /// A router wrote an attempt's first byte while it had in force that the tenant's requests run on this adapter;
    /// empty for the bare model.
    Written {
        /// When.
        at: u64,
        /// The attempt.
        #[serde(rename = "shot")]
        attempt: String,
        /// The adapter, as `name@revision`.
        adapter: String,
    },
    /// A kept block that was made under one adapter served an attempt under another; empty for the bare model.
    AdapterMemoryUsed {
        /// When.
        at: u64,
        /// The attempt it served.
        #[serde(rename = "shot")]
        attempt: String,
        /// The adapter the attempt ran on.
        adapter: String,
        /// The adapter the block was made under.
        made_under: String,
    },
    /// A machine or process was lost, by the name that callers and attempts know it by.
    Lost {
        /// When.
        at: u64,
        /// The engine, router or machine.
        what: String,
    },
    /// A router seen holding a lease with this edition in force.
    Sample {
        /// When.
        at: u64,
        /// The router.
        router: String,
        /// The number of the state in force there.
        edition: u64,
        /// Whether it held a lease.
        leased: bool,
        /// Attempts and second attempts of this router so far.
        #[serde(rename = "shots")]
        attempts: u64,
        /// Second attempts among them.
        retries: u64,
    },
    /// A fault was caused.
    Fault {
        /// When.
        at: u64,
        /// Which.
        what: String,
    },
    /// From here on nothing is disturbed.
    LastFaultOver {
        /// When.
        at: u64,
    },
    /// The run is over.
    RunEnds {
        /// When.
        at: u64,
    },
}

/// All lines of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// What callers saw.
    pub callers: Vec<CallerLine>,
    /// What engines started and were ordered.
    pub engines: Vec<EngineLogLine>,
    /// What operators, the platform and the test did.
    pub events: Vec<EventLine>,
    /// Attempts and second attempts as the routers counted them, if known.
    pub attempts: u64,
    /// Second attempts among them.
    pub retries: u64,
}

impl Record {
    /// Every start of an attempt on an engine.
    pub fn starts(&self) -> impl Iterator<Item = &StartLine> {
        self.engines.iter().filter_map(|line| match line {
            EngineLogLine::Start(start) => Some(start),
            EngineLogLine::Prefill(_)
            | EngineLogLine::Asked { .. }
            | EngineLogLine::End { .. }
            | EngineLogLine::Order { .. } => None,
        })
    }

    /// Every beginning of work on a prompt: starts, and prefills for starts elsewhere.
    pub fn work_starts(&self) -> impl Iterator<Item = &StartLine> {
        self.engines.iter().filter_map(|line| match line {
            EngineLogLine::Start(start) | EngineLogLine::Prefill(start) => Some(start),
            EngineLogLine::Asked { .. } | EngineLogLine::End { .. } | EngineLogLine::Order { .. } => None,
        })
    }

    /// Whenever an engine was asked for anything on behalf of a prompt, in any way.
    pub fn requests_to<'a>(&'a self, engine_name: &'a str) -> impl Iterator<Item = u64> + 'a {
        let works = self.work_starts().map(|start| (start.engine.as_str(), start.at));
        let fetches = self.engines.iter().filter_map(|line| match line {
            EngineLogLine::Asked { at, engine } => Some((engine.as_str(), *at)),
            _ => None,
        });
        works.chain(fetches).filter(move |(engine, _)| *engine == engine_name).map(|(_, at)| at)
    }

    /// How the work on each attempt ended, as its engine told: when, after how many pieces, whether whole.
    pub fn ends(&self) -> BTreeMap<&str, AttemptEnd> {
        let ends = self.engines.iter().filter_map(|line| match line {
            EngineLogLine::End { at, attempt, pieces, whole, .. } => {
                Some((attempt.as_str(), AttemptEnd { at: *at, pieces: *pieces, whole: *whole }))
            }
            EngineLogLine::Start(_)
            | EngineLogLine::Prefill(_)
            | EngineLogLine::Asked { .. }
            | EngineLogLine::Order { .. } => None,
        });
        ends.collect()
    }
}

/// How the work on an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// When.
    pub at: u64,
    /// After how many pieces.
    pub pieces: u64,
    /// Whether it was worked to its end.
    pub whole: bool,
}

/// The run an attempt belongs to: the attempt's name without its last part.
pub fn run_of_attempt(attempt: &str) -> &str {
    attempt.rsplit_once('.').map_or(attempt, |(run, _)| run)
}
