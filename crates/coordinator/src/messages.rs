//! Inputs, effects, and what keepers and nodes say.

use crate::prelude::*;

/// One life of a keeper's process on one disk. A keeper that starts again has another life, and one whose disk
/// was lost another id, though it answers at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperLife {
    pub id: NodeId,
    pub life: u64,
}

/// A message between keepers, with its sender and its receiver. Streams lead to addresses, and another keeper
/// may stand at one by the time a message arrives: it drops what was meant for the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Zero while the sender belongs to no fleet.
    pub fleet: FleetId,
    pub from: KeeperLife,
    /// Nobody in particular for what is true whoever hears it (`CoreMessage::is_for_anyone`).
    pub to: Option<KeeperLife>,
    pub message: CoreMessage,
}

/// What a keeper tells every other it knows, at each pulse.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub member: Member,
    pub fleet: FleetId,
    pub view: ViewNumber,
    pub aligned: ViewNumber,
    pub whole: ViewNumber,
    pub last: LogPosition,
    pub committed: Edition,
    pub tail_active: bool,
    /// The speaker is about to stop: the next view is to do without it.
    pub leaving: bool,
    /// Whom the speaker has heard lately, itself included.
    pub hears: Vec<NodeId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoreMessage {
    Pulse(News),
    View(ViewMessage),
    Chain(ChainMessage),
    ReadLeaseAsk {
        view: ViewNumber,
        sent: Instant,
    },
    ReadLeaseGiven {
        view: ViewNumber,
        sent: Instant,
    },
    /// The tail of `view` has stopped acting and hands over.
    Retired {
        view: ViewNumber,
    },
    DutyAsk {
        sent: Instant,
    },
    DutyGiven {
        sent: Instant,
        duties: Vec<(DutyKind, Term)>,
    },
    Submit(Submission),
    Ask {
        ticket: u64,
        question: Question,
    },
    Outcome {
        ticket: u64,
        outcome: AskOutcome,
    },
}

impl CoreMessage {
    /// News are about their sender alone, and a decided view is the same for everyone: both are told before the
    /// receiver's life is known.
    pub fn is_for_anyone(&self) -> bool {
        matches!(self, CoreMessage::Pulse(_) | CoreMessage::View(ViewMessage::Decided(_)))
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Take this command, and answer once it is in force.
    Submit(Submission),
    /// How was this request settled? Under a fingerprint: if it was this that was submitted.
    Settled {
        request: RequestId,
        fingerprint: Option<BlockHash>,
    },
    State,
    Nodes,
    /// Where requests on adapters arrive, as far as nodes told the tail.
    Demand,
    /// The operators' configuration alone.
    Configuration,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AskOutcome {
    Settled(Settled),
    State(Box<FleetState>),
    Nodes(Vec<NodeReport>),
    Demand(Vec<HeardDemand>),
    Configuration {
        revision: Revision,
        source: String,
    },
    /// The limit passed; whether it was or will be done is not known.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    pub node: NodeId,
    pub applied: Edition,
    pub lease_left: Span,
}

/// A router, and where it is reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterAddress {
    pub router: NodeId,
    /// Where callers reach it.
    pub address: String,
    pub zone: Zone,
    /// Where other routers ask it for news of the sources that it reads for them.
    pub relay: Option<String>,
}

/// From a node's agent to a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeUp {
    /// `router` is the router behind the agent, and where callers reach it.
    Renew {
        sent: Instant,
        applied: Option<Edition>,
        life: u64,
        #[serde(rename = "door")]
        router: Option<RouterAddress>,
    },
    /// A claim, or the giving back of one; answered once it is committed.
    Submit {
        ticket: u64,
        submission: Submission,
    },
    Applied {
        edition: Edition,
    },
    /// Which adapters' requests arrive at the router behind it; said again and again, and not answered.
    Demand(DemandReport),
}

/// From a keeper to a node's agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeDown {
    /// "I am not the tail"; the view says who is.
    #[serde(rename = "Whereabouts")]
    Membership(View),
    Granted {
        sent: Instant,
        span: Span,
        life: u64,
        /// How long ago a core machine was last seen to come or go.
        undisturbed: Span,
    },
    /// Not renewed: the listing that the core has is not known to be fresh.
    NotNow,
    /// Not renewed: the node lags behind.
    Behind,
    /// The whole state, and how long ago each edition of weights lately given up gave way.
    Snapshot {
        state: Box<FleetState>,
        gave_way: Vec<(ModelName, WeightsEdition, Span)>,
    },
    Settled {
        ticket: u64,
        outcome: Settled,
    },
    /// The routers that hold leases now.
    #[serde(rename = "Doors")]
    Routers(Vec<RouterAddress>),
    /// The next change, and how long ago it was committed, if that is known.
    Push {
        number: Edition,
        submission: Submission,
        age: Option<Span>,
    },
}

#[derive(Clone, Debug)]
pub enum Input {
    Pulse,
    /// Another keeper's message, as it arrived at this keeper's address.
    Peer(Envelope),
    Node {
        node: NodeId,
        message: NodeUp,
    },
    NodeGone {
        node: NodeId,
    },
    /// What was planned for a node, and was dropped since it had come too late; in the order of the plan.
    NotSent {
        node: NodeId,
        messages: Vec<NodeDown>,
    },
    Ask {
        ticket: u64,
        question: Question,
        limit: Instant,
    },
    /// The platform's listing as this keeper read it, or nothing if it could not; `asked` is when the
    /// reading began.
    ListingRead {
        read: Option<(String, ListingNumber)>,
        asked: Instant,
    },
    /// This keeper is about to stop: it names a successor for each duty it holds.
    Retire,
    /// This keeper cannot do a duty it holds, and names a successor for it.
    HandOver(DutyKind),
    /// Seeds as the settings now name them.
    Seeds(Vec<String>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Stored {
    Record(Record),
    Snapshot {
        mark: LogPosition,
        state: Box<FleetState>,
    },
    View(View),
    Vote(VoterState),
    Aligned(ViewNumber),
    Whole(ViewNumber),
    /// This keeper has begun to act as the tail of a view: no tail before it acts any more.
    Begun(ViewNumber),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Store(Stored),
    Send { address: String, envelope: Envelope, until: Option<Instant> },
    Tell { node: NodeId, message: NodeDown, until: Option<Instant> },
    Outcome { ticket: u64, outcome: AskOutcome },
    Note { event: &'static str, detail: String },
}

/// What a keeper finds in its data folder.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub view: Option<View>,
    pub vote: VoterState,
    pub aligned: ViewNumber,
    pub whole: ViewNumber,
    pub begun: ViewNumber,
    pub mark: LogPosition,
    pub state: FleetState,
    pub records: Vec<Record>,
}
