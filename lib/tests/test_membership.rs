//! Membership of a small fleet, where every host hears every other.

mod membership_fleet;

use std::time::Duration;

use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::MembershipChange;
use cardamomshift_lib::host::TICK_INTERVAL;
use cardamomshift_lib::id::Incarnation;
use membership_fleet::Fleet;
use proptest::prelude::*;

/// Silence after which a host counts as dead.
const SILENCE: Duration = Duration::from_secs(1);
/// Longest steady time that a host which came back has to wait for roles.
const LONGEST_HOLD: Duration = Duration::from_secs(64);

#[test]
fn all_hosts_agree_after_the_start() {
    let mut fleet = Fleet::start(9, 4);
    fleet.run_for(Duration::from_secs(3));
    fleet.assert_agreement();
}

#[test]
fn single_host_schedules_at_once() {
    let fleet = Fleet::start(1, 1);
    fleet.assert_agreement();
}

#[test]
fn dead_host_is_dropped_within_the_bound() {
    let mut fleet = Fleet::start(9, 3);
    fleet.run_for(Duration::from_secs(5));
    let dead = fleet.members[4].id;
    fleet.kill(4);
    // Its last heartbeat may still be on its way.
    fleet.run_for(SILENCE + TICK_INTERVAL * 2);
    for member in fleet.running() {
        assert!(!member.view.alive(dead));
    }
    fleet.assert_agreement();
}

#[test]
fn host_never_heard_of_is_dropped_after_the_grace() {
    let mut fleet = Fleet::start(4, 1);
    let silent = fleet.members[3].id;
    fleet.kill(3);
    assert!(fleet.members[0].view.alive(silent));
    fleet.run_for(SILENCE + TICK_INTERVAL);
    assert!(!fleet.members[0].view.alive(silent));
}

#[test]
fn host_listed_later_lives_from_its_first_message() {
    let mut fleet = Fleet::start(4, 1);
    let late = fleet.members[3].id;
    fleet.kill(3);
    let mut list = fleet.list.clone();
    list.hosts.pop();
    list.revision = 2;
    let whole = std::mem::replace(&mut fleet.list, list);
    fleet.publish();
    fleet.run_for(Duration::from_secs(5));
    fleet.list = HostList {
        revision: 3,
        ..whole
    };
    fleet.publish();
    assert!(!fleet.members[0].view.alive(late));
    fleet.restart(3);
    fleet.run_for(TICK_INTERVAL * 3);
    assert!(fleet.members[0].view.alive(late));
}

#[test]
fn leaving_host_loses_its_roles_at_once_but_lives() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let leaving = fleet.members[1].id;
    fleet.set_state(1, HostState::Leaving);
    fleet.assert_agreement();
    for pool in fleet.pools() {
        assert_ne!(fleet.members[0].view.scheduler(pool), Some(leaving));
    }
    assert!(fleet.members[0].view.alive(leaving));
}

#[test]
fn stopping_host_loses_its_roles_with_its_next_heartbeat() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let now = fleet.now;
    fleet.members[1].stopping = true;
    fleet.members[1].view.stop(now);
    fleet.run_for(TICK_INTERVAL * 2);
    let stopping = fleet.members[1].id;
    fleet.assert_agreement();
    assert!(fleet.members[0].view.alive(stopping));
    assert!(
        fleet.members[0]
            .changes
            .iter()
            .any(|(_, change)| *change == MembershipChange::HostStopping(stopping))
    );
}

#[test]
fn silent_list_changes_nothing() {
    let mut fleet = Fleet::start(6, 3);
    fleet.run_for(Duration::from_secs(5));
    let before = fleet.members[0].changes.len();
    fleet.run_for(Duration::from_secs(600));
    assert_eq!(fleet.members[0].changes.len(), before);
    fleet.assert_agreement();
}

