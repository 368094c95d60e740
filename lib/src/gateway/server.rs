//! Connections of callers.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper::server::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use prometheus::IntCounter;
use prometheus::IntGauge;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::preface::CallerStream;
use super::preface::Protocol;
use super::preface::Timeouts;
use super::preface::read_preface;
use super::request_counter::CountingRouter;
use super::request_counter::RequestCounter;
use crate::settings::LimitSettings;

/// Smallest buffer that the HTTP library accepts, bytes.
const HEAD_BUFFER_MIN: usize = 8192;
/// Wait after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time that a connection may be idle between two requests. It is longer than the usual time
/// after which balancers and clients give up idle connections, so that they close first.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time between pings to HTTP/2 callers, which show whether they are still there.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(20);
/// Answer to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Answer to a caller that did not send the head of its request in time.
const HEAD_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Limits on the connections of callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Connections at once.
    pub(crate) connections: usize,
    /// Largest head of a request, bytes.
    pub(crate) head_bytes: usize,
    /// Time for the head of a request, from its first byte.
    pub(crate) head_timeout: Duration,
    /// Time between two requests.
    pub(crate) idle_timeout: Duration,
    /// Time in which a caller must take a byte of an answer.
    pub(crate) write_timeout: Duration,
    /// Time that running requests have to end at a planned stop.
    pub(crate) drain_timeout: Duration,
}

impl From<&LimitSettings> for ConnectionLimits {
    fn from(limits: &LimitSettings) -> Self {
        Self {
            connections: limits.connections,
            head_bytes: limits.header_bytes,
            head_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: KEEP_ALIVE_TIMEOUT,
            write_timeout: Duration::from_millis(limits.idle_timeout_ms),
            drain_timeout: Duration::from_millis(limits.drain_timeout_ms),
        }
    }
}

/// Accepts connections and serves the router on each of them.
pub(crate) struct Server {
    pub(crate) listener: TcpListener,
    pub(crate) router: Router,
    /// Gives the limits for the next connection.
    pub(crate) limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    pub(crate) connections: IntGauge,
    pub(crate) connections_refused: IntCounter,
    pub(crate) stop: watch::Receiver<bool>,
}

impl Server {
    /// Serves until the stop, then until the open requests have ended or the drain timeout.
    pub(crate) async fn run(self) {
        let mut stop = self.stop.clone();
        let mut connections = Connections {
            router: self.router,
            permits: Arc::new(Semaphore::new((self.limits)().connections)),
            limits: self.limits,
            gauge: self.connections,
            refused: self.connections_refused,
            stop: self.stop,
            open: JoinSet::new(),
        };
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stopped(&mut stop) => break,
                Some(_) = connections.open.join_next() => continue,
            };
            match accepted {
                Ok((stream, _)) => connections.admit(stream),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        for stream in close(self.listener) {
            connections.admit(stream);
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
    permits: Arc<Semaphore>,
    open: JoinSet<()>,
}

impl Connections {
    /// Serves a connection, or refuses it if too many are open.
    fn admit(&mut self, stream: TcpStream) {
        match self.permits.clone().try_acquire_owned() {
            Ok(permit) => {
                let connection = self.connection(stream, permit);
                self.open.spawn(connection);
            }
            Err(_) => self.refuse_connection(&stream),
        }
    }

    /// Waits for the open connections. Those that remain after the timeout are aborted.
    async fn drain(mut self) {
        let timeout = (self.limits)().drain_timeout;
        let drained = async { while self.open.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(timeout, drained).await;
    }

    fn refuse_connection(&self, stream: &TcpStream) {
        self.refused.inc();
        // The caller sees a closed connection if the answer does not fit the socket's buffer.
        let _ = stream.try_write(TOO_MANY_CONNECTIONS);
    }

    fn connection(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) -> impl Future<Output = ()> + Send + 'static {
        let connection = CallerConnection {
            router: self.router.clone(),
            limits: (self.limits)(),
            stop: self.stop.clone(),
        };
        let gauge = self.gauge.clone();
        async move {
            gauge.inc();
            connection.serve(stream).await;
            gauge.dec();
            drop(permit);
        }
    }
}

/// Closes a listener and gives the connections that wait in its queue, which would be reset.
fn close(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    // The listener does not block: the first error says that the queue is empty.
    std::iter::from_fn(|| listener.accept().ok())
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Waits for the stop. A closed channel is one, too.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

struct CallerConnection {
    router: Router,
    limits: ConnectionLimits,
    stop: watch::Receiver<bool>,
}

impl CallerConnection {
    async fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let preface = read_preface(&mut stream);
        match tokio::time::timeout(self.limits.head_timeout, preface).await {
            Ok(Ok((protocol, start))) => {
                let counter = Arc::new(RequestCounter::default());
                let timeouts = Timeouts {
                    head: self.limits.head_timeout,
                    counter: (protocol == Protocol::Http1).then(|| counter.clone()),
                    write: self.limits.write_timeout,
                };
                let io = start.join(stream, timeouts);
                match protocol {
                    Protocol::Http1 => self.serve_http1(io, counter).await,
                    Protocol::Http2 => self.serve_http2(io).await,
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
        // The library would close a connection without a request at once if it were told of the
        // stop, but a request is on its way here.
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
                // What has arrived is read before the stop is looked at.
                biased;
                _ = driver => break,
                () = stopped(&mut self.stop), if !draining => {
                    draining = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
        let mut io = connection.into_parts().io.into_inner();
        if io.is_head_late() {
            let _ = io.write_all(HEAD_TIMEOUT).await;
        }
        let _ = io.shutdown().await;
    }

    async fn serve_http2(mut self, io: CallerStream) {
        let service = TowerToHyperService::new(self.router.clone());
        let header_bytes = u32::try_from(self.head_bytes()).unwrap_or(u32::MAX);
        let mut connection = pin!(
            http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .max_header_list_size(header_bytes)
                .keep_alive_interval(HTTP2_PING_INTERVAL)
                .serve_connection(TokioIo::new(io), service)
        );
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
