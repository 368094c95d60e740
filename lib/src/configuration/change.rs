//! Changes that operators make to the configuration, and their validation.
//!
//! The configuration is the fleet-wide state that operators edit: workspaces (customers), classes
//! of requests, and the failure domains and backend servers that are out of service. The platform,
//! the external system that the fleet runs on, stores it as one object and numbers the versions of
//! this object. Such a number is called a revision.
//!
//! The platform also provides the host list, which names the hosts of the fleet (the machines that
//! run this router), the backend servers, and the failure domain of each.

use std::collections::BTreeSet;
use std::fmt;

use compact_str::CompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use super::ChangeRecord;
use super::Class;
use super::Configuration;
use super::Workspace;
use super::name::MAX_NAME_BYTES;
use super::name::is_host_list_name;
use super::name::is_key_hash;
use super::name::is_name;
use crate::id::WorkspaceId;

/// Maximum number of change records in the configuration. A change that is submitted again is only
/// recognised while its record is kept.
pub const MAX_CHANGE_RECORDS: usize = 256;
/// Maximum number of classes. They are label values of metrics, so each adds time series.
pub const MAX_CLASSES: usize = 32;
/// Largest target of a class, in milliseconds. The target is the longest time that a request of the
/// class may wait until it is dispatched to a backend server.
pub const MAX_TARGET_MS: u64 = 3_600_000;
/// Maximum length of the identifier of a change, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 64;

/// Number of leading hexadecimal digits of a key's hash that are shown to operators.
const FINGERPRINT_DIGITS: usize = 8;

/// A change of the configuration, as operators submit it in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Creates an enabled workspace.
    CreateWorkspace {
        /// Name of the workspace.
        name: CompactString,
        /// SHA-256 of the workspace's key, in lower-case hexadecimal.
        key_hash: CompactString,
    },
    /// Replaces the key of a workspace. The previous key is no longer accepted.
    RotateKey {
        /// Name of the workspace.
        name: CompactString,
        /// SHA-256 of the new key, in lower-case hexadecimal.
        key_hash: CompactString,
    },
    /// Serves requests of a workspace again.
    EnableWorkspace {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Refuses requests of a workspace until it is enabled again.
    DisableWorkspace {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Creates a class of requests, or changes the target of an existing one. A request names its
    /// class in a header.
    SetClass {
        /// Name of the class.
        name: CompactString,
        /// Longest time that a request of the class may wait to be dispatched to a backend server,
        /// in milliseconds from its arrival. A request that still waits then is refused.
        target_ms: u64,
    },
    /// Removes a class of requests. Requests that name it are refused from then on.
    RemoveClass {
        /// Name of the class.
        name: CompactString,
    },
    /// Takes a failure domain (zone) out of service: its backend servers get no new requests.
    TakeDomainOut {
        /// Name of the failure domain, as in the host list.
        name: CompactString,
    },
    /// Puts a failure domain back into service.
    BringDomainBack {
        /// Name of the failure domain.
        name: CompactString,
    },
    /// Takes a backend server out of service: it gets no new requests.
    TakeServerOut {
        /// Name of the backend server, as in the host list.
        name: CompactString,
    },
    /// Puts a backend server back into service.
    BringServerBack {
        /// Name of the backend server.
        name: CompactString,
    },
}

/// Reason why a change cannot be applied to a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChangeError {
    /// The identifier of the change is empty, longer than [`MAX_CHANGE_ID_BYTES`], or contains a
    /// space or a character that is not printable ASCII.
    #[snafu(display(
        "the identifier of a change must be 1 to {MAX_CHANGE_ID_BYTES} printable ASCII characters"
    ))]
    InvalidId,
    /// Another change has been stored under the identifier.
    #[snafu(display("the identifier {id} was used for another change: {summary}"))]
    IdReused {
        /// The identifier of both changes.
        id: CompactString,
        /// The stored change, as text.
        summary: CompactString,
    },
    /// A name is too long, empty or contains a character that is not allowed. The message gives the
    /// rule for workspaces and classes also for failure domains and backend servers, whose rule is
    /// looser: 1 to 253 printable ASCII characters without spaces (`is_host_list_name`). Every name
    /// that the looser rule rejects is against the rule in the message as well.
    #[snafu(display(
        "{name:?} is no valid name for a {kind}: use 1 to {MAX_NAME_BYTES} lower-case letters, \
         digits, hyphens, dots or underscores, starting with a letter or digit"
    ))]
    InvalidName {
        /// Kind of the item to be named, for example `workspace`.
        kind: &'static str,
        /// The invalid name.
        name: CompactString,
    },
    /// A key's hash is not a SHA-256 hash in lower-case hexadecimal.
    #[snafu(display("the hash of a key must be 64 lower-case hexadecimal digits"))]
    InvalidKeyHash,
    /// The target of a class is zero or above [`MAX_TARGET_MS`].
    #[snafu(display("a target must be between 1 and {MAX_TARGET_MS} ms, is {target_ms} ms"))]
    InvalidTarget {
        /// The rejected target, in milliseconds.
        target_ms: u64,
    },
    /// A workspace of the same name exists.
    #[snafu(display("there is already a {kind} {name}"))]
    Duplicate {
        /// Kind of the existing item, always `workspace`.
        kind: &'static str,
        /// The name that is already in use.
        name: CompactString,
    },
    /// Another workspace has the same key.
    #[snafu(display("the key is in use by another workspace"))]
    DuplicateKey,
    /// No workspace or class has the name.
    #[snafu(display("there is no {kind} {name}"))]
    NoSuch {
        /// Kind of the item that was looked up, for example `class`.
        kind: &'static str,
        /// The name that was not found.
        name: CompactString,
    },
    /// The maximum number of classes has been reached.
    #[snafu(display("there may be no more than {limit} of these: {kind}"))]
    TooMany {
        /// Kind of the items, in the plural; always `classes`.
        kind: &'static str,
        /// The maximum number.
        limit: usize,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateWorkspace { name, key_hash } => {
                write!(f, "create workspace {name} (key {})", fingerprint(key_hash))
            }
            Self::RotateKey { name, key_hash } => {
                write!(
                    f,
                    "rotate key of workspace {name} (key {})",
                    fingerprint(key_hash)
                )
            }
            Self::EnableWorkspace { name } => write!(f, "enable workspace {name}"),
            Self::DisableWorkspace { name } => write!(f, "disable workspace {name}"),
            Self::SetClass { name, target_ms } => {
                write!(f, "set target of class {name} to {target_ms} ms")
            }
            Self::RemoveClass { name } => write!(f, "remove class {name}"),
            Self::TakeDomainOut { name } => write!(f, "take failure domain {name} out of service"),
            Self::BringDomainBack { name } => write!(f, "bring failure domain {name} back"),
            Self::TakeServerOut { name } => write!(f, "take backend server {name} out of service"),
            Self::BringServerBack { name } => write!(f, "bring backend server {name} back"),
        }
    }
}

