//! What travels between an operator's tool and a host.

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
    /// Unique identifier; the same one makes it safe to send the change again, to any host.
    pub id: CompactString,
    /// The change.
    pub change: Change,
    /// Whether a failure domain or backend server may be named that is not in the host list.
    #[serde(default)]
    pub allow_unlisted: bool,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// A stored revision that includes the change.
    pub revision: u64,
    /// What became of the change.
    pub effect: EffectCode,
}

/// What became of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectCode {
    /// It was made.
    Made,
    /// The configuration was already so.
    AlreadySo,
    /// An earlier attempt had stored it.
    StoredBefore,
}

/// Answer of `GET /configuration`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Revision in force on the host.
    pub revision: u64,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceView>,
    /// Classes; the first one is the default.
    pub classes: Vec<Class>,
    /// Failure domains out of service.
    pub domains_out: BTreeSet<CompactString>,
    /// Backend servers out of service.
    pub servers_out: BTreeSet<CompactString>,
}

/// A workspace as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Number.
    pub id: WorkspaceId,
    /// Name.
    pub name: CompactString,
    /// Whether its requests are served.
    pub enabled: bool,
    /// First digits of its key's hash.
    pub key_fingerprint: CompactString,
}

/// Answer of `GET /configuration/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryView {
    /// Revision in force on the host.
    pub revision: u64,
    /// The latest changes, oldest first.
    pub changes: Vec<ChangeRecord>,
    /// Revisions that the host can compare, lowest first.
    pub kept_revisions: Vec<u64>,
}

/// Answer of `GET /configuration/diff`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffView {
    /// Earlier revision.
    pub from: u64,
    /// Later revision.
    pub to: u64,
    /// What differs.
    pub differences: Vec<Difference>,
}

/// Body of an answer that is no success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code.
    pub code: ErrorCode,
    /// Explanation for people.
    pub message: CompactString,
}

/// Stable codes of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The key is missing or wrong.
    Unauthorized,
    /// There is no such path.
    NoSuchPath,
    /// The path takes another method.
    MethodNotAllowed,
    /// The request cannot be read.
    BadRequest,
    /// The change does not apply; it is not stored.
    ChangeRefused,
    /// The host list has no such failure domain or backend server; the change is not stored.
    NotListed,
    /// The platform did not take the change in time; it is not stored.
    NotStored,
    /// The change may be stored.
    OutcomeUnknown,
    /// The stored configuration cannot be read or written by this host; the change is not stored.
    ConfigurationUnusable,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The host does not keep the revision.
    RevisionNotKept,
    /// The host is stopping, or its control thread does not answer.
    Unavailable,
}

impl ErrorCode {
    /// Whether another host may do what this one could not. Sending a change again is safe under
    /// the same identifier.
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
