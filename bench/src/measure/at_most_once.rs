//! Measures whether operations run at most once and whether responses are correct under failures.
//!
//! Hosts are killed and suspended, plain services restarted, the object API interrupted, and faulty
//! responses injected at random while workspaces send requests. The result is the number of
//! violations: operations that ran twice, operations that ran although the caller was told that
//! they had not, responses without a run, and responses that are partial or belong to another
//! request.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use cardamomshift_testutils::Outage;
use cardamomshift_testutils::ResponseFault;
use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::history::Violation;
use cardamomshift_testutils::history::check_at_most_once;
use cardamomshift_testutils::history::check_responses;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::rig::sleep_then_now;
use crate::fleet::FleetPlan;
use crate::fleet::Signal;
use crate::load::Arrivals;
use crate::load::Load;
use crate::load::ModelWork;
use crate::load::PlainWork;
use crate::load::Work;
use crate::load::WorkspaceLoad;

/// Number of operations of plain services that the run must reach for a valid result.
const MIN_OPERATIONS: usize = 2_000;
/// Minimum duration of the run, however soon it reaches enough operations.
const MIN_DURATION: Duration = Duration::from_secs(18);
/// Maximum duration of the run, even if it has not reached enough operations.
const MAX_DURATION: Duration = Duration::from_secs(26);
/// Duration of the baseline's run, which need not reach a number of operations.
const BASELINE_DURATION: Duration = Duration::from_secs(5);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two failures.
const FAILURE_INTERVAL: Duration = Duration::from_millis(300);
/// How long a killed host stays down.
const DOWNTIME: Duration = Duration::from_millis(400);
/// How long a host stays suspended: longer than every lease (time-limited claim) that it may hold,
/// so that all of them have expired when it resumes.
const SUSPENSION: Duration = Duration::from_millis(2_500);
/// How long an outage of the object API lasts.
const OBJECT_API_OUTAGE: Duration = Duration::from_millis(500);
/// Number of consecutive responses that get a fault.
const FAULTY_RESPONSES: usize = 5;

/// Faults injected into the responses of backend servers.
const FAULTS: [ResponseFault; 9] = [
    ResponseFault::Lost,
    ResponseFault::Truncated,
    ResponseFault::EndsEarly,
    ResponseFault::Mismatched,
    ResponseFault::Late(Duration::from_millis(300)),
    ResponseFault::Surplus,
    ResponseFault::Malformed,
    ResponseFault::ServerError,
    ResponseFault::Unavailable,
];

/// Result of one run.
struct RunResult {
    violations: Vec<Violation>,
    /// Number of different operations of plain services.
    operations: usize,
    /// Number of complete responses.
    complete: usize,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    for violation in &fleet.violations {
        log::warn!("{violation}");
    }
    let count = |wanted: fn(&Violation) -> bool| {
        fleet.violations.iter().filter(|v| wanted(v)).count() as f64
    };
    let details = BTreeMap::from([
        ("operations", fleet.operations as f64),
        ("whole_answers", fleet.complete as f64),
        (
            "second_runs",
            count(|v| matches!(v, Violation::SecondRun { .. })),
        ),
        (
            "false_not_run",
            count(|v| matches!(v, Violation::FalseNotRun { .. })),
        ),
        (
            "foreign_answers",
            count(|v| matches!(v, Violation::MismatchedResponse { .. })),
        ),
        (
            "partial_answers",
            count(|v| matches!(v, Violation::PartialResponse { .. })),
        ),
        (
            "answers_without_run",
            count(|v| matches!(v, Violation::ResponseWithoutRun { .. })),
        ),
    ]);
    Ok(MeasureResult {
        measure: "at-most-once",
        value: fleet.violations.len() as f64,
        unit: "second runs, false refusals, foreign or partial answers",
        target: 0.0,
        holds: fleet.violations.is_empty() && fleet.operations >= MIN_OPERATIONS,
        baseline: Some(baseline.violations.len() as f64),
        seed,
        runs: 1,
        details,
    })
}

fn loads(plan: &FleetPlan) -> Vec<WorkspaceLoad> {
    let model = |streamed_percent| {
        Work::Model(ModelWork {
            tokens: 10..=40,
            streamed_percent,
            ..ModelWork::default()
        })
    };
    let plain = |keyed| Work::Plain(PlainWork { keyed, retries: 5 });
    let works = [
        (plain(false), 12),
        (plain(false), 12),
        (plain(true), 12),
        (plain(true), 12),
        (model(100), 4),
        (model(0), 4),
    ];
    let hosts = plan.domains.len() * plan.hosts_per_domain;
    works
        .into_iter()
        .enumerate()
        .map(|(number, (work, outstanding))| WorkspaceLoad {
            workspace: plan.workspace_name(number),
            key: plan.workspace_key(number),
            class: None,
            hosts: (0..hosts).collect(),
            arrivals: Arrivals::Closed(outstanding),
            work,
        })
        .collect()
}

