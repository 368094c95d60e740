//! Serves callers' HTTP connections, limits their number, and drains them at a planned stop.

use std::io::Write;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use futures::FutureExt;
use hyper::server::conn::http1;
use hyper::server::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use prometheus::IntCounter;
use prometheus::IntGauge;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::accept::Accepted;
use super::accept::AcceptedConnection;
use super::accept::CallerIo;
use super::caller_socket::CallerSocket;
use super::idle_connections::OpenConnections;
use super::preface::CallerStream;
use super::preface::Protocol;
use super::preface::Timeouts;
use super::preface::read_preface;
use super::request_counter::CountingRouter;
use super::request_counter::InFlight;
use super::request_counter::RequestCounter;
use crate::settings::LimitSettings;

/// Smallest read buffer that hyper accepts, bytes.
const HEAD_BUFFER_MIN: usize = 8192;
/// Idle timeout between two requests. It exceeds the usual idle timeout of load balancers and
/// clients, so that they close first.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Size of socket buffers and of the buffers of an HTTP/2 connection at the product's own interface,
/// bytes.
pub(crate) const BUFFER_BYTES: usize = 64 << 10;
/// Most concurrent requests on one HTTP/2 connection. Each counts like a connection, with its head and
/// its buffers.
const HTTP2_STREAMS: u32 = 32;
/// Most bytes that wait to be sent on one HTTP/2 stream.
const HTTP2_STREAM_SEND_BYTES: usize = 16 << 10;
/// Response to an HTTP/2 connection beyond the limit: empty settings, then a shutdown frame that says
/// that none of its requests has run (RFC 9113, sections 6.5 and 6.8, error `ENHANCE_YOUR_CALM`).
const HTTP2_REFUSAL: &[u8] = &[
    0, 0, 0, 4, 0, 0, 0, 0, 0, // settings
    0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x0b, // last stream 0
];
/// Interval of HTTP/2 pings, which detect callers that are gone.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(20);
/// Idle connections are closed when fewer than the limit divided by this may still be accepted, so
/// that a burst of new ones finds room.
const SPARE_DIVISOR: usize = 16;
/// Response to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Response to a caller that did not send a complete head in time.
const HEAD_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Limits and timeouts for callers' connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of concurrent connections.
    pub(crate) connections: usize,
    /// Maximum size of a request head, bytes; at least [`HEAD_BUFFER_MIN`] applies.
    pub(crate) head_bytes: usize,
    /// Time for a complete request head, counted from its first byte.
    pub(crate) head_timeout: Duration,
    /// Longest idle time between two requests.
    pub(crate) idle_timeout: Duration,
    /// Time within which the socket must accept at least one byte of a response.
    pub(crate) write_timeout: Duration,
    /// Size of the socket's send buffer, and of the buffers of an HTTP/2 connection, bytes.
    pub(crate) buffer_bytes: usize,
    /// Time that requests in flight have to finish at a planned stop.
    pub(crate) drain_timeout: Duration,
}

impl From<&LimitSettings> for ConnectionLimits {
    fn from(limits: &LimitSettings) -> Self {
        Self {
            connections: limits.connections,
            head_bytes: limits.header_bytes,
            head_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: KEEP_ALIVE_TIMEOUT,
            // The setting limits pauses in a response on both sides of the gateway.
            write_timeout: Duration::from_millis(limits.idle_timeout_ms),
            buffer_bytes: BUFFER_BYTES,
            drain_timeout: Duration::from_millis(limits.drain_timeout_ms),
        }
    }
}

/// Serves one router on all accepted connections.
pub(crate) struct Server {
    pub(crate) router: Router,
    /// Returns the limits that apply to the next connection. The number of connections is read only
    /// when serving starts, and the drain timeout at the stop.
    pub(crate) limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// Whether there is memory for a number of open connections. Called for each new one, and when some
    /// have ended.
    pub(crate) has_room: Box<dyn Fn(usize) -> bool + Send + Sync>,
    /// Notified when all idle connections are to be closed.
    pub(crate) close_idle: Arc<Notify>,
    /// Metric: open connections.
    pub(crate) connections: IntGauge,
    /// Metric: connections refused at the limit.
    pub(crate) connections_refused: IntCounter,
    /// Set to `true`, or closed, at a planned stop.
    pub(crate) stop: watch::Receiver<bool>,
}

