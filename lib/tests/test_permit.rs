//! Permits for slots of cold servers: one holder per slot, also with lost messages, gateway
//! restarts and new home hosts.
//!
//! A slot is one unit of the number of requests that a server which is not warm may run at once. A
//! gateway must get a permit for it from the slot's home host. In the quarantine, a waiting time, a
//! new home host refuses permits unless every listed host has announced the slots that it uses.

use std::time::Duration;

use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::message::PermitRelease;
use cardamomshift_lib::message::PermitRequest;
use cardamomshift_lib::permit::SlotGateways;
use cardamomshift_lib::permit::SlotHome;
use cardamomshift_lib::permit::slot_home;
use cardamomshift_lib::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::*;

const QUARANTINE_END: Timestamp = Timestamp::from_micros(1_000);
const AFTER_QUARANTINE: Timestamp = Timestamp::from_micros(2_000);
const INCARNATION: Incarnation = Incarnation(1);

fn request(gateway: u64, sequence: u64) -> RequestId {
    RequestId {
        gateway: HostId(gateway),
        sequence,
    }
}

fn permit_request(gateway: u64, sequence: u64) -> PermitRequest {
    PermitRequest {
        request: request(gateway, sequence),
        server: ServerId(7),
        slot: 0,
    }
}

fn release(gateway: u64, sequence: u64) -> PermitRelease {
    PermitRelease {
        request: request(gateway, sequence),
        server: ServerId(7),
        slot: 0,
    }
}

fn home() -> SlotHome {
    SlotHome::new(HostId(1), DomainId(1), QUARANTINE_END)
}

/// Revision of the host list on which the hosts' announcements are based.
const LIST_REVISION: u64 = 5;

fn gateways(listed: &[u64], alive: &[u64]) -> SlotGateways {
    SlotGateways {
        listed: listed.iter().copied().map(HostId).collect(),
        alive: alive.iter().copied().map(HostId).collect(),
        revision: LIST_REVISION,
    }
}

fn granted(home: &mut SlotHome, now: Timestamp, gateway: u64, sequence: u64) -> bool {
    let req = permit_request(gateway, sequence);
    home.request(now, HostId(gateway), INCARNATION, req, true)
        .granted
}

#[test]
fn slot_is_given_to_one_request_until_its_release() {
    let mut home = home();
    assert!(granted(&mut home, AFTER_QUARANTINE, 1, 10));
    assert!(
        granted(&mut home, AFTER_QUARANTINE, 1, 10),
        "the holder's repeated request must be granted again"
    );
    assert!(!granted(&mut home, AFTER_QUARANTINE, 2, 20));
    home.release(HostId(2), release(2, 20));
    assert!(
        !granted(&mut home, AFTER_QUARANTINE, 2, 20),
        "released by a request that does not hold the slot"
    );
    home.release(HostId(1), release(1, 10));
    assert!(granted(&mut home, AFTER_QUARANTINE, 2, 20));
}

#[test]
fn new_home_refuses_until_quarantine_and_announcements() {
    let mut home = home();
    home.set_hosts(gateways(&[1, 2, 3], &[1, 2]), QUARANTINE_END);
    assert!(!granted(&mut home, AFTER_QUARANTINE, 1, 10));
    home.announced(AFTER_QUARANTINE, HostId(1), INCARNATION, LIST_REVISION, []);
    assert!(!granted(&mut home, AFTER_QUARANTINE, 1, 10));
    home.announced(
        AFTER_QUARANTINE,
        HostId(2),
        INCARNATION,
        LIST_REVISION,
        [(request(2, 20), ServerId(7), 0)],
    );
    assert!(
        !granted(&mut home, Timestamp::ZERO, 1, 10),
        "granted in the quarantine"
    );
    assert!(
        !granted(&mut home, AFTER_QUARANTINE, 1, 10),
        "granted although the slot is held by an announced request"
    );
    assert!(granted(&mut home, AFTER_QUARANTINE, 2, 20));
    home.release(HostId(2), release(2, 20));
    assert!(granted(&mut home, AFTER_QUARANTINE, 1, 10));
}

#[test]
fn new_home_is_ready_at_once_when_every_listed_host_has_announced_by_its_list() {
    let mut home = home();
    home.announced(Timestamp::ZERO, HostId(1), INCARNATION, LIST_REVISION, []);
    home.set_hosts(gateways(&[1, 2], &[1, 2]), QUARANTINE_END);
    assert!(!granted(&mut home, Timestamp::ZERO, 1, 10));
    home.announced(
        Timestamp::ZERO,
        HostId(2),
        INCARNATION,
        LIST_REVISION - 1,
        [],
    );
    assert!(
        !granted(&mut home, Timestamp::ZERO, 1, 10),
        "granted although host 2 may still ask an earlier home host"
    );
    home.announced(Timestamp::ZERO, HostId(2), INCARNATION, LIST_REVISION, []);
    assert!(granted(&mut home, Timestamp::ZERO, 1, 10));
}

