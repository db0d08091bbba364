//! Operators and the platform: what they change, and what they were told.

use crate::prelude::*;

impl World {
    pub fn take_outcome(&mut self, ticket: u64, outcome: QueryOutcome) {
        if self.hear_demand(ticket, &outcome) {
            return;
        }
        let Some(asked) = self.asked.remove(&ticket) else { return };
        if let Some(Meaning::Stands { keeper, engine }) = &asked.means {
            self.keepers[*keeper].submitted.remove(engine);
        }
        let QueryOutcome::Settled(CommandOutcome::Applied(edition)) = outcome else { return };
        let at = self.millis();
        self.acked.insert(asked.request, edition);
        self.see_committed(edition, asked.request, "an answer");
        self.note(format!("acked {edition} request {}", asked.request));
        let Some(meaning) = asked.means else { return };
        self.record.events.push(EventLine::Acked { at, edition: edition.0 });
        self.hold_to_ack(edition);
        match meaning {
            Meaning::KeyWithdrawn(key) => self.record.events.push(EventLine::KeyWithdrawn { at, key }),
            Meaning::KeyAdded { key, tenant, number } => self.live_keys.push((key, tenant, number)),
            Meaning::Weights(weights) => self.record.events.push(EventLine::WeightsAcked { at, weights }),
            Meaning::Walled(tenant) => {
                let (open_count, last_edition) = self.unwallings.get(&tenant).copied().unwrap_or_default();
                if open_count == 0 && last_edition < edition {
                    self.record.events.push(EventLine::Walled { at, tenant });
                }
            }
            Meaning::Unwalled(tenant) => {
                let (open_count, last_edition) = self.unwallings.entry(tenant).or_default();
                *open_count -= 1;
                *last_edition = edition.max(*last_edition);
            }
            Meaning::Intended => {
                let keeper = self.draw.below(KEEPERS as u64) as usize;
                let request = RequestId(self.draw.next_u64());
                let command = Command::Confirm { plan: edition };
                self.ask(keeper, Submission { request, command }, Some(Meaning::Plain));
            }
            Meaning::Raced(race) => {
                let taken_count = self.raced.entry(race).or_default();
                *taken_count += 1;
                if *taken_count > 1 {
                    self.extra.push(format!("rule 8: two operators' changes on one base were both taken, at {at}"));
                }
            }
            Meaning::Plain | Meaning::Stands { .. } => {}
        }
        if std::mem::take(&mut self.power_fails) {
            self.note("power fails in the whole core".into());
            (0..KEEPERS).for_each(|keeper| self.kill_keeper(keeper));
            self.later(Span::millis(600), SimEvent::Revives);
        }
    }

    /// What is acknowledged is in force now on every router that may start, frozen ones included.
    fn hold_to_ack(&mut self, edition: Edition) {
        for (number, node) in self.nodes.iter().enumerate() {
            let Some(router) = &node.router else { continue };
            let is_behind = router.sight.state.edition < edition;
            if is_behind && is_leased(router.lease_until, node.clock.read(self.now)) {
                let seen = router.sight.state.edition;
                self.extra.push(format!("rule 8: edition {edition} was acknowledged while n{number} served {seen}"));
            }
        }
    }

    /// What is down starts again: keepers on what their disks had synced, engines empty.
    pub fn revive(&mut self) {
        (0..ENGINES).for_each(|engine| self.start_engine(engine));
        (0..KEEPERS).for_each(|keeper| self.start_keeper(keeper));
    }

