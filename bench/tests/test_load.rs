//! Checks of responses, latency percentiles, and a load on the baseline routers.

use std::time::Duration;

use cardamomshift_bench::baseline::Baseline;
use cardamomshift_bench::fleet::Fleet;
use cardamomshift_bench::fleet::FleetPlan;
use cardamomshift_bench::load::Arrivals;
use cardamomshift_bench::load::Latency;
use cardamomshift_bench::load::Load;
use cardamomshift_bench::load::ModelWork;
use cardamomshift_bench::load::PlainWork;
use cardamomshift_bench::load::StreamCheck;
use cardamomshift_bench::load::Work;
use cardamomshift_bench::load::WorkspaceLoad;
use cardamomshift_bench::load::check_json_response;
use cardamomshift_bench::load::http_client;
use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::check_at_most_once;
use cardamomshift_testutils::history::check_responses;
use cardamomshift_testutils::token_text;

/// Server-sent event with one token of the response to the request with `nonce`.
fn event(nonce: u64, index: u32) -> String {
    let token = token_text(nonce, index);
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

/// Checks a stream in frames of 3 bytes, so that frames end within events.
fn check_stream(text: &str) -> CallOutcome {
    let mut check = StreamCheck::new(7, 2);
    for part in text.as_bytes().chunks(3) {
        check.feed(part);
    }
    check.outcome()
}

#[test]
fn streams_are_checked_by_tokens_and_end_marker() {
    let (first, second, done) = (event(7, 0), event(7, 1), "data: [DONE]\n\n");
    let mismatched = event(8, 1);
    let complete = check_stream(&format!("{first}{second}{done}"));
    assert_eq!(complete, CallOutcome::Complete);
    let partial = CallOutcome::Partial;
    assert_eq!(check_stream(&format!("{first}{second}")), partial);
    assert_eq!(check_stream(&format!("{first}{done}")), partial);
    let mismatched_token = check_stream(&format!("{first}{mismatched}{done}"));
    assert_eq!(mismatched_token, CallOutcome::Mismatched);
    let surplus = check_stream(&format!("{first}{second}{done}{mismatched}"));
    assert_eq!(surplus, CallOutcome::Mismatched);
    let repeated = check_stream(&format!("{first}{first}{done}"));
    assert_eq!(repeated, CallOutcome::Mismatched);
    let error = check_stream(&format!("{first}event: error\ndata: {{}}\n\n"));
    assert_eq!(error, CallOutcome::Broken);
}

#[test]
fn json_responses_are_checked_by_their_tokens() {
    let response_body = |text: String| {
        let choice = serde_json::json!({"message": {"content": text}});
        serde_json::json!({"choices": [choice]}).to_string()
    };
    let own = response_body(token_text(7, 0) + &token_text(7, 1));
    let checked = |body: &str| check_json_response(body.as_bytes(), 7, 2).0;
    assert_eq!(checked(&own), CallOutcome::Complete);
    assert_eq!(
        checked(&response_body(token_text(7, 0))),
        CallOutcome::Partial
    );
    assert_eq!(
        checked(&response_body(token_text(8, 0))),
        CallOutcome::Mismatched
    );
    assert_eq!(checked(&own[..own.len() / 2]), CallOutcome::Partial);
}

#[test]
fn latency_percentiles_are_in_milliseconds() {
    let latency = Latency::from_micros((1..=100).map(|i| i * 1_000_000));
    assert_eq!(latency.count, 100);
    assert_eq!(latency.p50.round(), 50_004.0);
    assert_eq!(latency.max.round(), 100_008.0);
    assert_eq!(Latency::from_micros([]), Latency::default());
}

fn workspace_load(plan: &FleetPlan, number: usize, work: Work) -> WorkspaceLoad {
    WorkspaceLoad {
        workspace: plan.workspace_name(number),
        key: plan.workspace_key(number),
        class: None,
        hosts: vec![0, 1],
        arrivals: Arrivals::Closed(2),
        work,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn baseline_serves_complete_responses() {
    let plan = FleetPlan {
        domains: vec!["bern-a".to_owned()],
        engine: EngineProfile {
            cold_limit: usize::MAX,
            ..EngineProfile::default()
        },
        ..FleetPlan::flipperliga()
    };
    let fleet = Fleet::start(plan.clone());
    let _baseline = Baseline::start(&fleet).await.expect("baseline starts");
    let loads = vec![
        workspace_load(&plan, 0, Work::Model(ModelWork::default())),
        workspace_load(
            &plan,
            1,
            Work::Model(ModelWork {
                streamed_percent: 0,
                ..ModelWork::default()
            }),
        ),
        workspace_load(&plan, 2, Work::Plain(PlainWork::default())),
    ];
    let load = Load::start(fleet.addresses_for_callers(), &http_client(), loads, 1);
    while load.ended_calls() < 50 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let records = load.finish(Duration::from_secs(60)).await;
    assert!(records.iter().all(|r| r.outcome == CallOutcome::Complete));
    assert_eq!(check_responses(&records), []);
    let (_, plain) = &fleet.plain_services()[0];
    let executions = plain.executions();
    assert!(!executions.is_empty());
    let plain_calls: Vec<_> = records.into_iter().filter(|r| r.nonce == 0).collect();
    let runs = executions.iter().map(|e| e.operation.as_str());
    assert_eq!(check_at_most_once(runs, &plain_calls), []);
}
