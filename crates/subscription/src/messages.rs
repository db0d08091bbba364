//! Messages between router and agent, and the state machine's inputs and effects.

use crate::prelude::*;

/// A message from the router to its agent, over loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouterToAgent {
    /// The router's identity and addresses; sent first.
    #[serde(rename = "Here")]
    Announce(RouterAddress),
    /// The router has applied a state.
    Applied {
        /// Its edition.
        edition: Edition,
    },
    /// Submits a command to the core.
    Submit {
        /// Identifies the outcome to the router.
        ticket: u64,
        /// The command with the request id that deduplicates it.
        submission: Submission,
    },
    /// Adapter demand at this router.
    Demand(DemandReport),
}

/// A message from the agent to its router, over loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentToRouter {
    /// The whole state, and when recently replaced weights editions were superseded.
    Snapshot {
        /// The state.
        state: Box<FleetState>,
        /// Recently superseded weights editions, with the time.
        gave_way: Vec<(ModelName, WeightsEdition, Instant)>,
    },
    /// The next change and its commit time if known, which is never later than the actual one.
    Push {
        /// The edition of the change.
        number: Edition,
        /// The change.
        submission: Submission,
        /// The commit time, if known.
        committed: Option<Instant>,
    },
    /// A lease, and the time of a keeper's last restart, which is never later than the actual one.
    Lease {
        /// When the granted renewal was sent.
        #[serde(rename = "asked")]
        requested_at: Instant,
        /// The end of the period in which the router may start work.
        until: Instant,
        /// When a keeper's process was last known to run before a restart.
        #[serde(rename = "disturbed")]
        restarted: Instant,
    },
    /// The outcome of a command.
    Settled {
        /// The ticket from the router's request.
        ticket: u64,
        /// The outcome.
        outcome: CommandOutcome,
    },
    /// The routers that hold leases.
    #[serde(rename = "Doors")]
    Routers(Vec<RouterAddress>),
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum SubscriptionInput {
    /// Time has passed.
    Tick,
    /// The connection to the core is established.
    CoreConnected,
    /// The connection to the core is lost.
    CoreDisconnected,
    /// A message from the core.
    Core(KeeperToAgent),
    /// A router has connected.
    RouterConnected,
    /// The router has disconnected.
    RouterDisconnected,
    /// A message from the router.
    Router(RouterToAgent),
    /// New seed addresses of the core.
    Seeds(Vec<String>),
}

/// An effect of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriptionEffect {
    /// Close the connection to the core, if any, and dial this address.
    Dial(String),
    /// Send a message to the core.
    SendToCore(AgentToKeeper),
    /// Send a message to the router.
    SendToRouter(AgentToRouter),
    /// Log an event.
    LogEvent {
        /// The event's name.
        event: &'static str,
        /// Its details, as key=value pairs.
        detail: String,
    },
}
