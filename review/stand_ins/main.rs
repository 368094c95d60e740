//! Runs one case of the review: `stand_ins CASE FOLDER`.
//!
//! It starts entry hosts as processes, and in this process stand-ins of the platform's store, model
//! workers and clients. Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With the variable `TROUBLE=0` the disruption is left out.

mod case_cold;
mod case_early;
mod case_fleet;
mod case_key;
mod case_limit;
mod case_memory;
mod host;
mod http;
mod record;
mod store;
mod worker;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Answer;
use crate::record::Record;
use crate::store::Store;

/// Longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Verdict {
    Broken(String),
    Held(String),
}

/// What all cases use.
pub struct Scene {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Whether the prompts of all requests begin with the same part.
    pub has_shared_part: bool,
    pub dir: PathBuf,
    pub store: Store,
    pub record: Record,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: stand_ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(err) = std::fs::create_dir_all(&dir) {
        eprintln!("cannot create a temporary folder: {err}");
        return ExitCode::from(2);
    }
    let scene = Arc::new(Scene {
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        has_shared_part: case != "limit",
        dir: dir.clone(),
        store: Store::start(),
        record: Record::new(),
    });
    let record = scene.record.clone();
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        host::end_all();
        eprintln!("could not run: not done after {LONGEST:?}");
        std::process::exit(2);
    });
    // A panic of a stand-in means that the case could not run. Hosts are ended as it unwinds.
    let run = std::panic::AssertUnwindSafe(|| match case.as_str() {
        "cold" => case_cold::run(&scene),
        "early" => case_early::run(&scene),
        "fleet" => case_fleet::run(&scene),
        "key" => case_key::run(&scene),
        "limit" => case_limit::run(&scene),
        "memory" => case_memory::run(&scene),
        _ => Err(format!("no case \"{case}\"")),
    });
    let result = std::panic::catch_unwind(run).unwrap_or(Err("a stand-in failed".to_owned()));
    let code = match &result {
        Ok(Verdict::Broken(what)) => {
            record.note(&format!("BROKEN: {what}"));
            1
        }
        Ok(Verdict::Held(what)) => {
            record.note(&format!("held: {what}"));
            0
        }
        Err(what) => {
            record.note(&format!("could not run: {what}"));
            2
        }
    };
    if let Err(err) = record.write(&Path::new(&folder).join("record.txt")) {
        eprintln!("cannot write the record: {err}");
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(dir);
    }
    ExitCode::from(code)
}

/// A configuration with a route to the service `model`, of streams that are not resumable, and two to the
/// service `desk`, of requests that are not idempotent.
pub fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"commentary","host":"app.example","path-prefix":"/s/",
"type":"streaming","timeout-ms":4000,"latency-target-ms":800,"priority":1,"service":"model","max-attempts":1,
"anonymous":false,"sticky":true,"resumable":false,"inter-token-ms":600}},
{{"name":"submit","host":"app.example","path-prefix":"/w/","type":"non_idempotent","timeout-ms":4000,
"latency-target-ms":300,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,
"resumable":false}},
{{"name":"score","host":"app.example","path-prefix":"/q/","type":"non_idempotent","timeout-ms":2000,
"latency-target-ms":300,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,
"resumable":false}}],
"services":[{{"name":"model","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,
"cold-start-s":3.0,"cold-per-s":9.8,"runtime":{{"slots":64,"kv-capacity":228336,"kv-token-bytes":327680,
"link-mbps":1100000.0,"model-list":[{{"name":"m"}}]}}}},
{{"name":"desk","health-path":"/healthz","max-connections":960,"protocol":"h1","tls":false,"cold-start-s":0.0,
"cold-per-s":0.0}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
"idle-timeout-ms":15000,"tokens-per-s":230000}},
"tenants":[{{"name":"house-one","api-keys":[{}],"priority":1}}]}}"#,
        keys.join(",")
    )
}

/// A client's attempt that has ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// The host.
    pub to: SocketAddr,
    pub sent_at: Instant,
    pub answer: Answer,
}

/// Sends one short prompt with a key. Its client waits for `deadline`.
pub fn send(scene: &Scene, to: SocketAddr, id: &str, key: &str, deadline: Duration) -> Attempt {
    let body = "p".repeat(1_086);
    let own = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    // The last part belongs to the request itself; the first one may be shared by all.
    let first = if scene.has_shared_part { 0x5c1e_07a2 } else { own.rotate_left(17) };
    let head = format!(
        "POST /s/live HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 543,40\r\nPrefix-Hash: {first:x}:100,{own:x}:443\r\nDeadline-Ms: {}\r\n\
         Authorization: Token {key}\r\nContent-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    scene.record.line(&format!("sent {id} to {to}"));
    let sent_at = Instant::now();
    let answer = http::call(to, &head, body.as_bytes(), deadline);
    let (status, ms) = (answer.status, answer.took.as_millis());
    let whole = if answer.is_complete { "whole" } else { "not whole" };
    scene.record.line(&format!("answered {id}: {status}, {whole}, after {ms} ms"));
    Attempt {
        id: id.to_owned(),
        to,
        sent_at,
        answer,
    }
}

/// Clients that send at a steady rate until they are stopped, to the hosts in turn.
pub struct Traffic {
    stop: Arc<Mutex<bool>>,
    pacer: std::thread::JoinHandle<Vec<Attempt>>,
}

impl Traffic {
    pub fn start(scene: &Arc<Scene>, to: Vec<SocketAddr>, per_s: f64, deadline: Duration) -> Self {
        let stop = Arc::new(Mutex::new(false));
        let (stopped, scene) = (stop.clone(), scene.clone());
        let pacer = std::thread::spawn(move || {
            let began = Instant::now();
            let mut clients = Vec::new();
            for n in 0_u32.. {
                let due = began + Duration::from_secs_f64(f64::from(n) / per_s);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if *stopped.lock().expect("the stop flag") {
                    break;
                }
                let (scene, to) = (scene.clone(), to[n as usize % to.len()]);
                clients.push(std::thread::spawn(move || {
                    send(&scene, to, &format!("a{n:05}"), "key-one", deadline)
                }));
            }
            let ended = clients.into_iter().map(|client| client.join());
            ended.filter_map(Result::ok).collect()
        });
        Self { stop, pacer }
    }

    /// Stops sending, and waits for all answers.
    pub fn stop(self) -> Vec<Attempt> {
        *self.stop.lock().expect("the stop flag") = true;
        self.pacer.join().unwrap_or_default()
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Largest number of the times within a second.
pub fn most_in_a_second(times: &[Instant]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let second = Duration::from_secs(1);
    let from = |at: usize| times[at..].partition_point(|time| *time < times[at] + second);
    (0..times.len()).map(from).max().unwrap_or(0)
}
