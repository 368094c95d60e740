//! Handles one request of a caller to an entry host, a reverse proxy between callers and backend
//! servers: admits it, reads its body and sends it to servers until one gives a final response.
//!
//! A request is sent again only if the failed server cannot have run it, or if its route (the
//! configured class of requests to which it belongs) allows that it runs more than once. Retries
//! are limited per request. For each service (group of interchangeable servers) they are also
//! limited by a budget that is divided among all entry hosts, so that retries do not multiply the
//! load while servers are failing.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::header;
use axum::http::request::Parts;
use axum::http::uri::PathAndQuery;
use compact_str::CompactString;
use http_body_util::Full;
use log::info;

use super::admission::Admitted;
use super::assign::Assignment;
use super::assign::assign_server;
use super::attempt::send;
use super::dialect::CallHead;
use super::dialect::Dispatch;
use super::host::EntryHost;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::response::Failure;
use super::response::handle_response;
use super::response::on_error;
use super::servers::ServerKey;
use super::stopping::RETRY_AFTER;
use super::stream_origins::StreamKey;
use super::take_up::continued_stream;
use crate::crashing::RequestDigest;
use crate::gateway::HeldBody;
use crate::gateway::end_to_end;
use crate::gateway::read_held_body;
use crate::time::Timestamp;

/// Maximum number of servers tried for one request, including those that could not be reached.
/// Those are limited too because each may cost the connection timeout.
const TRIES_MAX: usize = 4;
/// Retry time given to callers if there is no memory for the body of their request. Requests to servers
/// that run a model hold theirs for about this time.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted request with its body.
pub(crate) struct Call {
    /// Head as received.
    pub(crate) parts: Parts,
    /// Head as read by the dialect: the functions that convert heads from and to the HTTP headers
    /// of this deployment.
    pub(crate) head: CallHead,
    /// Route, workspace and deadline.
    pub(crate) admitted: Admitted,
    body: HeldBody,
    /// The same for every repeat of the request.
    pub(crate) digest: RequestDigest,
}

impl Call {
    fn new(parts: Parts, head: CallHead, admitted: Admitted, body: HeldBody) -> Self {
        let workspace = admitted.workspace.as_deref();
        Self {
            digest: RequestDigest::new(
                &parts.method,
                &head.host,
                &parts.uri,
                workspace,
                &body.bytes,
            ),
            parts,
            head,
            admitted,
            body,
        }
    }

    /// The stream that the request continues, `None` if it does not or the caller does not name it.
    pub(crate) fn stream_key(&self) -> Option<StreamKey> {
        let resumes = self.head.resumes.as_deref();
        let attempt = resumes.filter(|_| self.head.resumes_after.is_some())?;
        Some(StreamKey::new(self.admitted.workspace.as_deref(), attempt))
    }

