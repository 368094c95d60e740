//! Relays a response body from a backend server to the caller, detects truncated and stalled
//! responses, and reports the end of the request.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::Sleep;

use super::dispatch::Shared;
use super::error_code::ErrorCode;
use super::error_response::ErrorResponse;
use super::running::RunningRequest;
use crate::message::EndOutcome;
use crate::metrics::Fault;
use crate::time::Timestamp;

/// Why a response ends early for the caller, whose connection or stream is then aborted.
#[derive(Debug, Snafu)]
pub(crate) enum RelayError {
    /// The backend server's response ended early or was malformed.
    #[snafu(display("response truncated or malformed"))]
    Truncated,
    /// The backend server sent nothing within the idle timeout, or nothing of use within the answer timeout.
    #[snafu(display("response stalled beyond the idle timeout"))]
    TimedOut,
}

impl RelayError {
    pub(crate) fn code(&self) -> ErrorCode {
        match self {
            Self::Truncated => ErrorCode::ServerFailed,
            Self::TimedOut => ErrorCode::ServerTimeout,
        }
    }

    pub(crate) fn fault(&self) -> Fault {
        match self {
            Self::Truncated => Fault::Truncated,
            Self::TimedOut => Fault::Late,
        }
    }
}

/// Format of a response body, which determines how its end is verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Bytes that the gateway does not interpret. HTTP framing marks the end.
    Opaque,
    /// Server-sent events of a plain service. HTTP framing marks the end.
    Events,
    /// Server-sent events of a model, complete only with the end marker `data: [DONE]`.
    ModelEvents,
}

impl Framing {
    fn is_stream(self) -> bool {
        self != Self::Opaque
    }
}

/// Response body that reports the end of its request to the control thread.
pub(crate) struct ResponseBody {
    shared: Arc<Shared>,
    request_id: CompactString,
    framing: Framing,
    /// Bytes read before the response turned out to be too large to be buffered completely.
    start: Option<Bytes>,
    incoming: Incoming,
    /// The request, until its end is reported.
    running: Option<RunningRequest>,
    /// Failure to return after the error event.
    failure: Option<RelayError>,
    /// Whether the connection has had one poll to write the error event.
    is_event_written: bool,
    /// Timer for `idle_deadline`. It may fire too early, see [`ResponseBody::poll_idle`].
    idle: Pin<Box<Sleep>>,
    /// Time at which the response counts as stalled if nothing more arrives, moved by every frame, but not
    /// beyond `progress_deadline`.
    idle_deadline: Timestamp,
    /// Time at which the response counts as stalled if only bytes arrive that complete no event. Servers
    /// send such bytes to keep a connection open, also if they are stuck.
    progress_deadline: Timestamp,
}

impl ResponseBody {
    pub(crate) fn new(
        shared: Arc<Shared>,
        request_id: CompactString,
        framing: Framing,
        start: Option<Bytes>,
        incoming: Incoming,
        running: RunningRequest,
    ) -> Self {
        let now = shared.clock.now();
        let progress_deadline = now + shared.answer_timeout();
        let idle_deadline = progress_deadline.min(now + shared.idle_timeout());
        let idle = tokio::time::sleep_until(shared.clock.instant(idle_deadline).into());
        Self {
            shared,
            request_id,
            framing,
            start,
            incoming,
            running: Some(running),
            failure: None,
            is_event_written: false,
            idle: Box::pin(idle),
            idle_deadline,
            progress_deadline,
        }
    }

    fn on_frame(&mut self, frame: Frame<Bytes>) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let now = self.shared.clock.now();
        if let (Some(data), Some(running)) = (frame.data_ref(), &mut self.running)
            && running.tracker.on_bytes(data, self.framing.is_stream())
        {
            self.progress_deadline = now + self.shared.answer_timeout();
        }
        let idle_deadline = now + self.shared.idle_timeout();
        self.idle_deadline = idle_deadline.min(self.progress_deadline);
        // hyper's server does not poll the body again once the announced length has been sent, so
        // the end must be reported with the last frame.
        if self.framing == Framing::Opaque && self.incoming.is_end_stream() {
            self.complete();
        }
        Poll::Ready(Some(Ok(frame)))
    }

    /// Handles the end of the body, which is a truncation if a model stream lacks its end marker.
    fn on_end(&mut self) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let is_complete = self.framing != Framing::ModelEvents
            || self
                .running
                .as_ref()
                .is_none_or(|running| running.tracker.is_stream_done());
        if is_complete {
            self.complete();
            return Poll::Ready(None);
        }
        self.fail(RelayError::Truncated)
    }

    /// Reports a complete response and returns the connection to the pool.
    fn complete(&mut self) {
        if let Some(running) = self.running.take() {
            let connection = running.complete(None);
            self.shared.pool.put_back(connection);
        }
    }

    /// Ends the response so that the caller detects the failure: an error event if it is an event
    /// stream, then an aborted connection.
    fn fail(&mut self, e: RelayError) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if let Some(mut running) = self.running.take() {
            if matches!(e, RelayError::Truncated) {
                running.tracker.on_broken();
            }
            drop(running.end(EndOutcome::Failed, None));
        }
        let code = e.code();
        let metrics = &self.shared.metrics;
        metrics.count_fault(e.fault());
        metrics.count_refusal(code);
        metrics.unknown_outcomes.inc();
        if !self.framing.is_stream() {
            return Poll::Ready(Some(Err(e)));
        }
        self.failure = Some(e);
        let json = ErrorResponse::unknown(code).json(&self.request_id);
        let event = [b"\n\nevent: error\ndata: ".as_slice(), &json, b"\n\n"].concat();
        Poll::Ready(Some(Ok(Frame::data(event.into()))))
    }

    /// Returns the failure one poll after the error event, because an aborted connection drops the
    /// bytes that it has not written yet.
    fn poll_failure(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if !self.is_event_written {
            self.is_event_written = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(self.failure.take().map(Err))
    }

    /// Completes once the idle deadline has passed.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.idle.as_mut().poll(cx));
            if self.idle_deadline.has_passed(self.shared.clock.now()) {
                return Poll::Ready(());
            }
            // Frames have moved the deadline. The timer is reset only when it fires, which is
            // cheaper than with every frame.
            let at = self.shared.clock.instant(self.idle_deadline);
            self.idle.as_mut().reset(at.into());
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = self.get_mut();
        if this.failure.is_some() {
            return this.poll_failure(cx);
        }
        if let Some(start) = this.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if this.running.is_none() {
            return Poll::Ready(None);
        }
        match Pin::new(&mut this.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => this.on_frame(frame),
            Poll::Ready(Some(Err(_))) => this.fail(RelayError::Truncated),
            Poll::Ready(None) => this.on_end(),
            Poll::Pending => {
                ready!(this.poll_idle(cx));
                this.fail(RelayError::TimedOut)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.running.is_none() && self.failure.is_none() && self.start.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.start, self.framing) {
            (None, Framing::Opaque) => self.incoming.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

/// Reads the next frame of a response, which must arrive within the timeout.
pub(crate) async fn next_frame(
    incoming: &mut Incoming,
    idle_timeout: Duration,
) -> Result<Option<Frame<Bytes>>, RelayError> {
    use http_body_util::BodyExt;

    match tokio::time::timeout(idle_timeout, incoming.frame()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame)),
        Ok(Some(Err(_))) => Err(RelayError::Truncated),
        Err(_) => Err(RelayError::TimedOut),
    }
}
