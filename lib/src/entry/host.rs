//! The running entry host, a reverse proxy between callers and backend servers: its listeners, its
//! background tasks and its graceful shutdown.
//!
//! The platform is the external system that stores the configuration, the announcements of backend
//! servers and the list of hosts as named objects. The fleet is the entry hosts and the backend
//! servers together.
//!
//! Besides the callers' listener there are ones for readiness checks, for other entry hosts (UDP
//! datagrams and HTTP on the same address) and, if configured, for metrics. The number of
//! connections is derived from the descriptors and the memory that the process may use, so that
//! neither runs out under load.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use compact_str::CompactString;
use futures::future::BoxFuture;
use log::info;
use log::warn;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::WeakSender;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::arrival;
use super::budget::FleetBounds;
use super::config::FleetConfig;
use super::dialect::Dialect;
use super::dialect::ServerAnnouncement;
use super::dialect::UnreadableHeader;
use super::fleet::Fleet;
use super::fleet::HostIdentity;
use super::forward::millis;
use super::forward::serve;
use super::handed_over;
use super::lag;
use super::lag::Lag;
use super::lag::LagMeter;
use super::mirror;
use super::mirror::Mirrors;
use super::peers::Link;
use super::peers::Peer;
use super::rollout::RolloutStore;
use super::rollout_task;
use super::rollout_task::StatusWriter;
use super::schedule::QuarantineChange;
use super::source::Source;
use super::source::SourceError;
use super::source::StoreGate;
use super::stats::EntryStats;
use super::stopping::StopPlan;
use super::stopping::Stopping;
use super::updates;
use crate::crashing::RequestQuarantineChange;
use crate::gateway::Accepted;
use crate::gateway::AcceptedConnection;
use crate::gateway::BackendPool;
use crate::gateway::BodyMemory;
use crate::gateway::ConnectionLimits;
use crate::gateway::HandoverLinks;
use crate::gateway::MemoryBudget;
use crate::gateway::MemoryChange;
use crate::gateway::PortLimits;
use crate::gateway::Refusing;
use crate::gateway::Server;
use crate::gateway::accept_on_thread;
use crate::gateway::limit_receive_buffers;
use crate::gateway::serve_port;
use crate::time::Clock;
use crate::time::Timestamp;

/// Limits on callers' connections until the first configuration arrives: the values that
/// configurations usually set. The two zeros are always replaced before use, the number of
/// connections by the share of callers in the process limits and the drain timeout by the stop
/// grace.
const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 0,
    head_bytes: 16 << 10,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    write_timeout: Duration::from_secs(15),
    buffer_bytes: CALLER_SEND_BYTES,
    drain_timeout: Duration::ZERO,
};
/// Divisor of the connection limit that gives the share for callers: half for callers, half for
/// backend servers.
const CALLER_SHARE_DIVISOR: usize = 2;
/// Memory reserved for a connection with its request, bytes. With 2,800 descriptors open the
/// process used 81 MB, about 25 KiB for each.
const CONNECTION_BYTES: usize = 28 << 10;
/// Memory that the process uses without any connection, bytes.
const BASE_BYTES: usize = 20 << 20;
/// Divisor of the memory beyond [`BASE_BYTES`] that gives the share for bodies, which they have also if all
/// connections are open. On a host of 88 MB it gives 17 MB: four bodies of the largest size that
/// configurations allow, or one of the usual 9 KB for each of 1,900 requests, which is more than its
/// connections of callers.
const BODY_SHARE_DIVISOR: usize = 4;
/// Divisor for the share that bodies may have while few connections are open. The rest is for what the
/// process holds beyond the plan.
const BODY_SHARE_MAX_DIVISOR: usize = 2;
/// Size of the receive buffers of connections to servers, bytes. The kernel lets buffers of its own choice
/// grow to megabytes.
const SERVER_BUFFER_BYTES: usize = 64 << 10;
/// Size of the receive buffers of callers' connections, bytes. The kernel holds up to twice as much, on
/// every connection that sends faster than it is read.
const CALLER_RECEIVE_BYTES: usize = 16 << 10;
/// Size of the send buffers of callers' connections, bytes. The kernel asks for more only once a third of a
/// buffer is free, so with a large one a caller that reads slowly but steadily would seem to read nothing
/// for longer than the write timeout.
const CALLER_SEND_BYTES: usize = 32 << 10;
/// Descriptors reserved for uses other than connections: listeners, calls to the platform and to other
/// hosts, and the async runtime.
const BASE_DESCRIPTORS: usize = 64;
/// Limits on the connections for readiness checks, and the same for metrics.
const CHECK_LIMITS: PortLimits = PortLimits {
    connections: 16,
    head_timeout: Duration::from_secs(30),
};
/// Divisor of the descriptors that gives the share for connections of other hosts. Each host of a failure
/// domain has a few.
const HOST_SHARE_DIVISOR: usize = 8;
/// Connections of other hosts at least.
const HOST_CONNECTIONS_MIN: usize = 32;
/// How long a stopping host still accepts connections. The load balancer needs two failed readiness
/// checks, a second apart, and some time to act on them.
const STOP_ACCEPT_DURATION: Duration = Duration::from_millis(2_500);
/// How long before the end of its grace period, when it would be killed, a stopping host exits.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// How often expired servers and expired idle connections are removed.
const SWEEP_PERIOD: Duration = Duration::from_millis(100);
/// Interval between log lines on refusals by this host's scheduler.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// Most different unreadable headers that are logged.
const REPORTED_HEADERS_MAX: usize = 64;
/// Media type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Addresses on which an entry host listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// HTTP readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// UDP datagrams and HTTP requests of other entry hosts.
    pub peers: SocketAddr,
    /// HTTP requests for metrics; `None` if metrics are not served.
    pub metrics: Option<SocketAddr>,
}

