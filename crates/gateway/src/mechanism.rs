//! The mechanisms by which a gateway decides, each of which can be switched off to measure what it is worth.

use crate::prelude::*;
use strum::IntoEnumIterator;

/// A mechanism that can be switched off, for trials alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Kept parts known by events; the node's own history is left.
    Events,
    /// Parts that nobody is known to keep are expected at one engine by all nodes.
    Home,
    /// Engines take parts from peers and from the store instead of reading them.
    Moves,
    /// The store: parts are sent to it and taken from it.
    Store,
    /// Engines with far more requests than others are passed over.
    Crowding,
    /// Prompts that wait to be read at an engine count in its cost.
    UnreadAhead,
    /// Engines get no request that the prompts waiting there would make late.
    WaitBound,
    /// Latest failures count in an engine's cost.
    FaultCost,
    /// Engines of other zones cost more.
    ZonePenalty,
    /// Engines are drawn by lot where many nodes choose on the same news.
    Lots,
    /// Other routers' own work counts in an engine's load.
    PeerWork,
    /// How fast engines read is learnt.
    ReadingSpeed,
    /// Connections to engines are kept and used again.
    KeptConnections,
}

impl Mechanism {
    /// The mechanism of a name; for another, what names there are.
    pub fn named(name: &str) -> Result<Mechanism, String> {
        name.parse().map_err(|_| {
            let known: Vec<String> = Mechanism::iter().map(|mechanism| mechanism.to_string()).collect();
            format!("unknown mechanism {name}; known are {}", known.join(", "))
        })
    }
}

/// Mechanisms that are switched off.
pub type DisabledMechanisms = BTreeSet<Mechanism>;

/// A reading speed that is not learnt: the middle of the orders of magnitude that engines have.
const FIXED_TOKENS_PER_MS: f64 = 50.0;

/// The settings of the selection without some mechanisms.
pub(crate) fn disable_mechanisms(disabled: &DisabledMechanisms, settings: SelectionSettings) -> SelectionSettings {
    let mut settings = settings;
    for mechanism in disabled {
        match mechanism {
            Mechanism::Events => settings.events_late = Span(0),
            Mechanism::Home => settings.home_affinity_share = 0.0,
            Mechanism::Moves => settings.fetch_min_tokens = u64::MAX,
            Mechanism::Crowding => settings.overload_factor = None,
            Mechanism::UnreadAhead => settings.pending_prefill_share = 0.0,
            Mechanism::WaitBound => settings.limits_queue_wait = false,
            Mechanism::FaultCost => settings.recent_failure_cost = 0.0,
            Mechanism::Lots => settings.samples_per_engine = None,
            Mechanism::ReadingSpeed => settings.tokens_per_ms = Some(FIXED_TOKENS_PER_MS),
            Mechanism::Store | Mechanism::ZonePenalty | Mechanism::PeerWork | Mechanism::KeptConnections => {}
        }
    }
    settings
}
