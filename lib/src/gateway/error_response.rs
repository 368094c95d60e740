//! Error responses that the gateway itself sends to callers, as JSON with a stable code and the
//! request's outcome.

use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use serde::Serialize;

use super::error_code::ErrorCode;

/// Retry delay sent with temporary errors if the scheduler gives none.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// Whether a request has run, as stated to the caller in an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No backend server has run the request or will run it, so it can be sent again.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
    /// A backend server has run the request completely, but the response is not available.
    Completed,
}

/// Error response of the gateway to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub(crate) code: ErrorCode,
    pub(crate) outcome: Outcome,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

/// JSON body of an error response.
#[derive(Serialize)]
struct Envelope<'a> {
    error: ErrorObject<'a>,
}

/// The object `error` in the body.
#[derive(Serialize)]
struct ErrorObject<'a> {
    code: &'static str,
    message: &'static str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl ErrorResponse {
    /// Error for a request that has not run and will not run. Temporary errors (status 429 and 503)
    /// get the default retry delay.
    pub(crate) fn not_run(code: ErrorCode) -> Self {
        let temporary = matches!(
            code.status(),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        );
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after: temporary.then_some(RETRY_AFTER_DEFAULT),
        }
    }

    /// Error for a request that may have run.
    pub(crate) fn unknown(code: ErrorCode) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Error for a request whose operation has run completely.
    pub(crate) fn completed(code: ErrorCode) -> Self {
        Self {
            code,
            outcome: Outcome::Completed,
            retry_after: None,
        }
    }

    /// Changes the outcome to unknown if an earlier attempt may have run the request.
    pub(crate) fn unknown_if(mut self, may_have_run: bool) -> Self {
        if may_have_run {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    pub(crate) fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the JSON body.
    pub(crate) fn json(&self, request_id: &str) -> Vec<u8> {
        let envelope = Envelope {
            error: ErrorObject {
                code: self.code.as_str(),
                message: self.code.message(),
                outcome: self.outcome,
                retry_after_ms: self.retry_after.map(millis),
                request_id,
            },
        };
        serde_json::to_vec(&envelope).unwrap_or_default()
    }

    /// Returns the complete HTTP response.
    pub(crate) fn into_response(self, request_id: &str) -> Response<Body> {
        let mut response = Response::new(Body::from(self.json(request_id)));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(wait) = self.retry_after {
            let seconds = millis(wait).div_ceil(1000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(super::headers::REQUEST_ID, value);
        }
        response
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
