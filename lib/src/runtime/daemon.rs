//! Start and planned stop of one host.
//!
//! The control thread decides which request runs on which backend server. The traffic threads serve
//! the connections of callers and operators and the calls to the platform, the external system that
//! the fleet runs on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc as std_mpsc;
use std::time::Duration;
use std::time::SystemTime;

use log::info;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::control_loop::ControlChannels;
use super::control_loop::ControlLoop;
use super::control_metrics::ControlMetrics;
use super::platform_watch::follow_configuration;
use super::platform_watch::follow_host_list;
use crate::configuration::ConfigurationStore;
use crate::configuration::Editor;
use crate::control::ControlHandle;
use crate::control::FleetView;
use crate::gateway::Gateway;
use crate::gateway::GatewayParts;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::node::NodeIdentity;
use crate::operation::Records;
use crate::operator;
use crate::operator::OperatorParts;
use crate::peer::Links;
use crate::peer::PeerError;
use crate::peer::PeerOptions;
use crate::platform::CallOptions;
use crate::platform::HostListClient;
use crate::platform::ObjectClient;
use crate::settings::Settings;
use crate::time::Clock;

/// Reason why a host could not be started.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A listening socket could not be opened.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// Who the listener is for, for example `callers`.
        purpose: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connections to the other hosts of the fleet could not be started.
    #[snafu(display("cannot start the links to other hosts: {source}"))]
    Peers {
        /// Error of the peer module.
        source: PeerError,
    },
    /// A thread or its `tokio` runtime could not be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The control thread ended during its start, for example by a panic.
    #[snafu(display("the control thread ended before it was ready"))]
    ControlEnded,
    /// A metric could not be registered.
    #[snafu(display("cannot register metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
    /// The operating system provided no random numbers.
    #[snafu(display("cannot generate random numbers: {source}"))]
    Random {
        /// Error of the random number generator.
        source: getrandom::Error,
    },
}

/// A running host of the fleet.
///
/// Dropping it stops the host abruptly, as a crash would: no further message is sent to other
/// hosts. See [`Daemon::stop`] for a planned stop.
pub struct Daemon {
    /// Ends the control thread when it is dropped. Must be declared before the traffic runtime, so
    /// that it is dropped first: otherwise the control thread would report to other hosts the end
    /// of each request that the traffic threads drop.
    _shutdown: oneshot::Sender<()>,
    /// Ends the tasks of the traffic threads when it is dropped.
    _runtime: TrafficRuntime,
    control: ControlHandle,
    /// Set to true to start a planned stop.
    stop: watch::Sender<bool>,
    /// Becomes true when the planned stop is complete.
    stopped: watch::Receiver<bool>,
}

impl Daemon {
    /// Starts a host. Returns when all its listeners are open.
    ///
    /// # Errors
    ///
    /// A [`DaemonError`] if a part of the host cannot be started. The other parts are stopped.
    pub fn start(settings: Settings) -> Result<Self, DaemonError> {
        let clock = Clock::start();
        let incarnation = incarnation();
        let (tx, requests) = mpsc::unbounded_channel();
        let (platform_tx, platform) = mpsc::unbounded_channel();
        let (view_tx, view) = watch::channel(Arc::new(FleetView::default()));
        let (watching_tx, watching) = watch::channel(false);
        let (shutdown, shutdown_rx) = oneshot::channel();
        let control = ControlHandle::new(tx, view);
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let runtime = TrafficRuntime::start()?;
        let listeners = Listeners::open(&settings, runtime.handle())?;
        spawn_control(
            &settings,
            clock,
            incarnation,
            ControlParts {
                shutdown: shutdown_rx,
                metrics: ControlMetrics::new(&metrics).context(MetricsSnafu)?,
                requests,
                platform,
                view: view_tx,
                watch_configuration: watching_tx,
            },
        )?;
        let objects = ObjectClient::new(settings.platform.object_api, CallOptions::default());
        let hosts = HostListClient::new(settings.platform.host_list, CallOptions::default());
        runtime
            .handle()
            .spawn(follow_host_list(hosts, platform_tx.clone()));
        runtime
            .handle()
            .spawn(follow_configuration(objects.clone(), watching, platform_tx));
        let (stop, stop_rx) = watch::channel(false);
        let (stopped_tx, stopped) = watch::channel(false);
        let traffic = TrafficTasks {
            settings,
            clock,
            control: control.clone(),
            metrics,
            objects,
            stop: stop_rx,
        };
        traffic.spawn(runtime.handle(), listeners, stopped_tx)?;
        Ok(Self {
            _shutdown: shutdown,
            _runtime: runtime,
            control,
            stop,
            stopped,
        })
    }

