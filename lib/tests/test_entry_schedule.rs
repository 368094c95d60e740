//! Tests of the scheduler of requests to models: single decisions, and simulated load.
//!
//! Engines are backend servers that run a model. Times are simulated: `at` gives a point in time.

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
        run: hash,
        domain: 0,
        slots: 64,
        memory_tokens: 228_336,
        rate_limit: None,
    }
}

/// A request whose prompt has 2,500 tokens in a part that all sessions share, 3,800 in a part that
/// the session shares (requests with the same leading parts), and `own_tokens` of its own.
fn schedule_request(session: u64, own_tokens: u32) -> ScheduleRequest {
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

fn started(decision: ScheduleDecision) -> (ReservationId, u64, Duration, u32) {
    match decision {
        ScheduleDecision::Start {
            reservation,
            server,
            send_after,
            uncached_tokens,
        } => (reservation, server, send_after, uncached_tokens),
        other => panic!("request was not started: {other:?}"),
    }
}

/// Reports the end of a request.
fn end(scheduler: &mut Scheduler, now: Timestamp, reservation: ReservationId) {
    let step = ProgressStep::Ended;
    scheduler.on_progress(now, &Progress { reservation, step });
}

#[test]
fn session_stays_on_the_engine_that_cached_its_parts() {
    let engines: Vec<_> = (1..=12).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let (reservation, first_server, _, uncached) =
        started(scheduler.decide(at(0), &schedule_request(7, 1_000), &engines));
    assert_eq!(uncached, 7_300);
    end(&mut scheduler, at(400), reservation);
    for n in 1..20 {
        let now = at(n * 1_000);
        let (reservation, server, _, uncached) =
            started(scheduler.decide(now, &schedule_request(7, 1_000), &engines));
        assert_eq!((server, uncached), (first_server, 1_000));
        end(&mut scheduler, now, reservation);
    }
}

#[test]
fn new_scheduler_uses_the_last_server_reported_by_hosts() {
    let engines: Vec<_> = (1..=12).map(engine).collect();
    let mut scheduler = Scheduler::new(2);
    let mut request = schedule_request(7, 1_000);
    request.last_server = 9;
    let (_, server, _, uncached) = started(scheduler.decide(at(0), &request, &engines));
    assert_eq!((server, uncached), (9, 1_000));
}

#[test]
fn excluded_engines_are_not_chosen() {
    let engines: Vec<_> = (1..=3).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut request = schedule_request(7, 1_000);
    request.excluded = vec![1, 3];
    assert_eq!(started(scheduler.decide(at(0), &request, &engines)).1, 2);
    request.excluded = vec![1, 2, 3];
    assert_eq!(
        scheduler.decide(at(0), &request, &engines),
        ScheduleDecision::NoEngine
    );
    assert_eq!(
        scheduler.decide(at(0), &schedule_request(7, 1_000), &[]),
        ScheduleDecision::NoEngine
    );
}

#[test]
fn requests_that_cannot_start_in_time_are_refused_with_a_retry_delay() {
    let engines = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    let mut starts = 0;
    let retry_after = loop {
        match scheduler.decide(at(0), &schedule_request(7, 3_000), &engines) {
            ScheduleDecision::Start { .. } => starts += 1,
            ScheduleDecision::Refuse { retry_after, .. } => break retry_after,
            other => panic!("the request was neither started nor refused: {other:?}"),
        }
        assert!(starts < 50, "50 requests started at once on one engine");
    };
    assert!(starts >= 2);
    assert!(retry_after >= Duration::from_millis(200));
    assert!(retry_after <= Duration::from_secs(2));
    // Once the prompts have been processed, the engine has capacity again.
    let later = at(2_000);
    assert!(matches!(
        scheduler.decide(later, &schedule_request(7, 3_000), &engines),
        ScheduleDecision::Start { .. }
    ));
}

#[test]
fn idle_engine_accepts_a_prompt_whose_prefill_exceeds_the_objective() {
    let mut scheduler = Scheduler::new(1);
    let decision = scheduler.decide(at(0), &schedule_request(7, 39_000), &[engine(1)]);
    assert!(
        matches!(decision, ScheduleDecision::Start { .. }),
        "{decision:?}"
    );
}

#[test]
fn requests_that_end_before_their_response_free_the_prefill_time() {
    let engines = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    for n in 0..200 {
        let decision = scheduler.decide(at(n), &schedule_request(7, 3_000), &engines);
        let (reservation, ..) = started(decision);
        end(&mut scheduler, at(n), reservation);
    }
}

#[test]
fn reports_for_another_epoch_are_ignored() {
    let engines = [engine(1)];
    let mut scheduler = Scheduler::new(1);
    let (reservation, ..) =
        started(scheduler.decide(at(0), &schedule_request(7, 20_000), &engines));
    let foreign = ReservationId {
        epoch: 9,
        ..reservation
    };
    end(&mut scheduler, at(0), foreign);
    let decision = scheduler.decide(at(0), &schedule_request(7, 20_000), &engines);
    assert!(
        matches!(decision, ScheduleDecision::Refuse { .. }),
        "{decision:?}"
    );
}

#[test]
fn reservations_expire_when_the_caller_times_out() {
    let mut small = engine(1);
    small.slots = 2;
    let mut scheduler = Scheduler::new(1);
    for n in 0..2 {
        started(scheduler.decide(at(n * 1_000), &schedule_request(7, 1_000), &[small]));
    }
    let full = scheduler.decide(at(2_000), &schedule_request(7, 1_000), &[small]);
    assert!(matches!(full, ScheduleDecision::Refuse { .. }), "{full:?}");
    started(scheduler.decide(at(8_000), &schedule_request(7, 1_000), &[small]));
}

#[test]
fn flooding_workspace_is_refused_first() {
    let engines: Vec<_> = (1..=2).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut refused = [0_u32; 2];
    let mut over_share = [0_u32; 2];
    let mut requested = [0_u32; 2];
    let mut running = std::collections::VecDeque::new();
    for n in 0..2_000_u64 {
        let now = at(n * 10);
        while running.front().is_some_and(|(until, _)| *until <= n) {
            let (_, reservation) = running.pop_front().unwrap();
            end(&mut scheduler, now, reservation);
        }
        // The first workspace sends ten requests for each one of the second.
        let workspace = u64::from(n % 11 == 10);
        let mut next = schedule_request(n % 20, 2_000);
        next.workspace = workspace + 1;
        let index = usize::from(workspace == 1);
        requested[index] += 1;
        match scheduler.decide(now, &next, &engines) {
            ScheduleDecision::Start { reservation, .. } => {
                let step = ProgressStep::ResponseStarted {
                    after: Duration::from_millis(100),
                    host_lag: Duration::ZERO,
                };
                scheduler.on_progress(now, &Progress { reservation, step });
                // Responses take a second.
                running.push_back((n + 100, reservation));
            }
            ScheduleDecision::Refuse { is_over_share, .. } => {
                refused[index] += 1;
                over_share[index] += u32::from(is_over_share);
            }
            other => panic!("the request was neither started nor refused: {other:?}"),
        }
    }
    let refused_fraction = |index: usize| f64::from(refused[index]) / f64::from(requested[index]);
    assert!(
        refused_fraction(0) > 0.3,
        "no overload: refused {refused:?} of {requested:?}"
    );
    assert!(
        refused_fraction(1) < 0.1,
        "refused {refused:?} of {requested:?}"
    );
    // The refusals say whose load it is.
    assert!(
        over_share[0] * 2 > refused[0] && over_share[1] == 0,
        "over share {over_share:?} of {refused:?}"
    );
}

#[test]
fn less_urgent_requests_are_refused_first() {
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
        let mut next = schedule_request(n % 20, 2_000);
        next.rank = rank as u32;
        match scheduler.decide(now, &next, &engines) {
            ScheduleDecision::Start { reservation, .. } => {
                let after = Duration::from_millis(100);
                let step = ProgressStep::ResponseStarted {
                    after,
                    host_lag: Duration::ZERO,
                };
                scheduler.on_progress(now, &Progress { reservation, step });
                // Responses take half a second.
                running.push_back((n + 42, reservation));
            }
            ScheduleDecision::Refuse { .. } => refused[rank as usize] += 1,
            other => panic!("the request was neither started nor refused: {other:?}"),
        }
    }
    assert!(refused[1] > 200, "no overload: {refused:?}");
    assert!(refused[0] * 4 < refused[1], "refused by rank: {refused:?}");
    assert!(
        refused[1] < 1_000,
        "the less urgent rank starves, refused by rank: {refused:?}"
    );
}

