//! Evaluates the outcome of an attempt at a backend server: a response, or the error instead of
//! one.
//!
//! Either the response is sent to the caller, or the attempt failed and `forward` decides whether
//! another server is tried. For that decision each [`Failure`] states whether the server may have
//! run the request.
//!
//! A status code does not show to which request a response belongs or whether the server produced
//! it. The headers that backend servers set are therefore checked too:
//!
//! - Every response must carry the identifier of the request.
//! - A successful response must also have a seal, a header by which the server confirms that the
//!   response is its own (see [`ResponseHead::is_sealed`]). Other statuses need none:
//!   server errors count as failures anyway, and the rest is sent to the caller as received.
//! - A request counts as not run only if a header says so, or if the status is 421. Each request
//!   names the instance (installation of a server) that it is meant for, and another instance at
//!   the same address rejects it with this status.
//! - Without that header, the statuses 408, 429 and 503 count as failures.
//!
//! [`ResponseHead::is_sealed`]: super::dialect::ResponseHead::is_sealed

use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use axum::http::response;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use log::info;

use super::assign::UNSENT_RETRY_AFTER;
use super::attempt::AttemptError;
use super::attempt::InFlightRequest;
use super::attempt::ServerResponse;
use super::attempt::reuse_connection;
use super::dialect::Prompt;
use super::fleet::RequestOutcome;
use super::forward::Attempts;
use super::forward::Call;
use super::forward::millis;
use super::host::EntryHost;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::relay::CLOSED_EARLY;
use super::relay::RelayError;
use super::relay::StreamRelay;
use super::request_placement::Placement;
use super::take_up::tell_stream_origin;
use crate::gateway::HeldParts;
use crate::gateway::end_to_end;

/// Largest response that is not a stream, bytes. It is read completely before it is forwarded, so
/// that a response that breaks off can still be replaced by that of another server. Larger ones
/// count as failures.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 256 << 10;
/// Retry time given to callers if a server did not run the request. A server that runs no model
/// works through a full queue in about this time; for servers that run a model the same value is
/// used.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Statuses that by their HTTP meaning say that a request has not run. If the header that says the
/// same is missing, the attempt counts as failed and the request as possibly run. Status 421 is
/// listed for completeness only: it needs no header, and is handled before this check.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// An attempt that failed, so that another server may be tried.
pub(crate) struct Failure {
    /// What the caller gets if no other server is tried: the server's response, or an error
    /// response of this host.
    pub(crate) caller_result: Result<Response<Body>, Refusal>,
    /// Whether a byte of the request was sent to the server.
    pub(crate) was_sent: bool,
    /// Whether the server may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the connection broke just as the server began to answer.
    pub(crate) is_broken_at_start: bool,
}

/// Ends an attempt that got no response.
pub(crate) fn on_error(
    host: &EntryHost,
    call: &Call,
    placed: &Placement,
    in_flight: InFlightRequest,
    err: &AttemptError,
) -> Failure {
    let (reason, was_sent) = match err {
        AttemptError::NotSent { .. } => (Reason::NoServer, false),
        AttemptError::LimitReached { .. } => (Reason::HostBusy, false),
        AttemptError::NoResponse { .. } => (Reason::ServerFailed, true),
        // The deadline passed after the request was sent.
        AttemptError::TimedOut => (Reason::ExpiredSent, true),
    };
    in_flight.end(err.outcome());
    log_failed(host, call, placed, &err.to_string());
    Failure {
        caller_result: Err(match was_sent {
            true => Refusal::new(reason),
            false => Refusal::with_retry_after(reason, UNSENT_RETRY_AFTER),
        }),
        was_sent,
        may_have_run: was_sent,
        is_broken_at_start: false,
    }
}

