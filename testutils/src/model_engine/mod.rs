//! Stand-in for a model engine, that is an inference server for a large language model.
//!
//! `POST /v1/chat/completions` and `/v1/completions` respond like the OpenAI API, as an event stream
//! or as one JSON body. Running requests share a batch: every step generates some tokens for each
//! of them, and a larger batch makes longer steps. `GET /load` returns the batch size as it was one
//! load lag ago ([`EngineProfile::load_lag`]).
//!
//! The engine starts cold: its limit of requests at once is low, and it is slower. It becomes warm
//! after a number of completions. It admits every request, and a cold engine that gets more
//! requests than its limit crashes: it loses all running requests and refuses new ones for a while.
//! So a test can check that the router under test (cardamomshift) respects limits that the engine
//! does not enforce itself.
//!
//! The response has `x_output_tokens` tokens, a field of the request that the router does not know,
//! or else `max_tokens`. The header `x-test-tag`, or else the field `user`, sets the tag of the
//! engine's record of the request.

mod batch;
mod profile;
mod record;
mod request;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use batch::Admission;
use batch::Batch;
pub use profile::EngineProfile;
pub use record::EngineOutcome;
pub use record::EngineRecord;
pub use record::OverloadViolation;
pub use record::TokenSample;
use request::Completion;
pub use response::response_nonce;
pub use response::token_text;

use crate::fault::FaultQueue;
use crate::fault::MALFORMED_BYTES;
use crate::fault::ResponseFault;
use crate::fault::SURPLUS_BYTES;
use crate::server::ByteInjector;
use crate::server::ConnectionBroken;
use crate::server::Connections;
use crate::server::HandlerResult;
use crate::server::Server;
use crate::server::echo_request_id;
use crate::server::header;
use crate::server::reply;
use crate::server::runtime;

/// A stand-in model engine that runs until it is dropped.
#[derive(Debug)]
pub struct ModelEngine {
    server: Server,
    handle: EngineHandle,
    stop: CancellationToken,
}

impl ModelEngine {
    /// Starts an engine with the default profile.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn start(addr: SocketAddr) -> Self {
        Self::start_with(addr, EngineProfile::default())
    }

    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn start_with(addr: SocketAddr, profile: EngineProfile) -> Self {
        let batch = Arc::new(Batch::new(profile));
        let faults = Arc::new(FaultQueue::default());
        let handler_state = (Arc::clone(&batch), Arc::clone(&faults));
        let server = Server::start(addr, move |req, injector| {
            let (batch, faults) = handler_state.clone();
            Box::pin(handle_request(batch, faults, req, injector))
                as BoxFuture<'static, HandlerResult>
        });
        let stop = CancellationToken::new();
        let steps = batch::run_steps(Arc::clone(&batch));
        let stopped = stop.clone();
        runtime().spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = steps => {}
            }
        });
        let handle = EngineHandle {
            batch,
            faults,
            connections: server.connections(),
        };
        Self {
            server,
            handle,
            stop,
        }
    }

    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle that controls the engine and reads its records.
    pub fn handle(&self) -> EngineHandle {
        self.handle.clone()
    }
}

impl Drop for ModelEngine {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Handle of a [`ModelEngine`]; clones control the same engine.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    batch: Arc<Batch>,
    faults: Arc<FaultQueue>,
    connections: Arc<Connections>,
}

impl EngineHandle {
    /// Injects a fault into the next `count` responses.
    pub fn inject(&self, fault: ResponseFault, count: usize) {
        self.faults.push(fault, count);
    }

    /// Makes the engine cold. Clients are not notified, and running requests continue.
    pub fn set_cold(&self) {
        self.batch.set_cold();
    }

    /// Makes the engine warm, as if it had completed [`EngineProfile::warm_after`] requests.
    pub fn set_warm(&self) {
        self.batch.set_warm();
    }

    /// Restarts the engine: it gets a new instance name and is cold, with an empty prefix cache.
    /// Connections break and running requests are lost.
    pub fn restart(&self) {
        self.batch.restart();
        self.connections.abort_all();
    }

    /// Whether the engine is warm.
    pub fn is_warm(&self) -> bool {
        self.batch.is_warm()
    }

    /// Requests in the batch now.
    pub fn running(&self) -> usize {
        self.batch.running()
    }

    /// Name of the current instance (one run of the engine, until its restart).
    pub fn instance(&self) -> String {
        self.batch.instance()
    }

    /// Requests admitted so far, in the order of admission.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.batch.records()
    }

    /// Requests so far that crashed the engine because it was cold and at its limit.
    pub fn violations(&self) -> Vec<OverloadViolation> {
        self.batch.violations()
    }

    /// Tokens generated so far, by time; empty unless [`EngineProfile::record_samples`] is set.
    pub fn samples(&self) -> Vec<TokenSample> {
        self.batch.samples()
    }

    /// Limits and speed of the engine.
    pub fn profile(&self) -> EngineProfile {
        self.batch.profile()
    }
}

async fn handle_request(
    batch: Arc<Batch>,
    faults: Arc<FaultQueue>,
    req: Request<Incoming>,
    injector: Arc<ByteInjector>,
) -> HandlerResult {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/load") => {
            let text = format!("{{\"running\":{}}}", batch.reported_load());
            Ok(reply(StatusCode::OK, text))
        }
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            let id = header(&req, "x-request-id");
            echo_request_id(complete(batch, faults, req, injector).await, id.as_deref())
        }
        _ => Ok(reply(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn complete(
    batch: Arc<Batch>,
    faults: Arc<FaultQueue>,
    req: Request<Incoming>,
    injector: Arc<ByteInjector>,
) -> HandlerResult {
    let completion = match Completion::read(req).await {
        Ok(completion) => completion,
        Err(text) => return Ok(reply(StatusCode::BAD_REQUEST, text)),
    };
    let fault = faults.pop();
    if fault == Some(ResponseFault::Unavailable) {
        return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "not ready"));
    }
    let sequence = match batch.admit(&completion) {
        Admission::Admitted(sequence) => sequence,
        Admission::Down => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "fell over")),
    };
    match fault {
        Some(ResponseFault::Late(delay)) => tokio::time::sleep(delay).await,
        Some(ResponseFault::Malformed) => injector.inject_before(MALFORMED_BYTES),
        Some(ResponseFault::Lost) => {
            sequence.run_to_end().await;
            return Err(ConnectionBroken);
        }
        Some(ResponseFault::ServerError) => {
            sequence.run_to_end().await;
            return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, "engine error"));
        }
        _ => {}
    }
    let trailing = (fault == Some(ResponseFault::Surplus)).then_some((injector, SURPLUS_BYTES));
    response::respond(completion, sequence, fault, trailing).await
}
