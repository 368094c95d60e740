//! What the traffic threads may know of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::configuration::Configuration;
use crate::host::ServiceKind;
use crate::id::ServerId;
use crate::id::ServiceId;

/// A consistent reading of the control thread's state, replaced as a whole on every change.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Configuration in force. Nothing is served before there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// Services that some backend server offers, by name.
    pub services: HashMap<CompactString, ServiceEntry>,
    /// Listed backend servers.
    pub servers: HashMap<ServerId, ServerEntry>,
    /// Whether the host is stopping and no longer ready. It still serves what reaches it until the
    /// balancer has moved away.
    pub stopping: bool,
}

/// A service that the fleet routes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Key of the service.
    pub id: ServiceId,
    /// Kind of the service.
    pub kind: ServiceKind,
}

/// A listed backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name in the host list.
    pub name: CompactString,
    /// HTTP listener.
    pub address: SocketAddr,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
}
