//! Authentication, limits on callers, and error responses of the gateway.

mod common;

use std::sync::Arc;

use cardamomshift_lib::control::FleetView;
use cardamomshift_lib::control::Verdict;
use cardamomshift_lib::message::RefusalReason;
use cardamomshift_lib::settings::LimitSettings;
use common::Backend;
use common::ControlCall;
use common::KEY;
use common::MODEL;
use common::OTHER_KEY;
use common::PLAIN;
use common::Rig;
use common::chat;
use common::metrics_text;
use common::order;
use common::read_to_end;
use common::read_until;
use common::request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn post() -> String {
    request("POST", &format!("/services/{PLAIN}/book"), "", "two")
}

async fn limited(limits: LimitSettings) -> Rig {
    Rig::with(vec![], limits, common::view()).await
}

fn assert_refused(response: &str, status: u16, code: &str) {
    let status_line = response.lines().next().unwrap_or_default();
    assert!(status_line.contains(&format!(" {status} ")), "{response}");
    assert!(
        response.contains(&format!("\"code\":\"{code}\"")),
        "{response}"
    );
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert!(response.contains("x-request-id: "), "{response}");
}

#[tokio::test]
async fn requests_without_a_valid_key_are_refused() {
    let mut rig = Rig::start(vec![]).await;
    let with_key = |key: &str| post().replace(KEY, key);
    let cases = [
        (post().replace("Bearer ", "Basic "), 401, "missing_key"),
        (with_key(""), 401, "missing_key"),
        (with_key("wrong"), 401, "unknown_key"),
        (with_key("key-of-bern-and-more"), 401, "unknown_key"),
        (with_key("key-of-closed"), 403, "workspace_disabled"),
    ];
    for (text, status, code) in cases {
        assert_refused(&rig.call(&text).await, status, code);
    }
    assert!(
        rig.control_calls.try_recv().is_err(),
        "no refused request may be submitted"
    );
    let text = metrics_text(&rig.metrics);
    assert!(text.contains("cardamomshift_refusals_total{code=\"unknown_key\"} 2"));
    assert!(!text.contains(KEY));
}

#[tokio::test]
async fn malformed_requests_are_refused() {
    let rig = Rig::start(vec![]).await;
    let model = |body: &str| request("POST", "/v1/completions", "", body);
    let to = |method: &str, path: &str| request(method, path, "", "");
    let classed = |class: &str| {
        let field = format!("x-cardamomshift-class: {class}\r\n");
        request("POST", &format!("/services/{PLAIN}/book"), &field, "")
    };
    let cases = [
        (model("{\"model\":"), 400, "malformed_request"),
        (model("{\"prompt\":\"x\"}"), 400, "malformed_request"),
        (model("{\"model\":\"ledger\"}"), 404, "unknown_service"),
        (model("{\"model\":\"other\"}"), 404, "unknown_service"),
        (to("POST", "/services/other/x"), 404, "unknown_service"),
        (
            to("GET", &format!("/services/{MODEL}/x")),
            404,
            "unknown_service",
        ),
        (to("GET", "/elsewhere"), 404, "not_found"),
        (to("GET", "/v1/completions"), 405, "method_not_allowed"),
        (classed("other"), 400, "unknown_class"),
        (
            post().replace("HTTP/1.1", "HTTP/1.0"),
            505,
            "version_not_supported",
        ),
    ];
    for (text, status, code) in cases {
        assert_refused(&rig.call(&text).await, status, code);
    }
}

#[tokio::test]
async fn requests_are_refused_without_a_configuration() {
    let rig = Rig::with(vec![], common::limits(), FleetView::default()).await;
    let response = rig.call(&post()).await;
    assert_refused(&response, 503, "not_configured");
    assert!(response.contains("retry-after: 1\r\n"));
}

#[tokio::test]
async fn new_configuration_disables_a_workspace() {
    let backend = Backend::responding(|req| req.response("200 OK", "", "booked")).await;
    let rig = Rig::start(vec![order(backend.address)]).await;
    assert!(rig.call(&post()).await.ends_with("booked"));
    let mut view = common::view();
    let mut configuration = (*view.configuration.unwrap()).clone();
    configuration.workspaces[0].enabled = false;
    view.configuration = Some(Arc::new(configuration));
    rig.view.send_replace(Arc::new(view));
    assert_refused(&rig.call(&post()).await, 403, "workspace_disabled");
}

#[tokio::test]
async fn deadline_comes_from_the_class() {
    let mut rig = Rig::start(vec![]).await;
    let mut deadlines = Vec::new();
    let mut callers = Vec::new();
    for field in ["", "x-cardamomshift-class: batch\r\n"] {
        let path = format!("/services/{PLAIN}/book");
        callers.push(rig.open(&request("POST", &path, field, "")).await);
        let ControlCall::Submit(spec) = rig.next().await else {
            panic!("the gateway did not submit the request");
        };
        deadlines.push(spec.deadline);
    }
    let apart = deadlines[1].since(deadlines[0]);
    assert!(
        apart.as_secs() >= 40,
        "classes have targets of 20 and 60 s, but deadlines are {apart:?} apart"
    );
}

