//! Operators and the platform: the changes they make and the outcomes they receive.

use crate::prelude::*;

impl World {
    /// Records the outcome of a change and does what follows from its acknowledgement.
    pub fn handle_outcome(&mut self, ticket: u64, outcome: QueryOutcome) {
        if self.handle_demand_answer(ticket, &outcome) {
            return;
        }
        let Some(pending) = self.pending_changes.remove(&ticket) else { return };
        if let Some(ChangeKind::ConductorStep { keeper, engine }) = &pending.kind {
            self.keepers[*keeper].outstanding.remove(engine);
        }
        let QueryOutcome::Settled(CommandOutcome::Applied(edition)) = outcome else { return };
        let at = self.millis();
        self.acked.insert(pending.request, edition);
        self.check_committed(edition, pending.request, "an answer");
        self.note(format!("acked {edition} request {}", pending.request));
        let Some(kind) = pending.kind else { return };
        self.record.events.push(EventLine::Acked { at, edition: edition.0 });
        self.check_ack(edition);
        match kind {
            ChangeKind::KeyWithdrawn(key) => self.record.events.push(EventLine::KeyWithdrawn { at, key }),
            ChangeKind::KeyAdded { key, tenant, number } => self.live_keys.push((key, tenant, number)),
            ChangeKind::Weights(weights) => self.record.events.push(EventLine::WeightsAcked { at, weights }),
            ChangeKind::Walled(tenant) => {
                let (open_count, last_edition) = self.pending_unwalls.get(&tenant).copied().unwrap_or_default();
                if open_count == 0 && last_edition < edition {
                    self.record.events.push(EventLine::Walled { at, tenant });
                }
            }
            ChangeKind::Unwalled(tenant) => {
                let (open_count, last_edition) = self.pending_unwalls.entry(tenant).or_default();
                *open_count -= 1;
                *last_edition = edition.max(*last_edition);
            }
            ChangeKind::IntentStated => {
                let keeper = self.rng.below(KEEPERS as u64) as usize;
                let request = RequestId(self.rng.next_u64());
                let command = Command::Confirm { plan: edition };
                self.submit(keeper, Submission { request, command }, Some(ChangeKind::Other));
            }
            ChangeKind::Race(race) => {
                let taken_count = self.races_taken.entry(race).or_default();
                *taken_count += 1;
                if *taken_count > 1 {
                    self.extra_violations
                        .push(format!("rule 8: two operators' changes on the same base were both applied, at {at}"));
                }
            }
            ChangeKind::Other | ChangeKind::ConductorStep { .. } => {}
        }
        if std::mem::take(&mut self.power_loss_pending) {
            self.note("power fails in the whole core".into());
            (0..KEEPERS).for_each(|keeper| self.kill_keeper(keeper));
            self.schedule_after(Span::millis(600), SimEvent::RestartAll);
        }
    }

    /// Checks that an acknowledged change is applied on every router that holds a lease, even if it is frozen.
    fn check_ack(&mut self, edition: Edition) {
        for (number, node) in self.nodes.iter().enumerate() {
            let Some(router) = &node.router else { continue };
            let is_behind = router.snapshot.state.edition < edition;
            if is_behind && is_leased(router.lease_until, node.clock.read(self.now)) {
                let seen = router.snapshot.state.edition;
                self.extra_violations
                    .push(format!("rule 8: edition {edition} was acknowledged while n{number} served {seen}"));
            }
        }
    }

    /// Restarts what is down: keepers from what their disks had synced, engines empty.
    pub fn restart_all(&mut self) {
        (0..ENGINES).for_each(|engine| self.start_engine(engine));
        (0..KEEPERS).for_each(|keeper| self.start_keeper(keeper));
    }