/// Resource limits of the process, from which its connection limits are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Most file descriptors open at once.
    pub descriptors: usize,
    /// Most memory in use, bytes.
    pub memory_bytes: usize,
}

impl ProcessLimits {
    /// Most connections that fit in the memory and the descriptors.
    fn connections(&self) -> usize {
        let memory = self.memory_bytes.saturating_sub(BASE_BYTES);
        let memory = memory - self.body_bytes();
        let others = BASE_DESCRIPTORS + 2 * CHECK_LIMITS.connections + self.host_connections();
        (memory / CONNECTION_BYTES).min(self.descriptors.saturating_sub(others))
    }

    /// Most connections of other hosts.
    fn host_connections(&self) -> usize {
        (self.descriptors / HOST_SHARE_DIVISOR).max(HOST_CONNECTIONS_MIN)
    }

    /// Bytes of bodies that may be held at once also if all connections are open.
    pub fn body_bytes(&self) -> usize {
        let memory = self.memory_bytes.saturating_sub(BASE_BYTES);
        memory / BODY_SHARE_DIVISOR
    }

    /// Bytes of bodies that may be held at once beside a number of callers' connections, each with one to a
    /// server.
    pub fn body_bytes_beside(&self, connections: usize) -> usize {
        let memory = self.memory_bytes.saturating_sub(BASE_BYTES);
        let connections = connections.saturating_mul(2 * CONNECTION_BYTES);
        let left = memory.saturating_sub(connections);
        left.min(memory / BODY_SHARE_MAX_DIVISOR)
            .max(self.body_bytes())
    }

    fn caller_connections(&self) -> usize {
        self.connections() / CALLER_SHARE_DIVISOR
    }

    fn server_connections(&self) -> usize {
        self.connections() - self.caller_connections()
    }
}

/// The kinds of platform objects that an entry host keeps up to date.
pub struct Sources {
    /// Fleet configuration: routes, services, workspaces and limits.
    pub config: Source<FleetConfig>,
    /// Announcements of backend servers.
    pub servers: Source<ServerAnnouncement>,
    /// Failure domains taken out of service; the object's name is that of the domain.
    pub evacuations: Source<()>,
    /// Entry hosts registered in the fleet.
    pub hosts: Source<Peer>,
    /// Orders to roll out software versions; `None` if this deployment has none.
    pub rollouts: Option<RolloutStore>,
}

/// Result of one attempt to register this host on the platform.
pub type RegisterFuture = BoxFuture<'static, Result<(), SourceError>>;

