//! A request's claim on the control thread, from its arrival to its end.

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

/// Number of a ticket within one life of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(pub u64);

/// What the scheduler must know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Service that the request needs.
    pub service: ServiceId,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Estimated cost, in the unit of the service.
    pub estimate: u64,
    /// Time by which the request must have started.
    pub deadline: Timestamp,
    /// Hash of the prompt's prefix, zero for none.
    pub prefix: u64,
}

/// Decision of the fleet on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request to a backend server.
    Dispatch(DispatchOrder),
    /// Answer the caller that the request was not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Leave to send a request to one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The server.
    pub server: ServerId,
    /// Its name.
    pub server_name: CompactString,
    /// Its HTTP listener.
    pub address: SocketAddr,
    /// The first byte must be sent before this time, or the order is given back.
    pub deadline: Timestamp,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// How it ended.
    pub outcome: EndOutcome,
    /// True cost, in the unit of the service.
    pub cost: u64,
    /// Time from dispatch to the first byte of the answer body, if one arrived.
    pub first_byte: Option<Duration>,
    /// Hash of the instance name in the server's answer, zero if none was seen.
    pub instance: u64,
}

/// A message from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlRequest {
    /// A request waits for a verdict.
    Submit {
        /// Ticket of the request.
        key: TicketKey,
        /// The request.
        spec: RequestSpec,
        /// Where the verdicts go: one per bid.
        verdicts: mpsc::UnboundedSender<Verdict>,
    },
    /// An order was not used: no byte of the request was sent. The request waits again.
    ReturnOrder {
        /// Ticket of the request.
        key: TicketKey,
        /// Whether connecting to the server failed.
        unreachable: bool,
    },
    /// A running request has cost this much so far.
    Progress {
        /// Ticket of the request.
        key: TicketKey,
        /// Cost so far, in the unit of the service.
        cost: u64,
    },
    /// A dispatched request has ended.
    Finish {
        /// Ticket of the request.
        key: TicketKey,
        /// How it ended.
        report: EndReport,
    },
    /// The ticket was dropped without an end: the caller left.
    Abandon {
        /// Ticket of the request.
        key: TicketKey,
    },
    /// Asks for the state of the fleet as this host sees it.
    Status {
        /// Where the answer goes.
        reply: oneshot::Sender<Status>,
    },
    /// Offers a configuration that this host has just stored.
    OfferConfiguration {
        /// The configuration with its revision.
        configuration: Arc<crate::configuration::Configuration>,
    },
    /// Starts a planned stop: gives up roles and takes no new requests.
    Stop,
}

/// Handle of the traffic threads on the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::UnboundedSender<ControlRequest>,
    view: watch::Receiver<Arc<FleetView>>,
    next_key: Arc<std::sync::atomic::AtomicU64>,
}

impl ControlHandle {
    /// Makes a handle that sends to `tx` and reads the fleet from `view`.
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

    /// The latest reading of the fleet.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.borrow().clone()
    }

    /// Follows the readings of the fleet.
    pub fn watch_view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }

    /// Submits a request for scheduling.
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

    /// Offers a configuration that this host has just stored.
    pub fn offer_configuration(&self, configuration: Arc<crate::configuration::Configuration>) {
        self.send(ControlRequest::OfferConfiguration { configuration });
    }

    /// Starts a planned stop.
    pub fn stop(&self) {
        self.send(ControlRequest::Stop);
    }

    fn send(&self, req: ControlRequest) {
        // A closed channel means that the host is going down; waiters see their channel close.
        let _ = self.tx.send(req);
    }
}

/// A request's claim on the control thread. Dropping it gives the claim up.
#[derive(Debug)]
pub struct Ticket {
    key: TicketKey,
    control: ControlHandle,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    ended: bool,
}

impl Ticket {
    /// Waits for the next verdict. `None` means that the control thread has ended.
    pub async fn verdict(&mut self) -> Option<Verdict> {
        self.verdicts.recv().await
    }

    /// Gives an unused order back and waits in the queue again.
    pub fn return_order(&self, unreachable: bool) {
        self.control.send(ControlRequest::ReturnOrder {
            key: self.key,
            unreachable,
        });
    }

    /// Reports the cost so far of the running request.
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