    /// An operator makes a random change through a random keeper.
    pub fn operator_change(&mut self) {
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        let (patch, kind) = match self.rng.below(14) {
            0..=2 => {
                self.next_key += 1;
                let tenant = format!("t{}", self.rng.below(TENANTS as u64));
                let key = format!("{:064x}", self.next_key);
                self.keys.push((key.clone(), tenant.clone()));
                let patch = format!(r#"{{"tenants":{{"{tenant}":{{"keys":{{"k{}":"{key}"}}}}}}}}"#, self.next_key);
                (patch, ChangeKind::KeyAdded { key, tenant, number: self.next_key })
            }
            3..=5 if !self.live_keys.is_empty() => {
                let index = self.rng.below(self.live_keys.len() as u64) as usize;
                return self.withdraw_key(keeper, index);
            }
            6 => return self.change_weights(keeper),
            7 => return self.state_intent(keeper),
            8 => return self.race_changes(),
            9 | 10 => {
                let tenant = format!("t{}", self.rng.below(TENANTS as u64));
                let walled = self.rng.chance(60);
                return self.set_walled(keeper, tenant, walled);
            }
            _ => {
                let patch = format!(r#"{{"kinds":["k","x{}"]}}"#, self.rng.below(1000));
                (patch, ChangeKind::Other)
            }
        };
        self.submit_patch(keeper, patch, kind);
    }

    pub fn set_walled(&mut self, keeper: usize, tenant: String, walled: bool) {
        if !walled {
            self.note_open_unwall(&tenant);
        }
        let patch = format!(r#"{{"tenants":{{"{tenant}":{{"walled":{walled}}}}}}}"#);
        let kind = if walled { ChangeKind::Walled(tenant) } else { ChangeKind::Unwalled(tenant) };
        self.submit_patch(keeper, patch, kind);
    }

    /// An operator removes a random tenant, who returns later, with a wall or without.
    pub fn remove_tenant(&mut self) {
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        let number = self.rng.below(TENANTS as u64) as usize;
        let tenant = self.keys[number].1.clone();
        self.live_keys.retain(|(_, owner, _)| *owner != tenant);
        self.note_open_unwall(&tenant);
        let patch = format!(r#"{{"tenants":{{"{tenant}":null}}}}"#);
        self.submit_patch(keeper, patch, ChangeKind::Unwalled(tenant));
        let absence = Span::millis(self.rng.between(100, 4_000));
        let walled = self.rng.chance(70);
        self.schedule_after(absence, SimEvent::TenantReturns { number, walled });
    }

    /// The tenant returns with its first key.
    pub fn return_tenant(&mut self, number: usize, walled: bool) {
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        let (key, tenant) = self.keys[number].clone();
        if !walled {
            self.note_open_unwall(&tenant);
        }
        let spec = format!(r#"{{"walled":{walled},"share":400,"keys":{{"main":"{key}"}}}}"#);
        let patch = format!(r#"{{"tenants":{{"{tenant}":{spec}}}}}"#);
        let kind = if walled { ChangeKind::Walled(tenant) } else { ChangeKind::Unwalled(tenant) };
        self.submit_patch(keeper, patch, kind);
    }

    /// Records that the tenant's wall may be removed from now on.
    fn note_open_unwall(&mut self, tenant: &str) {
        let at = self.millis();
        self.record.events.push(EventLine::Unwalled { at, tenant: tenant.to_owned() });
        self.pending_unwalls.entry(tenant.to_owned()).or_default().0 += 1;
    }

    pub fn withdraw_key(&mut self, keeper: usize, index: usize) {
        let (key, tenant, number) = self.live_keys.remove(index);
        let patch = format!(r#"{{"tenants":{{"{tenant}":{{"keys":{{"k{number}":null}}}}}}}}"#);
        self.submit_patch(keeper, patch, ChangeKind::KeyWithdrawn(key));
    }

    pub fn change_weights(&mut self, keeper: usize) {
        self.wanted_weights += 1;
        let patch = format!(r#"{{"models":{{"model":{{"weights":{}}}}}}}"#, self.wanted_weights);
        self.submit_patch(keeper, patch, ChangeKind::Weights(self.wanted_weights));
    }

    pub fn submit_patch(&mut self, keeper: usize, patch: String, kind: ChangeKind) {
        self.note(format!("operator via k{keeper}: {patch}"));
        let request = RequestId(self.rng.next_u64());
        self.submit(keeper, Submission { request, command: Command::Merge { base: None, patch } }, Some(kind));
    }

    /// Two operators change the same edition at once through two keepers; at most one change may be applied.
    fn race_changes(&mut self) {
        let newest = self.keepers.iter().filter_map(|keeper| keeper.coordinator.as_ref()).map(Coordinator::state);
        let Some(base) = newest.map(|state| state.desired_edition).max() else { return };
        let race = self.rng.next_u64();
        for operator in 0..2 {
            let keeper = self.rng.below(KEEPERS as u64) as usize;
            let request = RequestId(self.rng.next_u64());
            let patch = format!(r#"{{"kinds":["k","race{operator}"]}}"#);
            let command = Command::Merge { base: Some(base), patch };
            self.submit(keeper, Submission { request, command }, Some(ChangeKind::Race(race)));
        }
    }

    /// An operator states an intent; the conductor carries out its plan.
    fn state_intent(&mut self, keeper: usize) {
        let engine = EngineName(format!("e{}", self.rng.below(ENGINES as u64)));
        let intent = match self.rng.below(4) {
            0 => Intent::Drain { engine },
            1 | 2 => Intent::Undrain { engine },
            _ => {
                self.wanted_weights += 1;
                Intent::MoveWeights { model: MODEL.into(), weights: WeightsEdition(self.wanted_weights) }
            }
        };
        self.note(format!("operator via k{keeper} intends {intent:?}"));
        let request = RequestId(self.rng.next_u64());
        self.submit(keeper, Submission { request, command: Command::Intend(intent) }, Some(ChangeKind::IntentStated));
    }

    /// The platform lists a random engine away, or open again if it was.
    pub fn change_random_listing(&mut self) {
        let number = self.rng.below(ENGINES as u64) as usize;
        if self.engines[number].listed == Some(Listed::Open) {
            return self.unlist(number);
        }
        self.listing_number += 1;
        let (at, engine) = (self.millis(), self.engines[number].name.0.clone());
        self.note(format!("platform: listing {} {engine} open", self.listing_number));
        self.engines[number].listed = Some(Listed::Open);
        self.record.events.push(EventLine::ListedOpen { at, engine });
    }

    /// Lists an engine as leaving or gone, unless it already is or too many are.
    pub fn unlist(&mut self, number: usize) {
        let away_count = self.engines.iter().filter(|engine| engine.listed != Some(Listed::Open)).count();
        if self.engines[number].listed != Some(Listed::Open) || away_count >= 6 {
            return;
        }
        self.listing_number += 1;
        let (at, engine) = (self.millis(), self.engines[number].name.0.clone());
        self.note(format!("platform: listing {} {engine} away", self.listing_number));
        self.engines[number].listed = if self.rng.chance(50) { Some(Listed::Leaving) } else { None };
        self.record.events.push(EventLine::ListedAway { at, engine });
    }
}
