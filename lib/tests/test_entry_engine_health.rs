//! What a scheduler does with reports of failures from all hosts.
//!
//! The load: 60 hosts in three failure domains before eight engines (servers that run a model). No
//! host sends an engine more than a few requests a second, so that it would find out for itself much
//! too late that the engine has crashed or fails part of its requests.

use std::time::Duration;

use cardamomshift_lib::entry::EngineView;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::Scheduler;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::time::Timestamp;

const ENGINES: u64 = 8;
/// Engine with a fault.
const FAULTY: u64 = 3;
/// Interval between requests, milliseconds.
const INTERVAL_MS: u64 = 5;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn request(n: u64, domain: u64) -> ScheduleRequest {
    ScheduleRequest {
        service: 1,
        shard: Shard { index: 0, count: 1 },
        workspace: n % 16,
        domain,
        input_tokens: 500,
        output_tokens: 10,
        shared_parts: Vec::new(),
        until_objective: Duration::from_millis(800),
        until_give_up: Duration::from_secs(6),
        rank: 0,
        is_caller_retry: false,
        last_server: 0,
        kind: 1,
        content: 0,
        version: None,
        except_version: None,
        objective: Duration::from_millis(800),
        continues_stream: false,
        was_refused: false,
        refused_tokens: 0,
        excluded: Vec::new(),
    }
}

/// How the faulty engine treats a request at a time, from a failure domain.
type Fault = fn(u64, u64) -> Option<ProgressStep>;

/// Requests that the faulty engine got in each second, from the domains 0 to 2, and those that it
/// failed.
struct Outcome {
    sent: Vec<[u32; 3]>,
    failed: Vec<[u32; 3]>,
}

impl Outcome {
    fn failed_in(&self, seconds: std::ops::Range<usize>) -> u32 {
        self.failed[seconds].iter().flatten().sum()
    }
}

fn play(seconds: usize, fault: Fault) -> Outcome {
    let engines: Vec<_> = (0..ENGINES)
        .map(|hash| EngineView {
            hash,
            run: hash,
            domain: 9,
            slots: 64,
            memory_tokens: 230_000,
            rate_limit: None,
        })
        .collect();
    let mut scheduler = Scheduler::new(1);
    let mut outcome = Outcome {
        sent: vec![[0; 3]; seconds],
        failed: vec![[0; 3]; seconds],
    };
    for n in 0..seconds as u64 * 1_000 / INTERVAL_MS {
        let now = n * INTERVAL_MS;
        // Multiplicative hashing mixes the domains.
        let domain = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) % 3;
        let decision = scheduler.decide(at(now), &request(n, domain), &engines);
        let ScheduleDecision::Start {
            reservation,
            server,
            ..
        } = decision
        else {
            panic!("request {n} was not started: {decision:?}");
        };
        let after = Duration::from_millis(60);
        let mut step = ProgressStep::ResponseStarted {
            after,
            host_lag: Duration::ZERO,
        };
        if server == FAULTY {
            let (second, domain) = ((now / 1_000) as usize, domain as usize);
            outcome.sent[second][domain] += 1;
            if let Some(failure) = fault(now, domain as u64) {
                outcome.failed[second][domain] += 1;
                step = failure;
            }
        }
        for step in [step, ProgressStep::Ended] {
            scheduler.on_progress(at(now + 1), &Progress { reservation, step });
        }
    }
    outcome
}

#[test]
fn crashed_engine_costs_few_requests_of_the_whole_fleet() {
    let outcome = play(10, |now, _| {
        let has_crashed = (2_000..6_000).contains(&now);
        has_crashed.then_some(ProgressStep::Unreachable)
    });
    let sent: u32 = outcome.sent[1].iter().sum();
    assert!(sent > 10, "the engine is not used: {sent}");
    let failed = outcome.failed_in(2..6);
    assert!((1..=20).contains(&failed), "{failed} requests failed");
    let sent: u32 = outcome.sent[9].iter().sum();
    assert!(sent > 10, "the engine is not used again: {sent}");
}

/// Hosts of one failure domain are cut off from the engine; the others go on using it.
#[test]
fn engine_that_one_domain_cannot_reach_serves_the_others() {
    let outcome = play(8, |now, domain| {
        let is_cut = domain == 1 && now >= 2_000;
        is_cut.then_some(ProgressStep::Unreachable)
    });
    assert!(outcome.failed_in(2..8) <= 12, "{:?}", outcome.failed);
    for domain in [0, 2] {
        let sent: u32 = outcome.sent[4..8].iter().map(|sent| sent[domain]).sum();
        assert!(sent > 10, "domain {domain}: {sent}");
    }
}

#[test]
fn engine_that_fails_half_of_its_requests_is_left_out() {
    let outcome = play(8, |now, _| {
        let fails = now >= 2_000 && (now / INTERVAL_MS).is_multiple_of(2);
        fails.then_some(ProgressStep::Failed)
    });
    let failed = outcome.failed_in(3..8);
    assert!(failed <= 30, "{:?}", outcome.failed);
}

/// The hosts of a large fleet fail many requests before they learn of it; that must not keep the engine
/// out long after it has recovered.
#[test]
fn engine_that_failed_many_requests_is_used_again_soon() {
    let engine = |hash| EngineView {
        hash,
        run: hash,
        domain: 9,
        slots: 64,
        memory_tokens: 230_000,
        rate_limit: None,
    };
    let mut scheduler = Scheduler::new(1);
    // Returns the engine that got the request.
    let mut send = |now, engines: &[EngineView], is_faulty: bool| {
        let decision = scheduler.decide(at(now), &request(now, 0), engines);
        let ScheduleDecision::Start {
            reservation,
            server,
            ..
        } = decision
        else {
            panic!("request was not started at {now}: {decision:?}");
        };
        let after = Duration::from_millis(60);
        let step = match is_faulty {
            true => ProgressStep::Failed,
            false => ProgressStep::ResponseStarted {
                after,
                host_lag: Duration::ZERO,
            },
        };
        for step in [step, ProgressStep::Ended] {
            scheduler.on_progress(at(now), &Progress { reservation, step });
        }
        server
    };
    // Each engine alone, so that the faulty one gets as many requests as the others.
    let recovered_at = 6_000;
    for now in (0..recovered_at).step_by(20) {
        for hash in [FAULTY, 7, 8] {
            send(now, &[engine(hash)], hash == FAULTY);
        }
    }
    let engines = [engine(FAULTY), engine(7), engine(8)];
    let mut times = (recovered_at..recovered_at + 20_000).step_by(25);
    let used_at = times.find(|now| send(*now, &engines, false) == FAULTY);
    let used_after = used_at.expect("the engine is not used again") - recovered_at;
    assert!(
        (500..=5_000).contains(&used_after),
        "used after {used_after} ms"
    );
}

/// If all engines fail alike, the fault is not theirs, and leaving them out would serve nobody.
#[test]
fn engines_that_all_fail_are_all_used() {
    let engines: Vec<_> = (0..ENGINES)
        .map(|hash| EngineView {
            hash,
            run: hash,
            domain: 0,
            slots: 64,
            memory_tokens: 230_000,
            rate_limit: None,
        })
        .collect();
    let mut scheduler = Scheduler::new(1);
    for n in 0..400 {
        let decision = scheduler.decide(at(n * 10), &request(n, 0), &engines);
        let ScheduleDecision::Start { reservation, .. } = decision else {
            panic!("request {n} was not started: {decision:?}");
        };
        for step in [ProgressStep::Failed, ProgressStep::Ended] {
            scheduler.on_progress(at(n * 10 + 1), &Progress { reservation, step });
        }
    }
}
