//! Measures the time until an accepted configuration change is in force on every host.
//!
//! Each change creates a workspace while the object API, which stores the configuration, is slow,
//! loses a response, serves stale reads or is down, or while a host restarts. A watcher per host
//! keeps asking whether the host accepts the new workspaces' keys. A host that goes back to an
//! earlier configuration counts as a violation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cardamomshift_lib::configuration::Change;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_testutils::Outage;
use cardamomshift_testutils::history::ChangeObservation;
use cardamomshift_testutils::history::Violation;
use cardamomshift_testutils::history::check_configuration;
use cardamomshift_testutils::now_us;
use http_body_util::Full;
use hyper::StatusCode;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::rig::sleep_then_now;
use crate::fleet::FleetPlan;
use crate::load::HttpClient;
use crate::load::Latency;

/// Number of changes during each kind of failure.
const CHANGES_PER_FAILURE: usize = 5;
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between two requests to the same host.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a change may take to be accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(6);
/// How long to wait until the last change is in force.
const PROPAGATION_WAIT: Duration = Duration::from_secs(4);
/// Delay of each response of a slow object API.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(200);
/// How long the object API serves reads from before the change.
const STALE_READ_PERIOD: Duration = Duration::from_secs(1);
/// How long the object API is down.
const OBJECT_API_OUTAGE: Duration = Duration::from_secs(1);
/// Longest allowed time until a change is in force on every host.
const TARGET_S: f64 = 2.0;

/// Failure that is injected while a change is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    None,
    /// The object API responds slowly.
    Slow,
    /// The object API stores the change, but its response is lost.
    LostResponse,
    /// The object API serves stale reads.
    StaleReads,
    /// The object API is down.
    Outage,
    /// One host is killed and restarted.
    HostRestarted,
}

const FAILURES: [Failure; 6] = [
    Failure::None,
    Failure::Slow,
    Failure::LostResponse,
    Failure::StaleReads,
    Failure::Outage,
    Failure::HostRestarted,
];

/// Keys of the workspaces that the changes create, in the order of the changes.
type Keys = Arc<Mutex<Vec<String>>>;

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let plan = FleetPlan {
        engines_per_domain: 1,
        ..FleetPlan::flipperliga()
    };
    let mut rig = Rig::start(plan, RouterKind::Fleet).await?;
    let keys = Keys::default();
    let stop = CancellationToken::new();
    let mut watchers = JoinSet::new();
    for host in rig.fleet().hosts() {
        let watcher = KeyWatcher {
            client: rig.client().clone(),
            host: host.name.clone(),
            address: host.callers,
            keys: Arc::clone(&keys),
            observations: Vec::new(),
        };
        watchers.spawn(watcher.run(stop.clone()));
    }
    let mut accepted = Vec::new();
    for failure in FAILURES {
        for _ in 0..CHANGES_PER_FAILURE {
            accepted.push(change_during_failure(&mut rig, failure, &keys, seed).await?);
            sleep_then_now(CHANGE_INTERVAL).await;
        }
    }
    sleep_then_now(PROPAGATION_WAIT).await;
    stop.cancel();
    let observations: Vec<_> = watchers.join_all().await.into_iter().flatten().collect();
    Ok(result(&rig, &accepted, &observations, seed))
}

fn result(
    rig: &Rig,
    accepted: &[u64],
    observations: &[ChangeObservation],
    seed: u64,
) -> MeasureResult {
    let hosts: Vec<&str> = rig.fleet().hosts().iter().map(|h| &*h.name).collect();
    let (delays, violations) = check_configuration(accepted, &hosts, observations);
    let latency = Latency::from_micros(delays);
    let reversions = violations
        .iter()
        .filter(|violation| matches!(violation, Violation::Reverted { .. }))
        .count();
    let missing = violations.len() - reversions;
    let value = latency.max / 1e3;
    let details = BTreeMap::from([
        ("changes", accepted.len() as f64),
        ("p50_s", latency.p50 / 1e3),
        ("p99_s", latency.p99 / 1e3),
        ("reversions", reversions as f64),
        ("never_in_force", missing as f64),
    ]);
    MeasureResult {
        measure: "configuration",
        value,
        unit: "s until in force everywhere",
        target: TARGET_S,
        holds: violations.is_empty() && value <= TARGET_S,
        baseline: None,
        seed,
        runs: 1,
        details,
    }
}

