//! The baseline that the fleet is measured against: round robin with a queue per host.
//!
//! Every host has one first-in, first-out queue for all workspaces and an equal part of the
//! servers' warm slots, sends each request to the next server in turn, and tries the next one
//! after a failure. Hosts know nothing of each other.

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

/// Routers of the baseline, serving until they are dropped.
#[derive(Debug)]
pub struct Baseline {
    stop: CancellationToken,
}

impl Baseline {
    /// Starts a router at the callers' listener of every host of a fleet.
    ///
    /// # Errors
    ///
    /// An address cannot be had.
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
                // Callers break connections as they like.
                _ = connection => {}
            }
        });
    }
}

/// Body of a request on its way to a server.
type RequestBody = Full<Bytes>;

/// Address of a server that offers a service.
#[derive(Clone, Debug)]
struct Server {
    is_model: bool,
    address: SocketAddr,
}