    /// An operator changes something through a keeper drawn by lot.
    pub fn operate(&mut self) {
        let keeper = self.draw.below(KEEPERS as u64) as usize;
        let (patch, means) = match self.draw.below(14) {
            0..=2 => {
                self.next_key += 1;
                let tenant = format!("t{}", self.draw.below(TENANTS as u64));
                let key = format!("{:064x}", self.next_key);
                self.keys.push((key.clone(), tenant.clone()));
                let patch = format!(r#"{{"tenants":{{"{tenant}":{{"keys":{{"k{}":"{key}"}}}}}}}}"#, self.next_key);
                (patch, Meaning::KeyAdded { key, tenant, number: self.next_key })
            }
            3..=5 if !self.live_keys.is_empty() => {
                let place = self.draw.below(self.live_keys.len() as u64) as usize;
                return self.withdraw(keeper, place);
            }
            6 => return self.name_weights(keeper),
            7 => return self.intend(keeper),
            8 => return self.race(),
            9 | 10 => {
                let tenant = format!("t{}", self.draw.below(TENANTS as u64));
                let walled = self.draw.chance(60);
                return self.wall(keeper, tenant, walled);
            }
            _ => {
                let patch = format!(r#"{{"kinds":["k","x{}"]}}"#, self.draw.below(1000));
                (patch, Meaning::Plain)
            }
        };
        self.change(keeper, patch, means);
    }

    pub fn wall(&mut self, keeper: usize, tenant: String, walled: bool) {
        let at = self.millis();
        if !walled {
            self.record.events.push(EventLine::Unwalled { at, tenant: tenant.clone() });
            self.unwallings.entry(tenant.clone()).or_default().0 += 1;
        }
        let patch = format!(r#"{{"tenants":{{"{tenant}":{{"walled":{walled}}}}}}}"#);
        let means = if walled { Meaning::Walled(tenant) } else { Meaning::Unwalled(tenant) };
        self.change(keeper, patch, means);
    }

    pub fn withdraw(&mut self, keeper: usize, place: usize) {
        let (key, tenant, number) = self.live_keys.remove(place);
        let patch = format!(r#"{{"tenants":{{"{tenant}":{{"keys":{{"k{number}":null}}}}}}}}"#);
        self.change(keeper, patch, Meaning::KeyWithdrawn(key));
    }

    pub fn name_weights(&mut self, keeper: usize) {
        self.wanted_weights += 1;
        let patch = format!(r#"{{"models":{{"model":{{"weights":{}}}}}}}"#, self.wanted_weights);
        self.change(keeper, patch, Meaning::Weights(self.wanted_weights));
    }

    pub fn change(&mut self, keeper: usize, patch: String, means: Meaning) {
        self.note(format!("operator via k{keeper}: {patch}"));
        let request = RequestId(self.draw.next_u64());
        self.ask(keeper, Submission { request, command: Command::Merge { base: None, patch } }, Some(means));
    }

    /// Two operators change the same edition at once, through two keepers: one of them at most is taken.
    fn race(&mut self) {
        let newest = self.keepers.iter().filter_map(|keeper| keeper.coordinator.as_ref()).map(Coordinator::state);
        let Some(base) = newest.map(|state| state.desired_edition).max() else { return };
        let race = self.draw.next_u64();
        for operator in 0..2 {
            let keeper = self.draw.below(KEEPERS as u64) as usize;
            let request = RequestId(self.draw.next_u64());
            let patch = format!(r#"{{"kinds":["k","race{operator}"]}}"#);
            let command = Command::Merge { base: Some(base), patch };
            self.ask(keeper, Submission { request, command }, Some(Meaning::Raced(race)));
        }
    }

    /// An operator states an intent; the conductor carries the plan out.
    fn intend(&mut self, keeper: usize) {
        let engine = EngineName(format!("e{}", self.draw.below(ENGINES as u64)));
        let intent = match self.draw.below(4) {
            0 => Intent::Drain { engine },
            1 | 2 => Intent::Undrain { engine },
            _ => {
                self.wanted_weights += 1;
                Intent::MoveWeights { model: MODEL.into(), weights: WeightsEdition(self.wanted_weights) }
            }
        };
        self.note(format!("operator via k{keeper} intends {intent:?}"));
        let request = RequestId(self.draw.next_u64());
        self.ask(keeper, Submission { request, command: Command::Intend(intent) }, Some(Meaning::Intended));
    }

    pub fn change_listing(&mut self) {
        let number = self.draw.below(ENGINES as u64) as usize;
        if self.engines[number].listed == Some(Listed::Open) {
            return self.list_away(number);
        }
        self.listing_number += 1;
        let (at, engine) = (self.millis(), self.engines[number].name.0.clone());
        self.note(format!("platform: listing {} {engine} open", self.listing_number));
        self.engines[number].listed = Some(Listed::Open);
        self.record.events.push(EventLine::ListedOpen { at, engine });
    }

    /// Lists an engine as leaving or gone, unless many are already or it is.
    pub fn list_away(&mut self, number: usize) {
        let away_count = self.engines.iter().filter(|engine| engine.listed != Some(Listed::Open)).count();
        if self.engines[number].listed != Some(Listed::Open) || away_count >= 6 {
            return;
        }
        self.listing_number += 1;
        let (at, engine) = (self.millis(), self.engines[number].name.0.clone());
        self.note(format!("platform: listing {} {engine} away", self.listing_number));
        self.engines[number].listed = if self.draw.chance(50) { Some(Listed::Leaving) } else { None };
        self.record.events.push(EventLine::ListedAway { at, engine });
    }
}
