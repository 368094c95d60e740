//! A TCP connection for RPC that counts its bytes, closes when its guard is dropped, and limits how
//! much it reads until the other end has proved that it knows the fleet key, the secret that all
//! hosts share.
//!
//! The RPC system keeps its streams in reference-counted structures that may outlive it. Dropping
//! the RPC system would therefore not reliably close the socket, so the guard closes it explicitly.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures::io::AsyncRead;
use futures::io::AsyncWrite;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::counters::LinkCounters;
use super::counters::add;

/// Idle time after which TCP sends the first keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(20);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unanswered probes after which TCP closes the connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// Limit on the bytes read from the other end before it has proved that it knows the fleet key, so
/// that a caller without the key cannot make this host buffer large frames.
const MAX_UNAUTHENTICATED_BYTES: u64 = 4096;

/// The socket, shared by its handles for reading and writing and by the guard.
struct Shared {
    /// `None` once the connection is closed.
    stream: RefCell<Option<TcpStream>>,
    /// Number of bytes that may still be read, `u64::MAX` once the limit is lifted.
    read_quota: Cell<u64>,
}

/// Closes the connection when it is dropped.
pub(crate) struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    /// Handle with which the read limit can be lifted.
    pub(crate) fn read_limit(&self) -> ReadLimit {
        ReadLimit(self.0.clone())
    }
}

/// Limit on the bytes read from a connection before the other end has proved that it knows the
/// fleet key.
pub(crate) struct ReadLimit(Rc<Shared>);

impl ReadLimit {
    /// Removes the limit.
    pub(crate) fn lift(&self) {
        self.0.read_quota.set(u64::MAX);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.stream.borrow_mut().take();
    }
}

/// Handle on a connection. All handles on it read from and write to the same socket.
pub(crate) struct Stream {
    shared: Rc<Shared>,
    counters: Arc<LinkCounters>,
}

/// Wraps a connection and returns its guard, a handle for reading and one for writing. Enables TCP
/// keepalive and disables Nagle's algorithm.
pub(crate) fn wrap(
    stream: TcpStream,
    counters: Arc<LinkCounters>,
) -> io::Result<(ConnectionGuard, Stream, Stream)> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    let shared = Rc::new(Shared {
        stream: RefCell::new(Some(stream)),
        read_quota: Cell::new(MAX_UNAUTHENTICATED_BYTES),
    });
    let reader = Stream {
        shared: shared.clone(),
        counters: counters.clone(),
    };
    let writer = Stream {
        shared: shared.clone(),
        counters,
    };
    Ok((ConnectionGuard(shared), reader, writer))
}

impl Shared {
    /// Deducts `count` bytes from the read quota. Fails if fewer are left.
    fn consume_read_quota(&self, count: u64) -> io::Result<()> {
        let left = self.read_quota.get().checked_sub(count);
        self.read_quota
            .set(left.ok_or(io::ErrorKind::QuotaExceeded)?);
        Ok(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.shared.stream.borrow_mut();
        let Some(stream) = shared.as_mut() else {
            return Poll::Ready(Ok(0));
        };
        let mut buf = ReadBuf::new(buf);
        match tokio::io::AsyncRead::poll_read(Pin::new(stream), cx, &mut buf) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(err)) => Poll::Ready(Err(err)),
            Poll::Ready(Ok(())) => {
                let count = buf.filled().len();
                add(&self.counters.bytes_in, count as u64);
                self.shared.consume_read_quota(count as u64)?;
                Poll::Ready(Ok(count))
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.shared.stream.borrow_mut();
        let Some(stream) = shared.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let poll = tokio::io::AsyncWrite::poll_write(Pin::new(stream), cx, buf);
        if let Poll::Ready(Ok(count)) = &poll {
            add(&self.counters.bytes_out, *count as u64);
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared.stream.borrow_mut().take();
        Poll::Ready(Ok(()))
    }
}
