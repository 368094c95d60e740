//! Stand-in for the platform's host list, the list of the fleet's hosts (machines).
//!
//! `GET /hosts?after=R&timeout_ms=T` is a long poll: it returns the list as JSON once its revision
//! exceeds R, or status 304 after T milliseconds. Without `after` it returns the list at once.
//! Every change raises the revision by one. A test can set a lag, after which changes appear in the
//! list, to serve a list that is out of date.

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

/// Longest wait of a long poll, milliseconds.
const MAX_WAIT_MS: u64 = 300_000;

/// A stand-in host list that runs until it is dropped.
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
    /// Changes that are not in the list yet, oldest first. Each change has a timer, and a timer
    /// that fires applies the oldest change. So changes keep their order even if timers of the same
    /// time fire in a different order.
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
        self.state.lock().expect("lock of the host list")
    }

    fn wake(&self) {
        self.changes.send_modify(|change| *change += 1);
    }
}

impl HostListApi {
    /// Starts the stand-in with an empty host list.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
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

    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle that changes the host list and injects faults.
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
            let text = serde_json::to_vec(&list).expect("serialize the host list");
            return Ok(reply(StatusCode::OK, text));
        }
        let changed = tokio::time::timeout_at(deadline.into(), changes.changed());
        if changed.await.is_err() {
            return Ok(reply(StatusCode::NOT_MODIFIED, Bytes::new()));
        }
    }
}

/// Handle of a [`HostListApi`]; clones control the same list. Changes appear in the list after the
/// lag ([`Self::set_lag`]).
#[derive(Clone, Debug)]
pub struct HostListHandle {
    shared: Arc<Shared>,
}

impl HostListHandle {
    /// Adds a host, or replaces the host of the same name.
    pub fn put(&self, entry: HostEntry) {
        self.change(move |hosts| {
            hosts.retain(|host| host.name != entry.name);
            hosts.push(entry);
            hosts.sort_by(|a, b| a.name.cmp(&b.name));
        });
    }

    /// Removes the host of this name, if it is in the list.
    pub fn remove(&self, name: &str) {
        let name = name.to_owned();
        self.change(move |hosts| hosts.retain(|host| host.name != name));
    }

    /// Sets the state of the host of this name to [`HostState::Leaving`].
    pub fn set_leaving(&self, name: &str) {
        let name = name.to_owned();
        self.change(move |hosts| {
            for host in hosts.iter_mut().filter(|host| host.name == name) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Sets the delay until later changes appear in the list. Initially it is zero.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().lag = lag;
    }

    /// Starts or ends an outage, in which every request fails with status 503, waiting ones
    /// included.
    pub fn set_outage(&self, outage: bool) {
        self.shared.lock().outage = outage;
        self.shared.wake();
    }

    /// The list that requests currently get.
    pub fn list(&self) -> HostList {
        self.shared.lock().list.clone()
    }

    /// Requests for the list so far, failed ones included.
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
