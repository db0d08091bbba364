//! The log lines that the oracles read.

use crate::prelude::*;

/// One request as its caller observed it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerLine {
    /// When the request was sent.
    pub at: u64,
    /// When the response ended.
    pub ended: u64,
    /// The router that the request was sent to.
    pub router: String,
    /// The run that the response named; empty if none.
    pub run: String,
    /// The tenant whose key was used.
    pub tenant: String,
    /// The hash of the key.
    pub key: String,
    /// The kind of request.
    pub kind: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key of the request; empty if none.
    pub idempotency: String,
    /// Whether a streamed response was requested.
    pub streams: bool,
    /// The HTTP status of the response; 0 if there was none.
    pub status: u16,
    /// One of `whole`, `not_run`, `unknown`, `cut`, `refused`, `no_answer` and `cancelled`.
    pub outcome: String,
    /// Time to the first piece of output.
    pub first_ms: Option<u64>,
    /// The attempt that produced the received pieces; empty if none arrived.
    #[serde(rename = "shot")]
    pub attempt: String,
    /// When the last piece arrived; 0 if none did.
    pub last_at: u64,
    /// Number of pieces received.
    pub pieces: u64,
    /// Blocks in the prompt, as the response reports.
    pub prompt_blocks: u64,
    /// Prompt blocks that the engine had cached, as the response reports.
    pub cached_blocks: u64,
    /// What the caller's own check found wrong with the response; empty if nothing.
    pub wrong: String,
    /// The adapter named in the response, as `name@revision`; empty if none.
    #[serde(default)]
    pub adapter: String,
    /// Identifies the question across the caller's retries; empty if not recorded.
    #[serde(default)]
    pub question: String,
}

/// An event outside callers and engines: an operator's change, a platform listing, a fault or a sample.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum EventLine {
    /// The withdrawal of a key was acknowledged.
    KeyWithdrawn {
        /// When it happened.
        at: u64,
        /// The hash of the key.
        key: String,
    },
    /// The platform lists an engine as leaving or gone.
    ListedAway {
        /// When it happened.
        at: u64,
        /// The engine.
        engine: String,
    },
    /// The platform lists an engine as open.
    ListedOpen {
        /// When it happened.
        at: u64,
        /// The engine.
        engine: String,
    },
    /// A change of the desired state was acknowledged.
    Acked {
        /// When it happened.
        at: u64,
        /// The edition of the desired state that contains the change.
        edition: u64,
    },
    /// The move to newer weights was acknowledged as confirmed on every engine.
    WeightsAcked {
        /// When it happened.
        at: u64,
        /// The newer weights edition.
        weights: u64,
    },
    /// Isolation of a tenant's cached blocks (its wall) was acknowledged.
    Walled {
        /// When it happened.
        at: u64,
        /// The tenant.
        tenant: String,
    },
    /// The tenant's wall may be removed from this moment on.
    Unwalled {
        /// When it happened.
        at: u64,
        /// The tenant.
        tenant: String,
    },
    /// A cached block was reused by an attempt though it was computed on other weights or for another tenant.
    MemoryUsed {
        /// When it happened.
        at: u64,
        /// The attempt that reused the block.
        #[serde(rename = "shot")]
        attempt: String,
        /// The weights that the attempt ran on.
        weights: u64,
        /// The weights that the block was computed on.
        made_on: u64,
        /// The tenant of the attempt.
        tenant: String,
        /// The tenant that the block was computed for.
        made_for: String,
    },
    /// The tenant's requests run on this adapter from this moment on; the switch may take effect slightly earlier.
    AdapterInForce {
        /// When it happened.
        at: u64,
        /// The tenant.
        tenant: String,
        /// The adapter, as `name@revision`.
        adapter: String,
    },
    /// A router wrote the first byte of an attempt while its snapshot bound the tenant to this adapter; empty for the
    /// base model.
    Written {
        /// When it happened.
        at: u64,
        /// The attempt.
        #[serde(rename = "shot")]
        attempt: String,
        /// The adapter, as `name@revision`.
        adapter: String,
    },
    /// A cached block computed under one adapter was reused by an attempt under another; empty for the base model.
    AdapterMemoryUsed {
        /// When it happened.
        at: u64,
        /// The attempt that reused the block.
        #[serde(rename = "shot")]
        attempt: String,
        /// The adapter that the attempt ran on.
        adapter: String,
        /// The adapter that the block was computed under.
        made_under: String,
    },
    /// A machine or process was lost, by its name in caller and engine lines.
    Lost {
        /// When it happened.
        at: u64,
        /// The engine, router or machine.
        what: String,
    },
    /// A sample of a router's state.
    Sample {
        /// When it happened.
        at: u64,
        /// The router.
        router: String,
        /// The edition of the desired state in force at the router.
        edition: u64,
        /// Whether it held a lease.
        leased: bool,
        /// Attempts of this router so far, retries included.
        #[serde(rename = "shots")]
        attempts: u64,
        /// Retries among them.
        retries: u64,
    },
    /// A fault was injected.
    Fault {
        /// When it happened.
        at: u64,
        /// The fault.
        what: String,
    },
    /// The last fault is over; no fault is injected after this moment.
    LastFaultOver {
        /// When it happened.
        at: u64,
    },
    /// The run ended.
    RunEnds {
        /// When it happened.
        at: u64,
    },
}

