//! Starts a keeper from its configuration: data folder, coordinator, links, operators' interface and duty tasks.

use crate::prelude::*;

/// Whether this keeper founds a fleet, and how.
pub enum Bootstrap {
    /// It joins the fleet known to its seeds or its data folder.
    Join,
    /// It founds a fleet with this document. If a fleet exists already, it joins that or refuses to start.
    Found { document: String, tolerance: u64, join_if_exists: bool },
}

/// Where the list of engines comes from.
pub enum EngineSource {
    None,
    /// The address of a numbered listing, read by every keeper.
    Listing(String),
    /// A directory that only the holder of the census duty reads, and the calls a second that the fleet may make.
    Directory(Arc<dyn EngineDirectory>, f64),
}

/// The protocol by which engines are ordered to load new weights.
pub enum EngineOrderSource {
    /// The built-in engine state and orders.
    BuiltIn,
    Protocol(Arc<dyn EngineOrders>),
}

/// The protocol of the operators' interface.
pub enum OperatorSource {
    BuiltIn,
    Protocol(Arc<dyn OperatorProtocol>),
}

/// The configuration of a keeper.
pub struct KeeperConfig {
    /// Accepts links from keepers and agents.
    pub listener: std::net::TcpListener,
    /// Accepts operators' HTTP connections.
    pub operator_listener: std::net::TcpListener,
    /// The addresses at which others reach the two listeners.
    pub address: String,
    pub operator_address: String,
    pub zone: Zone,
    pub data_folder: PathBuf,
    /// For tests: a file that controls injected disk faults.
    pub disk_faults: Option<PathBuf>,
    pub seeds: Vec<String>,
    pub bootstrap: Bootstrap,
    pub core_size: usize,
    /// The core may have any number of machines, up to `core_size`.
    pub automatic_size: bool,
    pub timing: Timing,
    pub engines: EngineSource,
    pub orders: EngineOrderSource,
    pub operators: OperatorSource,
    /// The limits of this process, of which each of its servers may fill a share.
    pub limits: ProcessLimits,
    pub threads: usize,
}

/// What operators send takes many times its size once it is read.
const OPERATORS_SHARE: Share = Share { memory_divisor: 8, descriptors_divisor: 4 };
/// A keeper that has been away receives the whole state over a link.
const LINKS_SHARE: Share = Share { memory_divisor: 4, descriptors_divisor: 2 };

/// Controls a running keeper.
#[derive(Clone)]
pub struct KeeperHandle {
    queue: Sender<ExecutorCommand>,
}

impl KeeperHandle {
    pub fn stop(&self) {
        let _ = self.queue.send(ExecutorCommand::Stop);
    }

    pub fn set_seeds(&self, seeds: Vec<String>) {
        let _ = self.queue.send(ExecutorCommand::Seeds(seeds));
    }
}

/// Runs a keeper until it is stopped or its data folder is found damaged. `handle_signals` is called at once,
/// `on_ready` when the keeper has started, which waits for as long as the disk refuses writes.
pub fn run_keeper(
    config: KeeperConfig,
    handle_signals: impl FnOnce(KeeperHandle) -> Result<(), Report>,
    on_ready: impl FnOnce(NodeId),
) -> Result<(), Report> {
    configure_allocator();
    let folder_name = config.data_folder.display().to_string();
    let (queue, commands) = bounded_queue::<ExecutorCommand>(4096);
    handle_signals(KeeperHandle { queue: queue.clone() })?;
    let mut retry_queue = RetryQueue::new(commands);
    let mut state_store = StateStore::new(open_data_folder(&config));
    let prepared = prepare(&config, &mut state_store, &mut retry_queue)?;
    let Some(Prepared { me, persisted, remembered_addresses }) = prepared else {
        event!(info, "stopped");
        return Ok(());
    };
    let identity = me.id;
    let fleet = Arc::new(AtomicU64::new(persisted.view.as_ref().map_or(0, |view| view.fleet.0)));
    let mut seeds = config.seeds.clone();
    seeds.extend(remembered_addresses);
    let settings = CoordinatorSettings {
        requires_fresh_listing: matches!(config.engines, EngineSource::Listing(_)),
        core_size: config.core_size,
        automatic_size: config.automatic_size,
        seeds,
        timing: config.timing,
    };
    let incarnation = Incarnation::random().0;
    let coordinator = Coordinator::restore(me.clone(), persisted, settings, incarnation, boot_now());

    let own_hello = {
        let fleet = Arc::clone(&fleet);
        move || Hello::new(FleetId(fleet.load(Ordering::SeqCst)), identity, Purpose::Keeper)
    };
    let link_queue = queue.clone();
    let links_budget = Budget::new(config.limits.share(LINKS_SHARE));
    accept_links(config.listener, own_hello.clone(), links_budget, move |link_event| {
        link_queue.send(ExecutorCommand::Link(link_event)).is_ok()
    });
    let publisher = SharedPublisher::default();
    let mut executor = Executor::new(
        coordinator,
        state_store,
        PeerSender::new(own_hello),
        Arc::clone(&publisher),
        fleet,
        incarnation,
        retry_queue,
    );
    let client = ExecutorClient { queue: queue.clone() };
    let health = Arc::new(ListingHealth::default());
    let runtime = small_runtime(config.threads).map_err(|fault| miette!("{fault}"))?;
    match config.engines {
        EngineSource::None => {}
        EngineSource::Listing(platform) => {
            runtime.spawn(poll_listing(platform, Arc::clone(&publisher), client.clone(), Arc::clone(&health)));
        }
        EngineSource::Directory(directory, calls_per_second) => {
            let (publisher, health) = (Arc::clone(&publisher), Arc::clone(&health));
            runtime.spawn(poll_directory(directory, calls_per_second, publisher, client.clone(), health));
        }
    }
    match config.orders {
        EngineOrderSource::BuiltIn => runtime.spawn(run_conductor(Arc::clone(&publisher), client.clone(), identity)),
        EngineOrderSource::Protocol(orders) => runtime.spawn(run_weights_rollout(
            orders,
            Arc::clone(&publisher),
            client.clone(),
            identity,
            config.timing,
        )),
    };
    let site: Arc<dyn RequestHandler> = match config.operators {
        OperatorSource::BuiltIn => Arc::new(OperatorInterface {
            executor: client,
            publisher: Arc::clone(&publisher),
            me: me.clone(),
            listing_health: health,
        }),
        OperatorSource::Protocol(protocol) => {
            Arc::new(ProtocolInterface { executor: client, protocol, admission: DocumentAdmission::default() })
        }
    };
    let options = ServerOptions::within(config.limits.share(OPERATORS_SHARE));
    runtime.spawn(serve_with_options(config.operator_listener, site, options));
    on_ready(identity);
    event!(info, "started", id = identity, address = me.address, door = me.door);
    let outcome = executor.run();
    event!(info, "stopped");
    runtime.shutdown_timeout(Duration::from_millis(500));
    outcome.map_err(|fault| miette!("data: {folder_name}: {fault}"))
}

