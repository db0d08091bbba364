//! What router and agent say to each other, and what the state machine is told and orders.

use crate::prelude::*;

/// The router to its agent, over loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouterToAgent {
    /// Who the router is and where callers reach it; said first.
    #[serde(rename = "Here")]
    Announce(RouterAddress),
    /// A state is in force at the router.
    Applied {
        /// Its number.
        edition: Edition,
    },
    /// A command for the core.
    Submit {
        /// By which the router knows its outcome again.
        ticket: u64,
        /// The command, named so that it counts once.
        submission: Submission,
    },
    /// Where requests on adapters arrive.
    Demand(DemandReport),
}

/// The agent to its router, over loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentToRouter {
    /// The whole state, and when each edition of weights lately given up gave way.
    Snapshot {
        /// The state.
        state: Box<FleetState>,
        /// Weights lately given up, and when.
        gave_way: Vec<(ModelName, WeightsEdition, Instant)>,
    },
    /// The next change, and when it was committed, if that is known: never later than it was.
    Push {
        /// The number of the change.
        number: Edition,
        /// The change.
        submission: Submission,
        /// When it was committed, if that is known.
        committed: Option<Instant>,
    },
    /// The lease, and when the core was last disturbed: never later than it was.
    Lease {
        /// When the renewal that was granted left here.
        asked: Instant,
        /// Until when the router may start anything.
        until: Instant,
        /// When the core was last disturbed.
        disturbed: Instant,
    },
    /// What became of a command.
    Settled {
        /// The router's own ticket.
        ticket: u64,
        /// What became of it.
        outcome: Settled,
    },
    /// Where the other routers are reached.
    #[serde(rename = "Doors")]
    Routers(Vec<RouterAddress>),
}

/// What the state machine is told.
#[derive(Clone, Debug)]
pub enum SubscriptionInput {
    /// Time has passed.
    Tick,
    /// The stream to the core is up.
    CoreConnected,
    /// The stream to the core is gone.
    CoreDisconnected,
    /// A message from the core.
    Core(KeeperToAgent),
    /// A router has connected.
    RouterConnected,
    /// The router's stream is gone.
    RouterDisconnected,
    /// A message from the router.
    Router(RouterToAgent),
    /// Other addresses at which the core may be found.
    Seeds(Vec<String>),
}

/// What the state machine orders.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriptionEffect {
    /// Drop the stream to the core, if there is one, and dial this address.
    Dial(String),
    /// Send a message to the core.
    SendToCore(AgentToKeeper),
    /// Send a message to the router.
    SendToRouter(AgentToRouter),
    /// Log an event.
    LogEvent {
        /// The event's name.
        event: &'static str,
        /// What is to be known of it, as key=value.
        detail: String,
    },
}
