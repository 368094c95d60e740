//! Listener and connections of the operators' interface.
//!
//! The interface runs as long as the control thread, which owns the state of the host.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::OperatorParts;
use super::handler::HandlerState;
use super::handler::router;
use super::revision_history::RevisionHistory;
use crate::control::FleetView;

/// Maximum number of open connections. Further ones wait to be accepted, so that clients of this
/// listener cannot exhaust the file descriptors that callers' connections need.
const MAX_CONNECTIONS: usize = 64;
/// Time within which the complete head of a request must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum lifetime of a connection, after which it is shut down gracefully. The same time again is
/// the limit for the graceful shutdown.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves operators until the control thread ends. Then completes the requests in progress and
/// returns.
pub async fn serve(listener: TcpListener, parts: OperatorParts) {
    let revisions = RevisionHistory::default();
    let view = parts.control.watch_view();
    let state = HandlerState {
        parts,
        revisions: revisions.clone(),
    };
    let service = TowerToHyperService::new(router(state));
    let (closing, _) = watch::channel(());
    let mut connections = JoinSet::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let recording = record_revisions(view, revisions);
    tokio::pin!(recording);
    loop {
        let accepted = tokio::select! {
            () = &mut recording => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        let closed = closing.subscribe();
        connections.spawn(serve_connection(accepted, service.clone(), closed));
        while connections.try_join_next().is_some() {}
    }
    drop(closing);
    while connections.join_next().await.is_some() {}
}

/// Adds each configuration that comes into force to `revisions`, until the control thread ends.
/// Revisions that replace each other in quick succession may be missed.
async fn record_revisions(mut view: watch::Receiver<Arc<FleetView>>, revisions: RevisionHistory) {
    loop {
        if let Some(configuration) = &view.borrow_and_update().configuration {
            revisions.insert(configuration);
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// An accepted connection, with the permit that counts it towards [`MAX_CONNECTIONS`].
struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

/// Accepts a connection when fewer than [`MAX_CONNECTIONS`] are open.
async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Connection {
    let permit = permits.clone().acquire_owned().await;
    let permit = permit.expect("the semaphore of connections is never closed");
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                return Connection {
                    stream,
                    _permit: permit,
                };
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves a connection until the client closes it, its lifetime ends, or the sender of `closing` is
/// dropped. In the last two cases the request in progress is completed.
async fn serve_connection(
    connection: Connection,
    service: TowerToHyperService<axum::Router>,
    mut closing: watch::Receiver<()>,
) {
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(connection.stream), service);
    tokio::pin!(served);
    let lifetime = tokio::time::sleep(CONNECTION_TIMEOUT);
    tokio::select! {
        // An error means that the client closed the connection, which needs no handling.
        _ = &mut served => return,
        () = lifetime => {}
        // The sender sends no value; `changed` returns when it is dropped.
        _ = closing.changed() => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, served).await;
}
