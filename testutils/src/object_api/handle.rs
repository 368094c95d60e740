//! Control of the stand-in object API while it runs: objects, faults and records.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::state::Condition;
use super::state::ObjectApiCounts;
use super::state::ObjectWrite;
use super::state::Outage;
use super::state::Shared;
use super::state::WriteResult;
use crate::server::Connections;
use crate::server::runtime;

/// Handle of an [`super::ObjectApi`]; clones control the same stand-in.
#[derive(Clone, Debug)]
pub struct ObjectApiHandle {
    shared: Arc<Shared>,
    connections: Arc<Connections>,
}

impl ObjectApiHandle {
    pub(super) fn new(shared: Arc<Shared>, connections: Arc<Connections>) -> Self {
        Self {
            shared,
            connections,
        }
    }

    /// Stores an object regardless of its version and of injected faults, and returns its new
    /// version.
    pub fn put(&self, kind: &str, name: &str, bytes: impl Into<Bytes>) -> u64 {
        let bytes = bytes.into();
        loop {
            let condition = match self.shared.current(kind, name) {
                Some(stored) => Condition::Version(stored.version),
                None => Condition::Absent,
            };
            let written = self
                .shared
                .write(kind, name, condition, Some(bytes.clone()));
            if let WriteResult::Stored(version) = written {
                return version;
            }
        }
    }

    /// Version and bytes of an object, regardless of injected faults; none if it does not exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<(u64, Bytes)> {
        let stored = self.shared.current(kind, name)?;
        Some((stored.version, stored.bytes))
    }

    /// Starts or ends an outage, which also applies to waiting watches at once.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.set_outage(outage);
        if outage == Outage::Broken {
            self.connections.abort_all();
        }
    }

    /// Delays every call by this time; zero removes the delay.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.set_delay(delay);
    }

    /// Processes the next `count` writes, but breaks their connections instead of responding.
    pub fn drop_write_responses(&self, count: u64) {
        self.shared.drop_write_responses(count);
    }

    /// For this span of time, reads and watches get the objects as they are now, without later
    /// writes.
    pub fn serve_stale(&self, span: Duration) {
        self.shared.set_stale(span);
        // Waiting watches must check the current objects when the span ends.
        let shared = Arc::clone(&self.shared);
        runtime().spawn(async move {
            tokio::time::sleep(span).await;
            shared.wake();
        });
    }

    /// Limits the calls per second; zero removes the limit. Calls above it fail with status 429.
    pub fn set_rate_limit(&self, calls_per_second: u64) {
        self.shared.set_rate_limit(calls_per_second);
    }

    /// Counts of the calls so far.
    pub fn counts(&self) -> ObjectApiCounts {
        self.shared.counts()
    }

    /// Writes that took effect, oldest first, those through handles included.
    pub fn writes(&self) -> Vec<ObjectWrite> {
        self.shared.writes()
    }
}