impl Server {
    /// Serves the accepted connections until the stop signal, then waits until the open requests have
    /// ended or the drain timeout has passed.
    pub(crate) async fn run(self, mut accepted: Accepted) {
        let limit = (self.limits)().connections;
        let mut connections = Connections {
            router: self.router,
            permits: Arc::new(Semaphore::new(limit)),
            limit,
            has_room: self.has_room,
            spare: limit / SPARE_DIVISOR,
            waiting: Arc::default(),
            limits: self.limits,
            gauge: self.connections,
            refused: self.connections_refused,
            stop: self.stop,
            tasks: JoinSet::new(),
            open: OpenConnections::default(),
        };
        loop {
            let accepted = tokio::select! {
                accepted = accepted.recv() => accepted,
                () = self.close_idle.notified() => {
                    connections.open.close_idle(usize::MAX);
                    continue;
                }
                // Removes tasks of closed connections from the set.
                Some(_) = connections.tasks.join_next() => {
                    connections.has_room_for(0);
                    continue;
                }
            };
            // The channel is closed after the stop signal.
            let Some(accepted) = accepted else {
                break;
            };
            connections.admit(accepted);
        }
        connections.drain().await;
    }
}

/// Open connections.
struct Connections {
    router: Router,
    limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    gauge: IntGauge,
    refused: IntCounter,
    stop: watch::Receiver<bool>,
    /// Most open connections.
    limit: usize,
    has_room: Box<dyn Fn(usize) -> bool + Send + Sync>,
    /// One permit per connection that may still be accepted.
    permits: Arc<Semaphore>,
    /// Number of permits below which idle connections are closed.
    spare: usize,
    /// Accepted connections that wait for the permit of one that is being closed.
    waiting: Arc<AtomicUsize>,
    /// Tasks that serve the open connections.
    tasks: JoinSet<()>,
    /// The open connections.
    open: OpenConnections,
}

impl Connections {
    /// Serves a connection. At the connection limit idle ones make room; if all are busy, it is
    /// refused.
    fn admit(&mut self, accepted: AcceptedConnection) {
        if !self.has_room_for(1) {
            self.refuse_connection(accepted.io);
            return;
        }
        let closing = match self.permits.available_permits() <= self.spare {
            true => self.open.close_idle(self.spare + 1),
            false => 0,
        };
        let waiting = self.waiting.load(Ordering::Acquire);
        match self.permits.clone().try_acquire_owned() {
            Ok(permit) => {
                let connection = self.connection(accepted);
                self.tasks.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(_) if waiting < closing => {
                let connection = self.connection(accepted);
                let permit = self.permits.clone().acquire_owned();
                let waiting = self.waiting.clone();
                waiting.fetch_add(1, Ordering::AcqRel);
                self.tasks.spawn(async move {
                    let permit = permit.await;
                    waiting.fetch_sub(1, Ordering::AcqRel);
                    connection.await;
                    drop(permit);
                });
            }
            Err(_) => self.refuse_connection(accepted.io),
        }
    }

    /// Whether there is memory for the open connections and more.
    fn has_room_for(&self, more: usize) -> bool {
        let open = self.limit.saturating_sub(self.permits.available_permits());
        (self.has_room)(open + more)
    }

    /// Waits for the open connections. Those still open after the drain timeout are aborted.
    async fn drain(mut self) {
        let timeout = (self.limits)().drain_timeout;
        let drained = async { while self.tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(timeout, drained).await;
    }

    fn refuse_connection(&self, io: CallerIo) {
        self.refused.inc();
        // If the response does not fit into the send buffer, the caller only sees a closed connection.
        match io {
            CallerIo::Connection(mut stream) => drop(stream.write(TOO_MANY_CONNECTIONS)),
            CallerIo::HandedOver(mut stream) => {
                drop(stream.write(TOO_MANY_CONNECTIONS).now_or_never());
            }
        }
    }

    /// Serves a connection until it ends or, while it is idle, is chosen to be closed. If it is to be handed
    /// over to another host that cannot be reached, this host serves it.
    fn connection(
        &mut self,
        accepted: AcceptedConnection,
    ) -> impl Future<Output = ()> + Send + 'static {
        let open = self.open.add();
        let connection = CallerConnection {
            router: self.router.clone(),
            limits: (self.limits)(),
            requests: open.requests.clone(),
            permits: self.permits.clone(),
            refused: self.refused.clone(),
            stop: self.stop.clone(),
        };
        let gauge = self.gauge.clone();
        async move {
            let mut received = accepted.received;
            let socket = match accepted.io {
                CallerIo::HandedOver(stream) => {
                    gauge.inc();
                    CallerSocket::HandedOver(stream)
                }
                CallerIo::Connection(stream) => {
                    // Fails if the runtime cannot watch more sockets; the caller then sees a closed
                    // connection.
                    let Ok(mut stream) = TcpStream::from_std(stream) else {
                        return;
                    };
                    gauge.inc();
                    connection.configure(&stream);
                    if let Some(handover) = accepted.handover {
                        let _busy = InFlight::start(connection.requests.clone());
                        let Some(kept) = handover.run(stream, received).await else {
                            gauge.dec();
                            return;
                        };
                        (stream, received) = kept;
                    }
                    CallerSocket::Connection(stream)
                }
            };
            tokio::select! {
                // Biased, so that a request that has arrived is read before the check for idleness.
                biased;
                () = connection.serve(socket, received) => {}
                () = open.chosen() => {}
            }
            gauge.dec();
        }
    }
}

/// Waits for the stop signal. A closed channel counts as one.
pub(crate) async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

/// One accepted connection of a caller.
struct CallerConnection {
    router: Router,
    limits: ConnectionLimits,
    requests: Arc<RequestCounter>,
    /// Permits for the requests of an HTTP/2 connection.
    permits: Arc<Semaphore>,
    refused: IntCounter,
    stop: watch::Receiver<bool>,
}

impl CallerConnection {
    fn configure(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        // Without it the connection only buffers more.
        let _ = SockRef::from(stream).set_send_buffer_size(self.limits.buffer_bytes);
    }