#[test]
fn empty_and_older_readings_change_nothing_at_first() {
    let mut fleet = Fleet::start(6, 3);
    fleet.run_for(Duration::from_secs(5));
    let now = fleet.now;
    let view = &mut fleet.members[0].view;
    let empty = HostList {
        revision: 9,
        hosts: Vec::new(),
    };
    assert!(view.list_read(now, empty).is_empty());
    let mut older = fleet.list.clone();
    older.revision = 0;
    older.hosts.pop();
    assert!(view.list_read(now, older.clone()).is_empty());
    assert!(view.list_read(now, older.clone()).is_empty());
    let changes = view.list_read(now, older);
    assert_eq!(changes, vec![MembershipChange::ListChanged]);
}

#[test]
fn restarted_host_is_told_apart_and_old_messages_are_ignored() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let (host, now) = (fleet.members[1].id, fleet.now);
    let view = &mut fleet.members[0].view;
    let changes = view.heard(now, host, Incarnation(7), None);
    let restarted = MembershipChange::HostRestarted {
        host,
        incarnation: Incarnation(7),
    };
    assert_eq!(changes, vec![restarted]);
    assert!(view.heard(now, host, Incarnation(1), None).is_empty());
    assert_eq!(view.incarnation(host), Some(Incarnation(7)));
}

#[test]
fn restarted_host_with_a_slow_clock_is_taken_in_once_its_old_life_is_dead() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let host = fleet.members[1].id;
    fleet.kill(1);
    fleet.run_for(Duration::from_secs(2));
    let now = fleet.now;
    let view = &mut fleet.members[0].view;
    view.heard(now, host, Incarnation(0), None);
    assert!(view.alive(host));
}

#[test]
fn host_that_cannot_be_reached_counts_as_dead_while_it_is_heard() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let (host, incarnation) = (fleet.members[1].id, fleet.members[1].incarnation);
    let now = fleet.now;
    fleet.members[0].view.link_down(now, host);
    fleet.run_for(SILENCE + TICK_INTERVAL * 2);
    assert!(!fleet.members[0].view.alive(host));
    let now = fleet.now;
    fleet.members[0].view.link_up(now, host, incarnation);
    assert!(fleet.members[0].view.alive(host));
}

#[test]
fn short_loss_of_a_link_changes_nothing() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let (host, incarnation) = (fleet.members[1].id, fleet.members[1].incarnation);
    let before = fleet.members[0].changes.len();
    let now = fleet.now;
    fleet.members[0].view.link_down(now, host);
    fleet.run_for(SILENCE / 2);
    let now = fleet.now;
    fleet.members[0].view.link_up(now, host, incarnation);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.members[0].changes.len(), before);
}

#[test]
fn stalled_host_does_not_bury_the_others() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let now = fleet.now + Duration::from_secs(30);
    let others: Vec<_> = fleet.members[1..].iter().map(|m| m.id).collect();
    let view = &mut fleet.members[0].view;
    assert!(view.tick(now).changes.is_empty());
    for host in &others {
        view.heard(now + TICK_INTERVAL, *host, Incarnation(1), None);
    }
    let tick = view.tick(now + TICK_INTERVAL);
    assert!(tick.changes.is_empty());
    assert!(others.iter().all(|host| view.alive(*host)));
}

#[test]
fn stalled_host_buries_those_that_stay_silent() {
    let mut fleet = Fleet::start(2, 1);
    fleet.run_for(Duration::from_secs(5));
    let host = fleet.members[1].id;
    let view = &mut fleet.members[0].view;
    let mut now = fleet.now + Duration::from_secs(30);
    view.tick(now);
    for _ in 0..10 {
        now = now + TICK_INTERVAL;
        view.tick(now);
    }
    assert!(!view.alive(host));
}