    /// Returns the handle on the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Starts a planned stop. The host gives up its role as scheduler (the host that decides which
    /// request runs on which backend server of a service) and is no longer ready, still accepts
    /// requests until the load balancer has stopped sending them, and ends when the last open
    /// request has ended.
    pub fn stop(&self) {
        if !self.stop.send_replace(true) {
            info!("planned stop started");
        }
    }

    /// Waits until a planned stop is complete.
    pub async fn stopped(&mut self) {
        // The channel is closed if the traffic tasks ended without sending, which also completes
        // the stop.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}

/// Channel ends and metrics that are passed to the control thread. [`ControlChannels`] describes
/// the channels.
struct ControlParts {
    /// Resolves when the daemon is dropped.
    shutdown: oneshot::Receiver<()>,
    metrics: ControlMetrics,
    requests: mpsc::UnboundedReceiver<crate::control::ControlRequest>,
    platform: mpsc::UnboundedReceiver<super::control_loop::PlatformEvent>,
    view: watch::Sender<Arc<FleetView>>,
    watch_configuration: watch::Sender<bool>,
}

/// Listening sockets of the traffic threads.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    metrics: TcpListener,
}

impl Listeners {
    fn open(settings: &Settings, runtime: &Handle) -> Result<Self, DaemonError> {
        let _entered = runtime.enter();
        Ok(Self {
            callers: listen("callers", settings.listen.callers)?,
            operators: listen("operators", settings.listen.operators)?,
            metrics: listen("metrics", settings.listen.metrics)?,
        })
    }
}

/// Opens a listening socket. Must be called in the context of a `tokio` runtime.
fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let open = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    open().context(ListenSnafu { purpose, address })
}

/// Returns the identifier of this start of the process, which distinguishes it from earlier starts:
/// the wall-clock time in microseconds.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Runtime of the traffic threads. Dropping it stops them without waiting, so it can be dropped on
/// any thread, even inside another runtime. Contains `None` only while it is dropped.
struct TrafficRuntime(Option<Runtime>);

impl TrafficRuntime {
    fn start() -> Result<Self, DaemonError> {
        Builder::new_multi_thread()
            .thread_name("traffic")
            .worker_threads(TRAFFIC_THREADS)
            .enable_all()
            .build()
            .map(|runtime| Self(Some(runtime)))
            .context(ThreadSnafu)
    }

    fn handle(&self) -> &Handle {
        self.0
            .as_ref()
            .expect("the runtime is present until the drop")
            .handle()
    }
}

impl Drop for TrafficRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Number of traffic threads of one host.
const TRAFFIC_THREADS: usize = 4;

/// Time from the start of a planned stop during which new connections are still accepted. The load
/// balancer needs this time to notice that the host is no longer ready.
const READINESS_GRACE: Duration = Duration::from_secs(2);

