//! The program as a process of its own, and what is done to it.

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
use crate::stand_ins::READINESS_PORT;
use crate::stand_ins::get_text;
use crate::stand_ins::settings_text;

/// Longest start of a process, with the longest pause by a fault.
const START_TIMEOUT: Duration = Duration::from_secs(8);

/// A host and its process.
pub(crate) struct Host {
    pub(crate) name: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    /// Held by whoever ends the process and starts it again.
    pub(crate) restart_lock: tokio::sync::Mutex<()>,
}

impl Host {
    pub(crate) fn start(number: u8, folder: &Path, store: SocketAddr) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, 192 | (high & 31), low, number).into();
        let name = format!("h{number}");
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, settings_text(&name, ip, store)).unwrap();
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

    /// Sends a signal to the process, unless it has ended.
    pub(crate) fn signal(&self, signal: Signal) {
        let mut child = self.child.lock().unwrap();
        if child.try_wait().unwrap().is_some() {
            return;
        }
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.unwrap(), signal).unwrap();
    }

    /// Waits for the end of the process, `None` if it does not end within `timeout`.
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

    /// Waits until the process handles signals: one that comes before ends it as any program, which
    /// the first soaks showed by lives without a line in their logs.
    pub(crate) async fn wait_until_listening(&self) {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(address).await.is_err() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts the process again after its end.
    pub(crate) fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.settings, &self.log);
    }

    /// Whether the process runs.
    pub(crate) fn is_running(&self) -> bool {
        self.child.lock().unwrap().try_wait().unwrap().is_none()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        // It may have ended before.
        let _ = child.kill();
        let _ = child.wait();
    }
}

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
