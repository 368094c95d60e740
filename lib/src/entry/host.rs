//! An entry host: its listeners, what it follows, and its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
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
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::budget::FleetBounds;
use super::config::FleetConfig;
use super::dialect::Dialect;
use super::dialect::ServerEntry;
use super::fleet::Fleet;
use super::fleet::HostIdentity;
use super::forward::serve;
use super::lag;
use super::lag::LagMeter;
use super::mirror;
use super::mirror::Mirrors;
use super::peers::Link;
use super::peers::Peer;
use super::source::Source;
use super::source::SourceError;
use super::stats::EntryStats;
use super::updates;
use crate::gateway::BackendPool;
use crate::gateway::ConnectionLimits;
use crate::gateway::Server;
use crate::time::Clock;

/// Limits on callers until the first configuration: those that it usually sets.
const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    connections: 0,
    head_bytes: 16 << 10,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
    write_timeout: Duration::from_secs(15),
    drain_timeout: Duration::ZERO,
};
/// Part of descriptors and memory that connections of callers may take: the other half is for
/// servers.
const CALLER_SHARE_DIVISOR: usize = 2;
/// Memory of a connection with a request, bytes: about 25 KiB a descriptor were in use at 2,800
/// descriptors and 81 MB.
const CONNECTION_BYTES: usize = 28 << 10;
/// Memory of the process without connections, bytes.
const BASE_BYTES: usize = 20 << 20;
/// Descriptors other than those of callers and servers: listeners, calls to the platform and
/// between hosts, those of the runtime.
const BASE_DESCRIPTORS: usize = 64;
/// How long a stopping host still accepts connections: two readiness checks, a second apart, and
/// the time for the balancer to act on them.
const STOP_ACCEPT_DURATION: Duration = Duration::from_millis(2_500);
/// Time by which a stopping host ends before it would be killed.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Period of the removal of servers that did not announce themselves again.
const SWEEP_PERIOD: Duration = Duration::from_millis(100);
/// Media type of the text format of Prometheus.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Where an entry host listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Datagrams of other hosts.
    pub peers: SocketAddr,
    /// Measurements.
    pub metrics: Option<SocketAddr>,
}

/// What a process may use for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Descriptors.
    pub descriptors: usize,
    /// Memory, bytes.
    pub memory_bytes: usize,
}

impl ProcessLimits {
    fn connections(&self) -> usize {
        let memory = self.memory_bytes.saturating_sub(BASE_BYTES) / CONNECTION_BYTES;
        memory.min(self.descriptors.saturating_sub(BASE_DESCRIPTORS))
    }

    fn caller_connections(&self) -> usize {
        self.connections() / CALLER_SHARE_DIVISOR
    }

    fn server_connections(&self) -> usize {
        self.connections() - self.caller_connections()
    }
}

/// What an entry host follows.
pub struct Sources {
    /// The configuration.
    pub config: Source<FleetConfig>,
    /// Backend servers.
    pub servers: Source<ServerEntry>,
    /// Failure domains taken out of service, by name.
    pub evacuations: Source<()>,
    /// Hosts of the fleet.
    pub hosts: Source<Peer>,
}

/// End of a registration, to come.
pub type RegisterFuture = BoxFuture<'static, Result<(), SourceError>>;

/// What an entry host is made of.
pub struct EntryParts {
    /// Who it is.
    pub identity: HostIdentity,
    /// What other hosts know of it.
    pub own: Peer,
    /// Bounds of the whole fleet.
    pub bounds: FleetBounds,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// What the process may use.
    pub process_limits: ProcessLimits,
    /// What the wire says.
    pub dialect: Dialect,
    /// What it follows.
    pub sources: Sources,
    /// Registers the host among those that share the budgets.
    pub register: Box<dyn Fn() -> RegisterFuture + Send + Sync>,
    /// The clock that the decoders use, too.
    pub clock: Clock,
    /// Number of log lines that were dropped.
    pub log_dropped: Arc<AtomicU64>,
}

