//! The chain part: numbering at the head, passing on, being brought level.

use crate::prelude::*;

const UNCOMMITTED_LIMIT: u64 = 256;
/// The ages of so many records are told to a member that is brought level.
const TOLD_AGES: usize = 64;

impl Coordinator {
    pub(crate) fn hear_submit(&mut self, submission: Submission) {
        let may_take = self.view.head() == Some(self.me.id)
            && self.is_aligned()
            && !self.sealed()
            && self.view.accepts_writes()
            && self.log.last().edition.0 < self.committed.0 + UNCOMMITTED_LIMIT;
        if !may_take || self.log.state().settled_before(submission.request).is_some() {
            return;
        }
        let previous = self.log.last();
        let record = self.log.append_submission(self.view.number, submission);
        self.store(Stored::Record(record.clone()));
        self.pass_on(previous, vec![record]);
    }

    fn pass_on(&mut self, previous: LogPosition, records: Vec<Record>) {
        let Some(successor) = self.view.successor(self.me.id) else { return };
        let append = ChainMessage::Append { view: self.view.number, previous, records };
        self.send(successor, CoreMessage::Chain(append));
    }

    pub(crate) fn hear_chain(&mut self, from: NodeId, message: ChainMessage, now: Instant) {
        match message {
            ChainMessage::Append { view, previous, records } => self.hear_append(from, view, previous, records, now),
            ChainMessage::Have { view, last, nonce } => {
                let is_outside = !self.view.in_chain(from);
                let may_level = self.is_aligned() || (is_outside && self.holds_all_committed(self.me.id));
                if view == self.view.number && may_level {
                    let answer = self.log.catch_up_reply(view, last, nonce, self.ages(now));
                    self.send(from, CoreMessage::Chain(answer));
                }
            }
            ChainMessage::Level { view, nonce, previous, records, ages } => {
                if self.may_be_levelled(from, view, nonce) && previous == self.log.last() {
                    let was_aligned = self.is_aligned();
                    self.take_records(previous, records);
                    if !was_aligned {
                        self.take_ages(&ages, nonce);
                    }
                    self.align();
                }
            }
            ChainMessage::Snapshot { view, nonce, mark, state, ages } => {
                // What a sealed keeper has told of its log must stay in it.
                let is_shorter = mark.edition < self.log.last().edition;
                if self.may_be_levelled(from, view, nonce) && !(self.sealed() && is_shorter) {
                    self.log = Log::restore(mark, (*state).clone(), Vec::new());
                    self.store(Stored::Snapshot { mark, state });
                    self.take_ages(&ages, nonce);
                    self.align();
                }
            }
        }
    }

    fn hear_append(
        &mut self,
        from: NodeId,
        view: ViewNumber,
        previous: LogPosition,
        records: Vec<Record>,
        now: Instant,
    ) {
        let from_before = self.view.predecessor(self.me.id) == Some(from);
        if view != self.view.number || !from_before || !self.is_aligned() || self.sealed() {
            return;
        }
        let last = self.log.last();
        if previous.edition > last.edition {
            self.ask_level_of(from, now);
            return;
        }
        let new_records: Vec<Record> =
            records.into_iter().filter(|record| record.mark.edition > last.edition).collect();
        self.take_records(last, new_records);
    }

    fn take_records(&mut self, previous: LogPosition, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        for record in &records {
            self.log.append(record.clone());
            self.store(Stored::Record(record.clone()));
        }
        if self.is_aligned() {
            self.pass_on(previous, records);
        }
    }

    /// A chain member is levelled by the one before it alone, and not once sealed; a keeper outside
    /// the chain by any aligned member, also while it is sealed: nothing is committed through it.
    fn may_be_levelled(&self, from: NodeId, view: ViewNumber, nonce: u64) -> bool {
        if view != self.view.number || nonce != self.nonce {
            return false;
        }
        let is_next = self.view.predecessor(self.me.id) == Some(from) && !self.sealed();
        !self.view.in_chain(self.me.id) || is_next
    }

    /// How long ago what is dated here was committed at the most.
    fn ages(&self, now: Instant) -> CommitAges {
        let records = self.committed_at.iter().rev().take(TOLD_AGES);
        let gave_way = self.gave_way.iter();
        CommitAges {
            records: records.map(|(edition, since)| (*edition, now.since(*since))).collect(),
            gave_way: gave_way
                .map(|((model, weights), since)| (model.clone(), *weights, now.since(*since)))
                .collect(),
        }
    }

