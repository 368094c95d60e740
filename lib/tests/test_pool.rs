//! Scheduling in one shard (the servers of a service in one failure domain): fair shares, refusals,
//! lost messages and restarted schedulers.
//!
//! A gateway sends the shard's scheduler a bid for each waiting request. The service that a
//! workspace has received is the total cost of its dispatched requests.

mod pool_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::message::RefusalReason;
use cardamomshift_lib::message::ServerPhase;
use pool_simulation::Faults;
use pool_simulation::RequestSpec;
use pool_simulation::Simulation;
use proptest::prelude::*;

const HOST: HostId = HostId(1);
const LONG_WAIT: Duration = Duration::from_secs(3_600);

fn spec(workspace: u32, cost: u64) -> RequestSpec {
    RequestSpec {
        workspace,
        estimate: cost,
        cost,
        max_wait: LONG_WAIT,
    }
}

/// Submits requests to [`HOST`] until `depth` requests of each workspace wait, with costs up to
/// `largest`.
fn keep_backlogged(sim: &mut Simulation, workspaces: u32, depth: usize, largest: u64) {
    keep_backlogged_on(sim, HOST, workspaces, depth, largest);
}

fn keep_backlogged_on(
    sim: &mut Simulation,
    host: HostId,
    workspaces: u32,
    depth: usize,
    largest: u64,
) {
    for workspace in 0..workspaces {
        while sim.gateways[&host].waiting_of(workspace) < depth {
            // Odd workspaces send larger requests, so that taking turns would not give equal
            // service.
            let span = if workspace % 2 == 1 {
                largest
            } else {
                largest / 10
            };
            let cost = 1 + sim.random_below(span);
            sim.submit(host, spec(workspace, cost));
        }
    }
}

/// Total cost of the dispatched requests of each workspace.
fn service_by_workspace(sim: &Simulation) -> BTreeMap<u32, u64> {
    let mut service = BTreeMap::new();
    for gateway in sim.gateways.values() {
        for (workspace, cost) in &gateway.service {
            *service.entry(*workspace).or_default() += cost;
        }
    }
    service
}

/// Largest difference between two workspaces in the service received between `before` and `after`.
fn gap(before: &BTreeMap<u32, u64>, after: &BTreeMap<u32, u64>, workspaces: u32) -> u64 {
    let growth = |w: u32| {
        let base = before.get(&w).copied().unwrap_or_default();
        after.get(&w).copied().unwrap_or_default() - base
    };
    let growths: Vec<_> = (0..workspaces).map(growth).collect();
    growths.iter().max().unwrap() - growths.iter().min().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn service_gap_of_backlogged_workspaces_stays_within_two_requests(
        seed in any::<u64>(),
        workspaces in 2..6u32,
        largest in 20..400u64,
        servers in 1..4u64,
    ) {
        let mut sim = Simulation::new(1, servers, 6, seed);
        let load = |sim: &mut Simulation| keep_backlogged(sim, workspaces, 60, largest);
        let mut max_gap = 0;
        sim.run(Duration::from_secs(1), load);
        let before = service_by_workspace(&sim);
        sim.run(Duration::from_secs(8), |sim| {
            load(sim);
            // The bound only holds while every workspace has bids that have reached the scheduler.
            let status = sim.schedulers[&HOST].status();
            assert!(status.workspaces.iter().all(|entry| entry.waiting > 0));
            max_gap = max_gap.max(gap(&before, &service_by_workspace(sim), workspaces));
        });
        prop_assert!(max_gap <= 2 * largest, "service gap {max_gap}, largest request {largest}");
    }

    #[test]
    fn bids_are_neither_lost_nor_run_twice(seed in any::<u64>(), lost_per_mille in 0..200u64) {
        let mut sim = Simulation::new(1, 2, 4, seed);
        sim.faults = Faults { lost_per_mille, duplicated_per_mille: 100, jitter_ms: 30 };
        for number in 0..60 {
            let cost = 1 + sim.random_below(200);
            sim.submit(HOST, spec(number % 4, cost));
            sim.run(Duration::from_millis(20), |_| {});
        }
        sim.run(Duration::from_secs(40), |_| {});
        let gateway = &sim.gateways[&HOST];
        prop_assert_eq!(gateway.ended.len(), 60);
        prop_assert!(gateway.refused.is_empty());
        let status = sim.schedulers[&HOST].status();
        prop_assert_eq!((status.waiting, status.running), (0, 0));
    }

    /// A restarted scheduler does not know what runs, so it may grant a request to a cold server
    /// (one that gets one request at a time) that still runs a request that its predecessor
    /// granted. The permits of the slot homes, which grant each unit of a server's limit to one
    /// request at a time, must prevent the dispatch.
    #[test]
    fn cold_servers_never_run_two_requests_through_scheduler_restarts(
        seed in any::<u64>(),
        restarts in proptest::collection::vec(1..400u64, 1..8),
    ) {
        let mut sim = Simulation::new(1, 2, 1, seed);
        sim.faults = Faults { lost_per_mille: 20, duplicated_per_mille: 50, jitter_ms: 20 };
        fail_all(&mut sim);
        for pause in restarts {
            sim.run(Duration::from_millis(pause), |sim| keep_backlogged(sim, 3, 4, 100));
            sim.start_scheduler(HOST);
        }
        sim.run(Duration::from_secs(10), |sim| keep_backlogged(sim, 3, 4, 100));
        for server in sim.servers.values() {
            prop_assert!(server.dispatched > 3, "only {} requests dispatched", server.dispatched);
            prop_assert_eq!(server.peak_running, 1);
        }
    }

    /// Two hosts that each schedule the same shard grant requests to the same cold server. The
    /// permits of the slot homes must prevent that it runs both.
    #[test]
    fn cold_servers_never_run_two_requests_of_two_schedulers(seed in any::<u64>()) {
        let mut sim = Simulation::new(1, 2, 1, seed);
        sim.faults = Faults { lost_per_mille: 20, duplicated_per_mille: 50, jitter_ms: 20 };
        let second_host = HostId(2);
        sim.add_host(second_host, sim.domains[&HOST]);
        sim.start_scheduler(second_host);
        sim.send_members(HOST);
        fail_all(&mut sim);
        sim.run(Duration::from_secs(10), |sim| {
            for host in [HOST, second_host] {
                keep_backlogged_on(sim, host, 3, 4, 100);
            }
        });
        for server in sim.servers.values() {
            prop_assert!(server.dispatched > 3, "only {} requests dispatched", server.dispatched);
            prop_assert_eq!(server.peak_running, 1);
        }
        for gateway in sim.gateways.values() {
            prop_assert!(!gateway.ended.is_empty());
        }
    }
}

