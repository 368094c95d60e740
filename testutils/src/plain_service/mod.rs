//! Stand-in for a plain service.
//!
//! Any method and path runs one operation, named by the header `x-operation`. The answer is JSON
//! with the operation and how many times it has run. Above its limit the service answers 503 with
//! `x-not-run: true` and runs nothing.

mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

pub use state::Execution;
pub use state::ExecutionOutcome;
pub use state::PlainProfile;
use state::Running;
use state::Shared;

use crate::fault::AnswerFault;
use crate::fault::FaultQueue;
use crate::fault::MALFORMED_BYTES;
use crate::fault::SURPLUS_BYTES;
use crate::server::ConnectionBroken;
use crate::server::Connections;
use crate::server::Reply;
use crate::server::ReplyBody;
use crate::server::Server;
use crate::server::Wire;
use crate::server::echo_id;
use crate::server::header;
use crate::server::reply;
use crate::server::truncated;

/// A plain service, serving until it is dropped.
#[derive(Debug)]
pub struct PlainService {
    server: Server,
    handle: PlainServiceHandle,
}

impl PlainService {
    /// Starts a service with the default profile.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be had.
    pub fn start(addr: SocketAddr) -> Self {
        Self::start_with(addr, PlainProfile::default())
    }

    /// Starts a service.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be had.
    pub fn start_with(addr: SocketAddr, profile: PlainProfile) -> Self {
        let shared = Arc::new(Shared::new(profile));
        let faults = Arc::new(FaultQueue::default());
        let of_handler = (Arc::clone(&shared), Arc::clone(&faults));
        let server = Server::start(addr, move |req, wire| {
            let (shared, faults) = of_handler.clone();
            let id = header(&req, "x-request-id");
            let reply = async move {
                let reply = handle_request(shared, faults, req, wire).await;
                echo_id(reply, id.as_deref())
            };
            Box::pin(reply) as BoxFuture<'static, Reply>
        });
        let handle = PlainServiceHandle {
            shared,
            faults,
            connections: server.connections(),
        };
        Self { server, handle }
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle that controls the service.
    pub fn handle(&self) -> PlainServiceHandle {
        self.handle.clone()
    }
}

/// Handle of a [`PlainService`].
#[derive(Clone, Debug)]
pub struct PlainServiceHandle {
    shared: Arc<Shared>,
    faults: Arc<FaultQueue>,
    connections: Arc<Connections>,
}

impl PlainServiceHandle {
    /// Gives the next `count` answers a fault.
    pub fn inject(&self, fault: AnswerFault, count: usize) {
        self.faults.push(fault, count);
    }

    /// Breaks every connection and starts a new instance. What was running has run.
    pub fn restart(&self) {
        self.shared.restart();
        self.connections.cut();
    }

    /// Operations that have begun to run, oldest first.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions()
    }

    /// Operations that run now.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Requests refused because the service was full.
    pub fn refused(&self) -> u64 {
        self.shared.refused()
    }
}

async fn handle_request(
    shared: Arc<Shared>,
    faults: Arc<FaultQueue>,
    req: Request<Incoming>,
    wire: Arc<Wire>,
) -> Reply {
    let fault = faults.pop();
    let request_id = header(&req, "x-request-id");
    if fault == Some(AnswerFault::Unavailable) {
        return Ok(not_run());
    }
    let operation = header(&req, "x-operation").unwrap_or_default();
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let Ok(body) = req.into_body().collect().await else {
        return Err(ConnectionBroken);
    };
    let Some(running) = shared.begin(&operation, request_id.as_deref(), &method, &path) else {
        return Ok(not_run());
    };
    let latency = shared.latency();
    // Even a sleep of no length waits for the next tick of the timer.
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    let text = serde_json::json!({
        "operation": operation,
        "times": running.times(),
        "method": method,
        "path": path,
        "body_bytes": body.to_bytes().len(),
    })
    .to_string();
    answer(running, text, fault, &wire).await
}

async fn answer(running: Running, text: String, fault: Option<AnswerFault>, wire: &Wire) -> Reply {
    let instance = running.instance().to_owned();
    running.end();
    let mut response = match fault {
        Some(AnswerFault::Lost) => return Err(ConnectionBroken),
        Some(AnswerFault::ServerError) => reply(StatusCode::INTERNAL_SERVER_ERROR, "error"),
        Some(AnswerFault::Truncated | AnswerFault::EndsEarly) => truncated(&text),
        _ => reply(StatusCode::OK, text),
    };
    match fault {
        Some(AnswerFault::Late(delay)) => tokio::time::sleep(delay).await,
        Some(AnswerFault::Crossed) => {
            response = reply(StatusCode::OK, "{\"operation\":\"crossed\",\"times\":1}");
            let id = "crossed".parse().expect("identifier as header");
            response.headers_mut().insert("x-request-id", id);
        }
        Some(AnswerFault::Malformed) => wire.write_before(MALFORMED_BYTES),
        Some(AnswerFault::Surplus) => wire.write_after(SURPLUS_BYTES),
        _ => {}
    }
    let headers = response.headers_mut();
    headers.insert("x-instance", instance.parse().expect("instance as header"));
    let kind = "application/json".parse().expect("content type");
    headers.insert(hyper::header::CONTENT_TYPE, kind);
    Ok(response)
}

fn not_run() -> Response<ReplyBody> {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let value = "true".parse().expect("header value");
    response.headers_mut().insert("x-not-run", value);
    response
}
