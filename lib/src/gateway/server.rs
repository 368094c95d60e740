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
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::preface::Protocol;
use super::preface::StartedStream;
use super::preface::read_preface;
use crate::metrics::Metrics;
use crate::settings::LimitSettings;

/// Smallest buffer that the HTTP library accepts, bytes.
const HEAD_BUFFER_MIN: usize = 8192;
/// Wait after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Answer to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Answer to a caller that did not send the head of its request in time.
const HEAD_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Accepts connections and serves the router on each of them.
pub(crate) struct Server {
    pub(crate) listener: TcpListener,
    pub(crate) router: Router,
    pub(crate) limits: LimitSettings,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: watch::Receiver<bool>,
}

impl Server {
    /// Serves until the stop, then until the open requests have ended or the drain timeout.
    pub(crate) async fn run(mut self) {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stopped(&mut self.stop) => break,
                Some(_) = connections.join_next() => continue,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            match permits.clone().try_acquire_owned() {
                Ok(permit) => {
                    connections.spawn(self.connection(stream, permit));
                }
                Err(_) => self.refuse_connection(&stream),
            }
        }
        drop(self.listener);
        let drained = async { while connections.join_next().await.is_some() {} };
        let timeout = Duration::from_millis(self.limits.drain_timeout_ms);
        // Whatever still runs after the timeout is aborted with the set.
        let _ = tokio::time::timeout(timeout, drained).await;
    }

    fn refuse_connection(&self, stream: &TcpStream) {
        self.metrics.connections_refused.inc();
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
            header_bytes: self.limits.header_bytes.max(HEAD_BUFFER_MIN),
            head_timeout: Duration::from_millis(self.limits.header_timeout_ms),
            stop: self.stop.clone(),
        };
        let gauge = self.metrics.connections.clone();
        async move {
            gauge.inc();
            connection.serve(stream).await;
            gauge.dec();
            drop(permit);
        }
    }
}

/// Waits for the stop. A closed channel is one, too.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

struct CallerConnection {
    router: Router,
    header_bytes: usize,
    head_timeout: Duration,
    stop: watch::Receiver<bool>,
}

impl CallerConnection {
    async fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let preface = read_preface(&mut stream);
        match tokio::time::timeout(self.head_timeout, preface).await {
            Ok(Ok((Protocol::Http1, start))) => self.serve_http1(start.join(stream)).await,
            Ok(Ok((Protocol::Http2, start))) => self.serve_http2(start.join(stream)).await,
            Ok(Err(_)) => {}
            Err(_) => {
                let _ = stream.write_all(HEAD_TIMEOUT).await;
            }
        }
    }

    async fn serve_http1(mut self, io: StartedStream) {
        let service = TowerToHyperService::new(self.router);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.head_timeout)
            .max_buf_size(self.header_bytes)
            .serve_connection(TokioIo::new(io), service);
        let mut draining = false;
        let ended = loop {
            let driver = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx));
            tokio::select! {
                ended = driver => break ended,
                () = stopped(&mut self.stop), if !draining => {
                    draining = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        };
        let parts = connection.into_parts();
        let mut io = parts.io.into_inner();
        let is_head_late = ended.is_err_and(|e| e.is_timeout()) && !parts.read_buf.is_empty();
        if is_head_late {
            let _ = io.write_all(HEAD_TIMEOUT).await;
        }
        let _ = io.shutdown().await;
    }

    async fn serve_http2(mut self, io: StartedStream) {
        let service = TowerToHyperService::new(self.router);
        let header_bytes = u32::try_from(self.header_bytes).unwrap_or(u32::MAX);
        let mut connection = pin!(
            http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .max_header_list_size(header_bytes)
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
