//! Authentication of requests: maps a bearer key to its workspace (customer), and the requested
//! class to a time limit.
//!
//! The configuration stores only SHA-256 hashes of keys. A class is a kind of work with a target
//! time within which its requests must start on a backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::header;
use compact_str::CompactString;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use super::error_code::ErrorCode;
use super::headers;
use crate::configuration::Configuration;
use crate::id::WorkspaceId;

/// Time within which a request must start on a backend server if the configuration has no class.
const TARGET_DEFAULT: Duration = Duration::from_secs(30);
/// Class name in the metrics for requests without a class.
const CLASS_DEFAULT: &str = "none";
/// Number of leading hash bytes used as the lookup index. The rest is compared in constant time.
const HASH_PREFIX_BYTES: usize = 8;

type KeyHash = [u8; 32];

/// Authenticated caller of one request, with the class that applies to it.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: WorkspaceId,
    pub(crate) workspace_name: CompactString,
    /// Name of the class.
    pub(crate) class: CompactString,
    /// Time from arrival within which the request must start on a backend server.
    pub(crate) target: Duration,
}

/// Index from key hashes to workspaces, built for one configuration.
struct KeyIndex {
    configuration: Arc<Configuration>,
    /// Full hashes by their first bytes, each with the position of its workspace in the
    /// configuration.
    by_prefix: HashMap<[u8; HASH_PREFIX_BYTES], Vec<(KeyHash, usize)>>,
}

impl KeyIndex {
    fn new(configuration: Arc<Configuration>) -> Self {
        let mut by_prefix: HashMap<_, Vec<_>> = HashMap::new();
        for (index, workspace) in configuration.workspaces.iter().enumerate() {
            let mut hash = KeyHash::default();
            // A workspace with an unreadable hash is skipped, so no key is valid for it.
            if hex::decode_to_slice(workspace.key_hash.as_str(), &mut hash).is_ok() {
                by_prefix
                    .entry(hash_prefix(&hash))
                    .or_default()
                    .push((hash, index));
            }
        }
        Self {
            configuration,
            by_prefix,
        }
    }

    /// Finds the caller by the key and the class in the header fields.
    fn caller(&self, headers: &HeaderMap) -> Result<Caller, ErrorCode> {
        let key = bearer_key(headers).ok_or(ErrorCode::MissingKey)?;
        let hash = KeyHash::from(Sha256::digest(key));
        let index = self
            .by_prefix
            .get(&hash_prefix(&hash))
            .into_iter()
            .flatten()
            .find(|(stored, _)| bool::from(stored.ct_eq(&hash)))
            .map(|(_, index)| *index)
            .ok_or(ErrorCode::UnknownKey)?;
        let workspace = &self.configuration.workspaces[index];
        if !workspace.enabled {
            return Err(ErrorCode::WorkspaceDisabled);
        }
        let (class, target) = self.class(headers)?;
        Ok(Caller {
            workspace: workspace.id,
            workspace_name: workspace.name.clone(),
            class,
            target,
        })
    }

    /// Returns the name and target of the requested class, or of the first configured one if the
    /// request names none.
    fn class(&self, headers: &HeaderMap) -> Result<(CompactString, Duration), ErrorCode> {
        let classes = &self.configuration.classes;
        let class = match headers.get(headers::CLASS) {
            Some(name) => Some(
                classes
                    .iter()
                    .find(|class| class.name.as_bytes() == name.as_bytes())
                    .ok_or(ErrorCode::UnknownClass)?,
            ),
            None => classes.first(),
        };
        Ok(class.map_or_else(
            || (CompactString::const_new(CLASS_DEFAULT), TARGET_DEFAULT),
            |class| (class.name.clone(), Duration::from_millis(class.target_ms)),
        ))
    }
}

/// Authenticates requests. The key index is rebuilt when a request arrives under a new
/// configuration.
#[derive(Default)]
pub(crate) struct Authenticator {
    key_index: RwLock<Option<Arc<KeyIndex>>>,
}

impl Authenticator {
    /// Returns the workspace and class for the header fields of a request, or the error code for
    /// the caller.
    pub(crate) fn caller(
        &self,
        configuration: &Arc<Configuration>,
        headers: &HeaderMap,
    ) -> Result<Caller, ErrorCode> {
        self.key_index(configuration).caller(headers)
    }

    /// Returns the key index of this configuration, and builds it first if the stored one belongs
    /// to another configuration.
    fn key_index(&self, configuration: &Arc<Configuration>) -> Arc<KeyIndex> {
        let current = self
            .key_index
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some(key_index) = current
            && Arc::ptr_eq(&key_index.configuration, configuration)
        {
            return key_index;
        }
        let key_index = Arc::new(KeyIndex::new(configuration.clone()));
        *self
            .key_index
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Some(key_index.clone());
        key_index
    }
}

/// Returns the key of an `authorization: Bearer KEY` field. The scheme is case-insensitive.
fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"Bearer ")
        .then(|| key.trim_ascii())
        .filter(|key| !key.is_empty())
}

fn hash_prefix(hash: &KeyHash) -> [u8; HASH_PREFIX_BYTES] {
    let mut prefix = [0; HASH_PREFIX_BYTES];
    prefix.copy_from_slice(&hash[..HASH_PREFIX_BYTES]);
    prefix
}