#[test]
fn single_workspace_is_not_refused_without_overload() {
    let engines: Vec<_> = (1..=4).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    for n in 0..300_u64 {
        // A single workspace, well within the capacity of four engines.
        let now = at(n * 200);
        let (reservation, ..) =
            started(scheduler.decide(now, &schedule_request(n % 8, 2_000), &engines));
        end(&mut scheduler, now, reservation);
    }
}

proptest! {
    /// The shards divide the engines of a service about evenly, and every session has a shard.
    #[test]
    fn shards_partition_the_engines(
        hashes in proptest::collection::hash_set(any::<u64>(), 1..200),
        session in any::<u64>(),
    ) {
        let engines: Vec<_> = hashes.into_iter().collect();
        let of_session = Shard::of_session(session, engines.iter().copied());
        prop_assert!(of_session.index < of_session.count);
        let mut seen = Vec::new();
        for index in 0..of_session.count {
            let shard = Shard { index, ..of_session };
            let part = shard.select(engines.clone(), |hash| *hash);
            // Five standard deviations of the binomial distribution.
            let mean = engines.len() as f64 / f64::from(of_session.count);
            prop_assert!((part.len() as f64 - mean).abs() <= 5.0 * mean.sqrt());
            seen.extend(part);
        }
        seen.sort_unstable();
        let mut all = engines;
        all.sort_unstable();
        prop_assert_eq!(seen, all);
    }
}

