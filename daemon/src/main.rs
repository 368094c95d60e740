//! Daemon of the cardamomshift router fleet: arguments, logging and signals around the runtime.

mod args;
mod error;
mod logging;
mod signal;

use std::process::ExitCode;

use cardamomshift_lib::runtime::Daemon;
use cardamomshift_lib::settings::Settings;
use clap::Parser;
use log::info;
use snafu::ResultExt;

use crate::args::Args;
use crate::error::DaemonError;
use crate::error::RuntimeSnafu;
use crate::error::SettingsSnafu;
use crate::error::StartSnafu;
use crate::signal::StopSignals;

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cardamomshiftd: {err}");
            err.exit_code()
        }
    }
}

fn run(args: &Args) -> Result<(), DaemonError> {
    let settings = Settings::load(&args.config).context(SettingsSnafu)?;
    if args.check {
        println!("settings are valid");
        return Ok(());
    }
    logging::start(&settings.log.level)?;
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    rt.block_on(serve(settings))
}

/// Runs the host until a signal stops it.
async fn serve(settings: Settings) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    info!(
        "host {} of failure domain {} starts",
        settings.host.name, settings.host.domain
    );
    let mut daemon = Daemon::start(settings).context(StartSnafu)?;
    info!("started");
    signals.next().await;
    info!("stopping");
    daemon.stop();
    tokio::select! {
        () = daemon.stopped() => info!("stopped"),
        () = signals.next() => info!("stopped at once by a second signal"),
    }
    Ok(())
}