#[test]
fn partition_splits_the_fleet_and_heals() {
    let mut fleet = Fleet::start(9, 3);
    fleet.run_for(Duration::from_secs(5));
    fleet.set_partition(|i| i % 3 == 0, true);
    fleet.run_for(Duration::from_secs(3));
    let (inside, outside) = (fleet.members[0].id, fleet.members[1].id);
    assert!(!fleet.members[0].view.alive(outside));
    assert!(!fleet.members[1].view.alive(inside));
    // Each part has a scheduler for its own failure domain.
    let own = fleet.members[0].domain;
    for pool in fleet.pools().into_iter().filter(|p| p.domain == own) {
        assert!(fleet.members[0].view.scheduler(pool).is_some());
        assert!(fleet.members[1].view.scheduler(pool).is_none());
    }
    fleet.set_partition(|i| i % 3 == 0, false);
    fleet.run_for(Duration::from_secs(4));
    fleet.assert_agreement();
}

#[test]
fn flapping_host_does_not_take_its_roles_back_and_forth() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let pools = fleet.pools();
    let choices = |fleet: &Fleet| -> Vec<_> {
        let view = &fleet.members[0].view;
        pools.iter().map(|pool| view.scheduler(*pool)).collect()
    };
    let mut last = choices(&fleet);
    let (mut role_changes, mut returns) = (0, 0);
    // Silent for 2 s and heard for 3 s, for five minutes.
    for _ in 0..60 {
        for (silent, seconds) in [(true, 2), (false, 3)] {
            fleet.set_cut(1, 0, silent);
            for _ in 0..seconds * 20 {
                fleet.step();
                let current = choices(&fleet);
                role_changes += u32::from(current != last);
                last = current;
            }
        }
        returns += 1;
    }
    assert_eq!(returns, 60);
    // Away, back once after the shortest steady time, and away for good.
    assert_eq!(role_changes, 3);
}

/// Something that happens to a fleet.
#[derive(Clone, Debug)]
enum Happening {
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Stop(usize),
    Cut(usize, usize),
    Pass(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (0..9_usize).prop_map(Happening::Kill),
        (0..9_usize).prop_map(Happening::Restart),
        (0..9_usize).prop_map(Happening::Leave),
        (0..9_usize).prop_map(Happening::Stop),
        (0..9_usize, 0..9_usize).prop_map(|(a, b)| Happening::Cut(a, b)),
        (50..3_000_u64).prop_map(Happening::Pass),
    ]
}

fn apply(fleet: &mut Fleet, happening: Happening) {
    let hosts = fleet.members.len();
    match happening {
        Happening::Kill(i) => fleet.kill(i % hosts),
        Happening::Restart(i) => fleet.restart(i % hosts),
        Happening::Leave(i) => fleet.set_state(i % hosts, HostState::Leaving),
        Happening::Stop(i) => {
            let now = fleet.now;
            let member = &mut fleet.members[i % hosts];
            member.stopping = true;
            member.view.stop(now);
        }
        Happening::Cut(a, b) => fleet.set_cut(a % hosts, b % hosts, true),
        Happening::Pass(ms) => fleet.run_for(Duration::from_millis(ms)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever happened, hosts that hear one another again agree on living schedulers.
    #[test]
    fn hosts_agree_once_the_network_is_whole(
        hosts in 3..10_usize,
        domains in 1..4_usize,
        happenings in proptest::collection::vec(happening(), 0..30),
    ) {
        let mut fleet = Fleet::start(hosts, domains);
        for happening in happenings {
            apply(&mut fleet, happening);
        }
        fleet.cut.clear();
        fleet.run_for(LONGEST_HOLD + SILENCE * 3);
        fleet.assert_agreement();
    }

    /// A host that dies at any moment is dropped by all others within the bound.
    #[test]
    fn dead_host_is_dropped_within_the_bound_whenever_it_dies(
        hosts in 3..10_usize,
        victim in 0..9_usize,
        ticks in 0..100_u32,
    ) {
        let mut fleet = Fleet::start(hosts, 3);
        fleet.run_for(TICK_INTERVAL * ticks);
        let victim = victim % hosts;
        fleet.kill(victim);
        fleet.run_for(SILENCE + TICK_INTERVAL * 2);
        prop_assert_eq!(fleet.believers(victim), Vec::<usize>::new());
    }
}
