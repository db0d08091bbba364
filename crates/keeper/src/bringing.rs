//! Carries out what brings engines to new weights, while this keeper holds the duty. The duty is looked at
//! again in the very call that writes the first byte of an order, so a holder that was frozen and woken
//! gives none.

use crate::prelude::*;

const CONNECT_LIMIT: Span = Span::millis(600);
const ANSWER_LIMIT: Span = Span::millis(1500);
const REPORT_BYTES: usize = 1 << 20;
const STAND_LIMIT: Span = Span::seconds(5);
/// Something may be done about an engine at most so often.
const SHORTEST_PAUSE: Span = Span::millis(30);
const LONGEST_PAUSE: Span = Span::seconds(2);

/// Routers give up old weights by their own clocks, which start when they hear of the new ones.
const GIVE_UP_MARGIN: Span = Span::millis(100);

/// What came of a step.
enum Heard {
    Order(EngineName, OrderAnswer),
    Report(EngineName, Option<(WeightsEdition, bool)>),
    Stood(EngineName),
}

pub async fn bring(
    orders: Arc<dyn EngineOrders>,
    shelf: Shelf,
    executor: ExecutorClient,
    me: NodeId,
    timing: Timing,
) {
    let mut bringer = WeightsRollout::expediting_after(timing.old_weights_span + GIVE_UP_MARGIN);
    let mut present_term = Term(0);
    let mut standing: BTreeSet<EngineName> = BTreeSet::new();
    let mut asked: BTreeSet<EngineName> = BTreeSet::new();
    let mut under_way: tokio::task::JoinSet<Heard> = tokio::task::JoinSet::new();
    loop {
        let seen = look(&shelf);
        let now = boot_now();
        bringer.note_disturbed(seen.disturbed);
        match seen.named_conductor.filter(|(_, until)| now < *until) {
            Some((term, _)) => {
                if term != present_term {
                    bringer.forget();
                    present_term = term;
                }
                let may_order = seen.conductor.is_some_and(|(held, _)| held == term);
                for step in bringer.next_steps(&seen.state, may_order, now) {
                    let engine = engine_of(&step).clone();
                    match step {
                        RolloutStep::SetStanding { engine, standing: wanted } => {
                            if standing.insert(engine.clone()) {
                                event!(info, "engine_stands", engine = engine, closed = wanted.closed, term = term);
                                let command =
                                    Command::SetEngineStatus { term, engine: engine.clone(), status: wanted };
                                under_way.spawn(stand(executor.clone(), engine, command));
                            }
                        }
                        _ if !asked.insert(engine.clone()) => {}
                        RolloutStep::Order { engine, address, model, weights } => {
                            event!(info, "order_given", engine = engine, weights = weights, term = term);
                            let order = LoadOrder { model, weights, holder: me, term };
                            under_way.spawn(give(Arc::clone(&orders), Arc::clone(&shelf), engine, address, order));
                        }
                        RolloutStep::OrderIfWaiting { engine, address, model, weights } => {
                            let order = LoadOrder { model, weights, holder: me, term };
                            let giving =
                                give_if_waiting(Arc::clone(&orders), Arc::clone(&shelf), engine, address, order);
                            under_way.spawn(giving);
                        }
                        RolloutStep::QueryWeights { engine, address, model } => {
                            under_way.spawn(look_at(Arc::clone(&orders), engine, address, model));
                        }
                    }
                }
            }
            None => {
                bringer.forget();
                bringer.note_wanted(&seen.state, now);
                present_term = Term(0);
            }
        }
        let due = bringer.next_due().map_or(LONGEST_PAUSE, |due| due.since(boot_now()).max(SHORTEST_PAUSE));
        tokio::select! {
            Some(heard) = under_way.join_next() => {
                let now = boot_now();
                match heard {
                    Ok(Heard::Order(engine, answer)) => {
                        asked.remove(&engine);
                        bringer.record_answer(&engine, answer, now);
                    }
                    Ok(Heard::Report(engine, report)) => {
                        asked.remove(&engine);
                        bringer.record_report(&engine, report, now);
                    }
                    Ok(Heard::Stood(engine)) => {
                        standing.remove(&engine);
                    }
                    Err(fault) => event!(error, "bringing_fault", reason = fault),
                }
            }
            () = await_change(&shelf, due) => {}
        }
    }
}

fn engine_of(step: &RolloutStep) -> &EngineName {
    match step {
        RolloutStep::SetStanding { engine, .. }
        | RolloutStep::Order { engine, .. }
        | RolloutStep::OrderIfWaiting { engine, .. }
        | RolloutStep::QueryWeights { engine, .. } => engine,
    }
}

/// A standing is in force on every router once this is answered.
async fn stand(executor: ExecutorClient, engine: EngineName, command: Command) -> Heard {
    executor.submit(RequestId::random(), command, STAND_LIMIT).await;
    Heard::Stood(engine)
}

async fn give(
    orders: Arc<dyn EngineOrders>,
    shelf: Shelf,
    engine: EngineName,
    address: String,
    order: LoadOrder,
) -> Heard {
    let term = order.term;
    let gate = Box::new(move || {
        let still_held = look(&shelf).conductor.is_some_and(|(held, until)| held == term && boot_now() < until);
        if still_held { Ok(()) } else { Err("the duty is no longer held".to_owned()) }
    });
    let giving = async {
        let stream = open_stream(&address, CONNECT_LIMIT).await?;
        let replied = stream.send_gated(orders.load_request(&order), gate).await.map_err(|fault| fault.reason)?;
        Ok::<_, String>(orders.classify_answer(replied.status))
    };
    let outcome = tokio::time::timeout(ANSWER_LIMIT.as_duration(), giving).await;
    let answer = outcome.unwrap_or_else(|_| Err("limit passed".into())).unwrap_or_else(|reason| {
        event!(warn, "order_fault", engine = engine, reason = reason);
        OrderAnswer::NoAnswer
    });
    Heard::Order(engine, answer)
}

/// Gives an order if requests wait at the engine that would begin on the old weights.
async fn give_if_waiting(
    orders: Arc<dyn EngineOrders>,
    shelf: Shelf,
    engine: EngineName,
    address: String,
    order: LoadOrder,
) -> Heard {
    let report = report_of(&orders, &address).await;
    if report.is_some_and(|report| report.waiting == 0) {
        return Heard::Order(engine, OrderAnswer::NotNeeded);
    }
    event!(info, "order_given_out_of_turn", engine = engine, weights = order.weights, term = order.term);
    give(orders, shelf, engine, address, order).await
}

async fn look_at(orders: Arc<dyn EngineOrders>, engine: EngineName, address: String, model: ModelName) -> Heard {
    let report = report_of(&orders, &address).await;
    let told = report.map(|report| (report.weights.get(&model).copied().unwrap_or_default(), report.is_loading));
    Heard::Report(engine, told)
}

async fn report_of(orders: &Arc<dyn EngineOrders>, address: &str) -> Option<EngineReport> {
    let asked = ask_whole(address, orders.report_request(), CONNECT_LIMIT, REPORT_BYTES).await;
    let (_, _, body) = asked.ok().filter(|(status, _, _)| status.is_success())?;
    orders.parse_report(&body).ok()
}
