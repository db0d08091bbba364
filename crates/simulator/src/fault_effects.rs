//! What each fault does to the world, and how faults end.

use crate::prelude::*;

impl World {
    pub fn inject_fault(&mut self, fault: Fault) {
        self.note(format!("fault {fault:?}"));
        let what = format!("{fault:?}");
        let at = self.millis();
        self.record.events.push(EventLine::Fault { at, what });
        self.fault_kinds.push(fault.kind());
        // Most faults are undone after a while, so that later faults hit a working fleet.
        let span = Span::millis(self.rng.between(500, 6_000));
        match self.rng.below(10) {
            0..=3 => self.schedule_after(span, SimEvent::RestartAll),
            4..=6 => self.schedule_after(span, SimEvent::HealNetwork),
            _ => {}
        }
        let all_keepers: Vec<usize> = (0..KEEPERS).collect();
        let all_nodes: Vec<usize> = (0..NODES).map(|node| NODE_BASE + node).collect();
        let now = self.now;
        match fault {
            Fault::KillKeeper(keeper) => self.kill_keeper(keeper),
            Fault::StopKeeper(keeper) => {
                let incarnation = self.keepers[keeper].incarnation;
                self.step_keeper(keeper, Some(incarnation), Input::Retire);
                let until = self.now + LEAVE_TIMEOUT;
                self.schedule_after(DRAIN_PERIOD, SimEvent::StopKeeper { keeper, incarnation, until });
            }
            Fault::KillKeepers(keepers) => keepers.into_iter().for_each(|keeper| self.kill_keeper(keeper)),
            Fault::StartKeepers => all_keepers.into_iter().for_each(|keeper| self.start_keeper(keeper)),
            Fault::ReplaceKeeper { keeper, moves } => {
                if self.tolerates_disk_loss(keeper) {
                    self.replace_keeper(keeper, moves);
                }
            }
            Fault::FreezeKeeper { keeper, span } => {
                let frozen = &mut self.keepers[keeper];
                frozen.frozen_until = frozen.frozen_until.max(now + span);
            }
            Fault::SlowDisk { keeper, span } => self.keepers[keeper].sync_span = span,
            Fault::StallDisk { keeper, span } => {
                let busy_until = self.keepers[keeper].busy_until.max(now);
                self.keepers[keeper].busy_until = busy_until + span;
            }
            Fault::KillNode(node) => {
                self.kill_node(node);
                self.start_node(node);
            }
            Fault::KillRouter(node) => {
                self.kill_router(node);
                self.start_router(node);
            }
            Fault::FreezeNode { node, span } => {
                let frozen = &mut self.nodes[node];
                frozen.frozen_until = frozen.frozen_until.max(now + span);
            }
            Fault::SplitCore(group) => {
                let others: Vec<usize> = all_keepers.into_iter().filter(|keeper| !group.contains(keeper)).collect();
                self.net.cut_between(&group, &others, true);
                if self.rng.chance(50) {
                    self.net.cut_between(&group, &all_nodes, true);
                }
            }
            Fault::IsolateKeeper { keeper, both_ways } => {
                let others: Vec<usize> = all_keepers.into_iter().chain(all_nodes).collect();
                let inward = self.rng.chance(50);
                if inward {
                    self.net.cut_between(&others, &[keeper], both_ways);
                } else {
                    self.net.cut_between(&[keeper], &others, both_ways);
                }
            }
            Fault::IsolateNode { node, both_ways } => {
                if self.rng.chance(50) {
                    self.net.cut_between(&all_keepers, &[NODE_BASE + node], both_ways);
                } else {
                    self.net.cut_between(&[NODE_BASE + node], &all_keepers, both_ways);
                }
            }
            Fault::CutOffCore => self.net.cut_between(&all_keepers, &all_nodes, true),
            Fault::SlowNet => self.net.slow = true,
            Fault::Heal => self.heal_except_held(true),
            Fault::PowerLoss => self.power_loss_pending = true,
            Fault::LoseZone(zone) => self.lose_zone(zone),
            Fault::CrashEngine(engine) => self.crash_engine(engine, false),
            Fault::LoseEngine(engine) => self.crash_engine(engine, true),
            Fault::StartEngines => (0..ENGINES).for_each(|engine| self.start_engine(engine)),
            Fault::Misbehave { engine, manner, span } => self.set_behavior(engine, manner, span),
            Fault::MisbehaveAll { manner, span } => {
                let span = Span(span.0 / 2);
                (0..ENGINES).for_each(|engine| self.set_behavior(engine, manner, span));
            }
            Fault::HideEvents { engine, span } => self.engines[engine].events_hidden_until = now + span,
            Fault::KeepOnLoad(engine) => self.engines[engine].keeps_cache_on_load = true,
            Fault::LoseStore => self.store.restart(),
            Fault::CutPair { keeper, other, both_ways } => self.net.cut_between(&[keeper], &[other], both_ways),
            Fault::KillInCampaign => self.campaign_loss_pending = true,
            Fault::IsolateHolder => self.isolate_holder(2),
            Fault::WithdrawBehind(node) => self.stream_then_withdraw_key(node),
            Fault::FreezeInConnect(node) => self.freeze_on_connect = Some(node),
            Fault::ListAway => (0..6).for_each(|_| self.change_random_listing()),
        }
    }

