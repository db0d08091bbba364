//! What can happen in the world, and who it happens to.

use crate::prelude::*;

#[derive(Clone, Debug)]
pub enum Happening {
    KeeperPulse { keeper: usize, life: u64 },
    KeeperInput { keeper: usize, life: Option<u64>, input: Input },
    CarryOut { keeper: usize, life: u64, plan: Vec<Effect> },
    NodePulse { node: usize, life: u64 },
    NodeInput { node: usize, life: u64, input: CourierInput },
    RouterDials { node: usize, life: u64, router: NodeId },
    RouterInput { node: usize, router: NodeId, message: RouterDown },
    Dialled { node: usize, life: u64, address: String },
    PumpUp { link: usize },
    PumpDown { link: usize },
    LinkEnds { link: usize },
    Traffic { node: usize },
    Enters { node: usize, caller: usize, request: SimRequest },
    RunInput { to: ShotPlaceName, input: CarriageInput<SimPiece> },
    EngineGets { engine: usize, ask: Box<EngineAsk> },
    EngineWorks { engine: usize, boot: u64, shot: String },
    EnginePrefills { engine: usize, ask: Box<EngineAsk> },
    Prefilled { to: ShotPlaceName },
    EngineAllows { engine: usize, shot: String, span: Span },
    EngineLosesCaller { engine: usize, shot: String },
    OrderLeaves { keeper: usize, life: u64, engine: usize, order: SimOrder },
    Ordered { engine: usize, order: SimOrder },
    EngineLoads { engine: usize, boot: u64, weights: WeightsEdition },
    Polls { node: usize, life: u64 },
    WorkLook { node: usize, life: u64 },
    ClaimAgain { node: usize, router: NodeId, ticket: u64, submission: Submission, until: Instant },
    PatienceEnds { caller: usize },
    CallerLeft(CallerLeft),
    ComesBack { node: usize, caller: usize },
    Resumes { node: usize, caller: usize, carried: bool },
    AsksAgain { node: usize, request: SimRequest },
    Loses { keeper: usize },
    IsolatesHolder { again: u64 },
    Revives,
    Heals,
    WithdrawsBehind { node: usize, key_hash: String },
    Operator,
    Platform,
    Fault(Fault),
    StopKeeper { keeper: usize, life: u64 },
    Sample,
}

impl World {
    pub(crate) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::KeeperPulse { keeper, life } => {
                if self.keepers[keeper].life != life || self.keepers[keeper].warden.is_none() {
                    return;
                }
                self.step_keeper(keeper, Some(life), Input::Pulse);
                self.tend_keeper(keeper);
                self.later(Span::millis(50), Happening::KeeperPulse { keeper, life });
            }
            Happening::KeeperInput { keeper, life, input } => self.step_keeper(keeper, life, input),
            Happening::CarryOut { keeper, life, plan } => self.carry_out(keeper, life, plan),
            Happening::NodePulse { node, life } => {
                if self.nodes[node].life == life && self.nodes[node].courier.is_some() {
                    self.step_node(node, life, CourierInput::Pulse);
                    self.later(Span::millis(50), Happening::NodePulse { node, life });
                }
            }
            Happening::NodeInput { node, life, input } => self.step_node(node, life, input),
            Happening::RouterDials { node, life, router } => self.feed_router(node, life, router),
            Happening::RouterInput { node, router, message } => self.step_router(node, router, message),
            Happening::Dialled { node, life, address } => self.connect(node, life, &address),
            Happening::PumpUp { link } => self.pump(link, true),
            Happening::PumpDown { link } => self.pump(link, false),
            Happening::LinkEnds { link } => self.finish_link(link),
            Happening::Traffic { node } => {
                self.call(node);
                let pause = Span::millis(self.draw.between(40, 260));
                self.later(pause, Happening::Traffic { node });
            }
            Happening::Enters { node, caller, request } => self.enter(node, caller, request),
            Happening::RunInput { to, input } => self.hear_engine(to, input),
            Happening::EngineGets { engine, ask } => self.engine_gets(engine, *ask),
            Happening::EngineWorks { engine, boot, shot } => self.engine_works(engine, boot, shot),
            Happening::EnginePrefills { engine, ask } => self.engine_prefills(engine, *ask),
            Happening::Prefilled { to } => self.hear_prefilled(to),
            Happening::EngineAllows { engine, shot, span } => self.engine_allows(engine, &shot, span),
            Happening::EngineLosesCaller { engine, shot } => self.engine_loses_caller(engine, &shot),
            Happening::OrderLeaves { keeper, life, engine, order } => self.order_leaves(keeper, life, engine, order),
            Happening::Ordered { engine, order } => self.engine_ordered(engine, order),
            Happening::EngineLoads { engine, boot, weights } => self.engine_loads(engine, boot, weights),
            Happening::Polls { node, life } => self.poll_sources(node, life),
            Happening::WorkLook { node, life } => self.work_pulse(node, life),
            Happening::ClaimAgain { node, router, ticket, submission, until } => {
                self.say_submission(node, router, ticket, submission, until);
            }
            Happening::PatienceEnds { caller } => self.lose_patience(caller),
            Happening::CallerLeft(left) => self.hear_caller_left(left),
            Happening::ComesBack { node, caller } => self.hear_comes_back(node, caller),
            Happening::Resumes { node, caller, carried } => self.resume(node, caller, carried),
            Happening::AsksAgain { node, request } => self.ask_again(node, request),
            Happening::IsolatesHolder { again } => self.isolate_holder(again),
            Happening::Loses { keeper } => self.kill_keeper(keeper),
            Happening::Revives => self.revive(),
            Happening::Heals => self.heal_but_held(true),
            Happening::WithdrawsBehind { node, key_hash } => self.hear_withdraws_behind(node, &key_hash),
            Happening::Operator => self.operate(),
            Happening::Platform => self.change_listing(),
            Happening::StopKeeper { keeper, life } => {
                if self.keepers[keeper].life == life {
                    self.kill_keeper(keeper);
                }
            }
            Happening::Fault(fault) => self.cause(fault),
            Happening::Sample => {
                self.sample();
                self.later(Span::millis(100), Happening::Sample);
            }
        }
    }
}
