//! Membership of a small fleet, in which every host sends heartbeats to every other.

mod membership_fleet;

use std::time::Duration;

use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::MembershipChange;
use cardamomshift_lib::host::TICK_INTERVAL;
use cardamomshift_lib::id::Incarnation;
use membership_fleet::Fleet;
use proptest::prelude::*;

/// Silence after which a host is considered dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a host that came back must stay alive before it gets roles again.
const MAX_HOLD_DOWN: Duration = Duration::from_secs(64);

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
fn dead_host_is_detected_within_the_silence_timeout() {
    let mut fleet = Fleet::start(9, 3);
    fleet.run_for(Duration::from_secs(5));
    let dead = fleet.members[4].id;
    fleet.kill(4);
    // Its last heartbeat may still be in flight.
    fleet.run_for(SILENCE_TIMEOUT + TICK_INTERVAL * 2);
    for member in fleet.running() {
        assert!(!member.view.alive(dead));
    }
    fleet.assert_agreement();
}

#[test]
fn listed_host_that_never_sends_is_dead_after_the_start_grace() {
    let mut fleet = Fleet::start(4, 1);
    let silent = fleet.members[3].id;
    fleet.kill(3);
    assert!(fleet.members[0].view.alive(silent));
    fleet.run_for(SILENCE_TIMEOUT + TICK_INTERVAL);
    assert!(!fleet.members[0].view.alive(silent));
}

#[test]
fn host_listed_later_is_alive_from_its_first_message() {
    let mut fleet = Fleet::start(4, 1);
    let late = fleet.members[3].id;
    fleet.kill(3);
    let mut list = fleet.list.clone();
    list.hosts.pop();
    list.revision = 2;
    let full_list = std::mem::replace(&mut fleet.list, list);
    fleet.publish();
    fleet.run_for(Duration::from_secs(5));
    fleet.list = HostList {
        revision: 3,
        ..full_list
    };
    fleet.publish();
    assert!(!fleet.members[0].view.alive(late));
    fleet.restart(3);
    fleet.run_for(TICK_INTERVAL * 3);
    assert!(fleet.members[0].view.alive(late));
}

#[test]
fn leaving_host_loses_its_roles_at_once_but_stays_alive() {
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
fn host_list_that_is_not_read_again_changes_nothing() {
    let mut fleet = Fleet::start(6, 3);
    fleet.run_for(Duration::from_secs(5));
    let before = fleet.members[0].changes.len();
    fleet.run_for(Duration::from_secs(600));
    assert_eq!(fleet.members[0].changes.len(), before);
    fleet.assert_agreement();
}

#[test]
fn empty_or_older_host_list_is_ignored_at_first() {
    let mut fleet = Fleet::start(6, 3);
    fleet.run_for(Duration::from_secs(5));
    let now = fleet.now;
    let view = &mut fleet.members[0].view;
    let empty = HostList {
        revision: 9,
        hosts: Vec::new(),
    };
    assert!(view.on_host_list(now, empty).is_empty());
    let mut older = fleet.list.clone();
    older.revision = 0;
    older.hosts.pop();
    assert!(view.on_host_list(now, older.clone()).is_empty());
    assert!(view.on_host_list(now, older.clone()).is_empty());
    let changes = view.on_host_list(now, older);
    assert_eq!(changes, vec![MembershipChange::ListChanged]);
}

#[test]
fn restart_is_detected_and_messages_of_the_old_incarnation_are_ignored() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let (host, now) = (fleet.members[1].id, fleet.now);
    let view = &mut fleet.members[0].view;
    let changes = view.on_message(now, host, Incarnation(7), None);
    let restarted = MembershipChange::HostRestarted {
        host,
        incarnation: Incarnation(7),
    };
    assert_eq!(changes, vec![restarted]);
    assert!(view.on_message(now, host, Incarnation(1), None).is_empty());
    assert_eq!(view.incarnation(host), Some(Incarnation(7)));
}

#[test]
fn lower_incarnation_is_accepted_once_the_old_one_is_dead() {
    // Incarnations come from the host's clock, which may be set back before a restart.
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let host = fleet.members[1].id;
    fleet.kill(1);
    fleet.run_for(Duration::from_secs(2));
    let now = fleet.now;
    let view = &mut fleet.members[0].view;
    view.on_message(now, host, Incarnation(0), None);
    assert!(view.alive(host));
}

#[test]
fn unreachable_host_is_dead_although_its_messages_arrive() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let (host, incarnation) = (fleet.members[1].id, fleet.members[1].incarnation);
    let now = fleet.now;
    fleet.members[0].view.link_down(now, host);
    fleet.run_for(SILENCE_TIMEOUT + TICK_INTERVAL * 2);
    assert!(!fleet.members[0].view.alive(host));
    let now = fleet.now;
    fleet.members[0].view.link_up(now, host, incarnation);
    assert!(fleet.members[0].view.alive(host));
}

