//! A seeded schedule of faults and operator actions for an office's day: lost and frozen processes, listings,
//! configuration changes, a withdrawn key, a trial and new weights. The same seed gives the same schedule. At its end
//! everything is restored, and the rest of the day shows whether service recovers.

use crate::prelude::*;

/// A fault or operator action.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A keeper is killed.
    LoseKeeper(usize),
    /// Two keepers are killed at once.
    LoseKeepers(usize, usize),
    /// A router is killed.
    LoseRouter(usize),
    /// An agent is killed.
    LoseAgent(usize),
    /// A node's agent and router are killed.
    LoseNode(usize),
    /// An engine is killed.
    LoseEngine(usize),
    /// The prompt store is killed.
    LoseStore,
    /// A keeper is stopped until it is restored.
    FreezeKeeper(usize),
    /// A node's agent and router are stopped until they are restored.
    FreezeNode(usize),
    /// An engine is stopped until it is restored.
    FreezeEngine(usize),
    /// An engine is listed as leaving.
    ListAway(usize),
    /// A keeper's disk is full until it is restored.
    FillDisk(usize),
    /// A keeper is killed, its data is deleted, and it is restarted with an empty disk.
    LoseDisk(usize),
    /// No traffic reaches a keeper, but its connections stay open.
    StallKeeper(usize),
    /// Connections to a keeper are closed and new ones refused.
    CutKeeper(usize),
    /// Connections to all keepers are closed and new ones refused.
    CutCore,
    /// An engine sends no cache events.
    HideEvents(usize),
    /// Block fetches of an engine are slow.
    SlowLinks(usize),
    /// The operator changes one setting of the desired state.
    ChangeDesiredState(u64),
    /// The operator withdraws a tenant's key.
    WithdrawKey,
    /// The operator starts a trial of another policy for a tenant.
    Trial,
    /// The operator moves the model to newer weights.
    MoveWeights,
    /// Everything lost, frozen, cut or listed as leaving is restored.
    PutBack,
    /// Everything is restored, and no further fault follows.
    Over,
}

/// Faults, each with the time when it is due.
pub struct FaultSchedule {
    scheduled: Vec<(u64, Fault)>,
    key_withdrawn: bool,
    awaited_weights: Option<u64>,
    filled_disks: Vec<usize>,
}

impl FaultSchedule {
    /// Creates a schedule from faults and their times in milliseconds, in order.
    pub fn new(scheduled: Vec<(u64, Fault)>) -> FaultSchedule {
        FaultSchedule { scheduled, key_withdrawn: false, awaited_weights: None, filled_disks: Vec::new() }
    }

    /// Draws a random schedule; the last twenty seconds of the day are free of faults.
    pub fn random(seed: u64, seconds: u64, plan: &FleetPlan) -> FaultSchedule {
        let mut rng = SeededRng::new(seed);
        let last_fault_at = (seconds * 1000).saturating_sub(20_000).max(3_000);
        let mut scheduled = vec![
            (2_000, Fault::Trial),
            (last_fault_at / 3, Fault::MoveWeights),
            (last_fault_at / 2, Fault::WithdrawKey),
            (last_fault_at * 2 / 3, Fault::LoseDisk(seed as usize % plan.keepers)),
        ];
        let mut due_at = 1_500;
        while due_at + 2_000 < last_fault_at {
            let (keeper, node, engine) = (
                rng.below(plan.keepers as u64) as usize,
                rng.below(plan.nodes as u64) as usize,
                rng.below(plan.engines as u64) as usize,
            );
            let fault = match rng.below(20) {
                0 => Fault::LoseKeeper(keeper),
                1 => Fault::LoseKeepers(keeper, (keeper + 1) % plan.keepers),
                2 => Fault::LoseRouter(node),
                3 => Fault::LoseAgent(node),
                4 => Fault::LoseNode(node),
                5 => Fault::LoseEngine(engine),
                6 => Fault::LoseStore,
                7 => Fault::FreezeKeeper(keeper),
                8 => Fault::FreezeNode(node),
                9 => Fault::FreezeEngine(engine),
                10 => Fault::ListAway(engine),
                11 => Fault::FillDisk(keeper),
                12 => Fault::StallKeeper(keeper),
                13 => Fault::CutKeeper(keeper),
                14 => Fault::CutCore,
                15 => Fault::HideEvents(engine),
                16 => Fault::SlowLinks(engine),
                _ => Fault::ChangeDesiredState(rng.below(1000)),
            };
            scheduled.push((due_at, fault));
            scheduled.push((due_at + rng.between(300, 3_000), Fault::PutBack));
            due_at += rng.between(1_000, 3_500);
        }
        scheduled.push((last_fault_at, Fault::Over));
        scheduled.sort_by_key(|(due_at, _)| *due_at);
        FaultSchedule::new(scheduled)
    }