    /// Builds the request for a server. `remaining` is the time until the deadline. If the server
    /// is to continue a stream that broke off, `resumes_after` is the identifier of the last event
    /// that the caller received of it; otherwise the one in the caller's request applies, if any.
    pub(crate) fn request(
        &self,
        host: &EntryHost,
        instance: &str,
        remaining: Duration,
        resumes_after: Option<&str>,
    ) -> hyper::Request<Full<Bytes>> {
        let mut req = hyper::Request::new(Full::new(self.body.bytes.clone()));
        *req.method_mut() = self.parts.method.clone();
        let target = self.parts.uri.path_and_query().cloned();
        *req.uri_mut() = target
            .unwrap_or_else(|| PathAndQuery::from_static("/"))
            .into();
        let mut headers = end_to_end(&self.parts.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let dispatch = Dispatch {
            // Another instance at the same address rejects the request.
            instance,
            remaining,
            workspace: self.admitted.workspace.as_deref(),
            // Whether the caller's key is removed. It is if the configuration has workspaces
            // (customers), because the hosts check the keys then.
            hides_key: self.admitted.hides_key,
            resumes_after: resumes_after.or(self.head.resumes_after.as_deref()),
        };
        (host.dialect.write_dispatch)(&mut headers, &dispatch);
        *req.headers_mut() = headers;
        req
    }
}

/// Handles a request of a caller. While the host withdraws its readiness because it is overloaded or
/// stopping, responses also close the caller's connection, so that the caller reconnects to another host.
/// Otherwise a stopping host would have to close connections that are in use, and a request that is on its
/// way just then would get no response.
pub(crate) async fn serve(State(host): State<Arc<EntryHost>>, req: Request) -> Response<Body> {
    // `host.lag` measures the lag, that is how late this host's timers fire. Measuring pauses while
    // there are no requests; this resumes it.
    host.lag.on_request();
    host.stats.callers.requests.inc();
    let mut response = serve_caller(&host, req).await;
    let now = host.clock.now();
    let is_stopping = host.fleet().is_stopping();
    let is_leaving = host.lag.lag().closes_connections(now);
    if is_stopping || is_leaving {
        close_connection(&mut response);
    }
    response
}

/// Makes a response close the caller's connection.
fn close_connection(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Admits a request, reads its body and sends it to servers. Every failure becomes a response with
/// an error body.
async fn serve_caller(host: &Arc<EntryHost>, req: Request) -> Response<Body> {
    let arrived = host.clock.now();
    let (parts, body) = req.into_parts();
    let head = match (host.dialect.read_call)(&parts, arrived) {
        Ok(head) => head,
        Err(fault) => {
            info!(target: "request", path = parts.uri.path(), reason = fault.to_string();
                "invalid request head");
            return refuse(
                host,
                None,
                "",
                Refusal::new(Reason::BadHead),
                Duration::ZERO,
            );
        }
    };
    // `fleet()` locks what this host knows of the fleet (all entry hosts): the configuration, the
    // servers, the hosts and the retry budgets.
    let admitted = host.fleet().admit(arrived, &head, parts.uri.path());
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let path = parts.uri.path();
            // `host` in the log line is the `Host` header of the request.
            info!(target: "request", id = head.id.as_str(), host = head.host.as_str(), path = path,
                config_age_ms = millis(host.fleet().config_age(arrived)),
                reason = refusal.reason.name(); "not admitted");
            return refuse(host, Some(&head.id), "", refusal, Duration::ZERO);
        }
    };
    let route = admitted.route.clone();
    let id = head.id.clone();
    let new_prompt = head
        .prompt
        .as_ref()
        .filter(|_| head.resumes_after.is_none());
    if let Some(prompt) = new_prompt {
        host.fleet().tally().on_asked(&admitted, prompt);
    }
    // A stream that continues was admitted when it began.
    if let Some(prompt) = new_prompt
        && let Some(refusal) = refusal_behind_work(host, arrived, &admitted)
    {
        host.fleet().on_refused_locally(&admitted, prompt);
        host.link.on_refused_by_host();
        let mut response = refuse(host, Some(&id), &route.name, refusal, Duration::ZERO);
        // The caller would send its next request on this connection, which costs more to refuse than a
        // new connection.
        close_connection(&mut response);
        return response;
    }
    if host.stopping.refuses(arrived, admitted.give_up_at) {
        return refuse(host, Some(&id), &route.name, stopping(), Duration::ZERO);
    }
    let body = match read_in_time(host, &admitted, body).await {
        Ok(body) => body,
        Err(Reason::ExpiredUnsent) => {
            let refusal = Refusal::new(Reason::ExpiredUnsent);
            return refuse(host, Some(&id), &route.name, refusal, route.timeout);
        }
        Err(reason) => {
            let refusal = on_unread(host, &head, &admitted, reason);
            return refuse(host, Some(&id), &route.name, refusal, Duration::ZERO);
        }
    };
    let call = Arc::new(Call::new(parts, head, admitted, body));
    match send_with_retries(host, &call).await {
        Ok(mut response) => {
            if prefers_new_connection(host, &call) {
                close_connection(&mut response);
            }
            response
        }
        Err(refusal) => {
            let elapsed = host.clock.now().since(arrived);
            log_refused(&call, &refusal, elapsed);
            refuse(host, Some(&id), &route.name, refusal, elapsed)
        }
    }
}

/// Logs a request that was refused after it was read. If a scheduler refused it, the line has the two times to
/// the first event of the response that it compared: `soonest` is the shortest that a server could
/// offer, `limit` the longest allowed.
fn log_refused(call: &Call, refusal: &Refusal, elapsed: Duration) {
    info!(target: "request", id = call.head.id.as_str(), route = call.admitted.route.name.as_str(),
        workspace = call.admitted.workspace.as_deref(),
        config = call.admitted.config_version, reason = refusal.reason.name(),
        soonest_ms = refusal.waits.map(|waits| millis(waits.soonest)),
        limit_ms = refusal.waits.map(|waits| millis(waits.limit)),
        retry_after_ms = refusal.retry_after.map(millis), ms = millis(elapsed);
        "refused");
}

