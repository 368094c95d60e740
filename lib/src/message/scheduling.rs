//! Messages between gateways, schedulers and the home hosts of slots, which decide which request is
//! sent to which backend server.
//!
//! A gateway (a host that serves callers) bids for a server, the scheduler responds with a grant or
//! a refusal, and the gateway reports the end of the request. Each service has one scheduler per
//! failure domain; the scheduler, its queue and its backend servers are together called a *shard*.
//! Costs are in the unit of the service: tokens for a model service (a language model),
//! microseconds of server time for a plain one (any other HTTP service).
//!
//! A *slot* is one of the concurrent requests that a server without a learned limit may run. Its
//! *home host* issues permits for it, so that two schedulers that are active at the same time
//! cannot both use the slot. An *incarnation* is one process run of a host.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;

/// A waiting request, announced to the scheduler. A repeated bid for the same request has no
/// effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bid {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service that the request needs.
    pub service: ServiceId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Estimated cost, in the unit of the service.
    pub estimate: u64,
    /// Time left until the request must start on a server, microseconds.
    pub remaining_us: u64,
    /// Hash of the prompt's prefix, zero for none. Requests with the same hash benefit from the
    /// same server's prompt cache.
    pub prefix: u64,
}

/// Withdraws the bid for a request, for example because its caller disconnected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Withdrawal {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service that the request needed.
    pub service: ServiceId,
}

/// Phase of a backend server while its limit on concurrent requests is being learned.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServerPhase {
    /// Capacity unknown: at most one request at a time.
    #[default]
    Cold,
    /// Capacity being probed: the limit on concurrent requests grows.
    Warming,
    /// Capacity known: the learned limit on concurrent requests applies.
    Warm,
}

/// Permission to send one request to one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Backend server to use.
    pub server: ServerId,
    /// Hash of the server's instance name known to the scheduler, zero if unknown. The name changes
    /// when the server restarts.
    pub instance: u64,
    /// Phase of the server, as known to the scheduler.
    pub phase: ServerPhase,
    /// Limit on concurrent requests of the server.
    pub limit: u32,
    /// Slot for which the gateway must get a permit from the slot's home host before the dispatch.
    /// Unused if the server is warm.
    pub slot: u32,
    /// Time until the grant expires, microseconds, counted from the scheduler's decision.
    pub remaining_us: u64,
    /// Time at which the grant expires on the gateway's clock, microseconds. The sending host
    /// computes it from the clock reading in the gateway's heartbeats, so that a delayed grant
    /// still expires in time.
    pub expires_at_us: u64,
}

/// Why a request is not dispatched.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The limit on waiting requests of the workspace is reached.
    #[default]
    QueueFull,
    /// The request is not expected to start before its deadline.
    DeadlineUnreachable,
    /// The deadline for the start passed while the request was waiting.
    DeadlinePassed,
    /// No backend server offers the service.
    NoServer,
    /// No host that schedules the service can be reached.
    NoScheduler,
    /// The host is stopping.
    Stopping,
}

/// Refusal of a bid. The scheduler sends nothing further for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry, milliseconds.
    pub retry_after_ms: u64,
}

/// Return of an unused grant: no byte of the request was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantReturn {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Server of the grant.
    pub server: ServerId,
    /// Whether the grant is returned because connecting to the server failed.
    pub unreachable: bool,
}

/// How a dispatched request ended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EndOutcome {
    /// A complete response arrived.
    #[default]
    Complete,
    /// The caller disconnected, and the request was cancelled.
    Cancelled,
    /// The server refused the request because it was overloaded or not ready.
    Rejected,
    /// The connection broke, or the response was malformed, truncated or late.
    Failed,
}

/// End of a dispatched request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Server that ran it.
    pub server: ServerId,
    /// Hash of the instance name in the server's response, zero if there was none.
    pub instance: u64,
    /// How the request ended.
    pub outcome: EndOutcome,
    /// Measured cost, in the unit of the service.
    pub cost: u64,
    /// Time from the dispatch to the first byte of the response body, microseconds, zero if not
    /// measured.
    pub first_byte_us: u64,
    /// Cumulative cost of the workspace on this service in this incarnation (process run) of the
    /// gateway. It makes up for lost or repeated messages.
    pub total: u64,
}

/// Progress of a running request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Identifier of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Cost so far, in the unit of the service.
    pub cost: u64,
}

