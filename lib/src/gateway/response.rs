//! Validation of a backend server's response before any part of it is forwarded to the caller.
//!
//! A response must repeat the identifier of the request and must be framed so that truncation is
//! detectable. Small and JSON responses are read completely first, so that a failure can still
//! become an error response.

use std::sync::Arc;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use axum::http::response::Parts;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Incoming;

use super::dispatch::Failure;
use super::dispatch::Shared;
use super::error_code::ErrorCode;
use super::error_response::ErrorResponse;
use super::headers;
use super::request::Call;
use super::response_body::Framing;
use super::response_body::RelayError;
use super::response_body::ResponseBody;
use super::response_body::next_frame;
use super::response_head::check_response_head;
use super::running::RunningRequest;
use super::scan::Usage;
use super::scan::is_json;
use crate::host::ServiceKind;
use crate::message::EndOutcome;
use crate::metrics::Fault;

/// Largest response that is read completely before any of it is forwarded, bytes.
const BUFFERED_BYTES_MAX: usize = 256 << 10;

/// Result of checking the status and the header fields of a response.
enum HeadCheck {
    /// The response is valid so far, and its body may be read.
    Accepted,
    /// The response does not carry the identifier of this request, so it may belong to another one.
    /// Callers and metrics see this as a crossed response.
    IdMismatch,
    /// The response has neither a length nor chunked framing, so the end of its body could not be
    /// distinguished from a broken connection.
    Unframed,
    /// The head is not that of a response to a request.
    Malformed,
    /// The server refused the request and states that it did not run it.
    Refused,
    /// The server returned 503 without stating whether it ran the request, which may therefore have
    /// run.
    Unavailable,
}

/// Validates a response and forwards it, or returns why it cannot be forwarded.
pub(crate) async fn receive(
    shared: &Arc<Shared>,
    call: &Call,
    mut running: RunningRequest,
    response: Response<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, incoming) = response.into_parts();
    running.tracker.on_head(&parts);
    let fail = |running: RunningRequest, outcome, fault: Option<Fault>| {
        if let Some(fault) = fault {
            shared.metrics.count_fault(fault);
        }
        // Dropping the connection closes it, so that bytes which arrive later cannot be taken for
        // the response to another request.
        drop(running.end(outcome, None));
    };
    match check_head(call, &parts) {
        HeadCheck::Accepted => forward(shared, call, running, parts, incoming).await,
        HeadCheck::IdMismatch => {
            fail(running, EndOutcome::Failed, Some(Fault::Crossed));
            Err(Failure::unknown(call, ErrorCode::CrossedAnswer))
        }
        HeadCheck::Unframed | HeadCheck::Malformed => {
            fail(running, EndOutcome::Failed, Some(Fault::Malformed));
            Err(Failure::unknown(call, ErrorCode::ServerFailed))
        }
        HeadCheck::Unavailable => {
            fail(running, EndOutcome::Rejected, None);
            Err(Failure::unknown(call, ErrorCode::ServerUnavailable))
        }
        HeadCheck::Refused => {
            call.run_flag.clear();
            fail(running, EndOutcome::Rejected, None);
            Err(Failure {
                error: ErrorResponse::not_run(ErrorCode::ServerRefused),
                can_retry: true,
            })
        }
    }
}

fn check_head(call: &Call, parts: &Parts) -> HeadCheck {
    let echo = parts.headers.get(headers::REQUEST_ID);
    if echo.is_none_or(|id| id.as_bytes() != call.id.as_bytes()) {
        return HeadCheck::IdMismatch;
    }
    if check_response_head(parts).is_err() {
        return HeadCheck::Malformed;
    }
    // The body of a 503 response is never forwarded, so its framing does not matter.
    if parts.status == StatusCode::SERVICE_UNAVAILABLE {
        let not_run = parts.headers.get(headers::NOT_RUN);
        return if not_run.is_some_and(|value| value == "true") {
            HeadCheck::Refused
        } else {
            HeadCheck::Unavailable
        };
    }
    if !is_framed(&call.method, parts) {
        return HeadCheck::Unframed;
    }
    HeadCheck::Accepted
}

