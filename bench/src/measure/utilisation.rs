//! Measures the share of the warm slots that is in use while requests wait.
//!
//! A slot is the capacity of a model engine to run one request. An unused slot is a loss only while
//! a request waits.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_testutils::history::Interval;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::model_history::ModelHistory;
use super::rig::sleep_then_now;
use super::traffic::loads_with_flood;
use crate::fleet::FleetPlan;

/// Load before the window, until the fleet is in a steady state.
const WARM_UP: Duration = Duration::from_secs(6);
/// Window over which the utilisation is measured.
const WINDOW: Duration = Duration::from_secs(8);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);
const TARGET_PERCENT: f64 = 95.0;

/// Result of one run, taken over the window.
struct RunResult {
    /// Warm slots effectively in use; an overloaded engine counts less than its full slots.
    busy_percent: f64,
    tokens_per_s: f64,
    /// Warm slots that held a request.
    occupied_percent: f64,
    /// Largest number of requests that an engine ran at once.
    largest_batch: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    let details = BTreeMap::from([
        ("tokens_per_s", fleet.tokens_per_s),
        ("occupied_percent", fleet.occupied_percent),
        ("largest_batch", fleet.largest_batch),
        ("baseline_tokens_per_s", baseline.tokens_per_s),
    ]);
    Ok(MeasureResult {
        measure: "utilisation",
        value: fleet.busy_percent,
        unit: "% of warm slots",
        target: TARGET_PERCENT,
        holds: fleet.busy_percent >= TARGET_PERCENT,
        baseline: Some(baseline.busy_percent),
        seed,
        runs: 1,
        details,
    })
}

async fn run(kind: RouterKind, seed: u64) -> Result<RunResult, MeasureError> {
    let plan = FleetPlan::teranga();
    let loads = loads_with_flood(&plan);
    let rig = Rig::start(plan, kind).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    let from = sleep_then_now(WARM_UP).await;
    let to = sleep_then_now(WINDOW).await;
    let calls = load.finish(FINISH_TIMEOUT).await;
    let history = ModelHistory::read(rig.fleet());
    let window = Interval { from, to };
    let waiting = history.waiting(&calls, window);
    let utilisation = history.warm_slot_utilisation(&waiting, |_| true);
    let missing = "no request waited in the window";
    let utilisation = utilisation.ok_or(MeasureError::NoData { missing })?;
    let served_tokens: u64 = history
        .service()
        .iter()
        .filter(|sample| from <= sample.at && sample.at < to)
        .map(|sample| sample.cost)
        .sum();
    Ok(RunResult {
        busy_percent: utilisation * 100.0,
        occupied_percent: history.occupied_slot_share(&waiting).unwrap_or(0.0) * 100.0,
        largest_batch: history.largest_batch() as f64,
        tokens_per_s: served_tokens as f64 / (window.length() as f64 / 1e6),
    })
}
