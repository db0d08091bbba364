//! The tail's part: read lease, node leases, numbered pushes, what is in force; and the duties, whose
//! holders the tail keeps under lease and the chain appoints.

use crate::prelude::*;

#[derive(Clone, Debug)]
pub(crate) struct TailDuty {
    /// Until the tail before may still be acting.
    pub(crate) wait_until: Instant,
    pub(crate) begun: bool,
    pub(crate) read_lease: ReadLease,
    pub(crate) leases: NodeLeases,
    /// How far each linked node has been pushed; nothing for one that needs a snapshot.
    pub(crate) pushed: BTreeMap<NodeId, PushPlace>,
    pub(crate) duty_until: BTreeMap<NodeId, Instant>,
    /// From when on no duty is held by a lease of an earlier tail.
    pub(crate) appoints_from: Instant,
    /// Editions and when they were committed, for those not yet due everywhere.
    pub(crate) fresh: VecDeque<(Edition, Instant)>,
    pub(crate) due: Edition,
    pub(crate) asked: Vec<Asked>,
    pub(crate) doors: BTreeMap<NodeId, RouterDoor>,
    /// The list of routers as it was told last, its number, and when it last changed.
    pub(crate) told_doors: Vec<RouterDoor>,
    pub(crate) doors_number: u64,
    pub(crate) doors_told: Instant,
    /// The turn of the book of claims, and since when this tail has seen it.
    pub(crate) claim_turn: (u64, Instant),
    /// What each node told last of the requests on adapters, and when.
    pub(crate) demand: BTreeMap<NodeId, (DemandReport, Instant)>,
}

/// A linked node: the life of the router behind it, and the edition it was pushed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PushPlace {
    pub(crate) life: u64,
    pub(crate) pushed: Option<Edition>,
    /// The number of the list of routers it was told last.
    pub(crate) doors: u64,
}

impl PushPlace {
    /// A message for this node was planned and never sent.
    fn take_back(&mut self, message: &NodeDown) {
        match message {
            NodeDown::Push { number, .. } => {
                let before = Edition(number.0.saturating_sub(1));
                self.pushed = self.pushed.min(Some(before));
            }
            NodeDown::Snapshot { .. } => self.pushed = None,
            NodeDown::Doors(_) => self.doors = NO_DOORS,
            // The rest is asked for again, or said again anyway.
            NodeDown::Whereabouts(_)
            | NodeDown::Granted { .. }
            | NodeDown::NotNow
            | NodeDown::Behind
            | NodeDown::Settled { .. } => {}
        }
    }
}

/// Who waits for a settlement: a keeper's door, until it is in force, or a node, until it is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AskedBy {
    Keeper(NodeId),
    Node(NodeId),
}

#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) from: AskedBy,
    pub(crate) ticket: u64,
    pub(crate) request: RequestId,
    pub(crate) since: Instant,
}

/// The platform's listing as this keeper itself read it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CensusSight {
    /// When the latest good reading began.
    asked: Instant,
    newest: Option<(String, ListingNumber)>,
    /// When the latest reading that failed began.
    faulted: Instant,
    /// The listings in the state, latest first: the edition each came in, and when the latest reading
    /// began that agreed with it. Two are kept, for nodes that have yet to apply the latest.
    agreed: VecDeque<(Edition, Instant)>,
}

/// The number of no list of routers that was ever told.
const NO_DOORS: u64 = 0;
/// The list of routers goes out at most so often.
const DOORS_EVERY: Span = Span::millis(500);
/// How old the agreement of state and platform may be for a node's lease to be granted on it: with the
/// lease itself this stays below the three seconds an engine that was listed away may get requests.
const LISTING_AGE: Span = Span::millis(800);
/// How long a failed reading counts: the platform is away, and the last list holds.
const FAILED_AGE: Span = Span::millis(1300);

