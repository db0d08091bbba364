//! Duties of single keepers (reading the listing, conducting engines): the chain appoints a holder, the tail
//! keeps it under a lease, and the holder acts only while that lease lasts.

use crate::prelude::*;

const DUTY_KINDS: [DutyKind; 2] = [DutyKind::Census, DutyKind::Conductor];
/// A holder that is back in the chain has so long after its lease ran out to ask for it again: a successor
/// would have to wait until nothing of the holder before can be on its way any more.
const RETURN_SPAN: Span = Span::millis(500);

/// A duty as its holder knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldDuty {
    pub(crate) term: Term,
    pub(crate) first_known: Instant,
}

/// A request id that is the same for the same label and numbers, so that asking twice is asking once.
pub(crate) fn request_of(label: &[u8], numbers: &[u64]) -> RequestId {
    let numbers: Vec<[u8; 8]> = numbers.iter().map(|number| number.to_le_bytes()).collect();
    let mut parts = vec![label];
    parts.extend(numbers.iter().map(|number| number.as_slice()));
    RequestId(BlockHash::of_parts(&parts).0)
}

// The holder's side.
impl Coordinator {
    /// A chain member asks the tail for the lease on its duties.
    pub(crate) fn ask_duty(&mut self, now: Instant) {
        if let Some(tail) = self.view.tail().filter(|_| self.view.in_chain(self.me.id)) {
            self.send(tail, CoreMessage::DutyAsk { sent: now });
        }
    }

    /// The tail renewed the lease, and says which duties this keeper holds.
    pub(crate) fn hear_duty_given(
        &mut self,
        from: NodeId,
        sent: Instant,
        duties: Vec<(DutyKind, Term)>,
        now: Instant,
    ) {
        if self.view.tail() != Some(from) || self.retired || !self.asked_itself(sent) {
            return;
        }
        self.duty_lease.renew(sent, self.wishes.timing.duty_lease);
        self.duties.retain(|kind, held| duties.contains(&(*kind, held.term)));
        for (kind, term) in duties {
            self.duties.entry(kind).or_insert(HeldDuty { term, first_known: now });
        }
    }

    /// Whether this keeper can have asked at that instant. What was granted to a keeper whose disk was lost can
    /// arrive at the empty one in its place, which has its address and another id.
    fn asked_itself(&self, sent: Instant) -> bool {
        sent >= self.began && self.view.in_chain(self.me.id)
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
    pub(crate) fn hand_over_all(&mut self, now: Instant) {
        self.duties.clear();
        for kind in DUTY_KINDS {
            self.hand_over(kind, now);
        }
    }

    /// Names a successor for a duty, if this keeper holds it.
    pub(crate) fn hand_over(&mut self, kind: DutyKind, now: Instant) {
        self.duties.remove(&kind);
        let me = self.me.id;
        let Some(head) = self.view.head() else { return };
        let Some(holder) = self.next_alive(now) else { return };
        let held = self.log.state().duties.get(&kind).copied();
        let Some(duty) = held.filter(|duty| duty.holder == me) else { return };
        let request = request_of(b"retire", &[duty.term.0, kind as u64, me.0]);
        let command = Command::Appoint { kind, from_term: duty.term, holder };
        self.note("duty_handed_over", format!("duty={kind:?} to={holder}"));
        self.send(head, CoreMessage::Submit(Submission { request, command }));
    }

    /// The next living member of the chain after this keeper, counted around.
    fn next_alive(&self, now: Instant) -> Option<NodeId> {
        let (me, chain) = (self.me.id, &self.view.chain);
        let own_place = chain.iter().position(|member| *member == me).unwrap_or(0);
        let mut others = chain.iter().cycle().skip(own_place + 1).take(chain.len().saturating_sub(1));
        let may_follow = |member: &NodeId| self.is_alive(*member, now) && !self.is_leaving(*member, now);
        others.find(|member| **member != me && may_follow(member)).copied()
    }
}

// The tail's side.
impl Coordinator {
    /// A keeper asks for the lease on its duties; granted if it would hear of it.
    pub(crate) fn hear_duty_ask(&mut self, from: NodeId, sent: Instant, now: Instant) {
        if !self.tail_is_active(now) || !self.hears_us(from, now) {
            return;
        }
        let read_until = self.read_until();
        let held = self.log.state().duties.iter().filter(|(_, duty)| duty.holder == from);
        let duties: Vec<(DutyKind, Term)> = held.map(|(kind, duty)| (*kind, duty.term)).collect();
        if let Some(tail) = self.tail.as_mut() {
            tail.duty_until.insert(from, now + self.wishes.timing.duty_lease + LEASE_MARGIN);
        }
        self.send_until(from, CoreMessage::DutyGiven { sent, duties }, Some(read_until));
    }

    /// Whether a keeper hears us, and most others: one that does not would never get what it is granted.
    fn hears_us(&self, keeper: NodeId, now: Instant) -> bool {
        let is_told = self.peer_news(keeper).is_some_and(|news| news.hears.contains(&self.me.id));
        keeper == self.me.id || (is_told && !self.is_unwell(keeper, now))
    }

    /// A duty nobody holds, or whose holder's lease has run out, goes to a living chain member.
    pub(crate) fn appoint(&mut self, now: Instant) {
        if self.tail.as_ref().is_none_or(|tail| now < tail.appoints_from) {
            return;
        }
        let Some(head) = self.view.head() else { return };
        for (place, kind) in DUTY_KINDS.into_iter().enumerate() {
            let duty = self.log.state().duties.get(&kind).copied();
            if duty.is_some_and(|duty| self.may_hold_lease(duty.holder, now) || self.is_back(duty.holder, now)) {
                continue;
            }
            let candidates = self.duty_candidates(duty, now);
            let Some(holder) = candidates.get(place % candidates.len().max(1)).copied() else { continue };
            let from_term = duty.map_or(Term(0), |duty| duty.term);
            let request = request_of(b"appoint", &[from_term.0, place as u64, self.view.number.0]);
            let command = Command::Appoint { kind, from_term, holder };
            self.send(head, CoreMessage::Submit(Submission { request, command }));
        }
        self.take_own_outcomes();
    }

    /// Whether the lease that this tail granted on a keeper's duties may still last.
    fn may_hold_lease(&self, holder: NodeId, now: Instant) -> bool {
        let until = self.tail.as_ref().and_then(|tail| tail.duty_until.get(&holder));
        until.is_some_and(|until| now < *until)
    }

    /// Whether a holder whose lease ran out a moment ago can ask for it again.
    fn is_back(&self, holder: NodeId, now: Instant) -> bool {
        let until = self.tail.as_ref().and_then(|tail| tail.duty_until.get(&holder));
        let ran_out_lately = until.is_some_and(|until| now < *until + RETURN_SPAN);
        ran_out_lately && self.view.in_chain(holder) && self.is_alive(holder, now) && self.hears_us(holder, now)
    }

    /// Members of the chain that may take a duty over, in the chain's order.
    fn duty_candidates(&self, duty: Option<Duty>, now: Instant) -> Vec<NodeId> {
        let members = self.view.chain.iter().copied();
        members
            .filter(|member| self.is_alive(*member, now) && self.hears_us(*member, now))
            .filter(|member| !self.is_leaving(*member, now))
            .filter(|member| duty.is_none_or(|duty| duty.holder != *member))
            .collect()
    }
}
