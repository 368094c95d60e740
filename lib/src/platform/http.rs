//! HTTP client for calls to the platform, with deadlines and a connection pool. The platform is the
//! external system that the fleet runs on: it provides the list of the fleet's hosts and stores
//! objects, which are small versioned texts such as the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use snafu::Snafu;
use tokio::time::Instant;

/// Maximum size of a response body, in bytes. Leaves room for the largest object
/// (`MAX_OBJECT_BYTES`) and for a long host list.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Largest read buffer of a connection, bytes. The head of a response must fit in it. A server that sends interim
/// heads (status 1xx) without end keeps a thread busy for up to 128 such buffers before other work gets
/// its turn.
const READ_BUFFER_MAX_BYTES: usize = 16 << 10;
/// All characters but the unreserved ones of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');
/// Response header with the version of an object.
pub(crate) const VERSION_HEADER: &str = "x-version";

/// Timeouts of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit from the start of a call to the end of its response. For a long poll the time
    /// that the server may wait is added.
    pub call_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Reason why a call has no complete response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened, so the call has had no effect.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Error of the connection, with its causes.
        reason: String,
    },
    /// The call may have been sent, but no complete response arrived before the deadline, or its
    /// body was too large. The call may have had an effect.
    #[snafu(display("answer lost: {reason}"))]
    ResponseLost {
        /// Error of the connection, with its causes.
        reason: String,
    },
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, at most `MAX_RESPONSE_BYTES`.
    pub body: Bytes,
}

impl Reply {
    /// Returns the version of the object from the response header, if the header is present and
    /// valid.
    pub(crate) fn version(&self) -> Option<u64> {
        let text = self.headers.get(VERSION_HEADER)?.to_str().ok()?;
        text.parse().ok()
    }
}

/// An HTTP client for one server. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    options: CallOptions,
}

impl HttpClient {
    /// Creates a client of the server at `address`. Connects on the first call.
    pub fn new(address: SocketAddr, options: CallOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .http1_max_buf_size(READ_BUFFER_MAX_BYTES)
            .build(connector);
        Self {
            client,
            address,
            options,
        }
    }

    /// Returns the URI on the server for `path`, which may include a query string.
    pub fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Makes a call, with the timeout of the options.
    ///
    /// # Errors
    ///
    /// A [`CallError`], which distinguishes whether the call may have had an effect.
    pub async fn call(&self, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        self.call_until(req, Instant::now() + self.options.call_timeout)
            .await
    }

    /// Makes a call that the server may delay by up to `wait` before it responds (long poll).
    ///
    /// # Errors
    ///
    /// A [`CallError`], which distinguishes whether the call may have had an effect.
    pub async fn call_long_poll(
        &self,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        self.call_until(req, Instant::now() + wait + self.options.call_timeout)
            .await
    }

    async fn call_until(
        &self,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let response = tokio::time::timeout_at(deadline, self.send(req)).await;
        response.unwrap_or_else(|_| {
            let reason = "no answer before the deadline".to_owned();
            Err(CallError::ResponseLost { reason })
        })
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let response = self.client.request(req).await.map_err(|err| {
            let reason = format_error_chain(&err);
            if err.is_connect() {
                CallError::NotSent { reason }
            } else {
                CallError::ResponseLost { reason }
            }
        })?;
        let (parts, body) = response.into_parts();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: read_body(body).await?,
        })
    }
}

/// Encodes the name of an object for the path or the query of a URI. Names may have any characters, since
/// others choose them.
pub fn encode_name(name: &str) -> String {
    utf8_percent_encode(name, RESERVED).to_string()
}

async fn read_body(body: Incoming) -> Result<Bytes, CallError> {
    let limited = Limited::new(body, MAX_RESPONSE_BYTES);
    let collected = limited
        .collect()
        .await
        .map_err(|err| CallError::ResponseLost {
            reason: err.to_string(),
        })?;
    Ok(collected.to_bytes())
}

/// Formats an error with the chain of its causes.
pub(crate) fn format_error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
