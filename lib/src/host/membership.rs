//! Membership: which hosts are in the fleet, which of them are alive, and which of them hold the
//! roles of each failure domain: the schedulers of its services and the hosts that watch the
//! configuration on the platform and send it to the others. The scheduler of a service is the host
//! that decides which waiting request goes to which backend server of the service. (The [`Role`] in
//! the host list is something else: the kind of the listed host.)
//!
//! The members are the entry hosts, which accept requests, and not the backend servers. Every host
//! decides on its own. It uses the host list, which it reads from the platform (the external system
//! that the fleet runs on), the messages that it receives, and in a large fleet also findings:
//! reports by other hosts of its failure domain on whether a third host is alive. Hosts with the
//! same information choose the same scheduler. While their information differs, two hosts may act
//! as scheduler of the same service, which the scheduling protocol tolerates.
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
use super::ring::HashRings;
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
/// than [`LOCAL_SILENCE_TIMEOUT`], because heartbeats between failure domains are sent less often.
const REMOTE_SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Added to the silence timeout of a host that may not know yet that this host is its monitor.
pub(crate) const MONITOR_GRACE: Duration = Duration::from_secs(2);
/// Time that other hosts have to refute a suspicion, by reporting the silent host alive, before it
/// is marked dead.
const REFUTATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a host that is not in the host list is considered dead in a large fleet.
/// Long, because an unlisted host sends heartbeats to its own monitors, and this host is rarely one
/// of them. A host is considered alive from its first message on, listed or not.
const UNLISTED_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the first host list during which listed hosts are considered alive although no message
/// has arrived from them. Also the time between two of the [`BROADCAST_ROUNDS`].
pub(crate) const START_GRACE: Duration = Duration::from_secs(1);
/// Time without an outgoing link after which a host is considered dead.
const LINK_DOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two ticks above which this host assumes that it was itself stalled. Also the least
/// time that other hosts then have until they are considered silent.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Time between two heartbeats to hosts that are considered dead. Each goes to one such host, in
/// turn, so that hosts of a large fleet find each other again after a network partition. In a full
/// mesh all listed hosts get heartbeats anyway.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two digests in a large fleet. A digest repeats which hosts are dead, in case an
/// earlier report was lost; each goes to one host of the failure domain, in turn.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Number of rounds of heartbeats to all known hosts after the first host list, and again when this
/// host stops. A round is due every [`START_GRACE`].
const BROADCAST_ROUNDS: u32 = 2;
/// Time after the latest evidence of life after which the record of a dead, unlisted host is
/// removed.
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
    /// Entry hosts were added to the host list or removed from it, or what the list says of one of
    /// them has changed.
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
    /// Time of the latest event.
    pub(crate) now: Timestamp,
    /// One record for each known host, this host included.
    pub(crate) records: BTreeMap<HostId, Record>,
    /// Findings to send with the next tick: for each receiver, the hosts to report on.
    pub(crate) outbox: BTreeMap<HostId, BTreeSet<HostId>>,
    /// Hosts that get a heartbeat with the next tick in addition to the periodic ones.
    pub(crate) immediate_heartbeats: BTreeSet<HostId>,
    /// Whether the assignment of monitors must be computed again.
    pub(crate) monitors_outdated: bool,
    /// Revision of the latest accepted host list, `None` before the first.
    list_revision: Option<u64>,
    /// Number of lists with a lower revision that were read since a list was last accepted.
    lower_revision_reads: u32,
    /// End of the [`START_GRACE`], and in the far future before the first host list.
    grace_until: Timestamp,
    /// Whether the list has at most [`FULL_MESH_HOSTS`] hosts. If not, the fleet is called large.
    pub(crate) full_mesh: bool,
    /// Monitors of this host in its own failure domain.
    pub(crate) local_monitors: Vec<HostId>,
    /// Monitors of this host in the other failure domains, one in each.
    pub(crate) remote_monitors: Vec<HostId>,
    last_tick: Timestamp,
    /// Whether the latest tick extended the silence deadlines because it came late.
    stalled: bool,
    /// Time of the next heartbeats to the local monitors, or in a full mesh to all known hosts.
    pub(crate) local_heartbeat_at: Timestamp,
    /// Time of the next heartbeats to the remote monitors.
    pub(crate) remote_heartbeat_at: Timestamp,
    /// Time of the next heartbeat to a dead host.
    pub(crate) probe_at: Timestamp,
    /// Receiver of the latest heartbeat to a dead host.
    pub(crate) last_probed: HostId,
    /// Time of the next digest, which repeats which hosts are dead.
    pub(crate) digest_at: Timestamp,
    /// Receiver of the latest digest.
    pub(crate) last_digest_to: HostId,
    /// Time of the next of the [`BROADCAST_ROUNDS`].
    pub(crate) broadcast_at: Timestamp,
    /// Number of these rounds that are left.
    pub(crate) broadcast_rounds_left: u32,
}