/// A duty as its holder knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldDuty {
    pub(crate) term: Term,
    pub(crate) first_known: Instant,
}

impl TailDuty {
    pub(crate) fn new(wait_until: Instant) -> TailDuty {
        TailDuty {
            wait_until,
            begun: false,
            read_lease: ReadLease::default(),
            leases: NodeLeases::default(),
            pushed: BTreeMap::new(),
            duty_until: BTreeMap::new(),
            appoints_from: wait_until,
            fresh: VecDeque::new(),
            due: Edition(0),
            asked: Vec::new(),
            doors: BTreeMap::new(),
            told_doors: Vec::new(),
            doors_number: NO_DOORS,
            doors_told: Instant(0),
            claim_turn: (u64::MAX, Instant(0)),
            demand: BTreeMap::new(),
        }
    }

    /// Other nodes with the same callers' address: what they were has ended, or is the same router.
    fn same_door(&self, node: NodeId, door: Option<&RouterDoor>) -> Vec<NodeId> {
        let Some(door) = door.filter(|door| !door.address.is_empty()) else { return Vec::new() };
        let others =
            self.doors.iter().filter(|(other, other_door)| **other != node && other_door.address == door.address);
        others.map(|(other, _)| *other).collect()
    }
}

/// A change as routers get it: they need no operators' own words.
fn for_routers(mut submission: Submission) -> Submission {
    if let Command::Configure(change) = &mut submission.command {
        change.source.clear();
    }
    submission
}

impl Warden {
    pub(crate) fn read_until(&self) -> Instant {
        let Some(tail) = &self.tail else { return Instant(0) };
        tail.read_lease.until(&self.view.voters, self.view.majority())
    }

    pub fn tail_is_active(&self, now: Instant) -> bool {
        self.tail.as_ref().is_some_and(|tail| tail.begun)
            && self.is_aligned()
            && !self.sealed()
            && now < self.read_until()
    }

    pub(crate) fn ask_read_lease(&mut self, now: Instant) {
        if self.tail.is_none() || self.sealed() {
            return;
        }
        for voter in self.view.voters.clone() {
            self.send(voter, CoreMessage::ReadLeaseAsk { view: self.view.number, sent: now });
        }
    }

    pub(crate) fn hear_read_lease_ask(&mut self, from: NodeId, view: ViewNumber, sent: Instant) {
        let agrees = view == self.view.number
            && self.view.tail() == Some(from)
            && !self.sealed()
            && self.view.votes(self.me.id);
        if agrees {
            self.send(from, CoreMessage::ReadLeaseGiven { view, sent });
        }
    }

    pub(crate) fn hear_read_lease_given(&mut self, from: NodeId, view: ViewNumber, sent: Instant) {
        if view == self.view.number
            && let Some(tail) = &mut self.tail
        {
            tail.read_lease.take(from, sent);
        }
    }

    /// After a view was adopted: go on, begin, or hand over.
    pub(crate) fn move_tail(&mut self, previous_view: &View, now: Instant) {
        let me = self.me.id;
        let is_tail = self.view.tail() == Some(me);
        let follows_directly = self.view.number == previous_view.number.next();
        if let Some(mut tail) = self.tail.take() {
            if is_tail && follows_directly {
                tail.read_lease = ReadLease::default();
                if tail.begun {
                    self.store(Stored::Begun(self.view.number));
                }
                self.tail = Some(tail);
                return;
            }
            let may_hand_over = follows_directly && (tail.begun || now >= tail.wait_until);
            if let Some(next_tail) = self.view.tail().filter(|_| may_hand_over) {
                let decided = CoreMessage::View(ViewMessage::Decided(self.view.clone()));
                self.send(next_tail, decided);
                self.send(next_tail, CoreMessage::Retired { view: self.view.number });
            }
            for node in tail.pushed.keys().copied().collect::<Vec<NodeId>>() {
                let whereabouts = NodeDown::Whereabouts(self.view.clone());
                self.plan.push(Effect::Tell { node, message: whereabouts, until: None });
            }
        }
        if is_tail {
            self.tail = Some(TailDuty::new(now + READ_LEASE + LEASE_MARGIN));
        }
    }