/// All log lines of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests as their callers observed them.
    pub callers: Vec<CallerLine>,
    /// Work that engines started and orders that they received.
    pub engines: Vec<EngineLogLine>,
    /// Actions of operators, the platform and the test.
    pub events: Vec<EventLine>,
    /// Attempts as the routers counted them, retries included; 0 if unknown.
    pub attempts: u64,
    /// Retries among them.
    pub retries: u64,
}

impl Record {
    /// All starts of attempts on engines.
    pub fn starts(&self) -> impl Iterator<Item = &StartLine> {
        self.engines.iter().filter_map(|line| match line {
            EngineLogLine::Start(start) => Some(start),
            EngineLogLine::Prefill(_)
            | EngineLogLine::Asked { .. }
            | EngineLogLine::End { .. }
            | EngineLogLine::Order { .. } => None,
        })
    }

    /// All starts of work on a prompt: attempts, and prefills for attempts that decode on another engine.
    pub fn work_starts(&self) -> impl Iterator<Item = &StartLine> {
        self.engines.iter().filter_map(|line| match line {
            EngineLogLine::Start(start) | EngineLogLine::Prefill(start) => Some(start),
            EngineLogLine::Asked { .. } | EngineLogLine::End { .. } | EngineLogLine::Order { .. } => None,
        })
    }

    /// The times of all requests to an engine on behalf of a prompt: attempts, prefills and block fetches.
    pub fn requests_to<'a>(&'a self, engine_name: &'a str) -> impl Iterator<Item = u64> + 'a {
        let work_starts = self.work_starts().map(|start| (start.engine.as_str(), start.at));
        let fetches = self.engines.iter().filter_map(|line| match line {
            EngineLogLine::Asked { at, engine } => Some((engine.as_str(), *at)),
            _ => None,
        });
        work_starts.chain(fetches).filter(move |(engine, _)| *engine == engine_name).map(|(_, at)| at)
    }

    /// The end of each attempt as its engine reported it.
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

/// How the work on an attempt ended, as its engine reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// When it ended.
    pub at: u64,
    /// Number of pieces produced.
    pub pieces: u64,
    /// Whether the engine completed the attempt.
    pub whole: bool,
}

/// The run that an attempt belongs to: the attempt's name without its last component.
pub fn run_of_attempt(attempt: &str) -> &str {
    attempt.rsplit_once('.').map_or(attempt, |(run, _)| run)
}
