//! Prompts with a part that makes engines (servers that run a model) crash.
//!
//! The load: six hosts send 200 requests a second to the scheduler of 12 engines. One request in twenty
//! has a part that ends the engine as it begins to answer; the engine is back after three seconds. The
//! other parts of such a prompt and its workspace also occur in sound requests.

use std::time::Duration;

use cardamomshift_lib::entry::Clearance;
use cardamomshift_lib::entry::EngineView;
use cardamomshift_lib::entry::PartCrash;
use cardamomshift_lib::entry::PartQuarantine;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ReservationId;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::Scheduler;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::time::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOSTS: usize = 6;
const ENGINES: u64 = 12;
/// Interval between requests, milliseconds.
const INTERVAL_MS: u64 = 5;
/// Time from sending a request to the beginning of its answer, and to its end, milliseconds.
const ANSWER_MS: [u64; 2] = [100, 600];
/// How long a crashed engine is away, milliseconds.
const RESTART_MS: u64 = 3_000;
/// Part that all prompts begin with.
const FIRST_PART: u64 = 1;
/// Part that makes engines crash.
const HARMFUL_PART: u64 = 666;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn request(content: u64, parts: &[u64]) -> ScheduleRequest {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 100,
    };
    ScheduleRequest {
        service: 1,
        shard: Shard { index: 0, count: 1 },
        workspace: 1,
        domain: 0,
        input_tokens: 600,
        output_tokens: 10,
        shared_parts: parts.iter().map(part).collect(),
        until_objective: Duration::from_millis(800),
        until_give_up: Duration::from_secs(6),
        rank: 0,
        is_caller_retry: false,
        last_server: 0,
        kind: 1,
        content,
        version: None,
        except_version: None,
        objective: Duration::from_millis(800),
        continues_stream: false,
        was_refused: false,
        refused_tokens: 0,
        excluded: Vec::new(),
    }
}

/// An engine, which ends when a harmful request has it end.
#[derive(Clone, Copy, Default)]
struct Engine {
    run: u64,
    /// From when on it is there.
    back_at: u64,
    /// When it stops writing, and when the hosts see its connections close.
    ends: Option<(u64, u64)>,
}

struct InFlight {
    reservation: ReservationId,
    /// Index of the host whose scheduler made the reservation.
    scheduler: usize,
    engine: u64,
    sent_at: u64,
    is_harmful: bool,
    has_started: bool,
}

#[derive(Default)]
struct Outcome {
    /// Times at which requests with the harmful part were sent to engines.
    harmful_sent: Vec<u64>,
    crashes: Vec<u64>,
    /// Times at which sound requests came in, and whether they were sent.
    sound: Vec<(u64, bool)>,
}

impl Outcome {
    /// Part of the sound requests within a span of time that were sent.
    fn sound_sent(&self, span: std::ops::Range<u64>) -> f64 {
        let within = self.sound.iter().filter(|(time, _)| span.contains(time));
        let (mut all, mut sent) = (0, 0);
        for (_, is_sent) in within {
            all += 1;
            sent += u32::from(*is_sent);
        }
        f64::from(sent) / f64::from(all)
    }
}

/// Draws how an engine ends, two times in milliseconds.
type DrawEnd = fn(&mut StdRng) -> (u64, u64);

/// Plays the load. `scheduler_at` gives the index of the host that schedules at a time, `restarts` the
/// hosts that restart at a time and so forget everything.
struct Play {
    seconds: u64,
    harmful_parts: fn(u64) -> Vec<u64>,
    scheduler_at: fn(u64) -> usize,
    restarts: fn(u64) -> Option<usize>,
    /// The times from the beginning of a harmful answer until the engine stops writing, and from then until
    /// the hosts see its connections close.
    end: DrawEnd,
    has_harmful: bool,
    /// One in this many requests is harmful.
    harmful_every: u64,
    /// Whether engines also end for other reasons: three of them at once, every four seconds.
    has_other_ends: bool,
    seed: u64,
}

/// Engines that end at once as they begin to answer a harmful request, and one scheduler.
const PLAY: Play = Play {
    seconds: 30,
    harmful_parts: |_| vec![FIRST_PART, 107, HARMFUL_PART],
    scheduler_at: |_| 0,
    restarts: |_| None,
    end: |_| (0, 0),
    has_harmful: true,
    harmful_every: 20,
    has_other_ends: false,
    seed: 1,
};