    /// Applies all faults that are due, and records when awaited weights are confirmed.
    pub fn apply_due(&mut self, fleet: &mut Fleet, elapsed: u64) -> Result<(), String> {
        while let Some((due_at, fault)) = self.scheduled.first().cloned() {
            if elapsed < due_at {
                break;
            }
            self.scheduled.remove(0);
            fleet.record_event(EventLine::Fault { at: boot_millis(), what: format!("{fault:?}") });
            self.apply(fleet, fault)?;
        }
        if let Some(plan) = self.awaited_weights {
            let page = fleet.operator_request(Method::GET, &format!("/v1/plans/{plan}"), None, None);
            if page.is_ok_and(|(_, page)| page["steps"][0]["done"] == true) {
                fleet.record_event(EventLine::WeightsAcked { at: boot_millis(), weights: 2 });
                self.awaited_weights = None;
            }
        }
        Ok(())
    }

    fn restore(&mut self, fleet: &mut Fleet) -> Result<(), String> {
        for keeper in self.filled_disks.drain(..) {
            fleet.keepers[keeper].process.iter().for_each(|process| process.limit_file_size(None));
        }
        restore(fleet)
    }

    fn apply(&mut self, fleet: &mut Fleet, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::LoseKeeper(keeper) => fleet.keepers[keeper].process = None,
            Fault::LoseKeepers(one, other) => {
                fleet.keepers[one].process = None;
                fleet.keepers[other].process = None;
            }
            Fault::LoseRouter(node) => fleet.nodes[node].router = None,
            Fault::LoseAgent(node) => fleet.nodes[node].agent = None,
            Fault::LoseNode(node) => {
                fleet.nodes[node].router = None;
                fleet.nodes[node].agent = None;
            }
            Fault::LoseEngine(engine) => fleet.engines[engine].process = None,
            Fault::LoseStore => fleet.store = None,
            Fault::FreezeKeeper(keeper) => fleet.keepers[keeper].process.iter().for_each(Process::freeze),
            Fault::FreezeNode(node) => {
                fleet.nodes[node].agent.iter().for_each(Process::freeze);
                fleet.nodes[node].router.iter().for_each(Process::freeze);
            }
            Fault::FreezeEngine(engine) => fleet.engines[engine].process.iter().for_each(Process::freeze),
            Fault::ListAway(engine) => {
                fleet.engines[engine].listed_away = true;
                fleet.list_engine(engine, "leaving")?;
            }
            Fault::FillDisk(keeper) => {
                self.filled_disks.push(keeper);
                fleet.keepers[keeper].process.iter().for_each(|process| process.limit_file_size(Some(4096)));
            }
            Fault::LoseDisk(keeper) => {
                fleet.keepers[keeper].process = None;
                let _ = std::fs::remove_dir_all(&fleet.keepers[keeper].data);
                fleet.start_keeper(keeper, false)?;
            }
            Fault::StallKeeper(keeper) => set_relay_mode(fleet, keeper, RelayMode::Stalled),
            Fault::CutKeeper(keeper) => set_relay_mode(fleet, keeper, RelayMode::Cut),
            Fault::CutCore => {
                (0..fleet.keepers.len()).for_each(|keeper| set_relay_mode(fleet, keeper, RelayMode::Cut))
            }
            Fault::HideEvents(engine) => set_engine_faults(fleet, engine, &json!({"hide_events": true})),
            Fault::SlowLinks(engine) => set_engine_faults(fleet, engine, &json!({"link_us": 50_000})),
            Fault::ChangeDesiredState(number) => {
                let _ = fleet.patch_document(&json!({"routing": {"events_late_ms": 1500 + number}}));
            }
            Fault::WithdrawKey => {
                let (tenant, key) = fleet.tenants[7].clone();
                let path = format!("/v1/tenants/{tenant}/keys/main");
                let answer = fleet.operator_request(Method::DELETE, &path, None, None);
                if answer.is_ok_and(|(status, _)| status == 200) && !self.key_withdrawn {
                    self.key_withdrawn = true;
                    fleet.record_event(EventLine::KeyWithdrawn { at: boot_millis(), key });
                }
            }
            Fault::Trial => {
                let _ = fleet.patch_document(&json!({"policies": {"trial": {"weight": 3}}}));
                state_and_confirm(fleet, &json!({"intent": "trial", "policy": "trial", "tenants": ["tenant0"]}));
            }
            Fault::MoveWeights => {
                let intent = json!({"intent": "move_weights", "model": "model", "weights": 2});
                self.awaited_weights = state_and_confirm(fleet, &intent);
            }
            Fault::PutBack => self.restore(fleet)?,
            Fault::Over => {
                self.restore(fleet)?;
                fleet.record_event(EventLine::LastFaultOver { at: boot_millis() });
            }
        }
        Ok(())
    }
}