#[tokio::test]
async fn scheduler_refusals_have_status_and_retry_after() {
    let cases = [
        (RefusalReason::QueueFull, 429, "queue_full"),
        (
            RefusalReason::DeadlineUnreachable,
            429,
            "deadline_unreachable",
        ),
        (RefusalReason::DeadlinePassed, 429, "deadline_passed"),
        (RefusalReason::NoServer, 503, "no_server"),
        (RefusalReason::NoScheduler, 503, "no_scheduler"),
        (RefusalReason::Stopping, 503, "stopping"),
    ];
    for (reason, status, code) in cases {
        let retry_after = std::time::Duration::from_millis(400);
        let verdict = Verdict::Refuse {
            reason,
            retry_after,
        };
        let rig = Rig::start(vec![verdict]).await;
        let response = rig.call(&post()).await;
        assert_refused(&response, status, code);
        assert!(response.contains("retry-after: 1\r\n"), "{response}");
        assert!(response.contains("\"retry_after_ms\":400"), "{response}");
    }
}

#[tokio::test]
async fn request_without_a_verdict_is_refused_at_its_deadline() {
    let mut view = common::view();
    let mut configuration = (*view.configuration.unwrap()).clone();
    configuration.classes[0].target_ms = 20;
    view.configuration = Some(Arc::new(configuration));
    let rig = Rig::with(vec![], common::limits(), view).await;
    assert_refused(&rig.call(&post()).await, 429, "deadline_passed");
}

#[tokio::test]
async fn waiting_requests_of_a_workspace_are_bounded() {
    let mut rig = limited(LimitSettings {
        waiting_per_workspace: 2,
        ..common::limits()
    })
    .await;
    let mut callers = Vec::new();
    for _ in 0..2 {
        callers.push(rig.open(&post()).await);
        assert!(matches!(rig.next().await, ControlCall::Submit(_)));
    }
    assert_refused(&rig.call(&post()).await, 429, "queue_full");
    callers.pop();
    assert_eq!(rig.next().await, ControlCall::Abandon);
    callers.push(rig.open(&post()).await);
    assert!(
        matches!(rig.next().await, ControlCall::Submit(_)),
        "the waiting slot must be free again"
    );
}

#[tokio::test]
async fn large_and_slow_bodies_are_refused() {
    let rig = limited(LimitSettings {
        body_bytes: 100,
        body_timeout_ms: 300,
        ..common::limits()
    })
    .await;
    let path = format!("/services/{PLAIN}/book");
    let large = request("POST", &path, "", &"x".repeat(101));
    assert_refused(&rig.call(&large).await, 413, "body_too_large");
    let slow = post().replace("content-length: 3", "content-length: 30");
    assert_refused(&rig.call(&slow).await, 408, "body_timeout");
}

/// Guards against a limit on each body without one on their sum.
#[tokio::test]
async fn bodies_that_stop_short_leave_memory_for_others() {
    let mut rig = limited(LimitSettings {
        body_bytes: 10_000,
        held_body_bytes: 40_000,
        body_timeout_ms: 5_000,
        ..common::limits()
    })
    .await;
    let path = format!("/services/{PLAIN}/book");
    let announced = request("POST", &path, "", &"x".repeat(10_000));
    let part = &announced[..announced.len() - 1];
    let mut open = Vec::new();
    for _ in 0..2 {
        open.push(rig.open(part).await);
    }
    let mut refused = String::new();
    // The bodies above may not have arrived at first.
    for _ in 0..100 {
        refused = rig.call(part).await;
        if refused.starts_with("HTTP/1.1 503 ") {
            break;
        }
    }
    assert_refused(&refused, 503, "host_memory");
    let _other = rig.open(&post().replace(KEY, OTHER_KEY)).await;
    assert!(matches!(rig.next().await, ControlCall::Submit(_)));
}

