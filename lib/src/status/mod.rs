//! The state of the fleet as one host sees it, for operators.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;
use crate::message::ServerPhase;

/// The state of the fleet as one host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host that answers.
    pub host: CompactString,
    /// Name of its failure domain.
    pub domain: CompactString,
    /// Revision of the configuration in force, zero for none.
    pub revision: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// Requests that wait on this host.
    pub waiting: u64,
    /// Requests that run through this host.
    pub running: u64,
    /// Listed entry hosts.
    pub hosts: Vec<HostStatus>,
    /// Listed backend servers.
    pub servers: Vec<ListedServerStatus>,
    /// Shards that this host schedules.
    pub pools: Vec<PoolStatus>,
}

/// An entry host as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Whether it is held to be alive.
    pub alive: bool,
    /// Whether the host list shows it as leaving or it has said so.
    pub leaving: bool,
    /// Latest configuration revision that it announced, zero if unknown.
    pub revision: u64,
}

/// A backend server in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServerStatus {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Whether the host list shows it as leaving.
    pub leaving: bool,
    /// Whether it or its failure domain is out of service by configuration.
    pub out: bool,
    /// Names of its services.
    pub services: Vec<CompactString>,
}

/// A shard that the answering host schedules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Service of the shard.
    pub service: ServiceId,
    /// Failure domain of the shard.
    pub domain: DomainId,
    /// Waiting bids.
    pub waiting: u64,
    /// Granted and running requests.
    pub running: u64,
    /// Servers of the shard.
    pub servers: Vec<ServerStatus>,
    /// Workspaces known to the shard.
    pub workspaces: Vec<WorkspaceStatus>,
}

/// A backend server as its scheduler sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// What it bears.
    pub phase: ServerPhase,
    /// Requests that it bears at once.
    pub limit: u32,
    /// Requests admitted and not known to have ended.
    pub running: u32,
    /// Whether it takes new work.
    pub usable: bool,
    /// Times that it was taken back to a cold start by this scheduler.
    #[serde(default)]
    pub cold_returns: u32,
}

/// A workspace as one shard sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Waiting bids.
    pub waiting: u64,
    /// Granted and running requests.
    pub running: u64,
    /// Service counter, in the unit of the service.
    pub counter: u64,
}