impl Play {
    fn run(&self) -> Outcome {
        let mut hosts: Vec<_> = (0..HOSTS as u32).map(Scheduler::new).collect();
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut engines = vec![Engine::default(); ENGINES as usize];
        let mut in_flight: Vec<InFlight> = Vec::new();
        let mut outcome = Outcome::default();
        for n in 0..self.seconds * 1_000 / INTERVAL_MS {
            let now = n * INTERVAL_MS;
            if let Some(index) = (self.restarts)(now) {
                hosts[index] = Scheduler::new(1_000 + n as u32);
            }
            if self.has_other_ends && now % 4_000 == 3_000 {
                let first = rng.random_range(0..ENGINES);
                for engine in first..first + 3 {
                    let engine = &mut engines[(engine % ENGINES) as usize];
                    engine.ends.get_or_insert((now, now));
                }
            }
            let mut end = || (self.end)(&mut rng);
            advance(
                &mut hosts,
                &mut engines,
                &mut in_flight,
                now,
                &mut end,
                &mut outcome,
            );
            let is_harmful = self.has_harmful && n % self.harmful_every == 7 && now >= 2_000;
            let parts = match is_harmful {
                true => (self.harmful_parts)(n),
                false => vec![FIRST_PART, 100 + n % 40],
            };
            let (host, scheduler) = (n as usize * 5 % HOSTS, (self.scheduler_at)(now));
            let views: Vec<_> = (0..ENGINES)
                .filter(|engine| engines[*engine as usize].back_at <= now)
                .map(|engine| EngineView {
                    hash: engine,
                    run: engines[engine as usize].run * 100 + engine,
                    domain: 0,
                    slots: 64,
                    memory_tokens: 230_000,
                    rate_limit: None,
                })
                .collect();
            let decision = decide(
                &mut hosts,
                host,
                scheduler,
                now,
                &request(n, &parts),
                &views,
            );
            let started = match decision {
                Some(ScheduleDecision::Start {
                    reservation,
                    server,
                    ..
                }) => Some((reservation, server)),
                _ => None,
            };
            match is_harmful {
                true => outcome.harmful_sent.extend(started.map(|_| now)),
                false => outcome.sound.push((now, started.is_some())),
            }
            in_flight.extend(started.map(|(reservation, engine)| InFlight {
                reservation,
                scheduler,
                engine,
                sent_at: now,
                is_harmful,
                has_started: false,
            }));
        }
        outcome
    }
}

/// A host asks a scheduler, as hosts do over the network. `None` if the host refuses by itself.
fn decide(
    hosts: &mut [Scheduler],
    host: usize,
    scheduler: usize,
    now: u64,
    request: &ScheduleRequest,
    engines: &[EngineView],
) -> Option<ScheduleDecision> {
    let now = at(now);
    let parts = request.shared_ids();
    if hosts[host].quarantine().held_back(now, parts).is_some() {
        return None;
    }
    let told = hosts[host].crashes_to_share(now);
    hosts[scheduler].on_crashes_shared(now, &told);
    let decision = hosts[scheduler].decide(now, request, engines);
    let told = hosts[scheduler].crashes_to_share(now);
    hosts[host].on_crashes_shared(now, &told);
    Some(decision)
}

/// Reports what has happened to the requests in flight.
fn advance(
    hosts: &mut [Scheduler],
    engines: &mut [Engine],
    in_flight: &mut Vec<InFlight>,
    now: u64,
    end: &mut impl FnMut() -> (u64, u64),
    outcome: &mut Outcome,
) {
    let begins = |flight: &InFlight| !flight.has_started && now >= flight.sent_at + ANSWER_MS[0];
    for flight in in_flight.iter() {
        let engine = &mut engines[flight.engine as usize];
        if flight.is_harmful && begins(flight) && engine.ends.is_none() {
            let (writes, silent) = end();
            engine.ends = Some((now + writes, now + writes + silent));
            outcome.crashes.push(now + writes);
        }
    }
    let ended: Vec<_> = engines
        .iter()
        .map(|engine| engine.ends.is_some_and(|(_, seen_at)| seen_at <= now))
        .collect();
    in_flight.retain_mut(|flight| {
        let engine = &engines[flight.engine as usize];
        let mut report = |step| {
            let reservation = flight.reservation;
            let progress = Progress { reservation, step };
            hosts[flight.scheduler].on_progress(at(now), &progress);
        };
        if ended[flight.engine as usize] {
            report(ProgressStep::Broken);
            report(ProgressStep::Ended);
            return false;
        }
        if engine
            .ends
            .is_some_and(|(writes_until, _)| writes_until <= now)
        {
            return true;
        }
        if begins(flight) {
            flight.has_started = true;
            let after = Duration::from_millis(ANSWER_MS[0]);
            let host_lag = Duration::ZERO;
            report(ProgressStep::ResponseStarted { after, host_lag });
        }
        let has_ended = !flight.is_harmful && now >= flight.sent_at + ANSWER_MS[1];
        if has_ended {
            report(ProgressStep::Answered);
        }
        !has_ended
    });
    for (engine, has_ended) in engines.iter_mut().zip(ended) {
        if has_ended {
            *engine = Engine {
                run: engine.run + 1,
                back_at: now + RESTART_MS,
                ends: None,
            };
        }
    }
}

