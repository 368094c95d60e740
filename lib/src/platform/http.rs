//! HTTP calls with a deadline, over connections that are reused.

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
use snafu::Snafu;
use tokio::time::Instant;

/// Largest answer that is read, bytes: an object of the largest size, or a long host list.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Header that carries the version of an object.
pub(crate) const VERSION_HEADER: &str = "x-version";

/// Limits on calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOptions {
    /// Longest time for connecting.
    pub connect_timeout: Duration,
    /// Longest time from the start of a call to the end of its answer.
    pub call_timeout: Duration,
    /// Longest time that an unused connection is kept.
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

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The server was not reached: the call has had no effect.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What was seen.
        reason: String,
    },
    /// The call was sent, and its answer is lost.
    #[snafu(display("answer lost: {reason}"))]
    ResponseLost {
        /// What was seen.
        reason: String,
    },
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Fields of the head.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Version of the object in the answer, if the answer carries one.
    pub(crate) fn version(&self) -> Option<u64> {
        let text = self.headers.get(VERSION_HEADER)?.to_str().ok()?;
        text.parse().ok()
    }
}

/// An HTTP client for one server. Clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    options: CallOptions,
}

impl HttpClient {
    /// Makes a client of the server at `address`. Connects on the first call.
    pub fn new(address: SocketAddr, options: CallOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .build(connector);
        Self {
            client,
            address,
            options,
        }
    }

    /// The URI of a path and query on the server.
    pub fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Makes a call that the server answers at once.
    ///
    /// # Errors
    ///
    /// Tells whether the call may have had an effect.
    pub async fn call(&self, req: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        self.call_until(req, Instant::now() + self.options.call_timeout)
            .await
    }

    /// Makes a call that the server may hold for `wait` before it answers.
    ///
    /// # Errors
    ///
    /// Tells whether the call may have had an effect.
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

/// An error with its causes.
pub(crate) fn format_error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
