//! Which hosts there are, which of them are alive, and which of them holds which role.
//!
//! Every host decides this on its own from the host list, from what it hears and, in a large
//! fleet, from what hosts of its failure domain tell it. Hosts that know the same choose the same
//! scheduler; when they do not, two hosts schedule for a while, which the scheduler tolerates.

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

/// Time between two calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Listed hosts up to which every host sends heartbeats to every other.
pub const FULL_MESH_HOSTS: usize = 16;

/// Silence after which a host counts as dead in a full mesh.
const MESH_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a host of the own failure domain counts as dead in a large fleet.
const LOCAL_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence after which a host of another failure domain counts as dead in a large fleet.
const REMOTE_SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// Additional silence allowed to a host that may not know yet that it is watched.
pub(crate) const MONITOR_GRACE: Duration = Duration::from_secs(2);
/// Time that other hosts have to speak for a silent host before all are told that it is dead.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which an unlisted host of a large fleet counts as dead.
const UNLISTED_SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the first reading of the list during which listed hosts count as alive unheard.
pub(crate) const START_GRACE: Duration = Duration::from_secs(1);
/// Time without an outgoing link after which a host counts as dead.
const LINK_DOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two ticks above which this host has itself been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Time between two heartbeats to hosts that are held to be dead, in a large fleet.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two messages that repeat which hosts are held to be dead.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Rounds of heartbeats to all hosts after the start, one every [`START_GRACE`].
const HELLO_ROUNDS: u32 = 2;
/// Silence after which an unlisted host is forgotten.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);
/// Hosts that are heard without ever having been listed, at most.
const MAX_UNLISTED_HOSTS: usize = 1024;
/// Readings in a row after which a lower revision of the list is believed.
const LOWER_REVISION_READS: u32 = 3;

/// What has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A host is alive.
    HostUp(HostId),
    /// A host is dead or unreachable.
    HostDown(HostId),
    /// A host lives again and has lost what it knew.
    HostRestarted {
        /// The host.
        host: HostId,
        /// Its new life.
        incarnation: Incarnation,
    },
    /// A host has announced that it stops.
    HostStopping(HostId),
    /// A host that came back has been alive for long enough to hold roles.
    HoldDownEnded(HostId),
    /// The host list says something else of the entry hosts.
    ListChanged,
}

/// What is to be done after a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipTick {
    /// Hosts to send a heartbeat to.
    pub heartbeats: Vec<HostId>,
    /// Findings to send, by receiver.
    pub findings: Vec<(HostId, Vec<Finding>)>,
    /// What has changed.
    pub changes: Vec<MembershipChange>,
}

/// The hosts of the fleet as one of them sees them.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own: HostId,
    pub(crate) own_domain: DomainId,
    pub(crate) now: Timestamp,
    pub(crate) records: BTreeMap<HostId, Record>,
    /// Hosts to tell about others: receivers, and the hosts in question.
    pub(crate) outbox: BTreeMap<HostId, BTreeSet<HostId>>,
    /// Hosts that get a heartbeat with the next tick.
    pub(crate) immediate_heartbeats: BTreeSet<HostId>,
    /// Whether the rings and who watches whom must be worked out again.
    pub(crate) monitors_outdated: bool,
    list_revision: Option<u64>,
    lower_revision_reads: u32,
    grace_until: Timestamp,
    pub(crate) full_mesh: bool,
    pub(crate) local_monitors: Vec<HostId>,
    pub(crate) remote_monitors: Vec<HostId>,
    last_tick: Timestamp,
    stalled: bool,
    pub(crate) local_heartbeat_at: Timestamp,
    pub(crate) remote_heartbeat_at: Timestamp,
    pub(crate) probe_at: Timestamp,
    pub(crate) last_probed: HostId,
    pub(crate) digest_at: Timestamp,
    pub(crate) last_digest_to: HostId,
    pub(crate) hello_at: Timestamp,
    pub(crate) hello_rounds_left: u32,
}

impl Membership {
    /// Starts with no list: only the host itself is known.
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
        // The others hold a host back that has just started, so it does the same.
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

    /// Takes in a reading of the host list.
    ///
    /// A reading without any entry host, or with a lower revision than before, changes nothing;
    /// a lower revision that is read again and again is believed, as the platform may have
    /// been set up anew.
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

