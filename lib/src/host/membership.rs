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

use xxhash_rust::xxh3::xxh3_64;

use super::HostList;
use super::Role;
use super::record::Listed;
use super::record::Record;
use super::rendezvous;
use super::ring::Ring;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::message::Finding;
use crate::message::Health;
use crate::message::Heartbeat;
use crate::pool::PoolKey;
use crate::time::Timestamp;

/// Time between two calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Listed hosts up to which every host sends heartbeats to every other.
pub const FULL_MESH_HOSTS: usize = 16;

/// Time between two heartbeats to a host in a full mesh.
const MESH_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a host counts as dead in a full mesh.
const MESH_SILENCE: Duration = Duration::from_secs(1);
/// Time between two heartbeats within a failure domain of a large fleet.
const NEAR_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a host of the own failure domain counts as dead in a large fleet.
const NEAR_SILENCE: Duration = Duration::from_secs(2);
/// Time between two heartbeats to another failure domain of a large fleet.
const FAR_INTERVAL: Duration = Duration::from_secs(2);
/// Silence after which a host of another failure domain counts as dead in a large fleet.
const FAR_SILENCE: Duration = Duration::from_secs(6);
/// Additional silence allowed to a host that may not know yet that it is watched.
pub(crate) const ROLE_GRACE: Duration = Duration::from_secs(2);
/// Time that other hosts have to speak for a silent host before all are told that it is dead.
const CONFIRMATION: Duration = Duration::from_millis(300);
/// Silence after which an unlisted host of a large fleet counts as dead.
const UNLISTED_SILENCE: Duration = Duration::from_secs(60);
/// Time from the first reading of the list during which listed hosts count as alive unheard.
const START_GRACE: Duration = Duration::from_secs(1);
/// Time without an outgoing link after which a host counts as dead.
const LINK_GRACE: Duration = Duration::from_secs(1);
/// Time between two ticks above which this host has itself been stalled.
const STALL: Duration = Duration::from_millis(500);
/// Time between two heartbeats to hosts that are held to be dead, in a large fleet.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two messages that repeat which hosts are held to be dead.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts in such a message at most.
const DIGEST_FINDINGS: usize = 128;
/// Rounds of heartbeats to all hosts after the start, one every [`START_GRACE`].
const HELLO_ROUNDS: u32 = 2;
/// Silence after which an unlisted host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Hosts that are heard without ever having been listed, at most.
const UNLISTED_HOSTS: usize = 1024;
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
    HostSteady(HostId),
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
    pub(crate) greetings: BTreeSet<HostId>,
    /// Whether the rings and who watches whom must be worked out again.
    pub(crate) outdated: bool,
    list_revision: Option<u64>,
    lower_revision_reads: u32,
    grace_until: Timestamp,
    full_mesh: bool,
    near: Vec<HostId>,
    far: Vec<HostId>,
    last_tick: Timestamp,
    stalled: bool,
    near_at: Timestamp,
    far_at: Timestamp,
    probe_at: Timestamp,
    probed: HostId,
    digest_at: Timestamp,
    digest_to: HostId,
    hello_at: Timestamp,
    hellos: u32,
}

