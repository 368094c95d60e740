//! Hosts of a fleet that run on threads of this process.

use cardamomshift_lib::runtime::Daemon;
use cardamomshift_lib::settings::Settings;
use snafu::ResultExt;

use super::Fleet;
use super::host_processes::DaemonSnafu;
use super::host_processes::HostStartError;
use super::host_processes::wait_ready;
use crate::load::http_client;

/// The running hosts of a fleet. Dropping this stops them.
pub struct InProcessHosts {
    daemons: Vec<Daemon>,
}

impl InProcessHosts {
    /// Starts every host of a fleet and waits until all are ready.
    ///
    /// # Errors
    ///
    /// See [`HostStartError`].
    ///
    /// # Panics
    ///
    /// Panics if the generated settings are invalid.
    pub async fn start(fleet: &Fleet) -> Result<Self, HostStartError> {
        let mut daemons = Vec::new();
        for plan in fleet.hosts() {
            let settings =
                Settings::parse(&fleet.settings_text(plan)).expect("generated settings are valid");
            // If the start fails, the host drops its own Tokio runtime, which panics in async code.
            let started = tokio::task::spawn_blocking(|| Daemon::start(settings));
            let started = started.await.expect("start of the host panicked");
            let host = &plan.name;
            daemons.push(started.context(DaemonSnafu { host })?);
        }
        let client = http_client();
        for plan in fleet.hosts() {
            wait_ready(&client, plan.metrics, &plan.name).await?;
        }
        Ok(Self { daemons })
    }

    /// Asks every host for a planned stop and waits until all have ended.
    pub async fn stop(mut self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
        for daemon in &mut self.daemons {
            daemon.stopped().await;
        }
    }
}
