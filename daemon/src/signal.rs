//! Signals that stop the daemon: SIGTERM and SIGINT.

use snafu::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::DaemonError;
use crate::error::SignalsSnafu;

/// Handlers of SIGTERM and SIGINT.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers. Without them, the default action of both signals ends the process
    /// immediately.
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
