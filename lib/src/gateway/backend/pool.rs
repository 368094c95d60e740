//! Connections to backend servers, one exchange at a time.

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
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

use super::gate::GatedIo;
use super::gate::WriteGate;
use crate::time::Clock;
use crate::time::Timestamp;

/// Idle connections older than this are closed, because servers close them at about this age.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle connections kept for one server.
const IDLE_CONNECTIONS_MAX: usize = 256;

/// Why no connection to a backend server could be opened. No byte of a request was written.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    /// The server did not accept the connection.
    #[snafu(display("cannot connect to {address}"))]
    Refused {
        /// The server.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// As many connections are open as the process has room for.
    #[snafu(display("no room for a connection to {address}: {open_max} are open and in use"))]
    LimitReached {
        /// The server.
        address: SocketAddr,
        /// Most connections at once.
        open_max: usize,
    },
    /// The HTTP connection could not be set up.
    #[snafu(display("cannot set up HTTP with {address}"))]
    Setup {
        /// The server.
        address: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
}

/// An open connection. Dropping it closes the socket at once, and with it a running exchange.
pub(crate) struct Connection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pub(crate) gate: Arc<WriteGate>,
    driver: AbortHandle,
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
}

/// Idle connections by server.
pub(crate) struct BackendPool {
    clock: Clock,
    open_max: usize,
    permits: Arc<Semaphore>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl BackendPool {
    /// A pool of at most `open_max` connections, those in use included.
    pub(crate) fn new(clock: Clock, open_max: usize) -> Self {
        let open_max = open_max.min(Semaphore::MAX_PERMITS);
        Self {
            clock,
            open_max,
            permits: Arc::new(Semaphore::new(open_max)),
            idle: Mutex::default(),
        }
    }

    /// Connections that are open, in use or idle.
    pub(crate) fn open_count(&self) -> usize {
        self.open_max - self.permits.available_permits()
    }

    /// Takes an idle connection to a server, if there is an open one.
    pub(crate) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle.get_mut(&address)?;
        while let Some(entry) = stack.pop() {
            let usable = !entry.close_at.has_passed(now) && !entry.connection.sender.is_closed();
            if usable {
                return Some(entry.connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Opens a connection to a server.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let permit = self.acquire_permit().ok_or(ConnectError::LimitReached {
            address,
            open_max: self.open_max,
        })?;
        let stream = TcpStream::connect(address)
            .await
            .context(RefusedSnafu { address })?;
        stream.set_nodelay(true).context(RefusedSnafu { address })?;
        let gate = Arc::new(WriteGate::new(self.clock));
        let io = TokioIo::new(GatedIo::new(stream, gate.clone()));
        let (sender, driver) = http1::handshake(io).await.context(SetupSnafu { address })?;
        // Errors of the connection reach the exchange that it carries.
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

    /// Room for one more connection, if need be that of an idle one.
    fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok();
        permit.or_else(|| {
            drop(self.take_any_idle()?);
            self.permits.clone().try_acquire_owned().ok()
        })
    }

    /// The idle connection that would be closed first.
    fn take_any_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle
            .values_mut()
            .filter(|stack| !stack.is_empty())
            .min_by_key(|stack| stack.first().map(|entry| entry.close_at))?;
        Some(stack.remove(0).connection)
    }

    /// Closes idle connections whose time is over.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, stack| {
            stack.retain(|entry| {
                !entry.close_at.has_passed(now) && !entry.connection.sender.is_closed()
            });
            !stack.is_empty()
        });
    }

    /// Keeps a connection whose exchange ended with a clean and whole answer.
    pub(crate) fn put_back(&self, connection: Connection) {
        self.put_back_until(connection, self.clock.now() + IDLE_TIMEOUT);
    }

    /// Keeps such a connection until `close_at`.
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
            });
        }
    }
}
