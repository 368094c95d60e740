//! Requests that a host refuses without asking a scheduler while it is behind its work.
//!
//! The load: one workspace (customer) sends many times what the schedulers let start, by a small host whose
//! timers are late for that reason; another one sends little, and all of it may start.

use std::time::Duration;

use cardamomshift_lib::entry::GrantRates;
use cardamomshift_lib::entry::Reason;
use cardamomshift_lib::entry::Refusal;
use cardamomshift_lib::time::Timestamp;

const SERVICE: u64 = 1;
const FLOODING: u64 = 2;
const ORDINARY: u64 = 3;
const LATE: Duration = Duration::from_millis(30);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn over_share() -> Refusal {
    Refusal::with_retry_after(Reason::OverShare, Duration::from_millis(500))
}

/// Sends a request each millisecond for a second, of which schedulers let every `grant_interval`-th that
/// they are asked for start. Returns for how many they were asked.
fn play(rates: &mut GrantRates, from_ms: u64, lag: Duration, grant_interval: u64) -> u64 {
    let mut asked = 0;
    for now_ms in from_ms..from_ms + 1_000 {
        if rates.refusal(at(now_ms), SERVICE, FLOODING, lag).is_some() {
            continue;
        }
        asked += 1;
        match asked % grant_interval {
            0 => rates.on_granted(at(now_ms), SERVICE, FLOODING),
            _ => rates.on_refused(at(now_ms), SERVICE, FLOODING, over_share()),
        }
    }
    asked
}

/// Guards against hosts that spend their processor time on questions whose answer is a refusal.
#[test]
fn late_host_asks_for_few_requests_of_a_workspace_that_is_mostly_refused() {
    let mut rates = GrantRates::default();
    let asked = play(&mut rates, 0, LATE, 10);
    assert!((100..300).contains(&asked), "asked for {asked} of 1,000");
}

/// Guards against engines that run empty: the more requests may start, the more are asked for.
#[test]
fn late_host_asks_for_all_requests_once_most_may_start() {
    let mut rates = GrantRates::default();
    play(&mut rates, 0, LATE, 10);
    play(&mut rates, 1_000, LATE, 1);
    let asked = play(&mut rates, 2_000, LATE, 1);
    assert!(asked > 990, "asked for {asked} of 1,000");
}

/// Guards against refusals of what schedulers may let start while the host has time to ask.
#[test]
fn host_in_time_asks_for_every_request() {
    let mut rates = GrantRates::default();
    assert_eq!(play(&mut rates, 0, Duration::from_millis(5), 10), 1_000);
}

/// Guards against a flood of one workspace that costs another its requests.
#[test]
fn workspace_without_refusals_is_always_asked_for() {
    let mut rates = GrantRates::default();
    play(&mut rates, 0, LATE, 10);
    for now_ms in 1_000..1_100 {
        assert_eq!(rates.refusal(at(now_ms), SERVICE, ORDINARY, LATE), None);
        rates.on_granted(at(now_ms), SERVICE, ORDINARY);
    }
}

/// Guards against a caller that is told another reason than the scheduler's.
#[test]
fn unasked_refusal_repeats_what_the_scheduler_said_last() {
    let mut rates = GrantRates::default();
    play(&mut rates, 0, LATE, 10);
    let refusals = (1_000..1_010).filter_map(|n| rates.refusal(at(n), SERVICE, FLOODING, LATE));
    let refusals: Vec<_> = refusals.collect();
    assert!(!refusals.is_empty());
    assert!(refusals.iter().all(|refusal| *refusal == over_share()));
}
