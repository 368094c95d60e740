//! Stand-in for the platform's host list.
//!
//! `GET /hosts?after=R&timeout_ms=T` answers the list as JSON once its revision exceeds R, or 304
//! after T. Without `after` it answers at once.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostList;
use cardamomshift_lib::host::HostState;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::server::HandlerResult;
use crate::server::Server;
use crate::server::query_number;
use crate::server::reply;
use crate::server::runtime;

/// Longest wait of a reader, milliseconds.
const MAX_WAIT_MS: u64 = 300_000;

/// The host list, serving until it is dropped.
#[derive(Debug)]
pub struct HostListApi {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

type Change = Box<dyn FnOnce(&mut Vec<HostEntry>) + Send>;

#[derive(Default)]
struct State {
    list: HostList,
    /// Changes that have not appeared yet, oldest first. Each has one timer, and a timer applies
    /// the oldest, so that timers of the same time keep the order.
    pending: VecDeque<Change>,
    lag: Duration,
    outage: bool,
    reads: u64,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State")
            .field("list", &self.list)
            .finish_non_exhaustive()
    }
}

impl Shared {
    fn apply_next(&self) {
        let mut state = self.lock();
        if let Some(change) = state.pending.pop_front() {
            change(&mut state.list.hosts);
            state.list.revision += 1;
        }
        drop(state);
        self.wake();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("host list state")
    }

    fn wake(&self) {
        self.changes.send_modify(|change| *change += 1);
    }
}

impl HostListApi {
    /// Starts an empty host list.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be had.
    pub fn start(addr: SocketAddr) -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        });
        let handler_state = Arc::clone(&shared);
        let server = Server::start(addr, move |req, _| {
            let shared = Arc::clone(&handler_state);
            Box::pin(async move { handle_request(&shared, req).await })
        });
        Self { server, shared }
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle that controls the host list.
    pub fn handle(&self) -> HostListHandle {
        HostListHandle {
            shared: Arc::clone(&self.shared),
        }
    }
}

async fn handle_request(shared: &Shared, req: Request<Incoming>) -> HandlerResult {
    if req.uri().path() != "/hosts" {
        return Ok(reply(StatusCode::NOT_FOUND, "no such path"));
    }
    shared.lock().reads += 1;
    let after = query_number(&req, "after");
    let timeout_ms = query_number(&req, "timeout_ms").unwrap_or(MAX_WAIT_MS);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms.min(MAX_WAIT_MS));
    let mut changes = shared.changes.subscribe();
    loop {
        changes.borrow_and_update();
        if shared.lock().outage {
            return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let list = shared.lock().list.clone();
        if after.is_none_or(|after| list.revision > after) {
            let text = serde_json::to_vec(&list).expect("host list as JSON");
            return Ok(reply(StatusCode::OK, text));
        }
        let changed = tokio::time::timeout_at(deadline.into(), changes.changed());
        if changed.await.is_err() {
            return Ok(reply(StatusCode::NOT_MODIFIED, Bytes::new()));
        }
    }
}

/// Handle of a [`HostListApi`]. Changes appear in the list after its lag.
#[derive(Clone, Debug)]
pub struct HostListHandle {
    shared: Arc<Shared>,
}

impl HostListHandle {
    /// Adds a host or replaces the one of the same name.
    pub fn put(&self, entry: HostEntry) {
        self.change(move |hosts| {
            hosts.retain(|host| host.name != entry.name);
            hosts.push(entry);
            hosts.sort_by(|a, b| a.name.cmp(&b.name));
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        let name = name.to_owned();
        self.change(move |hosts| hosts.retain(|host| host.name != name));
    }

    /// Shows a host as leaving.
    pub fn set_leaving(&self, name: &str) {
        let name = name.to_owned();
        self.change(move |hosts| {
            for host in hosts.iter_mut().filter(|host| host.name == name) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Sets the time until later changes appear.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().lag = lag;
    }

    /// Starts or ends an outage, in which every reading fails with 503.
    pub fn set_outage(&self, outage: bool) {
        self.shared.lock().outage = outage;
        self.shared.wake();
    }

    /// The list as readers see it.
    pub fn list(&self) -> HostList {
        self.shared.lock().list.clone()
    }

    /// Readings so far.
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
    }

    fn change(&self, change: impl FnOnce(&mut Vec<HostEntry>) + Send + 'static) {
        let mut state = self.shared.lock();
        let lag = state.lag;
        state.pending.push_back(Box::new(change));
        drop(state);
        if lag.is_zero() {
            self.shared.apply_next();
            return;
        }
        let shared = Arc::clone(&self.shared);
        runtime().spawn(async move {
            tokio::time::sleep(lag).await;
            shared.apply_next();
        });
    }
}
