//! What one host knows of another.

use std::net::SocketAddr;

use super::HostEntry;
use super::HostState;
use super::hold_down::HoldDown;
use crate::id::DomainId;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// What the host list last said of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListedHost {
    pub(crate) domain: DomainId,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
}

impl ListedHost {
    pub(crate) fn of(entry: &HostEntry) -> Self {
        Self {
            domain: entry.domain_id(),
            address: entry.address,
            leaving: entry.state == HostState::Leaving,
        }
    }
}

/// What one host knows of another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// Latest entry in the host list; kept after the list has dropped the host.
    pub(crate) entry: Option<ListedHost>,
    /// Whether the latest reading lists the host.
    pub(crate) listed: bool,
    /// Whether the host is held to be alive.
    pub(crate) alive: bool,
    /// Latest known life, zero if unknown.
    pub(crate) incarnation: Incarnation,
    /// Latest configuration revision that the host announced.
    pub(crate) revision: u64,
    /// Whether the host has announced that it stops.
    pub(crate) stopping: bool,
    /// Latest sign of life, own or told by another host.
    pub(crate) last_evidence: Timestamp,
    /// Latest message from the host itself.
    pub(crate) last_message: Timestamp,
    /// Whether this host watches the other one.
    pub(crate) monitored: bool,
    /// Since when it does so.
    pub(crate) monitored_since: Timestamp,
    /// The host is dead at this time unless it is heard before.
    pub(crate) silence_deadline: Timestamp,
    /// The host has been silent and is dead at this time unless another host hears it.
    pub(crate) suspect_deadline: Timestamp,
    /// The host counts as unreachable from this time on.
    pub(crate) link_deadline: Timestamp,
    /// Steady time after a return.
    pub(crate) hold_down: HoldDown,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            entry: None,
            listed: false,
            alive: false,
            incarnation: Incarnation::default(),
            revision: 0,
            stopping: false,
            last_evidence: Timestamp::ZERO,
            last_message: Timestamp::ZERO,
            monitored: false,
            monitored_since: Timestamp::ZERO,
            silence_deadline: Timestamp::FAR_FUTURE,
            suspect_deadline: Timestamp::FAR_FUTURE,
            link_deadline: Timestamp::FAR_FUTURE,
            hold_down: HoldDown::default(),
        }
    }
}

impl Record {
    /// Failure domain, if the host has ever been listed.
    pub(crate) fn domain(&self) -> Option<DomainId> {
        self.entry.map(|entry| entry.domain)
    }

    /// Whether the list or the host itself says that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stopping || self.entry.is_some_and(|entry| entry.leaving)
    }

    /// Whether the host may be given roles as far as the list and the host itself say.
    pub(crate) fn is_candidate(&self) -> bool {
        self.listed && self.alive && !self.is_leaving()
    }

    /// Until when the host may have lived as far as this host knows: while it is watched, its
    /// silence is evidence.
    pub(crate) fn silent_since(&self) -> Timestamp {
        if self.monitored {
            self.last_evidence.max(self.monitored_since)
        } else {
            self.last_evidence
        }
    }

    /// Whether the host is silent and other hosts have been asked about it.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect_deadline != Timestamp::FAR_FUTURE
    }

    /// Whether the outgoing link has been down for too long.
    pub(crate) fn is_unreachable(&self, now: Timestamp) -> bool {
        self.link_deadline.has_passed(now)
    }
}
