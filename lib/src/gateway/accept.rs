//! Accepts callers' connections, on a thread of its own if connections are to be refused while the
//! thread that serves requests is behind its work.
//!
//! Such a thread takes too long to come back to its listener. The kernel then drops new connections,
//! whose callers wait for seconds. A refusal that is sent at once is cheaper for both sides. What has
//! arrived on a connection has to be received anyway, so the decision can depend on it.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::net::TcpStream;
use std::os::fd::AsFd;
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
use socket2::SockRef;
use tokio::io::DuplexStream;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::watch;

use super::handover::Handover;
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
/// No wait, if there are connections to be looked at again.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};
/// Wait after connections were refused, or nothing has arrived on some. The next ones are accepted together, which takes a host that has
/// no processor time left less of it than to wake up for each.
const REFUSING_PAUSE: Duration = Duration::from_millis(10);
/// Stack of the accepting thread, bytes.
const STACK_BYTES: usize = 256 << 10;
/// Most bytes that are received of a request before it is decided on. It covers most requests to models.
const RECEIVED_MAX_BYTES: usize = 16 << 10;
/// Most accepted connections that wait for the thread that serves requests, with what has arrived on them.
const ACCEPTED_WAITING_MAX: usize = 256;
/// Time after which the caller of a connection beyond these should try again, seconds.
pub(super) const WAITING_RETRY_AFTER: &[u8] = b"1";
/// How often the accepting thread waits [`REFUSING_PAUSE`] for the first bytes of a connection.
const LOOKS_MAX: u32 = 3;

/// Bounds the receive buffers of the connections that a listener accepts. The kernel lets them grow to
/// megabytes each, which callers fill that send faster than their requests are read.
pub(crate) fn limit_receive_buffers(listener: &impl AsFd, bytes: usize) {
    // Without it connections only buffer more.
    let _ = SockRef::from(listener).set_recv_buffer_size(bytes);
}

/// Connections that were accepted. The channel is closed after the stop signal, when the listener is
/// closed.
pub(crate) type Accepted = mpsc::Receiver<AcceptedConnection>;

/// A way by which a caller's requests arrive.
pub(crate) enum CallerIo {
    /// Its own connection, in non-blocking mode.
    Connection(TcpStream),
    /// One end of a request that another host hands over.
    HandedOver(DuplexStream),
}

/// A connection of a caller that was not refused.
pub(crate) struct AcceptedConnection {
    pub(crate) io: CallerIo,
    /// Bytes that were received on it.
    pub(crate) received: Vec<u8>,
    /// Set if another host is to serve the request.
    pub(crate) handover: Option<Handover>,
}

impl From<TcpStream> for AcceptedConnection {
    fn from(stream: TcpStream) -> Self {
        Self {
            io: CallerIo::Connection(stream),
            received: Vec::new(),
            handover: None,
        }
    }
}

/// What is done with a new connection.
pub(crate) enum ConnectionDecision {
    /// This host serves it.
    Serve,
    /// Another host serves its first request, whose head has arrived.
    HandOver(Handover),
    /// It is refused, with this value of the `Retry-After` header.
    Refuse(HeaderValue),
}

/// Decides on a connection from an address by the bytes that have arrived.
type Decide = Box<dyn Fn(IpAddr, &[u8]) -> ConnectionDecision + Send>;

/// Decides on new connections.
pub(crate) struct Refusing {
    /// Whether connections may have to be refused now. If not, they are served without a look at them.
    pub(crate) is_behind: Box<dyn Fn() -> bool + Send>,
    pub(crate) decide: Decide,
    /// Metric: accepted connections.
    pub(crate) accepted: IntCounter,
    /// Metric: refused connections.
    pub(crate) refused: IntCounter,
}

/// Accepts all connections in a task of the current runtime.
pub(crate) fn accept_in_task(listener: TcpListener, mut stop: watch::Receiver<bool>) -> Accepted {
    let (tx, rx) = mpsc::channel(ACCEPTED_WAITING_MAX);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopped(&mut stop) => break,
                () = tx.closed() => return,
            };
            match accepted.and_then(|(stream, _)| stream.into_std()) {
                // Fails only if the server was dropped, which the next turn notices.
                Ok(stream) => drop(tx.send(stream.into()).await),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        if let Ok(listener) = listener.into_std() {
            accept_queued(&listener, &tx);
        }
    });
    rx
}

/// Accepts connections on a new thread, and refuses those that `refusing` says. Also returns a sender for
/// requests that other hosts hand over, which works until the stop signal.
///
/// # Errors
///
/// Fails if the thread cannot be started or the listener cannot be moved there.
pub(crate) fn accept_on_thread(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    refusing: Refusing,
) -> io::Result<(Accepted, mpsc::WeakSender<AcceptedConnection>)> {
    let (tx, rx) = mpsc::channel(ACCEPTED_WAITING_MAX);
    let weak = tx.downgrade();
    let listener = listener.into_std()?;
    std::thread::Builder::new()
        .name("accept".into())
        .stack_size(STACK_BYTES)
        .spawn(move || accept(&listener, &stop, &tx, &refusing))?;
    Ok((rx, weak))
}

/// A connection on which nothing has arrived yet.
struct SilentConnection {
    stream: TcpStream,
    from: IpAddr,
    /// How often it was looked at.
    looks: u32,
}

