//! Detects HTTP/1 or HTTP/2 from the first bytes of a connection, and applies the timeouts for
//! request heads and for writes to its stream.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;

use super::caller_socket::CallerSocket;
use super::request_counter::RequestCounter;

/// Connection preface of HTTP/2 (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Most bytes that are discarded when a connection is closed. It covers most requests to models.
const DISCARD_BYTES: usize = 16 << 10;

/// Protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// HTTP/1.0 or HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Most bytes that are read while the protocol is unknown. It covers most requests to models.
const INITIAL_BYTES_MAX: usize = 16 << 10;

/// Bytes read from a connection while its protocol was still unknown.
#[derive(Debug, Default)]
pub(crate) struct InitialBytes(Vec<u8>);

impl InitialBytes {
    /// Returns a stream that yields these bytes first and then the rest of `stream`.
    pub(crate) fn join(self, stream: CallerSocket, timeouts: Timeouts) -> CallerStream {
        CallerStream {
            start: self.0,
            replayed: 0,
            stream,
            timeouts,
            head: None,
            has_head_timed_out: false,
            stall: None,
        }
    }
}

/// Reads until the bytes either differ from the HTTP/2 preface or contain all of it. `received` was read
/// before.
pub(crate) async fn read_preface(
    stream: &mut CallerSocket,
    received: Vec<u8>,
) -> io::Result<(Protocol, InitialBytes)> {
    let mut start = received;
    loop {
        let len = start.len().min(HTTP2_PREFACE.len());
        if start[..len] != HTTP2_PREFACE[..len] {
            return Ok((Protocol::Http1, InitialBytes(start)));
        }
        if len == HTTP2_PREFACE.len() {
            return Ok((Protocol::Http2, InitialBytes(start)));
        }
        if stream.read_arrived(&mut start, INITIAL_BYTES_MAX).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Timeouts for a caller on one connection.
pub(crate) struct Timeouts {
    /// Time for the complete head of a request, counted from its first byte.
    pub(crate) head: Duration,
    /// Shows when a head starts and ends. `None` disables the head timeout (HTTP/2).
    pub(crate) counter: Option<Arc<RequestCounter>>,
    /// Time within which the socket must accept at least one byte of a response.
    pub(crate) write: Duration,
}

/// Timer for one head, started by its first byte.
struct HeadTimer {
    /// Number of requests started before this head, which identifies it.
    started: u64,
    sleep: Pin<Box<Sleep>>,
}

/// Caller's stream that replays the bytes read for protocol detection, and fails with `TimedOut` if
/// a head or a write takes too long.
pub(crate) struct CallerStream {
    start: Vec<u8>,
    /// Bytes of `start` that have been replayed.
    replayed: usize,
    stream: CallerSocket,
    timeouts: Timeouts,
    head: Option<HeadTimer>,
    has_head_timed_out: bool,
    /// Write timer, which runs while the socket accepts no bytes.
    stall: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Whether a read failed because a head exceeded its timeout.
    pub(crate) fn has_head_timed_out(&self) -> bool {
        self.has_head_timed_out
    }

    /// Discards bytes that have arrived and were not read, like the body of a refused request. Closing a
    /// connection with unread bytes would reset it, and the caller might not receive the response.
    pub(crate) fn discard_received(&self) {
        self.stream.discard_arrived(&mut [0; DISCARD_BYTES]);
    }

    /// Starts the head timer if these bytes are the first ones of a head.
    fn on_bytes(&mut self) {
        let Some(counter) = &self.timeouts.counter else {
            return;
        };
        let started = counter.started();
        let is_timed = self
            .head
            .as_ref()
            .is_some_and(|head| head.started == started);
        if counter.is_idle() && !is_timed {
            self.head = Some(HeadTimer {
                started,
                sleep: Box::pin(tokio::time::sleep(self.timeouts.head)),
            });
        }
    }

    /// Completes when the timer of an incomplete head has fired.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let (Some(counter), Some(head)) = (&self.timeouts.counter, &mut self.head) else {
            return Poll::Pending;
        };
        if head.started != counter.started() {
            self.head = None;
            return Poll::Pending;
        }
        head.sleep.as_mut().poll(cx)
    }

    /// Returns the result of a write, or a timeout if the socket has accepted no byte for too long.
    fn apply_write_timeout(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let timeout = self.timeouts.write;
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.replayed == self.start.len() {
            if Pin::new(&mut self.stream).poll_read(cx, buf)?.is_ready() {
                self.on_bytes();
                return Poll::Ready(Ok(()));
            }
            ready!(self.poll_head(cx));
            self.has_head_timed_out = true;
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        self.on_bytes();
        let rest = &self.start[self.replayed..];
        let n = rest.len().min(buf.remaining());
        buf.put_slice(&rest[..n]);
        self.replayed += n;
        if self.replayed == self.start.len() {
            (self.start, self.replayed) = (Vec::new(), 0);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.apply_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.apply_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