#[cfg(not(feature = "faults"))]
fn open_data_folder(config: &KeeperConfig) -> DataFolder {
    DataFolder::at(&config.data_folder)
}

#[cfg(feature = "faults")]
fn open_data_folder(config: &KeeperConfig) -> DataFolder {
    match &config.disk_faults {
        Some(control) => DataFolder::on_faulty_disk(&config.data_folder, control),
        None => DataFolder::at(&config.data_folder),
    }
}

/// What a keeper reads from its data folder at startup.
struct Prepared {
    me: Member,
    persisted: PersistedState,
    remembered_addresses: Vec<String>,
}

/// Opens the folder, checks that it is writable and founds a fleet if configured; `None` on a stop command.
fn prepare(
    config: &KeeperConfig,
    state_store: &mut StateStore,
    retry_queue: &mut RetryQueue,
) -> Result<Option<Prepared>, Report> {
    let describe = |fault: DiskFault| miette!("data: {}: {fault}", config.data_folder.display());
    let opening = || {
        let identity = state_store.identity()?;
        state_store.check_writable()?;
        Ok((identity, state_store.remembered_addresses()?, state_store.load()?))
    };
    let Some((identity, remembered_addresses, persisted)) =
        retry_queue.run_with_retry(opening, |_| reject_connections(config)).map_err(describe)?
    else {
        return Ok(None);
    };
    let me = Member {
        id: identity,
        address: config.address.clone(),
        door: config.operator_address.clone(),
        zone: config.zone.clone(),
    };
    let initial = bootstrap_state(config, &me, &persisted).map_err(|reason| miette!("found: {reason}"))?;
    let Some((stored, position, state)) = initial else {
        return Ok(Some(Prepared { me, persisted, remembered_addresses }));
    };
    let storing = || {
        state_store.store(&stored, position, &state)?;
        state_store.load()
    };
    let persisted = retry_queue.run_with_retry(storing, |_| reject_connections(config)).map_err(describe)?;
    Ok(persisted.map(|persisted| Prepared { me, persisted, remembered_addresses }))
}

/// Closes connections that arrive before this keeper can start, so that their peers try another keeper.
fn reject_connections(config: &KeeperConfig) {
    while config.operator_listener.accept().is_ok() {}
    if config.listener.set_nonblocking(true).is_ok() {
        while config.listener.accept().is_ok() {}
        let _ = config.listener.set_nonblocking(false);
    }
}

/// The initial records and state of a new fleet, if this keeper founds one. A fleet known to the data folder or to
/// a seed is joined instead, or is an error.
fn bootstrap_state(
    config: &KeeperConfig,
    me: &Member,
    persisted: &PersistedState,
) -> Result<Option<(Vec<Stored>, LogPosition, FleetState)>, String> {
    let Bootstrap::Found { document, tolerance, join_if_exists } = &config.bootstrap else { return Ok(None) };
    if persisted.view.is_some() {
        return if *join_if_exists { Ok(None) } else { Err("the data folder already belongs to a fleet".into()) };
    }
    for seed in config.seeds.iter().filter(|seed| **seed != me.address) {
        if let Some(fleet) = existing_fleet(seed, me.id) {
            return if *join_if_exists {
                Ok(None)
            } else {
                Err(format!("seed {seed} already belongs to fleet {fleet}"))
            };
        }
    }
    let mut state = FleetState::default();
    let command = Command::Replace { base: None, text: document.clone() };
    let outcome = state.apply(&Submission { request: RequestId::random(), command });
    let CommandOutcome::Applied(_) = outcome else { return Err("the founding document was refused".into()) };
    let position = LogPosition { edition: state.edition, view: ViewNumber(1) };
    let stored = Coordinator::bootstrap_with_tolerance(me, FleetId::random(), state.clone(), *tolerance);
    Ok(Some((stored, position, state)))
}

fn existing_fleet(seed: &str, me: NodeId) -> Option<FleetId> {
    let hello = Hello::new(FleetId(0), me, Purpose::Keeper);
    let their_hello = links::prelude::exchange_hellos(seed, &hello).ok()?;
    (their_hello.fleet != FleetId(0)).then_some(their_hello.fleet)
}
