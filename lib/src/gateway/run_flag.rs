//! Whether a request may have reached a backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Shared note on one request: whether a backend server may have run it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunFlag(Arc<AtomicBool>);

impl RunFlag {
    /// The request is about to be written to a connection.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// The latest attempt provably did not run it.
    pub(crate) fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Whether a backend server may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
