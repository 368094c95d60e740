//! Serves HTTP at the ports that are not for callers: readiness checks, metrics, other hosts.
//!
//! The load: clients that open connections there and say nothing, until the process has no descriptor left
//! for callers and servers. At the limit the connection that has been idle for longest gives way to a new
//! one, so that a check which sends its request at once is answered.

use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::idle_connections::OpenConnections;
use super::request_counter::CountingRouter;

/// Wait after accepting a connection has failed. Avoids a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Read buffer of a connection, bytes. Requests at these ports have small heads.
const BUFFER_BYTES: usize = 8 << 10;

/// Limits on the connections of a port.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PortLimits {
    /// Most open connections. While idle ones are closed there may be twice as many for a moment.
    pub(crate) connections: usize,
    /// Longest time until the complete head of a request, also of the next one on a connection.
    pub(crate) head_timeout: Duration,
}

/// Serves a router until the task is dropped.
pub(crate) async fn serve_port(listener: TcpListener, router: Router, limits: PortLimits) {
    let mut open = OpenConnections::default();
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Removes tasks of closed connections from the set.
            Some(_) = tasks.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let over = (tasks.len() + 1).saturating_sub(limits.connections);
        if over > 0 {
            let closing = open.close_idle(over);
            if closing < over || over > limits.connections {
                continue;
            }
        }
        let connection = open.add();
        let service = CountingRouter {
            router: TowerToHyperService::new(router.clone()),
            counter: connection.requests.clone(),
        };
        tasks.spawn(async move {
            tokio::select! {
                biased;
                () = serve_connection(stream, service, limits) => {}
                () = connection.chosen() => {}
            }
        });
        // Lets connections that are to be closed end.
        tokio::task::yield_now().await;
    }
}

async fn serve_connection(stream: TcpStream, service: CountingRouter, limits: PortLimits) {
    // Without it small frames of handed-over requests wait for others.
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // An error concerns this connection only.
    let _: Result<(), hyper::Error> = connection.with_upgrades().await;
}
