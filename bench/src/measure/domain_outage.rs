//! Service while operators take a failure domain out and bring it back.

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
use super::record::ModelHistory;
use super::rig::pass;
use super::traffic::one_floods;
use crate::fleet::FleetPlan;

const WARM_UP: Duration = Duration::from_secs(6);
const OUT: Duration = Duration::from_secs(7);
const AFTER_RETURN: Duration = Duration::from_secs(12);
/// Time that open calls have to end.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time after the acceptance of a take-out in which starts are allowed, microseconds.
const GRACE_US: u64 = 3_000_000;
const BUSY_TARGET: f64 = 0.95;
const RETURN_TARGET_S: f64 = 10.0;
/// Window in which a failure domain has to be fully used to count as returned, microseconds.
const FULL_USE_US: u64 = 1_000_000;
/// Step of that window, microseconds.
const FULL_USE_STEP_US: u64 = 100_000;

struct Figures {
    late_starts: f64,
    others_busy: f64,
    return_s: f64,
    cut_off: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    let holds = fleet.late_starts == 0.0
        && fleet.cut_off == 0.0
        && fleet.others_busy >= BUSY_TARGET
        && fleet.return_s <= RETURN_TARGET_S;
    let details = BTreeMap::from([
        ("others_busy_percent", fleet.others_busy * 100.0),
        ("full_use_after_return_s", fleet.return_s),
        ("requests_cut_off", fleet.cut_off),
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

async fn run(kind: RouterKind, seed: u64) -> Result<Figures, MeasureError> {
    let plan = FleetPlan::teranga();
    let loads = one_floods(&plan);
    let domain = plan.domains[1].clone();
    let rig = Rig::start(plan, kind).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    pass(WARM_UP).await;
    let name = domain.as_str().into();
    change(&rig, "outage", Change::TakeDomainOut { name }).await?;
    let from = now_us();
    pass(OUT).await;
    let to = now_us();
    let name = domain.as_str().into();
    change(&rig, "return", Change::BringDomainBack { name }).await?;
    let end = match kind {
        RouterKind::Fleet => pass(AFTER_RETURN).await,
        RouterKind::Baseline => now_us(),
    };
    let calls = load.finish(PATIENCE).await;
    let history = ModelHistory::read(rig.fleet());
    figures(&history, &calls, &domain, Interval { from, to }, end)
}

/// The baseline has no operators: for it, the change only marks the time.
async fn change(rig: &Rig, id: &str, change: Change) -> Result<(), MeasureError> {
    if rig.is_fleet() {
        rig.operator(0).change(id, &change).await?;
    }
    Ok(())
}

fn figures(
    history: &ModelHistory,
    calls: &[CallRecord],
    domain: &str,
    out: Interval,
    end: u64,
) -> Result<Figures, MeasureError> {
    let late = check_starts_while_out_of_service(&history.starts(), domain, out, GRACE_US);
    let settled = Interval {
        from: out.from + GRACE_US,
        to: out.to,
    };
    let waiting = history.waiting(calls, settled);
    let what = "no request waited during the outage";
    let others_busy = history
        .busy_share(&waiting, |engine| engine.domain != domain)
        .ok_or(MeasureError::Nothing { what })?;
    Ok(Figures {
        late_starts: late.len() as f64,
        others_busy,
        return_s: full_use_after(history, domain, out.to, end),
        cut_off: history.cut_off(Interval {
            from: out.from,
            to: end,
        }) as f64,
    })
}

/// Time from `back` until the failure domain is fully used for a window, seconds; infinite if it
/// never is before `end`.
fn full_use_after(history: &ModelHistory, domain: &str, back: u64, end: u64) -> f64 {
    let mut from = back;
    while from + FULL_USE_US <= end {
        let window = Intervals::union([Interval {
            from,
            to: from + FULL_USE_US,
        }]);
        let busy = history.busy_share(&window, |engine| engine.domain == domain);
        if busy.is_some_and(|busy| busy >= BUSY_TARGET) {
            return (from - back) as f64 / 1e6;
        }
        from += FULL_USE_STEP_US;
    }
    f64::INFINITY
}
