//! Client of the platform's object API.
//!
//! The platform is the external system that the fleet runs on. Its object API stores versioned
//! objects under a kind and a name. Writes are conditional on the stored version, so that
//! concurrent writers cannot overwrite each other's changes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::IF_MATCH;
use hyper::header::IF_NONE_MATCH;
use snafu::Snafu;

use super::http::CallError;
use super::http::CallOptions;
use super::http::HttpClient;
use super::http::Reply;
use super::http::encode_name;

/// Kind of the configuration object.
pub const CONFIGURATION_KIND: &str = "configuration";
/// Name of the configuration object. The fleet has one.
pub const CONFIGURATION_NAME: &str = "fleet";
/// Kind of the records of operations. An operation is a request with an idempotency key.
pub const OPERATION_KIND: &str = "operation";
/// Maximum size of an object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// A version of a stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version number, which rises with every update.
    pub version: u64,
    /// Content.
    pub bytes: Bytes,
}

/// Reason why a call to the object API failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ObjectError {
    /// The object does not exist.
    #[snafu(display("no such object"))]
    NotFound,
    /// The stored version is not the expected one, or the object to be created exists. Nothing was
    /// changed.
    #[snafu(display("the object was changed by someone else"))]
    Conflict,
    /// The object is larger than [`MAX_OBJECT_BYTES`]. Nothing was changed.
    #[snafu(display("the object is larger than {MAX_OBJECT_BYTES} bytes"))]
    TooLarge,
    /// The platform limits the rate of calls. Nothing was changed.
    #[snafu(display("the object API refuses calls at this rate"))]
    RateLimited,
    /// The platform could not be reached or did not serve the call. Nothing was changed.
    #[snafu(display("the object API is unavailable: {reason}"))]
    Unavailable {
        /// Error of the connection, or HTTP status.
        reason: CompactString,
    },
    /// The response to a write was lost: the write may have taken effect, or may do so later.
    #[snafu(display("the outcome of the write is unknown: {reason}"))]
    Unknown {
        /// Error of the connection, or HTTP status.
        reason: CompactString,
    },
}

impl ObjectError {
    /// Whether the call had no effect and may succeed if it is repeated later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::RateLimited | Self::Unavailable { .. })
    }
}

/// Client of the object API. Clones share one connection pool and may be used from any thread with
/// a `tokio` runtime.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    http: HttpClient,
}

impl ObjectClient {
    /// Creates a client of the object API at `address`. Connects on the first call.
    pub fn new(address: SocketAddr, options: CallOptions) -> Self {
        Self {
            http: HttpClient::new(address, options),
        }
    }

