//! Registry of the backend servers that an entry host knows, with the host's own load on each.
//!
//! Servers announce themselves about once per second in the object store of the platform, the
//! external system that also stores the configuration. The announcements reach
//! [`Servers::announce`], and their removals reach [`Servers::withdraw`]. An instance is one
//! installation of a server; it keeps its identifier when it restarts. A [`Server`] stands for one
//! run of an instance.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::budget::ColdStartLimiter;
use super::budget::SlidingCount;
use super::dialect::Pause;
use super::dialect::ResponseHead;
use super::dialect::ServerAnnouncement;
use super::health::FailureRate;
use super::health::Reachability;
use super::rate_limit::NamedLimit;
use super::rate_limit::SHARE_WINDOW;
use super::rate_limit::ServerLimit;
use super::selection::SlotEvidence;
use super::stream_origins::VersionId;
use crate::time::Timestamp;

new_key_type! {
    /// Identifies one run of a backend server's instance. A restarted instance gets a new key.
    pub struct ServerKey;
}

/// Longest pause that a server may ask for. A longer one is most likely an error of the server, and
/// would take it out of use although its announcement says that it takes requests.
const PAUSE_MAX: Duration = Duration::from_secs(60);
/// Pause after a server asked for one whose length cannot be read.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);
/// How long the status of a run of an instance is kept after its announcement was removed. After an
/// outage of the platform, or after the platform lost its latest changes, the same run can be
/// announced again.
const PAST_RUN_RETENTION: Duration = Duration::from_secs(600);

/// What a run of an instance has stated about itself in responses and announcements.
/// Unlike the rest of a [`Server`], it holds until the run has ended, also if the announcement of
/// the run disappears in between.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunStatus {
    /// Whether the run has said that it is about to shut down.
    pub is_leaving: bool,
    /// Until when the run wants no requests from this host.
    pub paused_until: Timestamp,
    /// What the run has last stated about the rate of requests that it takes, `None` if it never
    /// named a limit.
    pub limit: Option<NamedLimit>,
    /// Whether the announcement of the run was removed, and is only known from a list of the
    /// platform after this went back to an older state.
    pub is_withdrawn: bool,
}

impl RunStatus {
    /// Whether the run takes requests at all, apart from pauses.
    fn allow_requests(&self) -> bool {
        !self.is_leaving && !self.is_withdrawn
    }

    /// Adds what the head of a response states. Returns what is new.
    fn add(&mut self, now: Timestamp, head: &ResponseHead) -> RunUpdate {
        let has_started_leaving = head.is_leaving && !self.is_leaving;
        self.is_leaving |= head.is_leaving;
        let pause = head.pause.map(|pause| match pause {
            Pause::For(span) => span.min(PAUSE_MAX),
            Pause::Unreadable => UNREADABLE_PAUSE,
        });
        // A pause is never shortened: an earlier response may have asked for a longer one.
        let paused_until = pause.map(|span| now + span);
        let paused_until = paused_until.filter(|until| *until > self.paused_until);
        self.paused_until = paused_until.unwrap_or(self.paused_until);
        RunUpdate {
            has_started_leaving,
            paused_until,
            has_new_limit: self.add_limit(now, head),
        }
    }

    /// Adds what the head of a response states about a limit. A response without one ends the limit,
    /// unless it may be of another origin. Returns whether the limit is another one now.
    fn add_limit(&mut self, now: Timestamp, head: &ResponseHead) -> bool {
        let known = self.limit.and_then(|limit| limit.per_second);
        let lifts = head.is_sealed && known.is_some();
        if head.rate_limit.is_some() || lifts {
            self.limit = Some(NamedLimit {
                per_second: head.rate_limit,
                as_of: now,
                is_own: true,
            });
        }
        self.limit.and_then(|limit| limit.per_second) != known
    }
}

/// What the head of a response states that was not known of the server before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunUpdate {
    /// The server is about to shut down.
    pub has_started_leaving: bool,
    /// End of the pause for which the server has asked, if that is later than known.
    pub paused_until: Option<Timestamp>,
    /// The server names another limit than before, or none any more.
    pub has_new_limit: bool,
}

/// Status of a run whose announcement was removed.
#[derive(Clone, Copy, Debug)]
struct PastRun {
    started_at_ms: u64,
    status: RunStatus,
    drop_at: Timestamp,
}

