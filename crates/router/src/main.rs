//! The router program: reads the settings and starts the parts of the library.

use router::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "router",
    about: "Picks an engine for each prompt and forwards the stream.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "the address at which callers are served"),
        setting("agent", SettingKind::Address, None, "the loopback address of this machine's agent"),
        setting("zone", SettingKind::Text, Some("a"), "the zone of this machine"),
        setting(
            "drain_s",
            SettingKind::Integer(0, 600),
            Some("12"),
            "seconds that running streams may take to end on shutdown",
        ),
        setting("record", SettingKind::Path, None, "folder for recordings of runs; if left out, none are made"),
        setting("record_mb", SettingKind::Integer(1, 4096), Some("64"), "size of a recording file; four are kept"),
        setting("threads", SettingKind::Integer(1, 64), Some("2"), "threads for HTTP"),
        MEMORY_LIMIT,
        DESCRIPTOR_LIMIT,
        LOG_LEVEL,
    ],
};

const CALLERS_SHARE: Share = Share { memory_divisor: 4, descriptors_divisor: 2 };
/// How often draining checks whether requests still run.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long tasks of the runtime may take to stop after draining.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, run)
}

fn run(settings: Settings) -> Result<(), Report> {
    configure_allocator();
    let logs = start_logs(PROGRAM.program, settings.text("log_level")?)?;
    let agent_address = settings.address("agent")?.to_string();
    let drain_limit = Span::seconds(settings.whole("drain_s")?);
    let listener = bind(settings.address("listen")?)
        .map_err(|fault| miette!("listen: {}: {fault}", settings.text("listen").unwrap_or("")))?;
    let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
    let router = NodeId::random();
    let shared = Arc::new(SharedState::default());
    let zone = Zone(settings.text("zone")?.to_owned());
    let scheduler = start_scheduler(router, zone.clone(), Arc::clone(&shared));
    let coordinator = Arc::new(CoordinatorClient::default());
    spawn_feed(FeedConfig {
        agent_address,
        router,
        own_address: RouterAddress { router, address: address.to_string(), ..RouterAddress::default() },
        shared: Arc::clone(&shared),
        on_change: {
            let scheduler = scheduler.clone();
            Box::new(move || scheduler.tell(SchedulerCommand::FleetChanged))
        },
        coordinator: Arc::clone(&coordinator),
    });
    let recorder = match settings.get("record") {
        Some(folder) => Recorder::start(folder, router, settings.whole("record_mb")? << 20)?,
        None => Recorder::default(),
    };
    let runtime = small_runtime(settings.whole("threads")? as usize).map_err(|fault| miette!("{fault}"))?;
    runtime.spawn(run_followers(Arc::clone(&shared), scheduler.clone()));
    runtime.spawn(report_demand(Arc::clone(&shared), Arc::clone(&coordinator), router, zone));
    let api_handler = Arc::new(ApiHandler {
        router,
        shared: Arc::clone(&shared),
        scheduler,
        next_run: AtomicU64::new(1),
        held_runs: Arc::default(),
        coordinator,
        recorder,
    });
    let options = ServerOptions::within(process_limits(&settings)?.share(CALLERS_SHARE));
    runtime.spawn(serve_with_options(listener, api_handler, options));
    let stop = Arc::new(tokio::sync::Notify::new());
    let stop_notice = Arc::clone(&stop);
    handle_signals(&PROGRAM, settings, logs, move || stop_notice.notify_one(), |_| {})?;
    print_ready_line(&[("id", router.to_string()), ("address", address.to_string())]);
    event!(info, "started", id = router, address = address);
    runtime.block_on(async {
        stop.notified().await;
        drain_router(&shared, drain_limit).await;
    });
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    Ok(())
}

/// Stops accepting requests and waits for running ones, at most for `drain_limit`.
async fn drain_router(shared: &SharedState, drain_limit: Span) {
    shared.draining.store(true, Ordering::SeqCst);
    event!(info, "draining", running = shared.counts.running.load(Ordering::SeqCst));
    let deadline = boot_now() + drain_limit;
    while shared.counts.running.load(Ordering::SeqCst) > 0 && boot_now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    event!(info, "stopped", cut = shared.counts.running.load(Ordering::SeqCst));
}
