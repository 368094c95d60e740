//! Messages that spread which hosts are dead or alive.

use crate::id::HostId;
use crate::id::Incarnation;

/// What a host holds of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Health {
    /// It is alive.
    #[default]
    Alive,
    /// It is silent: whoever has heard it lately should say so.
    Suspect,
    /// It is dead.
    Dead,
}

/// What the sender found out about a third host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// The host that the finding is about.
    pub host: HostId,
    /// Latest life of it that the sender knows.
    pub incarnation: Incarnation,
    /// What the sender holds of it.
    pub health: Health,
    /// Time since the latest sign of life of it that the sender knows, microseconds.
    pub age_us: u64,
}
