//! Lookups in the configuration.

use compact_str::CompactString;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use super::Class;
use super::Configuration;
use super::Workspace;

/// The hash of a workspace's key as the configuration holds it.
pub fn hash_key(key: &[u8]) -> CompactString {
    hex::encode(Sha256::digest(key)).into()
}

impl Configuration {
    /// The workspace of a name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|entry| entry.name == name)
    }

    /// The workspace whose key has this hash, enabled or not.
    ///
    /// Compares with every workspace in constant time, so that the time taken tells nothing of
    /// the stored hashes.
    pub fn workspace_by_key_hash(&self, key_hash: &str) -> Option<&Workspace> {
        let mut position = u32::MAX;
        for (i, workspace) in (0u32..).zip(&self.workspaces) {
            let equal: Choice = workspace.key_hash.as_bytes().ct_eq(key_hash.as_bytes());
            position.conditional_assign(&i, equal);
        }
        self.workspaces.get(usize::try_from(position).ok()?)
    }

    /// Whether another configuration says the same, whatever their revisions and change records.
    pub fn is_same_state(&self, other: &Self) -> bool {
        self.next_workspace == other.next_workspace
            && self.workspaces == other.workspaces
            && self.classes == other.classes
            && self.domains_out == other.domains_out
            && self.servers_out == other.servers_out
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The class of requests that name none.
    pub fn default_class(&self) -> Option<&Class> {
        self.classes.first()
    }
}
