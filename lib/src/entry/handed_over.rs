//! Accepts links of other entry hosts of the failure domain, over which they hand requests over.
//!
//! The load is a workspace (customer) whose callers all come by one small host. That host hands requests
//! over, and this one serves them as if the callers had connected here.

use std::sync::Arc;

use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use hyper_util::rt::TokioIo;
use log::info;
use tokio::sync::mpsc::WeakSender;

use super::arrival;
use super::host::EntryHost;
use crate::gateway::AcceptedConnection;
use crate::gateway::HandedOver;
use crate::gateway::LINK_PATH;
use crate::gateway::LINK_PROTOCOL;

/// The route at which links are accepted. Their requests go to `accepted`.
pub(crate) fn router(host: &Arc<EntryHost>, accepted: WeakSender<AcceptedConnection>) -> Router {
    let (deciding_host, leaving_host) = (host.clone(), host.clone());
    let handed_over = HandedOver {
        accepted,
        refuse: Box::new(move |received| arrival::refuse_handed_over(&deciding_host, received)),
        is_leaving: Box::new(move || leaving_host.fleet().is_stopping()),
    };
    Router::new()
        .route(LINK_PATH, get(accept_link))
        .with_state(Arc::new(handed_over))
}

async fn accept_link(State(handed_over): State<Arc<HandedOver>>, req: Request) -> Response {
    if req.headers().get(header::UPGRADE) != Some(&LINK_PROTOCOL) {
        return StatusCode::UPGRADE_REQUIRED.into_response();
    }
    if (handed_over.is_leaving)() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let upgrade = hyper::upgrade::on(req);
    // Ends with the connection.
    tokio::spawn(async move {
        match upgrade.await {
            Ok(io) => handed_over.serve(TokioIo::new(io)).await,
            Err(err) => info!(target: "peer", reason = err.to_string(); "link not established"),
        }
    });
    let headers = [
        (
            header::CONNECTION,
            header::HeaderValue::from_static("upgrade"),
        ),
        (header::UPGRADE, LINK_PROTOCOL),
    ];
    (StatusCode::SWITCHING_PROTOCOLS, headers).into_response()
}