    /// Cuts the conductor off from the core and the nodes. Up to `repeats` further holders of the duty may be cut off
    /// in turn, as soon as they may act.
    pub fn isolate_holder(&mut self, repeats: u64) {
        if self.faults_over {
            return;
        }
        let states = self.keepers.iter().filter_map(|keeper| keeper.coordinator.as_ref()).map(Coordinator::state);
        let newest = states.max_by_key(|state| state.edition);
        let Some(duty) = newest.and_then(|state| state.duties.get(&DutyKind::Conductor).copied()) else { return };
        let Some(holder) = self.keepers.iter().position(|keeper| keeper.id == duty.holder) else { return };
        let others: Vec<usize> = (0..KEEPERS).filter(|keeper| *keeper != holder).collect();
        let nodes: Vec<usize> = (0..NODES).map(|node| NODE_BASE + node).collect();
        self.net.cut_between(&[holder], &others, true);
        self.net.cut_between(&[holder], &nodes, true);
        if self.rng.chance(60) && repeats > 0 {
            let span = Span::millis(self.rng.between(5_000, 8_000));
            self.schedule_after(Span(span.0 - 1_000_000_000), SimEvent::HealNetwork);
            self.schedule_after(span, SimEvent::IsolateHolder { repeats: repeats - 1 });
        }
        if repeats < 2 {
            return;
        }
        self.change_weights(others[0]);
        // Nodes that are frozen meanwhile learn of the new weights late and must not treat them as new.
        let frozen_count = if self.rng.chance(50) { 3 } else { 0 };
        for _ in 0..frozen_count {
            let node = self.rng.below(NODES as u64) as usize;
            let until = self.now + Span::millis(self.rng.between(11_000, 16_000));
            self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
        }
    }

    /// Starts a long stream under the newest key. Then its node is cut off or frozen for about as long
    /// as the stream takes, or its machine is lost, and the key is withdrawn.
    fn stream_then_withdraw_key(&mut self, node: usize) {
        let Some((key_hash, tenant, _)) = self.live_keys.last().cloned() else { return };
        self.send_long_request(node, TenantName(tenant), key_hash.clone());
        self.schedule_after(Span::millis(400), SimEvent::WithdrawKeyBehind { node, key_hash });
    }

