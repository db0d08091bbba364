//! Overlapping outages of the core alone: keepers are killed, freeze and come back in a drawn order while changes are
//! submitted and messages lag, and one keeper loses its disk. Most faults come at a moment at which the core is
//! weakest: a view has just been adopted, a vote is open, or the records of the head are on their way.

use crate::prelude::*;

/// The chances in percent, one drawn for each series, of a change in each step.
const CHANGES_PERCENTS: [u64; 3] = [10, 50, 100];
/// The chances in percent, one drawn for each run, that a message is delivered in a step.
const DELIVERY_PERCENTS: [u64; 3] = [100, 60, 25];
/// The time in which the core must be active again after all keepers are back, and repair itself.
const REPAIR_SPAN: Span = Span::seconds(12);
/// The longest run between two outages; a view change takes half of that.
const LONGEST_RUN: Span = Span::millis(2500);

/// When a run between two outages ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// After the drawn time.
    Elapsed,
    /// A new view has been adopted.
    ViewAdopted,
    /// A keeper has promised its vote for the next view.
    VoteOpen,
}

const RUN_ENDS: [RunEnd; 3] = [RunEnd::Elapsed, RunEnd::ViewAdopted, RunEnd::VoteOpen];

/// When a keeper loses its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossMoment {
    /// After it was frozen for a while.
    Frozen,
    /// As soon as a view has been adopted, before the members of its chain are synced.
    ViewAdopted,
    AtOnce,
}

const LOSS_MOMENTS: [LossMoment; 3] = [LossMoment::Frozen, LossMoment::ViewAdopted, LossMoment::AtOnce];

impl CoreSimulation {
    /// Plays outages that overlap, the last of which costs a disk if an earlier lost one has been made up for, and
    /// ends them all. The core must then become active again, and makes up for the lost disk.
    pub(crate) fn overlapping_outages(&mut self) {
        let tolerates_loss = self.is_fully_replicated();
        let changes_percent = self.one_of(&CHANGES_PERCENTS);
        match self.rng.chance(50) {
            true => self.shorten_chain(changes_percent),
            false => self.random_outages(changes_percent),
        }
        let victim = match self.one_of(&LOSS_MOMENTS) {
            LossMoment::Frozen => {
                let victim = self.any_or(View::head);
                self.freeze(victim);
                self.run_lagging(0);
                victim
            }
            LossMoment::ViewAdopted => {
                let delivery_percent = self.one_of(&DELIVERY_PERCENTS);
                self.run_until(RunEnd::ViewAdopted, LONGEST_RUN, changes_percent, delivery_percent);
                self.any_or(View::head)
            }
            LossMoment::AtOnce => self.any_or(View::head),
        };
        if tolerates_loss {
            self.replace_by_empty(victim);
        }
        self.run_lagging(0);
        self.bring_all_back();
        self.check_recovery(changes_percent);
    }

    fn check_recovery(&mut self, changes_percent: u64) {
        let mut was_active = false;
        for _ in 0..REPAIR_SPAN.as_millis() / STEP_SPAN.as_millis() {
            self.run_step(changes_percent, 100);
            was_active |= !self.active_tails().is_empty();
        }
        self.note(|| format!("end of a series, active={was_active}"));
        if !was_active {
            let reason = "rule 12: no active tail after overlapping outages";
            self.violations.push(reason.into());
        }
    }

    fn random_outages(&mut self, changes_percent: u64) {
        for _ in 0..self.rng.between(3, 8) {
            self.outage();
            self.run_lagging(changes_percent);
        }
    }

    /// Keepers are killed one after the other, each as soon as the chain is without the one before, until two are
    /// left. Those killed come back, and one of the two is killed before they have joined the chain again: they copy
    /// what the other holds.
    fn shorten_chain(&mut self, changes_percent: u64) {
        let mut killed = Vec::new();
        while self.newest_view().is_some_and(|view| view.chain.len() > 2) && killed.len() < KEEPERS {
            let Some(victim) = self.middle_member() else { break };
            self.kill(victim);
            killed.iter().for_each(|number| self.start(*number));
            killed.push(victim);
            self.run_until(RunEnd::ViewAdopted, LONGEST_RUN, changes_percent, 100);
        }
        let remaining = if self.rng.chance(75) { self.any_or(View::tail) } else { self.any_or(View::head) };
        self.kill(remaining);
        self.run_lagging(changes_percent);
        killed.iter().for_each(|number| self.start(*number));
        self.run_lagging(changes_percent);
    }

