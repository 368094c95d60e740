//! The configuration object as the platform stores it.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::ServerId;
use crate::id::WorkspaceId;

/// The whole configuration of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the stored object, zero before the first store. It is not part of the stored
    /// text: the platform assigns it.
    #[serde(skip)]
    pub revision: u64,
    /// Number for the next workspace.
    #[serde(default)]
    pub next_workspace: u32,
    /// Workspaces, in the order of their numbers.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Classes of work; the first one serves requests that name none.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Names of failure domains out of service.
    #[serde(default)]
    pub domains_out: BTreeSet<CompactString>,
    /// Names of backend servers out of service.
    #[serde(default)]
    pub servers_out: BTreeSet<CompactString>,
    /// The latest changes, oldest first.
    #[serde(default)]
    pub changes: Vec<ChangeRecord>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Number, never reused.
    pub id: WorkspaceId,
    /// Name, unique over the fleet.
    pub name: CompactString,
    /// SHA-256 of the workspace's key, lower-case hexadecimal.
    pub key_hash: CompactString,
    /// Whether its requests are served.
    pub enabled: bool,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name, unique over the fleet.
    pub name: CompactString,
    /// Time within which a request of the class must have started, milliseconds.
    pub target_ms: u64,
}

/// A change of the configuration, kept so that a lost answer can be resolved by reading back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Unique identifier that the operator's host drew for the change.
    pub id: CompactString,
    /// What the change did.
    pub summary: CompactString,
    /// Wall-clock time, seconds since the Unix epoch.
    pub at: u64,
}

impl Configuration {
    /// Whether a failure domain is out of service.
    pub fn is_domain_out(&self, domain: DomainId) -> bool {
        self.domains_out
            .iter()
            .any(|name| DomainId::of(name) == domain)
    }

    /// Whether a backend server is out of service.
    pub fn is_server_out(&self, server: ServerId) -> bool {
        self.servers_out
            .iter()
            .any(|name| ServerId::of(name) == server)
    }
}
