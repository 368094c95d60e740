//! One attempt of an entry host to send a caller's request to one backend server.
//!
//! An entry host is a reverse proxy between callers and backend servers. It translates the heads of
//! requests and responses with the dialect, a set of functions that depends on the deployment. A
//! request to a model is placed by a scheduler, which runs on one of the hosts and gets reports on
//! the progress of the request; for a plain service, one that runs no model, there is none.
//!
//! The errors distinguish whether a byte of the request was written, because a request that cannot
//! have run may always be sent to another server, and one that may have run only if its route (the
//! configured class of requests to which it belongs) allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::response;
use log::info;
use snafu::Snafu;

use super::dialect::ResponseHead;
use super::dialect::ServerAnnouncement;
use super::fleet::InFlightKey;
use super::fleet::RequestOutcome;
use super::forward::millis;
use super::host::EntryHost;
use super::peers::ScheduledRequest;
use super::request_placement::Placement;
use super::version_traffic::VersionTraffic;
use crate::crashing::SURVIVAL_SPAN;
use crate::crashing::SentRequest;
use crate::gateway::ConnectError;
use crate::gateway::Connection;
use crate::gateway::READY_TIMEOUT;
use crate::gateway::Written;
use crate::gateway::check_response_head;
use crate::platform::format_error_chain;
use crate::time::Timestamp;

/// Longest time to open a connection: a hundred round trips between failure domains. A server that
/// is not connected by then is unreachable or its accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A server that has sent nothing for a request for this long until its deadline may have ended without
/// closing its connections. A sound one may fall silent for about a second.
const SILENCE_MIN: Duration = Duration::from_millis(1_500);
/// How long before the server's idle timeout an unused connection is closed, so that no request is
/// sent on a connection that the server is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle timeout assumed for servers that do not state one.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// Why an attempt failed before the head of a response arrived.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum AttemptError {
    /// No byte of the request was written.
    #[snafu(display("request not sent: {reason}"))]
    NotSent {
        /// Error of the connection.
        reason: String,
    },
    /// This host has reached its limit of connections to servers. No byte was written.
    #[snafu(display("request not sent: {reason}"))]
    LimitReached {
        /// Error of the connection pool.
        reason: String,
    },
    /// The connection failed after part of the request may have been written, so the server may
    /// have run it.
    #[snafu(display("no response: {reason}"))]
    NoResponse {
        /// Error of the connection.
        reason: String,
    },
    /// The request's deadline passed after part of it may have been written.
    #[snafu(display("no response before the deadline"))]
    TimedOut,
}

impl AttemptError {
    /// Outcome of the request at its server.
    pub(crate) fn outcome(&self) -> RequestOutcome {
        match self {
            Self::NotSent { .. } => RequestOutcome::Unreachable,
            // This host has too many connections open, which says nothing about the server.
            Self::LimitReached { .. } => RequestOutcome::Abandoned,
            Self::NoResponse { .. } => RequestOutcome::Broken,
            Self::TimedOut => RequestOutcome::TimedOut,
        }
    }
}

/// A response whose head has arrived and whose body has not been read.
pub(crate) struct ServerResponse {
    /// Head as received.
    pub(crate) parts: response::Parts,
    /// Head as translated by the dialect.
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
    /// Connection on which the body arrives.
    pub(crate) connection: Connection,
}

impl ServerResponse {
    /// Whether the body ends with the connection, because the head states neither a length nor chunks.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let headers = &self.parts.headers;
        !framing.iter().any(|name| headers.contains_key(name))
    }
}

/// A request in flight: it counts towards the load of its server until this is dropped.
pub(crate) struct InFlightRequest {
    host: Arc<EntryHost>,
    key: InFlightKey,
    sent: SentRequest,
    /// Outcome to be recorded; `Abandoned` unless set by [`InFlightRequest::end`].
    outcome: RequestOutcome,
    /// Reports the progress of a request to a model to its scheduler; `None` for plain services.
    scheduled: Option<ScheduledRequest>,
    /// What is counted for roll-outs; `None` if no orders are followed.
    traffic: Option<VersionTraffic>,
    /// When the first part of the response arrived.
    response_started_at: Option<Timestamp>,
    /// When a part of the response last arrived; until then, when the request was sent. Not updated once
    /// the server has survived the request.
    last_part_at: Timestamp,
    /// Whether the server has survived the request.
    has_survived: bool,
}

impl InFlightRequest {
    pub(crate) fn new(
        host: Arc<EntryHost>,
        key: InFlightKey,
        sent: SentRequest,
        scheduled: Option<ScheduledRequest>,
        traffic: Option<VersionTraffic>,
    ) -> Self {
        if sent.is_trial {
            host.link.on_suspect_news();
        }
        Self {
            host,
            key,
            sent,
            outcome: RequestOutcome::Abandoned,
            scheduled,
            traffic,
            response_started_at: None,
            last_part_at: sent.sent_at,
            has_survived: false,
        }
    }

