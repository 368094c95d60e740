//! Measures the network traffic, processor time and memory that a host uses for control.
//!
//! Control is all work other than forwarding requests: membership, configuration and scheduling
//! among the hosts. It is measured at several fleet sizes and workspace counts to show how it
//! grows.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_testutils::now_us;

use super::MeasureError;
use super::MeasureResult;
use super::Rig;
use super::RouterKind;
use super::rig::sleep_then_now;
use crate::fleet::FleetPlan;
use crate::fleet::ProcessUsage;
use crate::load::Arrivals;
use crate::load::ModelWork;
use crate::load::Work;
use crate::load::WorkspaceLoad;

/// Load before the window, until the fleet is in a steady state.
const WARM_UP: Duration = Duration::from_secs(6);
/// Window over which the usage is measured.
const WINDOW: Duration = Duration::from_secs(3);
/// How long to wait for open calls after the load has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of workspaces that send requests, however many there are.
const SENDERS: usize = 12;
/// Requests per second of the whole fleet.
const REQUESTS_PER_S: f64 = 60.0;
const TARGET_KB_PER_S: f64 = 11.0;
const TARGET_CPU_PERCENT: f64 = 1.0;
const TARGET_MEMORY_MB: f64 = 256.0;

/// Resource usage of one host, averaged over the hosts of a fleet.
#[derive(Clone, Copy, Debug)]
struct HostUsage {
    /// Control traffic, in units of 1000 bytes per second.
    kb_per_s: f64,
    /// Processor time of the control thread, percent of one core.
    cpu_percent: f64,
    /// Resident memory, in units of 10^6 bytes.
    memory_mb: f64,
}

pub(super) async fn measure(seed: u64) -> Result<MeasureResult, MeasureError> {
    let three_hosts = run(1, 16, seed).await?;
    let six_hosts = run(2, 16, seed).await?;
    let nine_hosts = run(3, 16, seed).await?;
    let many_workspaces = run(3, 1_200, seed).await?;
    // Growth per added host from 3 to 9 hosts, and per 1000 added workspaces from 16 to 1200.
    let per_host = |value: fn(&HostUsage) -> f64| (value(&nine_hosts) - value(&three_hosts)) / 6.0;
    let per_workspace = |value: fn(&HostUsage) -> f64| {
        (value(&many_workspaces) - value(&nine_hosts)) / 1_184.0 * 1e3
    };
    let details = BTreeMap::from([
        ("kb_per_s_at_3_hosts", three_hosts.kb_per_s),
        ("kb_per_s_at_6_hosts", six_hosts.kb_per_s),
        ("kb_per_s_at_9_hosts", nine_hosts.kb_per_s),
        (
            "kb_per_s_at_9_hosts_1200_workspaces",
            many_workspaces.kb_per_s,
        ),
        ("kb_per_s_per_host", per_host(|u| u.kb_per_s)),
        (
            "kb_per_s_per_1000_workspaces",
            per_workspace(|u| u.kb_per_s),
        ),
        ("control_cpu_percent_at_9_hosts", nine_hosts.cpu_percent),
        ("control_cpu_percent_per_host", per_host(|u| u.cpu_percent)),
        (
            "control_cpu_percent_per_1000_workspaces",
            per_workspace(|u| u.cpu_percent),
        ),
        ("memory_mb_at_9_hosts", nine_hosts.memory_mb),
        ("memory_mb_per_host", per_host(|u| u.memory_mb)),
        (
            "memory_mb_per_1000_workspaces",
            per_workspace(|u| u.memory_mb),
        ),
    ]);
    let holds = nine_hosts.kb_per_s <= TARGET_KB_PER_S
        && nine_hosts.cpu_percent <= TARGET_CPU_PERCENT
        && nine_hosts.memory_mb <= TARGET_MEMORY_MB;
    Ok(MeasureResult {
        measure: "control-cost",
        value: nine_hosts.kb_per_s,
        unit: "KB/s a host",
        target: TARGET_KB_PER_S,
        holds,
        baseline: None,
        seed,
        runs: 1,
        details,
    })
}

async fn run(
    hosts_per_domain: usize,
    workspaces: usize,
    seed: u64,
) -> Result<HostUsage, MeasureError> {
    let plan = FleetPlan {
        hosts_per_domain,
        workspaces,
        ..FleetPlan::teranga()
    };
    let loads = loads(&plan);
    let mut rig = Rig::start(plan, RouterKind::Fleet).await?;
    rig.warm_engines();
    let load = rig.load(loads, seed);
    sleep_then_now(WARM_UP).await;
    let before = (
        now_us(),
        rig.fleet().control_bytes(),
        process_usage(&mut rig)?,
    );
    sleep_then_now(WINDOW).await;
    let after = (
        now_us(),
        rig.fleet().control_bytes(),
        process_usage(&mut rig)?,
    );
    load.finish(FINISH_TIMEOUT).await;
    let seconds = (after.0 - before.0) as f64 / 1e6;
    let hosts = rig.fleet().hosts().len() as f64;
    let cpu_s = after.2.control_cpu_s - before.2.control_cpu_s;
    Ok(HostUsage {
        kb_per_s: (after.1 - before.1) as f64 / 1e3 / seconds / hosts,
        cpu_percent: cpu_s / seconds / hosts * 100.0,
        memory_mb: after.2.memory_bytes as f64 / 1e6 / hosts,
    })
}

fn loads(plan: &FleetPlan) -> Vec<WorkspaceLoad> {
    let hosts = plan.domains.len() * plan.hosts_per_domain;
    (0..SENDERS)
        .map(|number| WorkspaceLoad {
            workspace: plan.workspace_name(number),
            key: plan.workspace_key(number),
            class: None,
            hosts: (0..hosts).collect(),
            arrivals: Arrivals::Open(REQUESTS_PER_S / SENDERS as f64),
            work: Work::Model(ModelWork::default()),
        })
        .collect()
}

/// Resource usage of all hosts together.
fn process_usage(rig: &mut Rig) -> Result<ProcessUsage, MeasureError> {
    let mut sum = ProcessUsage::default();
    if let Some(hosts) = rig.hosts() {
        for host in hosts.hosts() {
            let host_usage = ProcessUsage::read(host.id())?;
            sum.control_cpu_s += host_usage.control_cpu_s;
            sum.memory_bytes += host_usage.memory_bytes;
        }
    }
    Ok(sum)
}
