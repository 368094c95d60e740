//! Serves one request of a caller: admission, attempts at servers, answer.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use axum::http::request::Parts;
use axum::http::response;
use axum::http::uri::PathAndQuery;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use log::info;

use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::Flight;
use super::attempt::keep;
use super::attempt::send;
use super::dialect::CallHead;
use super::dialect::Dispatch;
use super::fleet::Admitted;
use super::fleet::FlightEnd;
use super::fleet::Placement;
use super::host::EntryHost;
use super::peers::Link;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::refusal::Waits;
use super::relay::Relay;
use super::schedule::Verdict;
use super::servers::ServerKey;
use crate::gateway::end_to_end;

/// Largest answer of a plain service that is checked as a whole before it is passed on, bytes.
const WHOLE_ANSWER_MAX: usize = 256 << 10;
/// Servers that are tried for one request, those that could not be reached included: each costs up
/// to the timeout of a connection.
const TRIES_MAX: usize = 4;
/// When to come back after no server could be reached: the first pause after a failed connection.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When to come back after a server refused for lack of room: a plain service works through its
/// queue in about this time.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When to come back to another host after this one was too busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Statuses that promise that a request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request that may be served.
pub(crate) struct Call {
    pub(crate) parts: Parts,
    pub(crate) head: CallHead,
    pub(crate) admitted: Admitted,
    pub(crate) body: Bytes,
}

impl Call {
    /// The request for a server.
    pub(crate) fn request(
        &self,
        host: &EntryHost,
        instance: &str,
        remaining: Duration,
        resumes_after: Option<&str>,
    ) -> hyper::Request<Full<Bytes>> {
        let mut req = hyper::Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.parts.method.clone();
        let target = self.parts.uri.path_and_query().cloned();
        *req.uri_mut() = target
            .unwrap_or_else(|| PathAndQuery::from_static("/"))
            .into();
        let mut headers = end_to_end(&self.parts.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let dispatch = Dispatch {
            instance,
            remaining,
            workspace: self.admitted.workspace.as_deref(),
            hides_key: self.admitted.hides_key,
            resumes_after: resumes_after.or(self.head.resumes_after.as_deref()),
        };
        (host.dialect.write_dispatch)(&mut headers, &dispatch);
        *req.headers_mut() = headers;
        req
    }
}

/// Serves a request.
pub(crate) async fn serve(State(host): State<Arc<EntryHost>>, req: Request) -> Response<Body> {
    let arrived = host.clock.now();
    let (parts, body) = req.into_parts();
    let head = match (host.dialect.read_call)(&parts, arrived) {
        Ok(head) => head,
        Err(fault) => {
            info!(target: "request", path = parts.uri.path(), reason = fault.to_string(); "bad head");
            return refuse(
                &host,
                None,
                "",
                Refusal::new(Reason::BadHead),
                Duration::ZERO,
            );
        }
    };
    let admitted = host.fleet().admit(arrived, &head, parts.uri.path());
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let path = parts.uri.path();
            info!(target: "request", id = head.id.as_str(), host = head.host.as_str(), path = path,
                config_age_ms = millis(host.fleet().config_age(arrived)),
                reason = refusal.reason.name(); "not admitted");
            return refuse(&host, Some(&head.id), "", refusal, Duration::ZERO);
        }
    };
    let route = admitted.route.clone();
    let id = head.id.clone();
    if host.lag.is_too_long() && head.prompt.is_some() {
        // The body is not read, nor a line written: that is the work to be spared.
        let refusal = Refusal::until(Reason::HostBusy, BUSY_RETRY_AFTER);
        return refuse(&host, Some(&id), &route.name, refusal, Duration::ZERO);
    }
    let deadline = host.clock.instant(admitted.give_up_at);
    let body = match tokio::time::timeout_at(deadline.into(), read_body(&host, body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => {
            info!(target: "request", id = id.as_str(), reason = reason.name(); "no body");
            return refuse(
                &host,
                Some(&id),
                &route.name,
                Refusal::new(reason),
                Duration::ZERO,
            );
        }
        Err(_) => {
            let refusal = Refusal::new(Reason::ExpiredUnsent);
            return refuse(&host, Some(&id), &route.name, refusal, route.timeout);
        }
    };
    let call = Arc::new(Call {
        parts,
        head,
        admitted,
        body,
    });
    match run(&host, &call).await {
        Ok(answer) => answer,
        Err(refusal) => {
            let elapsed = host.clock.now().since(arrived);
            info!(target: "request", id = id.as_str(), route = route.name.as_str(),
                workspace = call.admitted.workspace.as_deref(),
                config = call.admitted.config_version, reason = refusal.reason.name(),
                soonest_ms = refusal.waits.map(|waits| millis(waits.soonest)),
                limit_ms = refusal.waits.map(|waits| millis(waits.limit)),
                retry_after_ms = refusal.retry_after.map(millis), ms = millis(elapsed);
                "refused");
            refuse(&host, Some(&id), &route.name, refusal, elapsed)
        }
    }
}

