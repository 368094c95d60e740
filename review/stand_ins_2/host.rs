//! Entry hosts as separate processes, started with the command of the deploy file, and what the
//! platform does with them: readiness checks, the limit of memory, restarts.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::call;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Ends a process together with the one that started it (Linux).
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

static STARTED: AtomicUsize = AtomicUsize::new(0);

/// Settings and process of one entry host.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Host {
    /// Starts a host with `memory_mb` of memory in a zone. `folder` is for its settings and its log.
    pub fn start(folder: &Path, zone: &str, memory_mb: usize, store: SocketAddr) -> Self {
        let number = STARTED.fetch_add(1, Ordering::SeqCst) + 1;
        // An address of its own, so that the port for metrics, which the command names, is free.
        let pid = std::process::id();
        let ip: IpAddr = [
            127,
            10 + (pid / 250 % 200) as u8,
            (pid % 250) as u8,
            number as u8,
        ]
        .into();
        let free = |ip: IpAddr| {
            let listener = TcpListener::bind((ip, 0)).expect("free port");
            listener.local_addr().expect("address")
        };
        let (front, ready, control, internal) = (free(ip), free(ip), free(ip), free(ip).port());
        let name = format!("edge-{zone}-{number}");
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"node-name":"{name}","role":"entry","machine-class":"edge","serves":["edge"],
"ip":"{ip}","zone":"{zone}","region":"r","zones":{{"{zone}":"r"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},
"internal-ports":[{internal},{internal}],"seeds":["{control}"],"bootstrap":true,"loss-counts":false,
"limits":{{"cpu-share":1.0,"cores":1,"memory-mb":{memory_mb},"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"virtual_ip","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"],
"fault-tolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stable-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
"grace-s":8,"loss-slack-ms":200,"config-ms":2000,"downgrade-ms":250,"partition-ms":5000,"revoke-strict":true,
"revoke-ms":5000,"retry-ratio":0.2,"retry-window-s":10,"retry-burst":52,"cold-overrun":1.5,"cold-slack":5,
"evacuate-ms":5000,"recovery-s":12,"delivery-lag-ms":120,"retry-after-s":8.1,"quota-window-s":4}},
"platform":{{"address":"{store}","form":"objects","writes-per-s":400,"reads-per-s":2000,"history-s":20,
"value-bytes":1048576,"ttl-min-ms":1000}}}}"#
        );
        std::fs::write(&settings, text).expect("settings file");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self {
            name,
            front,
            ready,
            settings,
            log,
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).status == 200
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Memory in use (VmRSS), MB.
    pub fn memory_mb(&self) -> usize {
        memory_mb(self.pid(), "VmRSS:")
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A figure of a process in MB.
pub fn memory_mb(pid: u32, name: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kb.unwrap_or(0) / 1024
}

/// Runs the command of the deploy file in the root of the repository.
fn spawn(settings: &Path, log: &Path) -> Child {
    let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy file");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let mut words = run.expect("command").trim().trim_matches('"').split(' ');
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("log file");
    let mut command = Command::new(words.next().expect("program"));
    command
        .args(words)
        .env_clear()
        .env("CARDAMOMSHIFT_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log file"))
        .stderr(log);
    // SAFETY: `prctl` may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn().expect("start of an entry host")
}
