//! Tests of the history checks: each one accepts a correct history and reports the violation in an
//! incorrect one.

use std::collections::BTreeMap;

use cardamomshift_testutils::EngineOutcome;
use cardamomshift_testutils::EngineRecord;
use cardamomshift_testutils::OverloadViolation;
use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::history::ChangeObservation;
use cardamomshift_testutils::history::Interval;
use cardamomshift_testutils::history::Intervals;
use cardamomshift_testutils::history::RequestStart;
use cardamomshift_testutils::history::ServiceSample;
use cardamomshift_testutils::history::Violation;
use cardamomshift_testutils::history::backlogged;
use cardamomshift_testutils::history::check_at_most_once;
use cardamomshift_testutils::history::check_cold_limit;
use cardamomshift_testutils::history::check_configuration;
use cardamomshift_testutils::history::check_no_starvation;
use cardamomshift_testutils::history::check_responses;
use cardamomshift_testutils::history::check_starts_while_out_of_service;
use cardamomshift_testutils::history::largest_service_gap;
use cardamomshift_testutils::history::slot_utilisation;

fn call(operation: &str, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        workspace: "house".to_owned(),
        host: 0,
        operation: operation.to_owned(),
        nonce: 0,
        sent: 0,
        first_byte: None,
        end: 100,
        tokens: 0,
        outcome,
    }
}

fn not_run() -> CallOutcome {
    CallOutcome::NotRun("queue_full".to_owned())
}

fn unknown() -> CallOutcome {
    CallOutcome::Unknown("backend_lost".to_owned())
}

fn span(from: u64, to: u64) -> Interval {
    Interval { from, to }
}

fn sample(at: u64, workspace: &str, cost: u64) -> ServiceSample {
    ServiceSample {
        at,
        workspace: workspace.to_owned(),
        cost,
    }
}

fn always_backlogged(workspaces: &[&str]) -> BTreeMap<String, Intervals> {
    workspaces
        .iter()
        .map(|name| ((*name).to_owned(), Intervals::union([span(0, 1_000)])))
        .collect()
}

#[test]
fn operations_run_at_most_once() {
    let calls = [
        call("a", CallOutcome::Complete),
        call("b", not_run()),
        call("c", unknown()),
        call("d", unknown()),
        call("d", not_run()),
    ];
    assert_eq!(check_at_most_once(["a", "c", "d"], &calls), []);
    let second = check_at_most_once(["a", "a"], &calls);
    let operation = "a".to_owned();
    let times = 2;
    assert_eq!(second, [Violation::SecondRun { operation, times }]);
    let false_not_run = check_at_most_once(["a", "b"], &calls);
    let operation = "b".to_owned();
    assert_eq!(false_not_run, [Violation::FalseNotRun { operation }]);
    let without_run = check_at_most_once(["c"], &calls);
    let operation = "a".to_owned();
    assert_eq!(without_run, [Violation::ResponseWithoutRun { operation }]);
}

#[test]
fn mismatched_and_partial_responses_are_violations() {
    let good = [
        call("a", CallOutcome::Complete),
        call("b", CallOutcome::Broken),
    ];
    assert_eq!(check_responses(&good), []);
    let bad = [
        call("a", CallOutcome::Mismatched),
        call("b", CallOutcome::Partial),
    ];
    assert_eq!(check_responses(&bad).len(), 2);
}

#[test]
fn load_above_the_cold_limit_is_a_violation() {
    let record = |cold, batch| EngineRecord {
        request_id: String::new(),
        tag: String::new(),
        nonce: 0,
        instance: String::new(),
        start: 5,
        first_token: None,
        end: None,
        prompt_tokens: 1,
        output_tokens: 1,
        generated: 0,
        outcome: EngineOutcome::Running,
        cold,
        batch,
        cached: false,
    };
    let good = [record(true, 2), record(false, 9)];
    assert_eq!(check_cold_limit(&good, &[], 2), []);
    let at = 5;
    let running = 3;
    let limit = 2;
    let expected = [Violation::ColdOverload { at, running, limit }];
    assert_eq!(check_cold_limit(&[record(true, 3)], &[], 2), expected);
    let overload = OverloadViolation {
        at,
        request_id: String::new(),
        running,
        limit,
    };
    assert_eq!(check_cold_limit(&good, &[overload], 2), expected);
}

