//! Write gate of a connection: proves whether any byte of a request was offered to the socket.
//!
//! The gate sits between the HTTP client and the socket ([`GatedIo`]). A request may be retried on
//! another server only if it was provably not sent. The gate admits the first byte only before the
//! deadline of the scheduler's order, and once closed it admits no more bytes.
//!
//! The gate also tells whether the server ended the connection before it can have read the request, so that a
//! response without a length is not taken for complete.
//!
//! It bounds, too, what is read before the final head of the response. A server may send interim heads
//! (status 1xx) without end, which the HTTP client skips one after the other, in one turn of its task as
//! long as there are any.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::pool::READ_BUFFER_MAX_BYTES;
use super::send_queue::unacknowledged_bytes;
use crate::time::Clock;
use crate::time::Timestamp;

/// No request is being sent, and none may be written.
const IDLE: u8 = 0;
/// A request may be written, and none of its bytes has been offered to the socket.
const ARMED: u8 = 1;
/// The first byte of the request has been offered to the socket.
const WRITING: u8 = 2;
/// No further byte of the request may be written.
const CLOSED: u8 = 3;

/// Most bytes that are read until the final head of a response is known: interim heads, the final head,
/// and what arrives with it, each at most a read buffer.
const HEAD_READ_MAX_BYTES: usize = 3 * READ_BUFFER_MAX_BYTES;

/// Whether bytes of a request were written, as known when its gate is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// No byte was written, and none will be.
    Nothing {
        /// Whether the deadline given to the latest [`WriteGate::arm`] had passed.
        expired: bool,
    },
    /// The server may have received some or all of the request.
    Maybe,
}

/// Write gate of one connection, used by one request at a time.
#[derive(Debug)]
pub(crate) struct WriteGate {
    clock: Clock,
    state: AtomicU8,
    /// Deadline for the first byte, microseconds on `clock`.
    deadline: AtomicU64,
    /// Bytes of the request that the socket has accepted.
    bytes: AtomicU64,
    /// Nonzero once a write of the request has failed.
    failed: AtomicU8,
    /// Whether the request has been written to its end.
    is_written: AtomicBool,
    /// Whether the server ended the connection before it can have read the request.
    ended_early: AtomicBool,
    /// Bytes that may still be read before the final head of the response; `usize::MAX` while no response
    /// is awaited.
    head_left: AtomicUsize,
}

impl WriteGate {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: AtomicU8::new(IDLE),
            deadline: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            failed: AtomicU8::new(0),
            is_written: AtomicBool::new(false),
            ended_early: AtomicBool::new(false),
            head_left: AtomicUsize::new(usize::MAX),
        }
    }

    /// Allows one request to be written if its first byte is offered to the socket before
    /// `deadline`.
    pub(crate) fn arm(&self, deadline: Timestamp) {
        self.deadline.store(deadline.as_micros(), Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
        self.failed.store(0, Ordering::Relaxed);
        self.is_written.store(false, Ordering::Relaxed);
        self.ended_early.store(false, Ordering::Relaxed);
        self.head_left.store(HEAD_READ_MAX_BYTES, Ordering::Relaxed);
        self.state.store(ARMED, Ordering::Release);
    }

    /// Records that the final head of the response has arrived.
    pub(crate) fn on_response_head(&self) {
        self.head_left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if they are too many for the head of a response.
    fn on_read(&self, bytes: usize) -> io::Result<()> {
        let left = self.head_left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        if bytes > left {
            let reason = format!("no response head within {HEAD_READ_MAX_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        // Only the head itself, which may arrive meanwhile, ends the count.
        let _ = self.head_left.compare_exchange(
            left,
            left - bytes,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        Ok(())
    }

    /// Whether the server has ended the connection although it cannot have read the request, since a part of
    /// it had not arrived there. The server has failed, or takes no more of the request.
    pub(crate) fn ended_early(&self) -> bool {
        self.ended_early.load(Ordering::Acquire)
    }

    /// Records that the server has ended the connection. `unacknowledged` gives the number of bytes that have
    /// not arrived there.
    fn on_end(&self, unacknowledged: impl FnOnce() -> usize) {
        if self.state.load(Ordering::Acquire) != WRITING {
            return;
        }
        // A server that has read a request has acknowledged all of it with its last bytes.
        let ended_early = !self.is_written.load(Ordering::Acquire) || unacknowledged() > 0;
        self.ended_early.store(ended_early, Ordering::Release);
    }

    /// Records a flush. The HTTP client flushes once nothing of a request is left to write.
    fn on_flushed(&self) {
        if self.state.load(Ordering::Acquire) == WRITING {
            self.is_written.store(true, Ordering::Release);
        }
    }

    /// Blocks writes until the next [`WriteGate::arm`], after a request has ended.
    pub(crate) fn disarm(&self) {
        self.state.store(IDLE, Ordering::Release);
    }

    /// Blocks all further writes and returns whether a byte of the request was written.
    pub(crate) fn close(&self) -> Written {
        let before = self.state.swap(CLOSED, Ordering::AcqRel);
        let failed = self.failed.load(Ordering::Acquire) != 0;
        let nothing = match before {
            IDLE | ARMED => true,
            // Bytes were offered to the socket, but it accepted none and then failed.
            _ => failed && self.bytes.load(Ordering::Acquire) == 0,
        };
        if !nothing {
            return Written::Maybe;
        }
        let deadline = Timestamp::from_micros(self.deadline.load(Ordering::Relaxed));
        Written::Nothing {
            expired: deadline.has_passed(self.clock.now()),
        }
    }

    /// Returns an error unless bytes may be offered to the socket now.
    fn admit(&self) -> io::Result<()> {
        loop {
            match self.state.load(Ordering::Acquire) {
                WRITING if self.failed.load(Ordering::Acquire) == 0 => return Ok(()),
                ARMED => {
                    let deadline = Timestamp::from_micros(self.deadline.load(Ordering::Relaxed));
                    if deadline.has_passed(self.clock.now()) {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    let started = self.state.compare_exchange(
                        ARMED,
                        WRITING,
                        Ordering::AcqRel,
                        Ordering::Acquire,
                    );
                    if started.is_ok() {
                        return Ok(());
                    }
                    // The state has changed in the meantime, for example because the gate was
                    // closed: check it again.
                }
                _ => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        }
    }

    /// Records the result of a write.
    fn record(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(n)) => {
                self.bytes.fetch_add(*n as u64, Ordering::AcqRel);
            }
            Poll::Ready(Err(_)) => self.failed.store(1, Ordering::Release),
            Poll::Pending => {}
        }
    }
}

/// Stream to a backend server whose writes pass a [`WriteGate`].
pub(crate) struct GatedIo<T> {
    io: T,
    gate: Arc<WriteGate>,
}

impl<T> GatedIo<T> {
    pub(crate) fn new(io: T, gate: Arc<WriteGate>) -> Self {
        Self { io, gate }
    }
}

impl<T: AsyncRead + AsFd + Unpin> AsyncRead for GatedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes == 0 && buf.remaining() > 0 {
            self.gate.on_end(|| unacknowledged_bytes(&self.io));
        }
        Poll::Ready(self.gate.on_read(bytes))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for GatedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.admit()?;
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.gate.record(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.admit()?;
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.gate.record(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.gate.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