proptest! {
    /// The prompts of a session are cached at the engines of its shard. If these changed with every
    /// engine that arrives or leaves, most prompts would be processed again.
    #[test]
    fn arrival_of_an_engine_moves_few_sessions(
        hashes in proptest::collection::hash_set(any::<u64>(), 25..120),
    ) {
        let after: Vec<_> = hashes.into_iter().collect();
        let before = &after[1..];
        let shards = |engines: &[u64]| {
            let of_session = |session| Shard::of_session(session, engines.iter().copied());
            (0..500).map(of_session).collect::<Vec<_>>()
        };
        let (from, to) = (shards(before), shards(&after));
        let moved = from.iter().zip(&to).filter(|(a, b)| a.index != b.index).count();
        // Its share of the sessions, and those of a new shard if there is one.
        let is_new_shard = from[0].count != to[0].count;
        let share = 1.0 / after.len() as f64
            + if is_new_shard { 1.0 / f64::from(to[0].count) } else { 0.0 };
        let most = 500.0 * share + 5.0 * (500.0 * share).sqrt() + 25.0;
        prop_assert!((moved as f64) < most, "{moved} of 500 sessions moved");
    }
}

/// Guards against starving a workspace (customer) whose requests seldom meet the start limit: two
/// workspaces flood four engines, and the prompts of one are far longer, so that each of them takes
/// longer to start.
#[test]
fn workspace_with_long_prompts_is_granted_at_least_half_as_much() {
    let engines: Vec<_> = (1..=4).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut granted = [0_u64; 2];
    let mut running_until: Vec<(u64, ReservationId)> = Vec::new();
    for elapsed_ms in 0..12_000_u64 {
        let now = at(elapsed_ms);
        running_until.retain(|(end_at, reservation)| {
            let has_ended = *end_at <= elapsed_ms;
            if has_ended {
                end(&mut scheduler, now, *reservation);
            }
            !has_ended
        });
        // Every millisecond brings a short prompt with cached parts and a long prompt with new
        // parts.
        let short = ScheduleRequest {
            workspace: 1,
            ..schedule_request(7, 900)
        };
        let long = ScheduleRequest {
            workspace: 2,
            until_objective: Duration::from_millis(600),
            ..schedule_request(1_000 + elapsed_ms, 6_000)
        };
        for (index, request) in [short, long].into_iter().enumerate() {
            let tokens = u64::from(request.input_tokens);
            if let ScheduleDecision::Start {
                reservation,
                send_after,
                ..
            } = scheduler.decide(now, &request, &engines)
            {
                let lasts = u64::try_from(send_after.as_millis()).unwrap_or(0) + 800;
                running_until.push((elapsed_ms + lasts, reservation));
                if elapsed_ms >= 6_000 {
                    granted[index] += tokens;
                }
            }
        }
    }
    let (short, long) = (granted[0], granted[1]);
    assert!(
        2 * long >= short && 2 * short >= long,
        "granted {short} tokens to short prompts, {long} to long ones"
    );
}

/// In an overload the waits for all engines are close to the longest that the shortest requests may
/// wait. Requests of the same kind with longer prompts would then never start.
#[test]
fn large_requests_are_served_as_often_as_small_ones() {
    let engines: Vec<_> = (1..=4).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut asked = [0_u32; 2];
    let mut granted = [0_u32; 2];
    let mut running = std::collections::BTreeMap::new();
    for n in 0..12_000_u64 {
        let now = n * 2;
        while let Some(entry) = running.first_entry()
            && *entry.key() <= (now, n)
        {
            end(&mut scheduler, at(now), entry.remove());
        }
        // One in ten is about six times as large; together they ask for twice the capacity.
        let is_large = n % 10 == 7;
        let own_tokens = if is_large { 3_300 } else { 500 };
        let request = ScheduleRequest {
            workspace: n % 16,
            until_objective: Duration::from_millis(400),
            input_tokens: 200 + own_tokens,
            shared_parts: vec![PromptPart {
                id: n % 40,
                tokens: 200,
            }],
            ..schedule_request(0, 0)
        };
        asked[usize::from(is_large)] += 1;
        if let ScheduleDecision::Start {
            reservation,
            send_after,
            uncached_tokens,
            ..
        } = scheduler.decide(at(now), &request, &engines)
        {
            let prefill_ms = u64::from(uncached_tokens) * 10 / 387;
            let after = Duration::from_millis(40 + prefill_ms);
            let step = ProgressStep::ResponseStarted {
                after,
                host_lag: Duration::ZERO,
            };
            scheduler.on_progress(at(now), &Progress { reservation, step });
            let end_at = now + send_after.as_millis() as u64 + prefill_ms + 600;
            running.insert((end_at, n), reservation);
            granted[usize::from(is_large)] += 1;
        }
    }
    let served = |index: usize| f64::from(granted[index]) / f64::from(asked[index]);
    assert!(served(0) < 0.8, "no overload: {granted:?} of {asked:?}");
    assert!(
        served(1) >= 0.5 * served(0),
        "large requests starve: {granted:?} of {asked:?}"
    );
}

