//! Measures the service while operators take a failure domain out of service and bring it back.
//!
//! The result is the number of requests that still start in the domain after a grace period. The
//! measurement also requires that the other domains stay fully used, that no request is
//! interrupted, and that the domain is fully used again soon after its return.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::configuration::Change;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::history::Interval;
use cardamomshift_testutils::history::Intervals;
use cardamomshift_testutils::history::check_starts_while_out_of_service;
use cardamomshift_testutils::now_us;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::model_history::ModelHistory;
use super::rig::sleep_then_now;
use super::traffic::loads_with_flood;
use crate::fleet::FleetPlan;

/// Load before the outage, until the fleet is in a steady state.
const WARM_UP: Duration = Duration::from_secs(6);
/// How long the failure domain is out of service.
const OUTAGE: Duration = Duration::from_secs(7);
/// Load after the return of the domain.
const AFTER_RETURN: Duration = Duration::from_secs(12);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the domain was taken out of service in which requests may still start there,
/// microseconds.
const GRACE_US: u64 = 3_000_000;
/// Warm slot utilisation, from 0 to 1, at which a domain counts as fully used.
const UTILISATION_TARGET: f64 = 0.95;
/// Longest allowed time from the return of the domain until it is fully used.
const RETURN_TARGET_S: f64 = 10.0;
/// Window over which a failure domain must be fully used to count as returned, microseconds.
const FULL_USE_US: u64 = 1_000_000;
/// Step by which that window moves in the search, microseconds.
const FULL_USE_STEP_US: u64 = 100_000;

/// Result of one run.
struct RunResult {
    /// Requests that started in the domain after the grace period.
    late_starts: f64,
    /// Warm slot utilisation of the other domains during the outage, from 0 to 1.
    others_utilisation: f64,
    /// Time from the return of the domain until it is fully used, seconds.
    return_s: f64,
    /// Requests whose run was lost or cancelled between the outage and the end.
    interrupted_requests: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    let holds = fleet.late_starts == 0.0
        && fleet.interrupted_requests == 0.0
        && fleet.others_utilisation >= UTILISATION_TARGET
        && fleet.return_s <= RETURN_TARGET_S;
    let details = BTreeMap::from([
        ("others_busy_percent", fleet.others_utilisation * 100.0),
        ("full_use_after_return_s", fleet.return_s),
        ("requests_cut_off", fleet.interrupted_requests),
    ]);
    Ok(MeasureResult {
        measure: "domain-outage",
        value: fleet.late_starts,
        unit: "starts later than 3 s",
        target: 0.0,
        holds,
        baseline: Some(baseline.late_starts),
        seed,
        runs: 1,
        details,
    })
}

async fn run(kind: RouterKind, seed: u64) -> Result<RunResult, MeasureError> {
    let plan = FleetPlan::teranga();
    let loads = loads_with_flood(&plan);
    let domain = plan.domains[1].clone();
    let rig = Rig::start(plan, kind).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    sleep_then_now(WARM_UP).await;
    let name = domain.as_str().into();
    change(&rig, "outage", Change::TakeDomainOut { name }).await?;
    let from = now_us();
    sleep_then_now(OUTAGE).await;
    let to = now_us();
    let name = domain.as_str().into();
    change(&rig, "return", Change::BringDomainBack { name }).await?;
    let end = match kind {
        RouterKind::Fleet => sleep_then_now(AFTER_RETURN).await,
        RouterKind::Baseline => now_us(),
    };
    let calls = load.finish(FINISH_TIMEOUT).await;
    let history = ModelHistory::read(rig.fleet());
    run_result(&history, &calls, &domain, Interval { from, to }, end)
}

/// Submits a change. The baseline has no operator interface, so nothing changes there.
async fn change(rig: &Rig, id: &str, change: Change) -> Result<(), MeasureError> {
    if rig.is_fleet() {
        rig.operator(0).change(id, &change).await?;
    }
    Ok(())
}

fn run_result(
    history: &ModelHistory,
    calls: &[CallRecord],
    domain: &str,
    out: Interval,
    end: u64,
) -> Result<RunResult, MeasureError> {
    let late = check_starts_while_out_of_service(&history.starts(), domain, out, GRACE_US);
    let after_grace = Interval {
        from: out.from + GRACE_US,
        to: out.to,
    };
    let waiting = history.waiting(calls, after_grace);
    let missing = "no request waited during the outage";
    let others_utilisation = history
        .warm_slot_utilisation(&waiting, |engine| engine.domain != domain)
        .ok_or(MeasureError::NoData { missing })?;
    Ok(RunResult {
        late_starts: late.len() as f64,
        others_utilisation,
        return_s: time_to_full_use(history, domain, out.to, end),
        interrupted_requests: history.interrupted_requests(Interval {
            from: out.from,
            to: end,
        }) as f64,
    })
}

/// Time from `back` until a window starts over which the failure domain is fully used, seconds.
/// Infinite if there is no such window before `end`.
fn time_to_full_use(history: &ModelHistory, domain: &str, back: u64, end: u64) -> f64 {
    let mut from = back;
    while from + FULL_USE_US <= end {
        let window = Intervals::union([Interval {
            from,
            to: from + FULL_USE_US,
        }]);
        let busy = history.warm_slot_utilisation(&window, |engine| engine.domain == domain);
        if busy.is_some_and(|busy| busy >= UTILISATION_TARGET) {
            return (from - back) as f64 / 1e6;
        }
        from += FULL_USE_STEP_US;
    }
    f64::INFINITY
}