async fn run(kind: RouterKind, seed: u64) -> Result<RunResult, MeasureError> {
    let plan = FleetPlan {
        engines_per_domain: 1,
        ..FleetPlan::flipperliga()
    };
    let loads = loads(&plan);
    let mut rig = Rig::start(plan, kind).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    inject_failures(&mut rig, &load, seed).await?;
    resume_all_hosts(&mut rig)?;
    let calls = load.finish(FINISH_TIMEOUT).await;
    Ok(run_result(&rig, &calls))
}

/// Injects random failures until the run has lasted long enough and reached enough operations.
async fn inject_failures(rig: &mut Rig, load: &Load, seed: u64) -> Result<(), MeasureError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let min_duration = match rig.is_fleet() {
        true => MIN_DURATION,
        false => BASELINE_DURATION,
    };
    loop {
        let elapsed = start.elapsed();
        let has_enough_calls = load.ended_calls() >= MIN_OPERATIONS * 2 || !rig.is_fleet();
        if elapsed >= MAX_DURATION || (elapsed >= min_duration && has_enough_calls) {
            return Ok(());
        }
        inject_failure(rig, &mut rng).await?;
        resume_due_hosts(rig)?;
        sleep_then_now(FAILURE_INTERVAL).await;
    }
}

/// Injects one random failure into a host, a backend server or the object API.
async fn inject_failure(rig: &mut Rig, rng: &mut StdRng) -> Result<(), MeasureError> {
    let fault = FAULTS[rng.random_range(0..FAULTS.len())];
    let number = rng.random_range(0..rig.fleet().hosts().len());
    let objects = rig.fleet().platform().objects();
    match rng.random_range(0..8) {
        0 | 1 => {
            let plains = rig.fleet().plain_services();
            let (_, plain) = &plains[number % plains.len()];
            plain.inject(fault, FAULTY_RESPONSES);
        }
        2 => {
            let engines = rig.fleet().engines();
            let (_, engine) = &engines[number % engines.len()];
            engine.inject(fault, FAULTY_RESPONSES);
        }
        3 => {
            let plains = rig.fleet().plain_services();
            plains[number % plains.len()].1.restart();
        }
        4 => objects.drop_write_responses(FAULTY_RESPONSES as u64),
        5 => {
            objects.set_outage(Outage::Broken);
            sleep_then_now(OBJECT_API_OUTAGE).await;
            objects.set_outage(Outage::None);
        }
        6 => suspend(rig, number)?,
        _ => kill(rig, number).await?,
    }
    Ok(())
}

/// Suspends a host. [`resume_due_hosts`] resumes it once [`SUSPENSION`] has passed.
fn suspend(rig: &mut Rig, number: usize) -> Result<(), MeasureError> {
    let Some(hosts) = rig.hosts() else {
        return Ok(());
    };
    hosts.host_mut(number).suspend(SUSPENSION)?;
    Ok(())
}

fn resume_due_hosts(rig: &mut Rig) -> Result<(), MeasureError> {
    let count = rig.fleet().hosts().len();
    if let Some(hosts) = rig.hosts() {
        for number in 0..count {
            hosts.host_mut(number).resume_if_due()?;
        }
    }
    Ok(())
}

/// Kills a host and restarts it after [`DOWNTIME`].
async fn kill(rig: &mut Rig, number: usize) -> Result<(), MeasureError> {
    let Some(hosts) = rig.hosts() else {
        return Ok(());
    };
    hosts.host_mut(number).kill()?;
    sleep_then_now(DOWNTIME).await;
    hosts.host_mut(number).restart()?;
    Ok(())
}

/// Resumes every host, whether or not it is suspended.
fn resume_all_hosts(rig: &mut Rig) -> Result<(), MeasureError> {
    let count = rig.fleet().hosts().len();
    if let Some(hosts) = rig.hosts() {
        for number in 0..count {
            hosts.host_mut(number).signal(Signal::Continue)?;
        }
    }
    Ok(())
}

fn run_result(rig: &Rig, calls: &[CallRecord]) -> RunResult {
    let executions: Vec<_> = rig
        .fleet()
        .plain_services()
        .iter()
        .flat_map(|(_, plain)| plain.executions())
        .collect();
    let runs = executions.iter().map(|run| run.operation.as_str());
    let plain: Vec<_> = calls
        .iter()
        .filter(|call| call.nonce == 0)
        .cloned()
        .collect();
    let mut violations = check_at_most_once(runs, &plain);
    violations.extend(check_responses(calls));
    let mut operations: Vec<_> = plain.iter().map(|call| &call.operation).collect();
    operations.sort_unstable();
    operations.dedup();
    RunResult {
        violations,
        operations: operations.len(),
        complete: calls
            .iter()
            .filter(|call| call.outcome == CallOutcome::Complete)
            .count(),
    }
}
