//! Shards of one service in several failure domains.

mod pool_pump;

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::TotalCell;
use cardamomshift_lib::message::Totals;
use cardamomshift_lib::pool::PoolEvent;
use pool_pump::Faults;
use pool_pump::Pump;
use pool_pump::SERVICE;
use pool_pump::Spec;
use proptest::prelude::*;

const A: HostId = HostId(1);
const B: HostId = HostId(2);
const LONG: Duration = Duration::from_secs(3_600);

fn spec(workspace: u32, cost: u64) -> Spec {
    Spec {
        workspace,
        estimate: cost,
        cost,
        patience: LONG,
    }
}

/// Keeps `depth` requests of a workspace waiting on a host, with costs up to `largest`.
fn keep(pump: &mut Pump, host: HostId, workspace: u32, depth: usize, largest: u64) {
    while pump.gateways[&host].waiting_of(workspace) < depth {
        let cost = 1 + pump.draw(largest);
        pump.submit(host, spec(workspace, cost));
    }
}

/// Cost of the dispatched requests per workspace.
fn service(pump: &Pump) -> BTreeMap<u32, u64> {
    let mut given = BTreeMap::new();
    for gateway in pump.gateways.values() {
        for (workspace, cost) in &gateway.service {
            *given.entry(*workspace).or_default() += cost;
        }
    }
    given
}

fn growth(before: &BTreeMap<u32, u64>, after: &BTreeMap<u32, u64>, workspace: u32) -> u64 {
    let then = before.get(&workspace).copied().unwrap_or_default();
    after.get(&workspace).copied().unwrap_or_default() - then
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(6))]

    #[test]
    fn gap_between_workspaces_of_several_domains_is_bounded(
        seed in any::<u64>(),
        hosts in 2..4u64,
        largest in 100..1_500u64,
        places in 2..7u32,
    ) {
        let mut pump = Pump::new(hosts, 2, 6, seed);
        for server in pump.servers.values_mut().filter(|s| s.domain.0 == A.0) {
            server.bears = places;
        }
        let load = |pump: &mut Pump| {
            keep(pump, A, 0, 20, largest);
            keep(pump, B, 1, 20, largest);
            keep(pump, B, 2, 20, largest);
            keep(pump, HostId(hosts), 0, 20, largest);
        };
        pump.run(Duration::from_secs(8), load);
        let before = service(&pump);
        let mut worst = 0;
        pump.run(Duration::from_secs(12), |pump| {
            load(pump);
            let after = service(pump);
            let given: Vec<_> = (0..3).map(|w| growth(&before, &after, w)).collect();
            worst = worst.max(given.iter().max().unwrap() - given.iter().min().unwrap());
        });
        let after = service(&pump);
        let rate = (0..3).map(|w| growth(&before, &after, w)).sum::<u64>() / 12;
        // Two of the largest requests, and one exchange interval of 200 ms at the fleet's rate.
        let bound = 2 * largest + rate / 5;
        prop_assert!(worst <= bound, "gap {worst}, bound {bound}");
    }

    #[test]
    fn bids_of_three_shards_are_neither_lost_nor_run_twice(
        seed in any::<u64>(),
        lost in 0..100u64,
    ) {
        let mut pump = Pump::new(3, 1, 4, seed);
        pump.faults = Faults { lost, repeated: 100, jitter_ms: 20 };
        for number in 0..90u32 {
            let cost = 1 + pump.draw(300);
            // Most of the load arrives in one domain, so that bids are handed over.
            let host = if number % 5 == 0 { B } else { A };
            pump.submit(host, spec(number % 4, cost));
            pump.run(Duration::from_millis(10), |_| {});
        }
        pump.run(Duration::from_secs(40), |_| {});
        let ended: usize = pump.gateways.values().map(|g| g.ended.len()).sum();
        prop_assert_eq!(ended, 90);
        for scheduler in pump.schedulers.values() {
            let status = scheduler.status();
            prop_assert_eq!((status.waiting, status.running), (0, 0));
        }
    }
}

#[test]
fn idle_shards_serve_the_backlog_of_another() {
    let mut pump = Pump::new(3, 2, 6, 11);
    pump.run(Duration::from_secs(3), |pump| keep(pump, A, 0, 60, 200));
    let before: Vec<_> = pump.servers.values().map(|s| s.dispatched).collect();
    let mut used = 0;
    let mut places = 0;
    pump.run(Duration::from_secs(5), |pump| {
        keep(pump, A, 0, 60, 200);
        used += pump
            .servers
            .values()
            .map(|s| u64::from(s.running))
            .sum::<u64>();
        let pools = pump.schedulers.values().map(|s| s.status());
        let limits = pools
            .flat_map(|pool| pool.servers)
            .map(|s| u64::from(s.limit));
        places += limits.sum::<u64>();
    });
    for (server, before) in pump.servers.values().zip(before) {
        assert!(server.dispatched > before + 50);
    }
    assert!(used * 100 >= places * 85, "{used} of {places} places used");
}

#[test]
fn cold_shard_pulls_no_more_than_it_can_start() {
    let mut pump = Pump::new(2, 1, 1, 11);
    for server in pump.servers.values_mut() {
        server.failing = true;
    }
    pump.run(Duration::from_secs(5), |pump| {
        keep(pump, A, 0, 30, 200);
        let status = pump.schedulers[&B].status();
        assert!(
            status.waiting <= 1,
            "{} bids wait on the cold shard",
            status.waiting
        );
    });
    assert!(pump.servers[&ServerId(200)].dispatched > 3);
}

#[test]
fn shard_without_servers_is_served_by_others() {
    let mut pump = Pump::new(2, 2, 6, 5);
    pump.servers.retain(|_, server| server.domain.0 == B.0);
    pump.members(A);
    pump.run(Duration::from_secs(4), |pump| keep(pump, A, 0, 10, 100));
    assert!(pump.gateways[&A].refused.is_empty());
    assert!(pump.gateways[&A].ended.len() > 100);
}

#[test]
fn nobody_starves_after_a_partition() {
    let mut pump = Pump::new(2, 2, 6, 5);
    let load = |pump: &mut Pump| {
        keep(pump, A, 0, 150, 100);
        keep(pump, B, 1, 150, 100);
    };
    pump.servers.retain(|id, _| id.0 != 101);
    pump.members(A);
    pump.run(Duration::from_secs(3), load);
    pump.isolate(A, true);
    pump.run(Duration::from_secs(20), load);
    pump.isolate(A, false);
    let mut before = service(&pump);
    // The clamp is worth less than a second of the rate that was seen.
    for _ in 0..6 {
        pump.run(Duration::from_millis(1_500), load);
        let after = service(&pump);
        for workspace in [0, 1] {
            let given = growth(&before, &after, workspace);
            assert!(given > 1_000, "workspace {workspace} got {given} in 1.5 s");
        }
        before = after;
    }
}

#[test]
fn service_carried_over_from_a_partition_is_repaid_up_to_the_clamp_only() {
    let mut pump = Pump::new(1, 2, 6, 5);
    let load = |pump: &mut Pump| {
        keep(pump, A, 0, 60, 100);
        keep(pump, A, 1, 60, 100);
    };
    pump.run(Duration::from_secs(3), load);
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
    pump.event(A, PoolEvent::Totals(totals));
    let before = service(&pump);
    pump.run(Duration::from_millis(200), load);
    let repaid = service(&pump);
    assert!(growth(&before, &repaid, 0) > 3 * growth(&before, &repaid, 1));
    pump.run(Duration::from_millis(1_300), load);
    let after = service(&pump);
    assert!(growth(&before, &after, 1) > 1_000);
}
