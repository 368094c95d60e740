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
use tokio::task::AbortHandle;

use super::gate::GatedIo;
use super::gate::WriteGate;
use crate::time::Clock;
use crate::time::Timestamp;

/// Idle connections older than this are closed, because servers close them at about this age.
const IDLE_MAX: Duration = Duration::from_secs(4);
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
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl BackendPool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
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
        })
    }

    /// Keeps a connection whose exchange ended with a clean and whole answer.
    pub(crate) fn put_back(&self, connection: Connection) {
        self.put_back_until(connection, self.clock.now() + IDLE_MAX);
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
