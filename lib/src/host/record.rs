//! State that a host keeps for each entry host (host that accepts requests) of the fleet, itself
//! included.
//!
//! A few hosts are the monitors of another one: they expect its heartbeats. In a large fleet only
//! they do, and they report its death to their failure domain; in a small fleet, a full mesh, every
//! host expects heartbeats from every other. Roles are tasks that one host has for its failure
//! domain, such as scheduling the requests to a service.

use std::net::SocketAddr;

use super::HostEntry;
use super::HostState;
use super::hold_down::HoldDown;
use crate::id::DomainId;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// Latest entry of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListedHost {
    pub(crate) domain: DomainId,
    /// Address of the listener for links from other hosts.
    pub(crate) address: SocketAddr,
    /// Whether the list says that the host is about to be stopped; it then gets no roles.
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

/// State kept for one host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    /// Latest entry in the host list, kept after the host is removed from the list. `None` if the
    /// host has never been listed.
    pub(crate) entry: Option<ListedHost>,
    /// Whether the current version of the host list contains the host.
    pub(crate) listed: bool,
    /// Whether the host is considered alive.
    pub(crate) alive: bool,
    /// Latest known incarnation (process start), zero if unknown.
    pub(crate) incarnation: Incarnation,
    /// Revision of the configuration that the host uses, according to its latest heartbeat, zero if
    /// unknown. Does not affect membership.
    pub(crate) configuration_revision: u64,
    /// Whether the host has announced that it stops.
    pub(crate) stopping: bool,
    /// Time of the latest evidence that the host is alive: a message from the host
    /// to this one, or evidence that another host reports. When this host marks the other one dead
    /// for its silence, the start of that silence.
    pub(crate) last_evidence: Timestamp,
    /// Time of the latest message from the host itself.
    pub(crate) last_message: Timestamp,
    /// Whether this host monitors the other one: expects its heartbeats, and marks it dead when
    /// they stop. In a full mesh this is so for all known hosts; in a large fleet a monitor also
    /// reports the death to its failure domain.
    pub(crate) monitored: bool,
    /// Time at which `monitored` last changed, or the fleet last switched between full mesh and
    /// assigned monitors.
    pub(crate) monitored_since: Timestamp,
    /// Time at which the host is considered silent unless a message arrives before. In the far
    /// future for a host that this host does not watch for silence.
    pub(crate) silence_deadline: Timestamp,
    /// For a silent host that other hosts have been asked about (a suspect): time at which it is
    /// marked dead unless it sends a message or one of them reports it alive. In the far future for
    /// a host that is not suspect.
    pub(crate) suspect_deadline: Timestamp,
    /// Time from which the host is considered unreachable, because the outgoing link to it is down.
    /// In the far future while the link is up, and before it has been established or has failed for
    /// the first time.
    pub(crate) link_deadline: Timestamp,
    /// Time after a return of the host during which it gets no roles.
    pub(crate) hold_down: HoldDown,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            entry: None,
            listed: false,
            alive: false,
            incarnation: Incarnation::default(),
            configuration_revision: 0,
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
    /// Failure domain, `None` if the host has never been listed.
    pub(crate) fn domain(&self) -> Option<DomainId> {
        self.entry.map(|entry| entry.domain)
    }

    /// Whether the host is about to stop, according to the host list or to the host itself.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stopping || self.entry.is_some_and(|entry| entry.leaving)
    }

    /// Whether the host may get roles, apart from its hold-down.
    pub(crate) fn is_candidate(&self) -> bool {
        self.listed && self.alive && !self.is_leaving()
    }

    /// Start of the silence of the host as far as this host can tell: the latest evidence that it
    /// is alive, or the start of monitoring if that is later. Before the start of monitoring,
    /// missing messages prove nothing, since the host did not have to send any to this one.
    pub(crate) fn silent_since(&self) -> Timestamp {
        if self.monitored {
            self.last_evidence.max(self.monitored_since)
        } else {
            self.last_evidence
        }
    }

    /// Whether the host is silent and other hosts have been asked whether it is alive.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect_deadline != Timestamp::FAR_FUTURE
    }

    /// Whether the outgoing link has been down for longer than the link timeout.
    pub(crate) fn is_unreachable(&self, now: Timestamp) -> bool {
        self.link_deadline.has_passed(now)
    }
}
