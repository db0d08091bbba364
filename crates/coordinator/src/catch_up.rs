//! Catch-up: how a keeper's log becomes synced with its predecessor's, or a copy of a complete member's, and when a
//! sealed keeper may replace its log.

use crate::prelude::*;

/// How many record ages are sent to a member that catches up.
const MAX_AGES_SENT: usize = 64;

/// What a member does with another's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CatchUpPurpose {
    /// Its log becomes synced with the chain.
    Sync,
    /// Its log becomes one more copy of what is committed.
    Copy,
}

impl Coordinator {
    pub(crate) fn serve_catch_up(
        &mut self,
        from: NodeId,
        view: ViewNumber,
        last: LogPosition,
        nonce: u64,
        now: Instant,
    ) {
        let may_serve = self.is_synced() || self.holds_all_committed(self.me.id);
        if view != self.view.number || !may_serve {
            return;
        }
        let source = SourceState { sealed: self.sealed(), unsynced: !self.is_synced() };
        let answer = self.log.catch_up_reply(view, last, nonce, self.ages(now), source);
        self.send(from, CoreMessage::Chain(answer));
    }

    /// What a reply to the current catch-up request may be used for. Only a synced predecessor syncs a member, and not
    /// while that is sealed. A keeper that does not hold everything committed, outside the chain or in it, may copy
    /// the log of any member that does, because nothing is committed through it.
    pub(crate) fn catch_up_purpose(
        &self,
        from: NodeId,
        view: ViewNumber,
        nonce: u64,
        source: SourceState,
    ) -> Option<CatchUpPurpose> {
        if view != self.view.number || nonce != self.nonce {
            return None;
        }
        let from_predecessor = self.view.predecessor(self.me.id) == Some(from);
        if from_predecessor && !source.unsynced && !self.sealed() {
            return Some(CatchUpPurpose::Sync);
        }
        let needs_copy = !self.is_synced() && !self.holds_all_committed(self.me.id);
        needs_copy.then_some(CatchUpPurpose::Copy)
    }

    /// Whether a snapshot may replace this log. A sealed keeper has reported where its log ends, and the next view may
    /// count it as a copy up to there. It therefore accepts only a snapshot that lacks nothing committed in this view
    /// at any time: that of a sealed member, or a longer one of a synced member.
    pub(crate) fn may_replace_log(&self, snapshot: LogPosition, source: SourceState) -> bool {
        let is_shorter = snapshot.edition < self.log.last().edition;
        !self.sealed() || source.sealed || (!source.unsynced && !is_shorter)
    }

    /// Appends the records after the end of this log.
    pub(crate) fn take_missing_records(
        &mut self,
        purpose: CatchUpPurpose,
        previous: LogPosition,
        records: Vec<Record>,
        ages: &CommitAges,
    ) {
        let was_synced = self.is_synced();
        self.take_records(previous, records);
        if !was_synced {
            self.take_ages(ages);
        }
        self.finish_catch_up(purpose);
    }

    /// Replaces this log.
    pub(crate) fn take_snapshot(
        &mut self,
        purpose: CatchUpPurpose,
        position: LogPosition,
        state: Box<FleetState>,
        ages: &CommitAges,
    ) {
        self.log = Log::restore(position, (*state).clone(), Vec::new());
        self.store(Stored::Snapshot { position, state });
        self.take_ages(ages);
        self.finish_catch_up(purpose);
    }

    /// Upper bounds of the ages of recent commits and superseded weights known here.
    fn ages(&self, now: Instant) -> CommitAges {
        let records = self.committed_at.iter().rev().take(MAX_AGES_SENT);
        let gave_way = self.superseded_at.iter();
        CommitAges {
            records: records.map(|(edition, since)| (*edition, now.since(*since))).collect(),
            gave_way: gave_way
                .map(|((model, weights), since)| (model.clone(), *weights, now.since(*since)))
                .collect(),
        }
    }

