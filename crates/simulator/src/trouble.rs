//! What each fault does to the world, and its undoing.

use crate::prelude::*;

impl World {
    pub fn cause(&mut self, fault: Fault) {
        self.note(format!("fault {fault:?}"));
        let what = format!("{fault:?}");
        let at = self.millis();
        self.record.events.push(EventLine::Fault { at, what });
        self.fault_kinds.push(fault.kind());
        // Most faults are undone after a while, so that later ones meet a fleet at work.
        let span = Span::millis(self.draw.between(500, 6_000));
        match self.draw.below(10) {
            0..=3 => self.later(span, SimEvent::Revives),
            4..=6 => self.later(span, SimEvent::Heals),
            _ => {}
        }
        let all_keepers: Vec<usize> = (0..KEEPERS).collect();
        let all_nodes: Vec<usize> = (0..NODES).map(|node| NODE_BASE + node).collect();
        let now = self.now;
        match fault {
            Fault::KillKeeper(keeper) => self.kill_keeper(keeper),
            Fault::StopKeeper(keeper) => {
                let life = self.keepers[keeper].life;
                self.step_keeper(keeper, Some(life), Input::Retire);
                let until = self.now + LEAVE_TIMEOUT;
                self.later(DRAIN_PERIOD, SimEvent::StopKeeper { keeper, life, until });
            }
            Fault::KillKeepers(keepers) => keepers.into_iter().for_each(|keeper| self.kill_keeper(keeper)),
            Fault::StartKeepers => all_keepers.into_iter().for_each(|keeper| self.start_keeper(keeper)),
            Fault::ReplaceKeeper { keeper, moves } => {
                if self.may_lose(keeper) {
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
                if self.draw.chance(50) {
                    self.net.cut_between(&group, &all_nodes, true);
                }
            }
            Fault::IsolateKeeper { keeper, both_ways } => {
                let others: Vec<usize> = all_keepers.into_iter().chain(all_nodes).collect();
                let inward = self.draw.chance(50);
                if inward {
                    self.net.cut_between(&others, &[keeper], both_ways);
                } else {
                    self.net.cut_between(&[keeper], &others, both_ways);
                }
            }
            Fault::IsolateNode { node, both_ways } => {
                if self.draw.chance(50) {
                    self.net.cut_between(&all_keepers, &[NODE_BASE + node], both_ways);
                } else {
                    self.net.cut_between(&[NODE_BASE + node], &all_keepers, both_ways);
                }
            }
            Fault::CutOffCore => self.net.cut_between(&all_keepers, &all_nodes, true),
            Fault::SlowNet => self.net.slow = true,
            Fault::Heal => self.heal_but_held(true),
            Fault::PowerLoss => self.power_fails = true,
            Fault::LoseZone(zone) => self.lose_zone(zone),
            Fault::CrashEngine(engine) => self.crash_engine(engine, false),
            Fault::LoseEngine(engine) => self.crash_engine(engine, true),
            Fault::StartEngines => (0..ENGINES).for_each(|engine| self.start_engine(engine)),
            Fault::Misbehave { engine, manner, span } => self.misbehave(engine, manner, span),
            Fault::MisbehaveAll { manner, span } => {
                let span = Span(span.0 / 2);
                (0..ENGINES).for_each(|engine| self.misbehave(engine, manner, span));
            }
            Fault::HideEvents { engine, span } => self.engines[engine].hides_until = now + span,
            Fault::KeepOnLoad(engine) => self.engines[engine].keeps_on_load = true,
            Fault::LoseStore => self.store.restart(),
            Fault::CutPair { keeper, other, both_ways } => self.net.cut_between(&[keeper], &[other], both_ways),
            Fault::KillInCampaign => self.campaign_fails = true,
            Fault::IsolateHolder => self.isolate_holder(2),
            Fault::WithdrawBehind(node) => self.withdraw_behind(node),
            Fault::FreezeInConnect(node) => self.freezing = Some(node),
            Fault::ListAway => (0..6).for_each(|_| self.change_listing()),
        }
    }

    /// With `again`, whoever holds the duty next is cut off in turn, as soon as it may act.
    pub fn isolate_holder(&mut self, again: u64) {
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
        if self.draw.chance(60) && again > 0 {
            let span = Span::millis(self.draw.between(5_000, 8_000));
            self.later(Span(span.0 - 1_000_000_000), SimEvent::Heals);
            self.later(span, SimEvent::IsolatesHolder { again: again - 1 });
        }
        if again < 2 {
            return;
        }
        self.name_weights(others[0]);
        // Nodes that sleep through it hear of the new weights late, and must not think them new.
        let sleepers = if self.draw.chance(50) { 3 } else { 0 };
        for _ in 0..sleepers {
            let node = self.draw.below(NODES as u64) as usize;
            let until = self.now + Span::millis(self.draw.between(11_000, 16_000));
            self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
        }
    }

    /// A caller streams a long answer under a fresh key; then its node is cut off or frozen for longer
    /// than that, or its machine is lost, and the key is withdrawn.
    fn withdraw_behind(&mut self, node: usize) {
        let Some((key_hash, tenant, _)) = self.live_keys.last().cloned() else { return };
        self.call_long(node, TenantName(tenant), key_hash.clone());
        self.later(Span::millis(400), SimEvent::WithdrawsBehind { node, key_hash });
    }

    pub fn hear_withdraws_behind(&mut self, node: usize, key_hash: &str) {
        let Some(place) = self.live_keys.iter().position(|(key, _, _)| key == key_hash) else { return };
        let until = self.now + Span::seconds(9);
        match self.draw.below(3) {
            0 => {
                self.held_cuts.push((node, until));
                self.heal_but_held(false);
            }
            1 => self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until),
            _ => {
                self.lose_runs(node, true);
                self.kill_node(node);
                self.start_node(node);
            }
        }
        self.withdraw(node % KEEPERS, place);
    }

