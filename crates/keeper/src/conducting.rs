//! Carries out the conductor's mind while this keeper holds the duty. The duty is asked for again at
//! the first byte of every order, so a holder that was frozen and woken gives none.

use crate::prelude::*;

const ROUND_EVERY: Duration = Duration::from_millis(300);
const LOOK_LIMIT: Span = Span::millis(700);
const ORDER_LIMIT: Span = Span::seconds(15);
/// How often the conductor asks where requests on adapters arrive.
const DEMAND_EVERY: Span = Span::seconds(1);

/// What engines said of themselves, and when.
#[derive(Default)]
struct Looks {
    observed: BTreeMap<EngineName, EngineObservation>,
    adapters: BTreeMap<EngineName, AdapterReport>,
}

pub async fn conduct(shelf: Shelf, executor: ExecutorClient, me: NodeId) {
    let mut conductor = Conductor::default();
    let mut planner = WarmingPlanner::default();
    let mut planner_term = Term(0);
    let mut demand_asked = Instant(0);
    let mut looks = Looks::default();
    let mut pulse = tokio::time::interval(ROUND_EVERY);
    pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ordering: HashMap<EngineName, tokio::task::JoinHandle<()>> = HashMap::new();
    loop {
        pulse.tick().await;
        planner.note_weights(&look(&shelf).state, boot_now());
        let Some((term, _)) = look(&shelf).named_conductor else {
            looks = Looks::default();
            planner.forget();
            continue;
        };
        look_at_engines(&look(&shelf).state, &mut looks).await;
        if term != planner_term {
            planner.forget();
            planner_term = term;
        }
        let now = boot_now();
        let has_adapters = !look(&shelf).state.desired.adapters.is_empty();
        if has_adapters && now.since(demand_asked) >= DEMAND_EVERY {
            demand_asked = now;
            if let QueryOutcome::Demand(heard) = executor.ask(CoreQuery::Demand, LOOK_LIMIT).await {
                planner.demand.record(heard, boot_now());
            }
        }
        let seen = look(&shelf);
        ordering.retain(|_, order| !order.is_finished());
        let warming = planner.next_actions(&seen.state, &looks.adapters, boot_now());
        // While the holder before may still have orders on their way, this one looks and gives none.
        if seen.conductor.is_none_or(|(acting, _)| acting != term) {
            continue;
        }
        for act in warming {
            carry_out_warming(act, &shelf, &executor, &mut ordering, term, me);
        }
        for act in conductor.next_actions(&seen.state, &looks.observed, boot_now()) {
            match act {
                ConductorAction::SetStanding { engine, standing }
                    if standing.closed
                        && !planner.closings.may_close(&seen.state, &looks.adapters, &engine, boot_now()) =>
                {
                    event!(debug, "engine_waits", engine = engine, reason = "it holds the last copy of an adapter");
                }
                ConductorAction::SetStanding { engine, standing } => {
                    event!(info, "engine_stands", engine = engine, closed = standing.closed, term = term);
                    let naming = engine.clone();
                    submit_once(
                        &executor,
                        &mut ordering,
                        naming,
                        Command::SetEngineStatus { term, engine, status: standing },
                    );
                }
                ConductorAction::Load { engine, address, weights } => {
                    let wish = EngineOrderAction::LoadWeights { weights: weights.0 };
                    give_order(&shelf, &mut ordering, engine, address, term, me, wish);
                }
                ConductorAction::DoStep { plan, .. }
                    if !planner.closings.may_do_step(&seen.state, &looks.adapters, plan, boot_now()) =>
                {
                    event!(debug, "plan_waits", plan = plan, reason = "the engine holds the last copy of an adapter");
                }
                ConductorAction::DoStep { plan, step } => {
                    event!(info, "plan_step", plan = plan, step = step + 1, term = term);
                    let naming = EngineName(format!("plan {plan}"));
                    submit_once(&executor, &mut ordering, naming, Command::DoStep { term, plan, step });
                }
                ConductorAction::EndPlan { plan, halted } => {
                    let naming = EngineName(format!("plan {plan}"));
                    submit_once(&executor, &mut ordering, naming, Command::EndPlan { term, plan, halted });
                }
                ConductorAction::Open { engine, address } => {
                    give_order(&shelf, &mut ordering, engine, address, term, me, EngineOrderAction::Open);
                }
            }
        }
    }
}

