//! Limit on the waiting requests of each workspace (customer) on this host.
//!
//! A request waits from its submission to the scheduler, which chooses a backend server for it,
//! until a connection to that server is ready. It is not counted again if it has to wait
//! for another server after that.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::id::WorkspaceId;

/// Counter of waiting requests per workspace, with the same limit for every workspace.
#[derive(Clone)]
pub(crate) struct WaitingLimit {
    max: usize,
    counts: Arc<Mutex<HashMap<WorkspaceId, usize>>>,
}

impl WaitingLimit {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max,
            counts: Arc::default(),
        }
    }

    /// Counts one more waiting request of the workspace, or returns `None` at the limit.
    pub(crate) fn enter(&self, workspace: WorkspaceId) -> Option<WaitingSlot> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(workspace).or_default();
        if *count >= self.max {
            return None;
        }
        *count += 1;
        Some(WaitingSlot {
            limit: self.clone(),
            workspace,
        })
    }
}

/// Place of one waiting request in the limit of its workspace; dropping it frees the place.
pub(crate) struct WaitingSlot {
    limit: WaitingLimit,
    workspace: WorkspaceId,
}

impl Drop for WaitingSlot {
    fn drop(&mut self) {
        let mut counts = self
            .limit
            .counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.workspace);
            }
        }
    }
}
