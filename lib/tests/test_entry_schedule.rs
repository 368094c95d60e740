//! The scheduler of requests to models, alone and under a played load.

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
use proptest::prelude::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn engine(hash: u64) -> EngineView {
    EngineView {
        hash,
        domain: 0,
        slots: 64,
        memory_tokens: 228_336,
    }
}

fn bid(session: u64, own_tokens: u32) -> ScheduleRequest {
    ScheduleRequest {
        service: 1,
        shard: Shard { index: 0, count: 1 },
        workspace: 1,
        domain: 0,
        input_tokens: 6_300 + own_tokens,
        output_tokens: 50,
        shared_parts: vec![
            PromptPart {
                id: 1,
                tokens: 2_500,
            },
            PromptPart {
                id: session,
                tokens: 3_800,
            },
        ],
        until_objective: Duration::from_millis(800),
        until_give_up: Duration::from_secs(6),
        rank: 1,
        is_caller_retry: false,
        last_server: 0,
        excluded: Vec::new(),
    }
}

fn started(verdict: ScheduleDecision) -> (ReservationId, u64, Duration, u32) {
    match verdict {
        ScheduleDecision::Start {
            reservation,
            server,
            after,
            uncached_tokens,
        } => (reservation, server, after, uncached_tokens),
        other => panic!("{other:?}"),
    }
}

fn end(scheduler: &mut Scheduler, now: Timestamp, reservation: ReservationId) {
    let step = ProgressStep::Ended;
    scheduler.on_progress(now, &Progress { reservation, step });
}

#[test]
fn a_session_stays_where_its_parts_are() {
    let engines: Vec<_> = (1..=12).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let (reservation, home, _, uncached) =
        started(scheduler.decide(at(0), &bid(7, 1_000), &engines));
    assert_eq!(uncached, 7_300);
    end(&mut scheduler, at(400), reservation);
    for n in 1..20 {
        let now = at(n * 1_000);
        let (reservation, server, _, uncached) =
            started(scheduler.decide(now, &bid(7, 1_000), &engines));
        assert_eq!((server, uncached), (home, 1_000));
        end(&mut scheduler, now, reservation);
    }
}

#[test]
fn a_scheduler_that_takes_over_believes_the_hosts_about_homes() {
    let engines: Vec<_> = (1..=12).map(engine).collect();
    let mut scheduler = Scheduler::new(2);
    let mut known = bid(7, 1_000);
    known.last_server = 9;
    let (_, server, _, uncached) = started(scheduler.decide(at(0), &known, &engines));
    assert_eq!((server, uncached), (9, 1_000));
}

#[test]
fn excluded_engines_are_not_chosen_and_none_left_is_said() {
    let engines: Vec<_> = (1..=3).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut some = bid(7, 1_000);
    some.excluded = vec![1, 3];
    assert_eq!(started(scheduler.decide(at(0), &some, &engines)).1, 2);
    some.excluded = vec![1, 2, 3];
    assert_eq!(
        scheduler.decide(at(0), &some, &engines),
        ScheduleDecision::Unknown
    );
    assert_eq!(
        scheduler.decide(at(0), &bid(7, 1_000), &[]),
        ScheduleDecision::Unknown
    );
}

#[test]
fn what_cannot_begin_in_time_is_refused_at_once_and_told_when_to_come_back() {
    let engines = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    let mut starts = 0;
    let retry_after = loop {
        match scheduler.decide(at(0), &bid(7, 3_000), &engines) {
            ScheduleDecision::Start { .. } => starts += 1,
            ScheduleDecision::Refuse { retry_after, .. } => break retry_after,
            ScheduleDecision::Unknown => panic!("the engine is usable"),
        }
        assert!(starts < 50, "no limit");
    };
    assert!(starts >= 2);
    assert!(retry_after >= Duration::from_millis(200));
    assert!(retry_after <= Duration::from_secs(2));
    // Once the prompts have been read there is room again.
    let later = at(2_000);
    assert!(matches!(
        scheduler.decide(later, &bid(7, 3_000), &engines),
        ScheduleDecision::Start { .. }
    ));
}

#[test]
fn a_prompt_that_takes_longer_than_the_objective_to_read_is_served_by_an_idle_engine() {
    let mut scheduler = Scheduler::new(1);
    let verdict = scheduler.decide(at(0), &bid(7, 39_000), &[engine(1)]);
    assert!(
        matches!(verdict, ScheduleDecision::Start { .. }),
        "{verdict:?}"
    );
}

#[test]
fn ends_before_the_begin_give_the_time_back() {
    let engines = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    for n in 0..200 {
        let verdict = scheduler.decide(at(n), &bid(7, 3_000), &engines);
        let (reservation, ..) = started(verdict);
        end(&mut scheduler, at(n), reservation);
    }
}

#[test]
fn reports_of_another_life_are_not_taken() {
    let engines = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    let (reservation, ..) = started(scheduler.decide(at(0), &bid(7, 20_000), &engines));
    let foreign = ReservationId {
        epoch: 9,
        ..reservation
    };
    end(&mut scheduler, at(0), foreign);
    let verdict = scheduler.decide(at(0), &bid(7, 20_000), &engines);
    assert!(
        matches!(verdict, ScheduleDecision::Refuse { .. }),
        "{verdict:?}"
    );
}

#[test]
fn records_without_an_end_are_forgotten_when_the_caller_has_given_up() {
    let mut small = engine(1);
    small.slots = 2;
    let mut scheduler = Scheduler::new(1);
    for n in 0..2 {
        started(scheduler.decide(at(n * 1_000), &bid(7, 1_000), &[small]));
    }
    let full = scheduler.decide(at(2_000), &bid(7, 1_000), &[small]);
    assert!(matches!(full, ScheduleDecision::Refuse { .. }), "{full:?}");
    started(scheduler.decide(at(8_000), &bid(7, 1_000), &[small]));
}

