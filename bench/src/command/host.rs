//! `host`: runs one host of a fleet as a child process of a measurement.

use std::io::Read;
use std::path::PathBuf;

use cardamomshift_lib::runtime::Daemon;
use cardamomshift_lib::settings::Settings;
use clap::Args;
use snafu::ResultExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;

use super::CommandError;
use super::SignalSnafu;

#[derive(Debug, Args)]
pub(crate) struct HostArgs {
    /// Settings file of the host, TOML.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl HostArgs {
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        let settings = Settings::load(&self.config)?;
        let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        // If the start fails, the host drops its own Tokio runtime, which panics in async code.
        let started = tokio::task::spawn_blocking(|| Daemon::start(settings));
        let mut daemon = started.await.expect("start of the host panicked")?;
        tokio::select! {
            _ = terminate.recv() => {}
            // The parent process has ended, and with it the stand-ins around this host, so a
            // planned stop is of no use.
            () = stdin_closed() => return Ok(()),
        }
        daemon.stop();
        daemon.stopped().await;
        Ok(())
    }
}

/// Waits until standard input closes.
///
/// A separate thread reads it: with `tokio::io::stdin`, a read that is still blocked would hold up
/// the shutdown of the runtime.
async fn stdin_closed() {
    let (tx, rx) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        let mut buf = [0; 64];
        while !matches!(std::io::stdin().read(&mut buf), Ok(0) | Err(_)) {}
        drop(tx);
    });
    // Nothing is sent: the thread closes the channel when it ends.
    let _ = rx.await;
}
