//! Engines that leave while they hold an adapter: listed as leaving by the platform, every holder at once, or
//! drained by an operator.

use crate::prelude::*;

/// How long leaving engines stay listed as leaving, and drained ones drained.
const AWAY_SPAN: Span = Span::seconds(12);

impl World {
    /// The engines in use that hold an adapter.
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
            self.later(AWAY_SPAN, SimEvent::Returns(Returning::Listing(number)));
        }
    }

    /// An operator drains every engine that holds an adapter.
    pub(crate) fn drain_holders(&mut self, adapter: &str) {
        for number in self.holders_of(adapter) {
            let engine = self.engines[number].name.clone();
            self.intend_plan(Intent::Drain { engine });
            self.later(AWAY_SPAN, SimEvent::Returns(Returning::Drained(number)));
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
        self.intend_plan(Intent::Undrain { engine });
    }

    /// An operator states an intent at some keeper, and confirms the plan.
    fn intend_plan(&mut self, intent: Intent) {
        let keeper = self.draw.below(KEEPERS as u64) as usize;
        self.note(format!("operator via k{keeper} intends {intent:?}"));
        let request = RequestId(self.draw.next_u64());
        self.ask(keeper, Submission { request, command: Command::Intend(intent) }, Some(Meaning::Intended));
    }
}
