//! Runs an entry host as a process of its own, with the command of the deploy file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

pub const SIGKILL: i32 = 9;
/// Memory and descriptors of the machine of the pages' example.
pub const MEMORY_MB: u64 = 110;
const DESCRIPTORS: u32 = 4_100;
/// Ports of callers, readiness, control, and the other hosts, below those that the kernel gives out.
const PORTS: [u16; 4] = [8_783, 8_780, 8_785, 7_400];
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_464;
/// Longest time until a host is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Host {
    process: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

/// An address for a host on which its ports are free.
fn free_address(number: u32) -> io::Result<String> {
    let pid = std::process::id();
    let is_free = |ip: &str| {
        let mut ports = PORTS.iter().chain([&METRICS_PORT]);
        ports.all(|port| {
            TcpListener::bind((ip, *port)).is_ok() && UdpSocket::bind((ip, *port)).is_ok()
        })
    };
    let addresses = (0..250).map(|shift| {
        let third = 1 + (pid + shift) % 250;
        format!("127.{}.{third}.{}", 64 + pid / 250 % 64, number + 1)
    });
    let mut free = addresses.filter(|ip| is_free(ip));
    free.next().ok_or_else(|| io::Error::other("no free ports"))
}

impl Host {
    /// Starts the host number `number` and waits until it is ready. Its settings and its log lie in `folder`.
    pub fn start(number: u32, folder: &Path, store: SocketAddr) -> io::Result<Self> {
        // Hosts have addresses of their own, since the deploy file names the port of the metrics.
        let ip = free_address(number)?;
        let name = format!("edge-bern-a-{number}");
        let [front, ready, control, internal] = PORTS;
        let settings = format!(
            "{{\"node-name\":\"{name}\",\"role\":\"entry\",\"machine-class\":\"edge\",\"serves\":[\"edge\"],\
             \"ip\":\"{ip}\",\"zone\":\"bern-a\",\"region\":\"ch-mittelland\",\
             \"zones\":{{\"bern-a\":\"ch-mittelland\"}},\
             \"listen\":{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\",\"control\":\"{ip}:{control}\"}},\
             \"internal-ports\":[{internal},{internal}],\"seeds\":[],\"bootstrap\":true,\"loss-counts\":false,\
             \"limits\":{{\"cpu-share\":0.25,\"cores\":1,\"memory-mb\":{MEMORY_MB},\"max-fds\":{DESCRIPTORS},\
             \"link-mbps\":1000.0,\"disk-mb\":0}},\"data-dir\":null,\"discovery\":\"platform\",\
             \"entry\":\"virtual_ip\",\"heartbeat-ms\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\
             \"tenants\",\"places\",\"platform\"],\
             \"fault-tolerance\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seed-lag-s\":3,\"reuse-after-s\":2,\"stable-ms\":3000,\"ack-ms\":4000,\
             \"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,\"config-ms\":2000,\
             \"downgrade-ms\":250,\"partition-ms\":5000,\"revoke-strict\":true,\"revoke-ms\":5000,\
             \"retry-ratio\":0.2,\"retry-window-s\":10,\"retry-burst\":52,\"cold-overrun\":1.5,\
             \"cold-slack\":5,\"evacuate-ms\":5000,\"recovery-s\":12,\"delivery-lag-ms\":120,\
             \"retry-after-s\":8.1,\"quota-window-s\":4}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"objects\",\"writes-per-s\":400,\
             \"reads-per-s\":2000,\"history-s\":20,\"value-bytes\":1048576,\"ttl-min-ms\":1000}}}}"
        );
        let path: PathBuf = folder.join(format!("boot-{number}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("host-{number}.log")))?;
        let spawn = || {
            Command::new("target/release/cardamomshiftd")
                .args(["entry", "--metrics-port", "9464"])
                .env("CARDAMOMSHIFT_CONFIG", &path)
                .stdout(log.try_clone()?)
                .stderr(log.try_clone()?)
                .spawn()
        };
        let mut host = Self {
            process: spawn()?,
            callers: SocketAddr::new(ip.parse().map_err(io::Error::other)?, front),
            readiness: SocketAddr::new(ip.parse().map_err(io::Error::other)?, ready),
        };
        let until = Instant::now() + START_TIMEOUT;
        while !host.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other("the host is not ready in time"));
            }
            // As the platform does with a process that has ended.
            if !host.is_running() {
                host.process = spawn()?;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(host)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut connection = Connection::connect(self.readiness)?;
            connection
                .write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(connection.read_head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Resident memory of the process, KB.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if self.is_running() {
            self.signal(SIGKILL);
            let _ = self.process.wait();
        }
    }
}
