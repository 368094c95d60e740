//! Metrics and health checks.

mod common;

use std::sync::Arc;

use cardamomshift_lib::control::ControlHandle;
use cardamomshift_lib::control::FleetView;
use cardamomshift_lib::gateway::ErrorCode;
use cardamomshift_lib::metrics::Fault;
use cardamomshift_lib::metrics::Metrics;
use cardamomshift_lib::metrics::serve;
use common::Backend;
use common::MODEL;
use common::Rig;
use common::chat;
use common::chunk;
use common::metrics_text;
use common::order;
use common::read_to_end;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

#[tokio::test]
async fn stream_is_measured_for_its_workspace_and_class() {
    let backend = Backend::answering(|req| {
        let event = chunk("data: {\"choices\":[]}\n\n");
        let done = chunk("data: [DONE]\n\n");
        format!("{}{event}{event}{event}{done}0\r\n\r\n", req.stream_head())
    })
    .await;
    let mut rig = Rig::start(vec![order(backend.address)]).await;
    rig.call(&chat(true)).await;
    rig.end().await;
    let text = metrics_text(&rig.metrics);
    for name in ["queue_wait_seconds", "first_byte_seconds", "answer_seconds"] {
        let line = format!("cardamomshift_{name}_count{{class=\"live\",workspace=\"bern\"}} 1");
        assert!(text.contains(&line), "{line} in {text}");
    }
    let line = "cardamomshift_between_tokens_seconds_count{class=\"live\",workspace=\"bern\"} 2";
    assert!(text.contains(line), "{text}");
    assert!(!text.contains(MODEL));
}

#[test]
fn label_pairs_are_limited() {
    let metrics = Metrics::new().unwrap();
    for n in 0..3000 {
        let histograms = metrics.request_histograms(&format!("workspace-{n}"), "live");
        histograms.queue_wait.observe(0.1);
    }
    let text = metrics_text(&metrics);
    let series = text
        .lines()
        .filter(|line| line.starts_with("cardamomshift_queue_wait_seconds_count"))
        .count();
    assert_eq!(series, 2049, "2,048 pairs and one series for the others");
    let rest = "cardamomshift_queue_wait_seconds_count{class=\"other\",workspace=\"other\"} 952";
    assert!(text.contains(rest));
}

#[test]
fn every_error_code_and_fault_starts_with_a_counter() {
    let metrics = Metrics::new().unwrap();
    metrics.count_fault(Fault::Crossed);
    metrics.count_refusal(ErrorCode::QueueFull);
    let text = metrics_text(&metrics);
    for code in ErrorCode::ALL {
        let value = u8::from(*code == ErrorCode::QueueFull);
        let line = format!("refusals_total{{code=\"{}\"}} {value}", code.as_str());
        assert!(text.contains(&line), "{line}");
    }
    assert!(text.contains("backend_faults_total{fault=\"crossed\"} 1"));
    assert!(text.contains("backend_faults_total{fault=\"late\"} 0"));
}

#[test]
fn error_codes_match_their_serialized_form() {
    for code in ErrorCode::ALL {
        let text = serde_json::to_string(code).unwrap();
        assert_eq!(text, format!("\"{}\"", code.as_str()));
    }
}

#[test]
fn counters_and_gauges_are_registered_by_name() {
    let metrics = Metrics::new().unwrap();
    metrics
        .counter("cold_returns_total", "Cold.")
        .unwrap()
        .inc();
    metrics
        .counter("cold_returns_total", "Cold.")
        .unwrap()
        .inc();
    metrics
        .gauge("config_revision", "Revision.")
        .unwrap()
        .set(7);
    let text = metrics_text(&metrics);
    assert!(text.contains("cardamomshift_cold_returns_total 2"));
    assert!(text.contains("cardamomshift_config_revision 7"));
    assert!(metrics.gauge("cold_returns_total", "Taken.").is_err());
}

async fn get(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!("GET {path} HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

#[tokio::test]
async fn readiness_needs_a_configuration_and_no_stop() {
    let (tx, _rx) = mpsc::unbounded_channel();
    let (view, view_rx) = watch::channel(Arc::new(FleetView::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let metrics = Arc::new(Metrics::new().unwrap());
    tokio::spawn(serve(listener, metrics, ControlHandle::new(tx, view_rx)));

    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 503 "));
    view.send_replace(Arc::new(common::view()));
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 200 "));
    view.send_replace(Arc::new(FleetView {
        stopping: true,
        ..common::view()
    }));
    assert!(get(address, "/readyz").await.starts_with("HTTP/1.1 503 "));
    assert!(get(address, "/livez").await.starts_with("HTTP/1.1 200 "));
    assert!(
        get(address, "/metrics")
            .await
            .contains("cardamomshift_retries_total 0")
    );
}