impl PastRun {
    fn new(now: Timestamp, server: &Server) -> Self {
        Self {
            started_at_ms: server.entry.started_at_ms,
            status: server.run,
            drop_at: now + PAST_RUN_RETENTION,
        }
    }
}

/// Load that this host puts on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that have no final response yet.
    pub requests: u32,
}

/// A backend server that is known to this host.
#[derive(Debug)]
pub struct Server {
    /// The server's last announcement.
    pub entry: ServerAnnouncement,
    /// Hash of the instance identifier, the same on every host.
    pub hash: u64,
    /// Hash of the failure domain (zone).
    pub domain_hash: u64,
    /// Software version of the server.
    pub version: VersionId,
    /// Whether the server was removed. A removed server gets no new requests, and is forgotten once
    /// its last request has ended.
    pub is_removed: bool,
    /// When the server is removed unless it announces itself again. Set while its announcement is
    /// missing from the platform's object store.
    pub expires_at: Option<Timestamp>,
    /// Whether another instance responded at the server's address.
    pub is_misdirected: bool,
    /// What this run of the instance has stated about itself.
    pub run: RunStatus,
    /// When the cold start ends. This is later than announced if a failed connection has suggested
    /// a restart, until the next announcement arrives.
    pub cold_until: Timestamp,
    /// When this host first saw a server of the same version, among those that it knew when this one
    /// arrived.
    pub version_seen_at: Timestamp,
    /// Load of this host on the server.
    pub load: Load,
    /// Limits this host's requests during a cold start.
    pub cold_start_limiter: ColdStartLimiter,
    /// Requests that this host has sent while the server named a limit.
    pub sent_while_limited: SlidingCount,
    /// Outcomes of this host's requests to the server.
    pub failures: FailureRate,
    /// What this host's requests show of the server's free slots.
    pub slot_evidence: SlotEvidence,
    /// Whether the server can be reached.
    pub reachability: Reachability,
}

impl Server {
    fn new(entry: ServerAnnouncement, version_seen_at: Timestamp) -> Self {
        Self {
            hash: xxh3_64(entry.instance.as_bytes()),
            domain_hash: xxh3_64(entry.domain.as_bytes()),
            version: VersionId::new(&entry.service, &entry.version),
            is_removed: false,
            expires_at: None,
            is_misdirected: false,
            run: RunStatus {
                is_leaving: entry.is_leaving,
                ..RunStatus::default()
            },
            cold_until: entry.cold_until,
            version_seen_at,
            load: Load::default(),
            cold_start_limiter: ColdStartLimiter::default(),
            sent_while_limited: SlidingCount::new(SHARE_WINDOW),
            failures: FailureRate::default(),
            slot_evidence: SlotEvidence::default(),
            reachability: Reachability::default(),
            entry,
        }
    }

    /// Hash that identifies this run of the instance.
    pub fn run_hash(&self) -> u64 {
        xxh3_64_with_seed(&self.entry.started_at_ms.to_le_bytes(), self.hash)
    }

    /// Whether new requests may be sent: the server has not said that it is leaving, its
    /// announcement has not expired, and no other instance has responded at its address.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let has_expired = self.expires_at.is_some_and(|at| at.has_passed(now));
        !self.is_removed && !has_expired && !self.is_misdirected && self.run.allow_requests()
    }

    /// Whether the server has asked this host to send it nothing for a time that is not over.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        !self.run.paused_until.has_passed(now)
    }

    /// Requests per second that the server takes from all hosts together, `None` if it names no limit.
    pub fn rate_limit(&self, now: Timestamp) -> Option<f64> {
        self.run.limit.and_then(|limit| limit.rate(now))
    }

    /// Whether the server may be in its cold start, the time after its start in which it can take
    /// only a few requests per second.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        !self.cold_until.has_passed(now)
    }
}

/// Effect of an announcement on what is known of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// The server was not known, or has restarted.
    Arrived,
    /// The server is about to shut down.
    Leaving,
    /// Another announced property of the server has changed.
    Altered,
    /// No announced property of the server has changed.
    Unchanged,
}

