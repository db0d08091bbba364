//! What can happen in the world, and who it happens to.

use crate::prelude::*;

#[derive(Clone, Debug)]
pub enum SimEvent {
    KeeperPulse {
        keeper: usize,
        life: u64,
    },
    KeeperInput {
        keeper: usize,
        life: Option<u64>,
        input: Input,
    },
    Synced {
        keeper: usize,
        life: u64,
    },
    NodePulse {
        node: usize,
        life: u64,
    },
    NodeInput {
        node: usize,
        life: u64,
        input: SubscriptionInput,
    },
    RouterDials {
        node: usize,
        life: u64,
        router: NodeId,
    },
    RouterInput {
        node: usize,
        router: NodeId,
        message: AgentToRouter,
    },
    Dialled {
        node: usize,
        life: u64,
        address: String,
    },
    PumpUp {
        link: usize,
    },
    PumpDown {
        link: usize,
    },
    TakesUp {
        link: usize,
    },
    LinkEnds {
        link: usize,
    },
    Traffic {
        node: usize,
    },
    Enters {
        node: usize,
        caller: usize,
        request: SimRequest,
    },
    RunInput {
        to: AttemptPlaceName,
        input: AttemptInput<SimPiece>,
    },
    EngineGets {
        engine: usize,
        ask: Box<EngineAsk>,
    },
    EngineWorks {
        engine: usize,
        boot: u64,
        attempt: String,
    },
    EnginePrefills {
        engine: usize,
        ask: Box<EngineAsk>,
    },
    Prefilled {
        to: AttemptPlaceName,
    },
    EngineAllows {
        engine: usize,
        attempt: String,
        span: Span,
    },
    EngineLosesCaller {
        engine: usize,
        attempt: String,
    },
    OrderLeaves {
        keeper: usize,
        life: u64,
        engine: usize,
        order: SimOrder,
    },
    Ordered {
        engine: usize,
        order: SimOrder,
    },
    EngineLoads {
        engine: usize,
        boot: u64,
        weights: WeightsEdition,
    },
    AdapterLoads {
        engine: usize,
        boot: u64,
        adapter: AdapterId,
    },
    TellsDemand {
        node: usize,
    },
    AdapterLoss(Loss),
    Returns(Returning),
    RaisesRevision,
    /// An operator binds a tenant to another of its adapters.
    Rebinds,
    /// An engine's answers name an adapter of another tenant.
    NamesForeign {
        engine: usize,
        span: Span,
    },
    Polls {
        node: usize,
        life: u64,
    },
    WorkLook {
        node: usize,
        life: u64,
    },
    ClaimAgain {
        node: usize,
        router: NodeId,
        ticket: u64,
        submission: Submission,
        until: Instant,
    },
    PatienceEnds {
        caller: usize,
    },
    CallerLeft(CallerLeft),
    ComesBack {
        node: usize,
        caller: usize,
    },
    Resumes {
        node: usize,
        caller: usize,
        carried: bool,
    },
    AsksAgain {
        node: usize,
        request: SimRequest,
    },
    Loses {
        keeper: usize,
    },
    IsolatesHolder {
        again: u64,
    },
    Revives,
    Heals,
    WithdrawsBehind {
        node: usize,
        key_hash: String,
    },
    Operator,
    Platform,
    Fault(Fault),
    /// A keeper that was told to stop ends once it has left the view, at `until` at the latest.
    StopKeeper {
        keeper: usize,
        life: u64,
        until: Instant,
    },
    Sample,
}

