//! Membership: which hosts are in the fleet, which of them are alive, and which of them hold the
//! roles, such as scheduling a service.
//!
//! Every host decides this on its own. It uses the host list (the platform's list of hosts), the
//! messages that it receives, and in a large fleet also findings: reports by other hosts of its
//! failure domain on whether a third host is alive. Hosts with the same information choose the same
//! scheduler. While their information differs, two hosts may schedule the same service, which the
//! scheduler tolerates.
//!
//! Up to [`FULL_MESH_HOSTS`] hosts form a full mesh, in which every host sends heartbeats to every
//! other. In a larger fleet each host sends heartbeats only to its monitors, a few hosts of its own
//! failure domain and one of each other domain, so that the rate of heartbeats does not grow with
//! the fleet. A monitor reports a death to the hosts of its own failure domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use super::HostList;
use super::Role;
use super::record::ListedHost;
use super::record::Record;
use super::ring::Ring;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::Finding;
use crate::message::Heartbeat;
use crate::time::Timestamp;

/// Interval at which [`Membership::tick`] must be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of listed hosts that form a full mesh, where every host sends heartbeats to every
/// other.
pub const FULL_MESH_HOSTS: usize = 16;

/// Silence after which a host is considered dead in a full mesh.
const MESH_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a monitor suspects a host of its own failure domain in a large fleet: it
/// asks other hosts about it before it marks the host dead.
const LOCAL_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which a monitor suspects a host of another failure domain in a large fleet. Longer
/// than in the own one, because heartbeats between failure domains are sent less often.
const REMOTE_SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Additional silence allowed to a host that may not know yet that this host is its monitor.
pub(crate) const MONITOR_GRACE: Duration = Duration::from_secs(2);
/// Time that other hosts have to report a silent host alive before it is reported dead.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a host that is not in the host list is considered dead in a large fleet.
const UNLISTED_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the first host list during which listed hosts are considered alive although no message
/// has arrived from them. Also the time between two rounds of initial heartbeats.
pub(crate) const START_GRACE: Duration = Duration::from_secs(1);
/// Time without an outgoing link after which a host is considered dead.
const LINK_DOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two ticks above which this host assumes that it was itself stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Time between two heartbeats to hosts that are considered dead, each to the next of them, so that
/// hosts of a large fleet find each other again after a network partition. In a full mesh all
/// listed hosts get heartbeats anyway.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two messages that repeat which hosts are dead, in a large fleet.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Rounds of heartbeats to all hosts after the start and when this host stops, one every
/// [`START_GRACE`].
const HELLO_ROUNDS: u32 = 2;
/// Silence after which the record of a dead, unlisted host is removed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);
/// Limit on the records of unlisted hosts. Messages from further unlisted hosts are ignored.
const MAX_UNLISTED_HOSTS: usize = 1024;
/// Number of times in a row that a host list with a lower revision must be read to be accepted.
const LOWER_REVISION_READS: u32 = 3;

/// A change of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A host is now considered alive.
    HostUp(HostId),
    /// A host is now considered dead or unreachable.
    HostDown(HostId),
    /// The process on a host has restarted, so its state in memory is lost.
    HostRestarted {
        /// The host.
        host: HostId,
        /// Its new incarnation, which identifies the start of the process.
        incarnation: Incarnation,
    },
    /// A host has announced that it is about to stop.
    HostStopping(HostId),
    /// A host that came back has stayed alive for its hold-down and may get roles again.
    HoldDownEnded(HostId),
    /// The entry hosts in the host list, or their entries, have changed.
    ListChanged,
}

/// Messages to send after a tick, and the changes that it made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipTick {
    /// Hosts to send a heartbeat to.
    pub heartbeats: Vec<HostId>,
    /// Findings to send, with their receivers.
    pub findings: Vec<(HostId, Vec<Finding>)>,
    /// Changes of membership in this tick.
    pub changes: Vec<MembershipChange>,
}