/// Why an entry host does not start.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen for {purpose} on {address}: {source}"))]
    Listen {
        /// What for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The measurements cannot be registered.
    #[snafu(display("cannot register measurements: {source}"))]
    Stats {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// State that the tasks of an entry host share.
pub(crate) struct EntryHost {
    pub(crate) clock: Clock,
    pub(crate) dialect: Dialect,
    pub(crate) pool: BackendPool,
    pub(crate) stats: EntryStats,
    pub(crate) link: Link,
    pub(crate) mirrors: Mirrors,
    pub(crate) lag: LagMeter,
    fleet: Mutex<Fleet>,
}

impl EntryHost {
    /// The decisions. Held for one step at a time.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connection_limits(&self, process_limits: ProcessLimits) -> ConnectionLimits {
        let fleet = self.fleet();
        let limits = fleet.config().map(|config| config.limits);
        let base = limits.map_or(DEFAULT_LIMITS, |limits| ConnectionLimits {
            head_bytes: limits.head_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
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
    stop: watch::Sender<bool>,
    callers: Server,
    tasks: JoinSet<()>,
}

impl EntryDaemon {
    /// Opens the listeners and starts to follow the platform.
    ///
    /// # Errors
    ///
    /// Tells which listener cannot be opened.
    pub async fn start(parts: EntryParts) -> Result<Self, EntryError> {
        let address = parts.listen.peers;
        let socket = UdpSocket::bind(address).await.context(ListenSnafu {
            purpose: "peers",
            address,
        })?;
        let host = Arc::new(EntryHost {
            clock: parts.clock,
            dialect: parts.dialect,
            pool: BackendPool::new(parts.clock, parts.process_limits.server_connections()),
            stats: EntryStats::new(parts.log_dropped).context(StatsSnafu)?,
            link: Link::new(socket, &parts.own, rand::random()),
            mirrors: Mirrors::default(),
            lag: LagMeter::default(),
            fleet: Mutex::new(Fleet::new(parts.identity, parts.bounds, rand::random())),
        });
        let (stop, stopped) = watch::channel(false);
        let limits_host = host.clone();
        let callers = Server {
            listener: listen("callers", parts.listen.callers).await?,
            router: Router::new().fallback(serve).with_state(host.clone()),
            limits: Box::new(move || limits_host.connection_limits(parts.process_limits)),
            connections: host.stats.connections.clone(),
            connections_refused: host.stats.connections_refused.clone(),
            stop: stopped,
        };
        let mut tasks = JoinSet::new();
        let readiness = listen("readiness checks", parts.listen.readiness).await?;
        let checks = Router::new()
            .route(host.dialect.readiness_path, get(show_readiness))
            .with_state(host.clone());
        tasks.spawn(serve_router(readiness, checks));
        let relay = listen("hosts of the failure domain", parts.listen.peers).await?;
        tasks.spawn(serve_router(relay, mirror::router(host.clone())));
        if let Some(address) = parts.listen.metrics {
            let metrics = listen("measurements", address).await?;
            let router = Router::new()
                .route("/metrics", get(show_metrics))
                .with_state(host.clone());
            tasks.spawn(serve_router(metrics, router));
        }
        updates::spawn_all(&mut tasks, &host, parts.sources);
        tasks.spawn(updates::register(parts.register));
        tasks.spawn(sweep(host.clone()));
        tasks.spawn(Link::receive(host.clone()));
        tasks.spawn(Link::report(host.clone()));
        tasks.spawn(lag::measure(host.clone()));
        Ok(Self {
            host,
            stop,
            callers,
            tasks,
        })
    }

    /// What may be changed while the host runs.
    pub fn control(&self) -> EntryControl {
        EntryControl {
            host: self.host.clone(),
        }
    }

    /// Serves until `stop_requested` completes, then ends within the grace.
    pub async fn serve(self, stop_requested: impl Future<Output = ()>) {
        let host = self.host;
        let stop = self.stop;
        let grace = host.fleet().bounds().stop_grace;
        let mut serving = Box::pin(self.callers.run());
        tokio::select! {
            () = &mut serving => return,
            () = stop_requested => {}
        }
        host.fleet().stop();
        host.link.leave();
        let stopped_at = host.clock.now();
        let end_at = stopped_at + grace.saturating_sub(STOP_MARGIN);
        info!(target: "host", requests = host.fleet().flight_count(); "stopping");
        let closing = async {
            tokio::time::sleep(STOP_ACCEPT_DURATION).await;
            // The receiver lives as long as the server runs.
            let _ = stop.send(true);
            std::future::pending::<()>().await;
        };
        let deadline = host.clock.instant(end_at);
        tokio::select! {
            () = &mut serving => {}
            () = closing => {}
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        info!(target: "host", requests = host.fleet().flight_count(); "stopped");
        drop(self.tasks);
    }
}

/// Changes a running entry host.
#[derive(Clone)]
pub struct EntryControl {
    host: Arc<EntryHost>,
}

impl EntryControl {
    /// Replaces the bounds of the fleet.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        self.host.fleet().set_bounds(bounds);
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { purpose, address })
}

async fn serve_router(listener: TcpListener, router: Router) {
    if let Err(err) = axum::serve(listener, router).await {
        warn!(target: "host", reason = err.to_string(); "listener ended");
    }
}

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
    match host.stats.text() {
        Ok(text) => ([(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], text).into_response(),
        Err(err) => {
            warn!(target: "host", reason = err.to_string(); "measurements cannot be written");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

/// Forgets servers that did not announce themselves again, and closes connections that are no
/// longer used, until the task is dropped.
async fn sweep(host: Arc<EntryHost>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        host.pool.close_expired();
        let lapsed: Vec<CompactString> = host.fleet().sweep(host.clock.now());
        for instance in lapsed {
            info!(target: "server", server = instance.as_str(); "gone, not announced again");
        }
    }
}
