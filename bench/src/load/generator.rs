//! Load generator: many concurrent callers (tasks that send requests) of several workspaces.
//!
//! A workspace sends either a fixed number of concurrent requests (closed loop) or requests at
//! random times with a given rate (open loop). An operation is one request, and each attempt to
//! send it is a call. Every call leaves a record, including the calls that are aborted at the end
//! of the run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::CallRecord;
use cardamomshift_testutils::now_us;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::caller::Caller;
use super::caller::HttpClient;
use super::work::Request;
use super::work::Work;

/// Upper bound of the delay before a caller sends again after a call that did not complete, also if
/// the response asks for a longer one.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before a caller sends again if the response names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// When the requests of a workspace are sent.
#[derive(Clone, Copy, Debug)]
pub enum Arrivals {
    /// Closed loop with this number of concurrent requests: when one ends, the next is sent.
    Closed(usize),
    /// Open loop with this average number of requests per second, which are sent whether or not
    /// earlier ones have ended.
    Open(f64),
}

/// Load of one workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub workspace: String,
    /// Key that authenticates the workspace.
    pub key: String,
    /// Class of work, which sets the latency target; the default class if absent.
    pub class: Option<String>,
    /// Numbers of the hosts that receive the first call of each request, in turn. Retries may go to
    /// any host.
    pub hosts: Vec<usize>,
    /// When requests are sent.
    pub arrivals: Arrivals,
    /// Kind of the requests.
    pub work: Work,
}

/// A running load. Dropping it aborts its calls.
#[derive(Debug)]
pub struct Load {
    state: Arc<LoadState>,
    tasks: JoinSet<()>,
}

/// State that all callers of a load share.
#[derive(Debug)]
struct LoadState {
    addresses: Vec<SocketAddr>,
    stop: CancellationToken,
    /// Number of the next operation; makes its name unique within the run.
    next_operation: AtomicU64,
    /// Number of the next call, the key in `open`.
    next_call: AtomicU64,
    records: Mutex<Vec<CallRecord>>,
    /// Calls that have not ended, by call number.
    open: Mutex<BTreeMap<u64, CallRecord>>,
}

impl Load {
    /// Starts the load of all workspaces on the hosts at `addresses`.
    pub fn start(
        addresses: Vec<SocketAddr>,
        client: &HttpClient,
        loads: Vec<WorkspaceLoad>,
        seed: u64,
    ) -> Self {
        let state = Arc::new(LoadState {
            addresses,
            stop: CancellationToken::new(),
            next_operation: AtomicU64::new(0),
            next_call: AtomicU64::new(0),
            records: Mutex::default(),
            open: Mutex::default(),
        });
        let mut load = Self {
            state,
            tasks: JoinSet::new(),
        };
        // The low 16 bits of a seed tell apart the callers of one workspace.
        for (number, workspace) in loads.into_iter().enumerate() {
            load.start_workspace(client, workspace, seed.wrapping_add(number as u64) << 16);
        }
        load
    }

    fn start_workspace(&mut self, client: &HttpClient, load: WorkspaceLoad, seed: u64) {
        let caller = Caller {
            client: client.clone(),
            workspace: load.workspace.clone(),
            key: load.key.clone(),
            class: load.class.clone(),
        };
        let load = Arc::new(load);
        match load.arrivals {
            Arrivals::Closed(count) => {
                for number in 0..count {
                    let task = CallerTask {
                        state: Arc::clone(&self.state),
                        caller: caller.clone(),
                        load: Arc::clone(&load),
                        rng: StdRng::seed_from_u64(seed + number as u64),
                        host_position: number,
                    };
                    self.tasks.spawn(task.run_closed());
                }
            }
            Arrivals::Open(rate) => {
                let task = CallerTask {
                    state: Arc::clone(&self.state),
                    caller,
                    load,
                    rng: StdRng::seed_from_u64(seed),
                    host_position: 0,
                };
                self.tasks.spawn(task.run_open(rate));
            }
        }
    }

    /// Records of the calls that have ended.
    pub fn records(&self) -> Vec<CallRecord> {
        self.state
            .records
            .lock()
            .expect("records lock poisoned")
            .clone()
    }

    /// Number of calls that have ended.
    pub fn ended_calls(&self) -> usize {
        self.state
            .records
            .lock()
            .expect("records lock poisoned")
            .len()
    }

    /// Stops sending new requests, waits up to `timeout` for open calls and their retries, and
    /// returns all records. Calls that are still open then are aborted and recorded as unfinished.
    pub async fn finish(mut self, timeout: Duration) -> Vec<CallRecord> {
        self.state.stop.cancel();
        let all = async { while self.tasks.join_next().await.is_some() {} };
        // Calls that are still open after the timeout are aborted with their tasks below.
        let _ = tokio::time::timeout(timeout, all).await;
        let unfinished =
            std::mem::take(&mut *self.state.open.lock().expect("open calls lock poisoned"));
        self.tasks.shutdown().await;
        let mut records = self.records();
        records.extend(unfinished.into_values().map(|call| CallRecord {
            end: now_us(),
            ..call
        }));
        records
    }
}