/// Whether the end of the body can be distinguished from a broken connection.
fn is_framed(method: &Method, parts: &Parts) -> bool {
    let has_no_body = method == Method::HEAD
        || matches!(
            parts.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    has_no_body
        || parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Forwards an accepted response, completely read or as a stream.
async fn forward(
    shared: &Arc<Shared>,
    call: &Call,
    mut running: RunningRequest,
    mut parts: Parts,
    mut incoming: Incoming,
) -> Result<Response<Body>, Failure> {
    let framing = framing(call.kind, &parts.headers);
    let mut start = None;
    if is_buffered(call, &parts.headers, framing) {
        let read = read_start(shared, &mut running, &mut incoming).await;
        match read {
            Ok((body, true)) => return forward_buffered(shared, call, running, parts, body),
            Ok((body, false)) => start = Some(body),
            Err(e) => return Err(on_read_error(shared, call, running, &e)),
        }
    }
    parts.headers = headers::for_caller(&parts.headers);
    if framing != Framing::Opaque {
        // An error event may be appended, which would exceed the announced length.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let body = ResponseBody::new(
        shared.clone(),
        call.id.clone(),
        framing,
        start,
        incoming,
        running,
    );
    Ok(Response::from_parts(parts, Body::new(body)))
}

fn framing(kind: ServiceKind, headers: &HeaderMap) -> Framing {
    let is_event_stream = headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    match (is_event_stream, kind) {
        (false, _) => Framing::Opaque,
        (true, ServiceKind::Plain) => Framing::Events,
        (true, ServiceKind::Model) => Framing::ModelEvents,
    }
}

/// Whether the gateway tries to read the complete response before the caller receives any of it.
/// This fails if the body exceeds [`BUFFERED_BYTES_MAX`]; it is then forwarded as it arrives.
fn is_buffered(call: &Call, headers: &HeaderMap, framing: Framing) -> bool {
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    let has_no_body = call.method == Method::HEAD;
    match (framing, length) {
        (Framing::Opaque, Some(length)) => has_no_body || length <= BUFFERED_BYTES_MAX,
        (Framing::Opaque, None) => has_no_body || call.kind == ServiceKind::Model,
        (Framing::Events | Framing::ModelEvents, _) => false,
    }
}

/// Reads a body up to [`BUFFERED_BYTES_MAX`] within the answer timeout, since the caller receives nothing
/// until then. Returns the bytes read and whether the body is complete.
async fn read_start(
    shared: &Shared,
    running: &mut RunningRequest,
    incoming: &mut Incoming,
) -> Result<(Bytes, bool), RelayError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    let deadline = shared.clock.now() + shared.answer_timeout();
    loop {
        let remaining = deadline.remaining(shared.clock.now());
        let timeout = shared.idle_timeout().min(remaining);
        let Some(frame) = next_frame(incoming, timeout).await? else {
            break;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        running.tracker.on_bytes(&data, false);
        // A body that arrives in one frame is not copied.
        if first.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
        if rest.len() > BUFFERED_BYTES_MAX {
            return Ok((rest.freeze(), false));
        }
    }
    let body = if rest.is_empty() {
        first
    } else {
        rest.freeze()
    };
    Ok((body, true))
}

/// Forwards a response that was read completely. A successful model response must be valid JSON.
fn forward_buffered(
    shared: &Shared,
    call: &Call,
    running: RunningRequest,
    mut parts: Parts,
    body: Bytes,
) -> Result<Response<Body>, Failure> {
    let is_model = call.kind == ServiceKind::Model;
    if is_model && parts.status.is_success() && !is_json(&body) {
        shared.metrics.count_fault(Fault::Malformed);
        drop(running.end(EndOutcome::Failed, None));
        return Err(Failure::unknown(call, ErrorCode::ServerFailed));
    }
    let usage = is_model.then(|| Usage::parse(&body)).flatten();
    let connection = running.complete(usage);
    shared.pool.put_back(connection);
    parts.headers = headers::for_caller(&parts.headers);
    Ok(Response::from_parts(parts, Body::from(body)))
}

/// Reports a failed read of the body to the metrics and the control thread.
fn on_read_error(shared: &Shared, call: &Call, running: RunningRequest, e: &RelayError) -> Failure {
    shared.metrics.count_fault(e.fault());
    drop(running.end(EndOutcome::Failed, None));
    Failure::unknown(call, e.code())
}
