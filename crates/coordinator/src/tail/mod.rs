//! The tail of the chain: the one keeper that commits, pushes, grants leases and acknowledges. It acts
//! only while it holds the read lease, and begins only when no earlier tail can still be acting.

mod claims;
mod listing_check;
mod node_views;
mod nodes;
mod pushes;
mod read_lease;
mod router_list;
mod settlements;

use crate::prelude::*;
pub(crate) use listing_check::*;
pub(crate) use node_views::*;
pub(crate) use pushes::*;
pub(crate) use router_list::*;
pub(crate) use settlements::*;

/// The view of one with which a fleet begins: there is nothing in it yet that could be lost.
pub(crate) const FOUNDING_VIEW: ViewNumber = ViewNumber(1);

/// What a keeper keeps while it is the tail of its view.
#[derive(Clone, Debug)]
pub(crate) struct TailRole {
    /// Until when the tail before may still be acting.
    pub(crate) wait_until: Instant,
    /// Whether it acts: it has waited, and its start is stored.
    pub(crate) begun: bool,
    pub(crate) read_lease: ReadLease,
    pub(crate) leases: NodeLeases,
    /// Nodes that were counted without when last looked.
    left_behind: Vec<NodeId>,
    /// How far each linked node has been pushed.
    pub(crate) pushed: BTreeMap<NodeId, PushPlace>,
    /// Until when each keeper's lease on its duties may last.
    pub(crate) duty_until: BTreeMap<NodeId, Instant>,
    /// From when on no duty is held by a lease of an earlier tail.
    pub(crate) appoints_from: Instant,
    /// Editions and when they were committed, for those not yet due everywhere.
    pub(crate) fresh: VecDeque<(Edition, Instant)>,
    /// The edition that a node must have applied for its lease to be renewed.
    pub(crate) due: Edition,
    pub(crate) pending: Vec<PendingRequest>,
    pub(crate) routers: RouterList,
    /// The turn of the book of claims, and since when this tail has seen it.
    pub(crate) claim_turn: (u64, Instant),
    /// The latest report of each node on requests for adapters, and when it came.
    pub(crate) demand: BTreeMap<NodeId, (DemandReport, Instant)>,
}

impl TailRole {
    /// A tail that begins to act once `wait_until` has passed.
    pub(crate) fn new(wait_until: Instant) -> TailRole {
        TailRole {
            wait_until,
            begun: false,
            read_lease: ReadLease::default(),
            leases: NodeLeases::default(),
            left_behind: Vec::new(),
            pushed: BTreeMap::new(),
            duty_until: BTreeMap::new(),
            appoints_from: wait_until,
            fresh: VecDeque::new(),
            due: Edition(0),
            pending: Vec::new(),
            routers: RouterList::default(),
            claim_turn: (u64::MAX, Instant(0)),
            demand: BTreeMap::new(),
        }
    }

    /// The nodes that hold a lease.
    fn leased_nodes(&self) -> BTreeSet<NodeId> {
        self.leases.nodes().map(|(node, _)| *node).collect()
    }

    /// Raises what is in force. Tells the nodes that are counted without although their leases run on, when others
    /// are than before.
    fn left_behind_anew(&mut self, last_edition: Edition, now: Instant) -> Option<(Edition, Vec<NodeId>)> {
        let in_force = self.leases.advance_in_force(last_edition, now);
        let left_behind = self.leases.nodes_behind();
        let is_new = left_behind.iter().any(|node| !self.left_behind.contains(node));
        self.left_behind = left_behind;
        is_new.then(|| (in_force, self.left_behind.clone()))
    }

    /// Every edition committed for longer than the lag limit becomes due.
    fn advance_due(&mut self, last_edition: Edition, lag_limit: Span, now: Instant) {
        if self.fresh.back().map_or(self.due, |(edition, _)| *edition) < last_edition {
            self.fresh.push_back((last_edition, now));
        }
        while let Some((edition, since)) = self.fresh.front().copied() {
            if now.since(since) < lag_limit {
                break;
            }
            self.due = edition;
            self.fresh.pop_front();
        }
    }
}

impl Coordinator {
    /// Whether this keeper acts as the tail now.
    pub fn tail_is_active(&self, now: Instant) -> bool {
        self.tail.as_ref().is_some_and(|tail| tail.begun) && self.may_act_as_tail(now)
    }