/// The bounds that the users state: three requests later than 3 s after the fifth crash, and from 6 s
/// after it sound requests of the same kind served at least half as often as before.
fn assert_bounds(outcome: &Outcome) {
    let fifth = outcome.crashes.get(4).or(outcome.crashes.last()).copied();
    let fifth = fifth.expect("no engine crashed");
    let late = outcome
        .harmful_sent
        .iter()
        .filter(|sent| **sent > fifth + 3_000);
    assert!(
        late.count() <= 3,
        "sent at {:?}, crashed at {:?} ms",
        outcome.harmful_sent,
        outcome.crashes
    );
    let before = outcome.sound_sent(0..2_000);
    let after = outcome.sound_sent(fifth + 6_000..u64::MAX);
    assert!(
        after >= before / 2.0,
        "sound requests sent: {after} after {before}"
    );
}

#[test]
fn prompt_part_that_crashes_engines_is_held_back() {
    let orders: [fn(u64) -> Vec<u64>; 3] = [
        |_| vec![FIRST_PART, 107, HARMFUL_PART],
        |n| vec![FIRST_PART, HARMFUL_PART, 100 + n % 40],
        |n| vec![HARMFUL_PART, 100 + n % 40],
    ];
    for harmful_parts in orders {
        let play = Play {
            harmful_parts,
            ..PLAY
        };
        let outcome = play.run();
        assert_bounds(&outcome);
        assert!(
            outcome.crashes.len() <= 8,
            "crashed at {:?}",
            outcome.crashes
        );
    }
}

/// Guards against ends that are no evidence since they show in another way: before or after the head, after
/// many events, or only after a time of silence.
#[test]
fn prompt_part_is_held_back_in_whichever_way_engines_end() {
    let ends: [DrawEnd; 4] = [
        |_| (0, 0),
        |rng| (rng.random_range(0..2_500), 0),
        |rng| (0, rng.random_range(0..2_500)),
        |rng| match rng.random_range(0..4) {
            0 => (0, 0),
            1 => (rng.random_range(0..400), 0),
            2 => (0, 2_000),
            _ => (rng.random_range(0..2_000), rng.random_range(0..2_000)),
        },
    ];
    for (end, has_other_ends) in ends.into_iter().flat_map(|end| [(end, false), (end, true)]) {
        for seed in 0..5 {
            let play = Play {
                harmful_every: [10, 20, 100][seed as usize % 3],
                end,
                has_other_ends,
                seed,
                ..PLAY
            };
            assert_bounds(&play.run());
        }
    }
}

/// Guards against sound parts that are held back because engines end for other reasons.
#[test]
fn sound_requests_are_sent_while_engines_end_for_other_reasons() {
    for seed in 0..12 {
        let play = Play {
            has_harmful: false,
            has_other_ends: true,
            seed,
            ..PLAY
        };
        let outcome = play.run();
        let (before, after) = (
            outcome.sound_sent(0..2_000),
            outcome.sound_sent(6_000..30_000),
        );
        assert!(after >= before * 0.9, "{after} after {before}");
    }
}

#[test]
fn prompt_part_that_crashes_engines_is_held_back_while_schedulers_change_and_restart() {
    let play = Play {
        scheduler_at: |now| (now / 700) as usize % HOSTS,
        restarts: |now| (now % 700 == 0).then_some((now / 1_400) as usize % HOSTS),
        ..PLAY
    };
    let outcome = play.run();
    assert_bounds(&outcome);
    assert!(
        outcome.crashes.len() <= 8,
        "crashed at {:?}",
        outcome.crashes
    );
}

