//! Stand-in for a plain service, that is a backend server that is not a model engine.
//!
//! A request with any method and path runs one operation, named by the header `x-operation`. The
//! response is JSON with the name and how many times that operation has run so far, so that a test
//! can detect an operation that ran twice. Above its limit of operations at once the service runs
//! nothing and responds with status 503 and `x-not-run: true`.

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
use state::RunningOperation;
use state::Shared;

use crate::fault::FaultQueue;
use crate::fault::MALFORMED_BYTES;
use crate::fault::ResponseFault;
use crate::fault::SURPLUS_BYTES;
use crate::server::ByteInjector;
use crate::server::ConnectionBroken;
use crate::server::Connections;
use crate::server::HandlerResult;
use crate::server::ResponseBody;
use crate::server::Server;
use crate::server::echo_request_id;
use crate::server::header;
use crate::server::reply;
use crate::server::truncated;

/// A stand-in plain service that runs until it is dropped.
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
    /// Panics if the address cannot be bound.
    pub fn start(addr: SocketAddr) -> Self {
        Self::start_with(addr, PlainProfile::default())
    }

    /// Starts a service.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn start_with(addr: SocketAddr, profile: PlainProfile) -> Self {
        let shared = Arc::new(Shared::new(profile));
        let faults = Arc::new(FaultQueue::default());
        let handler_state = (Arc::clone(&shared), Arc::clone(&faults));
        let server = Server::start(addr, move |req, injector| {
            let (shared, faults) = handler_state.clone();
            let id = header(&req, "x-request-id");
            let result = async move {
                let result = handle_request(shared, faults, req, injector).await;
                echo_request_id(result, id.as_deref())
            };
            Box::pin(result) as BoxFuture<'static, HandlerResult>
        });
        let handle = PlainServiceHandle {
            shared,
            faults,
            connections: server.connections(),
        };
        Self { server, handle }
    }

    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle that controls the service and reads its records.
    pub fn handle(&self) -> PlainServiceHandle {
        self.handle.clone()
    }
}

/// Handle of a [`PlainService`]; clones control the same service.
#[derive(Clone, Debug)]
pub struct PlainServiceHandle {
    shared: Arc<Shared>,
    faults: Arc<FaultQueue>,
    connections: Arc<Connections>,
}

impl PlainServiceHandle {
    /// Injects a fault into the next `count` responses.
    pub fn inject(&self, fault: ResponseFault, count: usize) {
        self.faults.push(fault, count);
    }

    /// Breaks every connection and changes the instance name, as a restart does. Operations that
    /// were running count as run.
    pub fn restart(&self) {
        self.shared.restart();
        self.connections.abort_all();
    }

    /// Operations that were started so far, oldest first.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions()
    }

    /// Operations running now.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Requests refused so far because the service was at its limit.
    pub fn refused(&self) -> u64 {
        self.shared.refused()
    }
}

async fn handle_request(
    shared: Arc<Shared>,
    faults: Arc<FaultQueue>,
    req: Request<Incoming>,
    injector: Arc<ByteInjector>,
) -> HandlerResult {
    let fault = faults.pop();
    let request_id = header(&req, "x-request-id");
    if fault == Some(ResponseFault::Unavailable) {
        return Ok(not_run_response());
    }
    let operation = header(&req, "x-operation").unwrap_or_default();
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let Ok(body) = req.into_body().collect().await else {
        return Err(ConnectionBroken);
    };
    let Some(running) = shared.start_operation(&operation, request_id.as_deref(), &method, &path)
    else {
        return Ok(not_run_response());
    };
    let latency = shared.latency();
    // Even a sleep of zero length would wait for the next tick of the timer.
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    let text = serde_json::json!({
        "operation": operation,
        "times": running.run_count(),
        "method": method,
        "path": path,
        "body_bytes": body.to_bytes().len(),
    })
    .to_string();
    respond(running, text, fault, &injector).await
}

async fn respond(
    running: RunningOperation,
    text: String,
    fault: Option<ResponseFault>,
    injector: &ByteInjector,
) -> HandlerResult {
    let instance = running.instance().to_owned();
    running.end();
    let mut response = match fault {
        Some(ResponseFault::Lost) => return Err(ConnectionBroken),
        Some(ResponseFault::ServerError) => reply(StatusCode::INTERNAL_SERVER_ERROR, "error"),
        Some(ResponseFault::Truncated | ResponseFault::EndsEarly) => truncated(&text),
        _ => reply(StatusCode::OK, text),
    };
    match fault {
        Some(ResponseFault::Late(delay)) => tokio::time::sleep(delay).await,
        Some(ResponseFault::Mismatched) => {
            response = reply(StatusCode::OK, "{\"operation\":\"crossed\",\"times\":1}");
            let id = "crossed".parse().expect("identifier as header value");
            response.headers_mut().insert("x-request-id", id);
        }
        Some(ResponseFault::Malformed) => injector.inject_before(MALFORMED_BYTES),
        Some(ResponseFault::Surplus) => injector.inject_after(SURPLUS_BYTES),
        _ => {}
    }
    let headers = response.headers_mut();
    headers.insert(
        "x-instance",
        instance.parse().expect("instance as header value"),
    );
    let content_type = "application/json".parse().expect("content type");
    headers.insert(hyper::header::CONTENT_TYPE, content_type);
    Ok(response)
}

fn not_run_response() -> Response<ResponseBody> {
    let mut response = reply(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let value = "true".parse().expect("header value");
    response.headers_mut().insert("x-not-run", value);
    response
}
