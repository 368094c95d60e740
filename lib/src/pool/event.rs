//! Inputs and outputs of a shard's scheduler.

use crate::host::ServiceKind;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::message::Announcement;
use crate::message::Bid;
use crate::message::Finished;
use crate::message::GrantReturn;
use crate::message::Handover;
use crate::message::PeerMessage;
use crate::message::Progress;
use crate::message::Pull;
use crate::message::Summary;
use crate::message::Totals;
use crate::message::Withdrawal;

/// Key of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// Service of the shard.
    pub service: ServiceId,
    /// Failure domain of the shard.
    pub domain: DomainId,
}

/// A backend server of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolServer {
    /// The server.
    pub server: ServerId,
    /// Kind of the service on it.
    pub kind: ServiceKind,
    /// Whether it takes new work: listed, not leaving, and not out of service.
    pub usable: bool,
}

/// Hosts and servers that concern a shard, replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolMembers {
    /// Every entry host that is listed or alive, of all failure domains: it may have dispatched
    /// requests to the servers of the shard.
    pub listed: Vec<HostId>,
    /// Hosts of `listed` that are alive.
    pub alive: Vec<HostId>,
    /// Servers of the shard.
    pub servers: Vec<PoolServer>,
    /// Schedulers of the same service in other failure domains.
    pub peers: Vec<(DomainId, HostId)>,
}

/// An input of a shard's scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// Hosts or servers changed.
    Members(PoolMembers),
    /// A request waits.
    Bid(Bid),
    /// A waiting request is gone.
    Withdrawal(Withdrawal),
    /// A grant was not used.
    GrantReturn(GrantReturn),
    /// A dispatched request has ended. The total belongs to life `incarnation` of the gateway.
    Finished {
        /// Life of the gateway that reports.
        incarnation: Incarnation,
        /// The end of the request.
        finished: Finished,
    },
    /// A running request has cost more.
    Progress(Progress),
    /// A gateway says everything that concerns the shard.
    Announcement {
        /// The gateway.
        from: HostId,
        /// Its life.
        incarnation: Incarnation,
        /// What it says.
        announcement: Announcement,
    },
    /// A gateway has ended or restarted: what it ran through earlier lives is gone.
    GatewayLost(HostId),
    /// Service given, told by the scheduler of another shard.
    Totals(Totals),
    /// Free capacity and backlog of another shard.
    Summary {
        /// Its scheduler.
        from: HostId,
        /// What it says.
        summary: Summary,
    },
    /// Another shard asks for bids.
    Pull {
        /// Its scheduler.
        from: HostId,
        /// What it asks for.
        pull: Pull,
    },
    /// Another shard hands bids over.
    Handover(Handover),
    /// Time has passed.
    Tick,
}

/// An output of a shard's scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Send a message to a host, which may be the scheduler's own.
    Send {
        /// Receiver.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
}
