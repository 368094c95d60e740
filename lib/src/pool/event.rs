//! Inputs and outputs of a shard's scheduler.
//!
//! A shard (pool) is the set of backend servers of one service in one failure domain. An entry host
//! is a host that accepts requests from callers; its gateway is the part that accepts them and
//! dispatches them to servers. A bid stands for a request that waits at its gateway. A grant
//! permits the gateway to dispatch the request to one server.

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

/// Identifies a shard by its service and failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// Service that the servers of the shard offer.
    pub service: ServiceId,
    /// Failure domain that the servers of the shard are in.
    pub domain: DomainId,
}

/// A backend server of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolServer {
    /// Hash of the server's name in the host list.
    pub server: ServerId,
    /// Kind of the service that the server offers.
    pub kind: ServiceKind,
    /// Whether the server takes new requests: it is listed, not leaving and not out of service.
    pub usable: bool,
}

/// Hosts and servers that concern a shard. Each value replaces the previous one as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolMembers {
    /// Every entry host of any failure domain that is in the host list, and every one that is alive
    /// but not listed, because it may have dispatched requests to the servers of the shard.
    pub listed: Vec<HostId>,
    /// Subset of `listed` that is considered alive.
    pub alive: Vec<HostId>,
    /// Backend servers of the shard.
    pub servers: Vec<PoolServer>,
    /// Hosts that run the schedulers of the same service in other failure domains.
    pub peers: Vec<(DomainId, HostId)>,
}

/// An input of a shard's scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// The hosts or servers have changed.
    Members(PoolMembers),
    /// A request waits for a server. A repeated bid has no effect, except that the grant is sent
    /// again if the request already has one.
    Bid(Bid),
    /// A gateway no longer wants a server of this shard for a waiting request, for example because
    /// the caller has disconnected or another shard has granted the request.
    Withdrawal(Withdrawal),
    /// A gateway returns a grant without having sent any byte of the request to the server.
    GrantReturn(GrantReturn),
    /// A dispatched request has ended.
    Finished {
        /// Incarnation of the reporting gateway, to which the cumulative cost in `finished`
        /// belongs.
        incarnation: Incarnation,
        /// Outcome and cost of the request.
        finished: Finished,
    },
    /// Cost so far of a request that is still running.
    Progress(Progress),
    /// Complete state of a gateway with regard to this shard: waiting and running requests, costs.
    Announcement {
        /// Gateway that sent the announcement.
        from: HostId,
        /// Incarnation of that gateway.
        incarnation: Incarnation,
        /// Replaces what the scheduler knew of that gateway.
        announcement: Announcement,
    },
    /// The requests of a gateway no longer count, because its host has restarted, has been
    /// considered dead for some time, or is dead and no longer in the host list.
    GatewayLost(HostId),
    /// Cumulative costs of the workspaces' requests, sent by the scheduler of another shard.
    Totals(Totals),
    /// Free capacity of another shard, its waiting bids, and its charges for requests that have not
    /// ended (the cost that it counts for each workspace in advance).
    Summary {
        /// Host of the other shard's scheduler.
        from: HostId,
        /// Replaces the previous summary of that shard.
        summary: Summary,
    },
    /// Another shard asks for waiting bids, to grant them on its own servers.
    Pull {
        /// Host of the other shard's scheduler.
        from: HostId,
        /// Number of bids wanted, and of which workspace.
        pull: Pull,
    },
    /// Bids that another shard sends in answer to a pull.
    Handover(Handover),
    /// Periodic event, for expired deadlines and updates to the other shards.
    Tick,
}

/// An output of a shard's scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Send a message to a host, which may be the one that runs this scheduler.
    Send {
        /// Receiving host.
        to: HostId,
        /// Message to send.
        message: PeerMessage,
    },
}
