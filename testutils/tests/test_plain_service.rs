//! Tests of the stand-in plain service: recorded executions, limit and injected faults.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_testutils::ExecutionOutcome;
use cardamomshift_testutils::PlainProfile;
use cardamomshift_testutils::PlainService;
use cardamomshift_testutils::ResponseFault;
use common::TestResponse;
use common::any_port;
use common::call;
use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

async fn run(at: SocketAddr, operation: &str) -> Result<TestResponse, String> {
    let headers = [("x-operation", operation), ("x-request-id", "r1")];
    call(at, "POST", "/scores", &headers, "42").await
}

#[tokio::test]
async fn executions_are_counted_by_operation() {
    let service = PlainService::start(any_port());
    let at = service.address();
    assert_eq!(run(at, "a").await.expect("response").json()["times"], 1);
    let second = run(at, "a").await.expect("response");
    assert_eq!(second.json()["times"], 2);
    assert_eq!(second.header("x-request-id"), "r1");
    let executions = service.handle().executions();
    assert_eq!(executions.len(), 2);
    assert_eq!(executions[0].outcome, ExecutionOutcome::Complete);
    assert!(executions[0].end >= Some(executions[0].start));
}

#[tokio::test]
async fn full_service_runs_nothing_more() {
    let profile = PlainProfile {
        latency: Duration::from_secs(60),
        limit: 1,
    };
    let service = PlainService::start_with(any_port(), profile);
    let at = service.address();
    let handle = service.handle();
    let first = tokio::spawn(run(at, "a"));
    while handle.running() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let refused = run(at, "b").await.expect("response");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header("x-not-run"), "true");
    assert_eq!(refused.header("x-request-id"), "r1");
    first.abort();
    while handle.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let executions = handle.executions();
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].outcome, ExecutionOutcome::ClientDisconnected);
    assert_eq!(handle.refused(), 1);
}

#[tokio::test]
async fn response_faults_reach_the_client() {
    let service = PlainService::start(any_port());
    let handle = service.handle();
    let at = service.address();
    for fault in [
        ResponseFault::Lost,
        ResponseFault::Truncated,
        ResponseFault::Malformed,
    ] {
        handle.inject(fault, 1);
        assert!(run(at, "a").await.is_err(), "{fault:?}");
    }
    handle.inject(ResponseFault::Mismatched, 1);
    let mismatched = run(at, "a").await.expect("response");
    assert_eq!(mismatched.header("x-request-id"), "crossed");
    assert_eq!(handle.executions().len(), 4);
    handle.inject(ResponseFault::Unavailable, 1);
    let refused = run(at, "a").await.expect("response");
    assert_eq!(refused.header("x-not-run"), "true");
    assert_eq!(handle.executions().len(), 4);
}

#[tokio::test]
async fn surplus_bytes_follow_the_response() {
    let service = PlainService::start(any_port());
    service.handle().inject(ResponseFault::Surplus, 1);
    let mut stream = tokio::net::TcpStream::connect(service.address())
        .await
        .expect("connection");
    stream
        .write_all(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .expect("request");
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\nsurplus") {
        let mut buf = [0; 1024];
        let count = stream.read(&mut buf).await.expect("response");
        assert_ne!(
            count, 0,
            "connection ended before the surplus bytes: {seen:?}"
        );
        seen.extend_from_slice(&buf[..count]);
    }
    let text = String::from_utf8(seen).expect("received bytes as text");
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"));
    let own = text.find("body_bytes").expect("own response");
    let surplus = text.rfind("HTTP/1.1 200 OK").expect("surplus response");
    assert!(own < surplus);
}

#[tokio::test]
async fn address_is_free_after_drop() {
    let service = PlainService::start(any_port());
    let at = service.address();
    run(at, "a").await.expect("response");
    drop(service);
    let service = PlainService::start(at);
    run(at, "a").await.expect("response");
    assert_eq!(service.handle().executions().len(), 1);
}
