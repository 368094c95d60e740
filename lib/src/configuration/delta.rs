//! Deltas between two revisions of the configuration.
//!
//! Hosts relay new revisions to each other, either as a document (the JSON text of the whole
//! configuration) or as a delta. A delta is the difference from a revision that the receiver
//! already has, and is much smaller than the document.

use std::collections::BTreeSet;
use std::collections::HashMap;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::ChangeRecord;
use super::Class;
use super::Configuration;
use super::DocumentError;
use super::Workspace;
use super::change::MAX_CHANGE_RECORDS;
use super::stored::malformed;

/// Difference between a revision (the base) and a later one. The optional members are absent if
/// they did not change. The number of the later revision is not part of the delta: the
/// message that carries a delta or a document states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Delta {
    /// Revision that the delta applies to. Must be the first member of the JSON text, see
    /// [`Delta::PREFIX`].
    pub(crate) base: u64,
    /// Value of `next_workspace` in the later revision: the number (`id`) that the next workspace
    /// to be created will get.
    next_workspace: u32,
    /// Workspaces that are new or have changed. A delta cannot remove a workspace. It need not,
    /// since operators can disable workspaces but not remove them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workspaces: Vec<Workspace>,
    /// All classes of the later revision, if the list has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<Class>>,
    /// All failure domains out of service in the later revision, if this set has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    domains_out: Option<BTreeSet<CompactString>>,
    /// All backend servers out of service in the later revision, if this set has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    servers_out: Option<BTreeSet<CompactString>>,
    /// Records of the changes since the base.
    changes: Vec<ChangeRecord>,
}

impl Delta {
    /// Start of the JSON text of every delta, by which a receiver distinguishes it from a document:
    /// a configuration has no member `base`.
    pub(crate) const PREFIX: &'static [u8] = br#"{"base":"#;

    /// Parses the JSON text of a delta.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, DocumentError> {
        serde_json::from_slice(text).map_err(malformed)
    }

    /// Returns the JSON text of the delta.
    pub(crate) fn to_text(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta can be serialized as JSON")
    }

    /// Returns the delta from `base` to `to`, or `None` if no delta can express the difference, so
    /// that the document has to be sent instead. For example, `to` may lack a workspace because an
    /// older configuration was restored by hand on the platform.
    pub(crate) fn between(base: &Configuration, to: &Configuration) -> Option<Self> {
        let delta = Self {
            base: base.revision,
            next_workspace: to.next_workspace,
            workspaces: changed_workspaces(&base.workspaces, &to.workspaces),
            classes: (base.classes != to.classes).then(|| to.classes.clone()),
            domains_out: (base.domains_out != to.domains_out).then(|| to.domains_out.clone()),
            servers_out: (base.servers_out != to.servers_out).then(|| to.servers_out.clone()),
            changes: new_records(&base.changes, &to.changes),
        };
        // A delta is correct only if it reproduces the later revision exactly.
        let reached = delta.apply(base, to.revision);
        (reached == *to).then_some(delta)
    }

    /// Applies the delta to its base and returns the later configuration. `revision` is the
    /// revision of the result.
    pub(crate) fn apply(&self, base: &Configuration, revision: u64) -> Configuration {
        let mut next = base.clone();
        next.revision = revision;
        next.next_workspace = self.next_workspace;
        for workspace in &self.workspaces {
            // The workspaces of a configuration are sorted by their numbers, the field `id`.
            let position = next
                .workspaces
                .binary_search_by_key(&workspace.id, |w| w.id);
            match position {
                Ok(position) => next.workspaces[position] = workspace.clone(),
                Err(position) => next.workspaces.insert(position, workspace.clone()),
            }
        }
        replace(&mut next.classes, self.classes.as_ref());
        replace(&mut next.domains_out, self.domains_out.as_ref());
        replace(&mut next.servers_out, self.servers_out.as_ref());
        next.changes.extend(self.changes.iter().cloned());
        let excess = next.changes.len().saturating_sub(MAX_CHANGE_RECORDS);
        next.changes.drain(..excess);
        next
    }
}

/// Replaces `member` if the delta has a new value for it.
fn replace<T: Clone>(member: &mut T, new: Option<&T>) {
    if let Some(new) = new {
        member.clone_from(new);
    }
}

/// Returns the workspaces in `to` that `base` lacks or that have changed.
fn changed_workspaces(base: &[Workspace], to: &[Workspace]) -> Vec<Workspace> {
    let known: HashMap<_, _> = base.iter().map(|entry| (entry.id, entry)).collect();
    let differs = |entry: &&Workspace| known.get(&entry.id) != Some(entry);
    to.iter().filter(differs).cloned().collect()
}

/// Returns the records in `to` after the last record of `base`. Returns all if `to` lacks that one:
/// usually [`MAX_CHANGE_RECORDS`] or more changes lie in between, so that all are new. If it is
/// missing for another reason, [`Delta::between`] notices that the delta is wrong.
fn new_records(base: &[ChangeRecord], to: &[ChangeRecord]) -> Vec<ChangeRecord> {
    let common = base.last().and_then(|latest| {
        let position = to.iter().rposition(|record| record.id == latest.id)?;
        Some(position + 1)
    });
    to[common.unwrap_or(0)..].to_vec()
}
