//! What one revision of the configuration adds to another, as hosts pass it on.

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

/// What turns one revision into a later one. Members that do not change are absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Delta {
    /// Revision that the delta applies to. It comes first in the text, see [`Delta::PREFIX`].
    pub(crate) base: u64,
    next_workspace: u32,
    /// Workspaces that are new or differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workspaces: Vec<Workspace>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<Class>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    domains_out: Option<BTreeSet<CompactString>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    servers_out: Option<BTreeSet<CompactString>>,
    /// Records of the changes since.
    changes: Vec<ChangeRecord>,
}

impl Delta {
    /// How the text of a delta begins, which no stored document does.
    pub(crate) const PREFIX: &'static [u8] = br#"{"base":"#;

    /// Reads the text of a delta.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, DocumentError> {
        serde_json::from_slice(text).map_err(malformed)
    }

    /// The text of the delta, JSON.
    pub(crate) fn to_text(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a delta has a JSON form")
    }

    /// The delta between two revisions, or `None` if the later one does not follow from the
    /// earlier one by a delta.
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
        // Applying it is the proof that nothing is missing.
        let reached = delta.apply(base, to.revision);
        (reached == *to).then_some(delta)
    }

    /// The revision that the delta leads to from its base.
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

fn replace<T: Clone>(member: &mut T, new: Option<&T>) {
    if let Some(new) = new {
        member.clone_from(new);
    }
}

fn changed_workspaces(base: &[Workspace], to: &[Workspace]) -> Vec<Workspace> {
    let known: HashMap<_, _> = base.iter().map(|entry| (entry.id, entry)).collect();
    let differs = |entry: &&Workspace| known.get(&entry.id) != Some(entry);
    to.iter().filter(differs).cloned().collect()
}

/// Records after the latest one that both have.
fn new_records(base: &[ChangeRecord], to: &[ChangeRecord]) -> Vec<ChangeRecord> {
    let common = base.last().and_then(|latest| {
        let position = to.iter().rposition(|record| record.id == latest.id)?;
        Some(position + 1)
    });
    to[common.unwrap_or(0)..].to_vec()
}
