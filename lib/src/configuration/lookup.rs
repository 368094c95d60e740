//! Lookups in the configuration.

use compact_str::CompactString;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::Class;
use super::Configuration;
use super::Workspace;
use super::fingerprint;

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
    /// Workspaces are told apart by the fingerprint, which is no secret; the whole hash is
    /// compared in constant time.
    pub fn workspace_by_key_hash(&self, key_hash: &str) -> Option<&Workspace> {
        let wanted = fingerprint(key_hash);
        let mut candidates = self
            .workspaces
            .iter()
            .filter(|entry| fingerprint(&entry.key_hash) == wanted);
        candidates.find(|entry| {
            let equal = entry.key_hash.as_bytes().ct_eq(key_hash.as_bytes());
            equal.into()
        })
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