/// Settings and adapters from which [`EntryDaemon::start`] builds an entry host.
pub struct EntryParts {
    /// Name and failure domain of this host.
    pub identity: HostIdentity,
    /// Entry of this host in the platform's list of hosts.
    pub own: Peer,
    /// Limits that apply to the fleet as a whole.
    pub bounds: FleetBounds,
    /// Listening addresses.
    pub listen: ListenAddresses,
    /// Resource limits of the process.
    pub process_limits: ProcessLimits,
    /// Whether servers of plain services are selected by what their responses have shown.
    pub weighs_plain_servers: bool,
    /// Translation of HTTP heads.
    pub dialect: Dialect,
    /// Platform objects to follow.
    pub sources: Sources,
    /// Registers this host on the platform. Retry and cold-start budgets of the fleet are divided
    /// by the number of registered hosts.
    pub register: Box<dyn Fn() -> RegisterFuture + Send + Sync>,
    /// Clock of this host. The decoders of `sources` use the same one, so that their timestamps are
    /// comparable.
    pub clock: Clock,
    /// Count of log lines dropped so far, shown as a metric.
    pub log_dropped: Arc<AtomicU64>,
}

/// Why an entry host could not start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
    Listen {
        /// What the listener is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics could not be registered.
    #[snafu(display("cannot register metrics: {source}"))]
    Stats {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
}

/// State shared by the tasks of an entry host.
pub(crate) struct EntryHost {
    pub(crate) clock: Clock,
    pub(crate) dialect: Dialect,
    /// Connections to backend servers.
    pub(crate) pool: BackendPool,
    pub(crate) stats: EntryStats,
    /// Memory for request and response bodies.
    pub(crate) body_memory: BodyMemory,
    /// Links over which requests are handed over to other hosts.
    pub(crate) handover_links: Arc<HandoverLinks>,
    /// Exchanges datagrams with other entry hosts about the scheduling of requests to models, and
    /// knows which hosts are schedulers and mirror hosts.
    pub(crate) link: Link,
    /// Platform objects kept for other hosts of the failure domain.
    pub(crate) mirrors: Mirrors,
    /// How late the runtime executes this host's tasks.
    pub(crate) lag: LagMeter,
    /// The planned stop of this host.
    pub(crate) stopping: Stopping,
    /// What this host knows of the fleet.
    fleet: Mutex<Fleet>,
    /// Admits calls to the platform while these fail.
    store_gate: Mutex<StoreGate>,
    /// Latest era of the platform that was seen with any kind of object.
    latest_era: AtomicU64,
    /// Unreadable headers that were logged. Each is logged once.
    reported_headers: Mutex<HashSet<UnreadableHeader>>,
}

impl EntryHost {
    /// Locks the fleet state. The guard must not be held across an `await`.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the gate for calls to the platform. The guard must not be held across an `await`.
    pub(crate) fn store_gate(&self) -> MutexGuard<'_, StoreGate> {
        self.store_gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Latest era of the platform that this host has seen.
    pub(crate) fn latest_era(&self) -> u64 {
        self.latest_era.load(Ordering::Relaxed)
    }

    /// Records an era of the platform. Returns the latest one.
    pub(crate) fn on_era_seen(&self, era: u64) -> u64 {
        self.latest_era.fetch_max(era, Ordering::Relaxed).max(era)
    }

    /// Counts headers that could not be read, and logs each different one once.
    pub(crate) fn report_unreadable(&self, sender: &str, headers: &[UnreadableHeader]) {
        for header in headers {
            let counter = &self.stats.headers_unreadable;
            counter.with_label_values(&[header.name]).inc();
            let mut reported = self
                .reported_headers
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if reported.len() < REPORTED_HEADERS_MAX && reported.insert(header.clone()) {
                warn!(target: "host", name = header.name, value = header.value.as_str(),
                    sender = sender; "cannot read header");
            }
        }
    }

    /// Whether the bodies that are held leave room for a number of callers' connections. Sets how many more
    /// may be held beside them.
    fn has_room(&self, process_limits: ProcessLimits, connections: usize) -> bool {
        let limit = process_limits.body_bytes_beside(connections);
        let mut budget = self.body_memory.budget();
        budget.set_limit(limit);
        budget.held() <= limit
    }

    /// Limits for callers' connections: from the active configuration or the defaults, and for
    /// their number from the limits of the process.
    fn connection_limits(&self, process_limits: ProcessLimits) -> ConnectionLimits {
        let fleet = self.fleet();
        let limits = fleet.config().map(|config| config.limits);
        let base = limits.map_or(DEFAULT_LIMITS, |limits| ConnectionLimits {
            head_bytes: limits.head_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
            // The configuration has no write timeout of its own.
            write_timeout: limits.idle_timeout,
            ..DEFAULT_LIMITS
        });
        ConnectionLimits {
            connections: process_limits.caller_connections(),
            drain_timeout: fleet.bounds().stop_grace,
            ..base
        }
    }
}

/// A running entry host.
pub struct EntryDaemon {
    host: Arc<EntryHost>,
    /// Tells the server for callers to stop: to accept no more connections and to drain.
    stop: watch::Sender<bool>,
    /// Connections of callers.
    accepted: Accepted,
    /// HTTP server for them.
    callers: Server,
    /// Background tasks and the other HTTP servers.
    tasks: JoinSet<()>,
}

impl EntryDaemon {
    /// Opens the listeners and starts the background tasks.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened or the metrics cannot be registered.
    pub async fn start(parts: EntryParts) -> Result<Self, EntryError> {
        let socket = bind_peers(parts.listen.peers).await?;
        let host = Arc::new(EntryHost {
            clock: parts.clock,
            dialect: parts.dialect,
            pool: BackendPool::new(
                parts.clock,
                parts.process_limits.server_connections(),
                SERVER_BUFFER_BYTES,
            ),
            stats: EntryStats::new(parts.log_dropped).context(StatsSnafu)?,
            body_memory: BodyMemory::new(MemoryBudget::new(
                parts.process_limits.body_bytes_beside(0),
            )),
            link: Link::new(socket, &parts.own, rand::random()),
            handover_links: Arc::default(),
            mirrors: Mirrors::default(),
            lag: LagMeter::default(),
            stopping: Stopping::default(),
            fleet: Mutex::new(Fleet::new(parts.identity, parts.bounds, rand::random())),
            store_gate: Mutex::default(),
            latest_era: AtomicU64::new(0),
            reported_headers: Mutex::default(),
        });
        host.fleet().weigh_plain_servers(parts.weighs_plain_servers);
        let (stop, stopped) = watch::channel(false);
        let (limits_host, room_host) = (host.clone(), host.clone());
        let has_room = move |open| room_host.has_room(parts.process_limits, open);
        let accepting = accept_callers(&host, parts.listen.callers, stopped.clone());
        let (accepted, handed_over) = accepting.await?;
        let callers = Server {
            router: Router::new().fallback(serve).with_state(host.clone()),
            limits: Box::new(move || limits_host.connection_limits(parts.process_limits)),
            has_room: Box::new(has_room),
            close_idle: host.lag.close_idle(),
            connections: host.stats.callers.connections.clone(),
            connections_refused: host.stats.callers.refused.clone(),
            stop: stopped,
        };
        let mut tasks = JoinSet::new();
        let hosts = hosts_router(&host, handed_over);
        let limits = parts.process_limits;
        serve_ports(&mut tasks, &host, &parts.listen, limits, hosts).await?;
        let mut sources = parts.sources;
        let rollouts = sources.rollouts.take();
        if let Some(store) = rollouts {
            let writer = StatusWriter {
                read: store.read,
                write: store.write_status,
            };
            updates::spawn_rollouts(&mut tasks, &host, store.source);
            tasks.spawn(rollout_task::run(host.clone(), writer));
        }
        let registration = Arc::new(Notify::new());
        updates::spawn_all(&mut tasks, &host, sources, &parts.own, registration.clone());
        tasks.spawn(updates::register(parts.register, registration));
        tasks.spawn(sweep(host.clone()));
        tasks.spawn(Link::receive(host.clone()));
        tasks.spawn(Link::probe(host.clone()));
        tasks.spawn(Link::report(host.clone()));
        tasks.spawn(Link::send_shares(host.clone()));
        tasks.spawn(Link::tell_suspects(host.clone()));
        tasks.spawn(lag::measure(host.clone()));
        Ok(Self {
            host,
            stop,
            accepted,
            callers,
            tasks,
        })
    }

    /// A handle for changes while the host runs.
    pub fn control(&self) -> EntryControl {
        EntryControl {
            host: self.host.clone(),
        }
    }

    /// Serves callers until `stop_requested` completes, then shuts down within the stop grace.
    ///
    /// Readiness checks fail at once, and schedule requests of other hosts are answered with
    /// `Leaving`, so that they turn to another scheduler. New connections are still accepted for
    /// `STOP_ACCEPT_DURATION`, because the load balancer goes on sending them. The call returns
    /// when all connections have ended, at the latest `STOP_MARGIN` before the grace is over.
    pub async fn serve(self, stop_requested: impl Future<Output = ()>) {
        let host = self.host;
        let stop = self.stop;
        let grace = host.fleet().bounds().stop_grace;
        let mut serving = Box::pin(self.callers.run(self.accepted));
        tokio::select! {
            () = &mut serving => return,
            () = stop_requested => {}
        }
        host.fleet().stop();
        host.link.leave();
        let stopped_at = host.clock.now();
        let end_at = stopped_at + grace.saturating_sub(STOP_MARGIN);
        host.stopping.begin(StopPlan {
            refuses_from: stopped_at + STOP_ACCEPT_DURATION,
            ends_at: end_at,
        });
        info!(target: "host", requests = host.fleet().in_flight_count(); "stopping");
        let closing = async {
            tokio::time::sleep(STOP_ACCEPT_DURATION).await;
            // Sending fails only if the server, which holds the receiver, has already ended.
            let _ = stop.send(true);
            // The other branches of the `select!` below decide when to return.
            std::future::pending::<()>().await;
        };
        let deadline = host.clock.instant(end_at);
        tokio::select! {
            () = &mut serving => {}
            () = closing => {}
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        info!(target: "host", requests = host.fleet().in_flight_count(); "stopped");
        drop(self.tasks);
    }
}

/// Handle that changes settings of a running entry host.
#[derive(Clone)]
pub struct EntryControl {
    host: Arc<EntryHost>,
}

impl EntryControl {
    /// Replaces the limits of the fleet; the next decision uses them.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        self.host.fleet().set_bounds(bounds);
    }
}

async fn bind_peers(address: SocketAddr) -> Result<UdpSocket, EntryError> {
    UdpSocket::bind(address).await.context(ListenSnafu {
        purpose: "peers",
        address,
    })
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { purpose, address })
}

