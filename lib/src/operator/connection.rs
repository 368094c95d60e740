//! Connections of operators.

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

/// Connections of operators at once. More of them wait, so that whoever reaches the listener
/// cannot use up the file descriptors that callers need.
const MAX_CONNECTIONS: usize = 64;
/// Longest time in which the head of a request must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest life of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after the listener fails, for instance because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves operators until the control thread ends; answers that are under way are then finished.
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

/// Keeps every revision that takes force, until the control thread ends.
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

struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Connection {
    let permit = permits.clone().acquire_owned().await;
    let permit = permit.expect("the semaphore is never closed");
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
        // An operator who goes away is no fault of the host.
        _ = &mut served => return,
        () = lifetime => {}
        // The sender is only ever dropped.
        _ = closing.changed() => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, served).await;
}
