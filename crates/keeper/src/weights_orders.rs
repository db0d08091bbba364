//! Executes the steps of weights rollouts while this keeper holds the conductor duty. The duty is checked again in
//! the call that writes the first byte of an order, so that a holder that was paused past its lease sends none.

use crate::prelude::*;

const CONNECT_TIMEOUT: Span = Span::millis(600);
const ORDER_TIMEOUT: Span = Span::millis(1500);
const MAX_REPORT_BYTES: usize = 1 << 20;
const STATUS_TIMEOUT: Span = Span::seconds(5);
/// The least time between two rounds of steps.
const MIN_STEP_DELAY: Span = Span::millis(30);
const MAX_STEP_DELAY: Span = Span::seconds(2);

/// Routers stop using old weights by their own clocks, which start when they receive the new edition.
const GIVE_UP_MARGIN: Span = Span::millis(100);

/// The result of a rollout step.
enum StepOutcome {
    Order(EngineName, OrderAnswer),
    Report(EngineName, Option<(WeightsEdition, bool)>),
    StatusSettled(EngineName),
}

/// Runs weights rollouts while this keeper holds the conductor duty.
pub async fn run_weights_rollout(
    orders: Arc<dyn EngineOrders>,
    publisher: SharedPublisher,
    executor: ExecutorClient,
    me: NodeId,
    timing: Timing,
) {
    let mut rollout = WeightsRollout::expediting_after(timing.old_weights_span + GIVE_UP_MARGIN);
    let mut current_term = Term(0);
    let mut status_updates: BTreeSet<EngineName> = BTreeSet::new();
    let mut outstanding: BTreeSet<EngineName> = BTreeSet::new();
    let mut tasks: tokio::task::JoinSet<StepOutcome> = tokio::task::JoinSet::new();
    loop {
        let snapshot = latest_snapshot(&publisher);
        let now = boot_now();
        rollout.note_unsettled_until(snapshot.last_restart + timing.settle_span);
        match snapshot.leased_conductor.filter(|(_, until)| now < *until) {
            Some((term, _)) => {
                if term != current_term {
                    rollout.forget();
                    current_term = term;
                }
                let may_order = snapshot.conductor.is_some_and(|(held_term, _)| held_term == term);
                for step in rollout.next_steps(&snapshot.state, may_order, now) {
                    let engine = engine_of(&step).clone();
                    match step {
                        RolloutStep::SetEngineStatus { engine, status } => {
                            if status_updates.insert(engine.clone()) {
                                event!(info, "engine_stands", engine = engine, closed = status.closed, term = term);
                                let command = Command::SetEngineStatus { term, engine: engine.clone(), status };
                                tasks.spawn(submit_status(executor.clone(), engine, command));
                            }
                        }
                        _ if !outstanding.insert(engine.clone()) => {}
                        RolloutStep::Order { engine, address, model, weights } => {
                            event!(info, "order_given", engine = engine, weights = weights, term = term);
                            let order = LoadOrder { model, weights, holder: me, term };
                            tasks.spawn(send_order(
                                Arc::clone(&orders),
                                Arc::clone(&publisher),
                                engine,
                                address,
                                order,
                            ));
                        }
                        RolloutStep::OrderIfWaiting { engine, address, model, weights, counts_in_flight } => {
                            let order = LoadOrder { model, weights, holder: me, term };
                            let sending = send_order_if_waiting(
                                Arc::clone(&orders),
                                Arc::clone(&publisher),
                                engine,
                                address,
                                order,
                                counts_in_flight,
                            );
                            tasks.spawn(sending);
                        }
                        RolloutStep::QueryWeights { engine, address, model } => {
                            tasks.spawn(query_weights(Arc::clone(&orders), engine, address, model));
                        }
                    }
                }
            }
            None => {
                rollout.forget();
                rollout.note_wanted(&snapshot.state, now);
                current_term = Term(0);
            }
        }
        let delay = rollout.next_due().map_or(MAX_STEP_DELAY, |due| due.since(boot_now()).max(MIN_STEP_DELAY));
        tokio::select! {
            Some(outcome) = tasks.join_next() => {
                let now = boot_now();
                match outcome {
                    Ok(StepOutcome::Order(engine, answer)) => {
                        outstanding.remove(&engine);
                        rollout.record_answer(&engine, answer, now);
                    }
                    Ok(StepOutcome::Report(engine, report)) => {
                        outstanding.remove(&engine);
                        rollout.record_report(&engine, report, now);
                    }
                    Ok(StepOutcome::StatusSettled(engine)) => {
                        status_updates.remove(&engine);
                    }
                    Err(fault) => event!(error, "bringing_fault", reason = fault),
                }
            }
            () = wait_for_change(&publisher, delay) => {}
        }
    }
}

