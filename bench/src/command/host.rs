//! `host`: one host of a fleet, started by the bench itself.

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
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

impl HostArgs {
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        let settings = Settings::load(&self.config)?;
        let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        // A host that cannot start drops its runtime, which only a thread outside of ours may do.
        let started = tokio::task::spawn_blocking(|| Daemon::start(settings));
        let mut daemon = started.await.expect("start of a host")?;
        tokio::select! {
            _ = terminate.recv() => {}
            // The bench is gone, and with it everything around the host.
            () = stdin_closed() => return Ok(()),
        }
        daemon.stop();
        daemon.stopped().await;
        Ok(())
    }
}

/// Waits until the standard input ends.
///
/// A thread of its own reads it: the runtime would wait for its own reader at the end.
async fn stdin_closed() {
    let (tx, rx) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        let mut buf = [0; 64];
        while !matches!(std::io::stdin().read(&mut buf), Ok(0) | Err(_)) {}
        drop(tx);
    });
    // The end of the thread closes the channel.
    let _ = rx.await;
}
