//! Baseline router that the fleet is compared with: round robin with one queue per host.
//!
//! Every host has one first-in, first-out queue for all workspaces and an equal share of the
//! servers' warm slots (the requests that the servers can run at once when they are warmed up). It
//! sends each request to the next server in turn and tries the following one after a failure. Hosts
//! do not communicate with each other.

mod router;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use self::router::Router;
use crate::fleet::Fleet;

/// The running baseline routers of a fleet. Dropping this stops them.
#[derive(Debug)]
pub struct Baseline {
    stop: CancellationToken,
}

impl Baseline {
    /// Starts a router for every host of a fleet, at the address where the host would accept calls.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(fleet: &Fleet) -> std::io::Result<Self> {
        let stop = CancellationToken::new();
        for host in fleet.hosts() {
            let router = Arc::new(Router::new(fleet));
            let listener = TcpListener::bind(host.callers).await?;
            tokio::spawn(serve(listener, router, stop.clone()));
        }
        Ok(Self { stop })
    }
}

impl Drop for Baseline {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn serve(listener: TcpListener, router: Arc<Router>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let router = Arc::clone(&router);
        let stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(|req| router.handle(req));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = stop.cancelled() => {}
                // Callers may close connections at any time.
                _ = connection => {}
            }
        });
    }
}

/// Body of a request to a server.
type RequestBody = Full<Bytes>;

/// A backend server that the baseline sends requests to.
#[derive(Clone, Debug)]
struct Server {
    is_model: bool,
    address: SocketAddr,
}
