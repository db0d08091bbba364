//! Duties that one keeper performs at a time (reading the platform's listing, conducting engines). The replicated
//! state names the holder, the tail grants it a lease, and the holder acts only while that lease is valid.

use crate::prelude::*;

const DUTY_KINDS: [DutyKind; 2] = [DutyKind::Census, DutyKind::Conductor];
/// How long after its lease expired a holder that is back in the chain may still renew it. Reappointing it is faster
/// than a successor, which has to wait until no order of the previous holder can be in flight.
const RENEWAL_GRACE: Span = Span::millis(500);

/// A duty as known to its holder.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldDuty {
    pub(crate) term: Term,
    pub(crate) learned_at: Instant,
}

/// Derives a request id from a label and numbers. Equal arguments give the same id, so a repeated submission takes
/// effect once.
pub(crate) fn derived_request_id(label: &[u8], numbers: &[u64]) -> RequestId {
    let numbers: Vec<[u8; 8]> = numbers.iter().map(|number| number.to_le_bytes()).collect();
    let mut parts = vec![label];
    parts.extend(numbers.iter().map(|number| number.as_slice()));
    RequestId(BlockHash::of_parts(&parts).0)
}

// Holder side.
impl Coordinator {
    /// Requests the lease on this keeper's duties from the tail.
    pub(crate) fn request_duty_lease(&mut self, now: Instant) {
        if let Some(tail) = self.view.tail().filter(|_| self.view.in_chain(self.me.id)) {
            self.send(tail, CoreMessage::DutyLeaseRequest { sent: now });
        }
    }

    /// Handles a renewed duty lease, with the duties that this keeper holds.
    pub(crate) fn handle_duty_lease_granted(
        &mut self,
        from: NodeId,
        sent: Instant,
        duties: Vec<(DutyKind, Term)>,
        now: Instant,
    ) {
        if self.view.tail() != Some(from) || self.retired || !self.was_requested_here(sent) {
            return;
        }
        self.duty_lease.renew(sent, self.settings.timing.duty_lease);
        self.duties.retain(|kind, held| duties.contains(&(*kind, held.term)));
        for (kind, term) in duties {
            self.duties.entry(kind).or_insert(HeldDuty { term, learned_at: now });
        }
    }

    /// Whether this incarnation can have sent a request at that instant. A grant meant for a keeper whose disk was
    /// lost can reach the empty keeper that replaced it, which has the same address and another id.
    fn was_requested_here(&self, sent: Instant) -> bool {
        sent >= self.started_at && self.view.in_chain(self.me.id)
    }

    /// The term under which this keeper may submit state changes for a duty, and the end of its lease.
    pub fn leased_duty(&self, kind: DutyKind, now: Instant) -> Option<(Term, Instant)> {
        let held = self.duties.get(&kind)?;
        self.duty_lease.holds(now).then(|| (held.term, self.duty_lease.until()))
    }

    /// The term under which this keeper may perform a duty's external actions, and the end of its lease; must be
    /// checked immediately before each action.
    pub fn actionable_duty(&self, kind: DutyKind, now: Instant) -> Option<(Term, Instant)> {
        let held = self.duties.get(&kind)?;
        let has_predecessor = held.term > Term(1);
        let handover_gap = self.settings.timing.duty_gap;
        let gap = if kind == DutyKind::Conductor && has_predecessor { handover_gap } else { Span(0) };
        let may_act = self.duty_lease.holds(now) && now >= held.learned_at + gap;
        may_act.then(|| (held.term, self.duty_lease.until()))
    }

    /// Stops performing duties at once and appoints a successor for each, which then need not wait for this keeper's
    /// lease to expire.
    pub(crate) fn hand_over_all(&mut self, now: Instant) {
        self.duties.clear();
        for kind in DUTY_KINDS {
            self.hand_over(kind, now);
        }
    }

    /// Appoints a successor for a duty if this keeper holds it.
    pub(crate) fn hand_over(&mut self, kind: DutyKind, now: Instant) {
        self.duties.remove(&kind);
        let me = self.me.id;
        let Some(head) = self.view.head() else { return };
        let Some(holder) = self.next_live_member(now) else { return };
        let held = self.log.state().duties.get(&kind).copied();
        let Some(duty) = held.filter(|duty| duty.holder == me) else { return };
        let request = derived_request_id(b"retire", &[duty.term.0, kind as u64, me.0]);
        let command = Command::Appoint { kind, from_term: duty.term, holder };
        self.log_event("duty_handed_over", format!("duty={kind:?} to={holder}"));
        self.send(head, CoreMessage::Submit(Submission { request, command }));
    }

