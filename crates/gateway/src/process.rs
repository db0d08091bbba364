//! The gateway process: starts its tasks, serves until stopped, then drains and ends.

use crate::prelude::*;

/// The configuration of a gateway process.
pub struct GatewayPlan {
    pub callers: std::net::SocketAddr,
    pub readiness: Option<std::net::SocketAddr>,
    /// The address on which other routers query this one.
    pub relay: Option<std::net::SocketAddr>,
    pub agent_address: String,
    pub zone: Zone,
    /// All time limits, including those of leases, old weights and draining.
    pub timing: Timing,
    pub retry_bounds: RetryBounds,
    /// The limits of this process, of which each of its servers may fill a share.
    pub limits: ProcessLimits,
    pub protocol: Arc<dyn Protocol>,
    /// The mechanisms disabled for trials.
    pub disabled: DisabledMechanisms,
}

const CALLERS_SHARE: Share = Share { memory_divisor: 4, descriptors_divisor: 2 };
/// Every router of the fleet may follow this one.
const RELAY_SHARE: Share = Share { memory_divisor: 8, descriptors_divisor: 4 };
const READINESS_SHARE: Share = Share { memory_divisor: 32, descriptors_divisor: 16 };

/// Tells a running gateway to drain and stop.
#[derive(Clone, Default)]
pub struct StopSignal(Arc<tokio::sync::Notify>);

impl StopSignal {
    /// Tells the gateway to drain and stop.
    pub fn stop(&self) {
        self.0.notify_one();
    }
}

/// Serves until stopped.
pub fn run_gateway(plan: GatewayPlan, stop: StopSignal) -> Result<(), Report> {
    configure_allocator();
    let node = NodeId::random();
    let callers = bind(plan.callers).map_err(|error| miette!("callers: {}: {error}", plan.callers))?;
    let address = callers.local_addr().map_err(|error| miette!("callers: {error}"))?;
    let shared = Arc::new(SharedState::with_timing(plan.timing));
    let old_weights_limits = OldWeightsLimits {
        send: plan.timing.old_weights_span,
        start: plan.timing.old_weights_start_span,
        settle: Some(plan.timing.settle_span),
    };
    shared.publish(FleetSnapshot { old_weights_limits, ..FleetSnapshot::default() });
    let (scheduler, changes) =
        start_scheduler(node, plan.zone.clone(), Arc::clone(&shared), plan.retry_bounds, plan.disabled.clone());
    let bounds = Arc::new(ConnectionTimeouts::default());
    spawn_feed(FeedConfig {
        agent_address: plan.agent_address.clone(),
        router: node,
        own_address: RouterAddress {
            router: node,
            address: address.to_string(),
            zone: plan.zone.clone(),
            relay: plan.relay.map(|relay| relay.to_string()),
        },
        shared: Arc::clone(&shared),
        on_change: follow_changes(&shared, &scheduler, &bounds),
        coordinator: Arc::new(CoordinatorClient::default()),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| miette!("cannot start the async runtime: {error}"))?;
    event!(info, "started", id = node, address = address);
    for mechanism in &plan.disabled {
        event!(warn, "mechanism_disabled", mechanism = mechanism);
    }
    runtime.block_on(async move {
        let pool = match plan.disabled.contains(&Mechanism::KeptConnections) {
            true => Arc::new(ConnectionPool::single_use()),
            false => Arc::new(ConnectionPool::default()),
        };
        let caller_options =
            ServerOptions { timeouts: bounds, ..ServerOptions::within(plan.limits.share(CALLERS_SHARE)) };
        if let Some(readiness) = plan.readiness {
            let listener = bind(readiness).map_err(|error| miette!("readiness: {readiness}: {error}"))?;
            let ready_page = plan.protocol.ready_page();
            let callers = Arc::clone(&caller_options.budget);
            let page = Arc::new(Readiness { shared: Arc::clone(&shared), ready_page, callers });
            let options = ServerOptions::within(plan.limits.share(READINESS_SHARE));
            tokio::spawn(serve_with_options(listener, page, options));
        }
        if let Some(relay) = plan.relay {
            let listener = bind(relay).map_err(|error| miette!("relay: {relay}: {error}"))?;
            tokio::spawn(PeerGrantQuery { node, shared: Arc::clone(&shared) }.run());
            let handler = RelayHandler { scheduler: scheduler.clone(), changes, shared: Arc::clone(&shared) };
            let options = ServerOptions::within(plan.limits.share(RELAY_SHARE));
            tokio::spawn(serve_with_options(listener, Arc::new(handler), options));
        }
        let caller_handler = Arc::new(CallerHandler {
            shared: Arc::clone(&shared),
            scheduler: scheduler.clone(),
            pool: Arc::clone(&pool),
            protocol: Arc::clone(&plan.protocol),
            samples: AtomicU64::new(node.0),
        });
        let connections = Arc::clone(&caller_options.connections);
        let serving = tokio::spawn(serve_with_options(callers, caller_handler, caller_options));
        let followers = PartFollowers {
            node,
            shared: Arc::clone(&shared),
            scheduler,
            pool,
            protocol: Arc::clone(&plan.protocol),
        };
        tokio::spawn(followers.run());
        tokio::spawn(log_given_up_weights(Arc::clone(&shared)));
        stop.0.notified().await;
        drain(&shared, &plan, serving, &connections).await;
        Ok(())
    })
}

fn follow_changes(
    shared: &Arc<SharedState>,
    scheduler: &SchedulerHandle,
    bounds: &Arc<ConnectionTimeouts>,
) -> Box<dyn Fn() + Send + Sync> {
    let (shared, scheduler, bounds) = (Arc::clone(shared), scheduler.clone(), Arc::clone(bounds));
    Box::new(move || {
        let snapshot = shared.snapshot();
        bounds.set_idle_timeout(snapshot.state.desired.limits.idle_time);
        bounds.set_head_timeout(snapshot.state.desired.limits.header_time);
        scheduler.tell(SchedulerCommand::FleetChanged);
    })
}

/// Reports not ready but serves new requests for a while, then accepts no more and waits for the running ones.
/// Persistent connections are closed gracefully at that point. Otherwise their callers would go on sending requests
/// that cannot finish in the time left, and a request that arrives while the process exits would be read but never
/// answered.
async fn drain(
    shared: &SharedState,
    plan: &GatewayPlan,
    serving: tokio::task::JoinHandle<std::io::Result<()>>,
    connections: &OpenConnections,
) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    shared.draining.store(true, Ordering::SeqCst);
    let end = boot_now() + plan.timing.drain_span;
    event!(info, "draining", running = shared.counts.running.load(Ordering::SeqCst));
    tokio::time::sleep(plan.timing.intake_span.min(plan.timing.drain_span).as_duration()).await;
    serving.abort();
    connections.close();
    let is_busy = || shared.counts.running.load(Ordering::SeqCst) > 0 || connections.count() > 0;
    while is_busy() && boot_now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // The last bytes of a response may still be in transit when its connection is no longer counted.
    tokio::time::sleep(POLL_INTERVAL * 2).await;
    event!(info, "stopped", cut = shared.counts.running.load(Ordering::SeqCst));
}
