//! The tail of the chain, the one keeper that commits, pushes changes, grants leases and acknowledges. It acts only
//! while it holds the read lease, and starts only when no earlier tail can still be acting.

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

/// The single-member view with which a fleet begins, when there is no data to lose yet.
pub(crate) const FOUNDING_VIEW: ViewNumber = ViewNumber(1);

/// The state that a keeper has while it is the tail of its view.
#[derive(Clone, Debug)]
pub(crate) struct TailRole {
    /// Until when the previous tail may still be acting.
    pub(crate) wait_until: Instant,
    /// Whether it acts: it has waited, and its start is stored.
    pub(crate) started: bool,
    pub(crate) read_lease: ReadLease,
    pub(crate) leases: NodeLeases,
    /// Nodes with valid leases that in-force editions did not wait for, at the last check.
    left_behind: Vec<NodeId>,
    /// The push progress of each connected node.
    pub(crate) pushed: BTreeMap<NodeId, PushState>,
    /// When each keeper's duty lease expires at the latest.
    pub(crate) duty_until: BTreeMap<NodeId, Instant>,
    /// The time from which no duty lease granted by an earlier tail can be valid.
    pub(crate) appoint_after: Instant,
    /// Recent editions with their commit times, until the lag limit makes them required.
    pub(crate) recent_commits: VecDeque<(Edition, Instant)>,
    /// The edition that a node must have applied for its lease to be renewed.
    pub(crate) required_edition: Edition,
    pub(crate) pending: Vec<PendingRequest>,
    pub(crate) routers: RouterList,
    /// The current turn of the claim book, and when this tail first saw it.
    pub(crate) claim_rotation: (u64, Instant),
    /// The latest adapter demand report of each node, and when it arrived.
    pub(crate) demand: BTreeMap<NodeId, (DemandReport, Instant)>,
}

impl TailRole {
    /// A tail that may start once `wait_until` has passed.
    pub(crate) fn new(wait_until: Instant) -> TailRole {
        TailRole {
            wait_until,
            started: false,
            read_lease: ReadLease::default(),
            leases: NodeLeases::default(),
            left_behind: Vec::new(),
            pushed: BTreeMap::new(),
            duty_until: BTreeMap::new(),
            appoint_after: wait_until,
            recent_commits: VecDeque::new(),
            required_edition: Edition(0),
            pending: Vec::new(),
            routers: RouterList::default(),
            claim_rotation: (u64::MAX, Instant(0)),
            demand: BTreeMap::new(),
        }
    }

    /// The nodes that hold a lease.
    fn leased_nodes(&self) -> BTreeSet<NodeId> {
        self.leases.nodes().map(|(node, _)| *node).collect()
    }

    /// Raises the edition in force. Returns it with the nodes that it did not wait for although their leases are
    /// valid, if there is a new one among them.
    fn raise_in_force(&mut self, last_edition: Edition, now: Instant) -> Option<(Edition, Vec<NodeId>)> {
        let in_force = self.leases.advance_in_force(last_edition, now);
        let left_behind = self.leases.nodes_behind();
        let is_new = left_behind.iter().any(|node| !self.left_behind.contains(node));
        self.left_behind = left_behind;
        is_new.then(|| (in_force, self.left_behind.clone()))
    }

    /// Requires every edition committed for longer than the lag limit.
    fn advance_due(&mut self, last_edition: Edition, lag_limit: Span, now: Instant) {
        if self.recent_commits.back().map_or(self.required_edition, |(edition, _)| *edition) < last_edition {
            self.recent_commits.push_back((last_edition, now));
        }
        while let Some((edition, since)) = self.recent_commits.front().copied() {
            if now.since(since) < lag_limit {
                break;
            }
            self.required_edition = edition;
            self.recent_commits.pop_front();
        }
    }
}

impl Coordinator {
    /// Whether this keeper currently acts as the tail.
    pub fn tail_is_active(&self, now: Instant) -> bool {
        self.tail.as_ref().is_some_and(|tail| tail.started) && self.may_act_as_tail(now)
    }

    /// Whether this keeper's view, vote, log and read lease allow it to act as the tail.
    fn may_act_as_tail(&self, now: Instant) -> bool {
        self.is_synced() && !self.sealed() && self.log_is_durable() && now < self.read_until()
    }

