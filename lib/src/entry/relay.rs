//! Forwards a stream of server-sent events from a backend server to a caller. This host is an entry
//! host, a reverse proxy between the two.
//!
//! If the server breaks off, a resumable stream is continued at another server; the configuration
//! of the route (class of requests) states whether its streams are resumable. The request to that
//! server carries the identifier of the last complete event that the caller received. To make that
//! possible, resumable streams are forwarded only in complete events.

use std::sync::Arc;

use axum::body::Body;
use axum::body::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use log::info;
use snafu::Snafu;

use super::assign::Assignment;
use super::assign::assign_server;
use super::attempt::InFlightRequest;
use super::attempt::ServerResponse;
use super::attempt::reuse_connection;
use super::attempt::send;
use super::config::RetryPolicy;
use super::dialect::ResponseHead;
use super::events::EventBuffer;
use super::events::EventTracker;
use super::fleet::RequestOutcome;
use super::forward::Attempts;
use super::forward::Call;
use super::forward::millis;
use super::host::EntryHost;
use super::refusal::Reason;
use super::request_placement::Placement;
use super::response::log_failed;
use super::response::on_answered;
use super::servers::ServerKey;
use super::take_up::ContinuedStream;
use crate::gateway::Connection;
use crate::gateway::HeldBytes;
use crate::gateway::HeldParts;
use crate::platform::format_error_chain;

/// Content type of a stream of server-sent events.
const EVENTS_TYPE: &str = "text/event-stream";
/// Most bytes of one event. An event of a model holds a few tokens.
const EVENT_MAX_BYTES: usize = 1 << 20;
/// Most bytes that are forwarded after the deadline: what may have arrived before, in the buffers of the
/// socket and of the connection.
const LATE_MAX_BYTES: usize = 128 << 10;

/// What is logged of a response that ended with its connection before the server had the whole request. The
/// response may be a part only.
pub(crate) const CLOSED_EARLY: &str = "connection closed before the request had arrived";

/// Why a stream ended early.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum RelayError {
    /// The connection to the server failed, or the server ended the stream within an event.
    #[snafu(display("stream broke off: {reason}"))]
    Broken {
        /// Error of the stream.
        reason: String,
    },
    /// The host has no memory for more of an event.
    #[snafu(display("no memory for an event of the stream"))]
    NoMemory,
    /// The deadline of the request passed.
    #[snafu(display("deadline passed before the end of the stream"))]
    TimedOut,
}

impl RelayError {
    /// The reason sent to a caller that has not received any part of the stream.
    pub(crate) fn reason(&self) -> Reason {
        match self {
            Self::Broken { .. } | Self::NoMemory => Reason::ServerFailed,
            Self::TimedOut => Reason::ExpiredSent,
        }
    }
}

/// The connection to the server that sends a stream.
struct Upstream {
    in_flight: InFlightRequest,
    body: Incoming,
    head: ResponseHead,
    connection: Connection,
    /// Events of the server, `None` if its response has a content type other than that of events.
    tracker: Option<EventTracker>,
    /// Whether the body ends with the connection, because the head states neither a length nor
    /// chunks.
    ends_with_connection: bool,
    has_data: bool,
}

impl Upstream {
    fn new(in_flight: InFlightRequest, response: ServerResponse) -> Self {
        Self {
            in_flight,
            ends_with_connection: response.ends_with_connection(),
            body: response.body,
            head: response.head,
            connection: response.connection,
            tracker: is_event_stream(&response.parts.headers).then(EventTracker::default),
            has_data: false,
        }
    }

    /// Records bytes of the body. Returns how many of them belong to events that are complete now.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long.
    fn on_data(&mut self, bytes: &[u8]) -> Result<Option<usize>, RelayError> {
        self.has_data |= !bytes.is_empty();
        let Some(tracker) = &mut self.tracker else {
            return Ok(None);
        };
        let complete = tracker.push(bytes);
        let pending = tracker.pending_bytes();
        if pending <= EVENT_MAX_BYTES {
            return Ok(complete);
        }
        Err(RelayError::Broken {
            reason: format!("event not ended after {pending} of {EVENT_MAX_BYTES} bytes"),
        })
    }

    /// Checks that a body that has ended is complete.
    ///
    /// # Errors
    ///
    /// Fails if the body ended within an event, or with its connection before any event or before the end of
    /// the request.
    fn on_end(&self) -> Result<(), RelayError> {
        let reason = if self
            .tracker
            .as_ref()
            .is_some_and(EventTracker::is_within_event)
        {
            "ended within an event"
        } else if self.ends_with_connection && !self.has_data {
            "connection closed before the first event"
        } else if self.ends_with_connection && self.connection.gate.ended_early() {
            CLOSED_EARLY
        } else {
            return Ok(());
        };
        Err(RelayError::Broken {
            reason: reason.to_owned(),
        })
    }
}

/// Whether a response is a stream of events, which one without a content type is taken for.
fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_none_or(|value| {
        let start = value.as_bytes().get(..EVENTS_TYPE.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(EVENTS_TYPE.as_bytes()))
    })
}

