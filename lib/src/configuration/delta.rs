//! Deltas between two revisions of the configuration.
//!
//! Hosts relay new revisions to each other. A delta, the difference from a revision that the
//! receiver already has, is much smaller than the full document.

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

/// Difference between a revision, the base, and a later one. Members that did not change are
/// absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Delta {
    /// Revision that the delta applies to. Must be the first member of the JSON text, see
    /// [`Delta::PREFIX`].
    pub(crate) base: u64,
    /// Number that the next workspace to be created gets.
    next_workspace: u32,
    /// Workspaces that are new or have changed. A delta cannot remove a workspace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workspaces: Vec<Workspace>,
    /// All classes of the later revision, if any class differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<Class>>,
    /// All failure domains out of service, if any differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    domains_out: Option<BTreeSet<CompactString>>,
    /// All backend servers out of service, if any differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    servers_out: Option<BTreeSet<CompactString>>,
    /// Records of the changes since the base.
    changes: Vec<ChangeRecord>,
}

impl Delta {
    /// Start of the JSON text of every delta. No stored document starts with it, so a receiver can
    /// distinguish the two.
    pub(crate) const PREFIX: &'static [u8] = br#"{"base":"#;

    /// Parses the JSON text of a delta.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, DocumentError> {
        serde_json::from_slice(text).map_err(malformed)
    }

    /// Returns the JSON text of the delta.
    pub(crate) fn to_text(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta can be serialized as JSON")
    }

    /// Returns the delta from `base` to `to`, or `None` if no delta can express the difference, for
    /// example because a workspace was removed.
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

    /// Applies the delta to its base and returns the configuration, with the given revision.
    pub(crate) fn apply(&self, base: &Configuration, revision: u64) -> Configuration {
        let mut next = base.clone();
        next.revision = revision;
        next.next_workspace = self.next_workspace;
        for workspace in &self.workspaces {
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

/// Returns the records in `to` after the last record of `base`, or all if `to` lacks that one.
fn new_records(base: &[ChangeRecord], to: &[ChangeRecord]) -> Vec<ChangeRecord> {
    let common = base.last().and_then(|latest| {
        let position = to.iter().rposition(|record| record.id == latest.id)?;
        Some(position + 1)
    });
    to[common.unwrap_or(0)..].to_vec()
}
