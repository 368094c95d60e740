//! Daemon of cardamomshift, a fleet of hosts that route requests of callers to backend servers.
//!
//! This crate handles the command line, settings, logging and signals. The hosts themselves are
//! implemented in `cardamomshift_lib`.

mod args;
mod entry;
mod error;
mod json_log;
mod logging;
mod signal;

use std::path::Path;
use std::process::ExitCode;

use cardamomshift_lib::runtime::Daemon;
use cardamomshift_lib::settings::Settings;
use clap::Parser;
use log::info;
use snafu::ResultExt;

use crate::args::Cli;
use crate::args::Command;
use crate::args::HostArgs;
use crate::error::DaemonError;
use crate::error::RuntimeSnafu;
use crate::error::SettingsSnafu;
use crate::error::StartSnafu;
use crate::signal::StopSignals;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        Some(Command::Entry(args)) => entry::run(args),
        None => run(&cli.host),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cardamomshiftd: {err}");
            err.exit_code()
        }
    }
}

/// Runs a host with the fleet's own interface, or only checks its settings.
fn run(args: &HostArgs) -> Result<(), DaemonError> {
    let path = args.config.as_deref().unwrap_or(Path::new(""));
    let settings = Settings::load(path).context(SettingsSnafu)?;
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

/// Runs the host until a signal stops it. The first signal starts a graceful stop; a second one
/// ends the process at once.
async fn serve(settings: Settings) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    info!(
        "starting host {} in failure domain {}",
        settings.host.name, settings.host.domain
    );
    let mut daemon = Daemon::start(settings).context(StartSnafu)?;
    info!("started");
    signals.next().await;
    info!("stopping");
    daemon.stop();
    tokio::select! {
        () = daemon.stopped() => info!("stopped"),
        () = signals.next() => info!("stopped immediately after a second signal"),
    }
    Ok(())
}