/// Returns the fingerprint of a key: the first digits of its hash. Operators can identify the key
/// by it, and it is not secret. Different keys may have the same fingerprint.
pub fn fingerprint(key_hash: &str) -> &str {
    key_hash.get(..FINGERPRINT_DIGITS).unwrap_or(key_hash)
}

impl Configuration {
    /// Returns the configuration after a change. Its revision is that of `self`, since the platform
    /// assigns the new one when the configuration is stored. `at` is the wall-clock time at which
    /// the operator submitted the change, in seconds since the Unix epoch.
    ///
    /// If a record of the change is still kept, the configuration is returned unchanged. A change
    /// that has no effect, such as enabling an enabled workspace, is still recorded and has to be
    /// stored, because only a write that is conditional on the revision proves that no other
    /// operator has changed the configuration in the meantime.
    ///
    /// # Errors
    ///
    /// A [`ChangeError`] if the change cannot be applied.
    pub fn apply(&self, change_id: &str, at: u64, change: &Change) -> Result<Self, ChangeError> {
        if self.has_change(change_id, change)? {
            return Ok(self.clone());
        }
        let mut next = self.clone();
        next.apply_in_place(change)?;
        next.push_record(ChangeRecord {
            id: change_id.into(),
            summary: format_compact!("{change}"),
            at,
        });
        Ok(next)
    }

    /// Whether a record of the change is kept, which means that the change has been stored before.
    ///
    /// A record contains only the summary of its change, so changes under the same identifier are
    /// compared by their summaries. These show keys by their fingerprints, so keys with the same
    /// fingerprint are not told apart.
    ///
    /// # Errors
    ///
    /// `InvalidId` if the identifier is invalid; `IdReused` if another change was stored under it.
    pub fn has_change(&self, change_id: &str, change: &Change) -> Result<bool, ChangeError> {
        let printable = change_id.bytes().all(|b| b.is_ascii_graphic());
        if change_id.is_empty() || change_id.len() > MAX_CHANGE_ID_BYTES || !printable {
            return Err(ChangeError::InvalidId);
        }
        let Some(record) = self.changes.iter().find(|record| record.id == change_id) else {
            return Ok(false);
        };
        if record.summary != format_compact!("{change}") {
            return Err(ChangeError::IdReused {
                id: record.id.clone(),
                summary: record.summary.clone(),
            });
        }
        Ok(true)
    }