#[test]
fn a_workspace_that_floods_is_refused_before_one_that_does_not() {
    let engines: Vec<_> = (1..=2).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut refused = [0_u32; 2];
    let mut asked = [0_u32; 2];
    let mut running = std::collections::VecDeque::new();
    for n in 0..2_000_u64 {
        let now = at(n * 10);
        while running.front().is_some_and(|(until, _)| *until <= n) {
            let (_, reservation) = running.pop_front().unwrap();
            end(&mut scheduler, now, reservation);
        }
        // The first workspace sends ten requests for each one of the second.
        let workspace = u64::from(n % 11 == 10);
        let mut next = bid(n % 20, 2_000);
        next.workspace = workspace + 1;
        let index = usize::from(workspace == 1);
        asked[index] += 1;
        match scheduler.decide(now, &next, &engines) {
            ScheduleDecision::Start { reservation, .. } => {
                let step = ProgressStep::ResponseStarted {
                    after: Duration::from_millis(100),
                };
                scheduler.on_progress(now, &Progress { reservation, step });
                // Answers take a second.
                running.push_back((n + 100, reservation));
            }
            ScheduleDecision::Refuse { .. } | ScheduleDecision::Unknown => refused[index] += 1,
        }
    }
    let part = |index: usize| f64::from(refused[index]) / f64::from(asked[index]);
    assert!(part(0) > 0.3, "no overload: {refused:?} of {asked:?}");
    assert!(part(1) < 0.1, "{refused:?} of {asked:?}");
}

#[test]
fn less_urgent_requests_are_refused_before_more_urgent_ones() {
    let engines: Vec<_> = (1..=2).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut refused = [0_u32; 2];
    let mut running = std::collections::VecDeque::new();
    for n in 0..2_000_u64 {
        let now = at(n * 12);
        while running.front().is_some_and(|(until, _)| *until <= n) {
            let (_, reservation) = running.pop_front().unwrap();
            end(&mut scheduler, now, reservation);
        }
        let rank = n % 2;
        let mut next = bid(n % 20, 2_000);
        next.rank = rank as u32;
        match scheduler.decide(now, &next, &engines) {
            ScheduleDecision::Start { reservation, .. } => {
                let after = Duration::from_millis(100);
                let step = ProgressStep::ResponseStarted { after };
                scheduler.on_progress(now, &Progress { reservation, step });
                // Answers take half a second.
                running.push_back((n + 42, reservation));
            }
            ScheduleDecision::Refuse { .. } | ScheduleDecision::Unknown => {
                refused[rank as usize] += 1
            }
        }
    }
    assert!(refused[1] > 200, "no overload: {refused:?}");
    assert!(refused[0] * 4 < refused[1], "{refused:?}");
    assert!(
        refused[1] < 1_000,
        "the less urgent rank starves: {refused:?}"
    );
}

#[test]
fn idle_engines_refuse_nobody() {
    let engines: Vec<_> = (1..=4).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    for n in 0..300_u64 {
        // One workspace alone, well within what four engines bear.
        let now = at(n * 200);
        let (reservation, ..) = started(scheduler.decide(now, &bid(n % 8, 2_000), &engines));
        end(&mut scheduler, now, reservation);
    }
}

proptest! {
    /// Shards part the engines of a service evenly, and every session has one.
    #[test]
    fn shards_part_the_engines(
        hashes in proptest::collection::hash_set(any::<u64>(), 1..200),
        session in any::<u64>(),
    ) {
        let engines: Vec<_> = hashes.into_iter().collect();
        let of_session = Shard::of_session(session, engines.len());
        prop_assert!(of_session.index < of_session.count);
        let mut seen = Vec::new();
        for index in 0..of_session.count {
            let shard = Shard { index, ..of_session };
            let part = shard.select(engines.clone(), |hash| *hash);
            prop_assert!(part.len() <= 24);
            prop_assert!(part.len() + 1 >= engines.len() / of_session.count as usize);
            seen.extend(part);
        }
        seen.sort_unstable();
        let mut all = engines;
        all.sort_unstable();
        prop_assert_eq!(seen, all);
    }
}

/// Two workspaces flood four engines. The bids of one are far longer, so that each waits longer.
#[test]
fn a_workspace_whose_requests_are_harder_to_place_gets_half_of_the_other_at_least() {
    let engines: Vec<_> = (1..=4).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut got = [0_u64; 2];
    let mut waiting: Vec<(u64, ReservationId)> = Vec::new();
    for millis in 0..12_000_u64 {
        let now = at(millis);
        waiting.retain(|(end_at, reservation)| {
            let has_ended = *end_at <= millis;
            if has_ended {
                end(&mut scheduler, now, *reservation);
            }
            !has_ended
        });
        // Short prompts of kept parts come all the time; long prompts of new parts do as well.
        let short = ScheduleRequest {
            workspace: 1,
            ..bid(7, 900)
        };
        let long = ScheduleRequest {
            workspace: 2,
            until_objective: Duration::from_millis(600),
            ..bid(1_000 + millis, 6_000)
        };
        for (index, bid) in [short, long].into_iter().enumerate() {
            let tokens = u64::from(bid.input_tokens);
            if let ScheduleDecision::Start {
                reservation, after, ..
            } = scheduler.decide(now, &bid, &engines)
            {
                let lasts = u64::try_from(after.as_millis()).unwrap_or(0) + 800;
                waiting.push((millis + lasts, reservation));
                if millis >= 6_000 {
                    got[index] += tokens;
                }
            }
        }
    }
    let (short, long) = (got[0], got[1]);
    assert!(2 * long >= short && 2 * short >= long, "{short} and {long}");
}
