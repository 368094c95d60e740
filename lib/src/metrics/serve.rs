//! HTTP listener for metrics and health checks.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use tokio::net::TcpListener;

use super::registry::Metrics;
use crate::control::ControlHandle;
use crate::gateway::PortLimits;
use crate::gateway::serve_port;

/// Media type of the Prometheus text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Limits on the connections.
const LIMITS: PortLimits = PortLimits {
    connections: 32,
    head_timeout: Duration::from_secs(30),
};

/// State shared by all handlers.
#[derive(Clone)]
struct HandlerState {
    metrics: Arc<Metrics>,
    control: ControlHandle,
}

/// Serves `/metrics`, `/livez` and `/readyz` until the task is dropped.
///
/// The host is ready (`/readyz`) while it has a configuration and is not stopping. It is alive
/// (`/livez`) while it responds at all.
pub async fn serve(listener: TcpListener, metrics: Arc<Metrics>, control: ControlHandle) {
    let router = Router::new()
        .route("/metrics", get(get_metrics))
        .route("/livez", get(get_liveness))
        .route("/readyz", get(get_readiness))
        .with_state(HandlerState { metrics, control });
    serve_port(listener, router, LIMITS).await;
}

async fn get_metrics(State(state): State<HandlerState>) -> Response {
    match state.metrics.text() {
        Ok(text) => ([(header::CONTENT_TYPE, TEXT_FORMAT)], text).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn get_liveness() -> &'static str {
    "alive\n"
}

async fn get_readiness(State(state): State<HandlerState>) -> Response {
    let view = state.control.view();
    let reason = match (&view.configuration, view.stopping) {
        (_, true) => "stopping\n",
        (None, false) => "no configuration\n",
        (Some(_), false) => return "ready\n".into_response(),
    };
    (StatusCode::SERVICE_UNAVAILABLE, reason).into_response()
}