/// Checks the head of a response and forwards it: a stream once its first bytes have arrived, any
/// other response once it is complete.
pub(crate) async fn handle_response(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    in_flight: InFlightRequest,
    response: ServerResponse,
    attempts: &Attempts,
) -> Result<Response<Body>, Failure> {
    let status = response.parts.status;
    let failed = |reason: Reason, may_have_run| Failure {
        caller_result: Err(match may_have_run {
            true => Refusal::new(reason),
            false => Refusal::with_retry_after(reason, REFUSED_RETRY_AFTER),
        }),
        was_sent: true,
        may_have_run,
        is_broken_at_start: false,
    };
    if response.head.id.as_ref() != Some(&call.head.id) {
        in_flight.end(RequestOutcome::Failed);
        log_failed(host, call, placed, "response to another request");
        return Err(failed(Reason::ServerFailed, true));
    }
    if status == StatusCode::MISDIRECTED_REQUEST || response.head.not_run {
        in_flight.end(match status {
            StatusCode::MISDIRECTED_REQUEST => RequestOutcome::Misdirected,
            _ => RequestOutcome::Refused,
        });
        log_failed(
            host,
            call,
            placed,
            &format!("server did not run the request: status {status}"),
        );
        // The body is not read. If the connection cannot be used again for that reason, `send`
        // tries the next one.
        reuse_connection(host, response.connection, &response.head);
        return Err(failed(Reason::RefusedByServer, false));
    }
    let is_success = status.is_success();
    if is_success && !response.head.is_sealed {
        in_flight.end(RequestOutcome::Failed);
        log_failed(host, call, placed, "successful response without a seal");
        return Err(failed(Reason::ServerFailed, true));
    }
    if NOT_RUN_STATUSES.contains(&status) {
        in_flight.end(RequestOutcome::Failed);
        log_failed(
            host,
            call,
            placed,
            &format!("status {status} without the header that says the request has not run"),
        );
        return Err(failed(Reason::ServerFailed, true));
    }
    // The retry policy of a route also states whether its responses are streams, and whether
    // another server may continue a stream that broke off.
    if is_success && call.admitted.route.retry_policy.is_stream() {
        return relay_stream(host, call, placed, in_flight, response, attempts).await;
    }
    relay_complete(host, call, placed, in_flight, response, attempts).await
}

/// Reads a response that is not a stream to its end, then forwards it. A server error (status 5xx)
/// counts as a failed attempt, but is what the caller gets if no other server is tried.
async fn relay_complete(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    mut in_flight: InFlightRequest,
    mut response: ServerResponse,
    attempts: &Attempts,
) -> Result<Response<Body>, Failure> {
    in_flight.on_response_part();
    let deadline = host.clock.instant(call.admitted.give_up_at);
    let status = response.parts.status;
    let held = host.body_memory.start(call.admitted.workspace.clone());
    let mut read = HeldParts::new(held);
    let ends_with_connection = response.ends_with_connection() && !response.body.is_end_stream();
    let reading = read_parts(&mut response.body, &mut read);
    let (outcome, reason, error) = match tokio::time::timeout_at(deadline.into(), reading).await {
        // The server has run the request, so its response is not refused for lack of memory.
        Ok(Ok(Reading::NoMemory)) if !status.is_server_error() => {
            info!(target: "request", id = call.head.id.as_str(),
                server = placed.entry.instance.as_str(), read_bytes = read.len();
                "no memory for response: forwarded as it arrives");
            let parts = strip_hop_by_hop(response.parts.clone());
            let relay =
                StreamRelay::of_response(host, call, placed, in_flight, response, attempts, read);
            return Ok(Response::from_parts(parts, relay.into_body()));
        }
        Ok(Ok(Reading::NoMemory)) => (
            RequestOutcome::Failed,
            Reason::ServerFailed,
            format!("status {status}, and no memory for the response"),
        ),
        Ok(Ok(Reading::Complete))
            if ends_with_connection && response.connection.gate.ended_early() =>
        {
            let outcome = in_flight.broken_outcome();
            (outcome, Reason::ServerFailed, CLOSED_EARLY.to_owned())
        }
        Ok(Ok(Reading::Complete)) => {
            let body = Body::new(CompleteBody(read));
            let to_caller = Response::from_parts(strip_hop_by_hop(response.parts), body);
            reuse_connection(host, response.connection, &response.head);
            in_flight.on_survived(host.clock.now());
            if !status.is_server_error() {
                in_flight.end_answered(status);
                on_answered(host, call, placed, status);
                return Ok(to_caller);
            }
            in_flight.end(RequestOutcome::Failed);
            log_failed(host, call, placed, &format!("status {status}"));
            return Err(Failure {
                caller_result: Ok(to_caller),
                was_sent: true,
                may_have_run: true,
                is_broken_at_start: false,
            });
        }
        Ok(Err(err)) => {
            let outcome = match err.is::<LengthLimitError>() {
                true => RequestOutcome::Failed,
                false => in_flight.broken_outcome(),
            };
            (outcome, Reason::ServerFailed, err.to_string())
        }
        Err(_) => (
            RequestOutcome::TimedOut,
            Reason::ExpiredSent,
            "response incomplete at the deadline".to_owned(),
        ),
    };
    in_flight.end(outcome);
    log_failed(host, call, placed, &error);
    Err(Failure {
        caller_result: Err(Refusal::new(reason)),
        was_sent: true,
        may_have_run: true,
        is_broken_at_start: outcome == RequestOutcome::Broken,
    })
}