fn set_relay_mode(fleet: &Fleet, keeper: usize, mode: RelayMode) {
    if let Some(relay) = &fleet.keepers[keeper].relay {
        relay.set_mode(mode);
    }
}

fn set_engine_faults(fleet: &Fleet, engine: usize, faults: &Value) {
    let _ = fleet.request(&fleet.engines[engine].address, Method::POST, "/v1/faults", Some(faults));
}

/// States an intent and confirms its plan; returns the plan's number if both were accepted.
fn state_and_confirm(fleet: &Fleet, intent: &Value) -> Option<u64> {
    let (_, plan) = fleet.operator_request(Method::POST, "/v1/intents", Some(intent), None).ok()?;
    let number = plan["plan"].as_u64()?;
    let path = format!("/v1/plans/{number}/confirm");
    let (status, _) = fleet.operator_request(Method::POST, &path, Some(&json!({})), None).ok()?;
    (status == 200).then_some(number)
}

/// Restarts lost processes, resumes frozen ones, opens the relays and lists engines as open again.
fn restore(fleet: &mut Fleet) -> Result<(), String> {
    for number in 0..fleet.keepers.len() {
        fleet.keepers[number].process.iter().for_each(Process::resume);
        set_relay_mode(fleet, number, RelayMode::Open);
        if fleet.keepers[number].process.as_mut().is_some_and(|process| !process.is_running()) {
            fleet.keepers[number].process = None;
        }
        if fleet.keepers[number].process.is_none() {
            fleet.start_keeper(number, false)?;
        }
    }
    for number in 0..fleet.nodes.len() {
        fleet.nodes[number].agent.iter().for_each(Process::resume);
        fleet.nodes[number].router.iter().for_each(Process::resume);
        if fleet.nodes[number].agent.is_none() {
            fleet.start_agent(number)?;
        }
        if fleet.nodes[number].router.is_none() {
            fleet.start_router(number)?;
        }
    }
    for number in 0..fleet.engines.len() {
        fleet.engines[number].process.iter().for_each(Process::resume);
        if fleet.engines[number].process.is_none() {
            fleet.start_engine(number, 1)?;
        }
        set_engine_faults(fleet, number, &json!({}));
        if fleet.engines[number].listed_away {
            fleet.engines[number].listed_away = false;
            fleet.list_engine(number, "open")?;
        }
    }
    if fleet.store.is_none() {
        let listen = vec![format!("--listen={}", fleet.store_address)];
        fleet.store = Some(Process::start("store", "store", &listen, &fleet.folder)?);
    }
    Ok(())
}
