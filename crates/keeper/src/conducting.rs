//! Carries out the conductor's mind while this keeper holds the duty. The duty is asked for again at
//! the first byte of every order, so a holder that was frozen and woken gives none.

use crate::prelude::*;

const ROUND_EVERY: Duration = Duration::from_millis(300);
const LOOK_LIMIT: Span = Span::millis(700);
const ORDER_LIMIT: Span = Span::seconds(15);

pub async fn conduct(shelf: Shelf, desk: DeskAsker, me: NodeId) {
    let mut conductor = Conductor::default();
    let mut observed = BTreeMap::new();
    let mut pulse = tokio::time::interval(ROUND_EVERY);
    pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ordering: HashMap<EngineName, tokio::task::JoinHandle<()>> = HashMap::new();
    loop {
        pulse.tick().await;
        let Some((term, _)) = look(&shelf).conductor else {
            observed.clear();
            continue;
        };
        look_at_engines(&look(&shelf).state, &mut observed).await;
        let seen = look(&shelf);
        ordering.retain(|_, order| !order.is_finished());
        for act in conductor.direct(&seen.state, &observed, boot_now()) {
            match act {
                Act::Stand { engine, standing } => {
                    event!(info, "engine_stands", engine = engine, closed = standing.closed, term = term);
                    let naming = engine.clone();
                    submit_once(&desk, &mut ordering, naming, Command::Stand { term, engine, standing });
                }
                Act::Load { engine, address, weights } => {
                    let wish = OrderWish::LoadWeights { weights: weights.0 };
                    give_order(&shelf, &mut ordering, engine, address, term, me, wish);
                }
                Act::DoStep { plan, step } => {
                    event!(info, "plan_step", plan = plan, step = step + 1, term = term);
                    let naming = EngineName(format!("plan {plan}"));
                    submit_once(&desk, &mut ordering, naming, Command::DoStep { term, plan, step });
                }
                Act::EndPlan { plan, halted } => {
                    let naming = EngineName(format!("plan {plan}"));
                    submit_once(&desk, &mut ordering, naming, Command::EndPlan { term, plan, halted });
                }
                Act::Open { engine, address } => {
                    give_order(&shelf, &mut ordering, engine, address, term, me, OrderWish::Open);
                }
            }
        }
    }
}

/// Submits what the conductor wants for one engine or plan, unless an earlier wish is under way.
fn submit_once(
    desk: &DeskAsker,
    ordering: &mut HashMap<EngineName, tokio::task::JoinHandle<()>>,
    naming: EngineName,
    command: Command,
) {
    if ordering.contains_key(&naming) {
        return;
    }
    let desk = desk.clone();
    let submitting = async move {
        desk.submit(RequestId::random(), command, Span::seconds(5)).await;
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
    wish: OrderWish,
) {
    if ordering.contains_key(&engine) {
        return;
    }
    event!(info, "order_given", engine = engine, term = term, wish = format!("{wish:?}"));
    let order = EngineOrder { term: term.0, holder: me.to_string(), wish };
    let (shelf, naming) = (Arc::clone(shelf), engine.clone());
    let ordering_task = async move {
        let question = web::prelude::Question::with_json(Method::POST, "/v1/orders", &json!(order));
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

async fn look_at_engines(state: &FleetState, observed: &mut BTreeMap<EngineName, Observed>) {
    observed.retain(|engine, _| state.listing.engines.contains_key(engine));
    let mut looking = tokio::task::JoinSet::new();
    for (engine, listed) in &state.listing.engines {
        let (engine, address) = (engine.clone(), listed.address.clone());
        looking.spawn(async move {
            let asked_at = boot_now();
            let question = web::prelude::Question::get("/v1/state");
            let (_, _, body) = ask_whole(&address, question, LOOK_LIMIT, 1 << 16).await.ok()?;
            let engine_state: EngineState = serde_json::from_slice(&body).ok()?;
            let seen = Observed {
                boot: engine_state.boot,
                weights: WeightsEdition(engine_state.weights),
                running: engine_state.running,
                accepting: engine_state.accepting,
                at: asked_at,
            };
            Some((engine, seen))
        });
    }
    while let Some(looked) = looking.join_next().await {
        if let Ok(Some((engine, seen))) = looked {
            observed.insert(engine, seen);
        }
    }
}
