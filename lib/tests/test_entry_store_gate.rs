//! Calls to the platform while it fails. Each call is paid for, also one that fails.

use std::time::Duration;

use cardamomshift_lib::entry::CallPacing;
use cardamomshift_lib::entry::StoreGate;
use cardamomshift_lib::time::Timestamp;

/// Number of kinds of objects that a host follows.
const KINDS: usize = 4;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// Plays an outage in which each of the tasks calls whenever it is admitted, and every call fails
/// after 5 ms. Returns the number of calls.
fn calls_in_outage(is_mirrored: bool, outage: Duration) -> usize {
    let mut gate = StoreGate::default();
    let mut failing_at: Vec<Option<u64>> = vec![None; KINDS];
    let mut calls = 0;
    for now in 0..u64::try_from(outage.as_millis()).unwrap() {
        for task in &mut failing_at {
            if *task == Some(now) {
                gate.on_failure(at(now), is_mirrored);
                *task = None;
            }
            if task.is_none() && gate.admit(at(now)).is_ok() {
                calls += 1;
                *task = Some(now + 5);
            }
        }
    }
    calls
}

#[test]
fn all_kinds_together_make_one_probe_at_a_time() {
    let calls = calls_in_outage(false, Duration::from_secs(10));
    // Four calls find out that the platform fails, then there is one every 300 to 600 ms.
    assert!((15..45).contains(&calls), "{calls} calls");
}

#[test]
fn host_with_mirror_hosts_makes_few_calls() {
    let calls = calls_in_outage(true, Duration::from_secs(15));
    assert!(calls <= KINDS + 7, "{calls} calls");
}

#[test]
fn success_admits_all_calls_at_once() {
    let mut gate = StoreGate::default();
    gate.on_failure(at(0), false);
    assert!(gate.admit(at(10)).is_err());
    assert!(gate.admit(at(200)).is_ok());
    assert!(gate.admit(at(201)).is_err(), "only one probe at a time");
    gate.on_success();
    assert!(gate.admit(at(202)).is_ok());
    assert!(gate.admit(at(202)).is_ok());
}

/// A probe may be dropped without a result, for example if its task ends.
#[test]
fn probe_without_a_result_does_not_close_the_gate_for_good() {
    let mut gate = StoreGate::default();
    gate.on_failure(at(0), false);
    assert!(gate.admit(at(1_000)).is_ok());
    assert!(gate.admit(at(1_100)).is_err());
    assert!(gate.admit(at(3_000)).is_ok());
}

/// Plays a platform that answers each call after 5 ms, and to no use. Returns the times of the calls.
fn calls_without_use(span: Duration) -> Vec<u64> {
    let mut pacing = CallPacing::default();
    let mut calls = Vec::new();
    let mut now = 0;
    while u128::from(now) < span.as_millis() {
        calls.push(now);
        now += 5;
        pacing.on_useless(at(now));
        now += u64::try_from(pacing.wait(at(now)).as_millis()).unwrap();
    }
    calls
}

#[test]
fn answers_without_use_are_followed_by_growing_pauses() {
    let calls = calls_without_use(Duration::from_secs(10));
    assert_eq!(
        calls[1], 5,
        "the call after the first answer without use is delayed"
    );
    // Then one every 300 to 600 ms, after shorter pauses at first.
    assert!((15..40).contains(&calls.len()), "{} calls", calls.len());
    let longest = calls.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest.unwrap() <= 605, "{longest:?} ms");
}

#[test]
fn answered_watch_ends_the_pauses() {
    let mut pacing = CallPacing::default();
    for _ in 0..5 {
        pacing.on_useless(at(0));
    }
    assert!(!pacing.wait(at(0)).is_zero());
    pacing.on_watched(at(0), true);
    assert!(pacing.wait(at(0)).is_zero());
    pacing.on_useless(at(0));
    assert!(pacing.wait(at(0)).is_zero());
}

#[test]
fn watch_that_was_not_held_is_followed_by_a_pause() {
    let mut pacing = CallPacing::default();
    pacing.on_watched(at(1_000), false);
    assert_eq!(pacing.wait(at(1_005)), Duration::from_millis(95));
    // A watch that was held for longer has no pause after it.
    assert!(pacing.wait(at(1_100)).is_zero());
}

#[test]
fn changes_are_read_without_a_pause() {
    let mut pacing = CallPacing::default();
    pacing.on_watched(at(1_000), true);
    assert!(pacing.wait(at(1_000)).is_zero());
}
