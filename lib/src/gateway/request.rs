//! An authenticated request of a caller, and the reading of its body.

use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::uri::PathAndQuery;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Limited;

use super::auth::Caller;
use super::error_code::ErrorCode;
use super::run_flag::RunFlag;
use crate::control::RequestSpec;
use crate::host::ServiceKind;
use crate::time::Timestamp;

/// Estimate for a plain service before the first measured cost, microseconds of server time.
pub(crate) const PLAIN_ESTIMATE_US: u64 = 5_000;

/// A parsed request, ready for dispatch.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) id: CompactString,
    pub(crate) caller: Caller,
    /// Whether the service is a model or a plain HTTP service.
    pub(crate) kind: ServiceKind,
    pub(crate) method: Method,
    /// Path and query sent to the backend server.
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Description for the scheduler: service, workspace, estimated cost and deadline.
    pub(crate) spec: RequestSpec,
    /// Estimated prompt tokens, zero for plain services.
    pub(crate) prompt_tokens: u64,
    /// Time at which the head of the request arrived.
    pub(crate) arrived: Timestamp,
    /// Whether a backend server may have run the request.
    pub(crate) run_flag: RunFlag,
}

impl Call {
    /// Whether the method is safe (RFC 9110, section 9.2.1), so that running the request twice does
    /// no harm.
    pub(crate) fn is_safe(&self) -> bool {
        self.method.is_safe()
    }
}

/// Reads a request body within its size limit and timeout.
pub(crate) async fn read_body(
    body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ErrorCode> {
    let limited = Limited::new(body, max_bytes);
    match tokio::time::timeout(timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(ErrorCode::BodyTooLarge),
        Ok(Err(_)) => Err(ErrorCode::MalformedRequest),
        Err(_) => Err(ErrorCode::BodyTimeout),
    }
}
