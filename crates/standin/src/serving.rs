//! Serving a stand-in's requests until the process is told to stop.

use crate::prelude::*;

/// Serves requests with a handler, on the address in the setting `listen`, until SIGTERM.
pub fn serve_standin(
    spec: &'static ProgramSpec,
    settings: &Settings,
    handler: Arc<dyn RequestHandler>,
) -> Result<(), Report> {
    let _logs = start_logs(spec.program, settings.text("log_level")?)?;
    let listener = bind(settings.address("listen")?).map_err(|fault| miette!("listen: {fault}"))?;
    let address = listener.local_addr().map_err(|fault| miette!("listen: {fault}"))?;
    let runtime = small_runtime(1).map_err(|fault| miette!("{fault}"))?;
    let stop_signal = Arc::new(tokio::sync::Notify::new());
    let notify_on_signal = Arc::clone(&stop_signal);
    on_signals(move |signal| {
        if signal == Signal::Stop {
            notify_on_signal.notify_one();
        }
    })?;
    print_ready_line(&[("address", address.to_string())]);
    let serve_task = runtime.spawn(serve(listener, handler));
    runtime.block_on(stop_signal.notified());
    serve_task.abort();
    Ok(())
}