    pub(crate) fn hear_retired(&mut self, _from: NodeId, view: ViewNumber, now: Instant) {
        if view != self.view.number {
            return;
        }
        if let Some(tail) = self.tail.as_mut().filter(|tail| !tail.begun) {
            tail.wait_until = now;
        }
    }

    /// At the end of every step: begin acting when allowed, push, settle what was asked, appoint.
    pub(crate) fn tend_tail(&mut self, now: Instant) {
        let read_until = self.read_until();
        let may_act = self.is_aligned() && !self.sealed() && now < read_until;
        let last_edition = self.log.last().edition;
        let lag_limit = self.wishes.timing.lag_limit;
        let Some(tail) = self.tail.as_mut().filter(|tail| may_act && (tail.begun || now >= tail.wait_until)) else {
            return;
        };
        let begins = !tail.begun;
        if begins {
            tail.begun = true;
            self.plan.push(Effect::Store(Stored::Begun(self.view.number)));
            tail.appoints_from = now + self.wishes.timing.duty_lease + LEASE_MARGIN;
            tail.leases = NodeLeases::begin_under(self.wishes.timing, last_edition, now);
            tail.due = last_edition;
        }
        if tail.fresh.back().map_or(tail.due, |(edition, _)| *edition) < last_edition {
            tail.fresh.push_back((last_edition, now));
        }
        while let Some((edition, since)) = tail.fresh.front().copied() {
            if now.since(since) < lag_limit {
                break;
            }
            tail.due = edition;
            tail.fresh.pop_front();
        }
        tail.leases.raise(last_edition, now);
        self.committed = last_edition;
        if begins {
            self.note("tail_begins", format!("view={} edition={last_edition}", self.view.number));
        }
        self.push_news(now, read_until);
        self.tell_doors(now, read_until);
        self.settle_asked(now, read_until);
        self.appoint(now);
        self.turn_claims(now);
    }

    /// Has the book of claims turned once this tail has seen its page for the whole span.
    fn turn_claims(&mut self, now: Instant) {
        let turn = self.log.state().claim_book.turn;
        let (Some(head), Some(tail)) = (self.view.head(), self.tail.as_mut()) else { return };
        if tail.claim_turn.0 != turn {
            tail.claim_turn = (turn, now);
        }
        if now.since(tail.claim_turn.1) < CLAIM_SPAN {
            return;
        }
        tail.claim_turn.1 = now;
        let request = RequestId(BlockHash::over(&[b"turn", &turn.to_le_bytes()]).0);
        self.send(head, CoreMessage::Submit(Submission { request, command: Command::TurnClaims { turn } }));
        self.take_own_outcomes();
    }

    pub(crate) fn note_listing(&mut self, read: Option<(String, ListingNumber)>, asked: Instant) {
        match read {
            None => self.census.faulted = self.census.faulted.max(asked),
            Some((boot, number)) if asked >= self.census.asked => {
                self.census.asked = asked;
                self.census.newest = Some((boot, number));
            }
            Some(_) => {}
        }
    }

    /// Notes whether platform and state agree now.
    fn compare_listing(&mut self) {
        let in_state = &self.log.state().listing;
        let listing_edition = self.log.state().listing_edition;
        if self.census.agreed.front().is_none_or(|(edition, _)| *edition != listing_edition) {
            self.census.agreed.push_front((listing_edition, Instant(0)));
            self.census.agreed.truncate(2);
        }
        let agrees = self
            .census
            .newest
            .as_ref()
            .is_some_and(|(boot, number)| *boot == in_state.boot && *number <= in_state.number);
        if agrees && let Some((_, agreed)) = self.census.agreed.front_mut() {
            *agreed = (*agreed).max(self.census.asked);
        }
    }

