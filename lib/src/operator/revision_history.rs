//! Revisions of the configuration that a host has seen, for comparison.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::configuration::Configuration;

/// Revisions that a host keeps in memory.
const MAX_REVISIONS: usize = 32;

/// The latest revisions that this host has seen, lowest first. A host that lagged or has just
/// started lacks those that it never saw.
#[derive(Clone, Debug, Default)]
pub(super) struct RevisionHistory {
    revisions: Arc<Mutex<VecDeque<Arc<Configuration>>>>,
}

impl RevisionHistory {
    /// Keeps a configuration unless its revision is kept, and drops the lowest surplus one.
    pub(super) fn insert(&self, configuration: &Arc<Configuration>) {
        let mut revisions = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let revision = configuration.revision;
        let Err(position) = revisions.binary_search_by_key(&revision, |seen| seen.revision) else {
            return;
        };
        revisions.insert(position, configuration.clone());
        if revisions.len() > MAX_REVISIONS {
            revisions.pop_front();
        }
    }

    /// A kept revision.
    pub(super) fn get(&self, revision: u64) -> Option<Arc<Configuration>> {
        let revisions = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        revisions
            .iter()
            .find(|seen| seen.revision == revision)
            .cloned()
    }

    /// Numbers of the kept revisions, lowest first.
    pub(super) fn numbers(&self) -> Vec<u64> {
        let revisions = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        revisions.iter().map(|seen| seen.revision).collect()
    }
}
