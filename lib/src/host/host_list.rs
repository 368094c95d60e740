//! The host list, which names the entry hosts of the fleet (the machines that accept requests) and
//! the backend servers, which run the requests. It is kept by the platform, the external system
//! that the fleet runs on.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServerId;
use crate::id::ServiceId;

/// A version of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Number of the version. Rises with every change of the list, unless the platform is set up
    /// anew.
    pub revision: u64,
    /// Entry hosts and backend servers, in any order.
    pub hosts: Vec<HostEntry>,
}

/// An entry of the host list: an entry host, which accepts requests, or a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name, unique within the list.
    pub name: CompactString,
    /// Name of the failure domain, the set of hosts and servers that can fail together.
    pub domain: CompactString,
    /// Whether this is an entry host or a backend server.
    pub role: Role,
    /// Whether the host is in service or about to stop.
    pub state: HostState,
    /// Address of the listener for other entry hosts if this is an entry host, or of the HTTP
    /// listener if it is a backend server.
    pub address: SocketAddr,
    /// Services that a backend server offers, empty for an entry host.
    #[serde(default)]
    pub services: Vec<ListedService>,
    /// Whether a backend server rejects requests that carry an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl HostEntry {
    /// Identifier of this entry if it is an entry host, derived from the name.
    pub fn host_id(&self) -> HostId {
        HostId::of(&self.name)
    }

    /// Identifier of this entry if it is a backend server, derived from the name.
    pub fn server_id(&self) -> ServerId {
        ServerId::of(&self.name)
    }

    /// Identifier of the failure domain, derived from its name.
    pub fn domain_id(&self) -> DomainId {
        DomainId::of(&self.domain)
    }
}

/// Kind of a listed host. Not related to the roles that membership assigns to entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry host: runs the daemon of the fleet, which accepts and schedules requests.
    Entry,
    /// Backend server: runs requests that the entry hosts route to it.
    Backend,
}

/// Service state of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to stop: gets no new work.
    Leaving,
}

/// A service that a backend server offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedService {
    /// Name of the model or other HTTP service.
    pub name: CompactString,
    /// Whether this is a model or a plain HTTP service.
    pub kind: ServiceKind,
}

impl ListedService {
    /// Identifier of the service, derived from its name.
    pub fn service_id(&self) -> ServiceId {
        ServiceId::of(&self.name)
    }
}

/// Kind of a service. Determines its interface and the unit in which the cost of requests is
/// counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A language model with an OpenAI-compatible interface; cost in tokens.
    Model,
    /// Any HTTP service; cost in microseconds of server time.
    Plain,
}