/// All known servers, by key, instance and service.
#[derive(Debug, Default)]
pub struct Servers {
    /// Servers, including removed ones until they are forgotten.
    arena: SlotMap<ServerKey, Server>,
    /// Keys by instance identifier, without removed servers.
    by_instance: HashMap<CompactString, ServerKey>,
    /// Keys by name of the service, without removed servers.
    by_service: HashMap<CompactString, Vec<ServerKey>>,
    /// Status of runs whose announcements were removed, by instance identifier.
    past_runs: HashMap<CompactString, PastRun>,
    /// Whether the next list is the first one after the platform went back to an older state.
    is_restored: bool,
}

impl Servers {
    /// The server with a key, unless it has been forgotten.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// The server with a key, as a mutable reference, unless it has been forgotten.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.arena.get_mut(key)
    }

    /// Keys of the servers of a service, without removed ones.
    pub fn of_service(&self, service: &str) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All servers, including removed ones that still have requests.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.arena.iter()
    }

    /// Number of servers, without removed ones.
    pub fn count(&self) -> usize {
        self.by_instance.len()
    }

    /// Key of the server with an instance identifier.
    pub fn key_of(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    /// Records that the platform has gone back to an older state, which the next list shows.
    pub fn on_restored(&mut self) {
        self.is_restored = true;
    }

    /// Records that all announcements of a list were added.
    pub fn on_list_end(&mut self) {
        self.is_restored = false;
    }

    /// Adds or updates a server from its announcement in a list. If the platform has gone back to an
    /// older state, the list may contain the announcements of runs that have ended since; a run
    /// whose announcement was removed is not used until it renews the announcement.
    pub fn announce_listed(&mut self, now: Timestamp, entry: ServerAnnouncement) -> ServerChange {
        let kept = self.past_runs.get(&entry.instance);
        let was_withdrawn = self.is_restored
            && entry.has_start_time()
            && kept.is_some_and(|kept| kept.started_at_ms == entry.started_at_ms);
        let instance = entry.instance.clone();
        let change = self.announce(now, entry);
        let key = self.key_of(&instance);
        if was_withdrawn && let Some(server) = key.and_then(|key| self.arena.get_mut(key)) {
            server.run.is_withdrawn = true;
        }
        change
    }

    /// Adds or updates a server from its announcement. An instance that restarted or moved to
    /// another service or address becomes a new server. A run that has said that it is leaving or
    /// wants a pause is bound by that also if its announcement was removed in between.
    pub fn announce(&mut self, now: Timestamp, entry: ServerAnnouncement) -> ServerChange {
        let known = self.by_instance.get(&entry.instance).copied();
        if let Some(server) = known.and_then(|key| self.arena.get_mut(key)) {
            let is_same_run = server.entry.started_at_ms == entry.started_at_ms
                && server.entry.service == entry.service
                && server.entry.address == entry.address;
            if is_same_run && !server.is_removed {
                return renew(now, server, entry);
            }
            self.remove(now, &entry.instance);
        }
        let instance = entry.instance.clone();
        let service = entry.service.clone();
        let seen_at = self.version_seen_at(&entry).unwrap_or(now);
        let mut server = Server::new(entry, seen_at);
        if let Some(kept) = self.past_runs.remove(&instance)
            && kept.started_at_ms == server.entry.started_at_ms
            && server.entry.has_start_time()
        {
            server.run.is_leaving |= kept.status.is_leaving;
            server.run.paused_until = kept.status.paused_until;
        }
        let key = self.arena.insert(server);
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        ServerChange::Arrived
    }

    /// When the version of an announced server was first seen, `None` if no server has it now.
    fn version_seen_at(&self, entry: &ServerAnnouncement) -> Option<Timestamp> {
        let version = VersionId::new(&entry.service, &entry.version);
        let known = self.of_service(&entry.service).iter();
        known
            .filter_map(|key| self.arena.get(*key))
            .filter(|server| server.version == version)
            .map(|server| server.version_seen_at)
            .min()
    }

    /// Records that another host has read in a response that a run is leaving.
    pub fn on_leaving(&mut self, hash: u64, started_at_ms: u64) {
        let server = self.arena.values_mut().find(|server| {
            server.hash == hash && server.entry.started_at_ms == started_at_ms && !server.is_removed
        });
        if let Some(server) = server {
            server.run.is_leaving = true;
        }
    }

    /// Records what another host was told of a limit. The later statement of a run holds.
    pub fn on_limit_told(&mut self, now: Timestamp, told: &ServerLimit) {
        let server = self.arena.values_mut().find(|server| {
            server.hash == told.server && server.run_hash() == told.run && !server.is_removed
        });
        let limit = NamedLimit {
            per_second: told.per_second,
            as_of: now - told.age,
            is_own: false,
        };
        if let Some(server) = server
            && server
                .run
                .limit
                .is_none_or(|known| known.as_of < limit.as_of)
        {
            server.run.limit = Some(limit);
        }
    }

    /// Records what a server states of itself in the head of a response.
    pub fn on_response_head(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        head: &ResponseHead,
    ) -> RunUpdate {
        let Some(server) = self.arena.get_mut(key) else {
            return RunUpdate::default();
        };
        let news = server.run.add(now, head);
        if server.is_removed {
            let kept = PastRun::new(now, server);
            let instance = server.entry.instance.clone();
            self.past_runs.insert(instance, kept);
        }
        news
    }

    /// Handles the removal of an instance's announcement. The server is removed, or stays in use
    /// until `usable_until` if that is given, in case it announces itself again. Returns whether
    /// the announcement was present until now.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        instance: &str,
        usable_until: Option<Timestamp>,
    ) -> bool {
        let known = self.by_instance.get(instance).copied();
        let Some(server) = known.and_then(|key| self.arena.get_mut(key)) else {
            return false;
        };
        let was_present = server.expires_at.is_none();
        match usable_until {
            Some(at) => server.expires_at = server.expires_at.or(Some(at)),
            None => self.remove(now, instance),
        }
        was_present
    }

    /// Sorted identifiers of the known instances that are not in `listed`.
    pub fn missing_from(&self, listed: &[CompactString]) -> Vec<CompactString> {
        let mut missing: Vec<_> = self
            .by_instance
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        missing.sort();
        missing
    }

    /// Removes the servers that did not announce themselves again in time, and forgets removed
    /// servers without requests. Returns the instances that were removed by this call.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<CompactString> {
        let expired: Vec<_> = self
            .by_instance
            .iter()
            .filter(|(_, key)| {
                let server = self.arena.get(**key);
                server.is_some_and(|s| s.expires_at.is_some_and(|at| at.has_passed(now)))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for instance in &expired {
            self.remove(now, instance);
        }
        self.past_runs
            .retain(|_, kept| !kept.drop_at.has_passed(now));
        self.arena
            .retain(|_, s| !s.is_removed || s.load.requests > 0);
        expired
    }

    /// Takes a server out of use. [`Self::sweep`] forgets it once its last request has ended.
    fn remove(&mut self, now: Timestamp, instance: &str) {
        let Some(key) = self.by_instance.remove(instance) else {
            return;
        };
        let Some(server) = self.arena.get_mut(key) else {
            return;
        };
        server.is_removed = true;
        let kept = PastRun::new(now, server);
        self.past_runs.insert(instance.into(), kept);
        if let Some(keys) = self.by_service.get_mut(&server.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}

/// Updates a known server from a newer announcement of the same run.
fn renew(now: Timestamp, server: &mut Server, entry: ServerAnnouncement) -> ServerChange {
    server.expires_at = None;
    // A run never takes requests again once it has said that it is leaving. If an announcement says
    // so, the platform has gone back to an older state, or the run has only said so in responses.
    let was_leaving = server.run.is_leaving;
    server.run.is_leaving |= entry.is_leaving;
    server.run.is_withdrawn = false;
    let is_altered = server.entry.slots != entry.slots
        || server.entry.domain != entry.domain
        || server.entry.cold_until != entry.cold_until
        || server.entry.is_leaving != entry.is_leaving;
    server.cold_until = entry.cold_until;
    server.domain_hash = xxh3_64(entry.domain.as_bytes());
    let version = VersionId::new(&entry.service, &entry.version);
    if server.version != version {
        server.version = version;
        server.version_seen_at = now;
    }
    server.entry = entry;
    if server.run.is_leaving && !was_leaving {
        ServerChange::Leaving
    } else if is_altered {
        ServerChange::Altered
    } else {
        ServerChange::Unchanged
    }
}
