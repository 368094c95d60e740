//! Tests of the refusals and the readiness that follow from the lag of an entry host's timers: how
//! late they fire.

use std::time::Duration;

use cardamomshift_lib::entry::Lag;
use cardamomshift_lib::time::Timestamp;

const SAMPLE_PERIOD_MS: u64 = 25;

/// Simulates timers that fire `late_ms` late for `lasts_ms` from `start` on. Returns the time at
/// the end, and the time at which the host became not ready, if it did.
fn simulate(lag: &mut Lag, start: u64, late_ms: u64, lasts_ms: u64) -> (u64, Option<u64>) {
    let mut now = start;
    let mut unready_at = None;
    while now < start + lasts_ms {
        now += SAMPLE_PERIOD_MS + late_ms;
        if lag.update(at(now), Duration::from_millis(late_ms)) {
            unready_at = unready_at.or(Some(now));
        }
    }
    (now, unready_at)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

#[test]
fn single_pause_does_not_refuse_requests() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    let (now, unready_at) = simulate(&mut lag, now, 80, 100);
    assert!(!lag.is_overloaded());
    assert_eq!(unready_at, None);
    assert!(lag.is_ready(at(now)));
}

#[test]
fn single_pause_after_idle_time_does_not_refuse_requests() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    let (_, unready_at) = simulate(&mut lag, now + 60_000, 80, 100);
    assert!(!lag.is_overloaded());
    assert_eq!(unready_at, None);
}

#[test]
fn host_without_processor_time_refuses_within_half_a_second() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    simulate(&mut lag, now, 100, 500);
    assert!(lag.is_overloaded());
    let (now, _) = simulate(&mut lag, now + 500, 2, 500);
    assert!(!lag.is_overloaded(), "still overloaded at {now} ms");
}

#[test]
fn overloaded_host_leaves_and_rejoins_the_load_balancer() {
    let mut lag = Lag::default();
    let (_, unready_at) = simulate(&mut lag, 10_000, 100, 3_000);
    let unready_at = unready_at.expect("the host becomes not ready");
    assert!(unready_at < 12_000, "not ready only at {unready_at} ms");
    assert!(!lag.is_ready(at(unready_at)));
    // Callers whose connections are closed before the load balancer has noticed would reconnect
    // here.
    assert!(!lag.closes_connections(at(unready_at + 1_000)));
    assert!(lag.closes_connections(at(unready_at + 2_500)));
    assert!(lag.is_ready(at(unready_at + 8_000)));
    assert!(!lag.closes_connections(at(unready_at + 8_000)));
}

#[test]
fn unready_time_doubles_if_overload_returns() {
    let mut lag = Lag::default();
    let mut now = 10_000;
    let mut unready_times_ms = Vec::new();
    for _ in 0..6 {
        let (_, unready_at) = simulate(&mut lag, now, 100, 3_000);
        let unready_at = unready_at.expect("the host becomes not ready");
        let ready_at = (unready_at..).find(|t| lag.is_ready(at(*t)));
        let ready_at = ready_at.expect("the host becomes ready again");
        unready_times_ms.push(ready_at - unready_at);
        now = simulate(&mut lag, ready_at - 1_000, 2, 1_000).0;
    }
    assert_eq!(
        unready_times_ms,
        [8_000, 16_000, 32_000, 64_000, 64_000, 64_000]
    );
}

#[test]
fn unready_time_is_reset_after_a_long_time_without_overload() {
    let mut lag = Lag::default();
    let (_, first) = simulate(&mut lag, 10_000, 100, 3_000);
    simulate(&mut lag, 60_000, 2, 30_000);
    let (_, second) = simulate(&mut lag, 100_000, 100, 3_000);
    let (first, second) = (
        first.expect("the host becomes not ready"),
        second.expect("the host becomes not ready"),
    );
    assert!(!lag.is_ready(at(second + 7_900)));
    assert!(
        lag.is_ready(at(second + 8_000)),
        "not ready first at {first} ms, then at {second} ms"
    );
}

#[test]
fn suspended_host_is_not_overloaded() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    let (now, unready_at) = simulate(&mut lag, now, 5_000, 1);
    assert_eq!(unready_at, None);
    let (_, unready_at) = simulate(&mut lag, now, 2, 300);
    assert_eq!(unready_at, None);
    assert!(!lag.is_overloaded());
}

#[test]
fn host_becomes_unready_at_any_high_lag() {
    for late in [80, 300, 1_000, 3_000] {
        let mut lag = Lag::default();
        let (_, unready_at) = simulate(&mut lag, 10_000, late, 20_000);
        assert!(
            unready_at.is_some(),
            "still ready with timers late by {late} ms"
        );
    }
}