/// A stream that is being forwarded.
pub(crate) struct StreamRelay {
    host: Arc<EntryHost>,
    call: Arc<Call>,
    /// The server that sends the stream, or the last one that did.
    placed: Placement,
    /// `None` after the end of the stream or a failure.
    upstream: Option<Upstream>,
    /// Set for resumable streams, which are forwarded in complete events.
    events: Option<EventBuffer>,
    /// Bytes received before the response to the caller was started.
    first_parts: HeldParts,
    /// Counts the incomplete event in `events` against the memory of the host.
    held_event: HeldBytes,
    /// Status under which the complete response is counted. For streams it is 200, whatever success
    /// status the server sent.
    status: StatusCode,
    /// Bytes received after the deadline.
    late_bytes: usize,
    /// Whether nothing more is forwarded: the stream is complete, or has failed for good.
    has_ended: bool,
    /// Servers that were tried, the one that sends the stream last.
    tried: Vec<ServerKey>,
    /// Servers to which the request was sent.
    sent_count: u32,
}

impl StreamRelay {
    pub(crate) fn new(
        host: &Arc<EntryHost>,
        call: &Arc<Call>,
        placed: &Placement,
        in_flight: InFlightRequest,
        response: ServerResponse,
        attempts: &Attempts,
    ) -> Self {
        let is_resumable = call.admitted.route.retry_policy == RetryPolicy::ResumableStream;
        let workspace = &call.admitted.workspace;
        let upstream = Upstream::new(in_flight, response);
        let is_resumable = is_resumable && upstream.tracker.is_some();
        Self {
            host: host.clone(),
            call: call.clone(),
            placed: placed.clone(),
            upstream: Some(upstream),
            events: is_resumable.then(EventBuffer::default),
            first_parts: HeldParts::new(host.body_memory.start(workspace.clone())),
            held_event: host.body_memory.start(workspace.clone()),
            status: StatusCode::OK,
            late_bytes: 0,
            has_ended: false,
            tried: attempts.tried.clone(),
            // The server of this stream is not counted in `attempts` yet.
            sent_count: attempts.sent_count + 1,
        }
    }

    /// A response that is not a stream, of which `read` has arrived, and that is forwarded as the rest
    /// arrives.
    pub(crate) fn of_response(
        host: &Arc<EntryHost>,
        call: &Arc<Call>,
        placed: &Placement,
        in_flight: InFlightRequest,
        response: ServerResponse,
        attempts: &Attempts,
        read: HeldParts,
    ) -> Self {
        let status = response.parts.status;
        let mut relay = Self::new(host, call, placed, in_flight, response, attempts);
        if let Some(upstream) = &mut relay.upstream {
            upstream.tracker = None;
            upstream.has_data = true;
        }
        Self {
            events: None,
            first_parts: read,
            status,
            ..relay
        }
    }

    /// Whether another server may go on with the stream if it breaks off.
    pub(crate) fn may_go_on_elsewhere(&self) -> bool {
        self.events.is_some()
    }

    /// Waits for the first bytes and keeps them. If the stream breaks off before they arrive, the
    /// request can still be answered by another server or with an error.
    pub(crate) async fn receive_first_chunk(&mut self) -> Result<(), RelayError> {
        if let Some(bytes) = self.next_chunk().await? {
            // One part is bounded by the read buffer of the connection, so it is kept in any case.
            let _ = self.first_parts.push(bytes);
        }
        let elapsed = self.host.clock.now().since(self.call.admitted.arrived);
        let route = self.call.admitted.route.name.as_str();
        let times = self.host.stats.first_byte.with_label_values(&[route]);
        times.observe(elapsed.as_secs_f64());
        let lag = self.host.lag.lag().recent();
        info!(target: "request", id = self.call.head.id.as_str(),
            server = self.placed.entry.instance.as_str(), ms = millis(elapsed),
            lag_ms = millis(lag); "stream started");
        Ok(())
    }