    /// Records that part of the response has arrived. A server that goes on with its response for a
    /// while has survived the request.
    pub(crate) fn on_response_part(&mut self) {
        if self.has_survived {
            return;
        }
        let now = self.host.clock.now();
        self.last_part_at = now;
        if let Some(at) = self.response_started_at {
            if now.since(at) > SURVIVAL_SPAN {
                self.on_survived(now);
                if let Some(scheduled) = &self.scheduled {
                    let mut fleet = self.host.fleet();
                    fleet.on_prompt_survived(now, scheduled.parts());
                    drop(fleet);
                    scheduled.on_survived();
                }
            }
            return;
        }
        self.response_started_at = Some(now);
        {
            let mut fleet = self.host.fleet();
            fleet.on_response_started(self.key);
            if let Some(traffic) = &mut self.traffic {
                fleet.on_version_response(now, traffic);
            }
        }
        if let Some(scheduled) = &self.scheduled {
            scheduled.on_response_started(now);
        }
    }

    /// Records that the server has survived the request: it goes on, or has sent a complete response.
    pub(crate) fn on_survived(&mut self, now: Timestamp) {
        self.has_survived = true;
        let digest = self.sent.digest;
        let is_news = self
            .host
            .fleet()
            .request_quarantine()
            .on_answered(now, digest);
        if is_news {
            self.host.link.on_suspect_news();
        }
    }

    /// Outcome if the connection breaks now, after the head of the response.
    pub(crate) fn broken_outcome(&self) -> RequestOutcome {
        match self.has_survived {
            true => RequestOutcome::Failed,
            false => RequestOutcome::Broken,
        }
    }

    /// Whether the deadline has passed and the server had sent nothing for long.
    fn is_silent(&self, now: Timestamp) -> bool {
        let has_expired = matches!(
            self.outcome,
            RequestOutcome::TimedOut | RequestOutcome::Expired
        );
        has_expired && !self.has_survived && now.since(self.last_part_at) >= SILENCE_MIN
    }

    /// Applies what the server states of itself in the head of a response, whichever request the
    /// response belongs to. If it is leaving, the scheduler of the request gets to know it too, so
    /// that other hosts are not sent there.
    pub(crate) fn on_response_head(&self, placed: &Placement, head: &ResponseHead) {
        let host = &self.host;
        let server = placed.entry.instance.as_str();
        host.report_unreadable(server, &head.unreadable);
        let now = host.clock.now();
        let news = host.fleet().on_response_head(now, placed.server, head);
        if news.has_started_leaving {
            info!(target: "server", server = server; "server says that it is leaving");
            if let Some(scheduled) = &self.scheduled {
                scheduled.on_server_leaving(placed.entry.started_at_ms);
            }
        }
        if news.has_new_limit {
            match head.rate_limit {
                Some(limit) => info!(target: "server", server = server, per_second = limit;
                    "server names a limit"),
                None => info!(target: "server", server = server; "server names no limit any more"),
            }
        }
        if let Some(until) = news.paused_until {
            host.stats.server_pauses.inc();
            info!(target: "server", server = server, pause:? = head.pause,
                ms = millis(until.remaining(now)); "server wants no requests");
        }
    }

    /// Ends the request with an outcome.
    pub(crate) fn end(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }

    /// Ends the request with a complete response that is not a failure.
    pub(crate) fn end_answered(mut self, status: StatusCode) {
        if let Some(scheduled) = &mut self.scheduled
            && status.is_success()
        {
            let now = self.host.clock.now();
            scheduled.on_answered();
            let mut fleet = self.host.fleet();
            fleet.on_prompt_survived(now, scheduled.parts());
        }
        self.end(RequestOutcome::Answered);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now = self.host.clock.now();
        if self.outcome == RequestOutcome::Answered && !self.has_survived {
            self.on_survived(now);
        }
        let has_crashed = self.outcome == RequestOutcome::Broken;
        {
            let mut fleet = self.host.fleet();
            fleet.end(now, self.key, self.outcome);
            if let Some(traffic) = &self.traffic
                && let Some(name) = fleet.on_version_ended(now, traffic, self.outcome)
            {
                let labels = [
                    traffic.service.as_str(),
                    traffic.version_name.as_str(),
                    name,
                ];
                let counter = &self.host.stats.rollout.requests;
                counter.with_label_values(&labels).inc();
            }
            if has_crashed && let Some(scheduled) = &self.scheduled {
                fleet.on_prompt_lost(now, &self.sent, scheduled.parts());
            }
            let quarantine = fleet.request_quarantine();
            if has_crashed {
                quarantine.on_crash(now, &self.sent);
            }
            quarantine.on_ended(&self.sent);
        }
        if has_crashed || self.outcome == RequestOutcome::Failed {
            let answering = self.response_started_at.map(|at| millis(now.since(at)));
            info!(target: "request", digest = self.sent.digest.log_value().as_str(),
                run = format!("{:x}", self.sent.run), ending:? = self.outcome,
                answering_ms = answering, sent_ms = millis(now.since(self.sent.sent_at));
                "server lost a request");
        }
        if has_crashed {
            self.host.link.on_suspect_news();
        }
        if let Some(scheduled) = &self.scheduled {
            scheduled.on_outcome(self.outcome);
            if self.is_silent(now) {
                scheduled.on_silent();
            }
        }
    }
}