async fn read_body(host: &EntryHost, body: Body) -> Result<Bytes, Reason> {
    let limit = host.fleet().config().map_or(0, |c| c.limits.body_bytes);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Err(_) => Err(Reason::BodyIncomplete),
    }
}

/// How an attempt ended without an answer that settles the request.
struct Failure {
    /// What the caller gets if no other attempt follows.
    ending: Result<Response<Body>, Refusal>,
    /// Whether the request reached the server.
    was_sent: bool,
    /// Whether the server may have run it.
    may_have_run: bool,
}

/// Sends a request to servers until one of them answers.
async fn run(host: &Arc<EntryHost>, call: &Arc<Call>) -> Result<Response<Body>, Refusal> {
    let admitted = &call.admitted;
    host.fleet().on_request(host.clock.now(), &admitted.service);
    let mut tried = Vec::new();
    let mut sent = 0;
    let mut last: Option<Failure> = None;
    loop {
        let start = match (place(host, call, &tried).await, last) {
            (Ok(start), _) => start,
            (Err(refusal), None) => return Err(refusal),
            (Err(_), Some(failure)) => return failure.ending,
        };
        tried.push(start.placed.server);
        let failure = match attempt(host, call, start).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        sent += u32::from(failure.was_sent);
        if !may_try_again(host, call, &failure, sent, tried.len()) {
            return failure.ending;
        }
        last = Some(failure);
    }
}

/// A request that is counted at a server and may be sent to it.
pub(crate) struct Start {
    pub(crate) placed: Placement,
    pub(crate) flight: Flight,
}

/// Finds a server for a request, other than those in `tried`.
pub(crate) async fn place(
    host: &Arc<EntryHost>,
    call: &Call,
    tried: &[ServerKey],
) -> Result<Start, Refusal> {
    let Some(prompt) = &call.head.prompt else {
        let now = host.clock.now();
        if call.admitted.give_up_at.has_passed(now) {
            return Err(Refusal::new(Reason::ExpiredUnsent));
        }
        let placed = host.fleet().place(now, &call.admitted.service, tried)?;
        let flight = Flight::new(host.clone(), placed.flight, None);
        return Ok(Start { placed, flight });
    };
    let mut unusable = Vec::new();
    let mut shards_passed = 0;
    loop {
        let now = host.clock.now();
        if call.admitted.give_up_at.has_passed(now) {
            return Err(Refusal::new(Reason::ExpiredUnsent));
        }
        let mut bid = host.fleet().bid(now, &call.admitted, prompt, tried)?;
        bid.excluded.extend(&unusable);
        bid.shard = bid.shard.shifted(shards_passed);
        let (verdict, scheduler) = host.link.decide(host, &bid).await;
        let (ticket, server, after, unread) = match verdict {
            Verdict::Start {
                ticket,
                server,
                after,
                unread_tokens,
            } => (ticket, server, after, unread_tokens),
            Verdict::Refuse {
                retry_after,
                soonest,
                limit,
            } => {
                return Err(Refusal {
                    reason: Reason::Overloaded,
                    retry_after: Some(retry_after),
                    waits: Some(Waits { soonest, limit }),
                });
            }
            // Engines of other shards may be usable.
            Verdict::Unknown if shards_passed + 1 < bid.shard.count => {
                shards_passed += 1;
                continue;
            }
            Verdict::Unknown => {
                return Err(Refusal::until(Reason::NoServer, UNREACHABLE_RETRY_AFTER));
            }
        };
        let mut scheduled = Link::scheduled(host, scheduler, ticket);
        if !after.is_zero() {
            tokio::time::sleep(after).await;
        }
        let now = host.clock.now();
        scheduled.on_sent(now);
        let placed = host
            .fleet()
            .start(now, &call.admitted, prompt, server, unread);
        if let Some(placed) = placed {
            let flight = Flight::new(host.clone(), placed.flight, Some(scheduled));
            return Ok(Start { placed, flight });
        }
        // The scheduler's view of the server and this host's differ.
        unusable.push(server);
    }
}

/// Whether a request may go to another server after a failed attempt. Takes a repeat out of the
/// budget if it does and the request has reached a server.
fn may_try_again(
    host: &EntryHost,
    call: &Call,
    failure: &Failure,
    sent: u32,
    tried: usize,
) -> bool {
    let admitted = &call.admitted;
    if failure.may_have_run && !admitted.route.repeat.may_run_again() {
        return false;
    }
    if sent >= admitted.route.attempts_max || tried >= TRIES_MAX {
        return false;
    }
    let now = host.clock.now();
    if !failure.was_sent && sent == 0 {
        return true;
    }
    host.fleet().take_retry(now, &admitted.service)
}

