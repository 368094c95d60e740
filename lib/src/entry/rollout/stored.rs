//! Roll-outs as they are stored on the platform.

use std::time::Duration;

use compact_str::CompactString;
use futures::future::BoxFuture;

use super::super::source::Source;
use super::super::source::SourceError;
use super::order::RolloutState;

/// Status of a stored roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// State of the order, never [`RolloutState::Ordered`].
    pub state: RolloutState,
    /// Version of the order that the status belongs to.
    pub target: CompactString,
    /// Revision of the store at which the `spec` of this order was written, `None` if the status does
    /// not name it.
    pub ordered_at: Option<u64>,
}

/// An operator's order to move the traffic of a service to a version, with its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRollout {
    /// Name of the service.
    pub service: CompactString,
    /// Version that is to get the traffic.
    pub target: CompactString,
    /// Time from the order until its deadline.
    pub duration: Duration,
    /// Revision of the store at which the object was last written, its status included.
    pub revision: u64,
    /// `None` if none was written yet.
    pub status: Option<StoredStatus>,
}

/// Result of writing a status. Status 409 means that the object has another revision than stated.
pub type StatusFuture = BoxFuture<'static, Result<(), SourceError>>;
/// Writes the status of the object of a name, on condition that it still has a revision.
pub type WriteStatus = Box<dyn Fn(&str, u64, &StoredStatus) -> StatusFuture + Send + Sync>;

/// Result of reading the object of a name; `None` if there is none.
pub type ReadFuture = BoxFuture<'static, Result<Option<StoredRollout>, SourceError>>;
/// Reads the object of a name from the platform itself.
pub type ReadRollout = Box<dyn Fn(&str) -> ReadFuture + Send + Sync>;

/// Reads orders from the platform, and writes their status.
pub struct RolloutStore {
    /// The orders. The name of an object is that of its service.
    pub source: Source<StoredRollout>,
    /// Reads the present state of an object, to find out what has become of a write.
    pub read: ReadRollout,
    /// Writes the status of an order.
    pub write_status: WriteStatus,
}
