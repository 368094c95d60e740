//! Recent revisions of the configuration, which operators can compare.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::configuration::Configuration;

/// Maximum number of revisions in memory.
const MAX_REVISIONS: usize = 32;

/// The highest revisions of the configuration that this host has received or stored, lowest first.
///
/// The history has gaps where the host received a later revision without the ones in between. It is
/// not stored, so it is empty after a restart.
#[derive(Clone, Debug, Default)]
pub(super) struct RevisionHistory {
    revisions: Arc<Mutex<VecDeque<Arc<Configuration>>>>,
}

impl RevisionHistory {
    /// Adds a configuration unless the history contains its revision. Drops the lowest revision if
    /// there are more than [`MAX_REVISIONS`].
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

    /// Returns the configuration of a revision, if the history contains it.
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

    /// Returns the revision numbers in the history, lowest first.
    pub(super) fn numbers(&self) -> Vec<u64> {
        let revisions = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        revisions.iter().map(|seen| seen.revision).collect()
    }
}