/// Sends a request to one server and takes in its answer.
async fn attempt(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    start: Start,
) -> Result<Response<Body>, Failure> {
    let Start { placed, flight } = start;
    info!(target: "request", id = call.head.id.as_str(),
        route = call.admitted.route.name.as_str(),
        workspace = call.admitted.workspace.as_deref(),
        config = call.admitted.config_version, server = placed.entry.instance.as_str(),
        unread = placed.unread_tokens, returning = call.admitted.is_returning,
        left_ms = millis(call.admitted.give_up_at.remaining(host.clock.now()));
        "sent");
    let request = |remaining| call.request(host, &placed.entry.instance, remaining, None);
    match send(host, &placed.entry, call.admitted.give_up_at, request).await {
        Ok(answer) => judge(host, call, &placed, flight, answer).await,
        Err(err) => Err(on_error(host, call, &placed, flight, &err)),
    }
}

fn on_error(
    host: &EntryHost,
    call: &Call,
    placed: &Placement,
    flight: Flight,
    err: &AttemptError,
) -> Failure {
    let (end, reason, was_sent) = match err {
        AttemptError::NotSent { .. } => (FlightEnd::Unreachable, Reason::NoServer, false),
        AttemptError::NoAnswer { .. } => (FlightEnd::Failed, Reason::ServerFailed, true),
        AttemptError::Silent => (FlightEnd::Silent, Reason::ExpiredSent, true),
    };
    flight.end(end);
    log_failed(host, call, placed, &err.to_string());
    Failure {
        ending: Err(match was_sent {
            true => Refusal::new(reason),
            false => Refusal::until(reason, UNREACHABLE_RETRY_AFTER),
        }),
        was_sent,
        may_have_run: was_sent,
    }
}

/// Decides on the head of an answer, and takes in the body of a plain one.
async fn judge(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    placed: &Placement,
    flight: Flight,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let status = answer.parts.status;
    let failed = |reason: Reason, may_have_run| Failure {
        ending: Err(match may_have_run {
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
        keep(host, answer.connection, &answer.head);
        return Err(failed(Reason::RefusedByServer, false));
    }
    let is_success = status.is_success();
    if is_success && !answer.head.is_sealed {
        flight.end(FlightEnd::Failed);
        log_failed(host, call, placed, "answer without a seal");
        return Err(failed(Reason::ServerFailed, true));
    }
    if PROMISES.contains(&status) {
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
    flight.on_begun();
    let deadline = host.clock.instant(call.admitted.give_up_at);
    let whole = Limited::new(answer.body, WHOLE_ANSWER_MAX).collect();
    let (end, reason, seen) = match tokio::time::timeout_at(deadline.into(), whole).await {
        Ok(Ok(body)) => {
            let status = answer.parts.status;
            let response = Response::from_parts(for_caller(answer.parts), body.to_bytes().into());
            keep(host, answer.connection, &answer.head);
            if !status.is_server_error() {
                flight.end(FlightEnd::Answered);
                log_answered(host, call, placed, status);
                return Ok(response);
            }
            flight.end(FlightEnd::Failed);
            log_failed(host, call, placed, &format!("status {status}"));
            return Err(Failure {
                ending: Ok(response),
                was_sent: true,
                may_have_run: true,
            });
        }
        Ok(Err(err)) => (FlightEnd::Failed, Reason::ServerFailed, err.to_string()),
        Err(_) => (
            FlightEnd::Silent,
            Reason::ExpiredSent,
            "no whole answer in time".to_owned(),
        ),
    };
    flight.end(end);
    log_failed(host, call, placed, &seen);
    Err(Failure {
        ending: Err(Refusal::new(reason)),
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
    let parts = for_caller(answer.parts.clone());
    let mut relay = Relay::new(host, call, placed, flight, answer);
    match relay.first().await {
        Ok(()) => Ok(Response::from_parts(parts, relay.into_body())),
        Err(failure) => {
            log_failed(host, call, placed, &failure.to_string());
            let reason = failure.reason();
            Err(Failure {
                ending: Err(Refusal::new(reason)),
                was_sent: true,
                may_have_run: true,
            })
        }
    }
}

fn for_caller(mut parts: response::Parts) -> response::Parts {
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

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Answers a request by this host itself.
fn refuse(
    host: &EntryHost,
    id: Option<&CompactString>,
    route: &str,
    refusal: Refusal,
    elapsed: Duration,
) -> Response<Body> {
    let name = refusal.reason.name();
    host.stats.on_answer(route, name, elapsed);
    let mut answer = Response::new(Body::from(format!("{{\"error\":\"{name}\"}}\n")));
    *answer.status_mut() = refusal.reason.status();
    let headers = answer.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(id) = id {
        (host.dialect.write_call_id)(headers, id);
    }
    if let Some(wait) = refusal.retry_after {
        (host.dialect.write_retry_after)(headers, wait);
    }
    answer
}