    /// An attempt connects at a node that is to freeze in this moment: nothing it was chosen on stays.
    pub fn freeze_in_connect(&mut self, node: usize, key_hash: &str, tenant: &TenantName, engines: Vec<EngineName>) {
        if self.freezing != Some(node) {
            return;
        }
        self.freezing = None;
        let until = self.now + Span::millis(self.draw.between(4_000, 9_000));
        self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
        let keeper = self.draw.below(KEEPERS as u64) as usize;
        match self.draw.below(4) {
            0 => self.wall(keeper, tenant.0.clone(), true),
            1 => self.name_weights(keeper),
            _ => {
                for engine in engines {
                    if let Some(number) = self.engines.iter().position(|known| known.name == engine) {
                        self.list_away(number);
                    }
                }
            }
        }
        if let Some(place) = self.live_keys.iter().position(|(key, _, _)| key == key_hash) {
            self.withdraw(keeper, place);
        }
    }

    /// Heals the network, but for cuts that are held for a while.
    pub fn heal_but_held(&mut self, heals: bool) {
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

    pub(crate) fn misbehave(&mut self, number: usize, manner: Manner, span: Span) {
        let engine = &mut self.engines[number];
        (engine.manner, engine.manner_until) = (manner, self.now + span);
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

    /// When every frozen machine goes on by itself. A disk that stalls does not matter: what waits for it is
    /// carried out first, whenever that is.
    pub fn awake_at(&self) -> Instant {
        let keepers = self.keepers.iter().map(|keeper| keeper.frozen_until);
        let nodes = self.nodes.iter().map(|node| node.frozen_until);
        keepers.chain(nodes).fold(self.now, Instant::max)
    }

    /// Ends every fault: what is down starts, what is cut or slow is healed, what is frozen wakes.
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
        self.power_fails = false;
        self.campaign_fails = false;
        self.freezing = None;
        for number in 0..ENGINES {
            self.start_engine(number);
            let engine = &mut self.engines[number];
            (engine.manner_until, engine.hides_until) = (now, now);
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
