//! The loop of the control thread: feeds events to the node and performs its actions.

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

/// Time between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// What the platform tells the control thread.
#[derive(Debug)]
pub(super) enum PlatformEvent {
    /// A reading of the host list.
    HostList(HostList),
    /// A reading of the configuration object.
    Configuration(Object),
}

/// The channels of the control thread.
pub(super) struct ControlChannels {
    /// Requests of the traffic threads.
    pub(super) requests: mpsc::UnboundedReceiver<ControlRequest>,
    /// Events of the links to other hosts.
    pub(super) links: mpsc::UnboundedReceiver<LinkEvent>,
    /// Readings of the platform.
    pub(super) platform: mpsc::UnboundedReceiver<PlatformEvent>,
    /// Where readings of the fleet go.
    pub(super) view: watch::Sender<Arc<FleetView>>,
    /// Whether the configuration is to be watched.
    pub(super) watch_configuration: watch::Sender<bool>,
    /// Closes when the daemon is dropped, whoever still holds a handle on the control thread.
    pub(super) shutdown: oneshot::Receiver<()>,
}

/// State of the control thread.
pub(super) struct ControlLoop {
    node: Node,
    links: Links,
    clock: Clock,
    channels: ControlChannels,
    metrics: ControlMetrics,
    verdicts: HashMap<TicketKey, mpsc::UnboundedSender<Verdict>>,
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

    /// Runs until the daemon or every handle of the traffic threads is dropped.
    pub(super) async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut update = tokio::time::interval(METRICS_INTERVAL);
        update.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut self.channels.shutdown => return,
                req = self.channels.requests.recv() => match req {
                    // What the end of the traffic threads brings is not told any more.
                    Some(_) if self.has_ended() => return,
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

    fn has_ended(&mut self) -> bool {
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
                // The receiver may have given up waiting.
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
                    // A caller that has left drops its ticket, which says so by itself.
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