/// Starts the control thread and waits until its listener for other hosts is open. The thread ends
/// when the daemon or the last [`ControlHandle`] is dropped.
fn spawn_control(
    settings: &Settings,
    clock: Clock,
    incarnation: Incarnation,
    parts: ControlParts,
) -> Result<(), DaemonError> {
    let identity = NodeIdentity {
        name: settings.host.name.clone(),
        domain: settings.host.domain.clone(),
        incarnation,
    };
    let options = PeerOptions {
        own: HostId::of(&settings.host.name),
        incarnation,
        key: settings.fleet.key.clone(),
        listen: settings.listen.peers,
        source: settings.fleet.source,
    };
    let (ready_tx, ready) = std_mpsc::channel();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control_thread(identity, options, clock, parts, &ready_tx))
        .context(ThreadSnafu)?;
    ready.recv().unwrap_or(Err(DaemonError::ControlEnded))
}

/// Main function of the control thread. Reports on `ready` whether the start succeeded, then runs
/// the event loop.
fn control_thread(
    identity: NodeIdentity,
    options: PeerOptions,
    clock: Clock,
    parts: ControlParts,
    ready: &std_mpsc::Sender<Result<(), DaemonError>>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(source) => {
            let _ = ready.send(Err(DaemonError::Thread { source }));
            return;
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let (links_tx, links_rx) = mpsc::unbounded_channel();
        let links = match Links::start(options, links_tx) {
            Ok(links) => links,
            Err(source) => {
                let _ = ready.send(Err(DaemonError::Peers { source }));
                return;
            }
        };
        let _ = ready.send(Ok(()));
        let node = Node::new(identity, clock.now());
        let channels = ControlChannels {
            requests: parts.requests,
            links: links_rx,
            platform: parts.platform,
            view: parts.view,
            watch_configuration: parts.watch_configuration,
            shutdown: parts.shutdown,
        };
        ControlLoop::new(node, links, clock, channels, parts.metrics)
            .run()
            .await;
    });
}

/// Inputs of the tasks that run on the traffic threads.
struct TrafficTasks {
    settings: Settings,
    clock: Clock,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    objects: ObjectClient,
    /// Becomes true when a planned stop starts.
    stop: watch::Receiver<bool>,
}

impl TrafficTasks {
    /// Starts the gateway, the operators' interface, the metrics listener and the task that carries
    /// out a planned stop. Sends on `stopped` when the stop is complete.
    fn spawn(
        self,
        runtime: &Handle,
        listeners: Listeners,
        stopped: watch::Sender<bool>,
    ) -> Result<(), DaemonError> {
        let metrics = self.metrics;
        let (close, close_rx) = watch::channel(false);
        let gateway = Gateway::new(GatewayParts {
            listener: listeners.callers,
            control: self.control.clone(),
            limits: self.settings.limits.clone(),
            clock: self.clock,
            records: Arc::new(Records::in_object_api(
                &self.objects,
                &self.settings.host.name,
            )),
            metrics: metrics.clone(),
            stop: close_rx,
        })
        .context(RandomSnafu)?;
        runtime.spawn(operator::serve(
            listeners.operators,
            OperatorParts {
                host: self.settings.host.name.clone(),
                key: self.settings.operators.key.clone(),
                control: self.control.clone(),
                editor: Editor::new(ConfigurationStore::over(self.objects.clone())),
            },
        ));
        runtime.spawn(crate::metrics::serve(
            listeners.metrics,
            metrics,
            self.control.clone(),
        ));
        runtime.spawn(async move {
            let drain = close_after_stop(self.stop, self.control, close);
            tokio::join!(gateway.serve(), drain);
            let _ = stopped.send(true);
        });
        Ok(())
    }
}

/// Makes the host not ready when the stop begins, and closes the gateway, which accepts requests of
/// callers, after [`READINESS_GRACE`].
async fn close_after_stop(
    mut stop: watch::Receiver<bool>,
    control: ControlHandle,
    close: watch::Sender<bool>,
) {
    if stop.wait_for(|stop| *stop).await.is_ok() {
        control.stop();
        tokio::time::sleep(READINESS_GRACE).await;
    }
    let _ = close.send(true);
}
