//! Tests of the limits that entry hosts (the hosts that forward callers' requests to backend
//! servers) divide among themselves without communication.

use std::time::Duration;

use cardamomshift_lib::entry::ColdStartLimiter;
use cardamomshift_lib::entry::FleetBounds;
use cardamomshift_lib::entry::RetryBudget;
use cardamomshift_lib::entry::SlidingCount;
use cardamomshift_lib::entry::cold_share;
use cardamomshift_lib::time::Timestamp;
use proptest::prelude::*;

fn bounds() -> FleetBounds {
    FleetBounds {
        retry_ratio: 0.2,
        retry_burst: 52.0,
        retry_window: Duration::from_secs(10),
        cold_overrun: 1.5,
        key_lease: Duration::from_secs(5),
        config_lag: Duration::from_secs(2),
        stop_grace: Duration::from_secs(8),
        announce_grace: Duration::from_secs(2),
        rollout: None,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

#[test]
fn events_leave_the_sliding_window() {
    let mut count = SlidingCount::new(Duration::from_secs(1));
    count.add(at(0));
    count.add(at(600));
    assert_eq!(count.count(at(999)), 2);
    assert_eq!(count.count(at(1_000)), 1);
    assert_eq!(count.count(at(1_600)), 0);
}

#[test]
fn retries_of_all_hosts_stay_within_the_limit() {
    let bounds = bounds();
    let hosts = 6;
    let mut sum = 0;
    for _ in 0..hosts {
        let mut budget = RetryBudget::new(&bounds);
        for n in 0..100 {
            budget.on_request(at(n * 50));
        }
        sum += (0..1_000)
            .filter(|n| budget.take(at(5_000 + n), &bounds, hosts))
            .count();
    }
    let allowed = bounds.retry_ratio * 600.0 + bounds.retry_burst;
    assert!(sum as f64 <= allowed, "{sum} retries, {allowed} allowed");
    assert!(sum > 60, "{sum} retries: the budget is not used");
}

#[test]
fn restarted_host_does_not_exceed_the_retry_limit() {
    let bounds = bounds();
    let take_all = |budget: &mut RetryBudget| {
        (0..1_000)
            .filter(|_| budget.take(at(1), &bounds, 6))
            .count()
    };
    let sum: usize = (0..6)
        .map(|_| take_all(&mut RetryBudget::new(&bounds)))
        .sum();
    let after_restart = take_all(&mut RetryBudget::new(&bounds));
    assert!(
        (sum + after_restart) as f64 <= bounds.retry_burst,
        "{sum} retries, and {after_restart} after a restart"
    );
}

#[test]
fn cold_start_limiter_counts_requests_in_the_window() {
    let mut limiter = ColdStartLimiter::default();
    for n in 0..3 {
        assert!(limiter.has_room(at(n), 3));
        limiter.on_sent(at(n));
    }
    assert!(!limiter.has_room(at(500), 3));
    assert!(limiter.has_room(at(1_000), 3));
}

#[test]
fn cold_share_is_zero_without_known_hosts() {
    assert_eq!(cold_share(9.8, &bounds(), &[], 1, 7), 0);
}

proptest! {
    /// For any hosts and any server, the shares add up to exactly the rate times the allowed
    /// overrun, rounded down.
    #[test]
    fn cold_shares_add_up_to_the_rate(
        hosts in proptest::collection::hash_set(any::<u64>(), 1..100),
        server in any::<u64>(),
        rate in 0.0_f64..200.0,
    ) {
        let hosts: Vec<_> = hosts.into_iter().collect();
        let bounds = bounds();
        let shares = hosts.iter().map(|own| cold_share(rate, &bounds, &hosts, *own, server));
        let sum: usize = shares.sum();
        let total = (rate * bounds.cold_overrun) as usize;
        prop_assert_eq!(sum, total);
    }
}

/// Guards against a count that keeps an event for each request for good, since it is not asked for.
#[test]
fn expired_events_are_dropped_as_others_are_added() {
    let mut count = SlidingCount::new(Duration::from_secs(1));
    for millis in 0..10_000 {
        let now = at(millis);
        count.add(now);
        assert!(
            count
                .next_expiry()
                .is_some_and(|expiry| !expiry.has_passed(now))
        );
    }
}
