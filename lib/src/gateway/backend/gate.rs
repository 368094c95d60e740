//! Proof that no byte of a request was written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::time::Clock;
use crate::time::Timestamp;

/// No request may be written.
const IDLE: u8 = 0;
/// A request may be written and none of its bytes has been offered to the socket.
const ARMED: u8 = 1;
/// The first byte of the request has been offered to the socket.
const WRITING: u8 = 2;
/// The request may not be written any more.
const CLOSED: u8 = 3;

/// What is known of the bytes of a request once its gate is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// No byte was written, and none will be.
    Nothing {
        /// Whether the reason is that the deadline of the order had passed.
        expired: bool,
    },
    /// The server may have received some or all of the request.
    Maybe,
}

/// Guards the first byte of each request on one connection.
#[derive(Debug)]
pub(crate) struct WriteGate {
    clock: Clock,
    state: AtomicU8,
    deadline: AtomicU64,
    bytes: AtomicU64,
    failed: AtomicU8,
}

impl WriteGate {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: AtomicU8::new(IDLE),
            deadline: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            failed: AtomicU8::new(0),
        }
    }

    /// Allows one request to be written if its first byte is offered before `deadline`.
    pub(crate) fn arm(&self, deadline: Timestamp) {
        self.deadline.store(deadline.as_micros(), Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
        self.failed.store(0, Ordering::Relaxed);
        self.state.store(ARMED, Ordering::Release);
    }

    /// Forbids writing until the next request is armed, after an exchange has ended.
    pub(crate) fn disarm(&self) {
        self.state.store(IDLE, Ordering::Release);
    }

    /// Forbids all further writing and says whether a byte of the request was written.
    pub(crate) fn close(&self) -> Written {
        let before = self.state.swap(CLOSED, Ordering::AcqRel);
        let failed = self.failed.load(Ordering::Acquire) != 0;
        let nothing = match before {
            IDLE | ARMED => true,
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

    /// Decides whether bytes may be offered to the socket now.
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
                }
                _ => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        }
    }

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

/// A connection to a backend server whose writes pass a [`WriteGate`].
pub(crate) struct GatedIo<T> {
    io: T,
    gate: Arc<WriteGate>,
}

impl<T> GatedIo<T> {
    pub(crate) fn new(io: T, gate: Arc<WriteGate>) -> Self {
        Self { io, gate }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for GatedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
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
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