/// Does what the planner of adapters wants: the state is asked for one copy at a time, and an engine is
/// given one order at a time.
fn carry_out_warming(
    act: WarmingAction,
    shelf: &Shelf,
    executor: &ExecutorClient,
    ordering: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    term: Term,
    me: NodeId,
) {
    match act {
        WarmingAction::Place { engine, adapter, stage } => {
            let naming = EngineName(format!("{engine} {adapter}"));
            if !ordering.contains_key(&naming) {
                event!(info, "adapter_placed", engine = engine, adapter = adapter, stage = format!("{stage:?}"));
            }
            submit_once(executor, ordering, naming, Command::PlaceCopy { term, engine, adapter, stage });
        }
        WarmingAction::UseRevision { adapter } => {
            event!(info, "adapter_revision", adapter = adapter, term = term);
            let naming = EngineName(format!("revision {}", adapter.name));
            submit_once(executor, ordering, naming, Command::ActivateRevision { term, adapter });
        }
        WarmingAction::Load { engine, address, adapter } => {
            let wish = EngineOrderAction::LoadAdapter { adapter: adapter.to_string() };
            give_order(shelf, ordering, engine, address, term, me, wish);
        }
        WarmingAction::Unload { engine, address, adapter } => {
            let wish = EngineOrderAction::UnloadAdapter { adapter: adapter.to_string() };
            give_order(shelf, ordering, engine, address, term, me, wish);
        }
    }
}

/// Submits what the conductor wants for one engine or plan, unless an earlier wish is under way.
fn submit_once(
    executor: &ExecutorClient,
    ordering: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    naming: EngineName,
    command: Command,
) {
    if ordering.contains_key(&naming) {
        return;
    }
    let executor = executor.clone();
    let submitting = async move {
        executor.submit(RequestId::random(), command, Span::seconds(5)).await;
    };
    ordering.insert(naming, tokio::spawn(submitting));
}

fn give_order(
    shelf: &Shelf,
    ordering: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    engine: EngineName,
    address: String,
    term: Term,
    me: NodeId,
    wish: EngineOrderAction,
) {
    if ordering.contains_key(&engine) {
        return;
    }
    event!(info, "order_given", engine = engine, term = term, wish = format!("{wish:?}"));
    let order = EngineOrder { term: term.0, holder: me.to_string(), wish };
    let (shelf, naming) = (Arc::clone(shelf), engine.clone());
    let ordering_task = async move {
        let question = web::prelude::OutgoingRequest::with_json(Method::POST, "/v1/orders", &json!(order));
        let gate_shelf = Arc::clone(&shelf);
        let gate = Box::new(move || {
            let held = look(&gate_shelf).conductor;
            let still_held = held.is_some_and(|(held_term, until)| held_term == term && boot_now() < until);
            if still_held { Ok(()) } else { Err("the duty is no longer held".to_owned()) }
        });
        let giving = async {
            let stream = open_stream(&address, LOOK_LIMIT).await?;
            let replied = stream.send_gated(question, gate).await.map_err(|fault| fault.reason)?;
            if replied.status.is_success() { Ok(()) } else { Err(format!("status {}", replied.status)) }
        };
        let outcome = tokio::time::timeout(ORDER_LIMIT.as_duration(), giving).await;
        if let Err(reason) = outcome.unwrap_or_else(|_| Err("limit passed".into())) {
            event!(warn, "order_fault", engine = engine, reason = reason);
        }
    };
    ordering.insert(naming, tokio::spawn(ordering_task));
}

async fn look_at_engines(state: &FleetState, looks: &mut Looks) {
    looks.observed.retain(|engine, _| state.listing.engines.contains_key(engine));
    looks.adapters.retain(|engine, _| state.listing.engines.contains_key(engine));
    let mut looking = tokio::task::JoinSet::new();
    for (engine, listed) in &state.listing.engines {
        let (engine, address) = (engine.clone(), listed.address.clone());
        looking.spawn(async move {
            let asked_at = boot_now();
            let question = web::prelude::OutgoingRequest::get("/v1/state");
            let (_, _, body) = fetch_response(&address, question, LOOK_LIMIT, 1 << 16).await.ok()?;
            let engine_state: EngineState = serde_json::from_slice(&body).ok()?;
            Some((engine, engine_state, asked_at))
        });
    }
    while let Some(looked) = looking.join_next().await {
        if let Ok(Some((engine, engine_state, asked_at))) = looked {
            looks.adapters.insert(engine.clone(), seen_engine(&engine_state, asked_at));
            looks.observed.insert(engine, observed(engine_state, asked_at));
        }
    }
}

fn seen_engine(told: &EngineState, at: Instant) -> AdapterReport {
    AdapterReport {
        boot: told.boot.clone(),
        resident: told.adapters.iter().filter_map(|text| AdapterId::parse(text)).collect(),
        places: told.adapter_places,
        at,
    }
}

fn observed(told: EngineState, at: Instant) -> EngineObservation {
    EngineObservation {
        boot: told.boot,
        weights: WeightsEdition(told.weights),
        running: told.running,
        accepting: told.accepting,
        at,
    }
}
