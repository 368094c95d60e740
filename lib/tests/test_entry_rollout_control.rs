//! Tests of telling orders apart, and of which host conducts an order.

use std::time::Duration;

use cardamomshift_lib::entry::ConductorAction;
use cardamomshift_lib::entry::Order;
use cardamomshift_lib::entry::OrderTracker;
use cardamomshift_lib::entry::RolloutBounds;
use cardamomshift_lib::entry::RolloutControl;
use cardamomshift_lib::entry::RolloutPermit;
use cardamomshift_lib::entry::RolloutPhase;
use cardamomshift_lib::entry::RolloutState;
use cardamomshift_lib::entry::StoredRollout;
use cardamomshift_lib::entry::StoredStatus;
use cardamomshift_lib::time::Timestamp;
use compact_str::CompactString;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// The object of an order for `v2`, last written at `revision`. `status` is its state and the revision of
/// the order that it belongs to.
fn stored(revision: u64, status: Option<(RolloutState, Option<u64>)>) -> StoredRollout {
    StoredRollout {
        service: "ledger".into(),
        target: "v2".into(),
        duration: Duration::from_secs(12),
        revision,
        status: status.map(|(state, ordered_at)| StoredStatus {
            state,
            target: "v2".into(),
            ordered_at,
        }),
    }
}

/// The order that a host knows after it has read the states of an object one after another.
fn order_after(states: &[StoredRollout]) -> Order {
    let mut tracker = OrderTracker::default();
    let name = CompactString::from("ledger");
    for state in states {
        tracker.update(at(0), std::iter::once((&name, state)));
    }
    let order = tracker.orders().next();
    order.expect("an order").clone()
}

/// Hosts that know different identities of an order ignore each other's permits.
#[test]
fn order_keeps_its_identity_when_its_status_is_written() {
    let written = stored(9, Some((RolloutState::InProgress, Some(5))));
    let first = order_after(&[stored(5, None)]);
    let later = order_after(&[stored(5, None), written.clone()]);
    let restarted = order_after(&[written]);
    assert_eq!(later.identity, first.identity);
    assert_eq!(restarted.identity, first.identity);
    assert_eq!(restarted.state, RolloutState::InProgress);
    let plain = stored(9, Some((RolloutState::Reverted, None)));
    let later = order_after(&[stored(5, None), plain]);
    assert_eq!(later.identity, first.identity);
    assert_eq!(later.state, RolloutState::Reverted);
}

/// The state of a finished order must not be taken for that of a later one.
#[test]
fn second_order_for_a_version_is_another_one() {
    let reverted = Some((RolloutState::Reverted, Some(5)));
    let first = [stored(5, None), stored(9, reverted)];
    let again = [&first[..], &[stored(12, reverted)]].concat();
    let second = order_after(&again);
    assert_ne!(second.identity, order_after(&first).identity);
    assert_eq!(second.state, RolloutState::Ordered);
    // A platform that keeps only the known fields of a status.
    let plain = Some((RolloutState::Reverted, None));
    let second = order_after(&[stored(5, None), stored(9, plain), stored(12, plain)]);
    assert_eq!(second.state, RolloutState::Ordered);
    let going = stored(14, Some((RolloutState::InProgress, Some(12))));
    let going = order_after(&[&again[..], &[going]].concat());
    assert_eq!(going.identity, second.identity);
    assert_eq!(going.state, RolloutState::InProgress);
}

/// An operator who stores the same order again must not take a version out of use that serves all
/// requests.
#[test]
fn order_for_a_completed_version_changes_nothing() {
    let completed = Some((RolloutState::Completed, Some(5)));
    let first = [stored(5, None), stored(9, completed)];
    let again = [&first[..], &[stored(12, completed)]].concat();
    assert_eq!(order_after(&again), order_after(&first));
}

/// The platform may go back to a state from before the final one was written.
#[test]
fn final_state_is_kept_when_the_platform_goes_back() {
    let going = stored(7, Some((RolloutState::InProgress, Some(5))));
    let reverted = stored(9, Some((RolloutState::Reverted, Some(5))));
    let before = order_after(&[going.clone(), reverted.clone()]);
    let after = order_after(&[going.clone(), reverted, going]);
    assert_eq!(after, before);
}

/// Whether a host that is at place `rank` in the rendezvous order sends permits at the given times.
/// `heard_at` are times at which it hears permits of the first host.
fn conducts(rank: usize, heard_at: &[u64], times: &[u64]) -> Vec<bool> {
    let bounds = RolloutBounds {
        exposure_share: 0.1,
        exposure_slack: 50.0,
        rollback: Duration::from_secs(5),
    };
    let mut control = RolloutControl::new(1, Some(bounds));
    let (name, stored) = (CompactString::from("ledger"), stored(5, None));
    let changes = control.on_orders(at(0), std::iter::once((&name, &stored)));
    let order = changes.set[0].clone();
    let mut conducting = Vec::new();
    for now in 0..=times.iter().copied().max().unwrap_or(0) / 50 {
        let now = now * 50;
        if heard_at.contains(&now) {
            let permit = RolloutPermit {
                service: order.service_hash,
                target: order.target,
                order: order.identity,
                valid_for: Duration::from_secs(1),
                phase: RolloutPhase::Canary {
                    share_millionths: 20_000,
                },
            };
            control.on_permit(at(now), Some(0), permit);
        }
        let actions = control.tick(at(now), |_| Some(rank));
        let is_active = control.is_conducting(order.identity);
        let sends = actions
            .iter()
            .any(|action| matches!(action, ConductorAction::Send(_)));
        assert!(is_active || !sends);
        if times.contains(&now) {
            conducting.push(is_active);
        }
    }
    conducting
}

/// A killed conductor must be replaced within about a second, without two of them in ordinary times.
#[test]
fn host_conducts_while_those_before_it_are_silent() {
    assert_eq!(conducts(0, &[], &[0, 5_000]), [true, true]);
    assert_eq!(conducts(1, &[], &[900, 1_000]), [false, true]);
    let heard = [250, 500, 750, 1_000];
    assert_eq!(conducts(1, &heard, &[1_900, 2_000]), [false, true]);
    assert_eq!(conducts(2, &heard, &[2_900, 3_000]), [false, true]);
    // The first host is back.
    assert_eq!(conducts(1, &[250, 3_000], &[2_000, 3_000]), [true, false]);
}