/// A request that a gateway has dispatched and that has not ended, as part of an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Server that runs it.
    pub server: ServerId,
    /// Estimated cost, in the unit of the service.
    pub estimate: u64,
    /// Cost so far, in the unit of the service.
    pub cost: u64,
}

/// A gateway's latest observation of a backend server, from grants and responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSight {
    /// The backend server.
    pub server: ServerId,
    /// Hash of the server's instance name, zero if unknown.
    pub instance: u64,
    /// Phase of the server in the latest grant.
    pub phase: ServerPhase,
    /// Limit of the server in the latest grant.
    pub limit: u32,
}

/// Complete state of one gateway for the scheduler of a shard (one service in one failure domain).
/// It replaces everything that the scheduler knew of that gateway, so that a new scheduler can take
/// over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Service of the shard.
    pub service: ServiceId,
    /// Failure domain of the shard.
    pub domain: DomainId,
    /// Requests that wait for servers of this shard.
    pub bids: Vec<Bid>,
    /// Dispatched requests that run on servers of this shard.
    pub running: Vec<Running>,
    /// The gateway's latest observations of the shard's servers.
    pub sights: Vec<ServerSight>,
    /// Cumulative cost per workspace on this service in this incarnation of the gateway.
    pub totals: Vec<TotalCell>,
}

/// Asks the home host of a slot for a permit to use it. The home host gives each slot to one
/// request at a time, also while two schedulers grant the same server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitRequest {
    /// Request that is to use the slot.
    pub request: RequestId,
    /// The backend server.
    pub server: ServerId,
    /// Number of the slot on its server, from zero.
    pub slot: u32,
}

/// Answer to a permit request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Identifier of the request.
    pub request: RequestId,
    /// The backend server.
    pub server: ServerId,
    /// Number of the slot on its server, from zero.
    pub slot: u32,
    /// Whether the slot may be used. If so, it stays occupied until it is released.
    pub granted: bool,
}

/// Releases a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitRelease {
    /// The request that used the slot.
    pub request: RequestId,
    /// The backend server.
    pub server: ServerId,
    /// Number of the slot on its server, from zero.
    pub slot: u32,
}

/// All slots of one home host that a gateway holds. It replaces everything that the home host knew
/// of the gateway's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitHoldings {
    /// Slots in use, each as in the permit request for it.
    pub held: Vec<PermitRequest>,
    /// Revision of the host list from which the gateway computes the home hosts of slots.
    pub list_revision: u64,
}

/// Cumulative cost that one incarnation of a gateway has charged to a workspace on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalCell {
    /// The gateway that charged the cost.
    pub origin: HostId,
    /// Incarnation of the gateway; a restart begins at zero cost in a new cell.
    pub incarnation: Incarnation,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Cumulative cost, in the unit of the service.
    pub cost: u64,
}

/// Cumulative costs that changed since the last message to the same scheduler. Schedulers of a
/// service exchange them to charge each workspace for its use of all shards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// The service.
    pub service: ServiceId,
    /// Changed cells, each with its new cumulative cost.
    pub cells: Vec<TotalCell>,
}

/// Backlog of one workspace that has waiting bids or requests that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BacklogEntry {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Number of waiting bids.
    pub queued: u32,
    /// Cost that the sender has charged to the workspace for requests that have not ended. It is
    /// not part of the totals yet.
    pub counter: u64,
}

/// Free capacity and backlog of a shard, sent to the service's other shards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Service of the shard.
    pub service: ServiceId,
    /// Failure domain of the shard.
    pub domain: DomainId,
    /// Number of requests that the shard could start immediately, with or without a permit for a
    /// slot.
    pub free_slots: u32,
    /// Workspaces with waiting bids or with requests that have not ended.
    pub backlog: Vec<BacklogEntry>,
}

/// Asks another shard to hand over waiting bids, because the sender has free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// Service of both shards.
    pub service: ServiceId,
    /// Failure domain of the shard that asks.
    pub domain: DomainId,
    /// Workspace whose bids are wanted, or `None` for any.
    pub workspace: Option<WorkspaceId>,
    /// Maximum number of bids.
    pub count: u32,
}

/// Bids handed over in response to a [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Service of both shards.
    pub service: ServiceId,
    /// The bids, in the order of the sender's queue.
    pub bids: Vec<Bid>,
}
