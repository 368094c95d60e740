//! Start and planned stop of one host.

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

/// Why a host could not be started.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// What the listener is for.
        purpose: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Reason given by the operating system.
        source: std::io::Error,
    },
    /// The links to other hosts could not be started.
    #[snafu(display("cannot start the links to other hosts: {source}"))]
    Peers {
        /// Reason.
        source: PeerError,
    },
    /// A thread or its runtime could not be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// Reason given by the operating system.
        source: std::io::Error,
    },
    /// The control thread ended before it was ready.
    #[snafu(display("the control thread ended before it was ready"))]
    ControlEnded,
    /// Metrics could not be registered.
    #[snafu(display("cannot register metrics: {source}"))]
    Metrics {
        /// Reason.
        source: prometheus::Error,
    },
    /// The system gave no random numbers.
    #[snafu(display("cannot draw random numbers: {source}"))]
    Random {
        /// Reason.
        source: getrandom::Error,
    },
}

/// A running host of the fleet. Dropping it ends the host as a crash does: nothing more is told to
/// other hosts.
pub struct Daemon {
    /// Held so that the control thread runs. Dropped first, so that it does not report the ends of
    /// the requests that the traffic threads drop.
    _shutdown: oneshot::Sender<()>,
    /// Held so that its tasks run.
    _runtime: TrafficRuntime,
    control: ControlHandle,
    stop: watch::Sender<bool>,
    stopped: watch::Receiver<bool>,
}

impl Daemon {
    /// Starts a host. Returns once all its listeners are open.
    ///
    /// # Errors
    ///
    /// See [`DaemonError`]. Nothing is left running.
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

    /// The handle on the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Starts a planned stop: the host gives up its roles and its readiness, takes requests until
    /// the balancer has moved away, and ends once the last open request has ended.
    pub fn stop(&self) {
        if !self.stop.send_replace(true) {
            info!("planned stop");
        }
    }

    /// Waits for the end of a planned stop.
    pub async fn stopped(&mut self) {
        // A closed channel means that the traffic tasks have ended.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}

/// Channels that the control thread is given.
struct ControlParts {
    shutdown: oneshot::Receiver<()>,
    metrics: ControlMetrics,
    requests: mpsc::UnboundedReceiver<crate::control::ControlRequest>,
    platform: mpsc::UnboundedReceiver<super::control_loop::PlatformEvent>,
    view: watch::Sender<Arc<FleetView>>,
    watch_configuration: watch::Sender<bool>,
}

/// Listeners of the traffic threads.
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

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let open = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    open().context(ListenSnafu { purpose, address })
}

/// A life is told from earlier ones by the wall-clock time of its start, microseconds.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// The traffic threads. They end at once when it is dropped, which may happen on any thread.
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
        self.0.as_ref().expect("only a drop takes it").handle()
    }
}

impl Drop for TrafficRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Threads that carry the traffic of one host.
const TRAFFIC_THREADS: usize = 4;

/// Time from the start of a planned stop during which new connections are still taken, because
/// the balancer needs it to see that the host is no longer ready.
const READINESS_GRACE: Duration = Duration::from_secs(2);

/// Starts the control thread and waits until its links are open. The thread ends when the daemon
/// or the last handle on it is dropped.
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

/// What the traffic threads are made of.
struct TrafficTasks {
    settings: Settings,
    clock: Clock,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    objects: ObjectClient,
    stop: watch::Receiver<bool>,
}

impl TrafficTasks {
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

/// Fails readiness when the stop begins, and closes the gateway after the notice.
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
