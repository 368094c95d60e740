//! Membership of a large fleet, in which each host sends heartbeats only to a few monitors, and the
//! monitors send findings (reports on whether a host is alive) to their failure domain.

mod membership_fleet;

use std::time::Duration;

use cardamomshift_lib::host::FULL_MESH_HOSTS;
use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::Membership;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::host::TICK_INTERVAL;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::time::Timestamp;
use membership_fleet::Fleet;
use proptest::prelude::*;

/// Number of failure domains of the fleets in these tests.
const DOMAINS: usize = 4;
/// Number of hosts of the fleets in these tests, distributed evenly over the failure domains.
const HOSTS: usize = 40;
/// Time within which all hosts of a dead host's failure domain consider it dead, if one of its
/// monitors is alive: silence timeout, time for other hosts to report it alive, and five ticks.
const LOCAL_DOMAIN_BOUND: Duration = Duration::from_millis(2_000 + 300 + 250);
/// Time within which the hosts of the other failure domains consider a dead host dead. The same sum
/// with the longer silence timeout for hosts of other domains.
const REMOTE_DOMAIN_BOUND: Duration = Duration::from_millis(6_000 + 300 + 250);
/// Time within which a host is considered dead by all hosts although its local monitors died with
/// it: 2,300 ms until the deaths of the monitors are detected, as much again until the hosts that
/// take over as monitors detect that of the host, 2,000 ms that a new monitor allows in addition,
/// and five ticks.
const REASSIGNMENT_BOUND: Duration = Duration::from_millis(2 * 2_300 + 2_000 + 250);

/// Longest time for which a host that came back must stay alive before it gets roles again.
const MAX_HOLD_DOWN: Duration = Duration::from_secs(64);
/// Expected hosts that consider a dead host alive.
const NO_HOSTS: [usize; 0] = [];

/// Fleet in which all hosts consider each other alive.
fn converged_fleet() -> Fleet {
    let mut fleet = Fleet::start(HOSTS, DOMAINS);
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn same_domain(a: usize, b: usize) -> bool {
    a % DOMAINS == b % DOMAINS
}

#[test]
fn converged_fleet_agrees_and_sends_no_findings() {
    let mut fleet = converged_fleet();
    let before = fleet.findings;
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(fleet.findings, before);
    for host in 0..HOSTS {
        assert_eq!(fleet.seen_alive_by(host).len(), HOSTS);
    }
    fleet.assert_agreement();
}

#[test]
fn dead_host_is_detected_within_the_bounds() {
    let mut fleet = converged_fleet();
    fleet.kill(5);
    fleet.run_for(LOCAL_DOMAIN_BOUND);
    let seen_alive_by = fleet.seen_alive_by(5);
    assert!(
        seen_alive_by.iter().all(|i| !same_domain(*i, 5)),
        "{seen_alive_by:?}"
    );
    fleet.run_for(REMOTE_DOMAIN_BOUND - LOCAL_DOMAIN_BOUND);
    assert_eq!(fleet.seen_alive_by(5), NO_HOSTS);
    fleet.assert_agreement();
}

#[test]
fn restarted_host_is_alive_in_every_view() {
    let mut fleet = converged_fleet();
    fleet.kill(5);
    fleet.run_for(Duration::from_secs(10));
    fleet.restart(5);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.seen_alive_by(5).len(), HOSTS);
    fleet.assert_agreement();
}

#[test]
fn monitor_may_restart_while_a_host_is_dead() {
    for monitor in (0..HOSTS).filter(|i| same_domain(*i, 0)) {
        let mut fleet = converged_fleet();
        fleet.kill(31);
        fleet.run_for(Duration::from_millis(250));
        fleet.restart(monitor);
        fleet.run_for(Duration::from_secs(10));
        assert_eq!(
            fleet.seen_alive_by(31),
            NO_HOSTS,
            "restarted host {monitor}"
        );
    }
}

