//! Messages that spread which hosts are dead or alive.

use crate::id::HostId;
use crate::id::Incarnation;

/// What the sender found out about a third host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// The host that the finding is about.
    pub host: HostId,
    /// Latest life of it that the sender knows.
    pub incarnation: Incarnation,
    /// Whether the sender holds it to be alive.
    pub alive: bool,
    /// Time since the latest sign of life of it that the sender knows, microseconds.
    pub age_us: u64,
}