/// Accepts callers' connections until the stop signal. Those for whose requests the host has no processor
/// time are refused.
async fn accept_callers(
    host: &Arc<EntryHost>,
    address: SocketAddr,
    stopped: watch::Receiver<bool>,
) -> Result<(Accepted, WeakSender<AcceptedConnection>), EntryError> {
    let purpose = "callers";
    let listener = listen(purpose, address).await?;
    limit_receive_buffers(&listener, CALLER_RECEIVE_BYTES);
    let (behind_host, deciding_host) = (host.clone(), host.clone());
    let is_behind = move || {
        let late = behind_host.lag.current(behind_host.clock.now());
        Lag::is_behind(late)
    };
    let refusing = Refusing {
        is_behind: Box::new(is_behind),
        decide: Box::new(move |from, received| arrival::decide(&deciding_host, from, received)),
        accepted: host.stats.callers.accepted.clone(),
        refused: host.stats.callers.refused.clone(),
    };
    accept_on_thread(listener, stopped, refusing).context(ListenSnafu { purpose, address })
}

/// Starts to serve the ports that are not for callers.
async fn serve_ports(
    tasks: &mut JoinSet<()>,
    host: &Arc<EntryHost>,
    listen_on: &ListenAddresses,
    limits: ProcessLimits,
    hosts: Router,
) -> Result<(), EntryError> {
    let readiness = listen("readiness checks", listen_on.readiness).await?;
    let checks = Router::new()
        .route(host.dialect.readiness_path, get(show_readiness))
        .with_state(host.clone());
    tasks.spawn(serve_port(readiness, checks, CHECK_LIMITS));
    let peers = listen("hosts of the failure domain", listen_on.peers).await?;
    let host_limits = PortLimits {
        connections: limits.host_connections(),
        ..CHECK_LIMITS
    };
    tasks.spawn(serve_port(peers, hosts, host_limits));
    if let Some(address) = listen_on.metrics {
        let metrics = listen("metrics", address).await?;
        let router = Router::new()
            .route("/metrics", get(show_metrics))
            .with_state(host.clone());
        tasks.spawn(serve_port(metrics, router, CHECK_LIMITS));
    }
    Ok(())
}

