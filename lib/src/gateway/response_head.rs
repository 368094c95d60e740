//! Checks the head of a backend server's response for what the HTTP client lets pass.

use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header;
use axum::http::response::Parts;
use snafu::Snafu;
use snafu::ensure;

/// Why a head is not that of a response to a request.
#[derive(Debug, Snafu)]
pub(crate) enum HeadError {
    /// The status is not that of a final response (RFC 9110, section 15). The client takes status 101
    /// (Switching Protocols) for one, since it might have asked for another protocol.
    #[snafu(display("response has status {}, which is not final", status.as_u16()))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// The length of the body is not a single number. The client takes a list of equal numbers for one, but
    /// callers need not.
    #[snafu(display("response has the unreadable length {value:?}"))]
    Length {
        /// Value of the header.
        value: HeaderValue,
    },
    /// The body has a transfer coding other than chunked, which hosts do not ask for. The client does not decode
    /// it.
    #[snafu(display("response has a transfer coding other than chunked: {value:?}"))]
    Coding {
        /// Value of the first header that is refused.
        value: HeaderValue,
    },
}

/// Checks the head of a response.
pub(crate) fn check_response_head(parts: &Parts) -> Result<(), HeadError> {
    let status = parts.status;
    ensure!(
        (200..600).contains(&status.as_u16()),
        StatusSnafu { status }
    );
    check_length(&parts.headers)?;
    check_coding(&parts.headers)
}

fn check_length(headers: &HeaderMap) -> Result<(), HeadError> {
    let is_number = |value: &HeaderValue| value.as_bytes().iter().all(u8::is_ascii_digit);
    for value in headers.get_all(header::CONTENT_LENGTH) {
        ensure!(is_number(value), LengthSnafu { value });
    }
    Ok(())
}

/// Checks that there is no transfer coding, or chunked once.
fn check_coding(headers: &HeaderMap) -> Result<(), HeadError> {
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let first = codings.next();
    let refused = first.filter(|value| !is_chunked(value)).or(codings.next());
    match refused {
        Some(value) => CodingSnafu { value }.fail(),
        None => Ok(()),
    }
}