    /// Adopts the commit times of the member that served the catch-up. Ages count from when the request was sent, so
    /// no time is later than the actual commit: the head numbered each record before it could be committed, or was in
    /// every chain since, and each member takes its times from its predecessor.
    fn take_ages(&mut self, ages: &CommitAges) {
        self.clear_commit_times();
        let current_request = self.catch_up_request.filter(|(nonce, _)| *nonce == self.nonce);
        let Some((_, requested_at)) = current_request else { return };
        let instant_at_age = |age: Span| Instant(requested_at.0.saturating_sub(age.0));
        let last = self.log.last().edition;
        let records = ages.records.iter().filter(|(edition, _)| *edition <= last);
        self.committed_at = records.map(|(edition, age)| (*edition, instant_at_age(*age))).collect();
        let gave_way = ages.gave_way.iter();
        self.superseded_at =
            gave_way.map(|(model, weights, age)| ((model.clone(), *weights), instant_at_age(*age))).collect();
    }

    /// Discards commit times. Records committed before this keeper was synced may be older than when it saw them, so
    /// their age is unknown. A synced member appends before the commit, so its times are valid.
    pub(crate) fn clear_commit_times(&mut self) {
        self.restored_at = self.log.last().edition;
        self.committed_at.clear();
        let models = &self.log.state().desired.models;
        self.wanted_weights = models.iter().map(|(model, spec)| (model.clone(), spec.weights)).collect();
        self.superseded_at.clear();
    }

    /// Ends the current catch-up request. Replies to it that are still on their way are ignored.
    fn finish_catch_up(&mut self, purpose: CatchUpPurpose) {
        self.nonce = self.nonce.wrapping_add(1);
        if purpose == CatchUpPurpose::Sync && self.synced_view != self.view.number {
            self.mark_synced();
        }
    }

    fn mark_synced(&mut self) {
        self.synced_view = self.view.number;
        self.complete_view = self.view.number;
        self.store(Stored::SyncedView(self.synced_view));
        self.store(Stored::CompleteView(self.complete_view));
        self.log_event("aligned", format!("view={} edition={}", self.synced_view, self.log.last().edition));
        if let Some(successor) = self.view.successor(self.me.id) {
            let status = CoreMessage::Heartbeat(self.own_status(self.last_heartbeat));
            self.send(successor, status);
        }
    }

    pub(crate) fn request_catch_up_from(&mut self, other: NodeId, now: Instant) {
        let is_first_request = self.catch_up_request.is_none_or(|(nonce, _)| nonce != self.nonce);
        if is_first_request {
            self.catch_up_request = Some((self.nonce, now));
        }
        let have = ChainMessage::Have { view: self.view.number, last: self.log.last(), nonce: self.nonce };
        self.send(other, CoreMessage::Chain(have));
    }

    pub(crate) fn request_catch_up(&mut self, now: Instant) {
        if !self.has_view() || self.is_synced() {
            return;
        }
        if let Some(source) = self.catch_up_source(now) {
            self.request_catch_up_from(source, now);
        }
    }

    /// The keeper to catch up from. A chain member is synced by its predecessor; if that cannot serve for a while, and
    /// for a keeper outside the chain, it is the last live member that is synced or holds everything committed.
    fn catch_up_source(&self, now: Instant) -> Option<NodeId> {
        let predecessor = self.view.predecessor(self.me.id);
        let waits_for_predecessor = self.view.in_chain(self.me.id)
            && (self.holds_all_committed(self.me.id)
                || now.since(self.adopted_at) < SUSPECT_TIMEOUT
                || predecessor.is_some_and(|member| self.is_synced_peer(member, now)));
        if waits_for_predecessor {
            return predecessor;
        }
        let can_serve = |member: &NodeId| {
            let is_complete = self.is_alive(*member, now) && self.holds_all_committed(*member);
            *member != self.me.id && (is_complete || self.is_synced_peer(*member, now))
        };
        let sources = self.view.chain.iter().rev().copied().filter(can_serve);
        sources.chain(predecessor).chain(self.view.tail()).next()
    }

    /// Whether a live member reports that it is synced in this view.
    fn is_synced_peer(&self, member: NodeId, now: Instant) -> bool {
        let status = self.peer_status(member).filter(|_| self.is_alive(member, now));
        status.is_some_and(|status| status.view == self.view.number && status.synced_view == status.view)
    }
}