    /// The stream as the body of the response to the caller.
    pub(crate) fn into_body(self) -> Body {
        Body::from_stream(stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes, relay))
        }))
    }

    /// The next bytes for the caller, `None` at the end. A broken stream is resumed at another
    /// server if possible; otherwise the error ends the caller's response.
    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if let Some(first) = self.first_parts.pop() {
            return Some(Ok(first));
        }
        while !self.has_ended {
            match self.next_chunk().await {
                Ok(Some(bytes)) => return Some(Ok(bytes)),
                Ok(None) => self.has_ended = true,
                Err(err) => {
                    log_failed(&self.host, &self.call, &self.placed, &err.to_string());
                    if !matches!(err, RelayError::Broken { .. }) || !self.resume().await {
                        self.has_ended = true;
                        return Some(Err(err));
                    }
                }
            }
        }
        None
    }

    /// The next bytes from the server that may be forwarded, `None` once the stream has ended
    /// properly. After the deadline only bytes that have arrived are; a server that sends without
    /// end always has some.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let Some(upstream) = &mut self.upstream else {
                return Ok(None);
            };
            let deadline = self.host.clock.instant(self.call.admitted.give_up_at);
            let frame = tokio::time::timeout_at(deadline.into(), upstream.body.frame()).await;
            let error = match frame {
                Ok(Some(Ok(frame))) => {
                    upstream.in_flight.on_response_part();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let now = self.host.clock.now();
                    if self.call.admitted.give_up_at.has_passed(now) {
                        self.late_bytes += bytes.len();
                    }
                    match (upstream.on_data(&bytes), &mut self.events) {
                        _ if self.late_bytes > LATE_MAX_BYTES => RelayError::TimedOut,
                        (Err(err), _) => err,
                        (Ok(_), None) => return Ok(Some(bytes)),
                        (Ok(complete), Some(events)) => {
                            let ready = events.push(&bytes, complete);
                            match (self.held_event.set(events.partial_bytes()), ready) {
                                (Err(_), _) => RelayError::NoMemory,
                                (Ok(()), Some(bytes)) => return Ok(Some(bytes)),
                                (Ok(()), None) => continue,
                            }
                        }
                    }
                }
                Ok(None) => match upstream.on_end() {
                    Err(err) => err,
                    Ok(()) => {
                        self.finish();
                        return Ok(None);
                    }
                },
                Ok(Some(Err(err))) => RelayError::Broken {
                    reason: format_error_chain(&err),
                },
                Err(_) => RelayError::TimedOut,
            };
            self.fail(&error);
            return Err(error);
        }
    }

    /// Records a completed stream and keeps the connection for other requests.
    fn finish(&mut self) {
        if let Some(upstream) = self.upstream.take() {
            reuse_connection(&self.host, upstream.connection, &upstream.head);
            upstream.in_flight.end_answered(self.status);
            on_answered(&self.host, &self.call, &self.placed, self.status);
        }
    }

    /// Drops the connection to the server and records the outcome. Once a stream has started, a
    /// passed deadline does not count as a failure of the server.
    fn fail(&mut self, error: &RelayError) {
        if let Some(upstream) = self.upstream.take() {
            let outcome = match error {
                RelayError::Broken { .. } => upstream.in_flight.broken_outcome(),
                RelayError::TimedOut => RequestOutcome::Expired,
                RelayError::NoMemory => RequestOutcome::Abandoned,
            };
            upstream.in_flight.end(outcome);
        }
    }

    /// Continues the stream at another server of the same software version after the last complete
    /// event. Returns whether it did.
    ///
    /// It does not if the stream is not resumable, no event with an identifier has arrived yet, the
    /// route's limit of servers is reached, the retry budget is used up, or the other server does
    /// not continue this request. Only one other server is tried.
    async fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        events.drop_partial();
        // Releasing cannot fail.
        let _ = self.held_event.set(0);
        let Some(last_id) = events.last_id().cloned() else {
            return false;
        };
        let admitted = &self.call.admitted;
        if self.sent_count >= admitted.route.attempts_max {
            return false;
        }
        let stream = ContinuedStream {
            version: self.placed.version,
            // It was, since it has begun here.
            is_admitted: true,
            last_event: Some(last_id.clone()),
        };
        let assignment = assign_server(&self.host, &self.call, Some(&stream), &self.tried).await;
        let Ok(assignment) = assignment else {
            return false;
        };
        let Assignment { placed, in_flight } = assignment;
        // Taken only once there is a server, so that a stream that cannot be resumed leaves the
        // budget to others.
        let now = self.host.clock.now();
        if !self.host.fleet().take_retry(now, &admitted.service) {
            return false;
        }
        self.tried.push(placed.server);
        let request = |remaining| {
            let instance = &placed.entry.instance;
            self.call
                .request(&self.host, instance, remaining, Some(&last_id))
        };
        let response = send(&self.host, &placed.entry, admitted.give_up_at, request).await;
        let id = self.call.head.id.as_str();
        let server = placed.entry.instance.as_str();
        let response = match response {
            Ok(response) => response,
            Err(err) => {
                info!(target: "request", id = id, server = server, seen = err.to_string();
                    "cannot resume stream: no response");
                in_flight.end(err.outcome());
                return false;
            }
        };
        self.sent_count += 1;
        in_flight.on_response_head(&placed, &response.head);
        let is_same_request = response.head.id.as_ref() == Some(&self.call.head.id);
        let is_stream = is_event_stream(&response.parts.headers);
        let is_valid = response.parts.status.is_success() && response.head.is_sealed;
        if !is_valid || !is_same_request || !is_stream {
            info!(target: "request", id = id, server = server,
                status = response.parts.status.as_u16(); "cannot resume stream: invalid response");
            in_flight.end(match response.head.not_run {
                true => RequestOutcome::Refused,
                false => RequestOutcome::Failed,
            });
            return false;
        }
        info!(target: "request", id = id, server = server,
            version = placed.entry.version.as_str(), after = last_id.as_str(); "stream resumed");
        self.placed = placed;
        self.upstream = Some(Upstream::new(in_flight, response));
        true
    }
}
