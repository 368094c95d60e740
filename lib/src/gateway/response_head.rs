//! Checks the head of a backend server's response for what the HTTP client lets pass.

use axum::http::StatusCode;
use axum::http::response::Parts;
use snafu::Snafu;
use snafu::ensure;

/// Why a head is not that of a response to a request.
#[derive(Debug, Snafu)]
pub(crate) enum HeadError {
    /// The status is not that of a final response (RFC 9110, section 15). The client takes status 101
    /// (Switching Protocols) for one, since it might have asked for another protocol.
    #[snafu(display("response has status {}, which no request asks for", status.as_u16()))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
}

/// Checks the head of a response.
pub(crate) fn check_response_head(parts: &Parts) -> Result<(), HeadError> {
    let status = parts.status;
    ensure!(
        (200..600).contains(&status.as_u16()),
        StatusSnafu { status }
    );
    Ok(())
}
