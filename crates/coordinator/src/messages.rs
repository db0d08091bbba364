//! Inputs and effects of the state machine, and the messages of keepers and agents.

use crate::prelude::*;

/// One run of a keeper's process on one disk. A restarted keeper has a new incarnation; one that lost its disk also
/// has a new id, although its address is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperIncarnation {
    pub id: NodeId,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A message between keepers with its sender and receiver. Another keeper may listen at the address when the message
/// arrives; it drops messages that are not addressed to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Zero if the sender belongs to no fleet.
    pub fleet: FleetId,
    pub from: KeeperIncarnation,
    /// Empty for broadcast messages (`CoreMessage::is_broadcast`).
    pub to: Option<KeeperIncarnation>,
    pub message: CoreMessage,
}

/// The status that a keeper sends to all known keepers in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// The sender, with its addresses.
    pub member: Member,
    pub fleet: FleetId,
    pub view: ViewNumber,
    /// The latest view in which its log was synced with the chain.
    #[serde(rename = "aligned")]
    pub synced_view: ViewNumber,
    /// The latest view for which its log holds everything committed before the view began.
    #[serde(rename = "whole")]
    pub complete_view: ViewNumber,
    /// Where its log ends.
    pub last: LogPosition,
    /// The last edition that it knows to be committed.
    pub committed: Edition,
    /// Whether it acts as the tail.
    pub tail_active: bool,
    /// The sender is stopping, and the next view should exclude it.
    pub leaving: bool,
    /// The keepers that the sender has heard recently, including itself.
    pub hears: Vec<NodeId>,
}

/// A message between keepers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoreMessage {
    #[serde(rename = "Pulse")]
    Heartbeat(KeeperStatus),
    View(ViewMessage),
    Chain(ChainMessage),
    /// The tail requests a read lease from a voter.
    #[serde(rename = "ReadLeaseAsk")]
    ReadLeaseRequest {
        view: ViewNumber,
        sent: Instant,
    },
    /// A voter grants the read lease requested at `sent`.
    #[serde(rename = "ReadLeaseGiven")]
    ReadLeaseGranted {
        view: ViewNumber,
        sent: Instant,
    },
    /// The previous tail has stopped acting and hands over to the tail of `view`.
    Retired {
        view: ViewNumber,
    },
    /// A chain member requests the lease on its duties from the tail.
    #[serde(rename = "DutyAsk")]
    DutyLeaseRequest {
        sent: Instant,
    },
    /// The tail grants the duty lease requested at `sent`, and names the duties held.
    #[serde(rename = "DutyGiven")]
    DutyLeaseGranted {
        sent: Instant,
        duties: Vec<(DutyKind, Term)>,
    },
    Submit(Submission),
    #[serde(rename = "Ask")]
    Query {
        ticket: u64,
        #[serde(rename = "question")]
        query: CoreQuery,
    },
    Outcome {
        ticket: u64,
        outcome: QueryOutcome,
    },
}

impl CoreMessage {
    /// A status concerns its sender alone and a decided view is the same for everyone, so both may be sent before the
    /// receiver's incarnation is known.
    pub fn is_broadcast(&self) -> bool {
        matches!(self, CoreMessage::Heartbeat(_) | CoreMessage::View(ViewMessage::Decided(_)))
    }
}

/// A query of an operator, or a command submitted on its behalf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoreQuery {
    /// Submits a command; answered once it is in force.
    Submit(Submission),
    /// The outcome of a request. If a fingerprint is given, only of a request with that content.
    Settled {
        request: RequestId,
        fingerprint: Option<BlockHash>,
    },
    State,
    Nodes,
    /// Adapter demand as reported to the tail by the nodes.
    Demand,
    /// Only the operators' configuration.
    Configuration,
}

/// The outcome of a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QueryOutcome {
    Settled(CommandOutcome),
    State(Box<FleetState>),
    Nodes(Vec<NodeReport>),
    Demand(Vec<AgedDemandReport>),
    Configuration {
        revision: Revision,
        source: String,
    },
    /// The deadline passed; the command may or may not take effect.
    Unknown,
}

