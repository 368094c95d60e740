//! Measures the fairness gap: the largest difference of served tokens between two workspaces over
//! any time in which both were backlogged, that is, had requests waiting.
//!
//! It is measured in steady operation and after a network partition has healed. The allowed gap is
//! twice the largest request plus the tokens that the fleet serves in the time that hosts need to
//! exchange their service counts.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_testutils::LinkState;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::history::Interval;
use cardamomshift_testutils::history::largest_service_gap;
use cardamomshift_testutils::now_us;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::model_history::ModelHistory;
use super::rig::sleep_then_now;
use super::traffic::loads_with_flood;
use crate::fleet::FleetPlan;

/// Load before the first window, until the fleet is in a steady state.
const WARM_UP: Duration = Duration::from_secs(4);
/// Window in steady operation.
const STEADY_WINDOW: Duration = Duration::from_secs(6);
/// How long a failure domain is cut off from the others.
const PARTITION: Duration = Duration::from_secs(3);
/// How long the fleet may take to recover after the partition has healed.
const RECOVERY: Duration = Duration::from_secs(5);
/// Window after the partition has healed and the fleet has recovered.
const REJOINED_WINDOW: Duration = Duration::from_secs(5);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two exchanges of service counts among hosts that the allowed gap assumes,
/// seconds.
const EXCHANGE_INTERVAL_S: f64 = 1.0;

/// Fairness gap over one window.
struct Gap {
    /// Measured gap, tokens.
    tokens: f64,
    /// Allowed gap, tokens.
    bound: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let plan = FleetPlan::flipperliga();
    let baseline = run_baseline(plan.clone(), seed).await?;
    let [steady, rejoined] = run_fleet(plan, seed).await?;
    let holds = [&steady, &rejoined]
        .iter()
        .all(|gap| gap.tokens <= gap.bound);
    let details = BTreeMap::from([
        ("gap_steady_tokens", steady.tokens),
        ("bound_steady_tokens", steady.bound),
        ("gap_after_rejoin_tokens", rejoined.tokens),
        ("bound_after_rejoin_tokens", rejoined.bound),
    ]);
    Ok(MeasureResult {
        measure: "fairness",
        value: steady.tokens.max(rejoined.tokens),
        unit: "tokens",
        target: steady.bound.min(rejoined.bound),
        holds,
        baseline: Some(baseline.tokens),
        seed,
        runs: 1,
        details,
    })
}

async fn run_baseline(plan: FleetPlan, seed: u64) -> Result<Gap, MeasureError> {
    let loads = loads_with_flood(&plan);
    let rig = Rig::start(plan, RouterKind::Baseline).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    let from = sleep_then_now(WARM_UP).await;
    let to = sleep_then_now(STEADY_WINDOW).await;
    let calls = load.finish(FINISH_TIMEOUT).await;
    gap(&ModelHistory::read(rig.fleet()), &calls, from, to)
}

async fn run_fleet(plan: FleetPlan, seed: u64) -> Result<[Gap; 2], MeasureError> {
    let loads = loads_with_flood(&plan);
    let domain = plan.domains[1].clone();
    let rig = Rig::start(plan, RouterKind::Fleet).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    let steady_from = sleep_then_now(WARM_UP).await;
    let steady_to = sleep_then_now(STEADY_WINDOW).await;
    rig.fleet().set_domain_links(&domain, LinkState::Stalled);
    sleep_then_now(PARTITION).await;
    rig.fleet().network().heal();
    let rejoined_from = sleep_then_now(RECOVERY).await;
    sleep_then_now(REJOINED_WINDOW).await;
    let rejoined_to = now_us();
    let calls = load.finish(FINISH_TIMEOUT).await;
    let history = ModelHistory::read(rig.fleet());
    Ok([
        gap(&history, &calls, steady_from, steady_to)?,
        gap(&history, &calls, rejoined_from, rejoined_to)?,
    ])
}

fn gap(
    history: &ModelHistory,
    calls: &[CallRecord],
    from: u64,
    to: u64,
) -> Result<Gap, MeasureError> {
    let window = Interval { from, to };
    let service = history.service();
    let served_tokens: u64 = service
        .iter()
        .filter(|sample| from <= sample.at && sample.at < to)
        .map(|sample| sample.cost)
        .sum();
    if served_tokens == 0 {
        let missing = "no tokens were served in the window";
        return Err(MeasureError::NoData { missing });
    }
    let rate = served_tokens as f64 / (window.length() as f64 / 1e6);
    let tokens = largest_service_gap(&service, &history.backlog(calls), window);
    Ok(Gap {
        tokens: tokens as f64,
        bound: 2.0 * history.largest_cost() as f64 + rate * EXCHANGE_INTERVAL_S,
    })
}
