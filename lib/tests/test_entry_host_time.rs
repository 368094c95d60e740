//! Tests of how the processor time of an entry host is divided among workspaces, and of the choice of hosts
//! that help it.

mod entry;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::entry::Peer;
use cardamomshift_lib::entry::Peers;
use cardamomshift_lib::entry::StopPlan;

use crate::entry::at;
use crate::entry::fleet;
use crate::entry::head;
use crate::entry::prompt;

/// Time at which the tests start, milliseconds.
const START_MS: u64 = 10_000;

/// Plays connections of several workspaces at a host that refuses `refused_fraction` of all, and returns how
/// many of each workspace are accepted in a second, after the first one.
fn play(per_second: &[(&'static str, u64)], refused_fraction: f64) -> HashMap<&'static str, u64> {
    let mut fleet = fleet(at(START_MS));
    let head = head(Some(crate::entry::KEY), at(START_MS + 3_000));
    let admitted = fleet.admit(at(START_MS), &head, "/s/x").unwrap();
    let mut accepted = HashMap::new();
    let seconds = 6;
    for ms in 0..seconds * 1_000 {
        if ms % 100 == 0 {
            fleet.on_connections_refused(0);
        }
        for (workspace, rate) in per_second {
            let arrived = |ms| ms * rate / 1_000;
            for _ in arrived(ms)..arrived(ms + 1) {
                let mut admitted = admitted.clone();
                admitted.workspace = Some((*workspace).into());
                if fleet.refuses_for_share(&admitted, refused_fraction) {
                    fleet.on_refused_connection(&admitted, Some(&prompt()));
                    continue;
                }
                fleet.on_arrived(&admitted, Some(&prompt()));
                if ms >= 1_000 {
                    *accepted.entry(*workspace).or_default() += 1;
                }
            }
        }
    }
    accepted
        .values_mut()
        .for_each(|count| *count /= seconds - 1);
    accepted
}

#[test]
fn host_time_is_divided_evenly_among_the_workspaces_that_want_more() {
    let accepted = play(&[("flood", 2_000), ("middling", 150), ("small", 20)], 0.9);
    // 217 of 2,170 connections are accepted, 20 of the small workspace.
    assert_eq!(accepted["small"], 20);
    assert!((85..=115).contains(&accepted["middling"]), "{accepted:?}");
    assert!((85..=115).contains(&accepted["flood"]), "{accepted:?}");
}

#[test]
fn host_time_that_a_workspace_does_not_use_goes_to_the_others() {
    let accepted = play(&[("flood", 2_000), ("small", 20)], 0.8);
    assert_eq!(accepted["small"], 20);
    assert!((360..=410).contains(&accepted["flood"]), "{accepted:?}");
    let alone = play(&[("flood", 2_000)], 0.8);
    assert!((380..=420).contains(&alone["flood"]), "{alone:?}");
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_400))
}

fn peer(n: u8, domain: &str, has_callers: bool) -> Peer {
    Peer {
        name: format!("h{n}").into(),
        address: address(n),
        callers: has_callers.then(|| SocketAddr::from(([10, 0, 0, n], 80))),
        domain: domain.into(),
        cores: 0.12,
    }
}

fn peers() -> Peers {
    let own = peer(1, "d1", true);
    let mut peers = Peers::new(&own);
    let others = [
        peer(2, "d1", true),
        peer(3, "d1", true),
        peer(4, "d2", true),
        peer(5, "d1", false),
    ];
    peers.set(&[&[own][..], &others].concat());
    peers
}

#[test]
fn requests_are_handed_over_within_the_failure_domain_by_session_and_load() {
    let mut peers = peers();
    let now = at(START_MS);
    let first = peers.choose_helper(now, 7).unwrap();
    assert_eq!(first.callers, SocketAddr::new(first.peer.ip(), 80));
    // The other one has fewer requests now.
    let second = peers.choose_helper(now, 7).unwrap();
    assert_ne!(first, second);
    let mut chosen = [first.peer, second.peer];
    chosen.sort_unstable();
    assert_eq!(chosen, [address(2), address(3)]);
    // Without load, the session decides.
    peers.on_handover_ended(now, first.peer, true);
    peers.on_handover_ended(now, second.peer, true);
    assert_eq!(peers.choose_helper(now, 7), Some(first));
}

#[test]
fn host_that_could_not_be_reached_gets_no_requests_for_a_while() {
    let mut peers = peers();
    let now = at(START_MS);
    for n in 0..2 {
        let helper = peers.choose_helper(now, n).unwrap();
        peers.on_handover_ended(now, helper.peer, false);
    }
    assert_eq!(peers.choose_helper(now, 7), None);
    let later = now + Duration::from_secs(2);
    assert!(peers.choose_helper(later, 7).is_some());
    assert!(peers.is_peer(address(4).ip()));
    assert!(!peers.is_peer(address(6).ip()));
}

#[test]
fn stopping_host_refuses_only_late_requests_that_may_outlast_it() {
    let plan = StopPlan {
        refuses_from: at(2_500),
        ends_at: at(7_700),
    };
    assert!(!plan.refuses(at(2_400), at(12_000)));
    assert!(plan.refuses(at(2_500), at(12_000)));
    assert!(!plan.refuses(at(6_000), at(7_700)));
    assert!(plan.refuses(at(6_000), at(7_701)));
    assert_eq!(plan.unread_until(), at(7_400));
}
