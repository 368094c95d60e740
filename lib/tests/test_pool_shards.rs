//! Shards of one service in several failure domains: fair shares across shards, handover of bids to
//! shards with free capacity, lost messages and network partitions.
//!
//! A shard is the set of backend servers of a service in one failure domain. A bid stands for a
//! request that waits for a server. The service that a workspace has received is the total cost of
//! its dispatched requests.

mod pool_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::TotalCell;
use cardamomshift_lib::message::Totals;
use cardamomshift_lib::pool::PoolEvent;
use pool_simulation::Faults;
use pool_simulation::RequestSpec;
use pool_simulation::SERVICE;
use pool_simulation::Simulation;
use proptest::prelude::*;

const A: HostId = HostId(1);
const B: HostId = HostId(2);
const LONG_WAIT: Duration = Duration::from_secs(3_600);

fn spec(workspace: u32, cost: u64) -> RequestSpec {
    RequestSpec {
        workspace,
        estimate: cost,
        cost,
        max_wait: LONG_WAIT,
    }
}

/// Submits requests of a workspace to a host until `depth` of them wait, with costs up to
/// `largest`.
fn keep_backlogged(sim: &mut Simulation, host: HostId, workspace: u32, depth: usize, largest: u64) {
    while sim.gateways[&host].waiting_of(workspace) < depth {
        let cost = 1 + sim.random_below(largest);
        sim.submit(host, spec(workspace, cost));
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

/// Service that a workspace received between `before` and `after`.
fn growth(before: &BTreeMap<u32, u64>, after: &BTreeMap<u32, u64>, workspace: u32) -> u64 {
    let base = before.get(&workspace).copied().unwrap_or_default();
    after.get(&workspace).copied().unwrap_or_default() - base
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]

    #[test]
    fn service_gap_of_workspaces_in_several_domains_is_bounded(
        seed in any::<u64>(),
        hosts in 2..4u64,
        largest in 100..1_500u64,
        capacity in 2..7u32,
    ) {
        let mut sim = Simulation::new(hosts, 2, 6, seed);
        for server in sim.servers.values_mut().filter(|s| s.domain.0 == A.0) {
            server.capacity = capacity;
        }
        let load = |sim: &mut Simulation| {
            keep_backlogged(sim, A, 0, 20, largest);
            keep_backlogged(sim, B, 1, 20, largest);
            keep_backlogged(sim, B, 2, 20, largest);
            keep_backlogged(sim, HostId(hosts), 0, 20, largest);
        };
        sim.run(Duration::from_secs(8), load);
        let before = service_by_workspace(&sim);
        let mut max_gap = 0;
        sim.run(Duration::from_secs(12), |sim| {
            load(sim);
            let after = service_by_workspace(sim);
            let service: Vec<_> = (0..3).map(|w| growth(&before, &after, w)).collect();
            max_gap = max_gap.max(service.iter().max().unwrap() - service.iter().min().unwrap());
        });
        let after = service_by_workspace(&sim);
        let rate = (0..3).map(|w| growth(&before, &after, w)).sum::<u64>() / 12;
        // Two of the largest requests, and the service of the whole fleet in the 200 ms between two
        // updates of the shards.
        let bound = 2 * largest + rate / 5;
        prop_assert!(max_gap <= bound, "service gap {max_gap} exceeds the bound {bound}");
    }

    #[test]
    fn bids_of_three_shards_are_neither_lost_nor_run_twice(
        seed in any::<u64>(),
        lost_per_mille in 0..100u64,
    ) {
        let mut sim = Simulation::new(3, 1, 4, seed);
        sim.faults = Faults { lost_per_mille, duplicated_per_mille: 100, jitter_ms: 20 };
        for number in 0..90u32 {
            let cost = 1 + sim.random_below(300);
            // Most of the load arrives in one failure domain, so that bids are handed over.
            let host = if number % 5 == 0 { B } else { A };
            sim.submit(host, spec(number % 4, cost));
            sim.run(Duration::from_millis(10), |_| {});
        }
        sim.run(Duration::from_secs(40), |_| {});
        let ended: usize = sim.gateways.values().map(|g| g.ended.len()).sum();
        prop_assert_eq!(ended, 90);
        for scheduler in sim.schedulers.values() {
            let status = scheduler.status();
            prop_assert_eq!((status.waiting, status.running), (0, 0));
        }
    }
}

#[test]
fn idle_shards_serve_the_backlog_of_another() {
    let mut sim = Simulation::new(3, 2, 6, 11);
    sim.run(Duration::from_secs(3), |sim| {
        keep_backlogged(sim, A, 0, 60, 200)
    });
    let before: Vec<_> = sim.servers.values().map(|s| s.dispatched).collect();
    let mut used = 0;
    let mut capacity = 0;
    sim.run(Duration::from_secs(5), |sim| {
        keep_backlogged(sim, A, 0, 60, 200);
        used += sim
            .servers
            .values()
            .map(|s| u64::from(s.running))
            .sum::<u64>();
        let pools = sim.schedulers.values().map(|s| s.status());
        let limits = pools
            .flat_map(|pool| pool.servers)
            .map(|s| u64::from(s.limit));
        capacity += limits.sum::<u64>();
    });
    for (server, before) in sim.servers.values().zip(before) {
        assert!(server.dispatched > before + 50);
    }
    assert!(
        used * 100 >= capacity * 85,
        "only {used} of {capacity} units of capacity used"
    );
}

#[test]
fn cold_shard_pulls_no_more_than_it_can_start() {
    let mut sim = Simulation::new(2, 1, 1, 11);
    for server in sim.servers.values_mut() {
        server.failing = true;
    }
    sim.run(Duration::from_secs(5), |sim| {
        keep_backlogged(sim, A, 0, 30, 200);
        let status = sim.schedulers[&B].status();
        assert!(
            status.waiting <= 1,
            "{} bids wait on the cold shard",
            status.waiting
        );
    });
    assert!(sim.servers[&ServerId(200)].dispatched > 3);
}

#[test]
fn shard_without_servers_is_served_by_others() {
    let mut sim = Simulation::new(2, 2, 6, 5);
    sim.servers.retain(|_, server| server.domain.0 == B.0);
    sim.send_members(A);
    sim.run(Duration::from_secs(4), |sim| {
        keep_backlogged(sim, A, 0, 10, 100)
    });
    assert!(sim.gateways[&A].refused.is_empty());
    assert!(sim.gateways[&A].ended.len() > 100);
}

/// During a partition the workspaces receive different amounts of service that neither side knows.
/// Afterwards the one that received more must not wait until the difference is repaid.
#[test]
fn no_workspace_starves_after_a_partition() {
    let mut sim = Simulation::new(2, 2, 6, 5);
    let load = |sim: &mut Simulation| {
        keep_backlogged(sim, A, 0, 150, 100);
        keep_backlogged(sim, B, 1, 150, 100);
    };
    sim.servers.retain(|id, _| id.0 != 101);
    sim.send_members(A);
    sim.run(Duration::from_secs(3), load);
    sim.isolate(A, true);
    sim.run(Duration::from_secs(20), load);
    sim.isolate(A, false);
    let mut before = service_by_workspace(&sim);
    // The largest difference that is repaid is less than the service of 1 s at the measured rate.
    for _ in 0..6 {
        sim.run(Duration::from_millis(1_500), load);
        let after = service_by_workspace(&sim);
        for workspace in [0, 1] {
            let service = growth(&before, &after, workspace);
            assert!(
                service > 1_000,
                "workspace {workspace} got {service} in 1.5 s"
            );
        }
        before = after;
    }
}

/// Shard A learns, as after a partition, that workspace 1 received far more service on shard B.
/// Workspace 0 catches up for a short time, and then workspace 1 is served again although the
/// difference is not repaid.
#[test]
fn service_charged_during_a_partition_is_repaid_only_up_to_the_largest_lag() {
    let mut sim = Simulation::new(1, 2, 6, 5);
    let load = |sim: &mut Simulation| {
        keep_backlogged(sim, A, 0, 60, 100);
        keep_backlogged(sim, A, 1, 60, 100);
    };
    sim.run(Duration::from_secs(3), load);
    let cell = TotalCell {
        origin: B,
        incarnation: Incarnation(1),
        workspace: WorkspaceId(1),
        cost: 1_000_000,
    };
    let totals = Totals {
        service: SERVICE,
        cells: vec![cell],
    };
    sim.handle_event(A, PoolEvent::Totals(totals));
    let before = service_by_workspace(&sim);
    sim.run(Duration::from_millis(200), load);
    let repaid = service_by_workspace(&sim);
    assert!(growth(&before, &repaid, 0) > 3 * growth(&before, &repaid, 1));
    sim.run(Duration::from_millis(1_300), load);
    let after = service_by_workspace(&sim);
    assert!(growth(&before, &after, 1) > 1_000);
}
