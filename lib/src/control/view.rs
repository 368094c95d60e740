//! Snapshot of the configuration, the services and the backend servers for the traffic threads,
//! which handle callers' connections and requests.
//!
//! The host list comes from the platform, the external system that the hosts run on. It names the
//! entry hosts, which accept the requests, and the backend servers, which run them. The snapshot
//! contains only the backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::configuration::Configuration;
use crate::host::ServiceKind;
use crate::id::ServerId;
use crate::id::ServiceId;

/// Consistent snapshot of the state of the control thread, the one thread that tracks the host list
/// and the configuration. It is replaced as a whole on every change.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Configuration in force. No request is served while there is none.
    pub configuration: Option<Arc<Configuration>>,
    /// Services that at least one listed backend server offers, by name.
    pub services: HashMap<CompactString, ServiceEntry>,
    /// Backend servers in the host list.
    pub servers: HashMap<ServerId, ServerEntry>,
    /// Whether a planned stop has begun, so that the host's readiness check fails. The host still
    /// serves requests that arrive, because the load balancer needs time to stop sending them here.
    pub stopping: bool,
}

/// A service that listed backend servers offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Key of the service: a hash of its name.
    pub id: ServiceId,
    /// Kind of the service, which decides its interface and the unit in which the cost of a request
    /// is counted: tokens for a language model, microseconds of server time for any other service.
    pub kind: ServiceKind,
}

/// A backend server in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name of the server in the host list.
    pub name: CompactString,
    /// Address of the server's HTTP listener.
    pub address: SocketAddr,
    /// Whether the server refuses requests that carry an outdated fencing token, according to the
    /// host list.
    pub checks_fencing: bool,
}