/// One engine that gets requests with the harmful part, each ending with the given steps 3 s after it was
/// sent. Each run of the engine gets `others` further requests meanwhile, which it begins to answer.
fn clearance_after(steps: &[ProgressStep], others: u64) -> Clearance {
    let mut scheduler = Scheduler::new(1);
    let started = ProgressStep::ResponseStarted {
        after: Duration::from_millis(50),
        host_lag: Duration::ZERO,
    };
    for run in 0..4 {
        let engine = EngineView {
            hash: 1,
            run,
            domain: 0,
            slots: 64,
            memory_tokens: 230_000,
            rate_limit: None,
        };
        let mut send = |now, content, parts: &[u64]| match scheduler.decide(
            at(now),
            &request(content, parts),
            &[engine],
        ) {
            ScheduleDecision::Start { reservation, .. } => Some(reservation),
            _ => None,
        };
        let begin = run * 10_000;
        let harmful = send(begin, run, &[FIRST_PART, HARMFUL_PART]);
        let other: Vec<_> = (0..others)
            .filter_map(|n| send(begin + 2_000, 100 + 10 * run + n, &[FIRST_PART]))
            .collect();
        let mut report = |now, reservation, step| {
            scheduler.on_progress(at(now), &Progress { reservation, step });
        };
        for reservation in other {
            report(begin + 2_500, reservation, started);
        }
        for step in steps {
            harmful
                .into_iter()
                .for_each(|harmful| report(begin + 3_000, harmful, *step));
        }
    }
    let parts = [HARMFUL_PART].into_iter();
    scheduler.quarantine().clearance(at(40_000), parts)
}

/// Guards against engines that end without closing their connections, of which callers see only that the
/// time is over.
#[test]
fn silence_until_the_deadline_is_evidence_unless_the_engine_answers_others() {
    let steps = [
        ProgressStep::Failed,
        ProgressStep::Silent,
        ProgressStep::Ended,
    ];
    assert_ne!(clearance_after(&steps, 0), Clearance::Free);
    assert_eq!(clearance_after(&steps, 1), Clearance::Free);
    // The deadline has passed, and bytes were still arriving.
    let steps = [ProgressStep::Failed, ProgressStep::Ended];
    assert_eq!(clearance_after(&steps, 0), Clearance::Free);
}

/// Guards against parts that count as sound because a caller leaves, or a deadline passes, when the engine
/// has written the head of a response and nothing else.
#[test]
fn response_that_has_only_begun_does_not_clear_its_parts() {
    let mut scheduler = Scheduler::new(1);
    let engine = |run| EngineView {
        hash: 1,
        run,
        domain: 0,
        slots: 64,
        memory_tokens: 230_000,
        rate_limit: None,
    };
    let started = ProgressStep::ResponseStarted {
        after: Duration::from_millis(50),
        host_lag: Duration::ZERO,
    };
    let parts = [FIRST_PART, HARMFUL_PART];
    for (n, last) in [
        ProgressStep::Ended,
        ProgressStep::Broken,
        ProgressStep::Ended,
    ]
    .iter()
    .cycle()
    .take(12)
    .enumerate()
    {
        let (n, now) = (n as u64, n as u64 * 2_000);
        let decision = scheduler.decide(at(now), &request(n, &parts), &[engine(n)]);
        let ScheduleDecision::Start { reservation, .. } = decision else {
            return;
        };
        // Long after the response has begun.
        for (later, step) in [(50, started), (1_500, *last), (1_500, ProgressStep::Ended)] {
            scheduler.on_progress(at(now + later), &Progress { reservation, step });
        }
    }
    panic!("the part is not held back");
}

/// Requests with the same part are on all engines that crash at once, for a reason of their own.
#[test]
fn engines_that_crash_at_once_hold_back_no_sound_part() {
    let mut quarantine = PartQuarantine::default();
    for run in 0..6 {
        quarantine.on_crash(at(1_000), run, run, &[FIRST_PART, 7], false);
    }
    // One of the requests that were in flight elsewhere.
    quarantine.on_answered(at(1_200), &[FIRST_PART, 7]);
    assert_eq!(quarantine.held_back(at(1_200), [7].into_iter()), None);
    let told = quarantine.crashes_to_share(at(1_200));
    assert_eq!(told, []);
}

/// A sound request that had just begun on an engine that another one ended.
#[test]
fn part_that_sound_requests_share_is_not_blamed_for_the_crashes_of_others() {
    let mut quarantine = PartQuarantine::default();
    for run in 1..=4 {
        let now = at(run * 1_000);
        quarantine.on_crash(now, run, run, &[FIRST_PART, 107, HARMFUL_PART], run > 2);
        quarantine.on_crash(now, run, 100 + run, &[FIRST_PART, 200 + run], false);
        quarantine.on_answered(at(run * 1_000 + 1), &[FIRST_PART, 300]);
    }
    let held = |part| quarantine.held_back(at(4_100), [part].into_iter());
    assert!(held(HARMFUL_PART).is_some());
    assert_eq!((held(FIRST_PART), held(107)), (None, None));
}

