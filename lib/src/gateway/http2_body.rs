//! Answers to HTTP/2 callers that may stop reading one stream while others go on.
//!
//! On HTTP/1.1 a caller that reads nothing stalls its socket, which has a timeout. On HTTP/2 it
//! stalls one stream only, and the body of that answer is not even asked for its next part. A
//! task of its own therefore moves such an answer, and gives it up if the caller takes nothing.

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

/// Parts of an answer that wait for the caller.
const QUEUED_PARTS_MAX: usize = 16;

/// Why an answer that was moved by a task ends early.
#[derive(Debug, Snafu)]
pub(crate) enum Http2BodyError {
    /// The answer itself ended early.
    #[snafu(display("the answer ended early"))]
    Answer {
        /// What was wrong with it.
        source: axum::Error,
    },
    /// The caller took nothing for too long.
    #[snafu(display("the caller took nothing for too long"))]
    Stalled,
}

/// A step of an answer.
enum Part {
    Frame(Frame<Bytes>),
    End,
    Failure(axum::Error),
}

/// Moves the body of a streamed answer to an HTTP/2 caller by a task.
pub(crate) fn relay(shared: &Shared, version: Version, response: Response<Body>) -> Response<Body> {
    let is_whole = response.body().size_hint().exact().is_some();
    if version != Version::HTTP_2 || is_whole {
        return response;
    }
    let (tx, rx) = mpsc::channel(QUEUED_PARTS_MAX);
    let timeout = shared.idle_timeout();
    response.map(|body| {
        tokio::spawn(forward_parts(body, tx, timeout));
        Body::new(Http2Body { rx, ended: false })
    })
}

/// Moves an answer until it ends, the caller leaves, or the caller takes nothing for too long.
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

/// The caller's end of a moved answer.
struct Http2Body {
    rx: mpsc::Receiver<Part>,
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
            Some(Part::Failure(source)) => Some(Err(Http2BodyError::Answer { source })),
            // The task ended without saying how the answer ended.
            None => Some(Err(Http2BodyError::Stalled)),
        })
    }
}
