//! Lookups in the configuration, and its comparison.

use compact_str::CompactString;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::Class;
use super::Configuration;
use super::Workspace;
use super::fingerprint;

/// Returns the hash of a workspace's key in the form that the configuration stores: SHA-256 in
/// lower-case hexadecimal.
pub fn hash_key(key: &[u8]) -> CompactString {
    hex::encode(Sha256::digest(key)).into()
}

impl Configuration {
    /// Returns the workspace with the given name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|entry| entry.name == name)
    }

    /// Returns the workspace whose key has this hash, whether it is enabled or not.
    ///
    /// Candidates are selected by the fingerprint (the first digits of the hash), which is not
    /// secret. The full hashes are compared in constant time, so that response times do not reveal
    /// the stored one.
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

    /// Whether two configurations are equal except for their revisions and change records.
    pub fn is_same_state(&self, other: &Self) -> bool {
        self.next_workspace == other.next_workspace
            && self.workspaces == other.workspaces
            && self.classes == other.classes
            && self.domains_out == other.domains_out
            && self.servers_out == other.servers_out
    }

    /// Returns the class with the given name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the class that applies to requests that name no class.
    pub fn default_class(&self) -> Option<&Class> {
        self.classes.first()
    }
}