/// What this host serves to other hosts: objects of the platform, and requests that they hand over.
fn hosts_router(host: &Arc<EntryHost>, handed_over: WeakSender<AcceptedConnection>) -> Router {
    mirror::router(host.clone()).merge(handed_over::router(host, handed_over))
}

/// Answers a readiness check: 200 if this host can serve requests and has processor time left,
/// otherwise 503.
async fn show_readiness(State(host): State<Arc<EntryHost>>) -> StatusCode {
    let now = host.clock.now();
    let is_ready = host.fleet().is_ready(now) && host.lag.lag().is_ready(now);
    match is_ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn show_metrics(State(host): State<Arc<EntryHost>>) -> Response {
    let open = i64::try_from(host.pool.open_count()).unwrap_or(i64::MAX);
    host.stats.server_connections.set(open);
    let held = i64::try_from(host.body_memory.budget().held()).unwrap_or(i64::MAX);
    host.stats.held_bytes.set(held);
    match host.stats.text() {
        Ok(text) => ([(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], text).into_response(),
        Err(err) => {
            warn!(target: "host", reason = err.to_string(); "cannot encode metrics");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

/// Periodically removes servers that did not announce themselves again in time, and closes idle
/// connections that have expired. Runs until the task is dropped.
async fn sweep(host: Arc<EntryHost>) {
    let mut next_summary_at = host.clock.now() + SUMMARY_PERIOD;
    let mut refused_logged = CallerCounts::default();
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        host.pool.close_expired();
        let now = host.clock.now();
        let refused = host.lag.take_refused_unread();
        host.fleet().on_connections_refused(refused);
        if next_summary_at.has_passed(now) {
            next_summary_at = now + SUMMARY_PERIOD;
            log_schedule_summaries(&host);
            log_work_of_workspaces(&host);
            log_memory_change(&host);
            host.fleet().request_quarantine().sweep(now);
            host.fleet().sweep_parts(now);
            refused_logged = log_refused_behind(&host, refused_logged);
            if host.lag.lag().closes_connections(now) {
                host.lag.close_idle().notify_one();
            }
        }
        log_quarantine_changes(&host, now);
        log_request_quarantine_changes(&host, now);
        if let Some(version) = host.fleet().adopt_stored_config(now) {
            info!(target: "config", version = version;
                "older configuration activated: the platform has lost the newer one");
        }
        let expired: Vec<CompactString> = host.fleet().sweep(now);
        for instance in expired {
            info!(target: "server", server = instance.as_str();
                "removed: not announced again in time");
        }
    }
}

/// Logs the work that workspaces have asked of this host since the last call.
fn log_work_of_workspaces(host: &EntryHost) {
    let work = host.fleet().tally().take_text();
    if let Some(work) = work {
        info!(target: "host", work = work.as_str(); "work of workspaces");
    }
}

/// Logs what this host's scheduler has decided for each service of which it has refused requests.
fn log_schedule_summaries(host: &EntryHost) {
    let summaries = host.fleet().take_schedule_summaries();
    for (service, summary) in summaries {
        info!(target: "schedule", service = service.as_str(), granted = summary.granted,
            refused = summary.refused, contention = summary.contention,
            responses = summary.responses, unmeasured = summary.unmeasured,
            late_ms = millis(summary.late);
            "requests refused by scheduler");
    }
}

/// Logs that the memory for bodies has run out, or no longer does.
fn log_memory_change(host: &EntryHost) {
    let change = host.body_memory.budget().take_change();
    let refused = host.stats.refused_memory.get();
    match change {
        Some(MemoryChange::Short {
            held_bytes,
            workspace,
            workspace_bytes,
        }) => warn!(target: "host", held_bytes = held_bytes, workspace = workspace.as_deref(),
            workspace_bytes = workspace_bytes, refused = refused; "no memory for bodies"),
        Some(MemoryChange::Relieved) => {
            info!(target: "host", refused = refused; "memory for bodies available again");
        }
        None => {}
    }
}

/// Logs and counts what has changed about parts of prompts that make engines crash.
fn log_quarantine_changes(host: &EntryHost, now: Timestamp) {
    let changes = host.fleet().take_quarantine_changes();
    for change in changes {
        match change {
            QuarantineChange::HeldBack {
                part,
                crashes,
                until,
            } => {
                host.stats.prompt_parts_held_back.inc();
                warn!(target: "schedule", part = format!("{part:x}"), crashes = crashes,
                    ms = millis(until.remaining(now)); "part of prompts crashes servers: held back");
            }
            QuarantineChange::Cleared { part, crashes } => {
                info!(target: "schedule", part = format!("{part:x}"), crashes = crashes;
                    "part of prompts no longer suspected of crashing servers");
            }
        }
    }
}

/// Logs and counts what has changed about requests that make servers crash.
fn log_request_quarantine_changes(host: &EntryHost, now: Timestamp) {
    let changes = host.fleet().request_quarantine().take_changes();
    for change in changes {
        match change {
            RequestQuarantineChange::HeldBack {
                digest,
                crashes,
                until,
            } => {
                host.stats.requests_held_back.inc();
                warn!(target: "request", digest = digest.log_value().as_str(), crashes = crashes,
                    ms = millis(until.remaining(now)); "request crashes servers: held back");
            }
            RequestQuarantineChange::Cleared { digest, crashes } => {
                info!(target: "request", digest = digest.log_value().as_str(), crashes = crashes;
                    "request no longer suspected of crashing servers");
            }
        }
    }
}

/// What callers have sent to the host, and what it has refused since it is behind its work.
#[derive(Clone, Copy, Default)]
struct CallerCounts {
    /// Connections that were accepted.
    accepted: u64,
    /// Connections that were refused unread.
    refused: u64,
    /// Requests that were read.
    read: u64,
    /// Requests to models that were read and refused.
    refused_requests: u64,
    /// Requests that were handed over to other hosts.
    handed_over: u64,
}

impl CallerCounts {
    fn now(host: &EntryHost) -> Self {
        Self {
            accepted: host.stats.callers.accepted.get(),
            refused: host.stats.callers.refused.get(),
            read: host.stats.callers.requests.get(),
            refused_requests: host.stats.refused_overloaded.get(),
            handed_over: host.stats.handovers.get(),
        }
    }

    fn has_refused_since(&self, before: &Self) -> bool {
        self.refused != before.refused
            || self.refused_requests != before.refused_requests
            || self.handed_over != before.handed_over
    }
}

/// Logs what was refused since the counts `before`. Returns the counts.
fn log_refused_behind(host: &EntryHost, before: CallerCounts) -> CallerCounts {
    let counts = CallerCounts::now(host);
    if !counts.has_refused_since(&before) {
        return counts;
    }
    // The workspace that has sent the most requests to models lately, and its fraction of them.
    let (workspace, fraction) = host.fleet().busiest_workspace().unzip();
    let (is_ready, lag) = {
        let lag = host.lag.lag();
        (lag.is_ready(host.clock.now()), lag.recent())
    };
    info!(target: "host", refused = counts.refused - before.refused,
        refused_requests = counts.refused_requests - before.refused_requests,
        handed_over = counts.handed_over - before.handed_over,
        accepted = counts.accepted - before.accepted, requests = counts.read - before.read,
        open = host.stats.callers.connections.get(), lag_ms = millis(lag), is_ready = is_ready,
        workspace = workspace.as_deref(), fraction = fraction; "connections of callers refused");
    counts
}
