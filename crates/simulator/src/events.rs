//! Events of the simulated world and their dispatch.

use crate::prelude::*;

/// An event in the simulated world.
#[derive(Clone, Debug)]
pub enum SimEvent {
    KeeperTick {
        keeper: usize,
        incarnation: u64,
    },
    KeeperInput {
        keeper: usize,
        incarnation: Option<u64>,
        input: Input,
    },
    DiskSynced {
        keeper: usize,
        incarnation: u64,
    },
    NodeTick {
        node: usize,
        incarnation: u64,
    },
    NodeInput {
        node: usize,
        incarnation: u64,
        input: SubscriptionInput,
    },
    RouterConnects {
        node: usize,
        incarnation: u64,
        router: NodeId,
    },
    RouterInput {
        node: usize,
        router: NodeId,
        message: AgentToRouter,
    },
    NodeConnects {
        node: usize,
        incarnation: u64,
        address: String,
    },
    DeliverToKeeper {
        link: usize,
    },
    DeliverToNode {
        link: usize,
    },
    AcceptLink {
        link: usize,
    },
    LinkClosed {
        link: usize,
    },
    Traffic {
        node: usize,
    },
    RequestArrives {
        node: usize,
        caller: usize,
        request: SimRequest,
    },
    RunInput {
        to: AttemptAddress,
        input: AttemptInput<SimPiece>,
    },
    AttemptArrives {
        engine: usize,
        request: Box<EngineRequest>,
    },
    EngineStep {
        engine: usize,
        boot: u64,
        attempt: String,
    },
    PrefillArrives {
        engine: usize,
        request: Box<EngineRequest>,
    },
    PrefillDone {
        to: AttemptAddress,
    },
    ExtendLimit {
        engine: usize,
        attempt: String,
        span: Span,
    },
    AttemptClosed {
        engine: usize,
        attempt: String,
    },
    SendOrder {
        keeper: usize,
        incarnation: u64,
        engine: usize,
        order: SimOrder,
    },
    OrderArrives {
        engine: usize,
        order: SimOrder,
    },
    WeightsLoaded {
        engine: usize,
        boot: u64,
        weights: WeightsEdition,
    },
    AdapterLoaded {
        engine: usize,
        boot: u64,
        adapter: AdapterId,
    },
    ReportDemand {
        node: usize,
    },
    AdapterLoss(Loss),
    Restore(RestoreTarget),
    RaiseRevision,
    /// An operator binds a tenant to another of its adapters.
    RebindAdapter,
    /// An engine's answers name an adapter of another tenant.
    ServeForeignAdapter {
        engine: usize,
        span: Span,
    },
    PollSources {
        node: usize,
        incarnation: u64,
    },
    CheckWork {
        node: usize,
        incarnation: u64,
    },
    RetrySubmission {
        node: usize,
        router: NodeId,
        ticket: u64,
        submission: Submission,
        until: Instant,
    },
    CallerTimeout {
        caller: usize,
    },
    CallerDisconnected(CallerDisconnect),
    CallerReconnects {
        node: usize,
        caller: usize,
    },
    ResumeArrives {
        node: usize,
        caller: usize,
        forwarded: bool,
    },
    CallerRetries {
        node: usize,
        request: SimRequest,
    },
    KillKeeper {
        keeper: usize,
    },
    IsolateHolder {
        repeats: u64,
    },
    RestartAll,
    HealNetwork,
    WithdrawKeyBehind {
        node: usize,
        key_hash: String,
    },
    OperatorChange,
    /// An operator removes a tenant.
    TenantLeaves,
    /// An operator adds a removed tenant again, with a wall or without.
    TenantReturns {
        number: usize,
        walled: bool,
    },
    ListingChange,
    Fault(Fault),
    /// Ends a retiring keeper once it has left the view, at `until` at the latest.
    StopKeeper {
        keeper: usize,
        incarnation: u64,
        until: Instant,
    },
    Sample,
}

