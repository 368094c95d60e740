//! Accepts callers' connections, on a thread of its own if connections are to be refused while the
//! thread that serves requests is behind its work.
//!
//! Such a thread takes too long to come back to its listener. The kernel then drops new connections,
//! whose callers wait for seconds. A refusal that is sent at once is cheaper for both sides.

use std::io;
use std::net::TcpListener as StdListener;
use std::net::TcpStream;
use std::time::Duration;

use axum::http::HeaderValue;
use prometheus::IntCounter;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use rustix::io::Errno;
use rustix::net::RecvFlags;
use rustix::net::SendFlags;
use rustix::net::SocketFlags;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::server::stopped;

/// Wait after accepting a connection has failed. Avoids a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Most connections that are accepted before the stop signal is looked at again.
const ACCEPTED_PER_TURN: usize = 64;
/// How often the accepting thread looks at the stop signal if there are no new connections.
const STOP_CHECK_INTERVAL: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 250_000_000,
};
/// Wait after connections were refused. The next ones are accepted together, which takes a host that has
/// no processor time left less of it than to wake up for each.
const REFUSING_PAUSE: Duration = Duration::from_millis(10);
/// Stack of the accepting thread, bytes.
const STACK_BYTES: usize = 256 << 10;
/// Most bytes that are read of a refused request. It covers most requests to models.
const DISCARD_BYTES: usize = 16 << 10;

/// Connections that were accepted, in non-blocking mode. The channel is closed after the stop signal,
/// when the listener is closed.
pub(crate) type Accepted = mpsc::UnboundedReceiver<TcpStream>;

/// Decides which new connections are refused.
pub(crate) struct Refusing {
    /// Value of the `Retry-After` header of the refusal, `None` if the connection is to be served.
    pub(crate) retry_after: Box<dyn Fn() -> Option<HeaderValue> + Send>,
    /// Metric: accepted connections.
    pub(crate) accepted: IntCounter,
    /// Metric: refused connections.
    pub(crate) refused: IntCounter,
}

/// Accepts all connections in a task of the current runtime.
pub(crate) fn accept_in_task(listener: TcpListener, mut stop: watch::Receiver<bool>) -> Accepted {
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopped(&mut stop) => break,
                () = tx.closed() => return,
            };
            match accepted.and_then(|(stream, _)| stream.into_std()) {
                // Fails only if the server was dropped, which the next turn notices.
                Ok(stream) => drop(tx.send(stream)),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        if let Ok(listener) = listener.into_std() {
            accept_queued(&listener, &tx);
        }
    });
    rx
}

/// Accepts connections on a new thread, and refuses those that `refusing` says.
///
/// # Errors
///
/// Fails if the thread cannot be started or the listener cannot be moved there.
pub(crate) fn accept_on_thread(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    refusing: Refusing,
) -> io::Result<Accepted> {
    let (tx, rx) = mpsc::unbounded_channel();
    let listener = listener.into_std()?;
    std::thread::Builder::new()
        .name("accept".into())
        .stack_size(STACK_BYTES)
        .spawn(move || accept(&listener, &stop, &tx, &refusing))?;
    Ok(rx)
}

/// Accepts or refuses connections until the stop signal, or until nobody receives them any more.
fn accept(
    listener: &StdListener,
    stop: &watch::Receiver<bool>,
    tx: &mpsc::UnboundedSender<TcpStream>,
    refusing: &Refusing,
) {
    // An error means that the sender of the signal is gone, which also counts as a stop.
    while !*stop.borrow() && stop.has_changed().is_ok() {
        if tx.is_closed() {
            return;
        }
        let mut fds = [PollFd::new(listener, PollFlags::IN)];
        let refused_before = refusing.refused.get();
        let accepted = match poll(&mut fds, Some(&STOP_CHECK_INTERVAL)) {
            Ok(0) | Err(Errno::INTR) => continue,
            Ok(_) => accept_ready(listener, tx, refusing),
            Err(err) => Err(err.into()),
        };
        if accepted.is_err_and(|err| err.kind() != io::ErrorKind::WouldBlock) {
            std::thread::sleep(ACCEPT_PAUSE);
        } else if refusing.refused.get() > refused_before {
            std::thread::sleep(REFUSING_PAUSE);
        }
    }
    accept_queued(listener, tx);
}

/// Accepts or refuses the connections in the accept queue, up to a limit. The error is `WouldBlock` if
/// none is left.
fn accept_ready(
    listener: &StdListener,
    tx: &mpsc::UnboundedSender<TcpStream>,
    refusing: &Refusing,
) -> io::Result<()> {
    for _ in 0..ACCEPTED_PER_TURN {
        let stream = accept_one(listener)?;
        match (refusing.retry_after)() {
            Some(retry_after) => {
                refusing.refused.inc();
                refuse(&stream, &retry_after);
            }
            None => {
                refusing.accepted.inc();
                // Fails only if the server was dropped, which `accept` notices.
                drop(tx.send(stream));
            }
        }
    }
    Ok(())
}

/// Accepts the connections that are still in the accept queue of a listener that is about to be closed,
/// which would reset them.
fn accept_queued(listener: &StdListener, tx: &mpsc::UnboundedSender<TcpStream>) {
    // The listener is non-blocking, so the first error means that the queue is empty.
    while let Ok(stream) = accept_one(listener) {
        drop(tx.send(stream));
    }
}

/// Accepts a connection in non-blocking mode.
fn accept_one(listener: &StdListener) -> io::Result<TcpStream> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(TcpStream::from(rustix::net::accept_with(listener, flags)?))
}

/// Refuses a connection. If the response cannot be sent, the caller only sees a closed connection.
fn refuse(stream: &TcpStream, retry_after: &HeaderValue) {
    let mut discarded = [0; DISCARD_BYTES];
    // Closing a connection with unread bytes would reset it, and the caller might not receive the
    // response.
    let _ = rustix::net::recv(stream, &mut discarded[..], RecvFlags::DONTWAIT);
    let head = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n";
    let response = [
        head,
        &b"retry-after: "[..],
        retry_after.as_bytes(),
        b"\r\n\r\n",
    ]
    .concat();
    let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
    let _ = rustix::net::send(stream, &response, flags);
}
