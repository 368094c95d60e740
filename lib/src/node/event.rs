//! Inputs and outputs of a node.

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

/// An input of a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A request waits.
    Submit {
        /// Ticket of the request.
        ticket: TicketKey,
        /// The request.
        spec: RequestSpec,
    },
    /// A dispatch order was not used.
    ReturnOrder {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Whether connecting to the server failed.
        unreachable: bool,
    },
    /// A running request has cost this much so far.
    Progress {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Cost so far, in the unit of the service.
        cost: u64,
    },
    /// A dispatched request has ended.
    Finish {
        /// Ticket of the request.
        ticket: TicketKey,
        /// How it ended.
        report: EndReport,
    },
    /// The caller of a request has left.
    Abandon {
        /// Ticket of the request.
        ticket: TicketKey,
    },
    /// A message of another host.
    Message {
        /// Sender.
        from: HostId,
        /// Life of the sender.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// The link to a host is ready.
    LinkUp {
        /// The host.
        host: HostId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The link to a host broke.
    LinkDown(HostId),
    /// The host list was read.
    HostList(HostList),
    /// The configuration was read from the platform.
    ConfigurationRead {
        /// Version of the object.
        revision: u64,
        /// The object, JSON text.
        document: Bytes,
    },
    /// This host has stored a configuration on the platform.
    ConfigurationStored(Arc<Configuration>),
    /// Time has passed.
    Tick,
    /// An operator or the platform stops this host.
    Stop,
}

/// An output of a node.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a message to another host.
    Send {
        /// Receiver.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// Give a waiting request its verdict.
    Verdict {
        /// Ticket of the request.
        ticket: TicketKey,
        /// The verdict.
        verdict: Verdict,
    },
    /// Keep links to exactly these hosts.
    Connect(Vec<(HostId, SocketAddr)>),
    /// Show the traffic threads a new reading of the fleet.
    View(Arc<FleetView>),
    /// Watch the configuration on the platform, or stop watching it.
    WatchConfiguration(bool),
}