    /// Whether a node that has applied so much may be let start on the listing it has.
    fn listing_is_fresh(&self, applied: Edition, now: Instant) -> bool {
        let own_agreed = self.census.agreed.iter().find(|(edition, _)| applied >= *edition);
        let has_latest = self.census.agreed.front().is_some_and(|(edition, _)| applied >= *edition);
        let platform_away = self.census.faulted >= self.census.asked && now.since(self.census.faulted) < FAILED_AGE;
        own_agreed.is_some_and(|(_, agreed)| now.since(*agreed) < LISTING_AGE) || (has_latest && platform_away)
    }

    fn push_news(&mut self, now: Instant, read_until: Instant) {
        let last_edition = self.log.last().edition;
        let Some(tail) = self.tail.as_mut() else { return };
        let mut told_effects = Vec::new();
        for (node, place) in tail.pushed.iter_mut() {
            if place.pushed == Some(last_edition) {
                continue;
            }
            match place.pushed.and_then(|edition| self.log.after(edition)) {
                Some(records) => {
                    for record in records {
                        let number = record.mark.edition;
                        let age = self.committed_at.get(&number).map(|committed| now.since(*committed));
                        let submission = for_routers(record.submission);
                        let message = NodeDown::Push { number, submission, age };
                        told_effects.push(Effect::Tell { node: *node, message, until: Some(read_until) });
                    }
                }
                None => {
                    let gave_way = self.gave_way.iter();
                    let gave_way = gave_way
                        .map(|((model, weights), since)| (model.clone(), *weights, now.since(*since)))
                        .collect();
                    let state = Box::new(self.log.state().without_claims());
                    let message = NodeDown::Snapshot { state, gave_way };
                    told_effects.push(Effect::Tell { node: *node, message, until: Some(read_until) });
                }
            }
            place.pushed = Some(last_edition);
        }
        self.plan.extend(told_effects);
    }

    /// Tells every linked node which routers serve. Newcomers that come close together are told at once, so
    /// that a fleet that starts does not make the list go to every node for each of them.
    fn tell_doors(&mut self, now: Instant, read_until: Instant) {
        let Some(tail) = self.tail.as_mut() else { return };
        let leased: BTreeSet<NodeId> = tail.leases.nodes().map(|(node, _)| *node).collect();
        tail.doors.retain(|node, _| leased.contains(node));
        let may_change = now.since(tail.doors_told) >= DOORS_EVERY;
        if may_change && !tail.doors.values().eq(tail.told_doors.iter()) {
            tail.told_doors = tail.doors.values().cloned().collect();
            tail.doors_number += 1;
            tail.doors_told = now;
        }
        for (node, place) in tail.pushed.iter_mut() {
            if place.doors == tail.doors_number {
                continue;
            }
            place.doors = tail.doors_number;
            let message = NodeDown::Doors(tail.told_doors.clone());
            self.plan.push(Effect::Tell { node: *node, message, until: Some(read_until) });
        }
    }

    /// Claims and their giving back go from nodes to the head; the node is told once that is committed.
    fn hear_claim(&mut self, node: NodeId, ticket: u64, submission: Submission, now: Instant) {
        if !matches!(submission.command, Command::Claim { .. } | Command::Release { .. }) {
            return;
        }
        let request = submission.request;
        if let Some(tail) = self.tail.as_mut() {
            tail.asked.push(Asked { from: AskedBy::Node(node), ticket, request, since: now });
        }
        if let Some(head) = self.view.head() {
            self.send(head, CoreMessage::Submit(submission));
        }
    }