    fn apply_in_place(&mut self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::CreateWorkspace { name, key_hash } => self.create_workspace(name, key_hash),
            Change::RotateKey { name, key_hash } => self.rotate_key(name, key_hash),
            Change::EnableWorkspace { name } => self.set_enabled(name, true),
            Change::DisableWorkspace { name } => self.set_enabled(name, false),
            Change::SetClass { name, target_ms } => self.set_class(name, *target_ms),
            Change::RemoveClass { name } => self.remove_class(name),
            Change::TakeDomainOut { name } => take_out(DOMAIN, &mut self.domains_out, name),
            Change::BringDomainBack { name } => bring_back(&mut self.domains_out, name),
            Change::TakeServerOut { name } => take_out(SERVER, &mut self.servers_out, name),
            Change::BringServerBack { name } => bring_back(&mut self.servers_out, name),
        }
    }

    /// Appends a record, and drops the oldest ones beyond [`MAX_CHANGE_RECORDS`].
    fn push_record(&mut self, record: ChangeRecord) {
        self.changes.push(record);
        let excess = self.changes.len().saturating_sub(MAX_CHANGE_RECORDS);
        self.changes.drain(..excess);
    }

    fn create_workspace(
        &mut self,
        name: &CompactString,
        key_hash: &str,
    ) -> Result<(), ChangeError> {
        check_name(WORKSPACE, name)?;
        if self.workspace(name).is_some() {
            return Err(ChangeError::Duplicate {
                kind: WORKSPACE,
                name: name.clone(),
            });
        }
        self.check_new_key(key_hash)?;
        let id = WorkspaceId(self.next_workspace);
        self.next_workspace += 1;
        self.workspaces.push(Workspace {
            id,
            name: name.clone(),
            key_hash: key_hash.into(),
            enabled: true,
        });
        Ok(())
    }

    fn rotate_key(&mut self, name: &CompactString, key_hash: &str) -> Result<(), ChangeError> {
        if self.workspace_mut(name)?.key_hash == key_hash {
            return Ok(());
        }
        self.check_new_key(key_hash)?;
        self.workspace_mut(name)?.key_hash = key_hash.into();
        Ok(())
    }

    /// Checks the form of the hash, and that no workspace uses the key.
    fn check_new_key(&self, key_hash: &str) -> Result<(), ChangeError> {
        if !is_key_hash(key_hash) {
            return Err(ChangeError::InvalidKeyHash);
        }
        if self.workspace_by_key_hash(key_hash).is_some() {
            return Err(ChangeError::DuplicateKey);
        }
        Ok(())
    }

    fn set_enabled(&mut self, name: &CompactString, enabled: bool) -> Result<(), ChangeError> {
        self.workspace_mut(name)?.enabled = enabled;
        Ok(())
    }

    fn workspace_mut(&mut self, name: &CompactString) -> Result<&mut Workspace, ChangeError> {
        let mut workspaces = self.workspaces.iter_mut();
        let found = workspaces.find(|workspace| workspace.name == *name);
        found.ok_or_else(|| no_such(WORKSPACE, name))
    }

    fn set_class(&mut self, name: &CompactString, target_ms: u64) -> Result<(), ChangeError> {
        check_name(CLASS, name)?;
        if !(1..=MAX_TARGET_MS).contains(&target_ms) {
            return Err(ChangeError::InvalidTarget { target_ms });
        }
        if let Some(class) = self.classes.iter_mut().find(|class| class.name == *name) {
            class.target_ms = target_ms;
            return Ok(());
        }
        if self.classes.len() >= MAX_CLASSES {
            return Err(ChangeError::TooMany {
                kind: "classes",
                limit: MAX_CLASSES,
            });
        }
        self.classes.push(Class {
            name: name.clone(),
            target_ms,
        });
        Ok(())
    }

    fn remove_class(&mut self, name: &CompactString) -> Result<(), ChangeError> {
        let position = self.classes.iter().position(|class| class.name == *name);
        let position = position.ok_or_else(|| no_such(CLASS, name))?;
        self.classes.remove(position);
        Ok(())
    }
}

// Kinds of named items, as they appear in error messages.
const WORKSPACE: &str = "workspace";
const CLASS: &str = "class";
const DOMAIN: &str = "failure domain";
const SERVER: &str = "backend server";

fn check_name(kind: &'static str, name: &CompactString) -> Result<(), ChangeError> {
    if is_name(name) {
        return Ok(());
    }
    Err(ChangeError::InvalidName {
        kind,
        name: name.clone(),
    })
}

/// Adds a failure domain or backend server to those out of service. Only the syntax of the name is
/// checked here, since the configuration does not contain the host list. The operators' HTTP
/// interface checks beforehand that the name is in the host list or already out of service, unless
/// the operator skips this check by the field `allow_unlisted` of the call.
fn take_out(
    kind: &'static str,
    out: &mut BTreeSet<CompactString>,
    name: &CompactString,
) -> Result<(), ChangeError> {
    if !is_host_list_name(name) {
        return Err(ChangeError::InvalidName {
            kind,
            name: name.clone(),
        });
    }
    out.insert(name.clone());
    Ok(())
}

/// Removes a failure domain or backend server from those out of service. Has no effect if it is not
/// among them. The name is checked by the operators' interface only, see [`take_out`].
fn bring_back(out: &mut BTreeSet<CompactString>, name: &str) -> Result<(), ChangeError> {
    out.remove(name);
    Ok(())
}

fn no_such(kind: &'static str, name: &CompactString) -> ChangeError {
    ChangeError::NoSuch {
        kind,
        name: name.clone(),
    }
}
