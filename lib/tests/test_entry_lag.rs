//! How far a host is behind its work, and what follows from it.

use std::time::Duration;

use cardamomshift_lib::entry::Lag;
use cardamomshift_lib::time::Timestamp;

const SAMPLE_PERIOD: u64 = 25;

/// A host whose timers are late by `late_ms` for so long, from `start` on. Gives the time at the
/// end and when it withdrew.
fn simulate(lag: &mut Lag, start: u64, late_ms: u64, lasts_ms: u64) -> (u64, Option<u64>) {
    let mut now = start;
    let mut unready_at = None;
    while now < start + lasts_ms {
        now += SAMPLE_PERIOD + late_ms;
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
fn one_pause_refuses_nobody() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    let (now, unready_at) = simulate(&mut lag, now, 80, 100);
    assert!(!lag.is_overloaded());
    assert_eq!(unready_at, None);
    assert!(lag.is_ready(at(now)));
}

#[test]
fn a_pause_after_a_rest_counts_as_one() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    let (_, unready_at) = simulate(&mut lag, now + 60_000, 80, 100);
    assert!(!lag.is_overloaded());
    assert_eq!(unready_at, None);
}

#[test]
fn a_host_without_time_left_refuses_within_half_a_second() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    simulate(&mut lag, now, 100, 500);
    assert!(lag.is_overloaded());
    let (now, _) = simulate(&mut lag, now + 500, 2, 500);
    assert!(!lag.is_overloaded(), "calm again at {now}");
}

#[test]
fn a_host_that_stays_behind_leaves_the_balance_and_comes_back() {
    let mut lag = Lag::default();
    let (_, unready_at) = simulate(&mut lag, 10_000, 100, 3_000);
    let unready_at = unready_at.expect("withdraws");
    assert!(unready_at < 12_000, "{unready_at}");
    assert!(!lag.is_ready(at(unready_at)));
    // Connections that are closed before the balancer has noticed would come back here.
    assert!(!lag.closes_connections(at(unready_at + 1_000)));
    assert!(lag.closes_connections(at(unready_at + 2_500)));
    assert!(lag.is_ready(at(unready_at + 8_000)));
    assert!(!lag.closes_connections(at(unready_at + 8_000)));
}

#[test]
fn a_host_that_falls_behind_again_at_once_stays_away_for_longer() {
    let mut lag = Lag::default();
    let mut now = 10_000;
    let mut away = Vec::new();
    for _ in 0..6 {
        let (_, unready_at) = simulate(&mut lag, now, 100, 3_000);
        let unready_at = unready_at.expect("withdraws");
        let back = (unready_at..).find(|t| lag.is_ready(at(*t)));
        let back = back.expect("comes back");
        away.push(back - unready_at);
        now = simulate(&mut lag, back - 1_000, 2, 1_000).0;
    }
    assert_eq!(away, [8_000, 16_000, 32_000, 64_000, 64_000, 64_000]);
}

#[test]
fn a_long_calm_is_as_good_as_a_new_start() {
    let mut lag = Lag::default();
    let (_, first) = simulate(&mut lag, 10_000, 100, 3_000);
    simulate(&mut lag, 60_000, 2, 30_000);
    let (_, second) = simulate(&mut lag, 100_000, 100, 3_000);
    let (first, second) = (first.expect("withdraws"), second.expect("withdraws"));
    assert!(!lag.is_ready(at(second + 7_900)));
    assert!(lag.is_ready(at(second + 8_000)), "first at {first}");
}

#[test]
fn a_host_that_was_suspended_is_not_behind_its_work() {
    let mut lag = Lag::default();
    let (now, _) = simulate(&mut lag, 10_000, 2, 1_000);
    let (now, unready_at) = simulate(&mut lag, now, 5_000, 1);
    assert_eq!(unready_at, None);
    let (_, unready_at) = simulate(&mut lag, now, 2, 300);
    assert_eq!(unready_at, None);
    assert!(!lag.is_overloaded());
}

#[test]
fn however_late_it_is_a_host_that_stays_behind_withdraws() {
    for late in [80, 300, 1_000, 3_000] {
        let mut lag = Lag::default();
        let (_, unready_at) = simulate(&mut lag, 10_000, late, 20_000);
        assert!(unready_at.is_some(), "late by {late} ms");
    }
}
