//! Requests served through the gateway: responses, charged costs, estimates and prompt prefixes.

mod common;

use cardamomshift_lib::control::RequestSpec;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::EndOutcome;
use common::Backend;
use common::ControlCall;
use common::MODEL;
use common::PLAIN;
use common::Rig;
use common::chat;
use common::chunk;
use common::order;
use common::request;

fn events(count: usize) -> String {
    (0..count)
        .map(|n| chunk(&format!("data: {{\"choices\":[{{\"text\":\"{n}\"}}]}}\n\n")))
        .collect()
}

#[tokio::test]
async fn streamed_model_request_is_served() {
    let backend = Backend::responding(|req| {
        let usage = "data: {\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":200}}\n\n";
        let done = chunk("data: [DONE]\n\n");
        let head = req.stream_head();
        format!("{head}{}{}{done}0\r\n\r\n", events(200), chunk(usage))
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    let response = rig.call(&chat(true)).await;

    assert!(response.starts_with("HTTP/1.1 200 OK"), "{response}");
    assert!(response.contains("\"text\":\"199\""));
    assert!(response.contains("data: [DONE]"));
    assert!(
        response.ends_with("0\r\n\r\n"),
        "the chunked body must end cleanly"
    );
    assert!(!response.contains("x-instance"));
    let ControlCall::Submit(spec) = rig.next().await else {
        panic!("the gateway did not submit the request");
    };
    assert_eq!(spec.service, ServiceId::of(MODEL));
    assert_eq!(spec.workspace, WorkspaceId(1));
    assert!(spec.estimate > 50);
    assert!(matches!(rig.next().await, ControlCall::Progress(_)));
    let report = rig.end().await;
    assert_eq!(report.outcome, EndOutcome::Complete);
    assert_eq!(report.cost, 205);
    assert!(report.first_byte.is_some());
    assert_ne!(report.instance, 0);
}

#[tokio::test]
async fn complete_model_response_is_charged_by_its_usage() {
    let backend = Backend::responding(|req| {
        let body = r#"{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}"#;
        req.response("200 OK", "content-type: application/json\r\n", body)
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    let response = rig.call(&chat(false)).await;
    assert!(response.contains("\"completion_tokens\":4"));
    let report = rig.end().await;
    assert_eq!(report.cost, 7);
    assert_eq!(
        report.first_byte, None,
        "a complete response has no time to the first token"
    );
}

#[tokio::test]
async fn plain_requests_reuse_one_connection() {
    let backend = Backend::responding(|req| {
        let line = req.head.lines().next().unwrap_or_default().to_owned();
        req.response(
            "201 Created",
            "x-shop: thies\r\n",
            &format!("{line}|{}", req.body),
        )
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    for _ in 0..3 {
        let path = format!("/services/{PLAIN}/scores/a%2Fb?game=7");
        let response = rig.call(&request("PUT", &path, "", "42")).await;
        assert!(response.starts_with("HTTP/1.1 201 Created"), "{response}");
        assert!(response.contains("x-shop: thies"));
        assert!(
            response.ends_with("PUT /scores/a%2Fb?game=7 HTTP/1.1|42"),
            "{response}"
        );
        assert_eq!(rig.end().await.outcome, EndOutcome::Complete);
    }
    let received = backend.received.lock().unwrap().clone();
    assert!(
        received
            .iter()
            .all(|req| req.header("authorization").is_none())
    );
    assert!(
        received
            .iter()
            .all(|req| req.header("connection").is_none())
    );
    assert_eq!(*backend.connections.lock().unwrap(), 1);
}

#[tokio::test]
async fn models_are_listed() {
    let rig = Rig::start(vec![]).await;
    let response = rig.call(&request("GET", "/v1/models", "", "")).await;
    assert!(response.contains(MODEL), "{response}");
    assert!(!response.contains(PLAIN));
}

#[tokio::test]
async fn prefix_depends_on_the_workspace_and_the_start_of_the_prompt_only() {
    let long = "s".repeat(300);
    let bodies = [
        format!(
            r#"{{"model":"{MODEL}","messages":[{{"role":"system","content":"{long}"}},{{"content":"a"}}]}}"#
        ),
        format!(
            r#"{{"messages":[{{"content":"{long}x","role":"system"}},{{"content":"b"}}],"model":"{MODEL}"}}"#
        ),
        format!(
            r#"{{"model":"{MODEL}","messages":[{{"content":[{{"type":"text","text":"{long}"}}]}}]}}"#
        ),
        format!(r#"{{"model":"{MODEL}","prompt":"{long}"}}"#),
        format!(r#"{{"model":"{MODEL}","prompt":["{long}"]}}"#),
        format!(r#"{{"model":"{MODEL}","prompt":"s\n"}}"#),
        format!(r#"{{"model":"{MODEL}","prompt":[[1,2]]}}"#),
    ];
    let mut rig = Rig::start(vec![]).await;
    let mut prefixes = Vec::new();
    let mut callers = Vec::new();
    for body in bodies {
        callers.push(
            rig.open(&request("POST", "/v1/completions", "", &body))
                .await,
        );
        let ControlCall::Submit(spec) = rig.next().await else {
            panic!("the gateway did not submit the request");
        };
        prefixes.push(spec.prefix);
    }
    assert!(
        prefixes[..5].iter().all(|prefix| *prefix == prefixes[0]),
        "{prefixes:?}"
    );
    assert_ne!(prefixes[5], prefixes[0]);
    assert_eq!(prefixes[6], 0);
}

async fn next_spec(rig: &mut Rig) -> RequestSpec {
    loop {
        if let ControlCall::Submit(spec) = rig.next().await {
            return spec;
        }
    }
}

#[tokio::test]
async fn estimates_follow_measured_costs() {
    let backend = Backend::responding(|req| {
        let body = r#"{"usage":{"prompt_tokens":20,"completion_tokens":80}}"#;
        req.response("200 OK", "content-type: application/json\r\n", body)
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    let body = format!("{{\"model\":\"{MODEL}\",\"prompt\":\"offside?\"}}");
    let text = request("POST", "/v1/completions", "", &body);
    let prompt = body.len() as u64 / 4;
    rig.call(&text).await;
    assert_eq!(next_spec(&mut rig).await.estimate, prompt + 256);
    rig.call(&text).await;
    assert_eq!(next_spec(&mut rig).await.estimate, 100);

    let text = request("GET", &format!("/services/{PLAIN}/standings"), "", "");
    rig.call(&text).await;
    assert_eq!(next_spec(&mut rig).await.estimate, 5_000);
    let cost = rig.end().await.cost;
    rig.call(&text).await;
    assert_eq!(next_spec(&mut rig).await.estimate, cost);
}
