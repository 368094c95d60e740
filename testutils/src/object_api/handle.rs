//! Control of the object API while it runs.

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

/// Handle of an [`super::ObjectApi`].
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

    /// Stores an object whatever its version, untouched by faults, and gives the new version.
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

    /// Reads an object with its version, untouched by faults.
    pub fn get(&self, kind: &str, name: &str) -> Option<(u64, Bytes)> {
        let stored = self.shared.current(kind, name)?;
        Some((stored.version, stored.bytes))
    }

    /// Starts or ends an outage. Waiting watches see it at once.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.set_outage(outage);
        if outage == Outage::Broken {
            self.connections.abort_all();
        }
    }

    /// Delays every call; zero ends it.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.set_delay(delay);
    }

    /// Breaks the connection of the next `count` writes after their effect.
    pub fn drop_write_responses(&self, count: u64) {
        self.shared.drop_write_responses(count);
    }

    /// Lets reads and watches see the objects as they are now for a span of time.
    pub fn serve_stale(&self, span: Duration) {
        self.shared.set_stale(span);
        // Watches that wait on the current objects look again once the old ones are gone.
        let shared = Arc::clone(&self.shared);
        runtime().spawn(async move {
            tokio::time::sleep(span).await;
            shared.wake();
        });
    }

    /// Limits the calls a second; zero removes the limit.
    pub fn set_rate_limit(&self, calls_per_second: u64) {
        self.shared.set_rate_limit(calls_per_second);
    }

    /// Calls seen so far.
    pub fn counts(&self) -> ObjectApiCounts {
        self.shared.counts()
    }

    /// Writes that took effect, oldest first.
    pub fn writes(&self) -> Vec<ObjectWrite> {
        self.shared.writes()
    }
}
