//! Serving a stand-in until it is told to stop.

use crate::prelude::*;

/// Serves a site on the address of the setting `listen` until SIGTERM.
pub fn serve_standin(
    trade: &'static ProgramSpec,
    settings: &Settings,
    site: Arc<dyn RequestHandler>,
) -> Result<(), Report> {
    let _logs = start_logs(trade.program, settings.text("log_level")?)?;
    let listener = bind(settings.address("listen")?).map_err(|fault| miette!("listen: {fault}"))?;
    let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
    let runtime = small_runtime(1).map_err(|fault| miette!("{fault}"))?;
    let stop = Arc::new(tokio::sync::Notify::new());
    let stop_notice = Arc::clone(&stop);
    on_signals(move |signal| {
        if signal == Signal::Stop {
            stop_notice.notify_one();
        }
    })?;
    print_ready_line(&[("address", address.to_string())]);
    let serving = runtime.spawn(serve(listener, site));
    runtime.block_on(stop.notified());
    serving.abort();
    Ok(())
}
