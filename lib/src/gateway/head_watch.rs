//! Tells a caller that sends the head of a request slowly from one that has nothing to send.

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

/// Counts the requests of one connection.
#[derive(Debug, Default)]
pub(crate) struct HeadWatch {
    begun: AtomicU64,
    ended: AtomicU64,
}

impl HeadWatch {
    /// Requests whose head has arrived.
    pub(crate) fn begun(&self) -> u64 {
        self.begun.load(Ordering::Acquire)
    }

    /// Whether every request has been answered, so that what arrives now starts the next head.
    pub(crate) fn is_idle(&self) -> bool {
        self.ended.load(Ordering::Acquire) == self.begun()
    }
}

/// A request in service, until it is dropped.
struct InService(Arc<HeadWatch>);

impl InService {
    fn begin(watch: Arc<HeadWatch>) -> Self {
        watch.begun.fetch_add(1, Ordering::AcqRel);
        Self(watch)
    }
}

impl Drop for InService {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::AcqRel);
    }
}

/// The router, with a watch on the requests of one connection.
pub(crate) struct WatchedRouter {
    pub(crate) router: TowerToHyperService<Router>,
    pub(crate) watch: Arc<HeadWatch>,
}

impl Service<Request<Incoming>> for WatchedRouter {
    type Response = Response<WatchedBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let in_service = InService::begin(self.watch.clone());
        let answer = self.router.call(req);
        Box::pin(async move {
            let answer = answer.await?;
            Ok(answer.map(|body| WatchedBody { body, in_service }))
        })
    }
}

/// The body of an answer. Its request is in service until it is dropped.
pub(crate) struct WatchedBody {
    body: Body,
    #[expect(dead_code, reason = "held for its drop")]
    in_service: InService,
}

impl HttpBody for WatchedBody {
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
