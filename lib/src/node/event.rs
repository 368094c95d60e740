//! Events that a node takes in, and actions that it returns.
//!
//! The control thread, or a test, passes the events to the node and carries out the actions. A
//! caller is a client whose request the host has accepted. The platform is the external system
//! that stores the host list and the configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::configuration::Configuration;
use crate::control::EndReport;
use crate::control::FleetView;
use crate::control::RequestSpec;
use crate::control::TicketKey;
use crate::control::Verdict;
use crate::host::HostList;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::PeerMessage;

/// An event that a node must react to.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A caller's request waits for a backend server.
    Submit {
        /// Ticket of the request.
        ticket: TicketKey,
        /// The request.
        spec: RequestSpec,
    },
    /// A traffic thread returns the dispatch order that it received in a [`Verdict::Dispatch`],
    /// without having sent a byte of the request.
    ReturnOrder {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Whether connecting to the server failed.
        unreachable: bool,
    },
    /// A traffic thread reports the cost so far of a dispatched request.
    Progress {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Cost since dispatch, in the unit of the service: tokens for a model, microseconds of
        /// server time for a service of any other kind.
        cost: u64,
    },
    /// A dispatched request has ended.
    Finish {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Outcome, cost and latency.
        report: EndReport,
    },
    /// The caller of a request has disconnected.
    Abandon {
        /// Ticket of the request.
        ticket: TicketKey,
    },
    /// A message from another host has arrived.
    Message {
        /// Sender.
        from: HostId,
        /// Incarnation of the sender, which rises with each restart.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The outgoing link to a host is ready.
    LinkUp {
        /// The host.
        host: HostId,
        /// Incarnation of the host, which rises with each restart.
        incarnation: Incarnation,
    },
    /// The outgoing link to a host has broken.
    LinkDown(HostId),
    /// The host list was read from the platform.
    HostList(HostList),
    /// The configuration was read from the platform.
    ConfigurationRead {
        /// Revision of the configuration; it rises with each change.
        revision: u64,
        /// The configuration as JSON text.
        document: Bytes,
    },
    /// This host has stored a configuration on the platform on behalf of an operator. The event
    /// brings it into force here without waiting for the platform's notification.
    ConfigurationStored(Arc<Configuration>),
    /// Regular timer event, which lets deadlines and intervals take effect.
    Tick,
    /// A planned stop of this host begins: it gives up its roles as scheduler and as watcher of the
    /// configuration (see [`NodeAction::WatchConfiguration`]). Open requests continue.
    Stop,
}

/// An action that the code which drives the node must carry out.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a message to another host.
    Send {
        /// Receiver.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// Tell the traffic threads to dispatch or refuse a waiting request.
    Verdict {
        /// Ticket of the request.
        ticket: TicketKey,
        /// The decision.
        verdict: Verdict,
    },
    /// Keep outgoing links to exactly these hosts, at the addresses of their listeners for peers.
    Connect(Vec<(HostId, SocketAddr)>),
    /// Publish a new snapshot of the configuration, the services and the backend servers to the
    /// traffic threads.
    View(Arc<FleetView>),
    /// Watch the configuration on the platform, or stop watching it.
    ///
    /// Only two hosts of each failure domain, the watchers, read it there, so that the load on the
    /// platform does not grow with the fleet. The role may move to other hosts.
    WatchConfiguration(bool),
}
