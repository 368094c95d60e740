//! The platform's host list as the fleet reads it.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServerId;
use crate::id::ServiceId;

/// One reading of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Number of the reading, rising with every change of the list.
    pub revision: u64,
    /// Every listed host.
    pub hosts: Vec<HostEntry>,
}

/// A host in the host list: an entry host of the fleet or a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name, unique over the list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// What the host does.
    pub role: Role,
    /// Whether it stays or leaves.
    pub state: HostState,
    /// Peer listener of an entry host, or HTTP listener of a backend server.
    pub address: SocketAddr,
    /// Services of a backend server, empty for an entry host.
    #[serde(default)]
    pub services: Vec<ListedService>,
    /// Whether a backend server refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl HostEntry {
    /// Key of an entry host.
    pub fn host_id(&self) -> HostId {
        HostId::of(&self.name)
    }

    /// Key of a backend server.
    pub fn server_id(&self) -> ServerId {
        ServerId::of(&self.name)
    }

    /// Key of the failure domain.
    pub fn domain_id(&self) -> DomainId {
        DomainId::of(&self.domain)
    }
}

/// What a listed host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs a daemon of the fleet.
    Entry,
    /// Serves requests that the fleet routes to it.
    Backend,
}

/// Whether a listed host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to stop: takes no new work.
    Leaving,
}

/// A service that a backend server offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedService {
    /// Name of the model or plain service.
    pub name: CompactString,
    /// What kind of service it is.
    pub kind: ServiceKind,
}

impl ListedService {
    /// Key of the service.
    pub fn service_id(&self) -> ServiceId {
        ServiceId::of(&self.name)
    }
}

/// The kind of a service, which decides its interface and the unit of its cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A language model behind an OpenAI-style interface; cost in tokens.
    Model,
    /// Any HTTP service; cost in microseconds of server time.
    Plain,
}