/// The view that one host has of the hosts of the fleet. Does no I/O: the caller feeds it events
/// with their times and sends the messages that [`Membership::tick`] returns.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own: HostId,
    pub(crate) own_domain: DomainId,
    pub(crate) now: Timestamp,
    pub(crate) records: BTreeMap<HostId, Record>,
    /// Findings to send with the next tick: for each receiver, the hosts to report on.
    pub(crate) outbox: BTreeMap<HostId, BTreeSet<HostId>>,
    /// Hosts that get a heartbeat with the next tick in addition to the periodic ones.
    pub(crate) immediate_heartbeats: BTreeSet<HostId>,
    /// Whether the assignment of monitors must be computed again.
    pub(crate) monitors_outdated: bool,
    /// Revision of the latest accepted host list, `None` before the first.
    list_revision: Option<u64>,
    /// Lists with a lower revision read since then.
    lower_revision_reads: u32,
    /// End of the [`START_GRACE`], in the far future before the first host list.
    grace_until: Timestamp,
    pub(crate) full_mesh: bool,
    /// Monitors of this host in its own failure domain.
    pub(crate) local_monitors: Vec<HostId>,
    /// Monitors of this host in the other failure domains, one in each.
    pub(crate) remote_monitors: Vec<HostId>,
    last_tick: Timestamp,
    /// Whether the latest tick came late although the one before it did not.
    stalled: bool,
    /// Times of the next heartbeats to the monitors, or in a full mesh to all hosts.
    pub(crate) local_heartbeat_at: Timestamp,
    pub(crate) remote_heartbeat_at: Timestamp,
    /// Time of the next heartbeat to a dead host, and the latest receiver of one.
    pub(crate) probe_at: Timestamp,
    pub(crate) last_probed: HostId,
    /// Time of the next repetition of the dead hosts, and the latest receiver of one.
    pub(crate) digest_at: Timestamp,
    pub(crate) last_digest_to: HostId,
    /// Time of the next round of heartbeats to all hosts, and the rounds that are left.
    pub(crate) hello_at: Timestamp,
    pub(crate) hello_rounds_left: u32,
}