fn engine_of(step: &RolloutStep) -> &EngineName {
    match step {
        RolloutStep::SetEngineStatus { engine, .. }
        | RolloutStep::Order { engine, .. }
        | RolloutStep::OrderIfWaiting { engine, .. }
        | RolloutStep::QueryWeights { engine, .. } => engine,
    }
}

/// Submits an engine status; the answer comes once it is in force on every router.
async fn submit_status(executor: ExecutorClient, engine: EngineName, command: Command) -> StepOutcome {
    executor.submit(RequestId::random(), command, STATUS_TIMEOUT).await;
    StepOutcome::StatusSettled(engine)
}

/// Sends an order, if this keeper still holds the duty when the first byte is written.
async fn send_order(
    orders: Arc<dyn EngineOrders>,
    publisher: SharedPublisher,
    engine: EngineName,
    address: String,
    order: LoadOrder,
) -> StepOutcome {
    let term = order.term;
    let gate = Box::new(move || {
        let holds_duty = latest_snapshot(&publisher)
            .conductor
            .is_some_and(|(held_term, until)| held_term == term && boot_now() < until);
        if holds_duty { Ok(()) } else { Err("this keeper no longer holds the conductor duty".to_owned()) }
    });
    let sending = async {
        let stream = open_stream(&address, CONNECT_TIMEOUT).await?;
        let response = stream.send_gated(orders.load_request(&order), gate).await.map_err(|fault| fault.reason)?;
        Ok::<_, String>(orders.classify_answer(response.status))
    };
    let outcome = tokio::time::timeout(ORDER_TIMEOUT.as_duration(), sending).await;
    let answer = outcome.unwrap_or_else(|_| Err("timed out".into())).unwrap_or_else(|reason| {
        event!(warn, "order_fault", engine = engine, reason = reason);
        OrderAnswer::NoAnswer
    });
    event!(info, "order_answered", engine = engine, answer = format!("{answer:?}"));
    StepOutcome::Order(engine, answer)
}

/// Sends an order unless the engine reports that no requests wait, which would otherwise start on the old weights.
/// With `counts_in_flight` those that hold a slot count as waiting.
async fn send_order_if_waiting(
    orders: Arc<dyn EngineOrders>,
    publisher: SharedPublisher,
    engine: EngineName,
    address: String,
    order: LoadOrder,
    counts_in_flight: bool,
) -> StepOutcome {
    let report = fetch_report(&orders, &address).await;
    let is_needed = |report: &EngineReport| report.waiting > 0 || (counts_in_flight && report.running > 0);
    if let Some(report) = report.filter(|report| !is_needed(report)) {
        if report.running > 0 {
            event!(info, "order_withheld", engine = engine, running = report.running);
        }
        return StepOutcome::Order(engine, OrderAnswer::NotNeeded);
    }
    event!(info, "order_given_out_of_turn", engine = engine, weights = order.weights, term = order.term);
    send_order(orders, publisher, engine, address, order).await
}

async fn query_weights(
    orders: Arc<dyn EngineOrders>,
    engine: EngineName,
    address: String,
    model: ModelName,
) -> StepOutcome {
    let report = fetch_report(&orders, &address).await;
    let reported = report.map(|report| (report.weights.get(&model).copied().unwrap_or_default(), report.is_loading));
    StepOutcome::Report(engine, reported)
}

async fn fetch_report(orders: &Arc<dyn EngineOrders>, address: &str) -> Option<EngineReport> {
    let response = fetch_response(address, orders.report_request(), CONNECT_TIMEOUT, MAX_REPORT_BYTES).await;
    let (_, _, body) = response.ok().filter(|(status, _, _)| status.is_success())?;
    orders.parse_report(&body).ok()
}
