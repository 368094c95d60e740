//! Tickets, by which traffic threads follow their requests, and the messages to the control thread.
//!
//! A traffic thread submits a request to the control thread and gets a [`Ticket`]. It waits on the
//! ticket for a verdict, sends the request to the granted server, and reports the end. A ticket
//! that is dropped without such a report abandons its request, so that the request of a
//! disconnected caller occupies no server capacity.
//!
//! The scheduler, which runs on one of the hosts, decides which backend server runs which request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::FleetView;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;
use crate::message::EndOutcome;
use crate::message::RefusalReason;
use crate::status::Status;
use crate::time::Timestamp;

/// Number of a ticket, unique on its host until the host restarts. The control thread derives from
/// it the request id that is unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(pub u64);

/// Properties of a request that the scheduler needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Service that the request needs.
    pub service: ServiceId,
    /// Workspace (customer) that is charged.
    pub workspace: WorkspaceId,
    /// Estimated cost, in the unit of the service: tokens for a model, microseconds of server time
    /// for a plain service.
    pub estimate: u64,
    /// Time after which a request that still waits is refused.
    pub deadline: Timestamp,
    /// Hash of the beginning of the prompt, zero for none. Requests with the same prefix run faster
    /// on a server that has it cached.
    pub prefix: u64,
}

/// Decision on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request to a backend server.
    Dispatch(DispatchOrder),
    /// Tell the caller that the request was not run.
    Refuse {
        /// Why it was refused.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Permission to send a request to one backend server before a deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The server.
    pub server: ServerId,
    /// Name of the server in the host list.
    pub server_name: CompactString,
    /// Address of the server's HTTP listener.
    pub address: SocketAddr,
    /// The first byte of the request must be sent before this time. Otherwise the order must be
    /// returned with [`Ticket::return_order`].
    pub deadline: Timestamp,
}

/// Report on the end of a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Whether the request completed, failed, was rejected by the server or was cancelled.
    pub outcome: EndOutcome,
    /// Actual cost, in the unit of the service.
    pub cost: u64,
    /// Time from dispatch to the first byte of the response body, if one arrived.
    pub first_byte: Option<Duration>,
    /// Hash of the instance name in the server's response, zero if there was none. It changes when
    /// the server restarts.
    pub instance: u64,
}

/// A message from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlRequest {
    /// Submits a request, which then waits for a verdict.
    Submit {
        /// Ticket of the request.
        key: TicketKey,
        /// The request.
        spec: RequestSpec,
        /// Channel for the verdicts: one, and another one after each returned order.
        verdicts: mpsc::UnboundedSender<Verdict>,
    },
    /// Returns an unused dispatch order: no byte of the request was sent. The request then waits
    /// for another verdict.
    ReturnOrder {
        /// Ticket of the request.
        key: TicketKey,
        /// Whether connecting to the server failed.
        unreachable: bool,
    },
    /// Reports the cost so far of a dispatched request.
    Progress {
        /// Ticket of the request.
        key: TicketKey,
        /// Cost since dispatch, in the unit of the service.
        cost: u64,
    },
    /// Reports the end of a dispatched request.
    Finish {
        /// Ticket of the request.
        key: TicketKey,
        /// Outcome, cost and latency.
        report: EndReport,
    },
    /// Ends a request whose ticket was dropped without a report, because the caller disconnected.
    Abandon {
        /// Ticket of the request.
        key: TicketKey,
    },
    /// Asks for the state of the fleet as this host sees it.
    Status {
        /// Channel for the status.
        reply: oneshot::Sender<Status>,
    },
    /// Offers a configuration that this host has just stored on the platform (the external system
    /// that the fleet runs on), so that it comes into force here without waiting for the platform's
    /// notification.
    OfferConfiguration {
        /// The configuration, with the revision under which it was stored.
        configuration: Arc<crate::configuration::Configuration>,
    },
    /// Starts a planned stop: the host gives up its roles as scheduler and as watcher, which reads
    /// the configuration from the platform for its failure domain. Its readiness check fails. Open
    /// requests continue.
    Stop,
}

/// Handle through which the traffic threads reach the control thread. Clones share one channel.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::UnboundedSender<ControlRequest>,
    view: watch::Receiver<Arc<FleetView>>,
    /// Number of the next ticket, shared by all clones.
    next_key: Arc<std::sync::atomic::AtomicU64>,
}

impl ControlHandle {
    /// Creates a handle that sends to `tx` and reads snapshots of the fleet from `view`.
    pub fn new(
        tx: mpsc::UnboundedSender<ControlRequest>,
        view: watch::Receiver<Arc<FleetView>>,
    ) -> Self {
        Self {
            tx,
            view,
            next_key: Arc::default(),
        }
    }

    /// Latest snapshot of the fleet.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.borrow().clone()
    }

    /// Receiver that is notified of each new snapshot of the fleet.
    pub fn watch_view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }

    /// Submits a request for scheduling and returns its ticket.
    pub fn submit(&self, spec: RequestSpec) -> Ticket {
        let key = TicketKey(
            self.next_key
                .fetch_add(1, std::sync::atomic::Ordering::Relaxed),
        );
        let (verdicts, rx) = mpsc::unbounded_channel();
        self.send(ControlRequest::Submit {
            key,
            spec,
            verdicts,
        });
        Ticket {
            key,
            control: self.clone(),
            verdicts: rx,
            ended: false,
        }
    }

    /// The state of the fleet as this host sees it, or `None` if the control thread has ended.
    pub async fn status(&self) -> Option<Status> {
        let (reply, rx) = oneshot::channel();
        self.send(ControlRequest::Status { reply });
        rx.await.ok()
    }

    /// Offers a configuration that this host has just stored on the platform. It comes into force
    /// if its revision is newer than the one in force.
    pub fn offer_configuration(&self, configuration: Arc<crate::configuration::Configuration>) {
        self.send(ControlRequest::OfferConfiguration { configuration });
    }

    /// Starts a planned stop of this host.
    pub fn stop(&self) {
        self.send(ControlRequest::Stop);
    }

    fn send(&self, req: ControlRequest) {
        // A closed channel means that the control thread has ended. Callers that wait for a reply
        // see their own channel close.
        let _ = self.tx.send(req);
    }
}

/// Handle of one submitted request. Dropping it before [`finish`](Self::finish) abandons the
/// request.
#[derive(Debug)]
pub struct Ticket {
    key: TicketKey,
    control: ControlHandle,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    /// Whether the end has been reported.
    ended: bool,
}

impl Ticket {
    /// Waits for the next verdict. `None` means that the control thread has ended.
    pub async fn verdict(&mut self) -> Option<Verdict> {
        self.verdicts.recv().await
    }

    /// Returns an unused order; the request then waits for another verdict. `unreachable` says
    /// whether the connection to the server failed.
    pub fn return_order(&self, unreachable: bool) {
        self.control.send(ControlRequest::ReturnOrder {
            key: self.key,
            unreachable,
        });
    }

    /// Reports the cost of the dispatched request so far, in the unit of the service.
    pub fn progress(&self, cost: u64) {
        self.control.send(ControlRequest::Progress {
            key: self.key,
            cost,
        });
    }

    /// Reports the end of the dispatched request.
    pub fn finish(mut self, report: EndReport) {
        self.ended = true;
        self.control.send(ControlRequest::Finish {
            key: self.key,
            report,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.ended {
            self.control.send(ControlRequest::Abandon { key: self.key });
        }
    }
}
