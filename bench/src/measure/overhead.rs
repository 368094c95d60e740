//! Measures the latency that one host adds and its throughput, with servers that take no time.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::PlainProfile;
use cardamomshift_testutils::history::CallOutcome;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::rig::sleep_then_now;
use crate::fleet::FleetPlan;
use crate::load::Arrivals;
use crate::load::Caller;
use crate::load::Latency;
use crate::load::ModelWork;
use crate::load::PlainWork;
use crate::load::Work;
use crate::load::WorkspaceLoad;

/// Load before the window in which throughput is measured.
const WARM_UP: Duration = Duration::from_secs(3);
/// Window in which throughput is measured.
const WINDOW: Duration = Duration::from_secs(4);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of calls for the latency, direct and through the router each.
const LATENCY_CALLS: usize = 2_000;
/// Number of concurrent plain requests for the throughput.
const OUTSTANDING_REQUESTS: usize = 128;
/// Tokens of a streamed response for the throughput, each in a separate chunk.
const STREAM_TOKENS: u32 = 1_000;
/// Number of concurrent streams for the throughput.
const OUTSTANDING_STREAMS: usize = 64;
const TARGET_P50_MS: f64 = 0.5;
const TARGET_P99_MS: f64 = 3.0;
const TARGET_REQUESTS_PER_S: f64 = 10_000.0;
const TARGET_CHUNKS_PER_S: f64 = 100_000.0;

/// Result of one run. The added latency is the difference between the percentiles of calls through
/// the router and of direct calls.
struct RunResult {
    added_p50_ms: f64,
    added_p99_ms: f64,
    requests_per_s: f64,
    chunks_per_s: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let baseline = run(RouterKind::Baseline, seed).await?;
    let fleet = run(RouterKind::Fleet, seed).await?;
    let holds = fleet.added_p50_ms <= TARGET_P50_MS
        && fleet.added_p99_ms <= TARGET_P99_MS
        && fleet.requests_per_s >= TARGET_REQUESTS_PER_S
        && fleet.chunks_per_s >= TARGET_CHUNKS_PER_S;
    let details = BTreeMap::from([
        ("added_p99_ms", fleet.added_p99_ms),
        ("plain_requests_per_s", fleet.requests_per_s),
        ("streamed_chunks_per_s", fleet.chunks_per_s),
        ("baseline_added_p99_ms", baseline.added_p99_ms),
        ("baseline_plain_requests_per_s", baseline.requests_per_s),
        ("baseline_streamed_chunks_per_s", baseline.chunks_per_s),
    ]);
    Ok(MeasureResult {
        measure: "overhead",
        value: fleet.added_p50_ms,
        unit: "ms added at the median",
        target: TARGET_P50_MS,
        holds,
        baseline: Some(baseline.added_p50_ms),
        seed,
        runs: 1,
        details,
    })
}

/// One host with servers that take no time, without relays, which would add latency.
fn one_host() -> FleetPlan {
    FleetPlan {
        domains: vec!["bern-a".to_owned()],
        hosts_per_domain: 1,
        engines_per_domain: 1,
        engine: EngineProfile::instant(),
        plain: PlainProfile {
            latency: Duration::ZERO,
            limit: usize::MAX,
        },
        relays: false,
        ..FleetPlan::flipperliga()
    }
}

async fn run(kind: RouterKind, seed: u64) -> Result<RunResult, MeasureError> {
    let plan = one_host();
    let rig = Rig::start(plan, kind).await?;
    let plain = Work::Plain(PlainWork::default());
    let streams = Work::Model(ModelWork {
        tokens: STREAM_TOKENS..=STREAM_TOKENS,
        ..ModelWork::default()
    });
    let requests_per_s = throughput(&rig, plain, OUTSTANDING_REQUESTS, seed).await;
    let chunks_per_s =
        throughput(&rig, streams, OUTSTANDING_STREAMS, seed).await * f64::from(STREAM_TOKENS);
    let (direct, routed) = latency(&rig, seed).await?;
    Ok(RunResult {
        added_p50_ms: routed.p50 - direct.p50,
        added_p99_ms: routed.p99 - direct.p99,
        requests_per_s,
        chunks_per_s,
    })
}

/// Complete responses per second with a number of concurrent requests.
async fn throughput(rig: &Rig, work: Work, outstanding: usize, seed: u64) -> f64 {
    let plan = rig.fleet().plan();
    let workspace = WorkspaceLoad {
        workspace: plan.workspace_name(0),
        key: plan.workspace_key(0),
        class: Some("bulletin".to_owned()),
        hosts: vec![0],
        arrivals: Arrivals::Closed(outstanding),
        work,
    };
    let load = rig.load(vec![workspace], seed);
    let from = sleep_then_now(WARM_UP).await;
    let to = sleep_then_now(WINDOW).await;
    let calls = load.finish(FINISH_TIMEOUT).await;
    let complete = calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Complete)
        .filter(|call| from <= call.end && call.end < to)
        .count();
    complete as f64 / ((to - from) as f64 / 1e6)
}

/// Latency of complete responses directly from the engine and through the router. The two kinds of
/// calls alternate, so that both see the same load of the machine.
async fn latency(rig: &Rig, seed: u64) -> Result<(Latency, Latency), MeasureError> {
    let plan = rig.fleet().plan();
    let caller = Caller {
        client: rig.client().clone(),
        workspace: plan.workspace_name(1),
        key: plan.workspace_key(1),
        class: None,
    };
    let work = Work::Model(ModelWork {
        tokens: 10..=10,
        streamed_percent: 0,
        ..ModelWork::default()
    });
    let addresses = [
        rig.fleet().backends()[0].address,
        rig.fleet().hosts()[0].callers,
    ];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut durations = [Vec::new(), Vec::new()];
    for number in 0..LATENCY_CALLS {
        for (path, address) in addresses.into_iter().enumerate() {
            let operation = format!("latency-{path}-{number}");
            let request = work.request(&caller.workspace, operation, &mut rng);
            let record = caller.call(0, address, &request).await.record;
            if record.outcome == CallOutcome::Complete {
                durations[path].push(record.end - record.sent);
            }
        }
    }
    if durations
        .iter()
        .any(|durations| durations.len() < LATENCY_CALLS / 2)
    {
        let missing = "too few complete responses";
        return Err(MeasureError::NoData { missing });
    }
    let [direct, routed] = durations.map(Latency::from_micros);
    Ok((direct, routed))
}