    /// The next live chain member after this keeper, wrapping around.
    fn next_live_member(&self, now: Instant) -> Option<NodeId> {
        let (me, chain) = (self.me.id, &self.view.chain);
        let own_place = chain.iter().position(|member| *member == me).unwrap_or(0);
        let mut others = chain.iter().cycle().skip(own_place + 1).take(chain.len().saturating_sub(1));
        let may_follow = |member: &NodeId| self.is_alive(*member, now) && !self.is_leaving(*member, now);
        others.find(|member| **member != me && may_follow(member)).copied()
    }
}

// Tail side.
impl Coordinator {
    /// Grants the requested duty lease if the keeper can receive the answer.
    pub(crate) fn handle_duty_lease_request(&mut self, from: NodeId, sent: Instant, now: Instant) {
        if !self.tail_is_active(now) || !self.hears_us(from, now) {
            return;
        }
        let read_until = self.read_until();
        let held = self.log.state().duties.iter().filter(|(_, duty)| duty.holder == from);
        let duties: Vec<(DutyKind, Term)> = held.map(|(kind, duty)| (*kind, duty.term)).collect();
        if let Some(tail) = self.tail.as_mut() {
            tail.duty_until.insert(from, now + self.settings.timing.duty_lease + LEASE_MARGIN);
        }
        self.send_until(from, CoreMessage::DutyLeaseGranted { sent, duties }, Some(read_until));
    }

    /// Whether a keeper hears this one and a majority of the voters; otherwise it would not receive a grant.
    fn hears_us(&self, keeper: NodeId, now: Instant) -> bool {
        let hears_this_keeper = self.peer_status(keeper).is_some_and(|status| status.hears.contains(&self.me.id));
        keeper == self.me.id || (hears_this_keeper && !self.is_unhealthy(keeper, now))
    }

    /// Appoints a live chain member to each duty that has no holder or whose holder's lease has expired.
    pub(crate) fn appoint_duty_holders(&mut self, now: Instant) {
        if self.tail.as_ref().is_none_or(|tail| now < tail.appoint_after) {
            return;
        }
        let Some(head) = self.view.head() else { return };
        for (place, kind) in DUTY_KINDS.into_iter().enumerate() {
            let duty = self.log.state().duties.get(&kind).copied();
            if duty
                .is_some_and(|duty| self.may_hold_lease(duty.holder, now) || self.may_still_renew(duty.holder, now))
            {
                continue;
            }
            let candidates = self.duty_candidates(duty, now);
            let Some(holder) = candidates.get(place % candidates.len().max(1)).copied() else { continue };
            let from_term = duty.map_or(Term(0), |duty| duty.term);
            let request = derived_request_id(b"appoint", &[from_term.0, place as u64, self.view.number.0]);
            let command = Command::Appoint { kind, from_term, holder };
            self.send(head, CoreMessage::Submit(Submission { request, command }));
        }
        self.process_inbox();
    }

    /// Whether a duty lease that this tail granted may still be valid.
    fn may_hold_lease(&self, holder: NodeId, now: Instant) -> bool {
        let until = self.tail.as_ref().and_then(|tail| tail.duty_until.get(&holder));
        until.is_some_and(|until| now < *until)
    }

    /// Whether a holder whose lease expired less than `RENEWAL_GRACE` ago can still renew it.
    fn may_still_renew(&self, holder: NodeId, now: Instant) -> bool {
        let until = self.tail.as_ref().and_then(|tail| tail.duty_until.get(&holder));
        let expired_recently = until.is_some_and(|until| now < *until + RENEWAL_GRACE);
        expired_recently && self.view.in_chain(holder) && self.is_alive(holder, now) && self.hears_us(holder, now)
    }

    /// Chain members that can take over a duty, in chain order.
    fn duty_candidates(&self, duty: Option<Duty>, now: Instant) -> Vec<NodeId> {
        let members = self.view.chain.iter().copied();
        members
            .filter(|member| self.is_alive(*member, now) && self.hears_us(*member, now))
            .filter(|member| !self.is_leaving(*member, now))
            .filter(|member| duty.is_none_or(|duty| duty.holder != *member))
            .collect()
    }
}
