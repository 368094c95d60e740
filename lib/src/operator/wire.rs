//! JSON bodies of the operators' interface, shared by the host and the command-line tool.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Change;
use crate::configuration::ChangeRecord;
use crate::configuration::Class;
use crate::configuration::Configuration;
use crate::configuration::Difference;
use crate::configuration::Workspace;
use crate::configuration::fingerprint;
use crate::id::WorkspaceId;

/// Body of `POST /changes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Unique identifier of the change. Sending the change again with the same identifier, to any
    /// host, has no further effect.
    pub id: CompactString,
    /// The change to make.
    pub change: Change,
    /// Whether the change may name a failure domain or backend server that is not in the host list.
    #[serde(default)]
    pub allow_unlisted: bool,
}

/// Response to `POST /changes` if the change is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// A stored revision of the configuration that includes the change.
    pub revision: u64,
    /// Whether this request stored the change and altered the configuration.
    pub effect: EffectCode,
}

/// Effect of a change that is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectCode {
    /// The change was stored and altered the configuration.
    Made,
    /// Only a record of the change was stored: the configuration already had the requested state.
    AlreadySo,
    /// An earlier request had stored the change under the same identifier.
    StoredBefore,
}

/// Response to `GET /configuration`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Revision in force on the host, that is, the one by which it serves requests.
    pub revision: u64,
    /// Workspaces (customers), sorted by their numbers.
    pub workspaces: Vec<WorkspaceView>,
    /// Classes of requests. The first one applies to requests that name no class.
    pub classes: Vec<Class>,
    /// Names of the failure domains that operators have taken out of service.
    pub domains_out: BTreeSet<CompactString>,
    /// Names of the backend servers that operators have taken out of service.
    pub servers_out: BTreeSet<CompactString>,
}

/// A workspace without its secrets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Number of the workspace, never reused.
    pub id: WorkspaceId,
    /// Name, unique among workspaces.
    pub name: CompactString,
    /// Whether requests of the workspace are served.
    pub enabled: bool,
    /// First hexadecimal digits of the hash of the workspace's key.
    pub key_fingerprint: CompactString,
}

/// Response to `GET /configuration/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// Revision in force on the host.
    pub revision: u64,
    /// The most recent changes, oldest first.
    pub changes: Vec<ChangeRecord>,
    /// Revisions that the host keeps in memory and can compare, lowest first.
    pub kept_revisions: Vec<u64>,
}

/// Response to `GET /configuration/diff`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffView {
    /// Earlier revision.
    pub from: u64,
    /// Later revision.
    pub to: u64,
    /// Differences from the earlier to the later revision.
    pub differences: Vec<Difference>,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Code and explanation of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Code for programs, which does not change between versions of the software.
    pub code: ErrorCode,
    /// Explanation for people. Its wording may change.
    pub message: CompactString,
}

/// Error codes, written in snake case. They do not change between versions of the software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// The path of the request does not exist.
    NoSuchPath,
    /// The path does not support the HTTP method.
    MethodNotAllowed,
    /// The body or the query string of the request is malformed.
    BadRequest,
    /// The change is invalid for the stored configuration. It is not stored.
    ChangeRefused,
    /// The host list has no such failure domain or backend server. The change is not stored.
    NotListed,
    /// The platform did not accept the change in time. It is not stored.
    NotStored,
    /// The response of the platform was lost: the change may be stored, or may still be stored
    /// later.
    OutcomeUnknown,
    /// This host can neither read nor replace the stored configuration, for example because a newer
    /// version of the software wrote it. The change is not stored.
    ConfigurationUnusable,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The host does not keep the requested revision in memory.
    RevisionNotKept,
    /// The host is stopping, or its control thread does not respond.
    Unavailable,
}

impl ErrorCode {
    /// Whether the same request may succeed on another host. A change can be sent again safely if
    /// it keeps its identifier.
    pub fn may_succeed_on_another_host(self) -> bool {
        matches!(
            self,
            Self::NotStored
                | Self::OutcomeUnknown
                | Self::ConfigurationUnusable
                | Self::NoConfiguration
                | Self::RevisionNotKept
                | Self::Unavailable
        )
    }
}

impl ConfigurationView {
    pub(super) fn of(configuration: &Configuration) -> Self {
        Self {
            revision: configuration.revision,
            workspaces: configuration.workspaces.iter().map(Into::into).collect(),
            classes: configuration.classes.clone(),
            domains_out: configuration.domains_out.clone(),
            servers_out: configuration.servers_out.clone(),
        }
    }
}

impl From<&Workspace> for WorkspaceView {
    fn from(workspace: &Workspace) -> Self {
        Self {
            id: workspace.id,
            name: workspace.name.clone(),
            enabled: workspace.enabled,
            key_fingerprint: fingerprint(&workspace.key_hash).into(),
        }
    }
}