/// Sends a request and waits for the head of the response until `give_up_at`.
///
/// Idle connections are tried first. Since the server may have closed them, there can be several
/// tries; `request` builds the request for each, given the time that is left.
pub(crate) async fn send(
    host: &EntryHost,
    entry: &ServerAnnouncement,
    give_up_at: Timestamp,
    request: impl Fn(Duration) -> Request<Full<Bytes>>,
) -> Result<ServerResponse, AttemptError> {
    let address = entry.address;
    while let Some(connection) = host.pool.take_idle(address) {
        match exchange(host, connection, give_up_at, &request).await {
            Err(AttemptError::NotSent { .. }) => {}
            result => return result,
        }
    }
    let now = host.clock.now();
    if give_up_at.has_passed(now) {
        let reason = "deadline passed".to_owned();
        return Err(AttemptError::NotSent { reason });
    }
    let connect_by = host.clock.instant(give_up_at.min(now + CONNECT_TIMEOUT));
    let connect = tokio::time::timeout_at(connect_by.into(), host.pool.connect(address));
    let connection = match connect.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(err)) => {
            let reason = err.to_string();
            return Err(match err {
                ConnectError::LimitReached { .. } => AttemptError::LimitReached { reason },
                _ => AttemptError::NotSent { reason },
            });
        }
        Err(_) => {
            let reason = format!("connection to {address} timed out");
            return Err(AttemptError::NotSent { reason });
        }
    };
    host.stats.connections_opened.inc();
    exchange(host, connection, give_up_at, &request).await
}

/// Sends a request on a connection and waits for the head of the response. The connection's write
/// gate lets the first byte pass only before `give_up_at`, and tells whether a byte of the request
/// may have been written.
async fn exchange(
    host: &EntryHost,
    mut connection: Connection,
    give_up_at: Timestamp,
    request: &impl Fn(Duration) -> Request<Full<Bytes>>,
) -> Result<ServerResponse, AttemptError> {
    let deadline = host.clock.instant(give_up_at);
    let ready_by = host.clock.now() + READY_TIMEOUT;
    let ready_by = host.clock.instant(give_up_at.min(ready_by));
    let ready = tokio::time::timeout_at(ready_by.into(), connection.sender.ready()).await;
    let not_ready = match ready {
        Ok(Ok(())) => None,
        Ok(Err(err)) => Some(err.to_string()),
        Err(_) => Some("connection not ready for a request".to_owned()),
    };
    if let Some(reason) = not_ready {
        return Err(AttemptError::NotSent { reason });
    }
    connection.gate.arm(give_up_at);
    let remaining = give_up_at.remaining(host.clock.now());
    let response = connection.sender.send_request(request(remaining));
    let reason = match tokio::time::timeout_at(deadline.into(), response).await {
        Ok(Ok(response)) => {
            connection.gate.on_response_head();
            let (parts, body) = response.into_parts();
            match check_response_head(&parts) {
                Ok(()) => {
                    return Ok(ServerResponse {
                        head: (host.dialect.read_response)(&parts),
                        parts,
                        body,
                        connection,
                    });
                }
                Err(err) => Some(err.to_string()),
            }
        }
        Ok(Err(err)) => Some(format_error_chain(&err)),
        Err(_) => None,
    };
    match (connection.gate.close(), reason) {
        (Written::Nothing { .. }, reason) => Err(AttemptError::NotSent {
            reason: reason.unwrap_or_else(|| "deadline passed".to_owned()),
        }),
        (Written::Maybe, Some(reason)) => Err(AttemptError::NoResponse { reason }),
        (Written::Maybe, None) => Err(AttemptError::TimedOut),
    }
}

/// Returns a connection to the pool after a valid response, so that other requests can use it. The
/// head of the response may state how long the server keeps an idle connection open.
pub(crate) fn reuse_connection(host: &EntryHost, connection: Connection, head: &ResponseHead) {
    let idle = head.idle_timeout.unwrap_or(IDLE_TIMEOUT_DEFAULT);
    let close_at = host.clock.now() + idle.saturating_sub(IDLE_MARGIN);
    host.pool.put_back_until(connection, close_at);
}