impl Membership {
    /// Starts with no list: only the host itself is known.
    pub fn new(
        own: HostId,
        own_domain: DomainId,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Self {
        let entry = Listed {
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
        record.hold_down.returned(now);
        Self {
            own,
            own_domain,
            now,
            records: BTreeMap::from([(own, record)]),
            outbox: BTreeMap::new(),
            greetings: BTreeSet::new(),
            outdated: true,
            list_revision: None,
            lower_revision_reads: 0,
            grace_until: Timestamp::FAR_FUTURE,
            full_mesh: true,
            near: Vec::new(),
            far: Vec::new(),
            last_tick: now,
            stalled: false,
            near_at: now,
            far_at: now,
            probe_at: now + PROBE_INTERVAL,
            probed: HostId::default(),
            digest_at: now + DIGEST_INTERVAL,
            digest_to: HostId::default(),
            hello_at: Timestamp::FAR_FUTURE,
            hellos: 0,
        }
    }

    /// Takes in a reading of the host list.
    ///
    /// A reading without any entry host, or with a lower revision than before, changes nothing;
    /// a lower revision that is read again and again is believed, as the platform may have
    /// been set up anew.
    pub fn list_read(&mut self, now: Timestamp, list: HostList) -> Vec<MembershipChange> {
        self.now = now;
        let entries: BTreeMap<_, _> = list
            .hosts
            .iter()
            .filter(|entry| entry.role == Role::Entry)
            .map(|entry| (entry.host_id(), Listed::of(entry)))
            .collect();
        if entries.is_empty() || !self.accepts_revision(list.revision) {
            return Vec::new();
        }
        if self.grace_until == Timestamp::FAR_FUTURE {
            self.grace_until = now + START_GRACE;
            self.hello_at = now;
            self.hellos = HELLO_ROUNDS;
        }
        let mut changes = Vec::new();
        let mut changed = self.unlist_missing(&entries);
        for (host, entry) in entries {
            changed |= self.list_host(host, entry, &mut changes);
        }
        if changed {
            self.outdated = true;
            changes.push(MembershipChange::ListChanged);
            self.work_out_roles();
        }
        changes
    }

    /// Notes a message from a host, whatever it says.
    ///
    /// Messages of an earlier life of a host that is alive count for nothing.
    pub fn heard(
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
        record.sign = now;
        record.direct = now;
        self.note_incarnation(from, incarnation, &mut changes);
        self.note_heartbeat(from, heartbeat, &mut changes);
        self.expect_next(from, Duration::ZERO);
        if self.revive(from, &mut changes) && self.is_watched(from) {
            self.spread(from);
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
        self.greetings.insert(host);
        self.heard(now, host, incarnation, None)
    }

    /// Notes that the outgoing link to a host is down. The host counts as dead if the link stays
    /// down, even while it is heard: what it schedules could not be asked of it.
    pub fn link_down(&mut self, now: Timestamp, host: HostId) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&host) {
            record.link_deadline = record.link_deadline.min(now + LINK_GRACE);
        }
    }

    /// Gives up the roles of this host. The next tick sends a heartbeat to every host.
    pub fn stop(&mut self, now: Timestamp) {
        self.now = now;
        if let Some(record) = self.records.get_mut(&self.own) {
            record.stopping = true;
        }
        self.hello_at = now;
        self.hellos = HELLO_ROUNDS;
    }

    /// Lets time pass. Must be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) -> MembershipTick {
        self.now = now;
        let mut changes = Vec::new();
        self.allow_for_stall();
        self.expire(&mut changes);
        self.note_steady(&mut changes);
        self.forget_unlisted();
        self.work_out_roles();
        let heartbeats = self.due_heartbeats();
        let findings = self.due_findings();
        self.last_tick = now;
        MembershipTick {
            heartbeats,
            findings,
            changes,
        }
    }

    /// Whether a host is held to be alive.
    pub fn alive(&self, host: HostId) -> bool {
        self.records.get(&host).is_some_and(|record| record.alive)
    }

    /// Whether a host is in the host list.
    pub fn is_listed(&self, host: HostId) -> bool {
        self.records.get(&host).is_some_and(|record| record.listed)
    }

    /// Hosts of a failure domain that are held to be alive, listed or not.
    pub fn alive_hosts(&self, domain: DomainId) -> Vec<HostId> {
        self.select(|record| record.alive && record.domain() == Some(domain))
    }

    /// Listed hosts of a failure domain.
    pub fn listed_hosts(&self, domain: DomainId) -> Vec<HostId> {
        self.select(|record| record.listed && record.domain() == Some(domain))
    }

    /// Every host that is listed or alive, of all failure domains.
    pub fn known_hosts(&self) -> Vec<HostId> {
        self.select(|record| record.listed || record.alive)
    }

    /// Failure domains with a listed host.
    pub fn domains(&self) -> Vec<DomainId> {
        let listed = self.records.values().filter(|record| record.listed);
        let domains: BTreeSet<_> = listed.filter_map(Record::domain).collect();
        domains.into_iter().collect()
    }

    /// Failure domain of a host.
    pub fn domain(&self, host: HostId) -> Option<DomainId> {
        self.records.get(&host).and_then(Record::domain)
    }

