//! HTTP server of a stand-in (a test server in place of a real system).
//!
//! It serves HTTP/1 on a loopback socket, passes every request to a handler, and can break
//! connections on purpose. All stand-ins share one runtime, so that a busy or stopped runtime of
//! the code under test does not delay them.

mod injector;

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

pub(crate) use injector::ByteInjector;
use injector::InjectingStream;

/// Worker threads shared by all stand-ins of a process.
const WORKER_THREADS: usize = 4;
/// Time for which binding is retried while an earlier listener still holds the address.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two attempts to bind, and before the next accept after a failed one.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Body of a response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// Response of a handler, or its decision to break the connection without a response.
pub(crate) type HandlerResult = Result<Response<ResponseBody>, ConnectionBroken>;
type Handler =
    dyn Fn(Request<Incoming>, Arc<ByteInjector>) -> BoxFuture<'static, HandlerResult> + Send + Sync;

/// The handler breaks the connection instead of responding.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionBroken;

impl fmt::Display for ConnectionBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection broken by the stand-in on purpose")
    }
}

impl std::error::Error for ConnectionBroken {}

/// Runtime of all stand-ins, separate from the runtimes of the code under test.
pub(crate) fn runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME
        .get_or_init(|| {
            tokio::runtime::Builder::new_multi_thread()
                .worker_threads(WORKER_THREADS)
                .thread_name("stand-in")
                .enable_all()
                .build()
                .expect("start the runtime of the stand-ins")
        })
        .handle()
}

/// Binds a listener, and retries for up to [`BIND_TIMEOUT`] while the address is in use.
///
/// # Panics
///
/// Panics if the address cannot be bound in that time.
pub(crate) fn bind(addr: SocketAddr) -> (tokio::net::TcpListener, SocketAddr) {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let listener = loop {
        match TcpListener::bind(addr) {
            Ok(listener) => break listener,
            Err(err) if Instant::now() >= deadline => panic!("cannot bind {addr}: {err}"),
            Err(_) => std::thread::sleep(RETRY_INTERVAL),
        }
    };
    let address = listener
        .local_addr()
        .expect("local address of the listener");
    listener
        .set_nonblocking(true)
        .expect("set the listener to non-blocking");
    let _guard = runtime().enter();
    let listener = tokio::net::TcpListener::from_std(listener).expect("register the listener");
    (listener, address)
}

/// An HTTP server that runs until it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    connections: Arc<Connections>,
}

/// Breaks the open connections of a server.
///
/// Connections accepted since the last break share a cancellation token. A break cancels the token
/// and replaces it for later connections.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    token: Mutex<CancellationToken>,
}

impl Connections {
    /// Breaks all open connections. New connections are still accepted.
    pub(crate) fn abort_all(&self) {
        let mut token = self.token.lock().expect("lock of the connection token");
        std::mem::take(&mut *token).cancel();
    }

    fn current(&self) -> CancellationToken {
        self.token
            .lock()
            .expect("lock of the connection token")
            .clone()
    }
}

impl Server {
    /// Starts a server that passes every request to `handler`, with the injector of its connection.
    pub(crate) fn start<F>(addr: SocketAddr, handler: F) -> Self
    where
        F: Fn(Request<Incoming>, Arc<ByteInjector>) -> BoxFuture<'static, HandlerResult>
            + Send
            + Sync
            + 'static,
    {
        let (listener, address) = bind(addr);
        let stop = CancellationToken::new();
        let connections = Arc::new(Connections::default());
        let accept = accept_loop(
            listener,
            stop.clone(),
            Arc::clone(&connections),
            Arc::new(handler),
        );
        runtime().spawn(accept);
        Self {
            address,
            stop,
            connections,
        }
    }

    /// Address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handle that breaks the open connections.
    pub(crate) fn connections(&self) -> Arc<Connections> {
        Arc::clone(&self.connections)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
        self.connections.abort_all();
    }
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    stop: CancellationToken,
    connections: Arc<Connections>,
    handler: Arc<Handler>,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let abort = connections.current();
        let stop = stop.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = abort.cancelled() => {}
                () = serve(stream, handler) => {}
            }
        });
    }
}

async fn serve(stream: tokio::net::TcpStream, handler: Arc<Handler>) {
    // Nagle's algorithm would hold small chunks of a stream back until earlier ones are
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let injector = Arc::new(ByteInjector::default());
    let io = TokioIo::new(InjectingStream::new(stream, Arc::clone(&injector)));
    let service = service_fn(move |req| handler(req, Arc::clone(&injector)));
    // Errors are expected: the test or the client broke the connection.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(io, service)
        .await;
}

/// Body of known length.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Response with a status and a body.
pub(crate) fn reply(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Name of a new instance (one run of a backend server, until its restart), unique in the process.
pub(crate) fn new_instance() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("instance-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Response that announces the full length and breaks the connection after half of the body.
pub(crate) fn truncated(body: &str) -> Response<ResponseBody> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let frames = [
        Ok(Frame::data(half)),
        Err(io::Error::other(
            "response truncated by the stand-in on purpose",
        )),
    ];
    let body_length = body.len();
    let mut response = Response::new(StreamBody::new(stream::iter(frames)).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_LENGTH, body_length.into());
    response
}

/// Sets `x-request-id` in a response that has none to the identifier of its request.
pub(crate) fn echo_request_id(mut result: HandlerResult, id: Option<&str>) -> HandlerResult {
    let name = "x-request-id";
    let value = id.and_then(|id| id.parse().ok());
    if let (Ok(response), Some(value)) = (&mut result, value)
        && !response.headers().contains_key(name)
    {
        response.headers_mut().insert(name, value);
    }
    result
}

/// Value of a query parameter; none if it is absent or not a number.
pub(crate) fn query_number(req: &Request<Incoming>, name: &str) -> Option<u64> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Value of a header; none if it is absent or not text.
pub(crate) fn header(req: &Request<Incoming>, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