#[test]
fn short_link_outage_changes_nothing() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let (host, incarnation) = (fleet.members[1].id, fleet.members[1].incarnation);
    let before = fleet.members[0].changes.len();
    let now = fleet.now;
    fleet.members[0].view.link_down(now, host);
    fleet.run_for(SILENCE_TIMEOUT / 2);
    let now = fleet.now;
    fleet.members[0].view.link_up(now, host, incarnation);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.members[0].changes.len(), before);
}

#[test]
fn stalled_host_does_not_mark_live_hosts_dead() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let now = fleet.now + Duration::from_secs(30);
    let others: Vec<_> = fleet.members[1..].iter().map(|m| m.id).collect();
    let view = &mut fleet.members[0].view;
    assert!(view.tick(now).changes.is_empty());
    for host in &others {
        view.on_message(now + TICK_INTERVAL, *host, Incarnation(1), None);
    }
    let tick = view.tick(now + TICK_INTERVAL);
    assert!(tick.changes.is_empty());
    assert!(others.iter().all(|host| view.alive(*host)));
}

#[test]
fn stalled_host_marks_hosts_that_stay_silent_dead() {
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
fn flapping_host_does_not_move_roles_on_every_return() {
    let mut fleet = Fleet::start(4, 1);
    fleet.run_for(Duration::from_secs(5));
    let pools = fleet.pools();
    let choices = |fleet: &Fleet| -> Vec<_> {
        let view = &fleet.members[0].view;
        pools.iter().map(|pool| view.scheduler(*pool)).collect()
    };
    let mut last = choices(&fleet);
    let (mut role_changes, mut returns) = (0, 0);
    // For five minutes, messages of host 1 to host 0 are lost for 2 s, then delivered for 3 s.
    for _ in 0..60 {
        for (silent, seconds) in [(true, 2), (false, 3)] {
            fleet.set_blocked(1, 0, silent);
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
    // The roles leave the host, return once after the first hold-down (the wait after a return, at
    // first 2 s), and leave it again. Every later hold-down is longer than the 3 s.
    assert_eq!(role_changes, 3);
}

/// An event in the life of a simulated fleet.
#[derive(Clone, Debug)]
enum FleetEvent {
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Stop(usize),
    /// Drops messages from the first host to the second.
    BlockMessages(usize, usize),
    /// Lets this many milliseconds pass.
    PassTime(u64),
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        (0..9_usize).prop_map(FleetEvent::Kill),
        (0..9_usize).prop_map(FleetEvent::Restart),
        (0..9_usize).prop_map(FleetEvent::Leave),
        (0..9_usize).prop_map(FleetEvent::Stop),
        (0..9_usize, 0..9_usize).prop_map(|(a, b)| FleetEvent::BlockMessages(a, b)),
        (50..3_000_u64).prop_map(FleetEvent::PassTime),
    ]
}

fn apply(fleet: &mut Fleet, event: FleetEvent) {
    let hosts = fleet.members.len();
    match event {
        FleetEvent::Kill(i) => fleet.kill(i % hosts),
        FleetEvent::Restart(i) => fleet.restart(i % hosts),
        FleetEvent::Leave(i) => fleet.set_state(i % hosts, HostState::Leaving),
        FleetEvent::Stop(i) => {
            let now = fleet.now;
            let member = &mut fleet.members[i % hosts];
            member.stopping = true;
            member.view.stop(now);
        }
        FleetEvent::BlockMessages(a, b) => fleet.set_blocked(a % hosts, b % hosts, true),
        FleetEvent::PassTime(ms) => fleet.run_for(Duration::from_millis(ms)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// After any sequence of events, hosts agree on running schedulers once messages arrive again.
    #[test]
    fn hosts_agree_after_message_loss_ends(
        hosts in 3..10_usize,
        domains in 1..4_usize,
        events in proptest::collection::vec(fleet_event(), 0..30),
    ) {
        let mut fleet = Fleet::start(hosts, domains);
        for event in events {
            apply(&mut fleet, event);
        }
        fleet.blocked.clear();
        fleet.run_for(MAX_HOLD_DOWN + SILENCE_TIMEOUT * 3);
        fleet.assert_agreement();
    }

    /// A host that dies at any time is considered dead by all others within the silence timeout.
    #[test]
    fn dead_host_is_detected_in_time_whenever_it_dies(
        hosts in 3..10_usize,
        victim in 0..9_usize,
        ticks in 0..100_u32,
    ) {
        let mut fleet = Fleet::start(hosts, 3);
        fleet.run_for(TICK_INTERVAL * ticks);
        let victim = victim % hosts;
        fleet.kill(victim);
        fleet.run_for(SILENCE_TIMEOUT + TICK_INTERVAL * 2);
        prop_assert_eq!(fleet.seen_alive_by(victim), Vec::<usize>::new());
    }
}
