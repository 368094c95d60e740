//! Round-robin router of one host.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::RequestBody;
use super::Server;
use crate::fleet::BackendKind;
use crate::fleet::Fleet;
use crate::fleet::PLAIN_SERVICE;
use crate::load::HttpClient;
use crate::load::http_client;

/// Number of servers that a request is tried on.
const ATTEMPTS: usize = 2;

type Body = UnsyncBoxBody<Bytes, hyper::Error>;

/// Router of one host. It holds a slot of its share for every request that a server runs.
#[derive(Debug)]
pub(super) struct Router {
    servers: Vec<Server>,
    model_slots: Arc<Semaphore>,
    plain_slots: Arc<Semaphore>,
    next: AtomicUsize,
    next_id: AtomicU64,
    client: HttpClient,
}

impl Router {
    pub(super) fn new(fleet: &Fleet) -> Self {
        let servers: Vec<_> = fleet
            .backends()
            .iter()
            .map(|backend| Server {
                is_model: matches!(backend.kind, BackendKind::Engine(_)),
                address: backend.address,
            })
            .collect();
        let plan = fleet.plan();
        let hosts = fleet.hosts().len();
        let plain_servers = servers.iter().filter(|server| !server.is_model).count();
        let slots_per_host = |slots: usize| Arc::new(Semaphore::new((slots / hosts).max(1)));
        let max_permits = Semaphore::MAX_PERMITS;
        Self {
            model_slots: slots_per_host(plan.warm_slots().min(max_permits)),
            plain_slots: slots_per_host((plain_servers * plan.plain.limit).min(max_permits)),
            servers,
            next: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
            client: http_client(),
        }
    }

    /// Waits for a slot in the order of arrival, then tries servers in turn. Responds with status
    /// 502 if all attempts fail.
    pub(super) async fn handle(
        &self,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, hyper::Error> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await?.to_bytes();
        let prefix = format!("/services/{PLAIN_SERVICE}");
        let plain_path = parts.uri.path().strip_prefix(&prefix);
        let slots = match plain_path {
            Some(_) => &self.plain_slots,
            None => &self.model_slots,
        };
        let permit = Arc::clone(slots).acquire_owned().await;
        let permit = permit.expect("semaphore is never closed");
        let path = plain_path.unwrap_or(parts.uri.path()).to_owned();
        for _ in 0..ATTEMPTS {
            let server = self.next_server(plain_path.is_none());
            let request = self.request(&parts, &path, server, body.clone());
            let Ok(response) = self.client.request(request).await else {
                continue;
            };
            if response.status().is_server_error() {
                continue;
            }
            return Ok(with_permit(response, permit));
        }
        let mut response = Response::new(Full::new(Bytes::new()).map_err(|e| match e {}));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        Ok(response.map(BodyExt::boxed_unsync))
    }

    fn next_server(&self, is_model: bool) -> &Server {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let server = &self.servers[number % self.servers.len()];
            if server.is_model == is_model {
                return server;
            }
        }
    }

    fn request(
        &self,
        parts: &Parts,
        path: &str,
        server: &Server,
        body: Bytes,
    ) -> Request<RequestBody> {
        let uri: Uri = format!("http://{}{path}", server.address)
            .parse()
            .expect("server address and path form a URI");
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = uri;
        for name in ["content-type", "x-operation", "x-test-tag"] {
            if let Some(value) = parts.headers.get(name) {
                request.headers_mut().insert(name, value.clone());
            }
        }
        request.headers_mut().insert("x-request-id", id.into());
        request
    }
}

/// Holds the slot until the response body ends or is dropped.
fn with_permit(response: Response<Incoming>, permit: OwnedSemaphorePermit) -> Response<Body> {
    response.map(|body| {
        body.map_frame(move |frame| {
            let _held = &permit;
            frame
        })
        .boxed_unsync()
    })
}
