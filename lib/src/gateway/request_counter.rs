//! Counts the requests of one HTTP/1 connection. The timeout for a request head applies only while
//! a head is arriving: the counter distinguishes that from an idle connection and from a running
//! request.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use axum::Router;
use axum::body::Body;
use axum::body::HttpBody;
use axum::http::Request;
use axum::http::Response;
use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;

/// Numbers of started and finished requests of one connection.
#[derive(Debug)]
pub(crate) struct RequestCounter {
    started: AtomicU64,
    finished: AtomicU64,
    /// Last number that was given out in the order in which all connections became idle.
    idle_order: Arc<AtomicU64>,
    /// Number of this connection in that order.
    idle_since: AtomicU64,
}

impl RequestCounter {
    /// Counter of a new connection, which is idle until its first request. `idle_order` is shared
    /// by all connections.
    pub(crate) fn new(idle_order: Arc<AtomicU64>) -> Self {
        Self {
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            idle_since: AtomicU64::new(idle_order.fetch_add(1, Ordering::AcqRel)),
            idle_order,
        }
    }

    /// Position of the connection in the order in which all connections became idle.
    pub(crate) fn idle_since(&self) -> u64 {
        self.idle_since.load(Ordering::Acquire)
    }

    /// Number of requests whose head has arrived completely.
    pub(crate) fn started(&self) -> u64 {
        self.started.load(Ordering::Acquire)
    }

    /// Whether every request has finished, so that the next bytes start a new head.
    pub(crate) fn is_idle(&self) -> bool {
        self.finished.load(Ordering::Acquire) == self.started()
    }
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlight(Arc<RequestCounter>);

impl InFlight {
    pub(crate) fn start(counter: Arc<RequestCounter>) -> Self {
        counter.started.fetch_add(1, Ordering::AcqRel);
        Self(counter)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let order = self.0.idle_order.fetch_add(1, Ordering::AcqRel);
        self.0.idle_since.store(order, Ordering::Release);
        self.0.finished.fetch_add(1, Ordering::AcqRel);
    }
}

/// The router, with a counter for the requests of one connection.
pub(crate) struct CountingRouter {
    pub(crate) router: TowerToHyperService<Router>,
    pub(crate) counter: Arc<RequestCounter>,
}

impl Service<Request<Incoming>> for CountingRouter {
    type Response = Response<CountingBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let in_flight = InFlight::start(self.counter.clone());
        let response = self.router.call(req);
        Box::pin(async move {
            let response = response.await?;
            Ok(response.map(|body| CountingBody { body, in_flight }))
        })
    }
}

/// Response body that keeps its request in flight until it is dropped.
pub(crate) struct CountingBody {
    body: Body,
    #[expect(dead_code, reason = "held for its drop")]
    in_flight: InFlight,
}

impl HttpBody for CountingBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
