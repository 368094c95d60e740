//! A stream on its way from a server to a caller.

use std::sync::Arc;

use axum::body::Body;
use axum::body::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use log::info;
use snafu::Snafu;

use super::answer::log_answered;
use super::answer::log_failed;
use super::assign::Assignment;
use super::assign::assign_server;
use super::attempt::Answer;
use super::attempt::Flight;
use super::attempt::reuse_connection;
use super::attempt::send;
use super::config::Repeat;
use super::dialect::AnswerHead;
use super::events::EventBuffer;
use super::fleet::FlightEnd;
use super::forward::Call;
use super::forward::millis;
use super::host::EntryHost;
use super::placing::Placement;
use super::refusal::Reason;
use crate::gateway::Connection;
use crate::platform::describe;

/// Why a stream ends early.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum RelayError {
    /// The server broke off.
    #[snafu(display("the stream broke: {reason}"))]
    Broken {
        /// What was seen.
        reason: String,
    },
    /// The time of the request was over.
    #[snafu(display("the time of the request was over within the stream"))]
    TimedOut,
}

impl RelayError {
    /// What to tell a caller that has got nothing of the stream.
    pub(crate) fn reason(&self) -> Reason {
        match self {
            Self::Broken { .. } => Reason::ServerFailed,
            Self::TimedOut => Reason::ExpiredSent,
        }
    }
}

/// The server's side of a stream.
struct Upstream {
    flight: Flight,
    body: Incoming,
    head: AnswerHead,
    connection: Connection,
}

/// A stream in progress.
pub(crate) struct StreamRelay {
    host: Arc<EntryHost>,
    call: Arc<Call>,
    placed: Placement,
    upstream: Option<Upstream>,
    /// Set for streams that another server may continue.
    events: Option<EventBuffer>,
    first_chunk: Option<Bytes>,
    has_ended: bool,
    sent_count: u32,
}

impl StreamRelay {
    pub(crate) fn new(
        host: &Arc<EntryHost>,
        call: &Arc<Call>,
        placed: &Placement,
        flight: Flight,
        answer: Answer,
    ) -> Self {
        let is_resumable = call.admitted.route.repeat == Repeat::ResumableStream;
        Self {
            host: host.clone(),
            call: call.clone(),
            placed: placed.clone(),
            upstream: Some(Upstream {
                flight,
                body: answer.body,
                head: answer.head,
                connection: answer.connection,
            }),
            events: is_resumable.then(EventBuffer::default),
            first_chunk: None,
            has_ended: false,
            sent_count: 1,
        }
    }

    /// Waits for the first bytes, so that a stream that breaks before them can still be answered
    /// otherwise.
    pub(crate) async fn receive_first_chunk(&mut self) -> Result<(), RelayError> {
        self.first_chunk = self.next_chunk().await?;
        let elapsed = self.host.clock.now().since(self.call.admitted.arrived);
        let route = self.call.admitted.route.name.as_str();
        let times = self.host.stats.first_byte.with_label_values(&[route]);
        times.observe(elapsed.as_secs_f64());
        info!(target: "request", id = self.call.head.id.as_str(),
            server = self.placed.entry.instance.as_str(), ms = millis(elapsed); "begun");
        Ok(())
    }

    /// The stream as the body of an answer.
    pub(crate) fn into_body(self) -> Body {
        Body::from_stream(stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes, relay))
        }))
    }

    /// The next bytes for the caller.
    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if let Some(first) = self.first_chunk.take() {
            return Some(Ok(first));
        }
        while !self.has_ended {
            match self.next_chunk().await {
                Ok(Some(bytes)) => return Some(Ok(bytes)),
                Ok(None) => self.has_ended = true,
                Err(err) => {
                    log_failed(&self.host, &self.call, &self.placed, &err.to_string());
                    if err == RelayError::TimedOut || !self.resume().await {
                        self.has_ended = true;
                        return Some(Err(err));
                    }
                }
            }
        }
        None
    }

    /// Bytes of the server that may be passed on, `None` at the end of the whole stream.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            let Some(upstream) = &mut self.upstream else {
                return Ok(None);
            };
            let deadline = self.host.clock.instant(self.call.admitted.give_up_at);
            let frame = tokio::time::timeout_at(deadline.into(), upstream.body.frame()).await;
            let error = match frame {
                Ok(Some(Ok(frame))) => {
                    upstream.flight.on_response_started();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    match &mut self.events {
                        None => return Ok(Some(bytes)),
                        Some(events) => match events.push(&bytes) {
                            Some(bytes) => return Ok(Some(bytes)),
                            None => continue,
                        },
                    }
                }
                Ok(None) if self.is_within_event() => RelayError::Broken {
                    reason: "the stream ended within an event".to_owned(),
                },
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Some(Err(err))) => RelayError::Broken {
                    reason: describe(&err),
                },
                Err(_) => RelayError::TimedOut,
            };
            self.fail(&error);
            return Err(error);
        }
    }

    fn is_within_event(&self) -> bool {
        let events = self.events.as_ref();
        events.is_some_and(EventBuffer::is_within_event)
    }

    fn finish(&mut self) {
        if let Some(upstream) = self.upstream.take() {
            reuse_connection(&self.host, upstream.connection, &upstream.head);
            upstream.flight.end(FlightEnd::Answered);
            log_answered(&self.host, &self.call, &self.placed, StatusCode::OK);
        }
    }

    fn fail(&mut self, error: &RelayError) {
        if let Some(upstream) = self.upstream.take() {
            upstream.flight.end(match error {
                RelayError::Broken { .. } => FlightEnd::Failed,
                RelayError::TimedOut => FlightEnd::Abandoned,
            });
        }
    }

    /// Continues the stream at another server after the last whole event.
    async fn resume(&mut self) -> bool {
        let Some(events) = &mut self.events else {
            return false;
        };
        events.drop_partial();
        let Some(last_id) = events.last_id().cloned() else {
            return false;
        };
        let admitted = &self.call.admitted;
        let now = self.host.clock.now();
        if self.sent_count >= admitted.route.attempts_max
            || !self.host.fleet().take_retry(now, &admitted.service)
        {
            return false;
        }
        self.sent_count += 1;
        let tried = [self.placed.server];
        let Ok(assignment) = assign_server(&self.host, &self.call, &tried).await else {
            return false;
        };
        let Assignment { placed, flight } = assignment;
        let request = |remaining| {
            let instance = &placed.entry.instance;
            self.call
                .request(&self.host, instance, remaining, Some(&last_id))
        };
        let answer = send(&self.host, &placed.entry, admitted.give_up_at, request).await;
        let id = self.call.head.id.as_str();
        let server = placed.entry.instance.as_str();
        let answer = match answer {
            Ok(answer) => answer,
            Err(err) => {
                info!(target: "request", id = id, server = server, seen = err.to_string();
                    "resume failed");
                flight.end(FlightEnd::Failed);
                return false;
            }
        };
        let is_same_request = answer.head.id.as_ref() == Some(&self.call.head.id);
        if !answer.parts.status.is_success() || !answer.head.is_sealed || !is_same_request {
            info!(target: "request", id = id, server = server,
                status = answer.parts.status.as_u16(); "resume refused");
            flight.end(match answer.head.not_run {
                true => FlightEnd::Refused,
                false => FlightEnd::Failed,
            });
            return false;
        }
        info!(target: "request", id = id, server = server, after = last_id.as_str(); "resumed");
        self.placed = placed;
        self.upstream = Some(Upstream {
            flight,
            body: answer.body,
            head: answer.head,
            connection: answer.connection,
        });
        true
    }
}