/// Makes every request fail, so that the servers stay cold.
fn fail_all(sim: &mut Simulation) {
    for server in sim.servers.values_mut() {
        server.failing = true;
    }
}

#[test]
fn no_capacity_stays_free_while_bids_wait() {
    let mut sim = Simulation::new(1, 2, 40, 5);
    sim.run(Duration::from_millis(50), |_| {});
    sim.run(Duration::from_secs(6), |sim| {
        keep_backlogged(sim, 3, 20, 100);
        let status = sim.schedulers[&HOST].status();
        for server in &status.servers {
            let full = server.running >= server.limit;
            assert!(
                full || status.waiting == 0,
                "{server:?} has free capacity while {} bids wait",
                status.waiting
            );
        }
    });
    let served: u64 = sim.servers.values().map(|server| server.dispatched).sum();
    assert!(served > 1_000, "only {served} requests served");
}

/// Workspace 1 is idle while workspace 0 is served alone. Once both have requests, workspace 1 must
/// not be preferred until it has received as much service as workspace 0.
#[test]
fn idle_workspace_earns_no_credit() {
    let mut sim = Simulation::new(1, 1, 4, 3);
    sim.run(Duration::from_secs(5), |sim| {
        keep_backlogged(sim, 1, 8, 500)
    });
    let before = service_by_workspace(&sim);
    let mut max_gap = 0;
    sim.run(Duration::from_secs(5), |sim| {
        keep_backlogged(sim, 2, 8, 500);
        max_gap = max_gap.max(gap(&before, &service_by_workspace(sim), 2));
    });
    assert!(max_gap <= 1_000, "service gap {max_gap}");
}

/// Workspace 7 sends one request while 500 of workspace 0 wait. It must not wait for all of them.
#[test]
fn flood_of_one_workspace_delays_another_by_few_requests() {
    let mut sim = Simulation::new(1, 1, 4, 3);
    sim.run(Duration::from_secs(4), |sim| {
        keep_backlogged(sim, 1, 500, 200)
    });
    sim.submit(HOST, spec(7, 10));
    sim.run(Duration::from_millis(500), |sim| {
        keep_backlogged(sim, 1, 500, 200)
    });
    let ended = sim.gateways[&HOST].ended.values();
    assert_eq!(ended.filter(|spec| spec.workspace == 7).count(), 1);
}

#[test]
fn earliest_deadline_goes_first_inside_a_workspace() {
    let mut sim = Simulation::new(1, 1, 1, 3);
    sim.submit(HOST, spec(0, 50));
    sim.run(Duration::from_millis(10), |_| {});
    for seconds in [30, 10, 20] {
        let max_wait = Duration::from_secs(seconds);
        sim.submit(
            HOST,
            RequestSpec {
                max_wait,
                ..spec(0, seconds)
            },
        );
    }
    let mut order = Vec::new();
    sim.run(Duration::from_secs(2), |sim| {
        for run in sim.gateways[&HOST].running.values() {
            if !order.contains(&run.spec.cost) {
                order.push(run.spec.cost);
            }
        }
    });
    assert_eq!(order, [50, 10, 20, 30]);
}