    pub fn withdraw_key_behind(&mut self, node: usize, key_hash: &str) {
        let Some(index) = self.live_keys.iter().position(|(key, _, _)| key == key_hash) else { return };
        let until = self.now + Span::seconds(9);
        match self.rng.below(3) {
            0 => {
                self.held_cuts.push((node, until));
                self.heal_except_held(false);
            }
            1 => self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until),
            _ => {
                self.drop_runs(node, true);
                self.kill_node(node);
                self.start_node(node);
            }
        }
        self.withdraw_key(node % KEEPERS, index);
    }

    /// Freezes a node in the moment one of its attempts connects, and changes what the attempt was placed on.
    pub fn freeze_node_on_connect(
        &mut self,
        node: usize,
        key_hash: &str,
        tenant: &TenantName,
        engines: Vec<EngineName>,
    ) {
        if self.freeze_on_connect != Some(node) {
            return;
        }
        self.freeze_on_connect = None;
        let until = self.now + Span::millis(self.rng.between(4_000, 9_000));
        self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
        let keeper = self.rng.below(KEEPERS as u64) as usize;
        match self.rng.below(4) {
            0 => self.set_walled(keeper, tenant.0.clone(), true),
            1 => self.change_weights(keeper),
            _ => {
                for engine in engines {
                    if let Some(number) = self.engines.iter().position(|known| known.name == engine) {
                        self.unlist(number);
                    }
                }
            }
        }
        if let Some(index) = self.live_keys.iter().position(|(key, _, _)| key == key_hash) {
            self.withdraw_key(keeper, index);
        }
    }

    /// Heals the network (if `heals`) except for the cuts that are held for a while.
    pub fn heal_except_held(&mut self, heals: bool) {
        if heals {
            self.net.heal();
        }
        let now = self.now;
        self.held_cuts.retain(|(_, until)| now < *until);
        let keepers: Vec<usize> = (0..KEEPERS).collect();
        for (node, _) in self.held_cuts.clone() {
            self.net.cut_between(&keepers, &[NODE_BASE + node], true);
        }
    }

    pub(crate) fn set_behavior(&mut self, number: usize, manner: EngineBehavior, span: Span) {
        let engine = &mut self.engines[number];
        (engine.behavior, engine.behavior_until) = (manner, self.now + span);
    }

    fn lose_zone(&mut self, zone: usize) {
        self.kill_keeper(zone);
        for node in (zone..NODES).step_by(ZONES.len()) {
            self.kill_node(node);
            self.start_node(node);
        }
        for engine in (zone..ENGINES).step_by(ZONES.len()) {
            self.crash_engine(engine, true);
        }
    }

    /// When every frozen machine has resumed by itself. Stalled disks need no wait, because the pending effects of a
    /// keeper are always forwarded out before its next input.
    pub fn awake_at(&self) -> Instant {
        let keepers = self.keepers.iter().map(|keeper| keeper.frozen_until);
        let nodes = self.nodes.iter().map(|node| node.frozen_until);
        keepers.chain(nodes).fold(self.now, Instant::max)
    }

    /// Ends every fault: starts what is down, heals the network and wakes frozen machines.
    pub fn end_faults(&mut self) {
        self.held_cuts.clear();
        self.net.heal();
        let now = self.now;
        for number in 0..KEEPERS {
            self.keepers[number].frozen_until = now;
            self.keepers[number].busy_until = now;
            self.keepers[number].sync_span = Span::millis(2);
            self.start_keeper(number);
        }
        self.faults_over = true;
        self.power_loss_pending = false;
        self.campaign_loss_pending = false;
        self.freeze_on_connect = None;
        for number in 0..ENGINES {
            self.start_engine(number);
            let engine = &mut self.engines[number];
            (engine.behavior_until, engine.events_hidden_until) = (now, now);
        }
        for number in 0..NODES {
            self.nodes[number].frozen_until = now;
            self.start_node(number);
        }
        let at = self.millis();
        self.record.events.push(EventLine::LastFaultOver { at });
        self.note("faults over".into());
    }
}