    /// Whether this tail's whole log is on at least tolerance + 1 disks. A full chain guarantees that. A chain that
    /// has become too short guarantees it only for records committed earlier: a later one would be lost with the next
    /// disk, so it is neither reported nor committed until the chain has grown.
    fn log_is_durable(&self) -> bool {
        let is_founding = self.view.number == FOUNDING_VIEW;
        is_founding || self.view.accepts_writes() || self.log.last().edition <= self.committed
    }

    /// After a view change: continues as tail, becomes tail, or hands over.
    pub(crate) fn update_tail_role(&mut self, previous_view: &View, now: Instant) {
        let is_tail = self.view.tail() == Some(self.me.id);
        let follows_directly = self.view.number == previous_view.number.next();
        if let Some(tail) = self.tail.take() {
            if is_tail && follows_directly {
                self.continue_as_tail(tail);
                return;
            }
            self.resign_as_tail(&tail, follows_directly, now);
        }
        if is_tail {
            self.tail = Some(TailRole::new(now + READ_LEASE + LEASE_MARGIN));
        }
    }

    /// Continues as the tail of the next view, which needs a read lease of that view.
    fn continue_as_tail(&mut self, mut tail: TailRole) {
        tail.read_lease = ReadLease::default();
        if tail.started {
            self.store(Stored::TailStarted(self.view.number));
        }
        self.tail = Some(tail);
    }

    /// Tells the next tail that this one has stopped, if no other tail can be acting, and sends the new view to the
    /// nodes.
    fn resign_as_tail(&mut self, tail: &TailRole, follows_directly: bool, now: Instant) {
        let may_hand_over = follows_directly && (tail.started || now >= tail.wait_until);
        if let Some(next_tail) = self.view.tail().filter(|_| may_hand_over) {
            let decided = CoreMessage::View(ViewMessage::Decided(self.view.clone()));
            self.send(next_tail, decided);
            self.send(next_tail, CoreMessage::Retired { view: self.view.number });
        }
        for node in tail.pushed.keys() {
            self.send_to_node(*node, KeeperToAgent::Membership(self.view.clone()), None);
        }
    }

    /// The previous tail has stopped, so there is no need to wait for it.
    pub(crate) fn handle_retired(&mut self, _from: NodeId, view: ViewNumber, now: Instant) {
        if view != self.view.number {
            return;
        }
        if let Some(tail) = self.tail.as_mut().filter(|tail| !tail.started) {
            tail.wait_until = now;
        }
    }

    /// Runs at the end of every step: starts acting when allowed, commits, pushes, answers requests and appoints duty
    /// holders.
    pub(crate) fn run_tail(&mut self, now: Instant) {
        if !self.may_act_as_tail(now) {
            return;
        }
        let Some(tail) = self.tail.as_ref().filter(|tail| tail.started || now >= tail.wait_until) else { return };
        if !tail.started {
            self.start_as_tail(now);
        }
        self.commit_log(now);
        let read_until = self.read_until();
        self.send_view();
        self.push_changes(now, read_until);
        self.send_router_list(now, read_until);
        self.settle_pending(now, read_until);
        self.appoint_duty_holders(now);
        self.rotate_claims(now);
    }

    /// Starts acting. Leases granted by earlier tails are accounted for as if granted now.
    fn start_as_tail(&mut self, now: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        tail.started = true;
        tail.appoint_after = now + self.settings.timing.duty_lease + LEASE_MARGIN;
        tail.leases = NodeLeases::with_timing(self.settings.timing, last_edition, now);
        tail.required_edition = last_edition;
        self.store(Stored::TailStarted(self.view.number));
        self.log_event("tail_begins", format!("view={} edition={last_edition}", self.view.number));
    }

    /// Commits everything in the log of the acting tail.
    fn commit_log(&mut self, now: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        tail.advance_due(last_edition, self.settings.timing.lag_limit, now);
        let left_behind = tail.raise_in_force(last_edition, now);
        self.committed = last_edition;
        if let Some((edition, nodes)) = left_behind {
            self.log_event("counted_without", format!("edition={edition} nodes={}", join_ids(&nodes)));
        }
    }
}
