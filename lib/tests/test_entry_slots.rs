//! Engines (servers that run a model) whose slots run out before the time for prefills.
//!
//! The load: each request occupies one of 12 slots for about 400 ms, of which its prefill takes a twentieth,
//! and callers want the response to start within 300 ms. A caller whose request is refused tries again once,
//! and its response is then late.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::entry::EngineView;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ReservationId;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::Scheduler;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::time::Timestamp;

const OBJECTIVE: Duration = Duration::from_millis(300);
const SLOTS: u32 = 12;
const ENGINES: u64 = 4;
/// Time from sending a request to the start of its response on an engine with a free slot, milliseconds.
const START_MS: u64 = 60;
/// Tokens of a response, and the time that one takes, milliseconds.
const OUTPUT_TOKENS: u32 = 40;
const TOKEN_MS: u64 = 9;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn engine(hash: u64) -> EngineView {
    EngineView {
        hash,
        run: hash,
        domain: 0,
        slots: SLOTS,
        memory_tokens: 400_000,
        rate_limit: None,
    }
}

/// A request of a session whose shared part is usually cached.
fn request(n: u64, is_caller_retry: bool) -> ScheduleRequest {
    let left = match is_caller_retry {
        true => Duration::ZERO,
        false => OBJECTIVE,
    };
    ScheduleRequest {
        service: 1,
        shard: Shard { index: 0, count: 1 },
        workspace: n % 5 + 1,
        domain: 0,
        input_tokens: 2_700,
        output_tokens: OUTPUT_TOKENS,
        shared_parts: vec![PromptPart {
            id: n % 20 + 1,
            tokens: 2_000,
        }],
        until_objective: left,
        until_give_up: Duration::from_secs(4),
        rank: 1,
        is_caller_retry,
        last_server: 0,
        kind: 1,
        content: n,
        version: None,
        except_version: None,
        objective: OBJECTIVE,
        continues_stream: false,
        was_refused: false,
        refused_tokens: 0,
        excluded: Vec::new(),
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u64,
    late: u64,
    /// Milliseconds of slots that were occupied.
    busy_ms: u64,
}

/// Engines that run at most [`SLOTS`] requests each and queue the rest.
struct Engines {
    /// When each slot gets free, milliseconds, by engine.
    free_at: BTreeMap<u64, Vec<u64>>,
    reports: BTreeMap<(u64, u64), (ReservationId, ProgressStep)>,
    sent: u64,
}

impl Engines {
    /// Sends a request at `sent_ms`. Returns when its response starts, milliseconds.
    fn send(&mut self, sent_ms: u64, server: u64, reservation: ReservationId, n: u64) -> u64 {
        let slots = self.free_at.get_mut(&server).unwrap();
        slots.sort_unstable();
        let start_ms = slots[0].max(sent_ms) + START_MS;
        // Lengths vary by half around the callers' estimates.
        let end_ms = start_ms + u64::from(OUTPUT_TOKENS) * TOKEN_MS * (50 + n * 37 % 101) / 100;
        slots[0] = end_ms;
        let after = Duration::from_millis(start_ms - sent_ms);
        let host_lag = Duration::ZERO;
        let started = ProgressStep::ResponseStarted { after, host_lag };
        for (due_ms, step) in [(start_ms, started), (end_ms, ProgressStep::Ended)] {
            self.sent += 1;
            self.reports
                .insert((due_ms, self.sent), (reservation, step));
        }
        start_ms
    }
}

/// Plays `load` times the requests that the slots can take for ten seconds.
fn play(load: f64) -> Outcome {
    let views: Vec<_> = (1..=ENGINES).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut engines = Engines {
        free_at: (1..=ENGINES)
            .map(|n| (n, vec![0; SLOTS as usize]))
            .collect(),
        reports: BTreeMap::new(),
        sent: 0,
    };
    let hold_ms = START_MS + u64::from(OUTPUT_TOKENS) * TOKEN_MS;
    let per_ms = load * (ENGINES * u64::from(SLOTS)) as f64 / hold_ms as f64;
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    let mut count = 0;
    // Returns of refused callers, with the time of their first attempt.
    let mut returns: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    for now_ms in 0..10_000 {
        while let Some(entry) = engines.reports.first_entry()
            && entry.key().0 <= now_ms
        {
            let (reservation, step) = entry.remove();
            scheduler.on_progress(at(now_ms), &Progress { reservation, step });
        }
        let mut arrivals = Vec::new();
        while let Some(entry) = returns.first_entry()
            && entry.key().0 <= now_ms
        {
            let number = entry.key().1;
            arrivals.push((number, entry.remove(), true));
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            count += 1;
            arrivals.push((count, now_ms, false));
        }
        for (number, first_ms, is_return) in arrivals {
            let decision = scheduler.decide(at(now_ms), &request(number, is_return), &views);
            match decision {
                ScheduleDecision::Start {
                    reservation,
                    server,
                    send_after,
                    ..
                } => {
                    let sent_ms = now_ms + send_after.as_millis() as u64;
                    let start_ms = engines.send(sent_ms, server, reservation, number);
                    match start_ms - first_ms <= OBJECTIVE.as_millis() as u64 {
                        true => outcome.in_time += 1,
                        false => outcome.late += 1,
                    }
                    outcome.busy_ms += hold_ms;
                }
                ScheduleDecision::Refuse { retry_after, .. } if !is_return => {
                    let back_ms = now_ms + retry_after.as_millis() as u64;
                    returns.insert((back_ms, number), first_ms);
                }
                _ => {}
            }
        }
    }
    outcome
}

/// A request of the only workspace and session.
fn single(n: u64, is_caller_retry: bool) -> ScheduleRequest {
    ScheduleRequest {
        workspace: 1,
        content: n,
        ..request(1, is_caller_retry)
    }
}

/// Guards against a refusal although a slot is about to get free.
#[test]
fn full_engine_gets_a_request_for_the_slot_that_gets_free_next() {
    let views = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    for n in 0..u64::from(SLOTS) {
        let decision = scheduler.decide(at(n * 25), &single(n, false), &views);
        let ScheduleDecision::Start { reservation, .. } = decision else {
            panic!("request {n} was not started: {decision:?}");
        };
        let step = ProgressStep::ResponseStarted {
            after: Duration::from_millis(START_MS),
            host_lag: Duration::ZERO,
        };
        scheduler.on_progress(at(100 + n * 25), &Progress { reservation, step });
    }
    // Responses of 40 tokens are assumed to take 400 ms, so that the first one ends at 500 ms.
    let early = scheduler.decide(at(250), &single(90, false), &views);
    assert!(
        matches!(early, ScheduleDecision::Refuse { .. }),
        "{early:?}"
    );
    let later = scheduler.decide(at(400), &single(91, false), &views);
    assert!(
        matches!(later, ScheduleDecision::Start { send_after, .. } if !send_after.is_zero()),
        "{later:?}"
    );
}

/// Guards against slots that stay empty, and against late responses, while more is asked than the slots
/// can take.
#[test]
fn slots_stay_occupied_by_responses_in_time_in_an_overload() {
    let outcome = play(1.5);
    let capacity_ms = ENGINES * u64::from(SLOTS) * 10_000;
    let busy = outcome.busy_ms as f64 / capacity_ms as f64;
    assert!(busy > 0.9, "slots were occupied for {busy:.2} of the time");
    let late = outcome.late as f64 / (outcome.late + outcome.in_time) as f64;
    assert!(
        late < 0.1,
        "{late:.2} of the responses were late: {outcome:?}"
    );
}

/// Guards against refusals while there are slots for all requests.
#[test]
fn nearly_all_requests_are_in_time_below_capacity() {
    let outcome = play(0.8);
    let late = outcome.late as f64 / (outcome.late + outcome.in_time) as f64;
    assert!(
        late < 0.02,
        "{late:.3} of the responses were late: {outcome:?}"
    );
}

/// Guards against responses that are late in any case and make others late.
#[test]
fn first_attempt_goes_before_a_late_one() {
    let views = [engine(1)];
    let play = |is_caller_retry| {
        let mut scheduler = Scheduler::new(1);
        // The prefill of 5,200 tokens takes about 160 ms with the time for other requests.
        let mut long = single(50, false);
        long.input_tokens = 5_200;
        scheduler.decide(at(0), &long, &views);
        scheduler.decide(at(1), &single(1, is_caller_retry), &views)
    };
    let (first, late) = (play(false), play(true));
    assert!(matches!(first, ScheduleDecision::Start { .. }), "{first:?}");
    assert!(matches!(late, ScheduleDecision::Refuse { .. }), "{late:?}");
}
