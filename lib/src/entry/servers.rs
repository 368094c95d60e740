//! Registry of the backend servers that an entry host knows, with the host's own load on each.
//!
//! Servers announce themselves about once per second in the object store of the platform, the
//! external system that also stores the configuration. The announcements reach
//! [`Servers::announce`], and their removals reach [`Servers::withdraw`]. An instance is one
//! installation of a server; it keeps its identifier when it restarts. A [`Server`] stands for one
//! run of an instance.

use std::collections::HashMap;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

use super::budget::ColdStartLimiter;
use super::dialect::ServerAnnouncement;
use super::health::FailureRate;
use super::health::Reachability;
use crate::time::Timestamp;

new_key_type! {
    /// Identifies one run of a backend server's instance. A restarted instance gets a new key.
    pub struct ServerKey;
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
    /// Whether the server was removed. A removed server gets no new requests, and is forgotten once
    /// its last request has ended.
    pub is_removed: bool,
    /// When the server is removed unless it announces itself again. Set while its announcement is
    /// missing from the platform's object store.
    pub expires_at: Option<Timestamp>,
    /// Whether another instance responded at the server's address.
    pub is_misdirected: bool,
    /// When the cold start ends. This is later than announced if a failed connection has suggested
    /// a restart, until the next announcement arrives.
    pub cold_until: Timestamp,
    /// Load of this host on the server.
    pub load: Load,
    /// Limits this host's requests during a cold start.
    pub cold_start_limiter: ColdStartLimiter,
    /// Outcomes of this host's requests to the server.
    pub failures: FailureRate,
    /// Whether the server can be reached.
    pub reachability: Reachability,
}

impl Server {
    fn new(entry: ServerAnnouncement) -> Self {
        Self {
            hash: xxh3_64(entry.instance.as_bytes()),
            domain_hash: xxh3_64(entry.domain.as_bytes()),
            is_removed: false,
            expires_at: None,
            is_misdirected: false,
            cold_until: entry.cold_until,
            load: Load::default(),
            cold_start_limiter: ColdStartLimiter::default(),
            failures: FailureRate::default(),
            reachability: Reachability::default(),
            entry,
        }
    }

    /// Whether new requests may be sent: the server is announced as taking requests, its
    /// announcement has not expired, and no other instance has responded at its address.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let has_expired = self.expires_at.is_some_and(|at| at.has_passed(now));
        !self.is_removed && !has_expired && !self.is_misdirected && !self.entry.is_leaving
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

    /// Adds or updates a server from its announcement. An instance that restarted or moved to
    /// another service or address becomes a new server.
    pub fn announce(&mut self, entry: ServerAnnouncement) -> ServerChange {
        let known = self.by_instance.get(&entry.instance).copied();
        if let Some(server) = known.and_then(|key| self.arena.get_mut(key)) {
            let is_same_run = server.entry.started_at_ms == entry.started_at_ms
                && server.entry.service == entry.service
                && server.entry.address == entry.address;
            if is_same_run && !server.is_removed {
                return renew(server, entry);
            }
            self.remove(&entry.instance);
        }
        let instance = entry.instance.clone();
        let service = entry.service.clone();
        let key = self.arena.insert(Server::new(entry));
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        ServerChange::Arrived
    }

    /// Handles the removal of an instance's announcement. The server is removed, or stays in use
    /// until `usable_until` if that is given, in case it announces itself again. Returns whether
    /// the announcement was present until now.
    pub fn withdraw(&mut self, instance: &str, usable_until: Option<Timestamp>) -> bool {
        let known = self.by_instance.get(instance).copied();
        let Some(server) = known.and_then(|key| self.arena.get_mut(key)) else {
            return false;
        };
        let was_present = server.expires_at.is_none();
        match usable_until {
            Some(at) => server.expires_at = server.expires_at.or(Some(at)),
            None => self.remove(instance),
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
            self.remove(instance);
        }
        self.arena
            .retain(|_, s| !s.is_removed || s.load.requests > 0);
        expired
    }

    /// Takes a server out of use. [`Self::sweep`] forgets it once its last request has ended.
    fn remove(&mut self, instance: &str) {
        let Some(key) = self.by_instance.remove(instance) else {
            return;
        };
        let Some(server) = self.arena.get_mut(key) else {
            return;
        };
        server.is_removed = true;
        if let Some(keys) = self.by_service.get_mut(&server.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}

/// Updates a known server from a newer announcement of the same run.
fn renew(server: &mut Server, entry: ServerAnnouncement) -> ServerChange {
    server.expires_at = None;
    let was_leaving = server.entry.is_leaving;
    let is_altered = server.entry.slots != entry.slots
        || server.entry.domain != entry.domain
        || server.entry.cold_until != entry.cold_until
        || server.entry.is_leaving != entry.is_leaving;
    server.cold_until = entry.cold_until;
    server.domain_hash = xxh3_64(entry.domain.as_bytes());
    server.entry = entry;
    if server.entry.is_leaving && !was_leaving {
        ServerChange::Leaving
    } else if is_altered {
        ServerChange::Altered
    } else {
        ServerChange::Unchanged
    }
}
