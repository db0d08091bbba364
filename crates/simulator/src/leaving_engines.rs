//! Engines that leave while they hold an adapter: all holders are listed as leaving by the platform at once, or are
//! drained by an operator.

use crate::prelude::*;

/// How long engines stay listed as leaving or drained.
const AWAY_SPAN: Span = Span::seconds(12);

impl World {
    /// The running, open engines that hold this adapter.
    fn holders_of(&self, adapter: &str) -> Vec<usize> {
        let holds = |engine: &SimEngine| {
            let is_held = engine.resident.iter().any(|held| held.name.as_str() == adapter);
            engine.up && engine.listed == Some(Listed::Open) && is_held
        };
        (0..ENGINES).filter(|number| holds(&self.engines[*number])).collect()
    }

    /// The platform lists every engine that holds an adapter as leaving.
    pub(crate) fn list_holders_leaving(&mut self, adapter: &str) {
        for number in self.holders_of(adapter) {
            self.listing_number += 1;
            let (at, engine) = (self.millis(), self.engines[number].name.0.clone());
            self.note(format!("platform: listing {} {engine} leaving", self.listing_number));
            self.engines[number].listed = Some(Listed::Leaving);
            self.record.events.push(EventLine::ListedAway { at, engine });
            self.schedule_after(AWAY_SPAN, SimEvent::Restore(RestoreTarget::Listing(number)));
        }
    }

    /// An operator drains every engine that holds an adapter.
    pub(crate) fn drain_holders(&mut self, adapter: &str) {
        for number in self.holders_of(adapter) {
            let engine = self.engines[number].name.clone();
            self.state_intent_and_confirm(Intent::Drain { engine });
            self.schedule_after(AWAY_SPAN, SimEvent::Restore(RestoreTarget::Drained(number)));
        }
    }

    /// The platform lists an engine as open again.
    pub(crate) fn list_open(&mut self, number: usize) {
        self.listing_number += 1;
        let (at, engine) = (self.millis(), self.engines[number].name.0.clone());
        self.note(format!("platform: listing {} {engine} open", self.listing_number));
        self.engines[number].listed = Some(Listed::Open);
        self.record.events.push(EventLine::ListedOpen { at, engine });
    }

    /// An operator ends the drain of an engine.
    pub(crate) fn undrain(&mut self, number: usize) {
        let engine = self.engines[number].name.clone();
        self.state_intent_and_confirm(Intent::Undrain { engine });
    }

    /// An operator states an intent at a random keeper; its plan is confirmed once the intent is acknowledged.
    fn state_intent_and_confirm(&mut self, intent: Intent) {
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        self.note(format!("operator via k{keeper} intends {intent:?}"));
        let request = RequestId(self.rng.next_u64());
        self.submit(keeper, Submission { request, command: Command::Intend(intent) }, Some(ChangeKind::IntentStated));
    }
}
