//! A fleet with hosts that run.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cardamomshift_lib::runtime::DaemonError;
use http_body_util::Full;
use snafu::ResultExt;
use snafu::Snafu;
use tempfile::TempDir;

use super::Fleet;
use super::process::HostProcess;
use crate::load::HttpClient;
use crate::load::http_client;

/// Time that a host has to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two questions whether a host is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why hosts do not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HostStartError {
    /// A settings file cannot be written.
    #[snafu(display("cannot write the settings of a host: {source}"))]
    Settings {
        /// What the system says.
        source: io::Error,
    },
    /// A process cannot be started.
    #[snafu(display("cannot start a host: {source}"))]
    Start {
        /// What the system says.
        source: io::Error,
    },
    /// A host cannot be started.
    #[snafu(display("cannot start host {host}: {source}"))]
    Daemon {
        /// Name of the host.
        host: String,
        /// Why.
        source: DaemonError,
    },
    /// A host did not get ready.
    #[snafu(display("host {host} did not get ready in {} s", READY_TIMEOUT.as_secs()))]
    NotReady {
        /// Name of the host.
        host: String,
    },
}

/// The hosts of a fleet as processes.
#[derive(Debug)]
pub struct HostProcesses {
    hosts: Vec<HostProcess>,
    client: HttpClient,
    _settings: TempDir,
}

impl HostProcesses {
    /// Starts every host of a fleet as `program host`, and waits until all are ready.
    ///
    /// # Errors
    ///
    /// See [`HostStartError`].
    pub async fn start(fleet: &Fleet, program: &Path) -> Result<Self, HostStartError> {
        let directory = TempDir::new().context(SettingsSnafu)?;
        let mut hosts = Vec::new();
        for plan in fleet.hosts() {
            let path = directory.path().join(format!("{}.toml", plan.name));
            std::fs::write(&path, fleet.settings_text(plan)).context(SettingsSnafu)?;
            let host = HostProcess::start(plan.clone(), program, &path).context(StartSnafu)?;
            hosts.push(host);
        }
        let processes = Self {
            hosts,
            client: http_client(),
            _settings: directory,
        };
        for number in 0..processes.hosts.len() {
            processes.wait_ready(number).await?;
        }
        Ok(processes)
    }

    /// The hosts.
    pub fn hosts(&self) -> &[HostProcess] {
        &self.hosts
    }

    /// One host, to be killed, frozen or started again.
    pub fn host_mut(&mut self, number: usize) -> &mut HostProcess {
        &mut self.hosts[number]
    }

    /// Waits until a host is ready.
    ///
    /// # Errors
    ///
    /// `NotReady`.
    pub async fn wait_ready(&self, number: usize) -> Result<(), HostStartError> {
        let plan = self.hosts[number].plan();
        wait_ready(&self.client, plan.metrics, &plan.name).await
    }
}

/// Waits until the host with the listener `metrics` is ready.
///
/// # Errors
///
/// `NotReady`.
pub async fn wait_ready(
    client: &HttpClient,
    metrics: SocketAddr,
    host: &str,
) -> Result<(), HostStartError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let request = hyper::Request::get(format!("http://{metrics}/readyz"))
            .body(Full::<Bytes>::default())
            .expect("question for readiness");
        if let Ok(response) = client.request(request).await
            && response.status().is_success()
        {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    let host = host.to_owned();
    Err(HostStartError::NotReady { host })
}