    pub(crate) fn hear_node(&mut self, node: NodeId, message: NodeUp, now: Instant) {
        if !self.tail_is_active(now) {
            let message = NodeDown::Whereabouts(self.view.clone());
            self.plan.push(Effect::Tell { node, message, until: None });
            return;
        }
        let read_until = self.read_until();
        let last_edition = self.log.last().edition;
        self.compare_listing();
        let applied_edition = match &message {
            NodeUp::Renew { applied, .. } => applied.unwrap_or_default(),
            NodeUp::Applied { edition } => *edition,
            NodeUp::Submit { .. } | NodeUp::Demand(_) => Edition(0),
        };
        if let NodeUp::Submit { ticket, submission } = message {
            self.hear_claim(node, ticket, submission, now);
            return;
        }
        let core_is_fresh = !self.wishes.has_census || self.listing_is_fresh(last_edition, now);
        let node_is_fresh = !self.wishes.has_census || self.listing_is_fresh(applied_edition, now);
        let node_lease = self.wishes.timing.node_lease;
        let undisturbed = now.since(self.last_disturbance(now));
        let Some(tail) = self.tail.as_mut() else { return };
        match message {
            NodeUp::Applied { edition } => {
                tail.leases.note_applied(node, edition.min(last_edition));
            }
            NodeUp::Submit { .. } => {}
            NodeUp::Demand(report) => {
                tail.demand.insert(node, (report, now));
            }
            NodeUp::Renew { sent, applied, life, door } => {
                let known_edition = applied.filter(|edition| *edition <= last_edition);
                let fresh_place = PushPlace { life, pushed: known_edition, doors: NO_DOORS };
                let place = tail.pushed.entry(node).or_insert(fresh_place);
                if place.life != life || place.pushed < known_edition || known_edition.is_none() {
                    *place = fresh_place;
                }
                let same_door: Vec<NodeId> = tail.same_door(node, door.as_ref());
                match door {
                    Some(door) => tail.doors.insert(node, door),
                    None => tail.doors.remove(&node),
                };
                let due = tail.due;
                let is_level = |leases: &mut NodeLeases| {
                    known_edition.is_some_and(|edition| leases.renew(node, edition, due, now))
                };
                let message = match core_is_fresh {
                    false => NodeDown::NotNow,
                    true if node_is_fresh && is_level(&mut tail.leases) => {
                        same_door.into_iter().for_each(|earlier| tail.leases.forget(earlier));
                        NodeDown::Granted { sent, span: node_lease, life, undisturbed }
                    }
                    true => NodeDown::Behind,
                };
                self.plan.push(Effect::Tell { node, message, until: Some(read_until) });
            }
        }
    }

    /// What nodes with a lease told of the requests on adapters.
    pub(crate) fn heard_demand(&mut self, now: Instant) -> Vec<HeardDemand> {
        let Some(tail) = self.tail.as_mut() else { return Vec::new() };
        let leased: BTreeSet<NodeId> = tail.leases.nodes().map(|(node, _)| *node).collect();
        tail.demand.retain(|node, _| leased.contains(node));
        let told = tail.demand.values();
        told.map(|(report, at)| HeardDemand { report: report.clone(), age: now.since(*at) }).collect()
    }

    /// When a core machine was last seen to come or go: this one's own start, a peer's return, or the last
    /// word of one that is silent.
    fn last_disturbance(&self, now: Instant) -> Instant {
        let of_peers = self.peers.iter().map(|(node, peer)| {
            let is_silent = !self.is_alive(*node, now);
            if is_silent { peer.last_heard } else { peer.heard_since }
        });
        of_peers.max().unwrap_or_default().max(self.began)
    }

    /// What was dropped is pushed again from there on, as soon as this tail acts.
    pub(crate) fn take_back(&mut self, node: NodeId, messages: &[NodeDown]) {
        let Some(place) = self.tail.as_mut().and_then(|tail| tail.pushed.get_mut(&node)) else { return };
        for message in messages {
            place.take_back(message);
        }
    }

    pub(crate) fn lose_node(&mut self, node: NodeId) {
        if let Some(tail) = &mut self.tail {
            tail.pushed.remove(&node);
        }
    }

