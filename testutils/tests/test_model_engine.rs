//! Tests of the stand-in model engine: responses, batch, warm-up and injected faults.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_testutils::EngineOutcome;
use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::ModelEngine;
use cardamomshift_testutils::ResponseFault;
use cardamomshift_testutils::response_nonce;
use cardamomshift_testutils::token_text;
use common::TestResponse;
use common::any_port;
use common::call;
use common::get;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;

const CHAT: &str = "/v1/chat/completions";

fn body(prompt: &str, tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": "ruling-7b",
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "max_tokens": tokens * 4,
        "x_output_tokens": tokens,
        "user": "house-1",
    })
    .to_string()
}

async fn chat(at: SocketAddr, prompt: &str, stream: bool) -> Result<TestResponse, String> {
    let headers = [("x-request-id", prompt)];
    call(at, "POST", CHAT, &headers, body(prompt, 10, stream)).await
}

/// Text of the complete response to `prompt`, which has ten tokens.
fn full_text(prompt: &str) -> String {
    (0..10)
        .map(|index| token_text(response_nonce(prompt), index))
        .collect()
}

/// Text of all events of a streamed response.
fn streamed_text(response: &str) -> String {
    response
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: {"))
        .map(|rest| serde_json::from_str(&format!("{{{rest}")).expect("event as JSON"))
        .map(|event: serde_json::Value| {
            let content = &event["choices"][0]["delta"]["content"];
            content.as_str().unwrap_or_default().to_owned()
        })
        .collect()
}

#[tokio::test]
async fn json_and_streamed_responses_carry_their_own_tokens() {
    let engine = ModelEngine::start(any_port());
    let json_response = chat(engine.address(), "a", false).await.expect("response");
    assert_eq!(json_response.header("x-request-id"), "a");
    assert_eq!(
        json_response.header("x-instance"),
        engine.handle().instance()
    );
    let choice = &json_response.json()["choices"][0];
    assert_eq!(choice["message"]["content"], full_text("a"));
    assert_eq!(json_response.json()["usage"]["completion_tokens"], 10);
    let streamed = chat(engine.address(), "b", true).await.expect("response");
    let text = streamed.text();
    assert_eq!(streamed_text(&text), full_text("b"));
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert!(text.contains("\"completion_tokens\":10"));
    let records = engine.handle().records();
    assert_eq!(records.len(), 2);
    assert_eq!(records[0].tag, "house-1");
    assert!(records.iter().all(|r| r.outcome == EngineOutcome::Complete));
    let generated: u32 = engine.handle().samples().iter().map(|s| s.tokens).sum();
    let expected: u32 = records.iter().map(|r| r.prompt_tokens + r.generated).sum();
    assert_eq!(generated, expected);
}

#[tokio::test]
async fn instant_engine_streams_every_token() {
    let engine = ModelEngine::start_with(any_port(), EngineProfile::instant());
    let streamed = chat(engine.address(), "b", true).await.expect("response");
    assert_eq!(streamed_text(&streamed.text()), full_text("b"));
}

#[tokio::test]
async fn cold_engine_crashes_above_its_limit() {
    let profile = EngineProfile {
        prefill: Duration::from_secs(60),
        cached_prefill: Duration::from_secs(60),
        crash_downtime: Duration::from_secs(60),
        ..EngineProfile::default()
    };
    let engine = ModelEngine::start_with(any_port(), profile);
    let at = engine.address();
    let limit = engine.handle().profile().cold_limit;
    let mut responses: FuturesUnordered<_> = (0..=limit).map(|_| chat(at, "x", false)).collect();
    while let Some(response) = responses.next().await {
        assert_ne!(response.expect("response").status, StatusCode::OK);
    }
    let violations = engine.handle().violations();
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].running, limit + 1);
    assert!(!engine.handle().is_warm());
    let down = chat(at, "y", false).await.expect("response");
    assert_eq!(down.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn completions_warm_the_engine_until_it_is_reset_to_cold() {
    let engine = ModelEngine::start(any_port());
    let handle = engine.handle();
    for _ in 0..handle.profile().warm_after {
        assert!(!handle.is_warm());
        chat(engine.address(), "x", false).await.expect("response");
    }
    assert!(handle.is_warm());
    let at = engine.address();
    let count = handle.profile().warm_limit;
    let mut responses: FuturesUnordered<_> = (0..count).map(|_| chat(at, "x", false)).collect();
    while let Some(response) = responses.next().await {
        assert_eq!(response.expect("response").status, StatusCode::OK);
    }
    assert!(handle.violations().is_empty());
    let before = handle.instance();
    handle.set_cold();
    assert!(!handle.is_warm());
    assert_eq!(handle.instance(), before);
    handle.restart();
    assert_ne!(handle.instance(), before);
}

#[tokio::test]
async fn client_disconnect_frees_its_slot() {
    let engine = ModelEngine::start(any_port());
    let handle = engine.handle();
    let at = engine.address();
    let long = call(at, "POST", CHAT, &[], body("long", 100_000, true));
    let client = tokio::spawn(long);
    while handle.running() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    client.abort();
    while handle.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(handle.records()[0].outcome, EngineOutcome::Cancelled);
}

#[tokio::test]
async fn cached_prefix_is_recorded_and_evicted() {
    let profile = EngineProfile {
        cached_prefixes: 1,
        ..EngineProfile::default()
    };
    let engine = ModelEngine::start_with(any_port(), profile);
    for prompt in ["a", "a", "b", "a"] {
        chat(engine.address(), prompt, false)
            .await
            .expect("response");
    }
    let cached: Vec<_> = engine.handle().records().iter().map(|r| r.cached).collect();
    assert_eq!(cached, [false, true, false, false]);
}

#[tokio::test]
async fn response_faults_reach_the_client() {
    let engine = ModelEngine::start(any_port());
    let handle = engine.handle();
    let at = engine.address();
    for stream in [false, true] {
        handle.inject(ResponseFault::Truncated, 1);
        assert!(chat(at, "x", stream).await.is_err());
        handle.inject(ResponseFault::Mismatched, 1);
        let mismatched = chat(at, "x", stream).await.expect("response");
        assert_eq!(mismatched.header("x-request-id"), "crossed");
        assert!(!mismatched.text().contains(&full_text("x")));
        handle.inject(ResponseFault::Malformed, 1);
        assert!(chat(at, "x", stream).await.is_err());
        handle.inject(ResponseFault::Lost, 1);
        assert!(chat(at, "x", stream).await.is_err());
        handle.inject(ResponseFault::ServerError, 1);
        let error = chat(at, "x", stream).await.expect("response");
        assert_eq!(error.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(error.header("x-request-id"), "x");
        handle.inject(ResponseFault::Late(Duration::from_millis(1)), 1);
        let late = chat(at, "x", stream).await.expect("response");
        assert_eq!(late.status, StatusCode::OK);
    }
    handle.inject(ResponseFault::EndsEarly, 1);
    let early = chat(at, "x", true).await.expect("response");
    assert!(!early.text().contains("[DONE]"));
    let before = handle.records().len();
    handle.inject(ResponseFault::Unavailable, 1);
    let refused = chat(at, "x", true).await.expect("response");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(handle.records().len(), before);
}

#[tokio::test]
async fn load_is_reported_after_the_lag() {
    let profile = EngineProfile {
        load_lag: Duration::from_secs(60),
        ..EngineProfile::default()
    };
    let engine = ModelEngine::start_with(any_port(), profile);
    chat(engine.address(), "x", false).await.expect("response");
    assert_eq!(get(engine.address(), "/load").await.json()["running"], 0);
}

#[test]
fn overloaded_engine_has_fewer_effective_slots() {
    let profile = EngineProfile::default();
    let full = profile.warm_limit;
    assert_eq!(profile.effective_slots(full - 1), (full - 1) as f64);
    assert_eq!(profile.effective_slots(full), full as f64);
    assert!(profile.effective_slots(full * 2) < full as f64);
}
