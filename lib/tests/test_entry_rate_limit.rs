//! Servers that name the rate of requests that they take from all hosts together.
//!
//! The load: hosts send 40 requests a second to two engines (servers that run a model), or to two plain
//! servers. One of them names a limit of a few requests a second in each of its responses.

mod entry;

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::crashing::RequestDigest;
use cardamomshift_lib::entry::Fleet;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::RequestOutcome;
use cardamomshift_lib::entry::ResponseHead;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ServerKey;

use crate::entry::KEY;
use crate::entry::LEDGER;
use crate::entry::MODEL;
use crate::entry::at;
use crate::entry::fleet_of_host;
use crate::entry::head;
use crate::entry::prompt;

/// Digest of a request of the tests.
const DIGEST: RequestDigest = RequestDigest {
    workspace: 1,
    content: 1,
};

/// Time at which the tests start, milliseconds.
const START_MS: u64 = 10_000;
/// Interval between requests, milliseconds.
const INTERVAL_MS: u64 = 25;
/// Time from sending a request to the head of its response, milliseconds.
const RESPONSE_MS: u64 = 50;
/// Span over which the users count the requests to a server, milliseconds.
const COUNTED_MS: u64 = 4_000;
/// Time after the first response with a limit from which on they count, milliseconds.
const COUNTED_AFTER_MS: u64 = 3_000;

fn hosts(count: usize, now: u64) -> Vec<Fleet> {
    let names: Vec<_> = (1..=count).map(|n| format!("h{n}")).collect();
    let fleet = |name: &String| fleet_of_host(name, &names, at(now));
    names.iter().map(fleet).collect()
}

fn response(rate_limit: Option<f64>) -> ResponseHead {
    ResponseHead {
        is_sealed: true,
        rate_limit,
        ..ResponseHead::default()
    }
}

/// The most requests in a span that the users count.
fn most_counted(sent: &[u64]) -> usize {
    let from = START_MS + COUNTED_AFTER_MS;
    let starts = sent.iter().filter(|time| **time >= from);
    let within = |start: &u64| {
        let span = *start..*start + COUNTED_MS;
        sent.iter().filter(|time| span.contains(time)).count()
    };
    starts.map(within).max().unwrap_or(0)
}

/// What the users allow in a span: one and a half times the limit, and five.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * COUNTED_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Plays requests to a model until 15 s after the start. `scheduler_at` gives the host that schedules,
/// `restarts` the host that restarts at a time. Returns the times at which requests were sent to the
/// first engine, which names the limit until `limited_until`, and the number of refused requests.
fn play_model(
    limit: f64,
    limited_until: u64,
    scheduler_at: fn(u64) -> usize,
    restarts: fn(u64) -> Option<usize>,
) -> (Vec<u64>, usize) {
    let mut fleets = hosts(6, START_MS);
    let (mut sent, mut refused) = (Vec::new(), 0);
    // Host, server and time of the responses to come.
    let mut responses: Vec<(usize, ServerKey, u64)> = Vec::new();
    for n in 0..15_000 / INTERVAL_MS {
        let now = START_MS + n * INTERVAL_MS;
        if let Some(index) = restarts(now) {
            fleets[index] = hosts(6, now).swap_remove(index);
            responses.retain(|(host, ..)| *host != index);
        }
        responses.retain(|(host, server, time)| {
            if *time <= now {
                let rate = (*time < limited_until).then_some(limit);
                fleets[*host].on_response_head(at(*time), *server, &response(rate));
            }
            *time > now
        });
        for fleet in &mut fleets {
            fleet.confirm_config(at(now));
        }
        let (host, scheduler) = (n as usize * 5 % 6, scheduler_at(now));
        let admitted = fleets[host].admit(at(now), &head(Some(KEY), at(now + 6_000)), "/s/1");
        let admitted = admitted.unwrap();
        let mut prompt = prompt();
        prompt.parts[1].id = 100 + n % 30;
        let request = fleets[host].schedule_request(at(now), &admitted, &prompt, DIGEST, &[]);
        let address = SocketAddr::from(([10, 0, 0, scheduler as u8], 7_400));
        let told = fleets[host].limits_to_tell(at(now), address);
        fleets[scheduler].on_limits_told(at(now), &told);
        let decision = fleets[scheduler].decide(at(now), &request.unwrap());
        let ScheduleDecision::Start {
            reservation,
            server,
            send_after,
            uncached_tokens,
        } = decision
        else {
            refused += 1;
            continue;
        };
        let progress = Progress {
            reservation,
            step: ProgressStep::Ended,
        };
        fleets[scheduler].on_progress(at(now), &progress);
        let placed = fleets[host]
            .place_scheduled(at(now), &admitted, &prompt, None, server, uncached_tokens)
            .unwrap();
        fleets[host].end(at(now), placed.flight, RequestOutcome::Answered);
        let sent_at = now + send_after.as_millis() as u64;
        if placed.entry.instance == "m1" {
            sent.push(sent_at);
            responses.push((host, placed.server, sent_at + RESPONSE_MS));
        }
    }
    sent.sort_unstable();
    (sent, refused)
}

