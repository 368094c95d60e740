//! Hosts as processes: traffic before and after a kill and restart, and a planned stop.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use cardamomshift_bench::fleet::Fleet;
use cardamomshift_bench::fleet::FleetPlan;
use cardamomshift_bench::fleet::HostProcesses;
use cardamomshift_bench::fleet::Signal;
use cardamomshift_bench::load::Arrivals;
use cardamomshift_bench::load::Load;
use cardamomshift_bench::load::ModelWork;
use cardamomshift_bench::load::Work;
use cardamomshift_bench::load::WorkspaceLoad;
use cardamomshift_bench::load::http_client;
use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::check_responses;

fn loads(plan: &FleetPlan, hosts: &[usize]) -> Vec<WorkspaceLoad> {
    let work = Work::Model(ModelWork {
        tokens: 8..=16,
        streamed_percent: 50,
        ..ModelWork::default()
    });
    vec![WorkspaceLoad {
        workspace: plan.workspace_name(0),
        key: plan.workspace_key(0),
        class: None,
        hosts: hosts.to_vec(),
        arrivals: Arrivals::Closed(4),
        work,
    }]
}

/// Sends load through some hosts until `count` responses are complete. Fails on a mismatched or
/// partial response.
async fn wait_for_complete_responses(fleet: &Fleet, hosts: &[usize], count: usize) {
    let loads = loads(fleet.plan(), hosts);
    let load = Load::start(fleet.addresses_for_callers(), &http_client(), loads, 1);
    let count_complete = || {
        let records = load.records();
        assert_eq!(check_responses(&records), []);
        let complete = records
            .iter()
            .filter(|r| r.outcome == CallOutcome::Complete);
        complete.count()
    };
    while count_complete() < count {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    load.finish(Duration::from_secs(30)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_through_a_kill_and_stop_on_sigterm() {
    let plan = FleetPlan {
        hosts_per_domain: 1,
        ..FleetPlan::teranga()
    };
    let fleet = Fleet::start(plan);
    let program = Path::new(env!("CARGO_BIN_EXE_cardamomshift-bench"));
    let mut hosts = HostProcesses::start(&fleet, program)
        .await
        .expect("hosts start");
    wait_for_complete_responses(&fleet, &[0, 1, 2], 30).await;
    hosts.host_mut(0).kill().expect("host is killed");
    wait_for_complete_responses(&fleet, &[1, 2], 10).await;
    hosts.host_mut(0).restart().expect("host restarts");
    hosts.wait_ready(0).await.expect("host becomes ready");
    wait_for_complete_responses(&fleet, &[0], 10).await;
    let host = hosts.host_mut(1);
    host.signal(Signal::Terminate).expect("signal is sent");
    let status = host.wait(Instant::now() + Duration::from_secs(60)).await;
    let status = status
        .expect("host can be waited for")
        .expect("host ends within 60 s");
    assert!(status.success());
    assert_eq!(
        fleet
            .engines()
            .iter()
            .map(|(_, e)| e.violations().len())
            .sum::<usize>(),
        0
    );
}
