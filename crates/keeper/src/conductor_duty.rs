//! Executes the conductor's actions while this keeper holds the duty. The duty is checked again at the first byte of
//! every order, so that a holder that was paused past its lease sends none.

use crate::prelude::*;

const ROUND_INTERVAL: Duration = Duration::from_millis(300);
const OBSERVE_TIMEOUT: Span = Span::millis(700);
const ORDER_TIMEOUT: Span = Span::seconds(15);
const SUBMIT_TIMEOUT: Span = Span::seconds(5);
/// How often the conductor queries the demand for adapters.
const DEMAND_INTERVAL: Span = Span::seconds(1);

/// The latest reports of engines.
#[derive(Default)]
struct EngineObservations {
    conductor: BTreeMap<EngineName, EngineObservation>,
    adapters: BTreeMap<EngineName, AdapterReport>,
}

/// Observes the engines and executes the conductor's actions while this keeper holds the duty.
pub async fn run_conductor(publisher: SharedPublisher, executor: ExecutorClient, me: NodeId) {
    let mut conductor = Conductor::default();
    let mut planner = WarmingPlanner::default();
    let mut planner_term = Term(0);
    let mut last_demand_query = Instant(0);
    let mut observations = EngineObservations::default();
    let mut interval = tokio::time::interval(ROUND_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut outstanding: HashMap<EngineName, tokio::task::JoinHandle<()>> = HashMap::new();
    loop {
        interval.tick().await;
        planner.note_weights(&latest_snapshot(&publisher).state, boot_now());
        let Some((term, _)) = latest_snapshot(&publisher).leased_conductor else {
            observations = EngineObservations::default();
            planner.forget();
            continue;
        };
        observe_engines(&latest_snapshot(&publisher).state, &mut observations).await;
        if term != planner_term {
            planner.forget();
            planner_term = term;
        }
        let now = boot_now();
        let has_adapters = !latest_snapshot(&publisher).state.desired.adapters.is_empty();
        if has_adapters && now.since(last_demand_query) >= DEMAND_INTERVAL {
            last_demand_query = now;
            if let QueryOutcome::Demand(demand) = executor.query(CoreQuery::Demand, OBSERVE_TIMEOUT).await {
                planner.demand.record(demand, boot_now());
            }
        }
        let snapshot = latest_snapshot(&publisher);
        outstanding.retain(|_, order| !order.is_finished());
        let warming = planner.next_actions(&snapshot.state, &observations.adapters, boot_now());
        // The previous holder may still have orders in flight: until then only observe.
        if snapshot.conductor.is_none_or(|(acting_term, _)| acting_term != term) {
            continue;
        }
        for action in warming {
            carry_out_warming(action, &publisher, &executor, &mut outstanding, term, me);
        }
        for action in conductor.next_actions(&snapshot.state, &observations.conductor, boot_now()) {
            match action {
                ConductorAction::SetEngineStatus { engine, status }
                    if status.closed
                        && !planner.closings.may_close(
                            &snapshot.state,
                            &observations.adapters,
                            &engine,
                            boot_now(),
                        ) =>
                {
                    event!(debug, "engine_waits", engine = engine, reason = "it holds the last copy of an adapter");
                }
                ConductorAction::SetEngineStatus { engine, status } => {
                    event!(info, "engine_stands", engine = engine, closed = status.closed, term = term);
                    let key = engine.clone();
                    submit_once(&executor, &mut outstanding, key, Command::SetEngineStatus { term, engine, status });
                }
                ConductorAction::Load { engine, address, weights } => {
                    let action = EngineOrderAction::LoadWeights { weights: weights.0 };
                    send_order(&publisher, &mut outstanding, engine, address, term, me, action);
                }
                ConductorAction::DoStep { plan, .. }
                    if !planner.closings.may_do_step(&snapshot.state, &observations.adapters, plan, boot_now()) =>
                {
                    event!(debug, "plan_waits", plan = plan, reason = "the engine holds the last copy of an adapter");
                }
                ConductorAction::DoStep { plan, step } => {
                    event!(info, "plan_step", plan = plan, step = step + 1, term = term);
                    let key = EngineName(format!("plan {plan}"));
                    submit_once(&executor, &mut outstanding, key, Command::DoStep { term, plan, step });
                }
                ConductorAction::EndPlan { plan, halted } => {
                    let key = EngineName(format!("plan {plan}"));
                    submit_once(&executor, &mut outstanding, key, Command::EndPlan { term, plan, halted });
                }
                ConductorAction::Open { engine, address } => {
                    send_order(&publisher, &mut outstanding, engine, address, term, me, EngineOrderAction::Open);
                }
            }
        }
    }
}

/// Executes an action of the warming planner, with one submission per copy and one order per engine in flight.
fn carry_out_warming(
    action: WarmingAction,
    publisher: &SharedPublisher,
    executor: &ExecutorClient,
    outstanding: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    term: Term,
    me: NodeId,
) {
    match action {
        WarmingAction::Place { engine, adapter, stage } => {
            let key = EngineName(format!("{engine} {adapter}"));
            if !outstanding.contains_key(&key) {
                event!(info, "adapter_placed", engine = engine, adapter = adapter, stage = format!("{stage:?}"));
            }
            submit_once(executor, outstanding, key, Command::PlaceCopy { term, engine, adapter, stage });
        }
        WarmingAction::UseRevision { adapter } => {
            event!(info, "adapter_revision", adapter = adapter, term = term);
            let key = EngineName(format!("revision {}", adapter.name));
            submit_once(executor, outstanding, key, Command::ActivateRevision { term, adapter });
        }
        WarmingAction::Load { engine, address, adapter } => {
            let action = EngineOrderAction::LoadAdapter { adapter: adapter.to_string() };
            send_order(publisher, outstanding, engine, address, term, me, action);
        }
        WarmingAction::Unload { engine, address, adapter } => {
            let action = EngineOrderAction::UnloadAdapter { adapter: adapter.to_string() };
            send_order(publisher, outstanding, engine, address, term, me, action);
        }
    }
}

/// Submits a command for an engine or plan, unless an earlier one under the same key is in flight.
fn submit_once(
    executor: &ExecutorClient,
    outstanding: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    key: EngineName,
    command: Command,
) {
    if outstanding.contains_key(&key) {
        return;
    }
    let executor = executor.clone();
    let submission = async move {
        executor.submit(RequestId::random(), command, SUBMIT_TIMEOUT).await;
    };
    outstanding.insert(key, tokio::spawn(submission));
}

fn send_order(
    publisher: &SharedPublisher,
    outstanding: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    engine: EngineName,
    address: String,
    term: Term,
    me: NodeId,
    action: EngineOrderAction,
) {
    if outstanding.contains_key(&engine) {
        return;
    }
    event!(info, "order_given", engine = engine, term = term, wish = format!("{action:?}"));
    let order = EngineOrder { term: term.0, holder: me.to_string(), wish: action };
    let (publisher, key) = (Arc::clone(publisher), engine.clone());
    let task = async move {
        let request = web::prelude::OutgoingRequest::with_json(Method::POST, "/v1/orders", &json!(order));
        let gate_publisher = Arc::clone(&publisher);
        let gate = Box::new(move || {
            let held = latest_snapshot(&gate_publisher).conductor;
            let holds_duty = held.is_some_and(|(held_term, until)| held_term == term && boot_now() < until);
            if holds_duty { Ok(()) } else { Err("this keeper no longer holds the conductor duty".to_owned()) }
        });
        let sending = async {
            let stream = open_stream(&address, OBSERVE_TIMEOUT).await?;
            let response = stream.send_gated(request, gate).await.map_err(|fault| fault.reason)?;
            if response.status.is_success() { Ok(()) } else { Err(format!("status {}", response.status)) }
        };
        let outcome = tokio::time::timeout(ORDER_TIMEOUT.as_duration(), sending).await;
        if let Err(reason) = outcome.unwrap_or_else(|_| Err("timed out".into())) {
            event!(warn, "order_fault", engine = engine, reason = reason);
        }
    };
    outstanding.insert(key, tokio::spawn(task));
}

async fn observe_engines(state: &FleetState, observations: &mut EngineObservations) {
    observations.conductor.retain(|engine, _| state.listing.engines.contains_key(engine));
    observations.adapters.retain(|engine, _| state.listing.engines.contains_key(engine));
    let mut queries = tokio::task::JoinSet::new();
    for (engine, listed) in &state.listing.engines {
        let (engine, address) = (engine.clone(), listed.address.clone());
        queries.spawn(async move {
            let queried_at = boot_now();
            let request = web::prelude::OutgoingRequest::get("/v1/state");
            let (_, _, body) = fetch_response(&address, request, OBSERVE_TIMEOUT, 1 << 16).await.ok()?;
            let engine_state: EngineState = serde_json::from_slice(&body).ok()?;
            Some((engine, engine_state, queried_at))
        });
    }
    while let Some(observed) = queries.join_next().await {
        if let Ok(Some((engine, engine_state, queried_at))) = observed {
            observations.adapters.insert(engine.clone(), adapter_report(&engine_state, queried_at));
            observations.conductor.insert(engine, engine_observation(engine_state, queried_at));
        }
    }
}

fn adapter_report(state: &EngineState, at: Instant) -> AdapterReport {
    AdapterReport {
        boot: state.boot.clone(),
        resident: state.adapters.iter().filter_map(|text| AdapterId::parse(text)).collect(),
        places: state.adapter_places,
        at,
    }
}

fn engine_observation(state: EngineState, at: Instant) -> EngineObservation {
    EngineObservation {
        boot: state.boot,
        weights: WeightsEdition(state.weights),
        running: state.running,
        accepting: state.accepting,
        at,
    }
}
