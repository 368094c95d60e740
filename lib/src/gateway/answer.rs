//! Judgement of a backend server's answer.

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

use super::code::Code;
use super::dispatch::Failure;
use super::dispatch::Shared;
use super::headers;
use super::refusal::Refusal;
use super::relay::AnswerBody;
use super::relay::Framing;
use super::relay::RelayError;
use super::relay::next_frame;
use super::request::Call;
use super::running::Running;
use super::scan::Usage;
use super::scan::is_json;
use crate::host::ServiceKind;
use crate::message::EndOutcome;
use crate::metrics::Fault;

/// Largest answer that is checked as a whole before any of it is passed on, bytes.
const WHOLE_ANSWER_MAX: usize = 256 << 10;

/// What the header fields of an answer say of it.
enum Judgement {
    /// The body follows.
    Proceed,
    /// The answer belongs to another request.
    Crossed,
    /// The end of the body could not be told from a broken connection.
    Undelimited,
    /// The server has not run the request.
    Refused,
    /// The server is not ready.
    Unavailable,
}

/// Takes in an answer: passes it on, or says why not.
pub(crate) async fn receive(
    shared: &Arc<Shared>,
    call: &Call,
    mut running: Running,
    answer: Response<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, incoming) = answer.into_parts();
    running.account.on_head(&parts);
    let fail = |running: Running, outcome, fault: Option<Fault>| {
        if let Some(fault) = fault {
            shared.metrics.count_fault(fault);
        }
        // The connection is closed: what else arrives on it belongs to nobody.
        drop(running.end(outcome, None));
    };
    match judge(call, &parts) {
        Judgement::Proceed => pass_on(shared, call, running, parts, incoming).await,
        Judgement::Crossed => {
            fail(running, EndOutcome::Failed, Some(Fault::Crossed));
            Err(Failure::unknown(call, Code::CrossedAnswer))
        }
        Judgement::Undelimited => {
            fail(running, EndOutcome::Failed, Some(Fault::Malformed));
            Err(Failure::unknown(call, Code::ServerFailed))
        }
        Judgement::Unavailable => {
            fail(running, EndOutcome::Rejected, None);
            Err(Failure::unknown(call, Code::ServerUnavailable))
        }
        Judgement::Refused => {
            call.mark.clear();
            fail(running, EndOutcome::Rejected, None);
            Err(Failure {
                refusal: Refusal::not_run(Code::ServerRefused),
                is_repeatable: true,
            })
        }
    }
}

fn judge(call: &Call, parts: &Parts) -> Judgement {
    let echo = parts.headers.get(headers::REQUEST_ID);
    if echo.is_none_or(|id| id.as_bytes() != call.id.as_bytes()) {
        return Judgement::Crossed;
    }
    if parts.status == StatusCode::SERVICE_UNAVAILABLE {
        let not_run = parts.headers.get(headers::NOT_RUN);
        return if not_run.is_some_and(|value| value == "true") {
            Judgement::Refused
        } else {
            Judgement::Unavailable
        };
    }
    if !is_delimited(&call.method, parts) {
        return Judgement::Undelimited;
    }
    Judgement::Proceed
}

/// Whether a clean end of the body differs from a broken connection.
fn is_delimited(method: &Method, parts: &Parts) -> bool {
    let has_no_body = method == Method::HEAD
        || matches!(
            parts.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    has_no_body
        || parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING)
}

async fn pass_on(
    shared: &Arc<Shared>,
    call: &Call,
    mut running: Running,
    mut parts: Parts,
    mut incoming: Incoming,
) -> Result<Response<Body>, Failure> {
    let framing = framing(call.kind, &parts.headers);
    let mut start = None;
    if is_read_whole(call, &parts.headers, framing) {
        let read = read_start(shared, &mut running, &mut incoming).await;
        match read {
            Ok((body, true)) => return whole(shared, call, running, parts, body),
            Ok((body, false)) => start = Some(body),
            Err(e) => return Err(broken(shared, call, running, &e)),
        }
    }
    parts.headers = headers::for_caller(&parts.headers);
    if framing != Framing::Opaque {
        // An error event may follow what the server announced.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let body = AnswerBody::new(
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

/// Whether an answer is read to its end before the caller sees any of it.
fn is_read_whole(call: &Call, headers: &HeaderMap, framing: Framing) -> bool {
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    let has_no_body = call.method == Method::HEAD;
    match (framing, length) {
        (Framing::Opaque, Some(length)) => has_no_body || length <= WHOLE_ANSWER_MAX,
        (Framing::Opaque, None) => has_no_body || call.kind == ServiceKind::Model,
        (Framing::Events | Framing::ModelEvents, _) => false,
    }
}

/// Reads a body up to the bound. Says whether it is whole.
async fn read_start(
    shared: &Shared,
    running: &mut Running,
    incoming: &mut Incoming,
) -> Result<(Bytes, bool), RelayError> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = next_frame(incoming, shared.idle_timeout()).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        running.account.on_bytes(&data, false);
        if first.is_empty() {
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
        if rest.len() > WHOLE_ANSWER_MAX {
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

fn whole(
    shared: &Shared,
    call: &Call,
    running: Running,
    mut parts: Parts,
    body: Bytes,
) -> Result<Response<Body>, Failure> {
    let is_model = call.kind == ServiceKind::Model;
    if is_model && parts.status.is_success() && !is_json(&body) {
        shared.metrics.count_fault(Fault::Malformed);
        drop(running.end(EndOutcome::Failed, None));
        return Err(Failure::unknown(call, Code::ServerFailed));
    }
    let usage = is_model.then(|| Usage::parse(&body)).flatten();
    let connection = running.complete(usage);
    shared.pool.put_back(connection);
    parts.headers = headers::for_caller(&parts.headers);
    Ok(Response::from_parts(parts, Body::from(body)))
}

fn broken(shared: &Shared, call: &Call, running: Running, e: &RelayError) -> Failure {
    shared.metrics.count_fault(e.fault());
    drop(running.end(EndOutcome::Failed, None));
    Failure::unknown(call, e.code())
}
