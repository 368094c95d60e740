//! Flag that survives a cancelled dispatch and shows whether a request may have run. If the caller
//! of a request with an idempotency key disconnects, the flag decides how the operation is
//! recorded: as not run, or as unknown.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether a backend server may have run a request. Clones share the flag, so that it can still be
/// read after the caller has disconnected and the dispatch was dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunFlag(Arc<AtomicBool>);

impl RunFlag {
    /// Marks the request as possibly run, before it is written to a connection.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Clears the flag after an attempt that provably did not run the request.
    pub(crate) fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Returns whether a backend server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