/// The refusal of a request to a model while this host is behind its work, `None` if it may be scheduled.
/// Requests to plain services, which run no model, are still served, and so are workspaces that send the
/// host few requests. To save work, the body is not read and no line is logged for the request. The host
/// logs the number of refusals each second.
fn refusal_behind_work(
    host: &EntryHost,
    arrived: Timestamp,
    admitted: &Admitted,
) -> Option<Refusal> {
    if !host.fleet().is_busy_workspace(admitted) {
        return None;
    }
    let wait = host.lag.lag().on_busy_request(arrived)?;
    host.stats.refused_overloaded.inc();
    Some(Refusal::with_retry_after(Reason::HostBusy, wait))
}

/// Whether the caller should send its next request on a new connection: this host is behind its work, the
/// workspace sends it many requests, and other hosts can serve them.
fn prefers_new_connection(host: &EntryHost, call: &Call) -> bool {
    call.head.prompt.is_some()
        && host.lag.lag().prefers_new_connections()
        && host.fleet().is_busy_workspace(&call.admitted)
        && host.link.has_helper(host.clock.now())
}

/// The refusal of a request that this host has no time left for, because it is stopping.
fn stopping() -> Refusal {
    Refusal::with_retry_after(Reason::HostStopping, RETRY_AFTER)
}

/// Reads a request body until the deadline of the request, or until this host has no time left for the
/// request because it is stopping.
async fn read_in_time(
    host: &EntryHost,
    admitted: &Admitted,
    body: Body,
) -> Result<HeldBody, Reason> {
    let deadline = host.clock.instant(admitted.give_up_at);
    let held = host.body_memory.start(admitted.workspace.clone());
    let limit = host.fleet().config().map_or(0, |c| c.limits.body_bytes);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let reading = read_held_body(body, limit, held);
    let reading = tokio::time::timeout_at(deadline.into(), reading);
    let read = tokio::select! {
        read = reading => match read {
            Ok(read) => read.map_err(Reason::from),
            Err(_) => Err(Reason::ExpiredUnsent),
        },
        () = host.stopping.ends_reading(host.clock) => Err(Reason::HostStopping),
    };
    match host.stopping.refuses(host.clock.now(), admitted.give_up_at) {
        true => read.and(Err(Reason::HostStopping)),
        false => read,
    }
}

/// Logs or counts a request whose body was not read. Returns what its caller gets.
fn on_unread(host: &EntryHost, head: &CallHead, admitted: &Admitted, reason: Reason) -> Refusal {
    if reason == Reason::HostStopping {
        return stopping();
    }
    if reason != Reason::HostMemory {
        info!(target: "request", id = head.id.as_str(), reason = reason.name();
            "cannot read request body");
        return Refusal::new(reason);
    }
    // No line is logged for the request; the lack of memory is logged when it begins and ends.
    host.stats.refused_memory.inc();
    if let Some(prompt) = &head.prompt {
        host.fleet().on_refused_locally(admitted, prompt);
        host.link.on_refused_by_host();
    }
    Refusal::with_retry_after(reason, MEMORY_RETRY_AFTER)
}

/// The attempts made so far to send a request to a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    /// Servers that were tried, including those to which nothing could be sent.
    pub(crate) tried: Vec<ServerKey>,
    /// Number of attempts in which a byte of the request was sent.
    pub(crate) sent_count: u32,
    /// Whether a server may have run the request.
    may_have_run: bool,
}

impl Attempts {
    fn add(&mut self, failure: &Failure) {
        self.sent_count += u32::from(failure.was_sent);
        self.may_have_run |= failure.may_have_run;
    }

    /// What the caller gets after the last attempt. A refusal states that the request has not run,
    /// which only holds if it cannot have run in any attempt.
    fn caller_result(
        &self,
        last: Result<Response<Body>, Refusal>,
    ) -> Result<Response<Body>, Refusal> {
        last.map_err(
            |refusal| match self.may_have_run && refusal.reason.is_not_run() {
                true => Refusal::new(Reason::ServerFailed),
                false => refusal,
            },
        )
    }
}