#[test]
fn starts_out_of_service_are_violations() {
    let start = |at, location: &str| RequestStart {
        at,
        location: location.to_owned(),
    };
    let good = [
        start(110, "bern-a"),
        start(500, "basel-c"),
        start(901, "bern-a"),
    ];
    assert_eq!(
        check_starts_while_out_of_service(&good, "bern-a", span(100, 900), 20),
        []
    );
    let bad = [start(121, "bern-a")];
    let found = check_starts_while_out_of_service(&bad, "bern-a", span(100, 900), 20);
    assert_eq!(
        found,
        [Violation::StartWhileOutOfService { at: 121, after: 21 }]
    );
}

#[test]
fn slot_utilisation_counts_only_time_with_waiting_work() {
    let waiting = Intervals::union([span(0, 100)]);
    let full = [span(0, 100), span(0, 50), span(50, 100)];
    let share = |busy: &[Interval], waiting: &Intervals| {
        let used = |running| if running > 2 { 1.0 } else { running as f64 };
        slot_utilisation(busy, 2, waiting, used)
    };
    assert_eq!(share(&full, &waiting), Some(1.0));
    let more_than_slots = [span(0, 100), span(0, 100), span(0, 100)];
    assert_eq!(share(&more_than_slots, &waiting), Some(0.5));
    let idle = [span(0, 100), span(0, 50)];
    assert_eq!(share(&idle, &waiting), Some(0.75));
    let waiting = Intervals::union([span(0, 50)]);
    assert_eq!(share(&idle, &waiting), Some(1.0));
    assert_eq!(share(&idle, &Intervals::default()), None);
}

#[test]
fn service_gap_is_the_largest_over_any_window() {
    let both = always_backlogged(&["a", "b"]);
    let fair = [sample(1, "a", 10), sample(2, "b", 10), sample(3, "a", 10)];
    assert_eq!(largest_service_gap(&fair, &both, span(0, 1_000)), 10);
    // Both get 100 in total, but a span with only the second sample has a gap of 100.
    let swings = [sample(1, "a", 50), sample(2, "b", 100), sample(3, "a", 50)];
    assert_eq!(largest_service_gap(&swings, &both, span(0, 1_000)), 100);
    assert_eq!(largest_service_gap(&swings, &both, span(0, 2)), 50);
    let mut one_alone = both.clone();
    let waits_late = Intervals::union([span(3, 1_000)]);
    one_alone.insert("b".to_owned(), waits_late);
    assert_eq!(largest_service_gap(&swings, &one_alone, span(0, 1_000)), 50);
}

#[test]
fn backlog_lasts_from_call_to_start() {
    let mut calls = [call("a", CallOutcome::Complete), call("b", not_run())];
    calls[1].sent = 200;
    calls[1].end = 300;
    let found = backlogged(&calls, |call| (call.operation == "a").then_some(40));
    assert_eq!(found["house"].spans(), [span(0, 40), span(200, 300)]);
}

#[test]
fn long_waits_without_service_are_violations() {
    let waiting = always_backlogged(&["a"]);
    let served: Vec<_> = (1..10).map(|i| sample(i * 100, "a", 1)).collect();
    assert_eq!(check_no_starvation(&served, &waiting, 100), []);
    let starved = check_no_starvation(&served[..5], &waiting, 100);
    let expected = Violation::Starved {
        workspace: "a".to_owned(),
        from: 500,
        to: 1_000,
    };
    assert_eq!(starved, [expected]);
}

#[test]
fn configuration_changes_stay_in_force() {
    let observation = |sent, host: &str, in_force| ChangeObservation {
        change: 0,
        host: host.to_owned(),
        sent,
        received: sent + 5,
        in_force,
    };
    let good = [
        observation(90, "one", false),
        observation(110, "one", true),
        observation(112, "one", false),
        observation(120, "two", true),
    ];
    let (delays, violations) = check_configuration(&[100], &["one", "two"], &good);
    assert_eq!(delays, [15, 25]);
    assert_eq!(violations, []);
    let reverted = [
        observation(110, "one", true),
        observation(130, "one", false),
    ];
    let (_, violations) = check_configuration(&[100], &["one", "two"], &reverted);
    let expected = [
        Violation::Reverted {
            change: 0,
            host: "one".to_owned(),
            at: 135,
        },
        Violation::NeverInForce {
            change: 0,
            host: "two".to_owned(),
        },
    ];
    assert_eq!(violations, expected);
}
