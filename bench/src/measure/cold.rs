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
use super::record::ModelHistory;
use super::rig::pass;
use super::traffic::one_floods;
use crate::fleet::FleetPlan;

const FROM_COLD: Duration = Duration::from_secs(5);
const AFTER_RESTART: Duration = Duration::from_secs(3);
const AFTER_SILENT_RETURN: Duration = Duration::from_secs(3);
const CUT: Duration = Duration::from_secs(4);
const AFTER_KILL: Duration = Duration::from_secs(3);
const LAST_WINDOW: Duration = Duration::from_secs(3);
/// Time that open calls have to end.
const PATIENCE: Duration = Duration::from_secs(2);

struct Figures {
    violations: f64,
    /// The first fall after each silent return to cold, which nothing announces.
    unannounced: f64,
    last_busy_percent: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    let details = BTreeMap::from([
        ("unannounced_first_falls", fleet.unannounced),
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
    let loads = one_floods(&plan);
    let domains = plan.domains.clone();
    let mut rig = Rig::start(plan, kind).await?;
    let load = rig.load(loads, seed);
    pass(FROM_COLD).await;
    restart_one(&rig, &domains[0]);
    pass(AFTER_RESTART).await;
    let silent_at = turn_cold(&rig, &domains[1]);
    pass(AFTER_SILENT_RETURN).await;
    // Each half of the failure domain now decides alone about the same cold server.
    split_hosts(&rig, &domains[2], LinkState::Stalled);
    restart_one(&rig, &domains[2]);
    pass(CUT).await;
    rig.fleet().network().heal();
    if let Some(hosts) = rig.hosts() {
        hosts.host_mut(0).kill()?;
        pass(AFTER_KILL).await;
    }
    let from = now_us();
    let to = pass(LAST_WINDOW).await;
    let calls = load.finish(PATIENCE).await;
    let history = ModelHistory::read(rig.fleet());
    let waiting = history.waiting(&calls, Interval { from, to });
    let busy = history.busy_share(&waiting, |_| true).unwrap_or(0.0);
    let (violations, unannounced) = count(&rig, &domains[1], silent_at);
    Ok(Figures {
        violations: violations as f64,
        unannounced: unannounced as f64,
        last_busy_percent: busy * 100.0,
    })
}

fn restart_one(rig: &Rig, domain: &str) {
    let engines = rig.fleet().engines();
    let engine = engines.iter().find(|(of, _)| *of == domain);
    if let Some((_, engine)) = engine {
        engine.restart();
    }
}

/// Turns all engines of a failure domain cold without any sign, and gives the time.
fn turn_cold(rig: &Rig, domain: &str) -> u64 {
    let engines = rig.fleet().engines();
    for (_, engine) in engines.iter().filter(|(of, _)| *of == domain) {
        engine.set_cold();
    }
    now_us()
}

fn split_hosts(rig: &Rig, domain: &str, to: LinkState) {
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
fn count(rig: &Rig, silent_domain: &str, silent_at: u64) -> (usize, usize) {
    let limit = rig.fleet().plan().engine.cold_limit;
    let mut violations = 0;
    let mut unannounced = 0;
    for (domain, engine) in rig.fleet().engines() {
        let falls = engine.violations();
        let found = check_cold_limit(&engine.records(), &falls, limit).len();
        let after = falls.iter().any(|fall| fall.at >= silent_at);
        let forgiven = usize::from(domain == silent_domain && after);
        violations += found - forgiven;
        unannounced += forgiven;
    }
    (violations, unannounced)
}
