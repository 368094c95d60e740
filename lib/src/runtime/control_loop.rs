//! Event loop of the control thread.
//!
//! The control thread decides which request runs on which backend server; the traffic threads
//! handle the connections of callers. The [`Node`] contains the decision logic of the host and does
//! no I/O. The loop passes every event to it and carries out the actions that it returns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::control_metrics::ControlMetrics;
use super::control_metrics::METRICS_INTERVAL;
use crate::control::ControlRequest;
use crate::control::FleetView;
use crate::control::TicketKey;
use crate::control::Verdict;
use crate::host::HostList;
use crate::node::Node;
use crate::node::NodeAction;
use crate::node::NodeEvent;
use crate::peer::LinkEvent;
use crate::peer::Links;
use crate::platform::Object;
use crate::time::Clock;

/// Time between two timer events for the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// New data from the platform, the external system that stores the configuration and the host list.
#[derive(Debug)]
pub(super) enum PlatformEvent {
    /// The host list has a new revision.
    HostList(HostList),
    /// The configuration object has a new version.
    Configuration(Object),
}

/// The control thread's ends of its channels.
pub(super) struct ControlChannels {
    /// Requests from the traffic threads.
    pub(super) requests: mpsc::UnboundedReceiver<ControlRequest>,
    /// Messages from other hosts, and changes in the state of the links to them.
    pub(super) links: mpsc::UnboundedReceiver<LinkEvent>,
    /// New data from the platform.
    pub(super) platform: mpsc::UnboundedReceiver<PlatformEvent>,
    /// Publishes snapshots of the fleet to the traffic threads.
    pub(super) view: watch::Sender<Arc<FleetView>>,
    /// Tells the platform watch whether this host has to watch the configuration object. Other
    /// hosts receive the configuration from those that watch it.
    pub(super) watch_configuration: watch::Sender<bool>,
    /// Resolves when the daemon is dropped, even if handles on the control thread still exist.
    pub(super) shutdown: oneshot::Receiver<()>,
}

/// State of the control thread.
pub(super) struct ControlLoop {
    node: Node,
    links: Links,
    clock: Clock,
    channels: ControlChannels,
    metrics: ControlMetrics,
    /// Channel to the traffic threads for the decision (verdict) on each open request.
    verdicts: HashMap<TicketKey, mpsc::UnboundedSender<Verdict>>,
    /// Empty buffer, kept to reuse its allocation.
    actions: Vec<NodeAction>,
}

impl ControlLoop {
    pub(super) fn new(
        node: Node,
        links: Links,
        clock: Clock,
        channels: ControlChannels,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            node,
            links,
            clock,
            channels,
            metrics,
            verdicts: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until the daemon or the last handle on the control thread is dropped.
    pub(super) async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut update = tokio::time::interval(METRICS_INTERVAL);
        update.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut self.channels.shutdown => return,
                req = self.channels.requests.recv() => match req {
                    // While the daemon is dropped, the traffic threads abandon their requests.
                    // These must not be reported to other hosts: the drop has to look like a crash.
                    Some(_) if self.is_daemon_dropped() => return,
                    Some(req) => self.on_request(req),
                    None => return,
                },
                Some(event) = self.channels.links.recv() => self.on_link_event(event),
                Some(event) = self.channels.platform.recv() => self.on_platform_event(event),
                _ = tick.tick() => self.handle_event(NodeEvent::Tick),
                _ = update.tick() => {
                    self.metrics
                        .update(&self.node.status(), &self.links.counters());
                }
            }
        }
    }

    fn is_daemon_dropped(&mut self) -> bool {
        !matches!(self.channels.shutdown.try_recv(), Err(TryRecvError::Empty))
    }

    fn on_request(&mut self, req: ControlRequest) {
        let event = match req {
            ControlRequest::Submit {
                key,
                spec,
                verdicts,
            } => {
                self.verdicts.insert(key, verdicts);
                NodeEvent::Submit { ticket: key, spec }
            }
            ControlRequest::ReturnOrder { key, unreachable } => NodeEvent::ReturnOrder {
                ticket: key,
                unreachable,
            },
            ControlRequest::Progress { key, cost } => NodeEvent::Progress { ticket: key, cost },
            ControlRequest::Finish { key, report } => {
                self.verdicts.remove(&key);
                NodeEvent::Finish {
                    ticket: key,
                    report,
                }
            }
            ControlRequest::Abandon { key } => {
                self.verdicts.remove(&key);
                NodeEvent::Abandon { ticket: key }
            }
            ControlRequest::Status { reply } => {
                // Fails if the receiver has timed out.
                let _ = reply.send(self.node.status());
                return;
            }
            ControlRequest::OfferConfiguration { configuration } => {
                NodeEvent::ConfigurationStored(configuration)
            }
            ControlRequest::Stop => NodeEvent::Stop,
        };
        self.handle_event(event);
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        let event = match event {
            LinkEvent::Message {
                from,
                incarnation,
                message,
            } => NodeEvent::Message {
                from,
                incarnation,
                message,
            },
            LinkEvent::Up { host, incarnation } => NodeEvent::LinkUp { host, incarnation },
            LinkEvent::Down { host } => NodeEvent::LinkDown(host),
        };
        self.handle_event(event);
    }

    fn on_platform_event(&mut self, event: PlatformEvent) {
        let event = match event {
            PlatformEvent::HostList(list) => NodeEvent::HostList(list),
            PlatformEvent::Configuration(object) => NodeEvent::ConfigurationRead {
                revision: object.version,
                document: object.bytes,
            },
        };
        self.handle_event(event);
    }

    fn handle_event(&mut self, event: NodeEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform_action(action);
        }
        self.actions = actions;
    }

    fn perform_action(&mut self, action: NodeAction) {
        match action {
            NodeAction::Send { to, message } => self.links.send(to, message),
            NodeAction::Verdict { ticket, verdict } => {
                if let Some(tx) = self.verdicts.get(&ticket) {
                    // Fails if the caller has disconnected. The drop of its ticket is reported to
                    // the control thread separately.
                    let _ = tx.send(verdict);
                }
            }
            NodeAction::Connect(peers) => self.links.set_peers(peers),
            NodeAction::View(view) => {
                self.channels.view.send_replace(view);
            }
            NodeAction::WatchConfiguration(watching) => {
                self.channels.watch_configuration.send_replace(watching);
            }
        }
    }
}
