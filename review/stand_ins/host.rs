//! Entry hosts: the project's own processes, started with the command of the deploy file.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;

/// Command of `deploy/system.toml`.
const RUN: &str = "target/release/cardamomshiftd entry --metrics-port 9464";

/// Processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all hosts, for a case that takes too long.
pub fn end_all() {
    for id in RUNNING.lock().expect("the list of processes").drain(..) {
        let _ = Command::new("bash").args(["-c", &format!("kill -KILL {id}")]).status();
    }
}

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings of host `number` (from 1) and starts it.
    pub fn start(dir: &Path, number: u8, zone: &str, store: SocketAddr) -> Self {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip = Ipv4Addr::new(127, 64 | (high & 63), low, number);
        // All ports are held until all are chosen, so that they differ.
        let held: Vec<_> = (0..4)
            .map(|_| TcpListener::bind((ip, 0)).expect("a free port for a host"))
            .collect();
        let ports: Vec<_> = held
            .iter()
            .map(|listener| listener.local_addr().expect("an address").port())
            .collect();
        let name = format!("edge-{zone}-{number}");
        let text = settings(&name, zone, ip, &ports, store);
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, text).expect("the settings are written");
        let mut host = Self {
            callers: (ip, ports[0]).into(),
            readiness: (ip, ports[1]).into(),
            settings: path,
            log: dir.join(format!("{name}.log")),
            child: None,
            name,
        };
        drop(held);
        host.run();
        host
    }

    /// Starts the process, also again after it has ended.
    pub fn run(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log);
        let log = log.expect("a log file");
        let mut words = RUN.split(' ');
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("CARDAMOMSHIFT_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        let child = child.expect("the host is built");
        RUNNING.lock().expect("the list of processes").push(child.id());
        self.child = Some(child);
    }

    /// Memory that the process has resident, bytes; 0 if it does not run.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let line = status.unwrap_or_default();
        let line = line.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) << 10
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let mut running = RUNNING.lock().expect("the list of processes");
            running.retain(|id| *id != child.id());
        }
    }

    /// Stops the process (SIGSTOP), or lets it go on (SIGCONT).
    pub fn freeze(&self, is_on: bool) {
        if let Some(child) = &self.child {
            let signal = if is_on { "-STOP" } else { "-CONT" };
            let id = child.id();
            let _ = Command::new("bash").args(["-c", &format!("kill {signal} {id}")]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        call(self.readiness, head, &[], Duration::from_millis(300)).status == 200
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self, most: Duration) -> Result<(), String> {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > most {
                return Err(format!("{} is not ready after {most:?}", self.name));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings file as the platform writes it, with the figures of the site `flipperliga-ch`.
fn settings(name: &str, zone: &str, ip: Ipv4Addr, ports: &[u16], store: SocketAddr) -> String {
    let [front, ready, control, internal] = ports else {
        return String::new();
    };
    // UDP and TCP of the first port are used; the others are only named.
    let last = internal.saturating_add(15);
    format!(
        r#"{{"node-name":"{name}","role":"entry","machine-class":"edge","serves":["edge"],"ip":"{ip}",
"zone":"{zone}","region":"ch-mittelland",
"zones":{{"bern-a":"ch-mittelland","zurich-b":"ch-mittelland","basel-c":"ch-mittelland","luzern-d":"ch-mittelland"}},
"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"internal-ports":[{internal},{last}],"seeds":[],"bootstrap":true,"loss-counts":false,
"limits":{{"cpu-share":0.25,"cores":1,"memory-mb":110,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"virtual_ip","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"],
"fault-tolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stable-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
"grace-s":8,"loss-slack-ms":200,"config-ms":2000,"downgrade-ms":250,"partition-ms":5000,"revoke-strict":true,
"revoke-ms":5000,"retry-ratio":0.2,"retry-window-s":10,"retry-burst":52,"cold-overrun":1.5,"cold-slack":5,
"evacuate-ms":5000,"recovery-s":12,"delivery-lag-ms":120,"retry-after-s":8.1,"quota-window-s":4}},
"platform":{{"address":"{store}","form":"objects","writes-per-s":400,"reads-per-s":2000,"history-s":20,
"value-bytes":1048576,"ttl-min-ms":1000}}}}"#
    )
}