    /// Whether a tail with this keeper's view, vote and read lease may act.
    fn may_act_as_tail(&self, now: Instant) -> bool {
        self.is_aligned() && !self.sealed() && self.log_is_durable() && now < self.read_until()
    }

    /// Whether all of this tail's log stands on as many disks as must be able to be lost, and one more. The chain
    /// holds all of it; one that has become too short holds only what was committed before that: a record that
    /// came later would be gone with the next disk, so it is neither told nor counted until the chain has grown.
    fn log_is_durable(&self) -> bool {
        let is_founding = self.view.number == FOUNDING_VIEW;
        is_founding || self.view.accepts_writes() || self.log.last().edition <= self.committed
    }

    /// After a view was adopted: go on as its tail, begin as its tail, or hand over.
    pub(crate) fn move_tail(&mut self, previous_view: &View, now: Instant) {
        let is_tail = self.view.tail() == Some(self.me.id);
        let follows_directly = self.view.number == previous_view.number.next();
        if let Some(tail) = self.tail.take() {
            if is_tail && follows_directly {
                self.stay_tail(tail);
                return;
            }
            self.leave_tail(&tail, follows_directly, now);
        }
        if is_tail {
            self.tail = Some(TailRole::new(now + READ_LEASE + LEASE_MARGIN));
        }
    }

    /// Goes on as the tail of the next view, under a read lease of that view.
    fn stay_tail(&mut self, mut tail: TailRole) {
        tail.read_lease = ReadLease::default();
        if tail.begun {
            self.store(Stored::Begun(self.view.number));
        }
        self.tail = Some(tail);
    }

    /// Tells the next tail, if nothing else can act, that this one has stopped; and the nodes where to go.
    fn leave_tail(&mut self, tail: &TailRole, follows_directly: bool, now: Instant) {
        let may_hand_over = follows_directly && (tail.begun || now >= tail.wait_until);
        if let Some(next_tail) = self.view.tail().filter(|_| may_hand_over) {
            let decided = CoreMessage::View(ViewMessage::Decided(self.view.clone()));
            self.send(next_tail, decided);
            self.send(next_tail, CoreMessage::Retired { view: self.view.number });
        }
        for node in tail.pushed.keys() {
            self.tell(*node, NodeDown::Membership(self.view.clone()), None);
        }
    }

    /// The tail before has stopped: there is nothing to wait for.
    pub(crate) fn hear_retired(&mut self, _from: NodeId, view: ViewNumber, now: Instant) {
        if view != self.view.number {
            return;
        }
        if let Some(tail) = self.tail.as_mut().filter(|tail| !tail.begun) {
            tail.wait_until = now;
        }
    }

    /// At the end of every step: begin acting when allowed, push, settle what is pending, appoint.
    pub(crate) fn tend_tail(&mut self, now: Instant) {
        if !self.may_act_as_tail(now) {
            return;
        }
        let Some(tail) = self.tail.as_ref().filter(|tail| tail.begun || now >= tail.wait_until) else { return };
        if !tail.begun {
            self.begin_as_tail(now);
        }
        self.commit_last(now);
        let read_until = self.read_until();
        self.tell_view();
        self.push_news(now, read_until);
        self.tell_routers(now, read_until);
        self.settle_pending(now, read_until);
        self.appoint(now);
        self.turn_claims(now);
    }

    /// The first step as an acting tail: leases granted by earlier tails are counted from here.
    fn begin_as_tail(&mut self, now: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        tail.begun = true;
        tail.appoints_from = now + self.wishes.timing.duty_lease + LEASE_MARGIN;
        tail.leases = NodeLeases::with_timing(self.wishes.timing, last_edition, now);
        tail.due = last_edition;
        self.store(Stored::Begun(self.view.number));
        self.note("tail_begins", format!("view={} edition={last_edition}", self.view.number));
    }

    /// Whatever an acting tail has in its log is committed.
    fn commit_last(&mut self, now: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        tail.advance_due(last_edition, self.wishes.timing.lag_limit, now);
        let left_behind = tail.left_behind_anew(last_edition, now);
        self.committed = last_edition;
        if let Some((edition, nodes)) = left_behind {
            self.note("counted_without", format!("edition={edition} nodes={}", list_ids(&nodes)));
        }
    }
}