/// Sends a request to one server after another until one gives a final response or no retry is
/// allowed. If no further server can be assigned, the caller gets the result of the last attempt.
async fn send_with_retries(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
) -> Result<Response<Body>, Refusal> {
    let admitted = &call.admitted;
    // Adds to the retry budget of the service, once per request.
    host.fleet().on_request(host.clock.now(), &admitted.service);
    let stream = continued_stream(host, call).await?;
    let mut attempts = Attempts::default();
    let mut last: Option<Failure> = None;
    loop {
        let assignment = assign_server(host, call, stream.as_ref(), &attempts.tried).await;
        let assignment = match (assignment, last) {
            (Ok(assignment), _) => assignment,
            (Err(refusal), None) => return Err(refusal),
            (Err(_), Some(failure)) => return attempts.caller_result(failure.caller_result),
        };
        attempts.tried.push(assignment.placed.server);
        let failure = match attempt(host, call, assignment, &attempts).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        attempts.add(&failure);
        if !may_try_again(host, call, &failure, &attempts) {
            return attempts.caller_result(failure.caller_result);
        }
        last = Some(failure);
    }
}

/// Whether a request may be sent to another server after a failed attempt. Takes a retry from the
/// budget of the service, unless no byte of the request has been sent to any server.
fn may_try_again(host: &EntryHost, call: &Call, failure: &Failure, attempts: &Attempts) -> bool {
    let admitted = &call.admitted;
    if failure.may_have_run && !admitted.route.retry_policy.may_run_again() {
        return false;
    }
    // The prompt may be what ended the server, and would end the next one too.
    if failure.is_broken_at_start && call.head.prompt.is_some() {
        return false;
    }
    if attempts.sent_count >= admitted.route.attempts_max || attempts.tried.len() >= TRIES_MAX {
        return false;
    }
    let now = host.clock.now();
    if attempts.sent_count == 0 {
        return true;
    }
    host.fleet().take_retry(now, &admitted.service)
}

/// Sends a request to the assigned server, the last one in `attempts`, and evaluates its response.
async fn attempt(
    host: &Arc<EntryHost>,
    call: &Arc<Call>,
    assignment: Assignment,
    attempts: &Attempts,
) -> Result<Response<Body>, Failure> {
    let Assignment { placed, in_flight } = assignment;
    let prompt = call.head.prompt.as_ref();
    if let Some(prompt) = prompt
        && call.head.resumes_after.is_none()
        && attempts.tried.len() == 1
    {
        host.fleet().tally().on_sent(&call.admitted, prompt);
    }
    let unread_shared =
        prompt.map(|prompt| placed.uncached_tokens.saturating_sub(prompt.own_tokens()));
    // `placed.entry` is the server's last announcement. `unread` is the number of prompt tokens that
    // the server has to process, `unread_shared` how many of them other requests share; `returning`
    // tells whether the request looks like a caller's retry after a refusal. `resumes` is the caller's
    // attempt that began the stream which the request continues.
    info!(target: "request", id = call.head.id.as_str(),
        route = call.admitted.route.name.as_str(),
        workspace = call.admitted.workspace.as_deref(),
        config = call.admitted.config_version, server = placed.entry.instance.as_str(),
        version = placed.entry.version.as_str(), resumes = call.head.resumes.as_deref(),
        unread = placed.uncached_tokens, unread_shared = unread_shared, returning = call.admitted.is_caller_retry,
        left_ms = millis(call.admitted.give_up_at.remaining(host.clock.now()));
        "sending request to server");
    let request = |remaining| call.request(host, &placed.entry.instance, remaining, None);
    match send(host, &placed.entry, call.admitted.give_up_at, request).await {
        Ok(response) => {
            in_flight.on_response_head(&placed, &response.head);
            handle_response(host, call, &placed, in_flight, response, attempts).await
        }
        Err(err) => Err(on_error(host, call, &placed, in_flight, &err)),
    }
}

/// A duration in milliseconds, rounded down, for log lines.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Builds and counts an error response of this host. `id` is `None` if the request's head could not
/// be read, `route` empty if the request was not admitted. `elapsed` is the response time that is
/// counted. For a request whose body was not read completely it is zero, or the timeout of the
/// route if the deadline passed during the read.
fn refuse(
    host: &EntryHost,
    id: Option<&CompactString>,
    route: &str,
    refusal: Refusal,
    elapsed: Duration,
) -> Response<Body> {
    let name = refusal.reason.name();
    host.stats.on_response(route, name, elapsed);
    let mut response = Response::new(Body::from(format!("{{\"error\":\"{name}\"}}\n")));
    *response.status_mut() = refusal.reason.status();
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(id) = id {
        (host.dialect.write_call_id)(headers, id);
    }
    if let Some(wait) = refusal.retry_after {
        (host.dialect.write_retry_after)(headers, wait);
    }
    response
}
