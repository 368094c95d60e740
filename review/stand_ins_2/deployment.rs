//! A small deployment: a store, workers of a model and of a plain service, and entry hosts.

use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::host::Host;
use crate::store::Store;
use crate::worker::Run;
use crate::worker::Worker;

pub const MODEL: &str = "tables";
pub const PLAIN: &str = "ledger";
/// Zones. Hosts and workers are dealt out to them in turn.
pub const ZONES: [&str; 3] = ["lugo", "leon", "burgos"];
/// API keys of two tenants.
pub const KEY_ONE: &str = "key-one";
pub const KEY_TWO: &str = "key-two";

/// The config, with the figures of the smaller deployments' sheets.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-chat","host":"a.example","path-prefix":"/chat/","type":"streaming","timeout-ms":15000,
"latency-target-ms":800,"priority":1,"service":"tables","max-attempts":2,"anonymous":false,"sticky":true,
"resumable":true,"inter-token-ms":600},
{"name":"r-book","host":"a.example","path-prefix":"/book/","type":"non_idempotent","timeout-ms":4000,
"latency-target-ms":300,"priority":1,"service":"ledger","max-attempts":2,"anonymous":false,"sticky":false,
"resumable":false},
{"name":"r-report","host":"a.example","path-prefix":"/report/","type":"non_idempotent","timeout-ms":15000,
"latency-target-ms":300,"priority":1,"service":"ledger","max-attempts":2,"anonymous":false,"sticky":false,
"resumable":false},
{"name":"r-read","host":"a.example","path-prefix":"/read/","type":"idempotent","timeout-ms":4000,
"latency-target-ms":300,"priority":1,"service":"ledger","max-attempts":2,"anonymous":false,"sticky":false,
"resumable":false}],
"services":[{"name":"tables","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,
"cold-start-s":3.0,"cold-per-s":9.8,"runtime":{"slots":64,"kv-capacity":228336,"kv-token-bytes":327680,
"link-mbps":1100000.0,"migrations":true,"replicas":true,"stride":4,"most":12,"pin-ms":4000.0,
"hold-ms":2000.0,"handle-ttl-s":5.0,"model-list":[{"name":"m"}]}},
{"name":"ledger","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false,
"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000,"tokens-per-s":230000},
"tenants":[{"name":"house-one","api-keys":["key-one"]},{"name":"house-two","api-keys":["key-two"]}]}"#;

pub struct Deployment {
    pub store: Store,
    pub model: Vec<Worker>,
    pub plain: Vec<Worker>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts everything and waits until all hosts are ready. `model` and `plain` give the answers of the
    /// workers by their numbers, `hosts` the zones of the hosts.
    pub fn start(
        hosts: &[usize],
        memory_mb: usize,
        model: (usize, impl Fn(usize) -> Run),
        plain: (usize, impl Fn(usize) -> Run),
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let store = Store::start();
        store.put("config", "main", CONFIG);
        let zone = |n: usize| ZONES[n % ZONES.len()];
        let workers = |service, slots, (count, run): (usize, &dyn Fn(usize) -> Run)| {
            let start =
                |n| Worker::start(&format!("i-{service}-{n}"), service, zone(n), slots, run(n));
            let workers: Vec<_> = (0..count).map(start).collect();
            for (n, worker) in workers.iter().enumerate() {
                let offset = Duration::from_millis(1_200) * n as u32 / count as u32;
                worker.announce(&store, offset);
            }
            workers
        };
        let model = workers(MODEL, 64, (model.0, &model.1));
        let plain = workers(PLAIN, 6, (plain.0, &plain.1));
        let hosts = hosts
            .iter()
            .map(|n| Host::start(&folder, zone(*n), memory_mb, store.address))
            .collect();
        let deployment = Self {
            store,
            model,
            plain,
            hosts,
            folder,
        };
        let until = Instant::now() + Duration::from_secs(20);
        while deployment.store.count("cardamomshift-hosts") < deployment.hosts.len()
            || !deployment.hosts.iter().all(Host::is_ready)
        {
            if Instant::now() > until {
                return Err("the hosts are not ready after 20 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(1));
        Ok(deployment)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

static SENT: AtomicUsize = AtomicUsize::new(0);

/// Identifier of the next client attempt.
pub fn next_id() -> String {
    format!("{:016x}", SENT.fetch_add(1, Ordering::SeqCst) + 1)
}

/// A request to the model. `tokens` is the value of `Token-Usage`, `parts` that of `Prefix-Hash`.
pub fn model_request(id: &str, key: &str, deadline_ms: u64, tokens: &str, parts: &str) -> Vec<u8> {
    let body = format!("prompt of {id}");
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: {tokens}\r\n\
         Prefix-Hash: {parts}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request to the plain service, on a route that may run once (`/book/`) or again (`/read/`).
pub fn plain_request(id: &str, key: &str, path: &str, deadline_ms: u64) -> Vec<u8> {
    let body = format!("entry {id}");
    format!(
        "POST {path}1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {key}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