#[test]
fn engine_gets_at_most_the_rate_that_it_names() {
    for limit in [0.5, 3.0, 8.6] {
        let (sent, refused) = play_model(limit, u64::MAX, |_| 0, |_| None);
        let most = most_counted(&sent);
        assert!(most <= allowed(limit), "{most} at {limit}");
        // It gets what it takes, and the other engine the rest.
        assert!(most as f64 >= limit * 3.0, "{most} at {limit}");
        assert_eq!(refused, 0, "{limit}");
    }
}

#[test]
fn engine_gets_at_most_the_rate_that_it_names_while_schedulers_change_and_restart() {
    let restarts = |now| (now % 2_500 == 0).then_some((now / 2_500) as usize % 6);
    let (sent, refused) = play_model(3.0, u64::MAX, |now| (now / 1_250) as usize % 6, restarts);
    let most = most_counted(&sent);
    assert!(most <= allowed(3.0), "{most}");
    assert_eq!(refused, 0);
}

#[test]
fn engine_gets_more_again_after_it_names_no_limit() {
    let lifted_at = START_MS + 5_000;
    let (sent, _) = play_model(3.0, lifted_at, |_| 0, |_| None);
    let most = most_counted(&sent);
    assert!(most > allowed(3.0), "{most}");
}

/// Guards against a limit of zero that is taken literally: the engine would never get a request again whose
/// response could lift the limit.
#[test]
fn engine_that_names_a_limit_of_zero_is_still_asked_and_gets_more_once_it_names_none() {
    let (sent, refused) = play_model(0.0, u64::MAX, |_| 0, |_| None);
    let most = most_counted(&sent);
    assert!((1..=allowed(0.0)).contains(&most), "{most}");
    assert_eq!(refused, 0);
    let (sent, _) = play_model(0.0, START_MS + 5_000, |_| 0, |_| None);
    let most = most_counted(&sent);
    assert!(most > allowed(3.0), "{most}");
}

/// Requests of plain services are placed by each host itself.
#[test]
fn plain_server_gets_at_most_the_rate_that_it_names() {
    for (count, limit) in [(6, 4.0), (6, 0.5), (89, 3.0)] {
        let mut fleets = hosts(count, START_MS);
        let (mut sent, mut refused) = (Vec::new(), 0);
        for n in 0..15_000 / INTERVAL_MS {
            let now = START_MS + n * INTERVAL_MS;
            let fleet = &mut fleets[n as usize * 5 % count];
            let Ok(placed) = fleet.place(at(now), &LEDGER.into(), None, &[]) else {
                refused += 1;
                continue;
            };
            if placed.entry.instance == "l1" {
                sent.push(now);
                let named = response(Some(limit));
                fleet.on_response_head(at(now), placed.server, &named);
            }
            fleet.end(at(now), placed.flight, RequestOutcome::Answered);
        }
        // Hosts count from their first response with a limit on; until then they can't know of it.
        let most = most_counted(&sent);
        assert!(most <= allowed(limit), "{most} at {limit} of {count} hosts");
        assert_eq!(refused, 0, "{limit} of {count} hosts");
    }
}

#[test]
fn limit_that_was_told_is_not_told_on_and_expires() {
    let [mut first, mut second] = hosts(2, START_MS).try_into().unwrap();
    let address = SocketAddr::from(([10, 0, 0, 1], 7_400));
    let engine = first.servers().of_service(MODEL)[0];
    first.on_response_head(at(START_MS), engine, &response(Some(3.0)));
    let told = first.limits_to_tell(at(START_MS), address);
    assert_eq!(told.len(), 1);
    assert_eq!(first.limits_to_tell(at(START_MS + 500), address), []);
    second.on_limits_told(at(START_MS + 2), &told);
    assert_eq!(second.limits_to_tell(at(START_MS + 10), address), []);
    let rate = |fleet: &Fleet, now| {
        let mut servers = fleet.servers().iter();
        servers.find_map(|(_, server)| server.rate_limit(at(now)))
    };
    assert_eq!(rate(&second, START_MS + 1_000), Some(3.0));
    assert_eq!(rate(&second, START_MS + 60_000), None);
    // Another response of the server ends the limit at once.
    first.on_response_head(at(START_MS + 700), engine, &response(None));
    let told = first.limits_to_tell(at(START_MS + 700), address);
    second.on_limits_told(at(START_MS + 702), &told);
    assert_eq!(rate(&second, START_MS + 1_000), None);
    assert!(told[0].age < Duration::from_millis(1));
}
