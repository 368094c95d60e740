//! Hosts of a fleet on threads of this process.

use cardamomshift_lib::runtime::Daemon;
use cardamomshift_lib::settings::Settings;
use snafu::ResultExt;

use super::Fleet;
use super::host_processes::DaemonSnafu;
use super::host_processes::HostStartError;
use super::host_processes::wait_ready;
use crate::load::http_client;

/// The hosts of a fleet, running until they are dropped.
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
    /// Panics if the settings that the bench writes are not valid.
    pub async fn start(fleet: &Fleet) -> Result<Self, HostStartError> {
        let mut daemons = Vec::new();
        for plan in fleet.hosts() {
            let settings = Settings::parse(&fleet.settings_text(plan)).expect("settings");
            // A host that cannot start drops its runtime, which only a thread outside of ours may
            // do.
            let started = tokio::task::spawn_blocking(|| Daemon::start(settings));
            let started = started.await.expect("start of a host");
            let host = &plan.name;
            daemons.push(started.context(DaemonSnafu { host })?);
        }
        let client = http_client();
        for plan in fleet.hosts() {
            wait_ready(&client, plan.metrics, &plan.name).await?;
        }
        Ok(Self { daemons })
    }

    /// Stops every host as planned and waits until all have ended.
    pub async fn stop(mut self) {
        for daemon in &self.daemons {
            daemon.stop();
        }
        for daemon in &mut self.daemons {
            daemon.stopped().await;
        }
    }
}