    /// Notes a message from a host, whatever it says.
    ///
    /// Messages of an earlier life of a host that is alive count for nothing.
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

    /// Notes that the outgoing link to a host is up and that the host proved the fleet's key.
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

    /// Notes that the outgoing link to a host is down. The host counts as dead if the link stays
    /// down, even while it is heard: what it schedules could not be asked of it.
    pub fn link_down(&mut self, now: Timestamp, host: HostId) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&host) {
            record.link_deadline = record.link_deadline.min(now + LINK_DOWN_TIMEOUT);
        }
    }

    /// Gives up the roles of this host. The next tick sends a heartbeat to every host.
    pub fn stop(&mut self, now: Timestamp) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&self.own) {
            record.stopping = true;
        }
        self.hello_at = now;
        self.hello_rounds_left = HELLO_ROUNDS;
    }

    /// Lets time pass. Must be called every [`TICK_INTERVAL`].
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
            // The time by which it must be heard is set anew.
            record.monitored = false;
        }
        record.listed = true;
        record.entry = Some(entry);
        if in_grace && !record.alive {
            // That is an assumption and no sign of life: what others tell goes before it.
            record.alive = true;
            changes.push(MembershipChange::HostUp(host));
        }
        true
    }

    fn in_grace(&self) -> bool {
        !self.grace_until.has_passed(self.now)
    }

    fn has_room_for(&self, host: HostId) -> bool {
        self.records.contains_key(&host)
            || self.select(|record| !record.listed).len() < MAX_UNLISTED_HOSTS
    }

    /// Notes the life of a host and whether it is a new one.
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

    /// Holds a host to be alive, unless it cannot be reached. Says whether it was dead.
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

    /// Holds a host to be dead.
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

    /// Sets the time by which a host must be heard again, `extra` later than usual.
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

    /// Silence after which this host itself finds another one dead, if it watches it.
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

    /// Whether this host watches another one on behalf of its failure domain.
    pub(crate) fn is_monitored(&self, host: HostId) -> bool {
        !self.full_mesh
            && self
                .records
                .get(&host)
                .is_some_and(|record| record.monitored)
    }

    /// Whether hosts rely on what others tell them.
    pub(crate) fn uses_findings(&self) -> bool {
        !self.full_mesh
    }

    /// Tells the hosts of the own failure domain what this host holds of `host`.
    pub(crate) fn report_to_domain(&mut self, host: HostId) {
        for receiver in self.alive_hosts(self.own_domain) {
            if receiver != self.own && receiver != host {
                self.outbox.entry(receiver).or_default().insert(host);
            }
        }
    }

    /// After a stall of this host, messages of the others may still wait to be read.
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

    /// Holds a silent host to be dead, after asking the other hosts that watch it.
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

    /// Asks a silent host itself and the others of the failure domain that watch it. Says whether
    /// they have had their time.
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

    fn report_ended_hold_downs(&self, changes: &mut Vec<MembershipChange>) {
        let ended = self.select(|record| {
            record.alive && record.hold_down.ends_between(self.last_tick, self.now)
        });
        changes.extend(ended.into_iter().map(MembershipChange::HoldDownEnded));
    }

    fn forget_unlisted(&mut self) {
        let (own, now) = (self.own, self.now);
        self.records.retain(|host, record| {
            let is_needed = *host == own || record.listed || record.alive;
            is_needed || !(record.last_evidence + UNLISTED_RETENTION).has_passed(now)
        });
    }

    /// Works out who watches whom, if a host came or went.
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

    /// Hosts that can watch others: those alive, or all of a failure domain if none is alive.
    fn ring(&self) -> Ring {
        let hosts = self.domains().into_iter().flat_map(|domain| {
            let listed = self.listed_hosts(domain);
            let alive: Vec<_> = listed.iter().copied().filter(|h| self.alive(*h)).collect();
            let monitors = if alive.is_empty() { listed } else { alive };
            monitors.into_iter().map(move |host| (domain, host))
        });
        Ring::new(hosts)
    }

    fn is_monitor_of(&self, host: HostId, ring: &Ring) -> bool {
        match self.domain(host) {
            Some(domain) if domain == self.own_domain => {
                ring.local_monitors(domain, host).contains(&self.own)
            }
            Some(_) => ring.remote_monitor(self.own_domain, host) == Some(self.own),
            None => false,
        }
    }

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