impl Membership {
    /// Creates the view of host `own` before the first host list, when only `own` is known.
    pub fn new(
        own: HostId,
        own_domain: DomainId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Self {
        // Gives this host its failure domain until the host list has arrived. The address is not
        // used: a host keeps no link to itself.
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
        // Other hosts start a hold-down for a host that has just started: they treat it as one that
        // came back. This host must do the same for itself to choose the same schedulers.
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
            broadcast_at: Timestamp::FAR_FUTURE,
            broadcast_rounds_left: 0,
        }
    }

    /// Applies a version of the host list that was read from the platform.
    ///
    /// A list without entry hosts is ignored, and so is one with a lower revision than the latest
    /// accepted one. A lower revision is accepted once it has been read three times in a row,
    /// because the platform may have been set up anew and have started to count from the beginning.
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
            self.broadcast_at = now;
            self.broadcast_rounds_left = BROADCAST_ROUNDS;
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

    /// Records the arrival of a message of any kind from a host, which is evidence that the host is
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
        if self.mark_alive(from, &mut changes) && self.reports_on(from) {
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

    /// Gives up the roles of this host because it is about to stop. The next ticks announce this in
    /// some rounds of heartbeats to all known hosts.
    pub fn stop(&mut self, now: Timestamp) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&self.own) {
            record.stopping = true;
        }
        self.broadcast_at = now;
        self.broadcast_rounds_left = BROADCAST_ROUNDS;
    }

    /// Advances the clock to `now`: marks silent hosts dead and returns the messages that are due.
    /// Must be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) -> MembershipTick {
        self.now = now;
        let mut changes = Vec::new();
        self.allow_for_stall();
        self.expire_hosts(&mut changes);
        self.report_ended_hold_downs(&mut changes);
        self.remove_expired_records();
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

    /// Whether a host list with this revision is accepted, see [`Self::on_host_list`].
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

    /// Marks as unlisted the listed hosts that are missing from `entries`. Returns whether there
    /// are any.
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
            // So that `set_monitored` sees a change if this host is to monitor the host, and sets a
            // new silence deadline.
            record.monitored = false;
        }
        record.listed = true;
        record.entry = Some(entry);
        if in_grace && !record.alive {
            // This is an assumption and no evidence that the host is alive, so `last_evidence` is
            // not set to the current time, which could keep a finding that reports the host dead
            // from taking effect (see `apply_dead`).
            record.alive = true;
            changes.push(MembershipChange::HostUp(host));
        }
        true
    }

    /// Whether the [`START_GRACE`] has not ended yet.
    fn in_grace(&self) -> bool {
        !self.grace_until.has_passed(self.now)
    }

    /// Whether the host has a record, or may get one within [`MAX_UNLISTED_HOSTS`].
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
        // What the earlier process announced does not hold for the new one.
        record.stopping = false;
        record.configuration_revision = 0;
        if record.alive {
            // Otherwise `mark_alive` starts the hold-down.
            record.hold_down.on_return(self.now);
        }
        changes.push(MembershipChange::HostRestarted { host, incarnation });
    }

    /// Records what a host says of itself in a heartbeat.
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
        record.configuration_revision = heartbeat.revision;
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
        // A host that is marked alive before the first host list or in the start grace has usually
        // just sent its first message to this host, which does not mean that it came back.
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

    /// Sets the silence deadline of `host` to its silence timeout plus `extra` from now. The host
    /// is no longer suspected.
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

    /// Time without messages from `host` after which this host suspects it or marks it dead. `None`
    /// for a listed host that this host does not monitor, for which it relies on the findings of
    /// that host's monitors.
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

    /// Whether this host reports to its failure domain whether `host` is alive: it is a monitor of
    /// `host` in a large fleet. In a full mesh every host monitors every other, and nobody reports.
    pub(crate) fn reports_on(&self, host: HostId) -> bool {
        !self.full_mesh
            && self
                .records
                .get(&host)
                .is_some_and(|record| record.monitored)
    }

    /// Whether hosts rely on findings of others, as they do in a large fleet.
    pub(crate) fn uses_findings(&self) -> bool {
        !self.full_mesh
    }

    /// Reports to the other hosts of this host's failure domain, with the next tick, whether `host`
    /// is alive.
    pub(crate) fn report_to_domain(&mut self, host: HostId) {
        for receiver in self.alive_hosts(self.own_domain) {
            if receiver != self.own && receiver != host {
                self.outbox.entry(receiver).or_default().insert(host);
            }
        }
    }

    /// Extends the silence deadlines after a stall of this host, because messages from other hosts
    /// may still wait to be read: they get [`STALL_THRESHOLD`] from now. Of ticks in a row that all
    /// come late, only every second extends the deadlines; if each did, no host would ever be
    /// marked dead for its silence.
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

    /// Marks hosts dead that are silent, or unreachable because this host's link to them is down.
    /// An unreachable host is marked dead without asking other hosts and without an immediate
    /// report, because the link concerns only this host. Digests still name it, as they name every
    /// listed host that this host considers dead; a receiver with a later message from the named
    /// host reports it alive in return.
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

    /// Marks a silent host dead. As a monitor in a large fleet, first gives others the time to
    /// report it alive, and then reports the death to the failure domain.
    fn expire_silent_host(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) {
        if self.reports_on(host) && !self.await_refutation(host) {
            return;
        }
        if let Some(record) = self.records.get_mut(&host) {
            // From now on a finding marks the host alive only if its evidence is later than the
            // start of the silence. The start is stored, because `silent_since` counts from
            // the start of the monitoring only while this host monitors the other, and may return
            // an earlier time after that.
            record.last_evidence = record.silent_since();
        }
        self.mark_dead(host, changes);
        if self.reports_on(host) {
            self.report_to_domain(host);
        }
    }

    /// At the first call for a silent host, asks others whether it is alive, by reporting it to
    /// them as suspect. Returns true once [`REFUTATION_TIMEOUT`] has passed since then; a message
    /// from the host, or a finding that reports it alive, ends the suspicion before.
    ///
    /// The host itself is asked, and if it is in this host's failure domain, also its other
    /// monitors there. A host of another domain has no other monitor in this host's domain, and
    /// findings that hosts of other domains send on third hosts are ignored (see
    /// [`Self::on_findings`]).
    fn await_refutation(&mut self, host: HostId) -> bool {
        let (own, now) = (self.own, self.now);
        let Some(record) = self.records.get_mut(&host) else {
            return true;
        };
        if record.is_suspect() {
            return record.suspect_deadline.has_passed(now);
        }
        record.suspect_deadline = now + REFUTATION_TIMEOUT;
        let mut asked = vec![host];
        if record.domain() == Some(self.own_domain) {
            asked.extend(self.rings().local_monitors(self.own_domain, host));
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

    /// Removes the records of hosts that are unlisted and dead, and whose latest evidence of life
    /// is older than [`UNLISTED_RETENTION`].
    fn remove_expired_records(&mut self) {
        let (own, now) = (self.own, self.now);
        self.records.retain(|host, record| {
            let is_needed = *host == own || record.listed || record.alive;
            is_needed || !(record.last_evidence + UNLISTED_RETENTION).has_passed(now)
        });
    }

    /// Computes the monitors of this host, and the hosts that it monitors, if a host was listed,
    /// unlisted, marked alive or marked dead since the last time.
    fn update_monitors(&mut self) {
        if !std::mem::take(&mut self.monitors_outdated) {
            return;
        }
        let listed = self.select(|record| record.listed);
        let was_full_mesh = self.full_mesh;
        self.full_mesh = listed.len() <= FULL_MESH_HOSTS;
        let rings = self.rings();
        self.local_monitors = rings.local_monitors(self.own_domain, self.own);
        self.remote_monitors = rings
            .domains()
            .filter(|domain| *domain != self.own_domain)
            .filter_map(|domain| rings.remote_monitor(domain, self.own))
            .collect();
        for host in self.known_hosts() {
            let monitored = self.full_mesh || self.is_monitor_of(host, &rings);
            self.set_monitored(host, monitored, was_full_mesh != self.full_mesh);
        }
    }

    /// Hosts that can be monitors: the listed hosts of each failure domain that are alive. If none
    /// is, all of them, so that a domain that is considered dead as a whole still gets heartbeats.
    fn rings(&self) -> HashRings {
        let hosts = self.domains().into_iter().flat_map(|domain| {
            let listed = self.listed_hosts(domain);
            let alive: Vec<_> = listed.iter().copied().filter(|h| self.alive(*h)).collect();
            let monitors = if alive.is_empty() { listed } else { alive };
            monitors.into_iter().map(move |host| (domain, host))
        });
        HashRings::new(hosts)
    }

    /// Whether this host is a monitor of `host` in a large fleet.
    fn is_monitor_of(&self, host: HostId, rings: &HashRings) -> bool {
        match self.domain(host) {
            Some(domain) if domain == self.own_domain => {
                rings.local_monitors(domain, host).contains(&self.own)
            }
            Some(_) => rings.remote_monitor(self.own_domain, host) == Some(self.own),
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
        // In a full mesh every host sends heartbeats to all others anyway. Only after a switch of
        // the mode may it not know yet that this host expects them.
        let extra = if self.full_mesh && !mode_changed {
            Duration::ZERO
        } else {
            MONITOR_GRACE
        };
        self.reset_silence_deadline(host, extra);
    }
}