/// Accepts or refuses connections until the stop signal, or until nobody receives them any more.
fn accept(
    listener: &StdListener,
    stop: &watch::Receiver<bool>,
    tx: &mpsc::Sender<AcceptedConnection>,
    refusing: &Refusing,
) {
    let mut silent = Vec::new();
    // An error means that the sender of the signal is gone, which also counts as a stop.
    while !*stop.borrow() && stop.has_changed().is_ok() {
        if tx.is_closed() {
            return;
        }
        let wait = match silent.is_empty() {
            true => &STOP_CHECK_INTERVAL,
            false => &NO_WAIT,
        };
        let mut fds = [PollFd::new(listener, PollFlags::IN)];
        let refused_before = refusing.refused.get();
        let accepted = match poll(&mut fds, Some(wait)) {
            Err(Errno::INTR) => continue,
            Ok(0) => Ok(()),
            Ok(_) => accept_ready(listener, tx, refusing, &mut silent),
            Err(err) => Err(err.into()),
        };
        for connection in std::mem::take(&mut silent) {
            decide(connection, tx, refusing, &mut silent);
        }
        if accepted.is_err_and(|err| err.kind() != io::ErrorKind::WouldBlock) {
            std::thread::sleep(ACCEPT_PAUSE);
        } else if refusing.refused.get() > refused_before || !silent.is_empty() {
            std::thread::sleep(REFUSING_PAUSE);
        }
    }
    for connection in silent {
        pass_on(connection.stream.into(), tx);
    }
    accept_queued(listener, tx);
}

/// Accepts the connections in the accept queue, up to a limit, and serves them or adds them to `silent`
/// to be decided on. The error is `WouldBlock` if none is left.
fn accept_ready(
    listener: &StdListener,
    tx: &mpsc::Sender<AcceptedConnection>,
    refusing: &Refusing,
    silent: &mut Vec<SilentConnection>,
) -> io::Result<()> {
    for _ in 0..ACCEPTED_PER_TURN {
        let (stream, from) = accept_one(listener)?;
        if (refusing.is_behind)() {
            silent.push(SilentConnection {
                stream,
                from,
                looks: 0,
            });
            continue;
        }
        match pass_on(stream.into(), tx) {
            true => refusing.accepted.inc(),
            false => refusing.refused.inc(),
        }
    }
    Ok(())
}

/// Decides on a connection by what has arrived on it. Receiving it also keeps the close of a refused
/// connection from resetting it, which might cost its caller the response. It is added to `silent` if nothing has.
fn decide(
    connection: SilentConnection,
    tx: &mpsc::Sender<AcceptedConnection>,
    refusing: &Refusing,
    silent: &mut Vec<SilentConnection>,
) {
    let SilentConnection {
        stream,
        from,
        looks,
    } = connection;
    let mut buf = [0; RECEIVED_MAX_BYTES];
    // A connection that has failed or ended is left to the server.
    let len = rustix::net::recv(&stream, &mut buf[..], RecvFlags::DONTWAIT);
    let received = match len {
        Ok((len, _)) => &buf[..len],
        Err(Errno::AGAIN) if looks < LOOKS_MAX => {
            let looks = looks + 1;
            silent.push(SilentConnection {
                stream,
                from,
                looks,
            });
            return;
        }
        Err(_) => &[],
    };
    let handover = match (refusing.decide)(from, received) {
        ConnectionDecision::Serve => None,
        ConnectionDecision::HandOver(handover) => Some(handover),
        ConnectionDecision::Refuse(retry_after) => {
            refusing.refused.inc();
            refuse(&stream, retry_after.as_bytes());
            return;
        }
    };
    let accepted = AcceptedConnection {
        io: CallerIo::Connection(stream),
        received: received.to_vec(),
        handover,
    };
    match pass_on(accepted, tx) {
        true => refusing.accepted.inc(),
        false => refusing.refused.inc(),
    }
}

/// Passes a connection on to the server, or refuses it if too many wait there. Returns whether it was not
/// refused.
fn pass_on(connection: AcceptedConnection, tx: &mpsc::Sender<AcceptedConnection>) -> bool {
    match tx.try_send(connection) {
        Err(TrySendError::Full(connection)) => {
            if let CallerIo::Connection(stream) = &connection.io {
                let mut buf = [0; RECEIVED_MAX_BYTES];
                let _ = rustix::net::recv(stream, &mut buf[..], RecvFlags::DONTWAIT);
                refuse(stream, WAITING_RETRY_AFTER);
            }
            false
        }
        // The server was dropped, which `accept` notices.
        Ok(()) | Err(TrySendError::Closed(_)) => true,
    }
}

/// Accepts the connections that are still in the accept queue of a listener that is about to be closed,
/// which would reset them.
fn accept_queued(listener: &StdListener, tx: &mpsc::Sender<AcceptedConnection>) {
    // The listener is non-blocking, so the first error means that the queue is empty.
    while let Ok((stream, _)) = accept_one(listener) {
        pass_on(stream.into(), tx);
    }
}

/// Accepts a connection in non-blocking mode. Returns it with the address that it comes from.
fn accept_one(listener: &StdListener) -> io::Result<(TcpStream, IpAddr)> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let (stream, from) = rustix::net::acceptfrom_with(listener, flags)?;
    let from = from.and_then(|from| SocketAddr::try_from(from).ok());
    let from = from.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |from| from.ip());
    Ok((TcpStream::from(stream), from))
}

/// Refuses a connection. If the response cannot be sent, the caller only sees a closed connection.
fn refuse(stream: &TcpStream, retry_after: &[u8]) {
    let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
    let _ = rustix::net::send(stream, &refusal(retry_after), flags);
}

/// A response that refuses a request. `retry_after` is the value of its header of that name.
pub(super) fn refusal(retry_after: &[u8]) -> Vec<u8> {
    let head = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n";
    [head, &b"retry-after: "[..], retry_after, b"\r\n\r\n"].concat()
}