impl Membership {
    /// Creates the view of host `own` before the first host list, when only `own` is known.
    pub fn new(
        own: HostId,
        own_domain: DomainId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Self {
        let entry = ListedHost {
            domain: own_domain,
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            leaving: false,
        };
        let mut record = Record {
            entry: Some(entry),
            alive: true,
            incarnation,
            ..Record::default()
        };
        // Other hosts start a hold-down for a host that has just started. This host must do the
        // same for itself to choose the same schedulers.
        record.hold_down.on_return(now);
        Self {
            own,
            own_domain,
            now,
            records: BTreeMap::from([(own, record)]),
            outbox: BTreeMap::new(),
            immediate_heartbeats: BTreeSet::new(),
            monitors_outdated: true,
            list_revision: None,
            lower_revision_reads: 0,
            grace_until: Timestamp::FAR_FUTURE,
            full_mesh: true,
            local_monitors: Vec::new(),
            remote_monitors: Vec::new(),
            last_tick: now,
            stalled: false,
            local_heartbeat_at: now,
            remote_heartbeat_at: now,
            probe_at: now + PROBE_INTERVAL,
            last_probed: HostId::default(),
            digest_at: now + DIGEST_INTERVAL,
            last_digest_to: HostId::default(),
            hello_at: Timestamp::FAR_FUTURE,
            hello_rounds_left: 0,
        }
    }

    /// Applies a version of the host list that was read from the platform.
    ///
    /// A list without entry hosts is ignored, and so is one with a lower revision than before. A
    /// lower revision is accepted once it has been read three times in a row, because the platform
    /// may have been set up anew.
    pub fn on_host_list(&mut self, now: Timestamp, list: HostList) -> Vec<MembershipChange> {
        self.now = now;
        let entries: BTreeMap<_, _> = list
            .hosts
            .iter()
            .filter(|entry| entry.role == Role::Entry)
            .map(|entry| (entry.host_id(), ListedHost::of(entry)))
            .collect();
        if entries.is_empty() || !self.accepts_revision(list.revision) {
            return Vec::new();
        }
        if self.grace_until == Timestamp::FAR_FUTURE {
            self.grace_until = now + START_GRACE;
            self.hello_at = now;
            self.hello_rounds_left = HELLO_ROUNDS;
        }
        let mut changes = Vec::new();
        let mut changed = self.unlist_missing(&entries);
        for (host, entry) in entries {
            changed |= self.list_host(host, entry, &mut changes);
        }
        if changed {
            self.monitors_outdated = true;
            changes.push(MembershipChange::ListChanged);
            self.update_monitors();
        }
        changes
    }

    /// Records the arrival of a message of any kind from a host, which shows that the host is
    /// alive.
    ///
    /// A message of an earlier incarnation is ignored while the host is considered alive. Once it
    /// is dead, a lower incarnation is accepted: incarnations come from the host's clock, which may
    /// have been set back.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        heartbeat: Option<Heartbeat>,
    ) -> Vec<MembershipChange> {
        self.now = now;
        let mut changes = Vec::new();
        if from == self.own || !self.has_room_for(from) {
            return changes;
        }
        let record = self.records.entry(from).or_default();
        if record.alive && incarnation < record.incarnation {
            return changes;
        }
        record.last_evidence = now;
        record.last_message = now;
        self.record_incarnation(from, incarnation, &mut changes);
        self.record_heartbeat(from, heartbeat, &mut changes);
        self.reset_silence_deadline(from, Duration::ZERO);
        if self.mark_alive(from, &mut changes) && self.is_monitored(from) {
            self.report_to_domain(from);
        }
        changes
    }

    /// Records that the outgoing link to a host is up, and that the host has proved that it knows
    /// the fleet key, the secret that all hosts of the fleet share.
    pub fn link_up(
        &mut self,
        now: Timestamp,
        host: HostId,
        incarnation: Incarnation,
    ) -> Vec<MembershipChange> {
        if let Some(record) = self.records.get_mut(&host) {
            record.link_deadline = Timestamp::FAR_FUTURE;
        }
        self.immediate_heartbeats.insert(host);
        self.on_message(now, host, incarnation, None)
    }

