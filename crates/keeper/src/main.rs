//! A core machine's process: member of the chain, voter, and a door for operators. Duties: the desk
//! (warden and data folder), links in, post out, census, and the door on a small runtime of its own.

mod census;
mod conducting;
mod desk;
mod door;
mod filing;
mod prelude;

use crate::prelude::*;

static TRADE: Trade = Trade {
    program: "keeper",
    about: "Keeps haremount's shared state: a member of the core's chain, and a door for operators.",
    settings: &[
        setting("listen", Kind::Address, Some("127.0.0.1:0"), "where keepers and agents reach this keeper"),
        setting("door", Kind::Address, Some("127.0.0.1:0"), "where operators reach it over HTTP"),
        setting("advertise", Kind::Address, None, "the address others use for listen, if it differs"),
        setting("advertise_door", Kind::Address, None, "the address others use for door, if it differs"),
        setting("zone", Kind::Text, Some("a"), "the zone this machine stands in"),
        setting("data", Kind::Path, None, "the data folder; an empty one makes a new member"),
        setting("seeds", Kind::Addresses, None, "other keepers to make contact with"),
        setting("found", Kind::Flag, None, "found a new fleet; refused where one exists"),
        setting("operator_key_file", Kind::Path, None, "with found: a file holding the first operator's key"),
        setting("core_size", Kind::Whole(1, 7), Some("4"), "how many keepers the core grows to"),
        setting("platform", Kind::Address, None, "the platform's listing of engines"),
        #[cfg(feature = "faults")]
        setting("disk_faults", Kind::Path, None, "for tests: a file that says how the disk misbehaves"),
        setting("threads", Kind::Whole(1, 64), Some("2"), "threads for HTTP"),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_trade(&TRADE, keep)
}

fn keep(settings: Settings) -> Result<(), Report> {
    let logs = start_logs(TRADE.program, settings.text("log_level")?)?;
    outlive_file_limits()?;
    let data_folder = settings.text("data")?.to_owned();
    let listener = std::net::TcpListener::bind(settings.address("listen")?)
        .map_err(|fault| miette!("listen: {}: {fault}", settings.text("listen").unwrap_or("")))?;
    let door_listener = bind(settings.address("door")?)
        .map_err(|fault| miette!("door: {}: {fault}", settings.text("door").unwrap_or("")))?;
    let told = |fault: DiskFault| miette!("data: {data_folder}: {fault}");
    let (mut filing, identity) = open_filing(&settings, Path::new(&data_folder)).map_err(told)?;
    let local = |listening: std::io::Result<std::net::SocketAddr>| {
        listening.map(|address| address.to_string()).map_err(|fault| miette!("{fault}"))
    };
    let bound_address = local(listener.local_addr())?;
    let me = Member {
        id: identity,
        address: advertised(&settings, "advertise", local(listener.local_addr())?)?,
        door: advertised(&settings, "advertise_door", local(door_listener.local_addr())?)?,
        zone: Zone(settings.text("zone")?.to_owned()),
    };
    let mut seeds = settings.addresses("seeds");
    let fleet = Arc::new(AtomicU64::new(0));
    let kept = filing.load().map_err(told)?;
    if settings.flag("found") {
        found(&settings, &mut filing, &me, &kept, &seeds).map_err(|reason| miette!("found: {reason}"))?;
    }
    let kept = if settings.flag("found") { filing.load().map_err(told)? } else { kept };
    fleet.store(kept.view.as_ref().map_or(0, |view| view.fleet.0), Ordering::SeqCst);
    seeds.extend(filing.remembered_addresses().map_err(told)?);
    let has_census = settings.maybe("platform").is_some();
    let wishes = Wishes { has_census, core_size: settings.whole("core_size")? as usize, seeds: seeds.clone() };
    let life = Incarnation::random().0;
    let warden = Warden::restore(me.clone(), kept, wishes, life, boot_now());

    let (queue, commands) = ring::<DeskCommand>(4096);
    let own_hello = {
        let (fleet, identity) = (Arc::clone(&fleet), identity);
        move || Hello::new(FleetId(fleet.load(Ordering::SeqCst)), identity, Purpose::Keeper)
    };
    let link_queue = queue.clone();
    accept_links(listener, own_hello.clone(), move |link_event| {
        link_queue.send(DeskCommand::Link(link_event)).is_ok()
    });
    let shelf = Shelf::default();
    let mut desk = Desk::new(warden, filing, Post::new(own_hello), Arc::clone(&shelf), fleet, life);
    let desk_asker = DeskAsker { queue: queue.clone() };
    let conductor_asker = desk_asker.clone();
    let census_liveness = Arc::new(CensusLiveness::default());
    let door = Arc::new(Door {
        desk: desk_asker.clone(),
        shelf: Arc::clone(&shelf),
        me: me.clone(),
        census: Arc::clone(&census_liveness),
    });
    let runtime = small_runtime(settings.whole("threads")? as usize).map_err(|fault| miette!("{fault}"))?;
    if let Some(platform) = settings.maybe("platform") {
        runtime.spawn(keep_census(platform.to_owned(), Arc::clone(&shelf), desk_asker, census_liveness));
    }
    runtime.spawn(conduct(Arc::clone(&shelf), conductor_asker, identity));
    runtime.spawn(serve(door_listener, door));
    let seeds_queue = queue.clone();
    let stop = move || {
        let _ = queue.send(DeskCommand::Stop);
    };
    let reload = move |settings: &Settings| {
        let _ = seeds_queue.send(DeskCommand::Seeds(settings.addresses("seeds")));
    };
    tend_signals(&TRADE, settings, logs, stop, reload)?;
    say_ready(&[
        ("id", identity.to_string()),
        ("address", me.address.clone()),
        ("door", me.door.clone()),
        ("bound", bound_address),
    ]);
    event!(info, "started", id = identity, address = me.address, door = me.door);
    let outcome = desk.work(&commands);
    event!(info, "stopped");
    runtime.shutdown_timeout(Duration::from_millis(500));
    outcome.map_err(|fault| miette!("data: {data_folder}: {fault}"))
}

#[cfg(not(feature = "faults"))]
fn open_filing(_: &Settings, data_folder: &Path) -> Result<(Filing, NodeId), DiskFault> {
    Filing::open(data_folder)
}

#[cfg(feature = "faults")]
fn open_filing(settings: &Settings, data_folder: &Path) -> Result<(Filing, NodeId), DiskFault> {
    match settings.maybe("disk_faults") {
        Some(control) => Filing::open_frail(data_folder, Path::new(control)),
        None => Filing::open(data_folder),
    }
}

/// The address a member is known by; one that is bound to all interfaces cannot be known by that.
fn advertised(settings: &Settings, key: &str, bound: String) -> Result<String, Report> {
    if let Some(address) = settings.maybe(key) {
        return Ok(address.to_owned());
    }
    if bound.starts_with("0.0.0.0:") || bound.starts_with("[::]:") {
        return Err(miette!("{key} is missing: {bound} is no address that others can use"));
    }
    Ok(bound)
}

/// Founds a fleet in an empty folder, unless a seed answers that there is one.
fn found(settings: &Settings, filing: &mut Filing, me: &Member, kept: &Kept, seeds: &[String]) -> Result<(), String> {
    if kept.view.is_some() {
        return Err("the data folder already belongs to a fleet".into());
    }
    for seed in seeds {
        if let Some(fleet) = existing_fleet(seed, me.id) {
            return Err(format!("seed {seed} already belongs to fleet {fleet}"));
        }
    }
    let key_file = settings.maybe("operator_key_file").ok_or("operator_key_file is needed")?;
    let key = std::fs::read_to_string(key_file).map_err(|fault| format!("{key_file}: {fault}"))?;
    if key.trim().len() < 8 {
        return Err(format!("{key_file}: a key has at least 8 characters"));
    }
    let founding_text = json!({"operators": {"founder": sha256_hex(key.trim())}}).to_string();
    let mut founding_state = FleetState::default();
    let command = Command::Replace { base: None, text: founding_text };
    let outcome = founding_state.apply(&Submission { request: RequestId::random(), command });
    let Settled::Taken(_) = outcome else { return Err("the founding document was refused".into()) };
    let mark = Mark { edition: founding_state.edition, view: ViewNumber(1) };
    let stored = Warden::founding(me, FleetId::random(), founding_state.clone());
    filing.store(&stored, mark, &founding_state).map_err(|fault| fault.to_string())
}

fn existing_fleet(seed: &str, me: NodeId) -> Option<FleetId> {
    let hello = Hello::new(FleetId(0), me, Purpose::Keeper);
    let their_hello = links::prelude::greet(seed, &hello).ok()?;
    (their_hello.fleet != FleetId(0)).then_some(their_hello.fleet)
}