/// Each engine that runs the same request crashes, and another request of its session with it.
#[test]
fn parts_of_one_request_that_crashes_engines_are_not_held_back() {
    for harmful_is_first in [true, false] {
        let mut quarantine = PartQuarantine::default();
        for run in 1..=8 {
            let mut crashed = [(666, 300), (1_000 + run, 200 + run)];
            if !harmful_is_first {
                crashed.reverse();
            }
            for (content, own_part) in crashed {
                let parts = [FIRST_PART, 107, own_part];
                quarantine.on_crash(at(run * 1_000), run, content, &parts, run > 2);
            }
        }
        for part in [FIRST_PART, 107, 300] {
            let clearance = quarantine.clearance(at(9_000), [part].into_iter());
            assert_eq!(clearance, Clearance::Free, "part {part}");
        }
    }
}

/// Crashes three engines, the last one in a trial.
fn held_quarantine() -> PartQuarantine {
    let mut quarantine = PartQuarantine::default();
    for (run, was_trial) in [(1, false), (2, false), (3, true)] {
        let parts = [FIRST_PART, HARMFUL_PART];
        quarantine.on_crash(at(run * 1_000), run, run, &parts, was_trial);
    }
    quarantine
}

#[test]
fn part_is_tried_again_after_its_hold_and_each_hold_is_longer() {
    let mut quarantine = held_quarantine();
    let left = |quarantine: &PartQuarantine, now| {
        let held = quarantine.held_back(at(now), [HARMFUL_PART].into_iter());
        held.map(|(_, left)| left)
    };
    let first = left(&quarantine, 3_000).expect("the part is held back");
    let end = 3_000 + first.as_millis() as u64;
    assert_eq!(left(&quarantine, end), None);
    quarantine.on_crash(at(end), 4, 4, &[FIRST_PART, HARMFUL_PART], true);
    let second = left(&quarantine, end).expect("the part is held back again");
    assert!(second > first, "{second:?} after {first:?}");
    quarantine.on_answered(at(end + 1_000), &[HARMFUL_PART]);
    assert_eq!(left(&quarantine, end + 1_000), None);
}

/// Guards against a part whose requests are sent freely again after its hold, as if it had never crashed
/// engines: they would crash three of them before it is held back again, every time.
#[test]
fn part_that_relapses_after_its_hold_crashes_one_engine_only() {
    let mut quarantine = held_quarantine();
    let clearance = |quarantine: &PartQuarantine, now| {
        quarantine.clearance(at(now), [HARMFUL_PART].into_iter())
    };
    // Some minutes after the end of the hold, which is two minutes, and an hour after it.
    let (relapse, forgotten) = (10 * 60_000, 70 * 60_000);
    quarantine.sweep(at(relapse));
    assert_eq!(clearance(&quarantine, relapse), Clearance::Trial);
    let mut sound = quarantine.clone();
    quarantine.on_crash(at(relapse), 4, 4, &[FIRST_PART, HARMFUL_PART], true);
    let held = quarantine.held_back(at(relapse), [HARMFUL_PART].into_iter());
    assert!(held.is_some());
    sound.sweep(at(forgotten));
    assert_eq!(clearance(&sound, forgotten), Clearance::Free);
}

/// Each host passes on what it was told, with delays of the network.
#[test]
fn crashes_that_hosts_tell_each_other_expire() {
    let mut hosts = [held_quarantine(), PartQuarantine::default()];
    for n in 0..400_000 {
        let sent_at = 3_000 + n * 5;
        let told: Vec<PartCrash> = hosts[n as usize % 2].crashes_to_share(at(sent_at));
        hosts[(n as usize + 1) % 2].on_shared(at(sent_at + 2), &told);
        hosts[n as usize % 2].sweep(at(sent_at));
    }
    let now = at(3_000 + 400_000 * 5);
    for host in &hosts {
        assert_eq!(host.held_back(now, [HARMFUL_PART].into_iter()), None);
        assert_eq!(host.crashes_to_share(now), []);
    }
}

#[test]
fn quarantine_is_bounded() {
    let mut quarantine = PartQuarantine::default();
    for n in 0..5_000 {
        quarantine.on_crash(at(n), n, n, &[FIRST_PART, 10_000 + n], false);
    }
    assert!(quarantine.crashes_to_share(at(5_000)).len() <= 16);
    assert!(format!("{quarantine:?}").len() < 256 * 2_000);
}