/// A node with a lease, as known to the tail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    pub node: NodeId,
    pub applied: Edition,
    pub lease_left: Span,
}

/// A router and its addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterAddress {
    pub router: NodeId,
    /// The address for callers.
    pub address: String,
    pub zone: Zone,
    /// The address at which other routers fetch the source events that this router reads for them.
    pub relay: Option<String>,
}

/// A message from a node's agent to a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentToKeeper {
    /// Requests a lease; `router` is the agent's router, if it has announced itself.
    Renew {
        sent: Instant,
        applied: Option<Edition>,
        #[serde(rename = "life")]
        incarnation: u64,
        #[serde(rename = "door")]
        router: Option<RouterAddress>,
    },
    /// Submits or releases an idempotency-key claim; answered once committed.
    Submit {
        ticket: u64,
        submission: Submission,
    },
    Applied {
        edition: Edition,
    },
    /// Adapter demand at the agent's router; sent periodically and not answered.
    Demand(DemandReport),
}

/// A message from a keeper to a node's agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperToAgent {
    /// The current view, which names the tail.
    #[serde(rename = "Whereabouts")]
    Membership(View),
    Granted {
        sent: Instant,
        span: Span,
        #[serde(rename = "life")]
        incarnation: u64,
        /// Time since a keeper's process was last known to run before a restart.
        #[serde(rename = "undisturbed")]
        since_restart: Span,
    },
    /// Lease not renewed: the core's listing is not known to be fresh.
    NotNow,
    /// Lease not renewed: the node has not applied the required edition.
    Behind,
    /// The whole state, and how long ago recently replaced weights editions were superseded.
    Snapshot {
        state: Box<FleetState>,
        gave_way: Vec<(ModelName, WeightsEdition, Span)>,
    },
    Settled {
        ticket: u64,
        outcome: CommandOutcome,
    },
    /// The routers that hold leases.
    #[serde(rename = "Doors")]
    Routers(Vec<RouterAddress>),
    /// The next change, and the time since its commit if known.
    Push {
        number: Edition,
        submission: Submission,
        age: Option<Span>,
    },
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message received at this keeper's address.
    Peer(Envelope),
    Node {
        node: NodeId,
        message: AgentToKeeper,
    },
    NodeDisconnected {
        node: NodeId,
    },
    /// Messages to a node that were dropped because they had expired, in their original order.
    NotSent {
        node: NodeId,
        messages: Vec<KeeperToAgent>,
    },
    Query {
        ticket: u64,
        query: CoreQuery,
        deadline: Instant,
    },
    /// The platform's listing as read by this keeper, or `None` if the read failed; `requested_at` is when the read
    /// began.
    ListingRead {
        read: Option<(String, ListingNumber)>,
        requested_at: Instant,
    },
    /// This keeper is stopping and appoints a successor for each of its duties.
    Retire,
    /// This keeper cannot perform one of its duties and appoints a successor.
    HandOver(DutyKind),
    /// The seed addresses from changed settings.
    Seeds(Vec<String>),
}

/// An item to be stored durably.
#[derive(Clone, Debug, PartialEq)]
pub enum Stored {
    Record(Record),
    Snapshot {
        position: LogPosition,
        state: Box<FleetState>,
    },
    View(View),
    Vote(VoterState),
    SyncedView(ViewNumber),
    CompleteView(ViewNumber),
    /// This keeper has started acting as the tail of a view, so no earlier tail acts any more.
    TailStarted(ViewNumber),
}

/// An effect of a step, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Store(Stored),
    Send { address: String, envelope: Envelope, until: Option<Instant> },
    SendToNode { node: NodeId, message: KeeperToAgent, until: Option<Instant> },
    Outcome { ticket: u64, outcome: QueryOutcome },
    LogEvent { event: &'static str, detail: String },
}

/// The state that a keeper loads from its data folder.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    pub view: Option<View>,
    pub vote: VoterState,
    pub synced_view: ViewNumber,
    pub complete_view: ViewNumber,
    pub begun: ViewNumber,
    pub position: LogPosition,
    pub state: FleetState,
    pub records: Vec<Record>,
}
