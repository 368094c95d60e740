//! Findings, with which the hosts of one failure domain tell each other which hosts are alive or
//! dead. In a large fleet most hosts do not exchange heartbeats, so they rely on these reports.

use crate::id::HostId;
use crate::id::Incarnation;

/// State that one host assumes of another host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Health {
    /// Evidence that the host runs arrives in time.
    #[default]
    Alive,
    /// No such evidence has arrived lately. Hosts that have received some should report it.
    Suspect,
    /// The host is considered dead.
    Dead,
}

/// The sender's view of a third host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// The host that the finding describes.
    pub host: HostId,
    /// Latest incarnation of that host (start of its process) known to the sender, zero if unknown.
    pub incarnation: Incarnation,
    /// State that the sender assumes of that host.
    pub health: Health,
    /// Age of the latest evidence known to the sender that the host runs, microseconds.
    pub age_us: u64,
}