impl LoadState {
    /// Records that a call is sent, and returns its number.
    fn record_start(&self, workspace: &str, host: usize, request: &Request) -> u64 {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let sent = now_us();
        let record = CallRecord {
            workspace: workspace.to_owned(),
            host,
            operation: request.operation.clone(),
            nonce: request.nonce,
            sent,
            first_byte: None,
            end: sent,
            tokens: 0,
            outcome: CallOutcome::Unfinished,
        };
        self.open
            .lock()
            .expect("open calls lock poisoned")
            .insert(number, record);
        number
    }

    /// Replaces the record of an open call by its final one.
    fn end(&self, number: u64, record: CallRecord) {
        // A call that ends while `finish` collects the open calls is recorded once, as unfinished.
        let was_open = self
            .open
            .lock()
            .expect("open calls lock poisoned")
            .remove(&number);
        if was_open.is_some() {
            self.records
                .lock()
                .expect("records lock poisoned")
                .push(record);
        }
    }
}

/// A caller: a task that sends requests of one workspace through a clone of its [`Caller`]. A
/// closed loop has one for each concurrent request, an open loop a single one.
struct CallerTask {
    state: Arc<LoadState>,
    caller: Caller,
    load: Arc<WorkspaceLoad>,
    rng: StdRng,
    /// Position in the host list of `load`, modulo its length. It advances before each request; the
    /// callers of a workspace start at consecutive positions.
    host_position: usize,
}

impl CallerTask {
    /// Sends one request after the other until the load stops.
    async fn run_closed(mut self) {
        let stop = self.state.stop.clone();
        while !stop.is_cancelled() {
            let request = self.next_request();
            let host = self.next_host();
            let delay = send(&self.state, &self.caller, &self.load, &request, host).await;
            if let Some(delay) = delay {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(delay) => {}
                }
            }
        }
    }

    /// Sends requests at random times until the load stops, then waits for the open ones. Unlike in
    /// a closed loop, an incomplete request does not delay the following ones.
    async fn run_open(mut self, rate: f64) {
        let stop = self.state.stop.clone();
        let mut calls = JoinSet::new();
        let mut next_arrival = Instant::now();
        loop {
            // Exponentially distributed gaps make the arrivals a Poisson process.
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            next_arrival += Duration::from_secs_f64(-uniform.ln() / rate);
            tokio::select! {
                () = stop.cancelled() => break,
                () = tokio::time::sleep_until(next_arrival.into()) => {}
            }
            let request = self.next_request();
            let host = self.next_host();
            let state = Arc::clone(&self.state);
            let caller = self.caller.clone();
            let load = Arc::clone(&self.load);
            calls.spawn(async move {
                send(&state, &caller, &load, &request, host).await;
            });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    fn next_request(&mut self) -> Request {
        let number = self.state.next_operation.fetch_add(1, Ordering::Relaxed);
        let operation = format!("{}-op-{number}", self.load.workspace);
        let workspace = &self.load.workspace;
        self.load.work.request(workspace, operation, &mut self.rng)
    }

    fn next_host(&mut self) -> usize {
        let hosts = &self.load.hosts;
        self.host_position += 1;
        hosts[self.host_position % hosts.len()]
    }
}

/// Sends a request. While its outcome is unknown, retries it through other hosts if it has an
/// idempotency key and retries are left. Returns the delay before the caller's next request in a
/// closed loop, none if the request completed.
async fn send(
    state: &LoadState,
    caller: &Caller,
    load: &WorkspaceLoad,
    request: &Request,
    first_host: usize,
) -> Option<Duration> {
    let mut host = first_host;
    let mut retries = load.work.retries();
    loop {
        let number = state.record_start(&caller.workspace, host, request);
        let result = caller.call(host, state.addresses[host], request).await;
        let outcome = result.record.outcome.clone();
        state.end(number, result.record);
        let delay = result
            .retry_after_ms
            .map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
        if outcome == CallOutcome::Complete {
            return None;
        }
        // A broken call does not show whether the request was run.
        let is_outcome_unknown = matches!(outcome, CallOutcome::Unknown(_) | CallOutcome::Broken);
        if !is_outcome_unknown || retries == 0 || request.key.is_none() {
            return Some(delay.min(MAX_RETRY_DELAY));
        }
        retries -= 1;
        // The next host, whether or not the load lists it.
        host = (host + 1) % state.addresses.len();
        tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
    }
}