#[test]
fn restarted_host_learns_of_earlier_deaths() {
    let mut fleet = converged_fleet();
    fleet.kill(4);
    fleet.run_for(Duration::from_secs(10));
    for host in (0..HOSTS).filter(|i| same_domain(*i, 4) && *i != 4) {
        fleet.restart(host);
        fleet.run_for(Duration::from_secs(10));
        assert_eq!(fleet.seen_alive_by(4), NO_HOSTS, "restarted host {host}");
    }
}

#[test]
fn dead_failure_domain_is_detected_by_the_others() {
    let mut fleet = converged_fleet();
    for host in (0..HOSTS).filter(|i| same_domain(*i, 1)) {
        fleet.kill(host);
    }
    fleet.run_for(REMOTE_DOMAIN_BOUND);
    for host in (0..HOSTS).filter(|i| same_domain(*i, 1)) {
        assert_eq!(fleet.seen_alive_by(host), NO_HOSTS);
    }
    fleet.assert_agreement();
}

#[test]
fn hosts_that_die_with_all_their_monitors_are_detected() {
    let mut fleet = converged_fleet();
    let rack: Vec<_> = (0..HOSTS).filter(|i| same_domain(*i, 2)).take(6).collect();
    for host in &rack {
        fleet.kill(*host);
    }
    fleet.run_for(REASSIGNMENT_BOUND);
    for host in rack {
        assert_eq!(fleet.seen_alive_by(host), NO_HOSTS);
    }
    fleet.assert_agreement();
}

#[test]
fn partition_of_a_failure_domain_heals() {
    let mut fleet = converged_fleet();
    fleet.set_partition(|i| same_domain(i, 0), true);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.seen_alive_by(0).iter().all(|i| same_domain(*i, 0)));
    assert!(fleet.seen_alive_by(1).iter().all(|i| !same_domain(*i, 0)));
    fleet.run_for(Duration::from_secs(60));
    fleet.set_partition(|i| same_domain(i, 0), false);
    fleet.run_for(Duration::from_secs(30));
    for host in 0..HOSTS {
        assert_eq!(fleet.seen_alive_by(host).len(), HOSTS, "host {host}");
    }
    fleet.assert_agreement();
}

#[test]
fn isolated_host_is_dead_until_it_returns() {
    let mut fleet = converged_fleet();
    fleet.set_partition(|i| i == 7, true);
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(fleet.seen_alive_by(7), [7]);
    fleet.set_partition(|i| i == 7, false);
    fleet.run_for(Duration::from_secs(30));
    assert_eq!(fleet.seen_alive_by(7).len(), HOSTS);
    fleet.assert_agreement();
}

#[test]
fn leaving_host_loses_its_roles_at_once_but_stays_alive() {
    let mut fleet = converged_fleet();
    fleet.set_state(9, HostState::Leaving);
    assert_eq!(fleet.seen_alive_by(9).len(), HOSTS);
    fleet.assert_agreement();
}

#[test]
fn host_unheard_by_a_single_other_stays_alive() {
    let mut fleet = converged_fleet();
    for receiver in (0..HOSTS).filter(|i| same_domain(*i, 3) && *i != 3) {
        fleet.set_blocked(3, receiver, true);
        let end = fleet.now + Duration::from_secs(6);
        while fleet.now < end {
            fleet.step();
            assert_eq!(
                fleet.seen_alive_by(3).len(),
                HOSTS,
                "lost messages to host {receiver}"
            );
        }
        fleet.set_blocked(3, receiver, false);
    }
}

#[test]
fn lost_findings_are_repeated() {
    let mut fleet = converged_fleet();
    // Messages to host 1 from its own failure domain are lost while host 5 dies.
    let others: Vec<_> = (0..HOSTS)
        .filter(|i| same_domain(*i, 1) && *i != 1)
        .collect();
    for other in &others {
        fleet.set_blocked(*other, 1, true);
    }
    fleet.kill(5);
    fleet.run_for(Duration::from_secs(10));
    for other in &others {
        fleet.set_blocked(*other, 1, false);
    }
    fleet.run_for(Duration::from_secs(40));
    assert_eq!(fleet.seen_alive_by(5), NO_HOSTS);
    for host in (0..HOSTS).filter(|i| *i != 5) {
        assert_eq!(fleet.seen_alive_by(host).len(), HOSTS - 1, "host {host}");
    }
    fleet.assert_agreement();
}