    /// Reads an object. May return an older version than the latest.
    ///
    /// # Errors
    ///
    /// `NotFound` if the object does not exist; otherwise a transient error.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Object, ObjectError> {
        let req = self.request(Method::GET, &path(kind, name), None, Bytes::new());
        let reply = self.http.call(req).await.map_err(read_error)?;
        into_object(reply)
    }

    /// Waits until the object has a version above `after` and returns it (long poll). Returns
    /// `None` if that does not happen within `wait`.
    ///
    /// # Errors
    ///
    /// `NotFound` if the object does not exist; otherwise a transient error.
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, ObjectError> {
        let millis = wait.as_millis();
        let path = format!("{}?watch={after}&timeout_ms={millis}", path(kind, name));
        let req = self.request(Method::GET, &path, None, Bytes::new());
        let response = self.http.call_long_poll(req, wait).await;
        let reply = response.map_err(read_error)?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        into_object(reply).map(Some)
    }

    /// Creates an object and returns its version.
    ///
    /// # Errors
    ///
    /// `Conflict` if the object exists; `Unknown` if the response is lost; other variants if
    /// nothing was stored.
    pub async fn create(&self, kind: &str, name: &str, bytes: Bytes) -> Result<u64, ObjectError> {
        let condition = Some((IF_NONE_MATCH, "*".to_owned()));
        self.put(kind, name, condition, bytes).await
    }

    /// Replaces an object if its stored version is `version`, and returns the new version.
    ///
    /// # Errors
    ///
    /// `Conflict` if another version is stored; `Unknown` if the response is lost; other variants
    /// if nothing was changed.
    pub async fn update(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        bytes: Bytes,
    ) -> Result<u64, ObjectError> {
        let condition = Some((IF_MATCH, version.to_string()));
        self.put(kind, name, condition, bytes).await
    }

    /// Deletes an object if its stored version is `version`.
    ///
    /// # Errors
    ///
    /// `Conflict` if another version is stored; `Unknown` if the response is lost; other variants
    /// if nothing was changed.
    pub async fn delete(&self, kind: &str, name: &str, version: u64) -> Result<(), ObjectError> {
        let condition = Some((IF_MATCH, version.to_string()));
        let req = self.request(Method::DELETE, &path(kind, name), condition, Bytes::new());
        let reply = self.http.call(req).await.map_err(write_error)?;
        check_write_status(&reply)
    }

    /// Returns the names of all objects of a kind.
    ///
    /// # Errors
    ///
    /// A transient error, or `NotFound` if the platform responds with status 404.
    pub async fn list(&self, kind: &str) -> Result<Vec<CompactString>, ObjectError> {
        let path = format!("/objects/{kind}");
        let req = self.request(Method::GET, &path, None, Bytes::new());
        let reply = self.http.call(req).await.map_err(read_error)?;
        check_read_status(&reply)?;
        serde_json::from_slice(&reply.body).map_err(|err| unavailable(err.to_string()))
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        condition: Option<(hyper::header::HeaderName, String)>,
        bytes: Bytes,
    ) -> Result<u64, ObjectError> {
        if bytes.len() > MAX_OBJECT_BYTES {
            return Err(ObjectError::TooLarge);
        }
        let req = self.request(Method::PUT, &path(kind, name), condition, bytes);
        let reply = self.http.call(req).await.map_err(write_error)?;
        check_write_status(&reply)?;
        reply.version().ok_or_else(|| ObjectError::Unknown {
            reason: CompactString::const_new("the answer carries no version"),
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        condition: Option<(hyper::header::HeaderName, String)>,
        bytes: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut builder = Request::builder().method(method).uri(self.http.uri(path));
        if let Some((name, value)) = condition {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(bytes))
            .expect("the path and headers should be valid, since names are escaped")
    }
}

/// Returns the URL path of an object.
fn path(kind: &str, name: &str) -> String {
    format!("/objects/{kind}/{}", encode_name(name))
}

fn into_object(reply: Reply) -> Result<Object, ObjectError> {
    check_read_status(&reply)?;
    let version = reply
        .version()
        .ok_or_else(|| unavailable("the answer carries no version"))?;
    Ok(Object {
        version,
        bytes: reply.body,
    })
}

/// Maps the HTTP status of a read to its result.
fn check_read_status(reply: &Reply) -> Result<(), ObjectError> {
    match reply.status {
        StatusCode::OK => Ok(()),
        StatusCode::NOT_FOUND => Err(ObjectError::NotFound),
        StatusCode::TOO_MANY_REQUESTS => Err(ObjectError::RateLimited),
        status => Err(unavailable(format!("status {status}"))),
    }
}

/// Maps the HTTP status of a write to its result. Status 503 means that the platform did not handle
/// the call. After an unexpected status, such as 500, it is unknown whether the write took effect.
fn check_write_status(reply: &Reply) -> Result<(), ObjectError> {
    match reply.status {
        StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(()),
        StatusCode::NOT_FOUND => Err(ObjectError::NotFound),
        StatusCode::PRECONDITION_FAILED => Err(ObjectError::Conflict),
        StatusCode::PAYLOAD_TOO_LARGE => Err(ObjectError::TooLarge),
        StatusCode::TOO_MANY_REQUESTS => Err(ObjectError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => Err(unavailable("status 503")),
        status => Err(ObjectError::Unknown {
            reason: format!("status {status}").into(),
        }),
    }
}

/// Maps an error of a read. Reads have no effect, so it never matters whether the call was sent.
fn read_error(err: CallError) -> ObjectError {
    unavailable(err.to_string())
}

/// Maps an error of a write, which may have taken effect unless it was never sent.
fn write_error(err: CallError) -> ObjectError {
    match err {
        CallError::NotSent { reason } => unavailable(reason),
        CallError::ResponseLost { reason } => ObjectError::Unknown {
            reason: reason.into(),
        },
    }
}

fn unavailable(reason: impl Into<CompactString>) -> ObjectError {
    ObjectError::Unavailable {
        reason: reason.into(),
    }
}
