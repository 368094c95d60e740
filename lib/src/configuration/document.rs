//! Types of the configuration, the fleet-wide state that operators edit.
//!
//! The platform, the external system that the fleet runs on, stores the configuration as one
//! versioned JSON object.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::ServerId;
use crate::id::WorkspaceId;

/// Configuration of a fleet.
///
/// The fields are the members of the stored JSON object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the stored object, zero before the first write. The platform assigns it, so it
    /// is not part of the JSON text.
    #[serde(skip)]
    pub revision: u64,
    /// Number that the next workspace to be created gets.
    #[serde(default)]
    pub next_workspace: u32,
    /// Workspaces (the customers of the fleet), sorted by their numbers.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Classes of requests. A request names its class in a header; the first class applies to
    /// requests that name none.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Names of the failure domains (zones) that operators have taken out of service. Their backend
    /// servers get no new requests.
    #[serde(default)]
    pub domains_out: BTreeSet<CompactString>,
    /// Names of the backend servers that operators have taken out of service. They get no new
    /// requests.
    #[serde(default)]
    pub servers_out: BTreeSet<CompactString>,
    /// The most recent changes, oldest first. At most `MAX_CHANGE_RECORDS` are kept.
    #[serde(default)]
    pub changes: Vec<ChangeRecord>,
}

/// A workspace: a customer, whose requests authenticate with one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Number of the workspace, never reused.
    pub id: WorkspaceId,
    /// Name, unique among workspaces.
    pub name: CompactString,
    /// SHA-256 of the workspace's key in lower-case hexadecimal. The key itself is not stored.
    pub key_hash: CompactString,
    /// Whether requests of the workspace are served.
    pub enabled: bool,
}

/// A class of requests, which share a limit on their waiting time, the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name, unique among classes.
    pub name: CompactString,
    /// Longest time that a request of the class may wait to be dispatched to a backend server, in
    /// milliseconds from its arrival. A request that still waits then is refused.
    pub target_ms: u64,
}

/// Record of a stored change of the configuration.
///
/// If the response to a write is lost, the editor reads the object back and looks for the record to
/// find out whether the change was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Unique identifier that the operator's tool generated for the change.
    pub id: CompactString,
    /// The change as text, for example `create workspace a (key 01234567)`.
    pub summary: CompactString,
    /// Wall-clock time at which the operator submitted the change, in seconds since the Unix epoch.
    pub at: u64,
}

impl Configuration {
    /// Whether operators have taken a failure domain out of service.
    pub fn is_domain_out(&self, domain: DomainId) -> bool {
        self.domains_out
            .iter()
            .any(|name| DomainId::of(name) == domain)
    }

    /// Whether operators have taken this backend server out of service. A server in a failure
    /// domain that is out of service gets no new requests either, see [`Self::is_domain_out`].
    pub fn is_server_out(&self, server: ServerId) -> bool {
        self.servers_out
            .iter()
            .any(|name| ServerId::of(name) == server)
    }
}
