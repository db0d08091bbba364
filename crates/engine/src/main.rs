//! Stand-in for a model engine. It keeps blocks in a bounded, least-recently-used memory, tells of
//! them by numbered events, emulates prefill and decode cost by blocks, takes the conductor's orders,
//! and logs every start with its salt and weights so that a run can be judged from the engine's side.

use engine::prelude::*;

static TRADE: ProgramSpec = ProgramSpec {
    program: "engine",
    about: "Stand-in for a model engine.",
    settings: &[
        setting("listen", SettingKind::Address, Some("127.0.0.1:0"), "where requests are taken"),
        setting("name", SettingKind::Text, Some("engine"), "this engine's name"),
        setting("model", SettingKind::Text, Some("model"), "the model it serves"),
        setting("weights", SettingKind::Integer(1, 1 << 53), Some("1"), "the weights edition it starts with"),
        setting("blocks", SettingKind::Integer(16, 1 << 24), Some("4096"), "how many blocks its memory keeps"),
        setting(
            "prefill_us",
            SettingKind::Integer(0, 1_000_000),
            Some("1500"),
            "cost of a prefill block, microseconds",
        ),
        setting("decode_us", SettingKind::Integer(0, 1_000_000), Some("4000"), "cost of a token, microseconds"),
        setting("load_ms", SettingKind::Integer(0, 60_000), Some("500"), "how long loading weights takes"),
        setting("adapter_places", SettingKind::Integer(0, 1024), Some("4"), "how many adapters it holds at once"),
        setting("adapter_load_ms", SettingKind::Integer(0, 60_000), Some("300"), "how long loading an adapter takes"),
        setting("link_us", SettingKind::Integer(0, 1_000_000), Some("100"), "cost of fetching a block, microseconds"),
        setting("store", SettingKind::Address, None, "the prompt store, to which new blocks are put"),
        setting("starts", SettingKind::Path, None, "file to which each start is appended"),
        setting("received", SettingKind::Path, None, "file to which each completion request is appended as it came"),
        setting("threads", SettingKind::Integer(1, 64), Some("1"), "threads for HTTP"),
        LOG_LEVEL,
    ],
};

fn main() -> std::process::ExitCode {
    run_program(&TRADE, |settings| {
        let _logs = start_logs(TRADE.program, settings.text("log_level")?)?;
        let listener = bind(settings.address("listen")?).map_err(|fault| miette!("listen: {fault}"))?;
        let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
        let site = Arc::new(EngineSite::new(&settings)?);
        let runtime = small_runtime(settings.whole("threads")? as usize).map_err(|fault| miette!("{fault}"))?;
        let stopping_site = Arc::clone(&site);
        on_signals(move |signal| {
            if signal == Signal::Stop {
                stopping_site.stop();
            }
        })?;
        print_ready_line(&[("address", address.to_string()), ("name", settings.text("name")?.into())]);
        let serving = runtime.spawn(serve(listener, site.clone()));
        runtime.block_on(site.stopped());
        serving.abort();
        Ok(())
    })
}
