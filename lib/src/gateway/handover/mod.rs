//! Hands the request on a new connection of a caller over to another host: passes bytes on between the
//! caller and that host, which serves the request as if the caller had connected to it.
//!
//! Passing bytes on costs a host less than serving a request does. A host that gets more requests than it
//! has processor time for can thus use that of others. All requests to the same host share one connection, a
//! link.

mod frame;
mod link;
mod links;
mod served;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::net::TcpStream;

pub(crate) use self::links::HandoverLinks;
pub(crate) use self::links::LINK_PATH;
pub(crate) use self::links::LINK_PROTOCOL;
pub(crate) use self::served::HandedOver;
use self::stream::Complete;

/// Response if the other host gave the request up without one. The request may have run there.
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
    /// The bytes were passed on until one side ended.
    Ended,
    /// The other host had not responded at the deadline.
    TimedOut,
}

/// The host to which a request is handed over.
pub(crate) struct Handover {
    /// Address at which that host accepts links.
    pub(crate) to: SocketAddr,
    pub(crate) links: Arc<HandoverLinks>,
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
        mut caller: TcpStream,
        received: Vec<u8>,
    ) -> Option<(TcpStream, Vec<u8>)> {
        let Self {
            to,
            links,
            deadline,
            on_end,
        } = self;
        let first = close_after_response(&received).into();
        let Some(mut stream) = links.open(to, first).await else {
            on_end.end(HandoverOutcome::Unreachable);
            return Some((caller, received));
        };
        drop(received);
        let mut has_response = false;
        let passed = {
            let (read, write) = caller.split();
            let passing = stream.pass(read, write, Complete::Received, || has_response = true);
            tokio::time::timeout_at(deadline.into(), passing).await
        };
        let (outcome, response) = match passed {
            Ok(_) => (HandoverOutcome::Ended, NO_RESPONSE),
            Err(_) => (HandoverOutcome::TimedOut, TIMED_OUT),
        };
        if !has_response {
            let _ = caller.try_write(response);
        } else if !matches!(passed, Ok(Ok(()))) {
            // A response without length or chunks is complete when its connection closes, so one that is
            // not complete is reset.
            let _ = caller.set_zero_linger();
        }
        on_end.end(outcome);
        None
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
