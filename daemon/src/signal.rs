//! Signals that stop the daemon.

use snafu::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::DaemonError;
use crate::error::SignalsSnafu;

/// SIGTERM and SIGINT.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes the signals over from the system's default, which ends the process at once.
    pub(crate) fn listen() -> Result<Self, DaemonError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SignalsSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalsSnafu)?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
