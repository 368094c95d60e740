//! Admissions above what a cold server bears.

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

const COLD_START: Duration = Duration::from_secs(5);
const AFTER_RESTART: Duration = Duration::from_secs(3);
const AFTER_UNANNOUNCED_COLD: Duration = Duration::from_secs(3);
const PARTITION: Duration = Duration::from_secs(4);
const AFTER_KILL: Duration = Duration::from_secs(3);
const LAST_WINDOW: Duration = Duration::from_secs(3);
/// Time that open calls have to end.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

struct Figures {
    violations: f64,
    /// The first fall after each silent return to cold, which nothing announces.
    unannounced_crashes: f64,
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
        // A router that sends nothing would overload nothing.
        holds: fleet.violations == 0.0 && fleet.last_busy_percent > 0.0,
        baseline: Some(baseline.violations),
        seed,
        runs: 1,
        details,
    })
}

async fn run(kind: RouterKind, seed: u64) -> Result<Figures, MeasureError> {
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
    // Each half of the failure domain now decides alone about the same cold server.
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
    let busy = history
        .warm_slot_utilisation(&waiting, |_| true)
        .unwrap_or(0.0);
    let (violations, unannounced_crashes) = count_violations(&rig, &domains[1], unannounced_at);
    Ok(Figures {
        violations: violations as f64,
        unannounced_crashes: unannounced_crashes as f64,
        last_busy_percent: busy * 100.0,
    })
}

fn restart_one_engine(rig: &Rig, domain: &str) {
    let engines = rig.fleet().engines();
    let engine = engines.iter().find(|(of, _)| *of == domain);
    if let Some((_, engine)) = engine {
        engine.restart();
    }
}

/// Turns all engines of a failure domain cold without any sign, and gives the time.
fn set_domain_cold(rig: &Rig, domain: &str) -> u64 {
    let engines = rig.fleet().engines();
    for (_, engine) in engines.iter().filter(|(of, _)| *of == domain) {
        engine.set_cold();
    }
    now_us()
}

fn set_links_within_domain(rig: &Rig, domain: &str, to: LinkState) {
    let hosts = rig.fleet().hosts().iter();
    let addresses: Vec<_> = hosts
        .filter(|host| host.domain == domain)
        .map(|host| host.peers.ip())
        .collect();
    let (one, other) = addresses.split_at(1);
    rig.fleet().network().set_between(one, other, to);
}

/// Violations, and falls that no router can foresee: the first one of each engine after it turned
/// cold without any sign.
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
