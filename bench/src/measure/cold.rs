//! Measures whether hosts send a cold engine more requests than it can run.
//!
//! A model engine is cold until it has completed enough requests to reach its full capacity. Above
//! its lower cold limit it crashes. Engines become cold at the start, after a restart, and without
//! any notice, and hosts are also partitioned and killed. The result is the number of requests that
//! exceeded the cold limit.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_testutils::LinkState;
use cardamomshift_testutils::history::Interval;
use cardamomshift_testutils::history::check_cold_limit;
use cardamomshift_testutils::now_us;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::model_history::ModelHistory;
use super::rig::sleep_then_now;
use super::traffic::loads_with_flood;
use crate::fleet::FleetPlan;

/// Load on engines that all start cold.
const COLD_START: Duration = Duration::from_secs(5);
/// Load after the restart of one engine.
const AFTER_RESTART: Duration = Duration::from_secs(3);
/// Load after engines became cold without notice.
const AFTER_UNANNOUNCED_COLD: Duration = Duration::from_secs(3);
/// How long the hosts of a failure domain are partitioned.
const PARTITION: Duration = Duration::from_secs(4);
/// Load after the kill of a host.
const AFTER_KILL: Duration = Duration::from_secs(3);
/// Last part of the run, over which the utilisation is taken.
const LAST_WINDOW: Duration = Duration::from_secs(3);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of one run.
struct RunResult {
    /// Number of requests above the cold limit, without `unannounced_crashes`.
    violations: f64,
    /// First crash of each engine after it became cold without notice, which no router can foresee.
    unannounced_crashes: f64,
    /// Warm slot utilisation in the last window.
    last_busy_percent: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    let details = BTreeMap::from([
        ("unannounced_first_falls", fleet.unannounced_crashes),
        ("last_busy_percent", fleet.last_busy_percent),
        ("baseline_last_busy_percent", baseline.last_busy_percent),
    ]);
    Ok(MeasureResult {
        measure: "cold",
        value: fleet.violations,
        unit: "admissions above the cold limit",
        target: 0.0,
        // A router that sends no requests would have no violations either.
        holds: fleet.violations == 0.0 && fleet.last_busy_percent > 0.0,
        baseline: Some(baseline.violations),
        seed,
        runs: 1,
        details,
    })
}

async fn run(kind: RouterKind, seed: u64) -> Result<RunResult, MeasureError> {
    let plan = FleetPlan::teranga();
    let loads = loads_with_flood(&plan);
    let domains = plan.domains.clone();
    let mut rig = Rig::start(plan, kind).await?;
    let load = rig.load(loads, seed);
    sleep_then_now(COLD_START).await;
    restart_one_engine(&rig, &domains[0]);
    sleep_then_now(AFTER_RESTART).await;
    let unannounced_at = set_domain_cold(&rig, &domains[1]);
    sleep_then_now(AFTER_UNANNOUNCED_COLD).await;
    // The hosts of the failure domain now cannot coordinate, but send to the same cold engine.
    set_links_within_domain(&rig, &domains[2], LinkState::Stalled);
    restart_one_engine(&rig, &domains[2]);
    sleep_then_now(PARTITION).await;
    rig.fleet().network().heal();
    if let Some(hosts) = rig.hosts() {
        hosts.host_mut(0).kill()?;
        sleep_then_now(AFTER_KILL).await;
    }
    let from = now_us();
    let to = sleep_then_now(LAST_WINDOW).await;
    let calls = load.finish(FINISH_TIMEOUT).await;
    let history = ModelHistory::read(rig.fleet());
    let waiting = history.waiting(&calls, Interval { from, to });
    let utilisation = history
        .warm_slot_utilisation(&waiting, |_| true)
        .unwrap_or(0.0);
    let (violations, unannounced_crashes) = count_violations(&rig, &domains[1], unannounced_at);
    Ok(RunResult {
        violations: violations as f64,
        unannounced_crashes: unannounced_crashes as f64,
        last_busy_percent: utilisation * 100.0,
    })
}

/// Restarts the first engine of a failure domain, which makes it cold.
fn restart_one_engine(rig: &Rig, domain: &str) {
    let engines = rig.fleet().engines();
    let engine = engines.iter().find(|(of, _)| *of == domain);
    if let Some((_, engine)) = engine {
        engine.restart();
    }
}

/// Makes all engines of a failure domain cold without closing a connection or reporting it. Returns
/// the time at which that was done.
fn set_domain_cold(rig: &Rig, domain: &str) -> u64 {
    let engines = rig.fleet().engines();
    for (_, engine) in engines.iter().filter(|(of, _)| *of == domain) {
        engine.set_cold();
    }
    now_us()
}

/// Sets the state of the links between the first host of a failure domain and its other hosts.
fn set_links_within_domain(rig: &Rig, domain: &str, to: LinkState) {
    let hosts = rig.fleet().hosts().iter();
    let addresses: Vec<_> = hosts
        .filter(|host| host.domain == domain)
        .map(|host| host.peers.ip())
        .collect();
    let (first, others) = addresses.split_at(1);
    rig.fleet().network().set_between(first, others, to);
}

/// Counts the violations, and apart from them the crashes that no router can foresee: the first one
/// of each engine after it became cold without notice.
fn count_violations(rig: &Rig, unannounced_domain: &str, unannounced_at: u64) -> (usize, usize) {
    let limit = rig.fleet().plan().engine.cold_limit;
    let mut violations = 0;
    let mut unannounced_crashes = 0;
    for (domain, engine) in rig.fleet().engines() {
        let crashes = engine.violations();
        let found = check_cold_limit(&engine.records(), &crashes, limit).len();
        let crashed_after = crashes.iter().any(|crash| crash.at >= unannounced_at);
        let excluded = usize::from(domain == unannounced_domain && crashed_after);
        violations += found - excluded;
        unannounced_crashes += excluded;
    }
    (violations, unannounced_crashes)
}