    fn settle_asked(&mut self, now: Instant, read_until: Instant) {
        let state = self.log.state();
        let Some(tail) = self.tail.as_mut() else { return };
        let in_force = tail.leases.in_force();
        let is_settled = tail.leases.settled(now);
        let mut answered = Vec::new();
        tail.asked.retain(|asked| {
            let Some(outcome) = state.settled_before(asked.request) else {
                return now.since(asked.since) < Span::seconds(2);
            };
            let may_answer = match &outcome {
                _ if matches!(asked.from, AskedBy::Node(_)) => true,
                Settled::Taken(edition) => is_settled && *edition <= in_force,
                _ => true,
            };
            if may_answer {
                answered.push((asked.from, asked.ticket, outcome));
            }
            !may_answer && now.since(asked.since) < Span::seconds(2)
        });
        for (from, ticket, outcome) in answered {
            match from {
                AskedBy::Keeper(to) => {
                    let outcome = AskOutcome::Settled(outcome);
                    self.send_until(to, CoreMessage::Outcome { ticket, outcome }, Some(read_until));
                }
                AskedBy::Node(node) => {
                    let message = NodeDown::Settled { ticket, outcome };
                    self.plan.push(Effect::Tell { node, message, until: Some(read_until) });
                }
            }
        }
        if !self.inbox.is_empty() {
            self.take_own_outcomes();
        }
    }

    fn take_own_outcomes(&mut self) {
        while let Some(message) = self.inbox.pop_front() {
            match message {
                CoreMessage::Outcome { ticket, outcome } => self.hear_outcome(ticket, outcome),
                CoreMessage::Submit(submission) => self.hear_submit(submission),
                _ => {}
            }
        }
    }

    // Duties.

    pub(crate) fn ask_duty(&mut self, now: Instant) {
        if let Some(tail) = self.view.tail().filter(|_| self.view.in_chain(self.me.id)) {
            self.send(tail, CoreMessage::DutyAsk { sent: now });
        }
    }

    /// Whether a keeper hears us, and most others: one that does not would never get what it is granted.
    fn hears_us(&self, keeper: NodeId, now: Instant) -> bool {
        let is_told = self.peer_news(keeper).is_some_and(|news| news.hears.contains(&self.me.id));
        keeper == self.me.id || (is_told && !self.is_unwell(keeper, now))
    }

    pub(crate) fn hear_duty_ask(&mut self, from: NodeId, sent: Instant, now: Instant) {
        if !self.tail_is_active(now) || !self.hears_us(from, now) {
            return;
        }
        let read_until = self.read_until();
        let duties: Vec<(DutyKind, Term)> = self
            .log
            .state()
            .duties
            .iter()
            .filter(|(_, duty)| duty.holder == from)
            .map(|(kind, duty)| (*kind, duty.term))
            .collect();
        if let Some(tail) = self.tail.as_mut() {
            tail.duty_until.insert(from, now + self.wishes.timing.duty_lease + LEASE_MARGIN);
        }
        self.send_until(from, CoreMessage::DutyGiven { sent, duties }, Some(read_until));
    }

    pub(crate) fn hear_duty_given(
        &mut self,
        from: NodeId,
        sent: Instant,
        duties: Vec<(DutyKind, Term)>,
        now: Instant,
    ) {
        if self.view.tail() != Some(from) || self.retired {
            return;
        }
        self.duty_lease.renew(sent, self.wishes.timing.duty_lease);
        self.duties.retain(|kind, held| duties.contains(&(*kind, held.term)));
        for (kind, term) in duties {
            self.duties.entry(kind).or_insert(HeldDuty { term, first_known: now });
        }
    }

    /// The term under which this keeper may have the state changed for a duty, and until when.
    pub fn is_named_for(&self, kind: DutyKind, now: Instant) -> Option<(Term, Instant)> {
        let held = self.duties.get(&kind)?;
        self.duty_lease.holds(now).then(|| (held.term, self.duty_lease.until()))
    }