/// How the reading of a response ended.
enum Reading {
    /// The response is complete.
    Complete,
    /// The host has no memory for more of it.
    NoMemory,
}

/// Reads a response that is not a stream, to its end or until there is no memory for more of it.
///
/// # Errors
///
/// Fails if the response breaks off or is too long.
async fn read_parts(
    body: &mut Incoming,
    read: &mut HeldParts,
) -> Result<Reading, Box<dyn Error + Send + Sync>> {
    let mut body = Limited::new(body, BUFFERED_RESPONSE_MAX_BYTES);
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame?.into_data() else {
            continue;
        };
        if read.push(bytes).is_err() {
            return Ok(Reading::NoMemory);
        }
    }
    Ok(Reading::Complete)
}

/// A complete response as a body. It is passed on in the parts in which it was read, because the
/// connection of a caller asks for the next part only once it has little left to write.
struct CompleteBody(HeldParts);

impl http_body::Body for CompleteBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.pop().map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Waits for the first bytes of a stream and forwards the rest as it arrives. Until the first bytes
/// arrive nothing has been sent to the caller, so the request can still be answered by another
/// server or with an error. [`StreamRelay`] ends the request in flight, and logs the outcome of a
/// stream that has started.
async fn relay_stream(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    in_flight: InFlightRequest,
    response: ServerResponse,
    attempts: &Attempts,
) -> Result<Response<Body>, Failure> {
    let mut parts = strip_hop_by_hop(response.parts.clone());
    let mut relay = StreamRelay::new(host, call, placed, in_flight, response, attempts);
    if relay.may_go_on_elsewhere() {
        // The rest at another server may have another length.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    match relay.receive_first_chunk().await {
        Ok(()) => {
            tell_stream_origin(host, call, placed).await;
            Ok(Response::from_parts(parts, relay.into_body()))
        }
        Err(failure) => {
            log_failed(host, call, placed, &failure.to_string());
            let reason = failure.reason();
            Err(Failure {
                caller_result: Err(Refusal::new(reason)),
                was_sent: true,
                may_have_run: true,
                is_broken_at_start: matches!(failure, RelayError::Broken { .. }),
            })
        }
    }
}

/// Removes the headers that concern only the connection to the server.
fn strip_hop_by_hop(mut parts: response::Parts) -> response::Parts {
    parts.headers = end_to_end(&parts.headers);
    parts
}

/// Records, logs and counts a complete response with the time since the caller's request arrived.
/// `placed.entry` is the announcement of the server.
pub(crate) fn on_answered(host: &EntryHost, call: &Call, placed: &Placement, status: StatusCode) {
    let now = host.clock.now();
    let elapsed = now.since(call.admitted.arrived);
    info!(target: "request", id = call.head.id.as_str(),
        server = placed.entry.instance.as_str(), status = status.as_u16(), ms = millis(elapsed);
        "answered");
    host.stats
        .on_response(&call.admitted.route.name, status.as_str(), elapsed);
    count_attempt(host, call, "answered");
    if let Some(prompt) = call.head.prompt.as_ref().filter(|_| status.is_success()) {
        host.fleet().on_prompt_answered(now, prompt);
    }
}

/// Logs and counts a failed attempt with the time since the caller's request arrived. The error is
/// logged under the key `seen`, the digest of the request under `digest`, and the shared parts of the
/// prompt under `parts`: requests that make servers crash can be told from those that only lost their
/// server by what they have in common.
pub(crate) fn log_failed(host: &EntryHost, call: &Call, placed: &Placement, error: &str) {
    let elapsed = host.clock.now().since(call.admitted.arrived);
    let parts = call.head.prompt.as_ref().map(Prompt::shared_part_list);
    info!(target: "request", id = call.head.id.as_str(),
        server = placed.entry.instance.as_str(), seen = error,
        digest = call.digest.log_value().as_str(), parts = parts, ms = millis(elapsed);
        "attempt failed");
    count_attempt(host, call, "failed");
}

/// Counts an attempt as `answered` or `failed`.
fn count_attempt(host: &EntryHost, call: &Call, outcome: &str) {
    let service = call.admitted.service.as_str();
    host.stats
        .attempts
        .with_label_values(&[service, outcome])
        .inc();
}
