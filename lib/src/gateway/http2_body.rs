//! Bodies of streamed responses to HTTP/2 callers, with a timeout for callers that stop reading one
//! stream.
//!
//! On HTTP/1.1, a caller that stops reading stalls its socket, which has a write timeout. On HTTP/2
//! it stalls a single stream, and hyper then no longer polls the body of that response, so the body
//! cannot time out by itself. Therefore a separate task reads the body and stops if the caller
//! accepts nothing within the timeout, which closes the connection to the backend server.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use axum::body::Body;
use axum::body::HttpBody;
use axum::http::Response;
use axum::http::Version;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use snafu::Snafu;
use tokio::sync::mpsc;

use super::dispatch::Shared;

/// Parts of a response buffered between the task and the caller's stream.
const QUEUED_PARTS_MAX: usize = 16;

/// Why a response that is forwarded by a task ends early.
#[derive(Debug, Snafu)]
pub(crate) enum Http2BodyError {
    /// The response from the backend server ended early.
    #[snafu(display("response ended early"))]
    Response {
        /// Error of the response body.
        source: axum::Error,
    },
    /// The caller accepted no part within the timeout.
    #[snafu(display("caller did not read within the idle timeout"))]
    Stalled,
}

/// Message from the task to the caller's stream.
enum Part {
    Frame(Frame<Bytes>),
    /// The response is complete.
    End,
    /// The response from the backend server ended early.
    Failure(axum::Error),
}

/// Lets a task forward the body if this is a streamed response to an HTTP/2 caller. Other responses
/// are returned unchanged.
pub(crate) fn relay(shared: &Shared, version: Version, response: Response<Body>) -> Response<Body> {
    let has_known_length = response.body().size_hint().exact().is_some();
    if version != Version::HTTP_2 || has_known_length {
        return response;
    }
    let (tx, rx) = mpsc::channel(QUEUED_PARTS_MAX);
    let timeout = shared.idle_timeout();
    response.map(|body| {
        tokio::spawn(forward_parts(body, tx, timeout));
        Body::new(Http2Body { rx, ended: false })
    })
}

/// Forwards parts until the response ends, the caller disconnects, or the caller accepts nothing
/// within the timeout.
async fn forward_parts(mut body: Body, tx: mpsc::Sender<Part>, timeout: Duration) {
    loop {
        let next = tokio::select! {
            next = body.frame() => next,
            () = tx.closed() => return,
        };
        let (part, is_last) = match next {
            Some(Ok(frame)) => (Part::Frame(frame), false),
            Some(Err(e)) => (Part::Failure(e), true),
            None => (Part::End, true),
        };
        let sent = tokio::time::timeout(timeout, tx.send(part)).await;
        if is_last || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Receiving end of a response that is forwarded by a task.
struct Http2Body {
    rx: mpsc::Receiver<Part>,
    /// Whether the end or a failure has been received.
    ended: bool,
}

impl HttpBody for Http2Body {
    type Data = Bytes;
    type Error = Http2BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Http2BodyError>>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        let part = ready!(this.rx.poll_recv(cx));
        this.ended = !matches!(part, Some(Part::Frame(_)));
        Poll::Ready(match part {
            Some(Part::Frame(frame)) => Some(Ok(frame)),
            Some(Part::End) => None,
            Some(Part::Failure(source)) => Some(Err(Http2BodyError::Response { source })),
            // The task stopped without an end or an error: sending to the caller timed out.
            None => Some(Err(Http2BodyError::Stalled)),
        })
    }
}