    /// A running member of the newest view between its head and its tail.
    fn middle_member(&mut self) -> Option<usize> {
        let chain = self.newest_view()?.chain.clone();
        let middle = chain.get(1..chain.len().saturating_sub(1))?;
        let is_middle = |number: &usize| middle.contains(&self.keepers[*number].id) && !self.is_away(*number);
        let running: Vec<usize> = (0..KEEPERS).filter(is_middle).collect();
        if running.is_empty() { None } else { Some(self.one_of(&running)) }
    }

    /// Kills or freezes a keeper, or brings one back. At most two of four are away at a time.
    fn outage(&mut self) {
        let away: Vec<usize> = (0..KEEPERS).filter(|number| self.is_away(*number)).collect();
        let comes_back = away.len() > 1 || (away.len() == 1 && self.rng.chance(40));
        if comes_back {
            let number = away[self.rng.below(away.len() as u64) as usize];
            self.keepers[number].is_frozen = false;
            return self.start(number);
        }
        let victim = if self.rng.chance(50) { self.any_or(View::tail) } else { self.any_or(View::head) };
        match self.rng.chance(70) {
            true => self.kill(victim),
            false => self.freeze(victim),
        }
    }

    fn freeze(&mut self, number: usize) {
        self.note(|| format!("k{number} freezes"));
        self.keepers[number].is_frozen = true;
    }

    fn is_away(&self, number: usize) -> bool {
        let keeper = &self.keepers[number];
        keeper.coordinator.is_none() || keeper.is_frozen
    }

    /// Runs until a drawn moment, at most for a drawn time, while messages between keepers lag.
    fn run_lagging(&mut self, changes_percent: u64) {
        let delivery_percent = self.one_of(&DELIVERY_PERCENTS);
        let end = self.one_of(&RUN_ENDS);
        let span = Span::millis(self.rng.between(STEP_SPAN.as_millis(), LONGEST_RUN.as_millis()));
        self.run_until(end, span, changes_percent, delivery_percent);
    }

    /// Runs until a moment, at most for a time.
    fn run_until(&mut self, end: RunEnd, span: Span, changes_percent: u64, delivery_percent: u64) {
        let view_before = self.newest_number();
        for _ in 0..span.as_millis() / STEP_SPAN.as_millis() {
            self.run_step(changes_percent, delivery_percent);
            let has_ended = match end {
                RunEnd::Elapsed => false,
                RunEnd::ViewAdopted => self.newest_number() > view_before,
                RunEnd::VoteOpen => self.is_vote_open(),
            };
            if has_ended {
                return;
            }
        }
    }

    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.rng.below(choices.len() as u64) as usize]
    }

    fn newest_number(&self) -> Option<ViewNumber> {
        self.newest_view().map(|view| view.number)
    }

    /// Whether a keeper has promised its vote for the view after the newest one.
    fn is_vote_open(&self) -> bool {
        let newest = self.newest_number();
        self.keepers
            .iter()
            .any(|keeper| keeper.disk.vote.is_sealed() && keeper.disk.view.as_ref().map(|view| view.number) == newest)
    }

    /// The keeper in a place of the newest view in two of three cases, else any.
    fn any_or(&mut self, place: impl Fn(&View) -> Option<NodeId>) -> usize {
        let wanted = self.newest_view().and_then(place);
        let found = self.keepers.iter().position(|keeper| Some(keeper.id) == wanted);
        let takes_it = self.rng.chance(67);
        let drawn = self.rng.below(KEEPERS as u64) as usize;
        found.filter(|_| takes_it).unwrap_or(drawn)
    }
}
