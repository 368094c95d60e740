//! State of the fleet as one host sees it, for display to operators.
//!
//! The types are serialized as JSON in responses of the operators' interface. Hosts may disagree,
//! since each shows only what it has learned.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;
use crate::message::ServerPhase;

/// State of the fleet as one host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host that reports the status.
    pub host: CompactString,
    /// Name of the failure domain (zone) of that host.
    pub domain: CompactString,
    /// Revision of the configuration in force on the host, zero if there is none.
    pub revision: u64,
    /// Whether a planned stop of the host has begun.
    pub stopping: bool,
    /// Number of requests that wait on this host for a backend server.
    pub waiting: u64,
    /// Number of requests that this host has dispatched to a backend server and that have not
    /// ended.
    pub running: u64,
    /// Entry hosts, which accept requests from callers, in the host list.
    pub hosts: Vec<HostStatus>,
    /// Backend servers in the host list.
    pub servers: Vec<ListedServerStatus>,
    /// Shards that this host schedules. A shard, or pool, is the set of backend servers that offer
    /// one service in one failure domain.
    pub pools: Vec<PoolStatus>,
}

/// An entry host as the reporting host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Whether the reporting host considers it alive.
    pub alive: bool,
    /// Whether the host list marks it as leaving, or it has announced its planned stop.
    pub leaving: bool,
    /// Last revision of the configuration that it announced, zero if unknown.
    pub revision: u64,
}

/// A backend server in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServerStatus {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Whether the host list marks it as leaving.
    pub leaving: bool,
    /// Whether operators have taken it or its failure domain out of service.
    pub out: bool,
    /// Names of the services that it offers.
    pub services: Vec<CompactString>,
}

/// A shard that the reporting host schedules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Service that the servers of the shard offer.
    pub service: ServiceId,
    /// Failure domain that the servers of the shard are in.
    pub domain: DomainId,
    /// Number of waiting bids. A bid announces a request to the scheduler.
    pub waiting: u64,
    /// Number of requests that the scheduler has granted a server and that have not ended.
    pub running: u64,
    /// Backend servers of the shard.
    pub servers: Vec<ServerStatus>,
    /// Workspaces that the scheduler of the shard keeps state for.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// A backend server as the scheduler of its shard sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Identifier of the server, a hash of its name.
    pub server: ServerId,
    /// How much of its capacity is known: cold (unknown), warming (being probed) or warm (known).
    pub phase: ServerPhase,
    /// Current limit on concurrent requests.
    pub limit: u32,
    /// Number of requests admitted to the server and not known to have ended.
    pub running: u32,
    /// Whether the scheduler sends new requests to it.
    pub usable: bool,
    /// How often this scheduler has reset the server to the cold phase.
    #[serde(default)]
    pub cold_returns: u32,
}

/// A workspace as the scheduler of one shard sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Number of the workspace.
    pub workspace: WorkspaceId,
    /// Number of waiting bids of the workspace.
    pub waiting: u64,
    /// Number of its requests that have been granted a server and have not ended.
    pub running: u64,
    /// Amount of service received, by which the scheduler shares capacity fairly: tokens for a
    /// model, microseconds of run time for another service.
    pub counter: u64,
}
