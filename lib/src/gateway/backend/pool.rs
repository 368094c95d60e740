//! Pool of HTTP/1.1 connections to backend servers, each used by one request at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

use super::gate::GatedIo;
use super::gate::WriteGate;
use crate::time::Clock;
use crate::time::Timestamp;

/// Idle connections are closed after this time, because servers close them at about this age.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest read buffer of a connection, bytes. The head of a response must fit in it.
pub(super) const READ_BUFFER_MAX_BYTES: usize = 64 << 10;
/// How long after its last response a connection may still become ready for the next request. Its task has to
/// see the end of the response; a server that has not read the last request keeps it for longer.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of idle connections per server.
const IDLE_CONNECTIONS_MAX: usize = 256;

/// Why no connection to a backend server could be opened. No byte of a request has been written in
/// any of these cases.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// The TCP connection could not be opened or configured.
    #[snafu(display("cannot connect to {address}"))]
    Refused {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The limit on open connections is reached, and no idle one can be closed.
    #[snafu(display("cannot connect to {address}: all {open_max} connections are in use"))]
    LimitReached {
        /// Address of the server.
        address: SocketAddr,
        /// Limit on open connections.
        open_max: usize,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {address} failed"))]
    Setup {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// An open connection. Dropping it closes the socket immediately, which also cancels a request on
/// it.
pub(crate) struct Connection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pub(crate) gate: Arc<WriteGate>,
    /// Task that runs the HTTP connection.
    driver: AbortHandle,
    /// Counts the connection against the pool's limit until it is dropped.
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct IdleConnection {
    connection: Connection,
    close_at: Timestamp,
    /// Until when it is used even if it is not ready for a request yet.
    ready_by: Timestamp,
}

impl IdleConnection {
    fn is_open(&self, now: Timestamp) -> bool {
        !self.close_at.has_passed(now) && !self.connection.sender.is_closed()
    }

    /// Whether a request can be sent at once, or very soon.
    fn is_ready(&self, now: Timestamp) -> bool {
        self.connection.sender.is_ready() || !self.ready_by.has_passed(now)
    }
}

/// Pool of idle connections by server address, with a limit on all open connections.
pub(crate) struct BackendPool {
    clock: Clock,
    open_max: usize,
    /// Size of the receive buffer of each socket, bytes.
    receive_buffer_bytes: usize,
    /// One permit per connection that may still be opened.
    permits: Arc<Semaphore>,
    /// Idle connections by server, in the order in which they became idle.
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl BackendPool {
    /// Creates a pool of at most `open_max` open connections, including those in use.
    pub(crate) fn new(clock: Clock, open_max: usize, receive_buffer_bytes: usize) -> Self {
        let open_max = open_max.min(Semaphore::MAX_PERMITS);
        Self {
            clock,
            open_max,
            receive_buffer_bytes,
            permits: Arc::new(Semaphore::new(open_max)),
            idle: Mutex::default(),
        }
    }

    /// Number of open connections, in use or idle.
    pub(crate) fn open_count(&self) -> usize {
        self.open_max - self.permits.available_permits()
    }

    /// Takes an idle connection to a server, if there is one that is still usable. Those on which the
    /// server has not read the last request stay.
    pub(crate) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle.get_mut(&address)?;
        stack.retain(|entry| entry.is_open(now));
        let at = stack.iter().rposition(|entry| entry.is_ready(now));
        let taken = at.map(|at| stack.remove(at).connection);
        if stack.is_empty() {
            idle.remove(&address);
        }
        taken
    }

    /// Opens a connection to a server, closing an idle one if the limit is reached.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let permit = self.acquire_permit().ok_or(ConnectError::LimitReached {
            address,
            open_max: self.open_max,
        })?;
        let stream = TcpStream::connect(address)
            .await
            .context(RefusedSnafu { address })?;
        stream.set_nodelay(true).context(RefusedSnafu { address })?;
        // Without it the connection only buffers more.
        let _ = SockRef::from(&stream).set_recv_buffer_size(self.receive_buffer_bytes);
        let gate = Arc::new(WriteGate::new(self.clock));
        let io = TokioIo::new(GatedIo::new(stream, gate.clone()));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(READ_BUFFER_MAX_BYTES).handshake(io);
        let (sender, driver) = handshake.await.context(SetupSnafu { address })?;
        // Errors of the driver also reach the request on the connection.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection {
            address,
            sender,
            gate,
            driver: driver.abort_handle(),
            _permit: permit,
        })
    }

    /// Counts a connection that is opened elsewhere against the limit until the permit is dropped. `None`
    /// if the limit is reached.
    pub(crate) fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        self.acquire_permit()
    }

    /// Acquires a permit for one more connection, closing an idle connection if necessary.
    fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok();
        permit.or_else(|| {
            drop(self.take_any_idle()?);
            self.permits.clone().try_acquire_owned().ok()
        })
    }

    /// Takes the idle connection that would expire first. The first one of each server is its
    /// oldest, because connections are taken from and returned to the end.
    fn take_any_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle
            .values_mut()
            .filter(|stack| !stack.is_empty())
            .min_by_key(|stack| stack.first().map(|entry| entry.close_at))?;
        Some(stack.remove(0).connection)
    }

    /// Closes idle connections that have expired or that the server has closed.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, stack| {
            stack.retain(|entry| entry.is_open(now));
            !stack.is_empty()
        });
    }

    /// Returns a connection to the pool after a complete and valid response.
    pub(crate) fn put_back(&self, connection: Connection) {
        self.put_back_until(connection, self.clock.now() + IDLE_TIMEOUT);
    }

    /// Like [`BackendPool::put_back`], but the connection stays idle at most until `close_at`.
    pub(crate) fn put_back_until(&self, connection: Connection, close_at: Timestamp) {
        if connection.sender.is_closed() {
            return;
        }
        connection.gate.disarm();
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle.entry(connection.address).or_default();
        stack.retain(|entry| !entry.close_at.has_passed(now));
        if stack.len() < IDLE_CONNECTIONS_MAX {
            stack.push(IdleConnection {
                connection,
                close_at,
                ready_by: now + READY_TIMEOUT,
            });
        }
    }
}
