//! Serves the requests that other hosts hand over, as if their callers had connected here.

use axum::http::HeaderValue;
use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::mpsc;

use super::link::LinkEnd;
use super::link::NewLink;
use super::stream::Complete;
use super::stream::Stream;
use super::stream::WINDOW_BYTES;
use crate::gateway::accept::AcceptedConnection;
use crate::gateway::accept::CallerIo;
use crate::gateway::accept::WAITING_RETRY_AFTER;
use crate::gateway::accept::refusal;

/// Returns the value of the `Retry-After` header if a request with these first bytes is to be refused.
type Refuse = Box<dyn Fn(&[u8]) -> Option<HeaderValue> + Send + Sync>;

/// What is done with requests that other hosts hand over.
pub(crate) struct HandedOver {
    /// Connections that are to be served. No more are once the host accepts none of callers.
    pub(crate) accepted: mpsc::WeakSender<AcceptedConnection>,
    pub(crate) refuse: Refuse,
    /// Whether the host is stopping, so that it should get no more requests.
    pub(crate) is_leaving: Box<dyn Fn() -> bool + Send + Sync>,
}

impl HandedOver {
    /// Serves the requests of a link until its connection ends.
    pub(crate) async fn serve(&self, io: impl AsyncRead + AsyncWrite) {
        let link = NewLink::new();
        let end = link.end.clone();
        link.run(io, |stream, first| self.take(&end, stream, first))
            .await;
    }

    fn take(&self, link: &LinkEnd, mut stream: Stream, first: Bytes) {
        if (self.is_leaving)() {
            link.leave();
        }
        if let Some(retry_after) = (self.refuse)(&first) {
            stream.respond(refusal(retry_after.as_bytes()).into());
            return;
        }
        let (link_io, caller_io) = tokio::io::duplex(WINDOW_BYTES as usize);
        let connection = AcceptedConnection {
            io: CallerIo::HandedOver(caller_io),
            received: first.into(),
            handover: None,
        };
        let accepted = self.accepted.upgrade();
        if accepted.is_none_or(|tx| tx.try_send(connection).is_err()) {
            stream.respond(refusal(WAITING_RETRY_AFTER).into());
            return;
        }
        tokio::spawn(async move {
            let (read, write) = tokio::io::split(link_io);
            // If it fails, the caller has left or the link has ended, and the request is given up with `link_io`.
            let _ = stream.pass(read, write, Complete::Sent, || ()).await;
        });
    }
}