    /// The term under which this keeper may act outside, and until when; checked last before acting.
    pub fn holds_duty(&self, kind: DutyKind, now: Instant) -> Option<(Term, Instant)> {
        let held = self.duties.get(&kind)?;
        let has_forerunner = held.term > Term(1);
        let orders_gap = self.wishes.timing.duty_gap;
        let gap = if kind == DutyKind::Conductor && has_forerunner { orders_gap } else { Span(0) };
        let may_act = self.duty_lease.holds(now) && now >= held.first_known + gap;
        may_act.then(|| (held.term, self.duty_lease.until()))
    }

    /// Stops acting at once and names a successor for each duty held, so that it need not wait for this
    /// keeper's lease to run out.
    pub(crate) fn retire(&mut self, now: Instant) {
        self.duties.clear();
        self.retired = true;
        for kind in [DutyKind::Census, DutyKind::Conductor] {
            self.hand_over(kind, now);
        }
    }

    /// Names a successor for a duty, if this keeper holds it.
    pub(crate) fn hand_over(&mut self, kind: DutyKind, now: Instant) {
        self.duties.remove(&kind);
        let me = self.me.id;
        let Some(head) = self.view.head() else { return };
        let own_place = self.view.chain.iter().position(|member| *member == me).unwrap_or(0);
        let others = self.view.chain.iter().cycle().skip(own_place + 1).take(self.view.chain.len().saturating_sub(1));
        let successor = others.copied().find(|member| *member != me && self.is_alive(*member, now));
        let Some(holder) = successor else { return };
        if let Some(duty) = self.log.state().duties.get(&kind).copied().filter(|duty| duty.holder == me) {
            let naming = [duty.term.0.to_le_bytes(), (kind as u64).to_le_bytes(), me.0.to_le_bytes()];
            let request = RequestId(BlockHash::over(&[b"retire", &naming[0], &naming[1], &naming[2]]).0);
            let command = Command::Appoint { kind, from_term: duty.term, holder };
            self.note("duty_handed_over", format!("duty={kind:?} to={holder}"));
            self.send(head, CoreMessage::Submit(Submission { request, command }));
        }
    }

    /// A duty nobody holds, or whose holder's lease has run out, goes to a living chain member.
    fn appoint(&mut self, now: Instant) {
        let Some(tail) = &self.tail else { return };
        if now < tail.appoints_from {
            return;
        }
        let Some(head) = self.view.head() else { return };
        for (place, kind) in [DutyKind::Census, DutyKind::Conductor].into_iter().enumerate() {
            let duty = self.log.state().duties.get(&kind).copied();
            let holder_lives = duty.is_some_and(|duty| {
                self.tail
                    .as_ref()
                    .and_then(|tail| tail.duty_until.get(&duty.holder))
                    .is_some_and(|until| now < *until)
            });
            if holder_lives {
                continue;
            }
            let living_members: Vec<NodeId> = self
                .view
                .chain
                .iter()
                .copied()
                .filter(|member| self.is_alive(*member, now) && self.hears_us(*member, now))
                .filter(|member| duty.is_none_or(|duty| duty.holder != *member))
                .collect();
            let Some(holder) = living_members.get(place % living_members.len().max(1)).copied() else { continue };
            let from_term = duty.map_or(Term(0), |duty| duty.term);
            let naming = [from_term.0.to_le_bytes(), (place as u64).to_le_bytes(), self.view.number.0.to_le_bytes()];
            let request = RequestId(BlockHash::over(&[b"appoint", &naming[0], &naming[1], &naming[2]]).0);
            let command = Command::Appoint { kind, from_term, holder };
            self.send(head, CoreMessage::Submit(Submission { request, command }));
        }
        self.take_own_outcomes();
    }
}
