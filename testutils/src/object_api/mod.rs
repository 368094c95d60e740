//! Stand-in for the platform's object API, a versioned store of small objects.
//!
//! - `GET /objects/{kind}/{name}` returns the stored bytes with their version in `x-version`, or
//!   status 404. With `?watch=N&timeout_ms=T` it waits until the version exceeds N, and returns
//!   status 304 after T milliseconds.
//! - `PUT` stores an object, with `If-None-Match: *` only if it does not exist and with `If-Match: N`
//!   only if its version is N. `DELETE` with `If-Match: N` removes it. Both return status 412 if the
//!   condition does not hold, and 428 without a condition.
//! - `GET /objects/{kind}` returns the names of the objects of a kind as a JSON array.

mod handle;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::IF_MATCH;
use hyper::header::IF_NONE_MATCH;

pub use handle::ObjectApiHandle;
use state::Condition;
pub use state::ObjectApiCounts;
pub use state::ObjectWrite;
pub use state::Outage;
use state::Shared;
use state::Stored;
use state::WriteResult;

use crate::server::ConnectionBroken;
use crate::server::HandlerResult;
use crate::server::ResponseBody;
use crate::server::Server;
use crate::server::query_number;
use crate::server::reply;

/// Largest object, bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest wait of a watch (a `GET` that waits for a newer version), milliseconds.
const MAX_WATCH_MS: u64 = 300_000;
/// Header with the version of an object.
const VERSION_HEADER: &str = "x-version";

/// A stand-in object API that runs until it is dropped.
#[derive(Debug)]
pub struct ObjectApi {
    server: Server,
    shared: Arc<Shared>,
}

impl ObjectApi {
    /// Starts the stand-in without any objects.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn start(addr: SocketAddr) -> Self {
        let shared = Arc::new(Shared::default());
        let handler_state = Arc::clone(&shared);
        let server = Server::start(addr, move |req, _| {
            let shared = Arc::clone(&handler_state);
            Box::pin(async move { handle_request(&shared, req).await })
        });
        Self { server, shared }
    }

    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle that changes objects, injects faults and reads the records.
    pub fn handle(&self) -> ObjectApiHandle {
        ObjectApiHandle::new(Arc::clone(&self.shared), self.server.connections())
    }
}

/// Collection or object that a path names.
enum Target {
    Kind(String),
    Object(String, String),
}

fn parse_target(path: &str) -> Option<Target> {
    let rest = path.strip_prefix("/objects/")?;
    match rest.split_once('/') {
        None if !rest.is_empty() => Some(Target::Kind(rest.to_owned())),
        Some((kind, name)) if !kind.is_empty() && !name.is_empty() => {
            Some(Target::Object(kind.to_owned(), name.to_owned()))
        }
        _ => None,
    }
}

async fn handle_request(shared: &Shared, req: Request<Incoming>) -> HandlerResult {
    if let Some(delay) = shared.delay() {
        tokio::time::sleep(delay).await;
    }
    match shared.outage() {
        Outage::None => {}
        Outage::Unavailable => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "outage")),
        Outage::Broken => return Err(ConnectionBroken),
    }
    if !shared.try_take_call() {
        return Ok(reply(StatusCode::TOO_MANY_REQUESTS, "rate limit"));
    }
    let Some(target) = parse_target(req.uri().path()) else {
        return Ok(reply(StatusCode::NOT_FOUND, "no such path"));
    };
    match (req.method().clone(), target) {
        (Method::GET, Target::Kind(kind)) => Ok(names(shared, &kind)),
        (Method::GET, Target::Object(kind, name)) => read(shared, &req, &kind, &name).await,
        (Method::PUT, Target::Object(kind, name)) => put(shared, req, &kind, &name).await,
        (Method::DELETE, Target::Object(kind, name)) => {
            let Some(condition) = condition(&req) else {
                return Ok(reply(StatusCode::PRECONDITION_REQUIRED, "no condition"));
            };
            write(shared, &kind, &name, condition, None)
        }
        _ => Ok(reply(StatusCode::METHOD_NOT_ALLOWED, "method")),
    }
}

fn names(shared: &Shared, kind: &str) -> Response<ResponseBody> {
    shared.count_read();
    let text = serde_json::to_vec(&shared.names(kind)).expect("serialize the names");
    reply(StatusCode::OK, text)
}

fn object_response(stored: &Stored) -> Response<ResponseBody> {
    let mut response = reply(StatusCode::OK, stored.bytes.clone());
    response
        .headers_mut()
        .insert(VERSION_HEADER, stored.version.into());
    response
}

async fn read(shared: &Shared, req: &Request<Incoming>, kind: &str, name: &str) -> HandlerResult {
    shared.count_read();
    let Some(after) = query_number(req, "watch") else {
        return Ok(match shared.get_visible(kind, name) {
            Some(stored) => object_response(&stored),
            None => reply(StatusCode::NOT_FOUND, "no such object"),
        });
    };
    let timeout_ms = query_number(req, "timeout_ms").unwrap_or(MAX_WATCH_MS);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms.min(MAX_WATCH_MS));
    watch(shared, kind, name, after, deadline).await
}

/// Waits until the object has a version above `after`. A caller that passes a version above zero
/// has read the object before; if it does not exist now, it was deleted, and the wait ends with
/// status 404.
async fn watch(
    shared: &Shared,
    kind: &str,
    name: &str,
    after: u64,
    deadline: Instant,
) -> HandlerResult {
    let _waiting = shared.track_watch();
    let mut changes = shared.subscribe();
    loop {
        changes.borrow_and_update();
        match shared.outage() {
            Outage::None => {}
            Outage::Unavailable => return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "outage")),
            Outage::Broken => return Err(ConnectionBroken),
        }
        match shared.get_visible(kind, name) {
            Some(stored) if stored.version > after => return Ok(object_response(&stored)),
            None if after > 0 => return Ok(reply(StatusCode::NOT_FOUND, "no such object")),
            _ => {}
        }
        let changed = tokio::time::timeout_at(deadline.into(), changes.changed());
        if changed.await.is_err() {
            return Ok(reply(StatusCode::NOT_MODIFIED, Bytes::new()));
        }
    }
}

fn condition(req: &Request<Incoming>) -> Option<Condition> {
    let headers = req.headers();
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Condition::Absent);
    }
    let text = headers.get(IF_MATCH)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Condition::Version)
}

async fn put(shared: &Shared, req: Request<Incoming>, kind: &str, name: &str) -> HandlerResult {
    let Some(condition) = condition(&req) else {
        return Ok(reply(StatusCode::PRECONDITION_REQUIRED, "no condition"));
    };
    let body = Limited::new(req.into_body(), MAX_VALUE_BYTES);
    match body.collect().await {
        Ok(body) => write(shared, kind, name, condition, Some(body.to_bytes())),
        Err(_) => Ok(reply(StatusCode::PAYLOAD_TOO_LARGE, "value too large")),
    }
}

fn write(
    shared: &Shared,
    kind: &str,
    name: &str,
    condition: Condition,
    bytes: Option<Bytes>,
) -> HandlerResult {
    let result = shared.write(kind, name, condition, bytes);
    if shared.take_response_drop() {
        return Err(ConnectionBroken);
    }
    Ok(match result {
        WriteResult::Stored(version) => {
            let mut response = reply(StatusCode::OK, Bytes::new());
            response
                .headers_mut()
                .insert(VERSION_HEADER, version.into());
            response
        }
        WriteResult::Conflict => reply(StatusCode::PRECONDITION_FAILED, "conflict"),
    })
}
