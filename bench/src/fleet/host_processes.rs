//! Starts the hosts of a fleet as processes and waits until they are ready.

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

/// How long a host may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two readiness checks of a host.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the hosts of a fleet could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HostStartError {
    /// A settings file could not be written.
    #[snafu(display("cannot write the settings file of a host: {source}"))]
    Settings {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A host process could not be started.
    #[snafu(display("cannot start the process of a host: {source}"))]
    Start {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A host in this process could not be started.
    #[snafu(display("cannot start host {host}: {source}"))]
    Daemon {
        /// Name of the host.
        host: String,
        /// Cause of the failure.
        source: DaemonError,
    },
    /// A host did not become ready in time.
    #[snafu(display("host {host} did not become ready within {} s", READY_TIMEOUT.as_secs()))]
    NotReady {
        /// Name of the host.
        host: String,
    },
}

/// The running hosts of a fleet, each a process. Dropping this kills them.
#[derive(Debug)]
pub struct HostProcesses {
    hosts: Vec<HostProcess>,
    client: HttpClient,
    _settings: TempDir,
}

impl HostProcesses {
    /// Starts every host of a fleet with the command `program host`, and waits until all are ready.
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

    /// Host processes, by host number.
    pub fn hosts(&self) -> &[HostProcess] {
        &self.hosts
    }

    /// Host process to be killed, suspended or restarted.
    pub fn host_mut(&mut self, number: usize) -> &mut HostProcess {
        &mut self.hosts[number]
    }

    /// Waits until a host is ready.
    ///
    /// # Errors
    ///
    /// [`HostStartError::NotReady`] if it takes too long.
    pub async fn wait_ready(&self, number: usize) -> Result<(), HostStartError> {
        let plan = self.hosts[number].plan();
        wait_ready(&self.client, plan.metrics, &plan.name).await
    }
}

/// Waits until the host that serves its health checks at `metrics` is ready.
///
/// # Errors
///
/// [`HostStartError::NotReady`] if it takes too long.
pub async fn wait_ready(
    client: &HttpClient,
    metrics: SocketAddr,
    host: &str,
) -> Result<(), HostStartError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let request = hyper::Request::get(format!("http://{metrics}/readyz"))
            .body(Full::<Bytes>::default())
            .expect("parts of the request are valid");
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