#[tokio::test]
async fn large_and_slow_heads_are_refused() {
    let rig = limited(LimitSettings {
        header_bytes: 8192,
        header_timeout_ms: 300,
        ..common::limits()
    })
    .await;
    let field = format!("x-long: {}\r\n", "y".repeat(9000));
    let path = format!("/services/{PLAIN}/book");
    let response = rig.call(&request("POST", &path, &field, "")).await;
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    for start in [
        "",
        "P",
        "PRI * HTTP/2.0\r\n",
        "GET /v1/models HTTP/1.1\r\nhost: fl",
    ] {
        let response = rig.call(start).await;
        assert!(
            response.starts_with("HTTP/1.1 408 "),
            "{start:?}: {response:?}"
        );
    }
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused_at_once() {
    let release = Arc::new(tokio::sync::Notify::new());
    let wait = release.clone();
    let backend = Backend::start(move |req, mut stream| {
        let wait = wait.clone();
        Box::pin(async move {
            wait.notified().await;
            let text = req.response("200 OK", "", "booked");
            stream.write_all(text.as_bytes()).await.ok()?;
            Some(stream)
        })
    })
    .await;
    let limits = LimitSettings {
        connections: 1,
        ..common::limits()
    };
    let rig = Rig::with(vec![order(backend.address)], limits, common::view()).await;
    let mut first = rig.open(&post().replace("connection: close\r\n", "")).await;
    while backend.runs() == 0 {
        tokio::task::yield_now().await;
    }
    let mut second = TcpStream::connect(rig.address).await.unwrap();
    let response = read_to_end(&mut second).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    release.notify_one();
    read_until(&mut first, "booked").await;
    drop(first);
    let text = request("GET", "/v1/models", "", "");
    let mut left = String::new();
    while !left.contains(MODEL) {
        // The connection slot is free once the gateway has detected that the first caller
        // disconnected.
        left = rig.call(&text).await;
    }
    while rig.metrics.connections.get() > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn connection_that_was_idle_for_longest_makes_room_for_a_new_one() {
    let rig = limited(LimitSettings {
        connections: 2,
        ..common::limits()
    })
    .await;
    let text = request("GET", "/v1/models", "", "").replace("connection: close\r\n", "");
    let mut first = rig.open(&text).await;
    read_until(&mut first, MODEL).await;
    let mut second = rig.open(&text).await;
    read_until(&mut second, MODEL).await;
    first.write_all(text.as_bytes()).await.unwrap();
    read_until(&mut first, MODEL).await;
    let mut third = rig.open(&text).await;
    read_until(&mut third, MODEL).await;
    // The second one is closed without an answer, the first one is still served.
    assert_eq!(read_to_end(&mut second).await, "");
    first.write_all(text.as_bytes()).await.unwrap();
    read_until(&mut first, MODEL).await;
}

#[tokio::test]
async fn http2_callers_are_served() {
    let backend = Backend::responding(|req| req.response("200 OK", "", &req.body)).await;
    let rig = Rig::start(vec![order(backend.address)]).await;
    let stream = TcpStream::connect(rig.address).await.unwrap();
    let (sender, driver) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(driver);
    let call = |n: usize| {
        let mut sender = sender.clone();
        let req = hyper::Request::post(format!("http://fleet/services/{PLAIN}/book"))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(bytes::Bytes::from(n.to_string())))
            .unwrap();
        async move {
            let response = sender.send_request(req).await.unwrap();
            let body = response.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(body, n.to_string().as_bytes());
        }
    };
    futures::future::join_all((0..20).map(call)).await;
    assert_eq!(backend.runs(), 20);
}

#[tokio::test]
async fn two_requests_on_one_connection_are_both_served() {
    let backend = Backend::responding(|req| {
        let body = r#"{"usage":{"prompt_tokens":1,"completion_tokens":1}}"#;
        req.response("200 OK", "content-type: application/json\r\n", body)
    })
    .await;
    let rig = Rig::start(vec![order(backend.address)]).await;
    let mut caller = rig
        .open(&chat(false).replace("connection: close\r\n", ""))
        .await;
    read_until(&mut caller, "usage").await;
    caller.write_all(chat(false).as_bytes()).await.unwrap();
    assert!(read_to_end(&mut caller).await.contains("usage"));
}

#[tokio::test]
async fn head_timeout_spares_idle_and_busy_connections() {
    let timeout = std::time::Duration::from_millis(100);
    let release = Arc::new(tokio::sync::Notify::new());
    let wait = release.clone();
    let backend = Backend::start(move |req, mut stream| {
        let wait = wait.clone();
        Box::pin(async move {
            wait.notified().await;
            let text = req.response("200 OK", "", "booked");
            stream.write_all(text.as_bytes()).await.ok()?;
            Some(stream)
        })
    })
    .await;
    let limits = LimitSettings {
        header_timeout_ms: 100,
        ..common::limits()
    };
    let rig = Rig::with(vec![order(backend.address)], limits, common::view()).await;
    let text = post().replace("connection: close\r\n", "");
    let mut caller = rig.open(&text).await;
    // Three times the head timeout passes twice: while a request runs and while the connection is
    // idle.
    tokio::time::sleep(3 * timeout).await;
    release.notify_one();
    read_until(&mut caller, "booked").await;
    tokio::time::sleep(3 * timeout).await;
    caller.write_all(text.as_bytes()).await.unwrap();
    release.notify_one();
    read_until(&mut caller, "booked").await;
    caller.write_all(&text.as_bytes()[..20]).await.unwrap();
    let response = read_to_end(&mut caller).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
}