#[test]
fn quarantine_lasts_while_a_listed_host_is_silent() {
    let mut home = home();
    home.set_hosts(gateways(&[1, 2], &[1]), QUARANTINE_END);
    home.announced(Timestamp::ZERO, HostId(1), INCARNATION, LIST_REVISION, []);
    assert!(!granted(&mut home, Timestamp::ZERO, 1, 10));
    assert!(granted(&mut home, AFTER_QUARANTINE, 1, 10));
}

#[test]
fn restart_of_the_holder_frees_its_slot_and_its_old_incarnation_gets_none() {
    let mut home = home();
    assert!(granted(&mut home, AFTER_QUARANTINE, 1, 10));
    let new_incarnation = Incarnation(2);
    let answer = home.request(
        AFTER_QUARANTINE,
        HostId(1),
        new_incarnation,
        permit_request(1, 30),
        true,
    );
    assert!(answer.granted);
    home.release(HostId(1), release(1, 30));
    assert!(
        !granted(&mut home, AFTER_QUARANTINE, 1, 11),
        "granted to an earlier incarnation"
    );
}

#[test]
fn announcement_sent_before_the_permit_arrived_keeps_the_slot_occupied() {
    let mut home = home();
    assert!(granted(&mut home, AFTER_QUARANTINE, 1, 10));
    home.announced(AFTER_QUARANTINE, HostId(1), INCARNATION, LIST_REVISION, []);
    assert!(!granted(&mut home, AFTER_QUARANTINE, 2, 20));
    // The gateway had 3 s to dispatch the request. If it does not announce the slot after that, it
    // does not use it, and the release was lost.
    let after_dispatch = AFTER_QUARANTINE + Duration::from_secs(3);
    home.announced(after_dispatch, HostId(1), INCARNATION, LIST_REVISION, []);
    assert!(granted(&mut home, after_dispatch, 2, 20));
}

#[test]
fn host_that_is_not_the_home_gives_no_slot() {
    let answer = home().request(
        AFTER_QUARANTINE,
        HostId(1),
        INCARNATION,
        permit_request(1, 1),
        false,
    );
    assert!(!answer.granted);
}

#[test]
fn home_depends_on_listed_hosts_only_and_spreads_slots() {
    let hosts: Vec<_> = (1..=6).map(HostId).collect();
    let homes: std::collections::BTreeSet<_> = (0..64)
        .map(|slot| slot_home(hosts.iter().copied(), ServerId(7), slot))
        .collect();
    assert!(homes.len() > 3);
    assert_eq!(slot_home([], ServerId(7), 0), None);
}

/// An event at the home host. The numbers are the gateway and the sequence number of its request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ask(u64, u64),
    Release(u64, u64),
    Restart(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..4u64, 0..4u64).prop_map(|(g, s)| Step::Ask(g, s)),
        2 => (1..4u64, 0..4u64).prop_map(|(g, s)| Step::Release(g, s)),
        1 => (1..4u64).prop_map(Step::Restart),
    ]
}

proptest! {
    #[test]
    fn no_two_requests_hold_a_slot(steps in vec(any_step(), 0..80)) {
        let mut home = home();
        let mut incarnations = [1u64; 4];
        let mut holder: Option<(u64, u64)> = None;
        for step in steps {
            match step {
                Step::Ask(g, s) => {
                    let incarnation = Incarnation(incarnations[g as usize]);
                    let answer = home.request(
                        AFTER_QUARANTINE,
                        HostId(g),
                        incarnation,
                        permit_request(g, s),
                        true,
                    );
                    let expected = holder.is_none_or(|held| held == (g, s));
                    prop_assert_eq!(answer.granted, expected);
                    if expected {
                        holder = Some((g, s));
                    }
                }
                Step::Release(g, s) => {
                    home.release(HostId(g), release(g, s));
                    if holder == Some((g, s)) {
                        holder = None;
                    }
                }
                Step::Restart(g) => {
                    incarnations[g as usize] += 1;
                    home.announced(
                        AFTER_QUARANTINE,
                        HostId(g),
                        Incarnation(incarnations[g as usize]),
                        LIST_REVISION,
                        [],
                    );
                    if holder.is_some_and(|held| held.0 == g) {
                        holder = None;
                    }
                }
            }
        }
        prop_assert!(home.is_ready(AFTER_QUARANTINE));
    }
}
