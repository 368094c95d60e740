//! Hands the request on a new connection of a caller over to another host: passes bytes on between the
//! caller and that host, which serves the request as if the caller had connected to it.
//!
//! Passing bytes on costs a host less than serving a request does. A host that gets more requests than it
//! has processor time for can thus use that of others.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Longest time to connect to the other host: many round trips within a failure domain.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of the buffer for each direction, bytes. It holds several events of a stream.
const BUFFER_BYTES: usize = 4 << 10;
/// Response if the other host closed its connection without one. The request may have run there.
const NO_RESPONSE: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Response if the other host did not respond in time. The request may have run there.
const TIMED_OUT: &[u8] = b"HTTP/1.1 504 Gateway Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// How a request that was to be handed over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoverOutcome {
    /// The other host could not be reached and has received nothing.
    Unreachable,
    /// The bytes were passed on until one side closed its connection.
    Ended,
    /// The other host had not responded at the deadline.
    TimedOut,
}

/// The host to which a request is handed over.
pub(crate) struct Handover {
    /// Address at which that host accepts callers.
    pub(crate) to: SocketAddr,
    /// Address of this host, by which the other one tells it from a caller.
    pub(crate) from: IpAddr,
    /// When the response has to be complete.
    pub(crate) deadline: Instant,
    /// Called with the outcome, also if the handover is dropped.
    pub(crate) on_end: EndGuard,
}

/// Reports the outcome of a handover once.
pub(crate) struct EndGuard {
    on_end: Option<Box<dyn FnOnce(HandoverOutcome) + Send>>,
}

impl EndGuard {
    pub(crate) fn new(on_end: impl FnOnce(HandoverOutcome) + Send + 'static) -> Self {
        Self {
            on_end: Some(Box::new(on_end)),
        }
    }

    fn end(mut self, outcome: HandoverOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: HandoverOutcome) {
        if let Some(on_end) = self.on_end.take() {
            on_end(outcome);
        }
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.report(HandoverOutcome::Ended);
    }
}

impl Handover {
    /// Passes bytes on between the caller and the other host until the response is complete. `received` has
    /// the head of the request. Returns the caller's connection and these bytes if the other host cannot be
    /// reached; nothing was sent then.
    pub(crate) async fn run(
        self,
        caller: TcpStream,
        received: Vec<u8>,
    ) -> Option<(TcpStream, Vec<u8>)> {
        let Self {
            to,
            from,
            deadline,
            on_end,
        } = self;
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(from, to));
        let Ok(Ok(host)) = connect.await else {
            on_end.end(HandoverOutcome::Unreachable);
            return Some((caller, received));
        };
        let request = close_after_response(&received);
        drop(received);
        let mut tunnel = Tunnel {
            caller,
            host,
            has_response: false,
        };
        let passing = tunnel.pass(request);
        let passed = tokio::time::timeout_at(deadline.into(), passing).await;
        let (outcome, response) = match passed {
            Ok(_) => (HandoverOutcome::Ended, NO_RESPONSE),
            Err(_) => (HandoverOutcome::TimedOut, TIMED_OUT),
        };
        if !tunnel.has_response {
            let _ = tunnel.caller.try_write(response);
        } else if !matches!(passed, Ok(Ok(()))) {
            // A response without length or chunks is complete when its connection closes, so one that is
            // not complete is reset.
            let _ = tunnel.caller.set_zero_linger();
        }
        on_end.end(outcome);
        None
    }
}

async fn connect(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = match from {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

/// The two connections of a handover.
struct Tunnel {
    caller: TcpStream,
    host: TcpStream,
    /// Whether part of the response was sent to the caller.
    has_response: bool,
}

impl Tunnel {
    /// Passes bytes on in both directions. Ends when the host has closed its connection, or the caller has
    /// left.
    async fn pass(&mut self, start: Vec<u8>) -> io::Result<()> {
        self.host.write_all(&start).await?;
        drop(start);
        let (mut from_caller, mut to_caller) = self.caller.split();
        let (mut from_host, mut to_host) = self.host.split();
        let mut request = vec![0; BUFFER_BYTES];
        let mut response = vec![0; BUFFER_BYTES];
        let mut is_request_open = true;
        loop {
            tokio::select! {
                read = from_host.read(&mut response) => {
                    let len = read?;
                    if len == 0 {
                        return Ok(());
                    }
                    self.has_response = true;
                    to_caller.write_all(&response[..len]).await?;
                }
                read = from_caller.read(&mut request), if is_request_open => {
                    let len = read?;
                    match len {
                        0 => {
                            is_request_open = false;
                            to_host.shutdown().await?;
                        }
                        len => to_host.write_all(&request[..len]).await?,
                    }
                }
            }
        }
    }
}

/// Adds a header to a request by which its connection is closed after the response. Lines may end without a
/// carriage return, and empty lines may precede the request line (RFC 9112, section 2.2).
fn close_after_response(received: &[u8]) -> Vec<u8> {
    const CLOSE: &[u8] = b"connection: close\r\n";
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let start = received.iter().position(|byte| !is_line_end(byte));
    let start = start.unwrap_or(received.len());
    let line = received[start..].iter().position(|byte| *byte == b'\n');
    let line_end = line.map_or(received.len(), |line| start + line + 1);
    let (line, rest) = received.split_at(line_end);
    [line, CLOSE, rest].concat()
}