impl World {
    pub(crate) fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::KeeperPulse { keeper, life } => {
                if self.keepers[keeper].life != life || self.keepers[keeper].coordinator.is_none() {
                    return;
                }
                self.step_keeper(keeper, Some(life), Input::Tick);
                self.tend_keeper(keeper);
                self.later(Span::millis(50), SimEvent::KeeperPulse { keeper, life });
            }
            SimEvent::KeeperInput { keeper, life, input } => self.step_keeper(keeper, life, input),
            SimEvent::Synced { keeper, life } => self.end_sync(keeper, life),
            SimEvent::NodePulse { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].subscription.is_some() {
                    self.step_node(node, life, SubscriptionInput::Tick);
                    self.later(Span::millis(50), SimEvent::NodePulse { node, life });
                }
            }
            SimEvent::NodeInput { node, life, input } => self.step_node(node, life, input),
            SimEvent::RouterDials { node, life, router } => self.feed_router(node, life, router),
            SimEvent::RouterInput { node, router, message } => self.step_router(node, router, message),
            SimEvent::Dialled { node, life, address } => self.connect(node, life, &address),
            SimEvent::PumpUp { link } => self.pump(link, true),
            SimEvent::PumpDown { link } => self.pump(link, false),
            SimEvent::TakesUp { link } => self.take_up(link),
            SimEvent::LinkEnds { link } => self.finish_link(link),
            SimEvent::Traffic { node } => {
                match self.scenario {
                    Some(_) => self.call_adapted(node),
                    None => self.call(node),
                }
                let pause = Span::millis(self.draw.between(40, 260));
                self.later(pause, SimEvent::Traffic { node });
            }
            SimEvent::Enters { node, caller, request } => self.enter(node, caller, request),
            SimEvent::RunInput { to, input } => self.hear_engine(to, input),
            SimEvent::EngineGets { engine, ask } => self.engine_gets(engine, *ask),
            SimEvent::EngineWorks { engine, boot, attempt } => self.engine_works(engine, boot, attempt),
            SimEvent::EnginePrefills { engine, ask } => self.engine_prefills(engine, *ask),
            SimEvent::Prefilled { to } => self.hear_prefilled(to),
            SimEvent::EngineAllows { engine, attempt, span } => self.engine_allows(engine, &attempt, span),
            SimEvent::EngineLosesCaller { engine, attempt } => self.engine_loses_caller(engine, &attempt),
            SimEvent::OrderLeaves { keeper, life, engine, order } => self.order_leaves(keeper, life, engine, order),
            SimEvent::Ordered { engine, order } => self.engine_ordered(engine, order),
            SimEvent::EngineLoads { engine, boot, weights } => self.engine_loads(engine, boot, weights),
            SimEvent::AdapterLoads { engine, boot, adapter } => self.engine_holds(engine, boot, adapter),
            SimEvent::TellsDemand { node } => self.tell_demand(node),
            SimEvent::AdapterLoss(loss) => self.lose(loss),
            SimEvent::Returns(returning) => self.hear_returns(returning),
            SimEvent::RaisesRevision => self.raise_revision(),
            SimEvent::Rebinds => self.rebind(),
            SimEvent::NamesForeign { engine, span } => self.misbehave(engine, Manner::NamesForeign, span),
            SimEvent::Polls { node, life } => self.poll_sources(node, life),
            SimEvent::WorkLook { node, life } => self.work_pulse(node, life),
            SimEvent::ClaimAgain { node, router, ticket, submission, until } => {
                self.say_submission(node, router, ticket, submission, until);
            }
            SimEvent::PatienceEnds { caller } => self.lose_patience(caller),
            SimEvent::CallerLeft(left) => self.hear_caller_left(left),
            SimEvent::ComesBack { node, caller } => self.hear_comes_back(node, caller),
            SimEvent::Resumes { node, caller, carried } => self.resume(node, caller, carried),
            SimEvent::AsksAgain { node, request } => self.ask_again(node, request),
            SimEvent::IsolatesHolder { again } => self.isolate_holder(again),
            SimEvent::Loses { keeper } => self.kill_keeper(keeper),
            SimEvent::Revives => self.revive(),
            SimEvent::Heals => self.heal_but_held(true),
            SimEvent::WithdrawsBehind { node, key_hash } => self.hear_withdraws_behind(node, &key_hash),
            SimEvent::Operator => self.operate(),
            SimEvent::Platform => self.change_listing(),
            SimEvent::StopKeeper { keeper, life, until } => self.stop_keeper(keeper, life, until),
            SimEvent::Fault(fault) => self.cause(fault),
            SimEvent::Sample => {
                self.sample();
                self.later(Span::millis(100), SimEvent::Sample);
            }
        }
    }
}