impl World {
    /// Dispatches an event to the machine it happens to.
    pub(crate) fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::KeeperTick { keeper, incarnation } => {
                if self.keepers[keeper].incarnation != incarnation || self.keepers[keeper].coordinator.is_none() {
                    return;
                }
                self.step_keeper(keeper, Some(incarnation), Input::Tick);
                self.run_duties(keeper);
                self.schedule_after(Span::millis(50), SimEvent::KeeperTick { keeper, incarnation });
            }
            SimEvent::KeeperInput { keeper, incarnation, input } => self.step_keeper(keeper, incarnation, input),
            SimEvent::DiskSynced { keeper, incarnation } => self.handle_disk_synced(keeper, incarnation),
            SimEvent::NodeTick { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].subscription.is_some() {
                    self.step_node(node, incarnation, SubscriptionInput::Tick);
                    self.schedule_after(Span::millis(50), SimEvent::NodeTick { node, incarnation });
                }
            }
            SimEvent::NodeInput { node, incarnation, input } => self.step_node(node, incarnation, input),
            SimEvent::RouterConnects { node, incarnation, router } => self.connect_router(node, incarnation, router),
            SimEvent::RouterInput { node, router, message } => self.step_router(node, router, message),
            SimEvent::NodeConnects { node, incarnation, address } => {
                self.connect_to_keeper(node, incarnation, &address)
            }
            SimEvent::DeliverToKeeper { link } => self.deliver_message(link, true),
            SimEvent::DeliverToNode { link } => self.deliver_message(link, false),
            SimEvent::AcceptLink { link } => self.accept_link(link),
            SimEvent::LinkClosed { link } => self.close_link(link),
            SimEvent::Traffic { node } => {
                match self.scenario {
                    Some(_) => self.send_adapter_request(node),
                    None => self.send_random_request(node),
                }
                let pause = Span::millis(self.rng.between(40, 260));
                self.schedule_after(pause, SimEvent::Traffic { node });
            }
            SimEvent::RequestArrives { node, caller, request } => self.admit_request(node, caller, request),
            SimEvent::RunInput { to, input } => self.handle_engine_input(to, input),
            SimEvent::AttemptArrives { engine, request } => self.handle_attempt(engine, *request),
            SimEvent::EngineStep { engine, boot, attempt } => self.step_attempt(engine, boot, attempt),
            SimEvent::PrefillArrives { engine, request } => self.handle_prefill(engine, *request),
            SimEvent::PrefillDone { to } => self.handle_prefill_done(to),
            SimEvent::ExtendLimit { engine, attempt, span } => self.extend_attempt_limit(engine, &attempt, span),
            SimEvent::AttemptClosed { engine, attempt } => self.handle_attempt_closed(engine, &attempt),
            SimEvent::SendOrder { keeper, incarnation, engine, order } => {
                self.send_order(keeper, incarnation, engine, order)
            }
            SimEvent::OrderArrives { engine, order } => self.handle_order(engine, order),
            SimEvent::WeightsLoaded { engine, boot, weights } => self.finish_weights_load(engine, boot, weights),
            SimEvent::AdapterLoaded { engine, boot, adapter } => self.finish_adapter_load(engine, boot, adapter),
            SimEvent::ReportDemand { node } => self.report_demand(node),
            SimEvent::AdapterLoss(loss) => self.inject_loss(loss),
            SimEvent::Restore(target) => self.restore_lost(target),
            SimEvent::RaiseRevision => self.raise_revision(),
            SimEvent::RebindAdapter => self.rebind(),
            SimEvent::ServeForeignAdapter { engine, span } => {
                self.set_behavior(engine, EngineBehavior::NamesForeign, span)
            }
            SimEvent::PollSources { node, incarnation } => self.poll_sources(node, incarnation),
            SimEvent::CheckWork { node, incarnation } => self.check_work_periodically(node, incarnation),
            SimEvent::RetrySubmission { node, router, ticket, submission, until } => {
                self.send_submission(node, router, ticket, submission, until);
            }
            SimEvent::CallerTimeout { caller } => self.time_out_caller(caller),
            SimEvent::CallerDisconnected(disconnect) => self.handle_caller_disconnect(disconnect),
            SimEvent::CallerReconnects { node, caller } => self.reconnect_caller(node, caller),
            SimEvent::ResumeArrives { node, caller, forwarded } => self.resume(node, caller, forwarded),
            SimEvent::CallerRetries { node, request } => self.retry_request(node, request),
            SimEvent::IsolateHolder { repeats } => self.isolate_holder(repeats),
            SimEvent::KillKeeper { keeper } => self.kill_keeper(keeper),
            SimEvent::RestartAll => self.restart_all(),
            SimEvent::HealNetwork => self.heal_except_held(true),
            SimEvent::WithdrawKeyBehind { node, key_hash } => self.withdraw_key_behind(node, &key_hash),
            SimEvent::OperatorChange => self.operator_change(),
            SimEvent::TenantLeaves => self.remove_tenant(),
            SimEvent::TenantReturns { number, walled } => self.return_tenant(number, walled),
            SimEvent::ListingChange => self.change_random_listing(),
            SimEvent::StopKeeper { keeper, incarnation, until } => self.stop_keeper(keeper, incarnation, until),
            SimEvent::Fault(fault) => self.inject_fault(fault),
            SimEvent::Sample => {
                self.record_samples();
                self.schedule_after(Span::millis(100), SimEvent::Sample);
            }
        }
    }
}
