//! One request at one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response;
use snafu::Snafu;

use super::dialect::AnswerHead;
use super::dialect::ServerEntry;
use super::fleet::FlightEnd;
use super::fleet::FlightKey;
use super::host::EntryHost;
use super::peers::ScheduledRequest;
use crate::gateway::ConnectError;
use crate::gateway::Connection;
use crate::gateway::Written;
use crate::platform::describe;
use crate::time::Timestamp;

/// Longest time for a connection: a hundred round trips between failure domains. A server
/// that is not reached by then does not answer at all, or its queue of connections is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time by which an unused connection is closed before the server does.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which an unused connection is kept if the server does not say.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// Why an attempt brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum AttemptError {
    /// No byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What was seen.
        reason: String,
    },
    /// The host has no room for another connection. No byte was sent.
    #[snafu(display("not sent: {reason}"))]
    NoRoom {
        /// What was seen.
        reason: String,
    },
    /// The server may have run the request.
    #[snafu(display("no answer: {reason}"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
    /// The time of the request was over before an answer came.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// An answer whose body is still to come.
pub(crate) struct Answer {
    pub(crate) parts: response::Parts,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// A request at a server, counted there until it is dropped.
pub(crate) struct Flight {
    host: Arc<EntryHost>,
    key: FlightKey,
    end: FlightEnd,
    /// Set for requests to models.
    scheduled: Option<ScheduledRequest>,
    has_response_started: bool,
}

impl Flight {
    pub(crate) fn new(
        host: Arc<EntryHost>,
        key: FlightKey,
        scheduled: Option<ScheduledRequest>,
    ) -> Self {
        Self {
            host,
            key,
            end: FlightEnd::Abandoned,
            scheduled,
            has_response_started: false,
        }
    }

    /// Part of the answer has arrived.
    pub(crate) fn on_response_started(&mut self) {
        if std::mem::replace(&mut self.has_response_started, true) {
            return;
        }
        self.host.fleet().on_response_started(self.key);
        if let Some(scheduled) = &self.scheduled {
            scheduled.on_response_started(self.host.clock.now());
        }
    }

    /// Ends the flight.
    pub(crate) fn end(mut self, end: FlightEnd) {
        self.end = end;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.host.clock.now();
        self.host.fleet().end(now, self.key, self.end);
    }
}

/// Sends a request and waits for the head of the answer until `give_up_at`.
///
/// `request` makes the request anew with the time that is left, since an unused connection may
/// turn out to be closed.
pub(crate) async fn send(
    host: &EntryHost,
    entry: &ServerEntry,
    give_up_at: Timestamp,
    request: impl Fn(Duration) -> Request<Full<Bytes>>,
) -> Result<Answer, AttemptError> {
    while let Some(connection) = host.pool.take_idle(entry.address) {
        match exchange(host, connection, give_up_at, &request).await {
            Err(AttemptError::NotSent { .. }) => {}
            result => return result,
        }
    }
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, host.pool.connect(entry.address));
    let connection = match connect.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(err)) => {
            let reason = err.to_string();
            return Err(match err {
                ConnectError::LimitReached { .. } => AttemptError::NoRoom { reason },
                _ => AttemptError::NotSent { reason },
            });
        }
        Err(_) => {
            let reason = format!("no connection to {} in time", entry.address);
            return Err(AttemptError::NotSent { reason });
        }
    };
    host.stats.connections_opened.inc();
    exchange(host, connection, give_up_at, &request).await
}

async fn exchange(
    host: &EntryHost,
    mut connection: Connection,
    give_up_at: Timestamp,
    request: &impl Fn(Duration) -> Request<Full<Bytes>>,
) -> Result<Answer, AttemptError> {
    if let Err(err) = connection.sender.ready().await {
        let reason = err.to_string();
        return Err(AttemptError::NotSent { reason });
    }
    connection.gate.arm(give_up_at);
    let remaining = give_up_at.remaining(host.clock.now());
    let answer = connection.sender.send_request(request(remaining));
    let deadline = host.clock.instant(give_up_at);
    let reason = match tokio::time::timeout_at(deadline.into(), answer).await {
        Ok(Ok(answer)) => {
            let (parts, body) = answer.into_parts();
            return Ok(Answer {
                head: (host.dialect.read_answer)(&parts),
                parts,
                body,
                connection,
            });
        }
        Ok(Err(err)) => Some(describe(&err)),
        Err(_) => None,
    };
    match (connection.gate.close(), reason) {
        (Written::Nothing { .. }, reason) => Err(AttemptError::NotSent {
            reason: reason.unwrap_or_else(|| "no time left".to_owned()),
        }),
        (Written::Maybe, Some(reason)) => Err(AttemptError::NoAnswer { reason }),
        (Written::Maybe, None) => Err(AttemptError::TimedOut),
    }
}

/// Keeps the connection of a whole answer for the next request.
pub(crate) fn reuse_connection(host: &EntryHost, connection: Connection, head: &AnswerHead) {
    let idle = head.idle_timeout.unwrap_or(IDLE_TIMEOUT_DEFAULT);
    let close_at = host.clock.now() + idle.saturating_sub(IDLE_MARGIN);
    host.pool.put_back_until(connection, close_at);
}
