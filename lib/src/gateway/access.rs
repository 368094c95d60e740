//! Which workspace a key belongs to, and what its requests may ask for.

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

use super::code::Code;
use super::headers;
use crate::configuration::Configuration;
use crate::id::WorkspaceId;

/// Time to start for requests while the configuration has no class.
const TARGET_DEFAULT: Duration = Duration::from_secs(30);
/// Name of the class of such requests in the metrics.
const CLASS_DEFAULT: &str = "none";
/// Leading bytes of a key's hash that choose its entry; the rest is compared in constant time.
const INDEX_BYTES: usize = 8;

type KeyHash = [u8; 32];

/// The caller of one request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) workspace: WorkspaceId,
    pub(crate) workspace_name: CompactString,
    pub(crate) class: CompactString,
    pub(crate) target: Duration,
}

/// Index of the workspaces of one configuration by the hash of their keys.
struct AccessTable {
    configuration: Arc<Configuration>,
    by_hash: HashMap<[u8; INDEX_BYTES], Vec<(KeyHash, usize)>>,
}

impl AccessTable {
    fn new(configuration: Arc<Configuration>) -> Self {
        let mut by_hash: HashMap<_, Vec<_>> = HashMap::new();
        for (at, workspace) in configuration.workspaces.iter().enumerate() {
            let mut hash = KeyHash::default();
            // A workspace whose hash cannot be read has no valid key.
            if hex::decode_to_slice(workspace.key_hash.as_str(), &mut hash).is_ok() {
                by_hash.entry(index_of(&hash)).or_default().push((hash, at));
            }
        }
        Self {
            configuration,
            by_hash,
        }
    }

    fn caller(&self, headers: &HeaderMap) -> Result<Caller, Code> {
        let key = bearer_key(headers).ok_or(Code::MissingKey)?;
        let hash = KeyHash::from(Sha256::digest(key));
        let at = self
            .by_hash
            .get(&index_of(&hash))
            .into_iter()
            .flatten()
            .find(|(known, _)| bool::from(known.ct_eq(&hash)))
            .map(|(_, at)| *at)
            .ok_or(Code::UnknownKey)?;
        let workspace = &self.configuration.workspaces[at];
        if !workspace.enabled {
            return Err(Code::WorkspaceDisabled);
        }
        let (class, target) = self.class(headers)?;
        Ok(Caller {
            workspace: workspace.id,
            workspace_name: workspace.name.clone(),
            class,
            target,
        })
    }

    fn class(&self, headers: &HeaderMap) -> Result<(CompactString, Duration), Code> {
        let classes = &self.configuration.classes;
        let class = match headers.get(headers::CLASS) {
            Some(name) => Some(
                classes
                    .iter()
                    .find(|class| class.name.as_bytes() == name.as_bytes())
                    .ok_or(Code::UnknownClass)?,
            ),
            None => classes.first(),
        };
        Ok(class.map_or_else(
            || (CompactString::const_new(CLASS_DEFAULT), TARGET_DEFAULT),
            |class| (class.name.clone(), Duration::from_millis(class.target_ms)),
        ))
    }
}

/// Finds the callers of requests, following the configuration.
#[derive(Default)]
pub(crate) struct Access {
    table: RwLock<Option<Arc<AccessTable>>>,
}

impl Access {
    /// The caller that the header fields of a request name.
    pub(crate) fn caller(
        &self,
        configuration: &Arc<Configuration>,
        headers: &HeaderMap,
    ) -> Result<Caller, Code> {
        self.table(configuration).caller(headers)
    }

    fn table(&self, configuration: &Arc<Configuration>) -> Arc<AccessTable> {
        let current = self
            .table
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if let Some(table) = current
            && Arc::ptr_eq(&table.configuration, configuration)
        {
            return table;
        }
        let table = Arc::new(AccessTable::new(configuration.clone()));
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = Some(table.clone());
        table
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"Bearer ")
        .then(|| key.trim_ascii())
        .filter(|key| !key.is_empty())
}

fn index_of(hash: &KeyHash) -> [u8; INDEX_BYTES] {
    let mut index = [0; INDEX_BYTES];
    index.copy_from_slice(&hash[..INDEX_BYTES]);
    index
}
