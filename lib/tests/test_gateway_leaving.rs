//! Callers that disconnect or stop reading, and the planned stop of a host.

mod common;

use std::sync::Arc;

use cardamomshift_lib::message::EndOutcome;
use cardamomshift_lib::settings::LimitSettings;
use common::Backend;
use common::ControlCall;
use common::PLAIN;
use common::Rig;
use common::chat;
use common::chunk;
use common::order;
use common::read_to_end;
use common::read_until;
use common::request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

fn post() -> String {
    request("POST", &format!("/services/{PLAIN}/book"), "", "two")
}

/// A backend server that streams events without end.
async fn endless_backend() -> Backend {
    Backend::start(|req, mut stream| {
        Box::pin(async move {
            let event = chunk(&format!("data: {}\n\n", "x".repeat(4000)));
            stream.write_all(req.stream_head().as_bytes()).await.ok()?;
            while stream.write_all(event.as_bytes()).await.is_ok() {}
            None
        })
    })
    .await
}

/// Limits that disconnect a caller after 100 ms without reading.
fn short_idle_timeout() -> LimitSettings {
    LimitSettings {
        idle_timeout_ms: 100,
        ..common::limits()
    }
}

#[tokio::test]
async fn disconnect_during_a_stream_cancels_it() {
    let disconnected = Arc::new(Notify::new());
    let signal = disconnected.clone();
    let backend = Backend::start(move |req, mut stream| {
        let signal = signal.clone();
        Box::pin(async move {
            let event = chunk("data: {\"choices\":[]}\n\n");
            let text = format!("{}{event}", req.stream_head());
            stream.write_all(text.as_bytes()).await.ok()?;
            let read = stream.read(&mut [0; 16]).await;
            assert!(
                matches!(read, Ok(0) | Err(_)),
                "the gateway must close the connection"
            );
            signal.notify_one();
            None
        })
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    let mut caller = rig.open(&chat(true)).await;
    read_until(&mut caller, "choices").await;
    drop(caller);
    disconnected.notified().await;
    let report = rig.end().await;
    assert_eq!(report.outcome, EndOutcome::Cancelled);
    assert!(report.cost > 0);
}

#[tokio::test]
async fn disconnect_before_the_response_cancels_the_request() {
    let arrived = Arc::new(Notify::new());
    let signal = arrived.clone();
    let backend = Backend::start(move |_, mut stream| {
        let signal = signal.clone();
        Box::pin(async move {
            signal.notify_one();
            let _ = stream.read(&mut [0; 16]).await;
            signal.notify_one();
            None
        })
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    let caller = rig.open(&post()).await;
    arrived.notified().await;
    drop(caller);
    arrived.notified().await;
    assert_eq!(rig.end().await.outcome, EndOutcome::Cancelled);
}

#[tokio::test]
async fn disconnect_while_queued_abandons_the_ticket() {
    let mut rig = Rig::start(vec![]).await;
    let caller = rig.open(&post()).await;
    assert!(matches!(rig.next().await, ControlCall::Submit(_)));
    drop(caller);
    assert_eq!(rig.next().await, ControlCall::Abandon);
}

#[tokio::test]
async fn planned_stop_lets_streams_finish() {
    let release = Arc::new(Notify::new());
    let wait = release.clone();
    let backend = Backend::start(move |req, mut stream| {
        let wait = wait.clone();
        Box::pin(async move {
            let event = chunk("data: {\"choices\":[]}\n\n");
            let text = format!("{}{event}", req.stream_head());
            stream.write_all(text.as_bytes()).await.ok()?;
            wait.notified().await;
            let end = format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n"));
            stream.write_all(end.as_bytes()).await.ok()?;
            Some(stream)
        })
    })
    .await;
    let rig = Rig::start(vec![order(backend.address)]).await;
    let keep_alive = chat(true).replace("connection: close\r\n", "");
    let mut caller = rig.open(&keep_alive).await;
    read_until(&mut caller, "choices").await;
    rig.stop.send(true).unwrap();
    release.notify_one();
    let rest = read_to_end(&mut caller).await;
    assert!(rest.ends_with("0\r\n\r\n"), "{rest}");
    rig.serving.await.unwrap();
}

#[tokio::test]
async fn caller_that_reads_nothing_is_disconnected() {
    let backend = endless_backend().await;
    let script = vec![order(backend.address)];
    let mut rig = Rig::with(script, short_idle_timeout(), common::view()).await;
    let caller = rig.open(&chat(true)).await;
    assert_eq!(rig.end().await.outcome, EndOutcome::Cancelled);
    drop(caller);
}

#[tokio::test]
async fn http2_stream_that_is_not_read_is_cancelled() {
    let backend = endless_backend().await;
    let script = vec![order(backend.address)];
    let mut rig = Rig::with(script, short_idle_timeout(), common::view()).await;
    let stream = tokio::net::TcpStream::connect(rig.address).await.unwrap();
    let (mut sender, driver) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(driver);
    let body = format!("{{\"model\":\"{}\",\"stream\":true}}", common::MODEL);
    let req = hyper::Request::post("http://fleet/v1/completions")
        .header("authorization", format!("Bearer {}", common::KEY))
        .body(Full::new(bytes::Bytes::from(body)))
        .unwrap();
    let response = sender.send_request(req).await.unwrap();
    assert_eq!(rig.end().await.outcome, EndOutcome::Cancelled);
    let rest = response.into_body().collect().await;
    assert!(rest.is_err(), "the stream must not end cleanly");
}

#[tokio::test]
async fn planned_stop_serves_connections_not_yet_accepted() {
    let backend = Backend::responding(|req| req.response("200 OK", "", "booked")).await;
    let rig = Rig::start(vec![order(backend.address)]).await;
    let mut callers = Vec::new();
    for _ in 0..20 {
        // The test runs on a single thread and does not await here, so the gateway cannot accept
        // any of these connections yet.
        let mut caller = std::net::TcpStream::connect(rig.address).unwrap();
        std::io::Write::write_all(&mut caller, post().as_bytes()).unwrap();
        caller.set_nonblocking(true).unwrap();
        callers.push(tokio::net::TcpStream::from_std(caller).unwrap());
    }
    rig.stop.send(true).unwrap();
    for mut caller in callers {
        let response = read_to_end(&mut caller).await;
        assert!(response.ends_with("booked"), "{response}");
    }
    rig.serving.await.unwrap();
}