    /// The host that schedules a shard.
    pub fn scheduler(&self, pool: PoolKey) -> Option<HostId> {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&pool.service.0.to_le_bytes());
        key[8..].copy_from_slice(&pool.domain.0.to_le_bytes());
        rendezvous(self.candidates(pool.domain), xxh3_64(&key))
    }

    /// The two hosts of a failure domain that watch the configuration.
    pub fn watchers(&self, domain: DomainId) -> Vec<HostId> {
        let mut candidates = self.candidates(domain);
        let mut watchers = Vec::new();
        for _ in 0..2 {
            let Some(watcher) = rendezvous(candidates.iter().copied(), domain.0) else {
                break;
            };
            candidates.retain(|host| *host != watcher);
            watchers.push(watcher);
        }
        watchers
    }

    /// Latest known life of a host.
    pub fn incarnation(&self, host: HostId) -> Option<Incarnation> {
        let record = self.records.get(&host)?;
        (record.incarnation != Incarnation::default()).then_some(record.incarnation)
    }

    /// Latest configuration revision that a host announced to this one, zero if unknown.
    pub fn revision(&self, host: HostId) -> u64 {
        self.records.get(&host).map_or(0, |record| record.revision)
    }

    /// Whether a host leaves, by the list or by its own word.
    pub fn is_leaving(&self, host: HostId) -> bool {
        self.records.get(&host).is_some_and(Record::is_leaving)
    }

    /// Hosts to keep a link to, with the address of their listener.
    pub fn peers_to_connect(&self) -> Vec<(HostId, SocketAddr)> {
        self.records
            .iter()
            .filter(|(host, record)| **host != self.own && (record.listed || record.alive))
            .filter_map(|(host, record)| Some((*host, record.entry?.address)))
            .collect()
    }

    /// Hosts that may hold roles in a failure domain: those that have been alive for long enough,
    /// or any that are alive if there are none.
    fn candidates(&self, domain: DomainId) -> Vec<HostId> {
        let in_domain = |record: &Record| record.is_candidate() && record.domain() == Some(domain);
        let steady =
            self.select(|record| in_domain(record) && record.hold_down.is_steady(self.now));
        if steady.is_empty() {
            self.select(in_domain)
        } else {
            steady
        }
    }

    fn select(&self, condition: impl Fn(&Record) -> bool) -> Vec<HostId> {
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

    fn unlist_missing(&mut self, entries: &BTreeMap<HostId, Listed>) -> bool {
        let mut missing = self.select(|record| record.listed);
        missing.retain(|host| !entries.contains_key(host));
        for host in &missing {
            if let Some(record) = self.records.get_mut(host) {
                record.listed = false;
            }
            self.expect_next(*host, Duration::ZERO);
        }
        !missing.is_empty()
    }

    fn list_host(
        &mut self,
        host: HostId,
        entry: Listed,
        changes: &mut Vec<MembershipChange>,
    ) -> bool {
        let in_grace = self.in_grace();
        let record = self.records.entry(host).or_default();
        if record.listed && record.entry == Some(entry) {
            return false;
        }
        if !record.listed {
            self.greetings.insert(host);
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
            || self.select(|record| !record.listed).len() < UNLISTED_HOSTS
    }

    /// Notes the life of a host and whether it is a new one.
    pub(crate) fn note_incarnation(
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
            record.hold_down.returned(self.now);
        }
        changes.push(MembershipChange::HostRestarted { host, incarnation });
    }

    fn note_heartbeat(
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
    pub(crate) fn revive(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) -> bool {
        let in_grace = self.in_grace();
        let Some(record) = self.records.get_mut(&host) else {
            return false;
        };
        if record.alive || record.is_unreachable(self.now) {
            return false;
        }
        record.alive = true;
        if !in_grace {
            record.hold_down.returned(self.now);
        }
        self.outdated = true;
        changes.push(MembershipChange::HostUp(host));
        true
    }

    /// Holds a host to be dead.
    pub(crate) fn bury(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) {
        if let Some(record) = self.records.get_mut(&host)
            && record.alive
        {
            record.alive = false;
            record.suspect_deadline = Timestamp::FAR_FUTURE;
            self.outdated = true;
            changes.push(MembershipChange::HostDown(host));
        }
    }

    /// Sets the time by which a host must be heard again, `extra` later than usual.
    pub(crate) fn expect_next(&mut self, host: HostId, extra: Duration) {
        let silence = self.allowed_silence(host);
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
    fn allowed_silence(&self, host: HostId) -> Option<Duration> {
        let record = self.records.get(&host)?;
        if self.full_mesh {
            return Some(MESH_SILENCE);
        }
        if !record.listed {
            return Some(UNLISTED_SILENCE);
        }
        let is_near = record.domain() == Some(self.own_domain);
        let silence = if is_near { NEAR_SILENCE } else { FAR_SILENCE };
        record.monitored.then_some(silence)
    }

    /// Whether this host watches another one on behalf of its failure domain.
    pub(crate) fn is_watched(&self, host: HostId) -> bool {
        !self.full_mesh
            && self
                .records
                .get(&host)
                .is_some_and(|record| record.monitored)
    }

    /// Whether hosts rely on what others tell them.
    pub(crate) fn uses_hearsay(&self) -> bool {
        !self.full_mesh
    }

    /// Tells the hosts of the own failure domain what this host holds of `host`.
    pub(crate) fn spread(&mut self, host: HostId) {
        for receiver in self.alive_hosts(self.own_domain) {
            if receiver != self.own && receiver != host {
                self.outbox.entry(receiver).or_default().insert(host);
            }
        }
    }

    /// After a stall of this host, messages of the others may still wait to be read.
    fn allow_for_stall(&mut self) {
        let gap = self.now.since(self.last_tick);
        self.stalled = gap > STALL && !self.stalled;
        if !self.stalled {
            return;
        }
        let soonest = self.now + STALL;
        for record in self.records.values_mut() {
            record.silence_deadline = record.silence_deadline.max(soonest);
        }
    }

    fn expire(&mut self, changes: &mut Vec<MembershipChange>) {
        let now = self.now;
        let own = self.own;
        let silent = self.select(|record| record.alive && record.silence_deadline.has_passed(now));
        let unreachable = self.select(|record| record.alive && record.is_unreachable(now));
        for host in silent.into_iter().filter(|host| *host != own) {
            self.expire_silent(host, changes);
        }
        for host in unreachable.into_iter().filter(|host| *host != own) {
            self.bury(host, changes);
        }
    }

    /// Holds a silent host to be dead, after asking the other hosts that watch it.
    fn expire_silent(&mut self, host: HostId, changes: &mut Vec<MembershipChange>) {
        if self.is_watched(host) && !self.ask_others(host) {
            return;
        }
        if let Some(record) = self.records.get_mut(&host) {
            record.sign = record.known_until();
        }
        self.bury(host, changes);
        if self.is_watched(host) {
            self.spread(host);
        }
    }

    /// Asks a silent host itself and the others of the failure domain that watch it. Says whether
    /// they have had their time.
    fn ask_others(&mut self, host: HostId) -> bool {
        let (own, now) = (self.own, self.now);
        let Some(record) = self.records.get_mut(&host) else {
            return true;
        };
        if record.is_suspect() {
            return record.suspect_deadline.has_passed(now);
        }
        record.suspect_deadline = now + CONFIRMATION;
        let mut asked = vec![host];
        if record.domain() == Some(self.own_domain) {
            asked.extend(self.ring().near_monitors(self.own_domain, host));
        }
        for other in asked.into_iter().filter(|other| *other != own) {
            self.outbox.entry(other).or_default().insert(host);
        }
        false
    }

    fn note_steady(&self, changes: &mut Vec<MembershipChange>) {
        let steady = self.select(|record| {
            record.alive && record.hold_down.ends_between(self.last_tick, self.now)
        });
        changes.extend(steady.into_iter().map(MembershipChange::HostSteady));
    }

    fn forget_unlisted(&mut self) {
        let (own, now) = (self.own, self.now);
        self.records.retain(|host, record| {
            let is_needed = *host == own || record.listed || record.alive;
            is_needed || !(record.sign + FORGET_AFTER).has_passed(now)
        });
    }

    /// Works out who watches whom, if a host came or went.
    fn work_out_roles(&mut self) {
        if !std::mem::take(&mut self.outdated) {
            return;
        }
        let listed = self.select(|record| record.listed);
        let was_full_mesh = self.full_mesh;
        self.full_mesh = listed.len() <= FULL_MESH_HOSTS;
        let ring = self.ring();
        self.near = ring.near_monitors(self.own_domain, self.own);
        self.far = ring
            .domains()
            .filter(|domain| *domain != self.own_domain)
            .filter_map(|domain| ring.far_monitor(domain, self.own))
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
            let able = if alive.is_empty() { listed } else { alive };
            able.into_iter().map(move |host| (domain, host))
        });
        Ring::new(hosts)
    }

    fn is_monitor_of(&self, host: HostId, ring: &Ring) -> bool {
        match self.domain(host) {
            Some(domain) if domain == self.own_domain => {
                ring.near_monitors(domain, host).contains(&self.own)
            }
            Some(_) => ring.far_monitor(self.own_domain, host) == Some(self.own),
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
            ROLE_GRACE
        };
        self.expect_next(host, extra);
    }

    fn due_heartbeats(&mut self) -> Vec<HostId> {
        let mut due = std::mem::take(&mut self.greetings);
        if self.hellos > 0 && self.hello_at.has_passed(self.now) {
            self.hellos -= 1;
            self.hello_at = self.now + START_GRACE;
            due.extend(self.known_hosts());
        }
        let interval = if self.full_mesh {
            MESH_INTERVAL
        } else {
            NEAR_INTERVAL
        };
        if pass(&mut self.near_at, self.now, interval) {
            if self.full_mesh {
                due.extend(self.known_hosts());
            } else {
                due.extend(&self.near);
            }
        }
        if pass(&mut self.far_at, self.now, FAR_INTERVAL) {
            due.extend(&self.far);
        }
        if pass(&mut self.probe_at, self.now, PROBE_INTERVAL) {
            due.extend(self.next_dead_host());
        }
        due.remove(&self.own);
        due.into_iter().collect()
    }

    /// A listed host that is held to be dead, another one each time.
    fn next_dead_host(&mut self) -> Option<HostId> {
        let dead = self.select(|record| record.listed && !record.alive);
        let next = next_after(&dead, self.probed)?;
        self.probed = next;
        Some(next)
    }

    fn due_findings(&mut self) -> Vec<(HostId, Vec<Finding>)> {
        if pass(&mut self.digest_at, self.now, DIGEST_INTERVAL) && !self.full_mesh {
            self.prepare_digest();
        }
        std::mem::take(&mut self.outbox)
            .into_iter()
            .map(|(receiver, hosts)| {
                let findings = hosts.into_iter().filter_map(|host| self.finding(host));
                (receiver, findings.collect::<Vec<_>>())
            })
            .filter(|(_, findings)| !findings.is_empty())
            .collect()
    }

    /// Repeats which hosts are held to be dead to one host of the failure domain, another one each
    /// time, in case that an earlier message was lost.
    fn prepare_digest(&mut self) {
        let mut receivers = self.alive_hosts(self.own_domain);
        receivers.retain(|host| *host != self.own);
        let dead = self.select(|record| record.listed && !record.alive);
        let Some(receiver) = next_after(&receivers, self.digest_to) else {
            return;
        };
        self.digest_to = receiver;
        let about = dead.into_iter().take(DIGEST_FINDINGS);
        self.outbox.entry(receiver).or_default().extend(about);
    }

    fn finding(&self, host: HostId) -> Option<Finding> {
        let record = self.records.get(&host)?;
        let age = self.now.since(record.known_until()).as_micros();
        let health = match (record.alive, record.is_suspect()) {
            (true, false) => Health::Alive,
            (true, true) => Health::Suspect,
            (false, _) => Health::Dead,
        };
        Some(Finding {
            host,
            incarnation: record.incarnation,
            health,
            age_us: u64::try_from(age).unwrap_or(u64::MAX),
        })
    }
}

/// Whether the deadline `at` has passed; it is then set `interval` later.
fn pass(at: &mut Timestamp, now: Timestamp, interval: Duration) -> bool {
    if !at.has_passed(now) {
        return false;
    }
    let next = *at + interval;
    *at = if next.has_passed(now) {
        now + interval
    } else {
        next
    };
    true
}

/// The host after `last` in ascending order, or the first one.
fn next_after(hosts: &[HostId], last: HostId) -> Option<HostId> {
    let next = hosts.iter().find(|host| **host > last);
    next.or(hosts.first()).copied()
}