/// A host can be the scheduler of several shards of a service. Decisions for one shard must not drop
/// what is known of idle engines of another, or their cached prompts are processed again elsewhere.
#[test]
fn idle_engines_of_another_shard_are_not_forgotten() {
    let large: Vec<_> = (1..=40).map(engine).collect();
    let small: Vec<_> = (101..=104).map(engine).collect();
    let mut scheduler = Scheduler::new(1);
    let mut homes = Vec::new();
    for session in 0..40 {
        let request = schedule_request(session, 1_000);
        let decision = scheduler.decide(at(session), &request, &large);
        let (reservation, server, ..) = started(decision);
        homes.push(server);
        end(&mut scheduler, at(session), reservation);
    }
    for n in 0..50 {
        let now = at(1_000 + n * 100);
        let (reservation, ..) = started(scheduler.decide(now, &schedule_request(900, 10), &small));
        end(&mut scheduler, now, reservation);
    }
    for (session, home) in (0..40).zip(homes) {
        let now = at(10_000 + session * 500);
        let request = schedule_request(session, 1_000);
        let (reservation, server, _, uncached) = started(scheduler.decide(now, &request, &large));
        assert_eq!((server, uncached), (home, 1_000), "session {session}");
        end(&mut scheduler, now, reservation);
    }
}

/// Starts 20 requests whose responses a host reports as three seconds late, and asks for one more.
fn decision_after_late_reports(host_lag: Duration) -> ScheduleDecision {
    let mut scheduler = Scheduler::new(1);
    let engines: Vec<_> = (1..=20).map(engine).collect();
    let after = Duration::from_secs(3);
    for session in 0..20 {
        let mut request = schedule_request(session, 3_000);
        request.last_server = session + 1;
        let decision = scheduler.decide(at(1_000), &request, &engines);
        let ScheduleDecision::Start { reservation, .. } = decision else {
            panic!("request {session} was not started: {decision:?}");
        };
        let step = ProgressStep::ResponseStarted { after, host_lag };
        scheduler.on_progress(at(1_050), &Progress { reservation, step });
    }
    let mut request = schedule_request(100, 3_000);
    request.workspace = 2;
    scheduler.decide(at(1_100), &request, &engines)
}

#[test]
fn late_host_does_not_make_engines_seem_busy() {
    let decision = decision_after_late_reports(Duration::from_millis(150));
    assert!(
        matches!(decision, ScheduleDecision::Start { .. }),
        "{decision:?}"
    );
}

#[test]
fn late_engines_get_no_more_requests_than_they_bear() {
    let decision = decision_after_late_reports(Duration::from_millis(2));
    assert!(
        matches!(decision, ScheduleDecision::Refuse { .. }),
        "{decision:?}"
    );
}

/// Guards against a workspace that seems to get more than it does: the engines that are chosen for it have
/// no connections left for its host, which asks again for each of its requests.
#[test]
fn requests_that_end_before_they_can_have_run_do_not_count_as_work() {
    let engines = [engine(1), engine(2)];
    let mut scheduler = Scheduler::new(1);
    let mut request = schedule_request(7, 4_000);
    request.shard.count = 2;
    for n in 0..10 {
        let (reservation, ..) = started(scheduler.decide(at(n * 5), &request, &engines));
        end(&mut scheduler, at(n * 5 + 2), reservation);
    }
    let work = |scheduler: &Scheduler, now| {
        let reports = scheduler.shares_to_send(now);
        reports
            .first()
            .and_then(|(_, _, shards)| shards.work.first().copied())
    };
    assert_eq!(work(&scheduler, at(50)), None);
    let (reservation, ..) = started(scheduler.decide(at(60), &request, &engines));
    end(&mut scheduler, at(1_000), reservation);
    let counted = work(&scheduler, at(1_000)).map(|work| work.granted_tokens);
    assert!(counted.is_some_and(|tokens| tokens > 1_000), "{counted:?}");
}
