//! The gateway's selection mechanisms, each of which can be disabled to measure its effect.

use crate::prelude::*;
use strum::IntoEnumIterator;

/// A mechanism that can be disabled, for trials only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Tracking cached parts by events; without it only the parts that this router sent are known.
    Events,
    /// Home affinity: all routers expect parts without a known cached copy at the same engine.
    Home,
    /// Engines fetch parts from other engines and from the store instead of computing them.
    Moves,
    /// Writing parts to the store and fetching them from it.
    Store,
    /// Skipping engines with far more requests than the average.
    Crowding,
    /// Counting an engine's pending prefill in its cost.
    UnreadAhead,
    /// Rejecting engines whose pending prefill would make the request late.
    WaitBound,
    /// Counting recent failures in an engine's cost.
    FaultCost,
    /// A higher cost for engines in other zones.
    ZonePenalty,
    /// Random sampling of engines, so that routers with the same information do not all select the same one.
    Lots,
    /// Counting other routers' requests in an engine's load.
    PeerWork,
    /// Estimating the engines' prefill speed from their responses.
    ReadingSpeed,
    /// Reusing connections to engines.
    KeptConnections,
}

impl Mechanism {
    /// Parses a mechanism's name; the error lists the known names.
    pub fn named(name: &str) -> Result<Mechanism, String> {
        name.parse().map_err(|_| {
            let known: Vec<String> = Mechanism::iter().map(|mechanism| mechanism.to_string()).collect();
            format!("unknown mechanism {name}; known are {}", known.join(", "))
        })
    }
}

/// The disabled mechanisms.
pub type DisabledMechanisms = BTreeSet<Mechanism>;

/// The fixed prefill speed used without estimates: the middle of the engines' orders of magnitude.
const FIXED_TOKENS_PER_MS: f64 = 50.0;

/// Returns the selection settings with the given mechanisms disabled.
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