#[test]
fn request_that_cannot_start_in_time_is_refused_at_once() {
    let mut sim = Simulation::new(1, 1, 4, 3);
    let mut flood = |sim: &mut Simulation| {
        while sim.gateways[&HOST].waiting_of(0) < 400 {
            let max_wait = Duration::from_secs(60);
            sim.submit(
                HOST,
                RequestSpec {
                    max_wait,
                    ..spec(0, 200)
                },
            );
        }
    };
    // Long enough for the cold start to drop out of the window of the measured rate.
    sim.run(Duration::from_secs(45), &mut flood);
    assert!(sim.gateways[&HOST].refused.is_empty());
    // The backlog of workspace 0 drains in about 20 s. An early deadline goes ahead of it, and a
    // late one is met after it, so that no request has to be refused.
    let max_wait = Duration::from_secs(59);
    for workspace in [0, 1] {
        sim.submit(
            HOST,
            RequestSpec {
                max_wait: max_wait / 30,
                ..spec(workspace, 200)
            },
        );
        sim.submit(
            HOST,
            RequestSpec {
                max_wait,
                ..spec(workspace, 200)
            },
        );
    }
    sim.run(Duration::from_millis(3), |_| {});
    assert!(
        sim.gateways[&HOST].refused.is_empty(),
        "requests whose deadlines can be met were refused"
    );
    for _ in 0..200 {
        let max_wait = Duration::from_secs(3);
        sim.submit(
            HOST,
            RequestSpec {
                max_wait,
                ..spec(0, 200)
            },
        );
    }
    sim.run(Duration::from_millis(3), |_| {});
    let refused = &sim.gateways[&HOST].refused;
    assert!(
        (100..200).contains(&refused.len()),
        "{} requests refused",
        refused.len()
    );
    for refusal in refused {
        assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
        assert!(refusal.retry_after_ms >= 1_000);
    }
}

#[test]
fn passed_deadline_is_refused_without_delay() {
    let mut sim = Simulation::new(1, 1, 1, 3);
    sim.submit(HOST, spec(0, 5_000));
    sim.run(Duration::from_millis(10), |_| {});
    let max_wait = Duration::from_millis(300);
    sim.submit(
        HOST,
        RequestSpec {
            max_wait,
            ..spec(0, 10)
        },
    );
    sim.run(Duration::from_millis(295), |_| {});
    assert!(sim.gateways[&HOST].refused.is_empty());
    sim.run(Duration::from_millis(30), |_| {});
    let refused = &sim.gateways[&HOST].refused;
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason, RefusalReason::DeadlinePassed);
}

#[test]
fn shard_without_server_refuses_at_once() {
    let mut sim = Simulation::new(1, 0, 1, 3);
    sim.submit(HOST, spec(0, 10));
    sim.run(Duration::from_millis(5), |_| {});
    assert_eq!(
        sim.gateways[&HOST].refused[0].reason,
        RefusalReason::NoServer
    );
}

#[test]
fn new_scheduler_uses_warm_servers_at_once_and_counts_running_requests() {
    let mut sim = Simulation::new(1, 1, 8, 3);
    sim.run(Duration::from_secs(5), |sim| {
        keep_backlogged(sim, 2, 8, 100)
    });
    let before = sim.schedulers[&HOST].status().servers[0];
    assert_eq!(before.phase, ServerPhase::Warm);
    sim.start_scheduler(HOST);
    sim.run(Duration::from_millis(5), |_| {});
    let after = sim.schedulers[&HOST].status().servers[0];
    assert_eq!(after.phase, ServerPhase::Warm);
    // Up to two requests may have ended in between.
    assert!(after.running + 2 >= before.running);
    let overloaded = sim.servers[&ServerId(100)].overloaded;
    // 200 ms is shorter than the time until the scheduler tries to raise the restored limit.
    sim.run(Duration::from_millis(200), |sim| {
        keep_backlogged(sim, 2, 8, 100)
    });
    assert_eq!(sim.servers[&ServerId(100)].overloaded, overloaded);
}

#[test]
fn server_out_of_service_gets_no_new_requests() {
    let mut sim = Simulation::new(1, 2, 4, 3);
    sim.run(Duration::from_secs(2), |sim| keep_backlogged(sim, 2, 8, 50));
    sim.servers.get_mut(&ServerId(100)).unwrap().usable = false;
    sim.send_members(HOST);
    sim.run(Duration::from_millis(5), |sim| {
        keep_backlogged(sim, 2, 8, 50)
    });
    let dispatched = sim.servers[&ServerId(100)].dispatched;
    sim.run(Duration::from_secs(2), |sim| keep_backlogged(sim, 2, 8, 50));
    assert_eq!(sim.servers[&ServerId(100)].dispatched, dispatched);
    assert!(sim.servers[&ServerId(101)].dispatched > 20);
}
