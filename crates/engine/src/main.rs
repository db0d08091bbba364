//! Stand-in for a model engine. It caches blocks in a bounded LRU cache, reports changes as numbered events, emulates
//! the cost of prefill and decode by number of blocks, and executes the conductor's orders. It logs the start of
//! every attempt with its salt and weights, so that a test run can be checked from the engine's side.

use engine::prelude::*;

static PROGRAM: ProgramSpec = ProgramSpec {
    program: "engine",
    about: "Stand-in for a model engine.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "the address to listen on"),
        setting("name", SettingKind::Text, Some("engine"), "the engine's name"),
        setting("model", SettingKind::Text, Some("model"), "the model it serves"),
        setting("weights", SettingKind::Integer(1, 1 << 53), Some("1"), "the weights edition loaded at the start"),
        setting("blocks", SettingKind::Integer(16, 1 << 24), Some("4096"), "capacity of the cache, in blocks"),
        setting(
            "prefill_us",
            SettingKind::Integer(0, 1_000_000),
            Some("1500"),
            "time to prefill a block, in microseconds",
        ),
        setting(
            "decode_us",
            SettingKind::Integer(0, 1_000_000),
            Some("4000"),
            "time to decode a token, in microseconds",
        ),
        setting("load_ms", SettingKind::Integer(0, 60_000), Some("500"), "time to load weights, in milliseconds"),
        setting(
            "adapter_places",
            SettingKind::Integer(0, 1024),
            Some("4"),
            "how many adapters can be loaded at once",
        ),
        setting(
            "adapter_load_ms",
            SettingKind::Integer(0, 60_000),
            Some("300"),
            "time to load an adapter, in milliseconds",
        ),
        setting("link_us", SettingKind::Integer(0, 1_000_000), Some("100"), "time to fetch a block, in microseconds"),
        setting("store", SettingKind::Address, None, "address of the prompt store that new blocks are put into"),
        setting("starts", SettingKind::Path, None, "file that the engine log is appended to"),
        setting("received", SettingKind::Path, None, "file that completion requests are appended to as received"),
        setting("threads", SettingKind::Integer(1, 64), Some("1"), "number of HTTP threads"),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&PROGRAM, |settings| {
        let _logs = start_logs(PROGRAM.program, settings.text("log_level")?)?;
        let listener = bind(settings.address("listen")?).map_err(|fault| miette!("listen: {fault}"))?;
        let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
        let server = Arc::new(EngineServer::new(&settings)?);
        let runtime = small_runtime(settings.whole("threads")? as usize).map_err(|fault| miette!("{fault}"))?;
        let stopping_server = Arc::clone(&server);
        on_signals(move |signal| {
            if signal == Signal::Stop {
                stopping_server.stop();
            }
        })?;
        print_ready_line(&[("address", address.to_string()), ("name", settings.text("name")?.into())]);
        let serve_task = runtime.spawn(serve(listener, server.clone()));
        runtime.block_on(server.stopped());
        serve_task.abort();
        Ok(())
    })
}