fn list(hosts: usize, domains: usize) -> HostList {
    let entry = |i: usize| HostEntry {
        name: format!("host-{i}").into(),
        domain: format!("domain-{}", i % domains).into(),
        role: Role::Entry,
        state: HostState::Live,
        address: format!("127.0.0.1:{}", 1000 + i).parse().unwrap(),
        services: Vec::new(),
        checks_fencing: false,
    };
    HostList {
        revision: 1,
        hosts: (0..hosts).map(entry).collect(),
    }
}

/// Heartbeats that one host sends in ten seconds, after five seconds in which it receives messages
/// from all others.
fn heartbeats_in_ten_seconds(hosts: usize, domains: usize) -> usize {
    let mut now = Timestamp::from_micros(1_000_000);
    let list = list(hosts, domains);
    let own = &list.hosts[0];
    let (id, domain) = (own.host_id(), own.domain_id());
    let mut view = Membership::new(id, domain, Incarnation(1), now);
    view.on_host_list(now, list.clone());
    let mut sent = 0;
    for tick in 0..(20 * 15) {
        now = now + TICK_INTERVAL;
        if tick % 5 == 0 {
            for other in &list.hosts {
                view.on_message(now, other.host_id(), Incarnation(1), None);
            }
        }
        let due = view.tick(now);
        if tick >= 20 * 5 {
            sent += due.heartbeats.len();
        }
    }
    sent
}

#[test]
fn heartbeat_rate_of_a_host_is_bounded_in_large_fleets() {
    // In ten seconds: to three monitors every 500 ms, and to one monitor in each of the six other
    // failure domains every 2 s.
    let bound = 3 * 20 + 6 * 5;
    for hosts in [17, 21, 35, 70, 140, 280, 480] {
        let sent = heartbeats_in_ten_seconds(hosts, 7);
        assert!(sent <= bound, "{hosts} hosts: {sent}");
    }
    // In a full mesh: to every other host every 250 ms.
    for hosts in 3..=FULL_MESH_HOSTS {
        assert_eq!(heartbeats_in_ten_seconds(hosts, 3), (hosts - 1) * 40);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]

    /// After any set of hosts has died, the others consider exactly these dead and agree.
    #[test]
    fn survivors_agree_after_any_set_of_hosts_dies(
        dead in proptest::collection::btree_set(0..HOSTS, 0..HOSTS),
        seconds in 0..8_u64,
    ) {
        let mut fleet = Fleet::start(HOSTS, DOMAINS);
        fleet.run_for(Duration::from_secs(seconds));
        for host in &dead {
            fleet.kill(*host);
        }
        fleet.run_for(Duration::from_secs(30));
        for host in 0..HOSTS {
            let expected = if dead.contains(&host) { 0 } else { HOSTS - dead.len() };
            prop_assert_eq!(fleet.seen_alive_by(host).len(), expected, "host {}", host);
        }
        fleet.assert_agreement();
    }

    /// After any sequence of events, once messages arrive again, hosts consider exactly the running
    /// ones alive and agree on the schedulers.
    #[test]
    fn hosts_agree_after_message_loss_ends(
        events in proptest::collection::vec(
            (0..4_u8, 0..HOSTS, 0..HOSTS, 100..4_000_u64),
            0..12,
        ),
    ) {
        let mut fleet = converged_fleet();
        for (kind, a, b, ms) in events {
            match kind {
                0 => fleet.kill(a),
                1 => fleet.restart(a),
                2 => fleet.set_blocked(a, b, true),
                _ => fleet.set_partition(|i| i % 3 == a % 3, b % 2 == 0),
            }
            fleet.run_for(Duration::from_millis(ms));
        }
        fleet.blocked.clear();
        fleet.run_for(MAX_HOLD_DOWN + Duration::from_secs(30));
        let running = fleet.running().count();
        for host in 0..HOSTS {
            let expected = if fleet.members[host].running { running } else { 0 };
            prop_assert_eq!(fleet.seen_alive_by(host).len(), expected, "host {}", host);
        }
        fleet.assert_agreement();
    }
}