    /// Serves the connection, on which `received` has arrived before.
    async fn serve(self, mut stream: CallerSocket, received: Vec<u8>) {
        let preface = read_preface(&mut stream, received);
        match tokio::time::timeout(self.limits.head_timeout, preface).await {
            Ok(Ok((protocol, start))) => {
                let counter = self.requests.clone();
                let timeouts = Timeouts {
                    head: self.limits.head_timeout,
                    counter: (protocol == Protocol::Http1).then(|| counter.clone()),
                    write: self.limits.write_timeout,
                };
                let mut io = start.join(stream, timeouts);
                match protocol {
                    Protocol::Http1 => self.serve_http1(io, counter).await,
                    Protocol::Http2 => {
                        // Requests on HTTP/2 are not counted, so the connection never counts as idle.
                        let _busy = InFlight::start(counter);
                        let permits = self.permits.clone();
                        let Ok(_streams) = permits.try_acquire_many_owned(HTTP2_STREAMS) else {
                            self.refused.inc();
                            let _ = io.write_all(HTTP2_REFUSAL).await;
                            let _ = io.shutdown().await;
                            io.discard_received();
                            return;
                        };
                        self.serve_http2(io).await;
                    }
                }
            }
            Ok(Err(_)) => {}
            Err(_) => {
                let _ = stream.write_all(HEAD_TIMEOUT).await;
            }
        }
    }

    fn head_bytes(&self) -> usize {
        self.limits.head_bytes.max(HEAD_BUFFER_MIN)
    }

    async fn serve_http1(mut self, io: CallerStream, counter: Arc<RequestCounter>) {
        let service = CountingRouter {
            router: TowerToHyperService::new(self.router.clone()),
            counter,
        };
        // If the stop came before this connection, keep-alive is disabled instead of calling
        // `graceful_shutdown`: hyper would then close the connection before its first request,
        // which may be in transit.
        let mut draining = *self.stop.borrow();
        let mut connection = http1::Builder::new()
            .keep_alive(!draining)
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.idle_timeout)
            .max_buf_size(self.head_bytes())
            .serve_connection(TokioIo::new(io), service);
        loop {
            let driver = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx));
            tokio::select! {
                // Biased, so that received bytes are processed before the stop signal.
                biased;
                _ = driver => break,
                () = stopped(&mut self.stop), if !draining => {
                    draining = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
        // The stream has not been shut down yet, so that a response to a late head can be written.
        let mut io = connection.into_parts().io.into_inner();
        if io.has_head_timed_out() {
            let _ = io.write_all(HEAD_TIMEOUT).await;
        }
        let _ = io.shutdown().await;
        io.discard_received();
    }

    async fn serve_http2(mut self, io: CallerStream) {
        let service = TowerToHyperService::new(self.router.clone());
        let header_bytes = u32::try_from(self.head_bytes()).unwrap_or(u32::MAX);
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .max_header_list_size(header_bytes)
            .max_concurrent_streams(HTTP2_STREAMS)
            .keep_alive_interval(HTTP2_PING_INTERVAL);
        let window = u32::try_from(self.limits.buffer_bytes).unwrap_or(u32::MAX);
        builder
            .max_send_buf_size(HTTP2_STREAM_SEND_BYTES)
            .initial_stream_window_size(window)
            .initial_connection_window_size(window);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(io), service));
        let mut draining = false;
        loop {
            tokio::select! {
                _ = connection.as_mut() => break,
                () = stopped(&mut self.stop), if !draining => {
                    draining = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