/// Creates a workspace while a failure is injected, and returns the time of acceptance.
async fn change_during_failure(
    rig: &mut Rig,
    failure: Failure,
    keys: &Keys,
    seed: u64,
) -> Result<u64, MeasureError> {
    let objects = rig.fleet().platform().objects();
    match failure {
        Failure::None => {}
        Failure::Slow => objects.set_delay(SLOW_RESPONSE_DELAY),
        Failure::LostResponse => objects.drop_write_responses(1),
        Failure::StaleReads => objects.serve_stale(STALE_READ_PERIOD),
        Failure::Outage => {
            objects.set_outage(Outage::Broken);
            let objects = objects.clone();
            tokio::spawn(async move {
                sleep_then_now(OBJECT_API_OUTAGE).await;
                objects.set_outage(Outage::None);
            });
        }
        Failure::HostRestarted => restart_last_host(rig).await?,
    }
    let number = {
        let mut keys = keys.lock().expect("keys lock poisoned");
        let number = keys.len();
        keys.push(format!("audit-key-{seed}-{number}-0123456789abcdef"));
        number
    };
    let key = keys.lock().expect("keys lock poisoned")[number].clone();
    let change = Change::CreateWorkspace {
        name: format!("audit-{number}").into(),
        key_hash: hash_key(key.as_bytes()),
    };
    let at = submit_until_accepted(rig, number, &change).await?;
    objects.set_delay(Duration::ZERO);
    Ok(at)
}

async fn restart_last_host(rig: &mut Rig) -> Result<(), MeasureError> {
    let last = rig.fleet().hosts().len() - 1;
    if let Some(hosts) = rig.hosts() {
        hosts.host_mut(last).kill()?;
        hosts.host_mut(last).restart()?;
        hosts.wait_ready(last).await?;
    }
    Ok(())
}

/// Submits a change through one host after another until one accepts it, and returns the time. All
/// attempts have the same identifier, so that the change is applied only once.
async fn submit_until_accepted(
    rig: &Rig,
    number: usize,
    change: &Change,
) -> Result<u64, MeasureError> {
    let id = format!("change-{number}");
    let hosts = rig.fleet().hosts().len();
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let mut host = number % hosts;
    loop {
        match rig.operator(host).change(&id, change).await {
            Ok(()) => return Ok(now_us()),
            Err(err) if Instant::now() >= deadline => return Err(err.into()),
            Err(_) => sleep_then_now(POLL_INTERVAL).await,
        };
        host = (host + 1) % hosts;
    }
}

/// Polls one host for the new keys that it accepts.
struct KeyWatcher {
    client: HttpClient,
    host: String,
    address: SocketAddr,
    keys: Keys,
    observations: Vec<ChangeObservation>,
}

impl KeyWatcher {
    async fn run(mut self, stop: CancellationToken) -> Vec<ChangeObservation> {
        // Each round asks for the latest key, and for one earlier key to notice a reversion.
        let mut older = 0;
        while !stop.is_cancelled() {
            let count = self.keys.lock().expect("keys lock poisoned").len();
            if count > 0 {
                self.observe(count - 1).await;
                older = (older + 1) % count;
                self.observe(older).await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.observations
    }

    async fn observe(&mut self, change: usize) {
        let key = self.keys.lock().expect("keys lock poisoned")[change].clone();
        let request = hyper::Request::get(format!("http://{}/v1/models", self.address))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::<Bytes>::default())
            .expect("parts of the request are valid");
        let sent = now_us();
        let Ok(response) = self.client.request(request).await else {
            return;
        };
        let in_force = match response.status() {
            StatusCode::OK => true,
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => false,
            // Other statuses, such as that of a host without a configuration, show neither.
            _ => return,
        };
        self.observations.push(ChangeObservation {
            change,
            host: self.host.clone(),
            sent,
            received: now_us(),
            in_force,
        });
    }
}