    /// Dates what the levelling member has dated. It said so after it was asked, so nothing is dated later
    /// than it was committed: the head numbered each record before anybody could commit it, or was in every
    /// chain since, and each member has its dates from the one before it.
    fn take_ages(&mut self, ages: &CommitAges, nonce: u64) {
        self.forget_dates();
        let Some(asked) = self.asked_level.filter(|(asked_nonce, _)| *asked_nonce == nonce) else { return };
        let when = |age: Span| Instant(asked.1.0.saturating_sub(age.0));
        let last = self.log.last().edition;
        let records = ages.records.iter().filter(|(edition, _)| *edition <= last);
        self.committed_at = records.map(|(edition, age)| (*edition, when(*age))).collect();
        let gave_way = ages.gave_way.iter();
        self.gave_way = gave_way.map(|(model, weights, age)| ((model.clone(), *weights), when(*age))).collect();
    }

    /// What was committed before we stood aligned may be older than our seeing it: its age is not
    /// known. An aligned member's own append comes before the commit, so its dates are right.
    pub(crate) fn forget_dates(&mut self) {
        self.restored_at = self.log.last().edition;
        self.committed_at.clear();
        let models = &self.log.state().desired.models;
        self.wanted_weights = models.iter().map(|(model, wish)| (model.clone(), wish.weights)).collect();
        self.gave_way.clear();
    }

    fn align(&mut self) {
        self.nonce = self.nonce.wrapping_add(1);
        if !self.view.in_chain(self.me.id) || self.aligned == self.view.number {
            return;
        }
        self.aligned = self.view.number;
        self.whole = self.view.number;
        self.store(Stored::Aligned(self.aligned));
        self.store(Stored::Whole(self.whole));
        self.note("aligned", format!("view={} edition={}", self.aligned, self.log.last().edition));
        if let Some(successor) = self.view.successor(self.me.id) {
            let news = CoreMessage::Pulse(self.news(self.last_pulse));
            self.send(successor, news);
        }
    }

    fn ask_level_of(&mut self, other: NodeId, now: Instant) {
        let is_first_asking = self.asked_level.is_none_or(|(nonce, _)| nonce != self.nonce);
        if is_first_asking {
            self.asked_level = Some((self.nonce, now));
        }
        let have = ChainMessage::Have { view: self.view.number, last: self.log.last(), nonce: self.nonce };
        self.send(other, CoreMessage::Chain(have));
    }

    pub(crate) fn ask_to_be_levelled(&mut self, now: Instant) {
        if !self.has_view() || self.is_aligned() {
            return;
        }
        let asked_member = match self.view.in_chain(self.me.id) {
            true => self.view.predecessor(self.me.id),
            false => self.levelling_member(now),
        };
        if let Some(asked_member) = asked_member {
            self.ask_level_of(asked_member, now);
        }
    }

    /// Who levels a keeper outside the chain: the tail, or whoever else is there and level. Where the members
    /// before it are lost, one that is not aligned in this view but holds all that was committed does it, too.
    fn levelling_member(&self, now: Instant) -> Option<NodeId> {
        let is_level = |member: &NodeId| {
            let news = self.peer_news(*member).filter(|_| self.is_alive(*member, now));
            let is_aligned = news.is_some_and(|news| news.view == self.view.number && news.aligned == news.view);
            is_aligned || (news.is_some() && self.holds_all_committed(*member))
        };
        let level_members = self.view.chain.iter().rev().copied().filter(is_level);
        level_members.chain(self.view.tail()).next()
    }

    /// A successor whose log stood still behind ours between two pulses missed something.
    pub(crate) fn resend_to_successor(&mut self, from: NodeId, news: &News, last_news: Option<&News>) {
        let is_successor = self.view.successor(self.me.id) == Some(from);
        let both_aligned = self.is_aligned() && news.aligned == self.view.number && news.view == self.view.number;
        let stood_still = last_news.is_some_and(|earlier| earlier.last == news.last);
        if !is_successor || !both_aligned || !stood_still || news.last.edition >= self.log.last().edition {
            return;
        }
        let Some(records) = self.log.records_after(news.last.edition) else { return };
        let append = ChainMessage::Append { view: self.view.number, previous: news.last, records };
        self.send(from, CoreMessage::Chain(append));
    }
}
