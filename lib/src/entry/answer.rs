//! What a server's answer, or the lack of one, means for a request.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use log::info;

use super::assign::UNREACHABLE_RETRY_AFTER;
use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::Flight;
use super::attempt::reuse_connection;
use super::fleet::FlightEnd;
use super::forward::Call;
use super::forward::millis;
use super::host::EntryHost;
use super::placing::Placement;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::relay::StreamRelay;
use crate::gateway::end_to_end;

/// Largest answer of a plain service that is checked as a whole before it is passed on, bytes.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 256 << 10;
/// When to come back after a server refused for lack of room: a plain service works through its
/// queue in about this time.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How an attempt ended without an answer that settles the request.
pub(crate) struct Failure {
    /// What the caller gets if no other attempt follows.
    pub(crate) caller_result: Result<Response<Body>, Refusal>,
    /// Whether the request reached the server.
    pub(crate) was_sent: bool,
    /// Whether the server may have run it.
    pub(crate) may_have_run: bool,
}

/// What becomes of a request without an answer.
pub(crate) fn on_error(
    host: &EntryHost,
    call: &Call,
    placed: &Placement,
    flight: Flight,
    err: &AttemptError,
) -> Failure {
    let (end, reason, was_sent) = match err {
        AttemptError::NotSent { .. } => (FlightEnd::Unreachable, Reason::NoServer, false),
        AttemptError::NoRoom { .. } => (FlightEnd::Abandoned, Reason::HostBusy, false),
        AttemptError::NoAnswer { .. } => (FlightEnd::Failed, Reason::ServerFailed, true),
        AttemptError::TimedOut => (FlightEnd::TimedOut, Reason::ExpiredSent, true),
    };
    flight.end(end);
    log_failed(host, call, placed, &err.to_string());
    Failure {
        caller_result: Err(match was_sent {
            true => Refusal::new(reason),
            false => Refusal::until(reason, UNREACHABLE_RETRY_AFTER),
        }),
        was_sent,
        may_have_run: was_sent,
    }
}

/// Decides on the head of an answer, and takes in the body of a plain one.
pub(crate) async fn handle_response(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    flight: Flight,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let status = answer.parts.status;
    let failed = |reason: Reason, may_have_run| Failure {
        caller_result: Err(match may_have_run {
            true => Refusal::new(reason),
            false => Refusal::until(reason, REFUSED_RETRY_AFTER),
        }),
        was_sent: true,
        may_have_run,
    };
    if answer.head.id.as_ref() != Some(&call.head.id) {
        flight.end(FlightEnd::Failed);
        log_failed(host, call, placed, "answer to another request");
        return Err(failed(Reason::ServerFailed, true));
    }
    if status == StatusCode::MISDIRECTED_REQUEST || answer.head.not_run {
        flight.end(match status {
            StatusCode::MISDIRECTED_REQUEST => FlightEnd::Misdirected,
            _ => FlightEnd::Refused,
        });
        log_failed(host, call, placed, &format!("not run: {status}"));
        reuse_connection(host, answer.connection, &answer.head);
        return Err(failed(Reason::RefusedByServer, false));
    }
    let is_success = status.is_success();
    if is_success && !answer.head.is_sealed {
        flight.end(FlightEnd::Failed);
        log_failed(host, call, placed, "answer without a seal");
        return Err(failed(Reason::ServerFailed, true));
    }
    if NOT_RUN_STATUSES.contains(&status) {
        flight.end(FlightEnd::Failed);
        log_failed(
            host,
            call,
            placed,
            &format!("status {status} without a promise"),
        );
        return Err(failed(Reason::ServerFailed, true));
    }
    if is_success && call.admitted.route.repeat.is_stream() {
        return relay_stream(host, call, placed, flight, answer).await;
    }
    relay_plain(host, call, placed, flight, answer).await
}

/// Takes in the whole answer of a plain service before it passes it on.
async fn relay_plain(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    mut flight: Flight,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    flight.on_response_started();
    let deadline = host.clock.instant(call.admitted.give_up_at);
    let whole = Limited::new(answer.body, BUFFERED_RESPONSE_MAX_BYTES).collect();
    let (end, reason, seen) = match tokio::time::timeout_at(deadline.into(), whole).await {
        Ok(Ok(body)) => {
            let status = answer.parts.status;
            let response =
                Response::from_parts(strip_hop_by_hop(answer.parts), body.to_bytes().into());
            reuse_connection(host, answer.connection, &answer.head);
            if !status.is_server_error() {
                flight.end(FlightEnd::Answered);
                log_answered(host, call, placed, status);
                return Ok(response);
            }
            flight.end(FlightEnd::Failed);
            log_failed(host, call, placed, &format!("status {status}"));
            return Err(Failure {
                caller_result: Ok(response),
                was_sent: true,
                may_have_run: true,
            });
        }
        Ok(Err(err)) => (FlightEnd::Failed, Reason::ServerFailed, err.to_string()),
        Err(_) => (
            FlightEnd::TimedOut,
            Reason::ExpiredSent,
            "no whole answer in time".to_owned(),
        ),
    };
    flight.end(end);
    log_failed(host, call, placed, &seen);
    Err(Failure {
        caller_result: Err(Refusal::new(reason)),
        was_sent: true,
        may_have_run: true,
    })
}

/// Waits for the first event of a stream, and passes on the rest as it comes.
async fn relay_stream(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    flight: Flight,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let parts = strip_hop_by_hop(answer.parts.clone());
    let mut relay = StreamRelay::new(host, call, placed, flight, answer);
    match relay.receive_first_chunk().await {
        Ok(()) => Ok(Response::from_parts(parts, relay.into_body())),
        Err(failure) => {
            log_failed(host, call, placed, &failure.to_string());
            let reason = failure.reason();
            Err(Failure {
                caller_result: Err(Refusal::new(reason)),
                was_sent: true,
                may_have_run: true,
            })
        }
    }
}

fn strip_hop_by_hop(mut parts: response::Parts) -> response::Parts {
    parts.headers = end_to_end(&parts.headers);
    parts
}

pub(crate) fn log_answered(host: &EntryHost, call: &Call, placed: &Placement, status: StatusCode) {
    let elapsed = host.clock.now().since(call.admitted.arrived);
    info!(target: "request", id = call.head.id.as_str(),
        server = placed.entry.instance.as_str(), status = status.as_u16(), ms = millis(elapsed);
        "answered");
    host.stats
        .on_answer(&call.admitted.route.name, status.as_str(), elapsed);
    count_attempt(host, call, "answered");
}

pub(crate) fn log_failed(host: &EntryHost, call: &Call, placed: &Placement, seen: &str) {
    let elapsed = host.clock.now().since(call.admitted.arrived);
    info!(target: "request", id = call.head.id.as_str(),
        server = placed.entry.instance.as_str(), seen = seen, ms = millis(elapsed);
        "attempt failed");
    count_attempt(host, call, "failed");
}

fn count_attempt(host: &EntryHost, call: &Call, outcome: &str) {
    let service = call.admitted.service.as_str();
    host.stats
        .attempts
        .with_label_values(&[service, outcome])
        .inc();
}
