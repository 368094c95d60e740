//! An entry host as a separate process that can be signalled and restarted.
//!
//! Several test crates include this module, and none of them uses all of it.

#![allow(dead_code)]

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::net::TcpStream;

use crate::stand_ins::CALLERS_PORT;
use crate::stand_ins::MACHINE_LIMITS;
use crate::stand_ins::MachineLimits;
use crate::stand_ins::READINESS_PORT;
use crate::stand_ins::get_text;
use crate::stand_ins::settings_text;

/// Longest time for the start of a process, including the longest suspension by a fault.
const START_TIMEOUT: Duration = Duration::from_secs(8);

/// An entry host and its process.
pub(crate) struct Host {
    pub(crate) name: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    /// Held while a fault ends and restarts the process, so that only one fault does so at a time.
    pub(crate) restart_lock: tokio::sync::Mutex<()>,
}

impl Host {
    /// Starts the process of host `number`. Its settings and its log are written to `folder`.
    pub(crate) fn start(number: u8, folder: &Path, store: SocketAddr) -> Self {
        Self::start_limited(number, folder, store, MACHINE_LIMITS)
    }

    /// Like [`Self::start`], with the limits of the process.
    pub(crate) fn start_limited(
        number: u8,
        folder: &Path,
        store: SocketAddr,
        machine: MachineLimits,
    ) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, 192 | (high & 31), low, number).into();
        let name = format!("h{number}");
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, settings_text(&name, ip, store, machine)).unwrap();
        let log = folder.join(format!("{name}.log"));
        Self {
            child: Mutex::new(spawn(&settings, &log)),
            name,
            ip,
            settings,
            log,
            restart_lock: tokio::sync::Mutex::new(()),
        }
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let response = get_text(address, "/-/readiness");
        let response = tokio::time::timeout(Duration::from_secs(1), response).await;
        response.is_ok_and(|(status, _)| status.is_success())
    }

    /// Sends a signal to the process, unless it has exited.
    pub(crate) fn signal(&self, signal: Signal) {
        let mut child = self.child.lock().unwrap();
        if child.try_wait().unwrap().is_some() {
            return;
        }
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.unwrap(), signal).unwrap();
    }

    /// Waits until the process exits. `None` if it does not within `timeout`.
    pub(crate) async fn wait_for_exit(&self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let status = self.child.lock().unwrap().try_wait().unwrap();
            if status.is_some() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Waits until the process accepts connections for readiness checks, which it does after it has
    /// installed its signal handlers. An earlier signal would end it by the default action, without
    /// any log line.
    pub(crate) async fn wait_until_listening(&self) {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(address).await.is_err() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts the process again after it has exited.
    pub(crate) fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.settings, &self.log);
    }

    pub(crate) fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READINESS_PORT)
    }

    pub(crate) fn process_id(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Most memory that the process has had resident, bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let id = self.child.lock().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.unwrap().trim().strip_suffix(" kB").unwrap();
        number.parse::<usize>().unwrap() << 10
    }

    /// Version of the configuration that the process has activated last, 0 if none.
    pub(crate) fn config_version(&self) -> u64 {
        let log = std::fs::read_to_string(&self.log).unwrap();
        let line = log
            .lines()
            .rfind(|line| line.contains("configuration activated"));
        line.map_or(0, |line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            line["version"].as_u64().unwrap()
        })
    }

    /// Whether the process has not exited.
    pub(crate) fn is_running(&self) -> bool {
        self.child.lock().unwrap().try_wait().unwrap().is_none()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        // Fails if the process has already exited.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Starts the daemon as an entry host, with its output appended to `log`.
fn spawn(settings: &Path, log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_cardamomshiftd"))
        .arg("entry")
        .env("CARDAMOMSHIFT_CONFIG", settings)
        .stdout(out.try_clone().unwrap())
        .stderr(out)
        .stdin(Stdio::null())
        .spawn()
        .unwrap()
}
