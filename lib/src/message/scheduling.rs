//! Messages that decide which request is dispatched to which backend server.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;

/// A waiting request. Sending a bid again for the same request changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bid {
    /// The request.
    pub request: RequestId,
    /// Service that the request needs.
    pub service: ServiceId,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Estimated cost, in the unit of the service.
    pub estimate: u64,
    /// Time until the request must have started, microseconds.
    pub remaining_us: u64,
    /// Hash of the prompt's prefix, zero for none.
    pub prefix: u64,
}

/// A waiting request that its gateway has given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Withdrawal {
    /// The request.
    pub request: RequestId,
    /// Service that it waited for.
    pub service: ServiceId,
}

/// State of a backend server as far as its capacity is known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServerPhase {
    /// Bears one request at a time.
    #[default]
    Cold,
    /// Bears a growing number of requests.
    Warming,
    /// Bears its learnt limit.
    Warm,
}

/// Leave to dispatch one request to one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Backend server to use.
    pub server: ServerId,
    /// Hash of the server's instance name as the scheduler knows it, zero if unknown.
    pub instance: u64,
    /// Phase of the server.
    pub phase: ServerPhase,
    /// Requests that the server bears at once.
    pub limit: u32,
    /// Slot to obtain from its home host before the dispatch, unless the server is warm.
    pub slot: u32,
    /// Time until the grant lapses, microseconds, counted from the scheduler's decision.
    pub remaining_us: u64,
    /// When the grant lapses on the clock of the gateway, microseconds. The node sets it from the
    /// clock in the gateway's heartbeats, so that a message held up on its way lapses in time.
    pub lapses_at_us: u64,
}

/// Why a request is not served.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue of the workspace is full.
    #[default]
    QueueFull,
    /// The request cannot start before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No backend server offers the service.
    NoServer,
    /// No host that schedules the service can be reached.
    NoScheduler,
    /// The host is stopping.
    Stopping,
}

/// Final answer to a bid that will not be served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// When the caller may come back, milliseconds from now.
    pub retry_after_ms: u64,
}

/// A grant that was not used: no byte of the request was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantReturn {
    /// The request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Server of the grant.
    pub server: ServerId,
    /// Whether connecting to the server failed.
    pub unreachable: bool,
}

/// How a dispatched request ended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EndOutcome {
    /// A whole answer arrived.
    #[default]
    Complete,
    /// The caller left and the request was cancelled.
    Cancelled,
    /// The server refused the request as overloaded or not ready.
    Rejected,
    /// The connection broke, or the answer was malformed, truncated or late.
    Failed,
}

/// End of a dispatched request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Server that ran it.
    pub server: ServerId,
    /// Hash of the instance name in the server's answer, zero if none was seen.
    pub instance: u64,
    /// How it ended.
    pub outcome: EndOutcome,
    /// True cost, in the unit of the service.
    pub cost: u64,
    /// Time to the first byte of the answer body, microseconds, zero if there was none.
    pub first_byte_us: u64,
    /// Cumulative cost of the workspace on this service in this life of the gateway.
    pub total: u64,
}

/// Cost so far of a running request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Cost so far, in the unit of the service.
    pub cost: u64,
}

/// A request that a gateway has dispatched and that has not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Server that runs it.
    pub server: ServerId,
    /// Estimated cost, in the unit of the service.
    pub estimate: u64,
    /// Cost so far, in the unit of the service.
    pub cost: u64,
}

/// What a gateway last learnt of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSight {
    /// The server.
    pub server: ServerId,
    /// Hash of its instance name, zero if unknown.
    pub instance: u64,
    /// Phase in the latest grant.
    pub phase: ServerPhase,
    /// Limit in the latest grant.
    pub limit: u32,
}

/// Everything that the scheduler of a shard must know of one gateway. It replaces all that the
/// scheduler knew of that gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Service of the shard.
    pub service: ServiceId,
    /// Failure domain of the shard.
    pub domain: DomainId,
    /// Requests that wait for this shard.
    pub bids: Vec<Bid>,
    /// Requests that run on servers of this shard.
    pub running: Vec<Running>,
    /// What the gateway learnt of the shard's servers.
    pub sights: Vec<ServerSight>,
    /// Cumulative cost per workspace on this service in this life of the gateway.
    pub totals: Vec<TotalCell>,
}

/// Asks the home host of a slot for leave to use it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitRequest {
    /// The request that would use the slot.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// Number of the slot, from zero.
    pub slot: u32,
}

/// Answer to a permit request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitAnswer {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// Number of the slot.
    pub slot: u32,
    /// Whether the slot may be used. It is then occupied until it is released.
    pub granted: bool,
}

/// Frees a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitRelease {
    /// The request that used the slot.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// Number of the slot.
    pub slot: u32,
}

/// The slots that a gateway holds on a home host. It replaces all that the home host knew of the
/// gateway's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitHoldings {
    /// Slots in use, as they were asked for.
    pub held: Vec<PermitRequest>,
    /// Revision of the host list by which the gateway finds the homes of slots.
    pub list_revision: u64,
}

/// Cumulative cost that one life of a gateway has charged to a workspace on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalCell {
    /// The gateway.
    pub origin: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Cumulative cost, in the unit of the service.
    pub cost: u64,
}

/// Cells that changed since the last message to the same scheduler.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// The service.
    pub service: ServiceId,
    /// Changed cells.
    pub cells: Vec<TotalCell>,
}

/// A workspace with waiting bids or with requests that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BacklogEntry {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Waiting bids.
    pub queued: u32,
    /// Service that the sender has charged to the workspace for requests that have not ended. It
    /// is not in the totals yet.
    pub counter: u64,
}

/// Free capacity and backlog of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Service of the shard.
    pub service: ServiceId,
    /// Failure domain of the shard.
    pub domain: DomainId,
    /// Requests that the shard could start at once.
    pub free_slots: u32,
    /// Workspaces with waiting bids or with requests that have not ended.
    pub backlog: Vec<BacklogEntry>,
}

/// Asks another shard for waiting bids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pull {
    /// Service of both shards.
    pub service: ServiceId,
    /// Failure domain of the shard that asks.
    pub domain: DomainId,
    /// Only bids of this workspace, or of any if absent.
    pub workspace: Option<WorkspaceId>,
    /// Bids wanted at most.
    pub count: u32,
}

/// Bids handed over to the shard that asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Service of both shards.
    pub service: ServiceId,
    /// The bids, in the sender's order.
    pub bids: Vec<Bid>,
}