    /// Records that the outgoing link to a host is down. If the link stays down, the host is
    /// considered dead even if its messages still arrive: a scheduler is of no use to a host that
    /// cannot send it requests to schedule.
    pub fn link_down(&mut self, now: Timestamp, host: HostId) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&host) {
            record.link_deadline = record.link_deadline.min(now + LINK_DOWN_TIMEOUT);
        }
    }

    /// Gives up the roles of this host because it is about to stop. The next tick sends a heartbeat
    /// to every host.
    pub fn stop(&mut self, now: Timestamp) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&self.own) {
            record.stopping = true;
        }
        self.hello_at = now;
        self.hello_rounds_left = HELLO_ROUNDS;
    }

    /// Advances the clock to `now`: marks silent hosts dead and returns the messages that are due.
    /// Must be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) -> MembershipTick {
        self.now = now;
        let mut changes = Vec::new();
        self.allow_for_stall();
        self.expire_hosts(&mut changes);
        self.report_ended_hold_downs(&mut changes);
        self.forget_unlisted();
        self.update_monitors();
        let heartbeats = self.due_heartbeats();
        let findings = self.due_findings();
        self.last_tick = now;
        MembershipTick {
            heartbeats,
            findings,
            changes,
        }
    }

    /// Hosts whose record meets `condition`, in ascending order.
    pub(crate) fn select(&self, condition: impl Fn(&Record) -> bool) -> Vec<HostId> {
        self.records
            .iter()
            .filter(|(_, record)| condition(record))
            .map(|(host, _)| *host)
            .collect()
    }

    fn accepts_revision(&mut self, revision: u64) -> bool {
        let is_lower = self.list_revision.is_some_and(|known| revision < known);
        if is_lower {
            self.lower_revision_reads += 1;
        }
        if is_lower && self.lower_revision_reads < LOWER_REVISION_READS {
            return false;
        }
        self.lower_revision_reads = 0;
        self.list_revision = Some(revision);
        true
    }

    /// Marks the listed hosts unlisted that `entries` lacks. Returns whether there are any.
    fn unlist_missing(&mut self, entries: &BTreeMap<HostId, ListedHost>) -> bool {
        let mut missing = self.select(|record| record.listed);
        missing.retain(|host| !entries.contains_key(host));
        for host in &missing {
            if let Some(record) = self.records.get_mut(host) {
                record.listed = false;
            }
            self.reset_silence_deadline(*host, Duration::ZERO);
        }
        !missing.is_empty()
    }

    /// Stores the list entry of a host. Returns whether anything changed.
    fn list_host(
        &mut self,
        host: HostId,
        entry: ListedHost,
        changes: &mut Vec<MembershipChange>,
    ) -> bool {
        let in_grace = self.in_grace();
        let record = self.records.entry(host).or_default();
        if record.listed && record.entry == Some(entry) {
            return false;
        }
        if !record.listed {
            self.immediate_heartbeats.insert(host);
            // Makes `update_monitors` set a new silence deadline.
            record.monitored = false;
        }
        record.listed = true;
        record.entry = Some(entry);
        if in_grace && !record.alive {
            // This is an assumption and not a sign of life, so `last_evidence` stays as it is and a
            // finding that reports the host dead takes effect.
            record.alive = true;
            changes.push(MembershipChange::HostUp(host));
        }
        true
    }

    fn in_grace(&self) -> bool {
        !self.grace_until.has_passed(self.now)
    }

    /// Whether the host has a record or may get one.
    fn has_room_for(&self, host: HostId) -> bool {
        self.records.contains_key(&host)
            || self.select(|record| !record.listed).len() < MAX_UNLISTED_HOSTS
    }

    /// Records the incarnation of a host. If it differs from the known one, the host has restarted.
    pub(crate) fn record_incarnation(
        &mut self,
        host: HostId,
        incarnation: Incarnation,
        changes: &mut Vec<MembershipChange>,
    ) {
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        let known = record.incarnation;
        record.incarnation = incarnation;
        if known == Incarnation::default() || known == incarnation {
            return;
        }
        record.stopping = false;
        record.revision = 0;
        if record.alive {
            record.hold_down.on_return(self.now);
        }
        changes.push(MembershipChange::HostRestarted { host, incarnation });
    }

    fn record_heartbeat(
        &mut self,
        host: HostId,
        heartbeat: Option<Heartbeat>,
        changes: &mut Vec<MembershipChange>,
    ) {
        let (Some(record), Some(heartbeat)) = (self.records.get_mut(&host), heartbeat) else {
            return;
        };
        if heartbeat.stopping && !record.stopping {
            changes.push(MembershipChange::HostStopping(host));
        }
        record.revision = heartbeat.revision;
        record.stopping = heartbeat.stopping;
    }

    /// Marks a host alive unless it is unreachable. Returns whether the host was dead before.
    pub(crate) fn mark_alive(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) -> bool {
        let in_grace = self.in_grace();
        let Some(record) = self.records.get_mut(&host) else {
            return false;
        };
        if record.alive || record.is_unreachable(self.now) {
            return false;
        }
        record.alive = true;
        if !in_grace {
            record.hold_down.on_return(self.now);
        }
        self.monitors_outdated = true;
        changes.push(MembershipChange::HostUp(host));
        true
    }

    /// Marks a host dead if it is considered alive.
    pub(crate) fn mark_dead(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) {
        if let Some(record) = self.records.get_mut(&host)
            && record.alive
        {
            record.alive = false;
            record.suspect_deadline = Timestamp::FAR_FUTURE;
            self.monitors_outdated = true;
            changes.push(MembershipChange::HostDown(host));
        }
    }

    /// Sets the silence deadline of a host to its silence timeout plus `extra` from now, and ends
    /// its suspicion.
    pub(crate) fn reset_silence_deadline(&mut self, host: HostId, extra: Duration) {
        let silence = self.silence_timeout(host);
        let now = self.now;
        if let Some(record) = self.records.get_mut(&host) {
            record.suspect_deadline = Timestamp::FAR_FUTURE;
            record.silence_deadline = match silence {
                Some(silence) => now + silence + extra,
                None => Timestamp::FAR_FUTURE,
            };
        }
    }

    /// Silence after which this host acts on the silence of another one; `None` for a host that it
    /// does not monitor.
    fn silence_timeout(&self, host: HostId) -> Option<Duration> {
        let record = self.records.get(&host)?;
        if self.full_mesh {
            return Some(MESH_SILENCE_TIMEOUT);
        }
        if !record.listed {
            return Some(UNLISTED_SILENCE_TIMEOUT);
        }
        let is_local = record.domain() == Some(self.own_domain);
        let silence = if is_local {
            LOCAL_SILENCE_TIMEOUT
        } else {
            REMOTE_SILENCE_TIMEOUT
        };
        record.monitored.then_some(silence)
    }

    /// Whether this host monitors another one on behalf of its failure domain, as in a large fleet.
    pub(crate) fn is_monitored(&self, host: HostId) -> bool {
        !self.full_mesh
            && self
                .records
                .get(&host)
                .is_some_and(|record| record.monitored)
    }

    /// Whether hosts rely on findings of others, as in a large fleet.
    pub(crate) fn uses_findings(&self) -> bool {
        !self.full_mesh
    }

    /// Reports to the hosts of the own failure domain whether `host` is alive.
    pub(crate) fn report_to_domain(&mut self, host: HostId) {
        for receiver in self.alive_hosts(self.own_domain) {
            if receiver != self.own && receiver != host {
                self.outbox.entry(receiver).or_default().insert(host);
            }
        }
    }

    /// Extends the silence deadlines after a stall of this host, because messages from other hosts
    /// may still wait to be read. Two late ticks in a row count as one stall.
    fn allow_for_stall(&mut self) {
        let gap = self.now.since(self.last_tick);
        self.stalled = gap > STALL_THRESHOLD && !self.stalled;
        if !self.stalled {
            return;
        }
        let earliest = self.now + STALL_THRESHOLD;
        for record in self.records.values_mut() {
            record.silence_deadline = record.silence_deadline.max(earliest);
        }
    }

    /// Marks hosts dead that are silent or unreachable.
    fn expire_hosts(&mut self, changes: &mut Vec<MembershipChange>) {
        let now = self.now;
        let own = self.own;
        let silent = self.select(|record| record.alive && record.silence_deadline.has_passed(now));
        let unreachable = self.select(|record| record.alive && record.is_unreachable(now));
        for host in silent.into_iter().filter(|host| *host != own) {
            self.expire_silent_host(host, changes);
        }
        for host in unreachable.into_iter().filter(|host| *host != own) {
            self.mark_dead(host, changes);
        }
    }

    /// Marks a silent host dead. In a large fleet, first asks its other monitors, and reports the
    /// death to the failure domain.
    fn expire_silent_host(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) {
        if self.is_monitored(host) && !self.await_confirmation(host) {
            return;
        }
        if let Some(record) = self.records.get_mut(&host) {
            record.last_evidence = record.silent_since();
        }
        self.mark_dead(host, changes);
        if self.is_monitored(host) {
            self.report_to_domain(host);
        }
    }

    /// Asks a silent host itself, and its other monitors in its failure domain if that is also the
    /// own, whether it is alive, by reporting it to them as suspect. Returns whether the time for
    /// their response has passed.
    fn await_confirmation(&mut self, host: HostId) -> bool {
        let (own, now) = (self.own, self.now);
        let Some(record) = self.records.get_mut(&host) else {
            return true;
        };
        if record.is_suspect() {
            return record.suspect_deadline.has_passed(now);
        }
        record.suspect_deadline = now + CONFIRMATION_TIMEOUT;
        let mut asked = vec![host];
        if record.domain() == Some(self.own_domain) {
            asked.extend(self.ring().local_monitors(self.own_domain, host));
        }
        for other in asked.into_iter().filter(|other| *other != own) {
            self.outbox.entry(other).or_default().insert(host);
        }
        false
    }

    /// Adds a change for every host whose hold-down ended since the last tick.
    fn report_ended_hold_downs(&self, changes: &mut Vec<MembershipChange>) {
        let ended = self.select(|record| {
            record.alive && record.hold_down.ends_between(self.last_tick, self.now)
        });
        changes.extend(ended.into_iter().map(MembershipChange::HoldDownEnded));
    }

    /// Removes the records of hosts that are unlisted and dead, and whose last sign of life is
    /// older than [`UNLISTED_RETENTION`].
    fn forget_unlisted(&mut self) {
        let (own, now) = (self.own, self.now);
        self.records.retain(|host, record| {
            let is_needed = *host == own || record.listed || record.alive;
            is_needed || !(record.last_evidence + UNLISTED_RETENTION).has_passed(now)
        });
    }

    /// Computes which hosts monitor which, if a host was added, removed, marked alive or marked
    /// dead.
    fn update_monitors(&mut self) {
        if !std::mem::take(&mut self.monitors_outdated) {
            return;
        }
        let listed = self.select(|record| record.listed);
        let was_full_mesh = self.full_mesh;
        self.full_mesh = listed.len() <= FULL_MESH_HOSTS;
        let ring = self.ring();
        self.local_monitors = ring.local_monitors(self.own_domain, self.own);
        self.remote_monitors = ring
            .domains()
            .filter(|domain| *domain != self.own_domain)
            .filter_map(|domain| ring.remote_monitor(domain, self.own))
            .collect();
        for host in self.known_hosts() {
            let monitored = self.full_mesh || self.is_monitor_of(host, &ring);
            self.set_monitored(host, monitored, was_full_mesh != self.full_mesh);
        }
    }

    /// Hosts that can be monitors: the listed hosts of each failure domain that are alive, or all
    /// of them if none is.
    fn ring(&self) -> Ring {
        let hosts = self.domains().into_iter().flat_map(|domain| {
            let listed = self.listed_hosts(domain);
            let alive: Vec<_> = listed.iter().copied().filter(|h| self.alive(*h)).collect();
            let monitors = if alive.is_empty() { listed } else { alive };
            monitors.into_iter().map(move |host| (domain, host))
        });
        Ring::new(hosts)
    }

    /// Whether this host is a monitor of `host` in a large fleet.
    fn is_monitor_of(&self, host: HostId, ring: &Ring) -> bool {
        match self.domain(host) {
            Some(domain) if domain == self.own_domain => {
                ring.local_monitors(domain, host).contains(&self.own)
            }
            Some(_) => ring.remote_monitor(self.own_domain, host) == Some(self.own),
            None => false,
        }
    }

    /// Sets whether this host monitors another one. `mode_changed` says that the fleet has switched
    /// between full mesh and assigned monitors.
    fn set_monitored(&mut self, host: HostId, monitored: bool, mode_changed: bool) {
        let Some(record) = self.records.get_mut(&host) else {
            return;
        };
        if record.monitored == monitored && !mode_changed {
            return;
        }
        record.monitored = monitored;
        record.monitored_since = self.now;
        let extra = if self.full_mesh && !mode_changed {
            Duration::ZERO
        } else {
            MONITOR_GRACE
        };
        self.reset_silence_deadline(host, extra);
    }
}
