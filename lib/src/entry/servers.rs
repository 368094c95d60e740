//! The backend servers that a host knows, and what it has sent to each.

use std::collections::HashMap;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

use super::budget::ColdShare;
use super::dialect::ServerEntry;
use super::health::FailureRate;
use super::health::Reachability;
use crate::time::Timestamp;

new_key_type! {
    /// A backend server in one life of its instance.
    pub struct ServerKey;
}

/// Work that this host has at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests without a final answer.
    pub requests: u32,
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// What it announced last.
    pub entry: ServerEntry,
    /// Hash of its instance, the same on every host.
    pub hash: u64,
    /// Hash of its failure domain.
    pub domain_hash: u64,
    /// It may not get anything new.
    pub is_removed: bool,
    /// Set while the announcement is missing and the server has time to announce itself again.
    pub expires_at: Option<Timestamp>,
    /// It answered as another instance.
    pub is_misdirected: bool,
    /// When it is warm again. Later than announced if this host has seen signs of a restart.
    pub cold_until: Timestamp,
    /// Work of this host.
    pub load: Load,
    /// Requests sent in the last second.
    pub cold_share: ColdShare,
    /// Outcomes of this host's requests.
    pub failures: FailureRate,
    /// Whether connections come about.
    pub reachability: Reachability,
}

impl Server {
    fn new(entry: ServerEntry) -> Self {
        Self {
            hash: xxh3_64(entry.instance.as_bytes()),
            domain_hash: xxh3_64(entry.domain.as_bytes()),
            is_removed: false,
            expires_at: None,
            is_misdirected: false,
            cold_until: entry.cold_until,
            load: Load::default(),
            cold_share: ColdShare::default(),
            failures: FailureRate::default(),
            reachability: Reachability::default(),
            entry,
        }
    }

    /// Whether it announced that it takes requests.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let lapsed = self.expires_at.is_some_and(|at| at.has_passed(now));
        !self.is_removed && !lapsed && !self.is_misdirected && !self.entry.is_leaving
    }

    /// Whether it may be in its cold start.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        !self.cold_until.has_passed(now)
    }
}

/// A change of what is known of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// It was not known, or has started again.
    Arrived,
    /// It is going to leave.
    Leaving,
    /// Something else about it.
    Altered,
    /// Nothing new.
    Unchanged,
}

/// All servers, by key, instance and service.
#[derive(Debug, Default)]
pub struct Servers {
    arena: SlotMap<ServerKey, Server>,
    by_instance: HashMap<CompactString, ServerKey>,
    by_service: HashMap<CompactString, Vec<ServerKey>>,
}

impl Servers {
    /// The server of a key, unless it has been forgotten.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// The server of a key, to be changed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.arena.get_mut(key)
    }

    /// Keys of the servers of a service.
    pub fn of_service(&self, service: &str) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.arena.iter()
    }

    /// Number of servers that are announced.
    pub fn count(&self) -> usize {
        self.by_instance.len()
    }

    /// The key of an instance.
    pub fn key_of(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    /// Takes over an announcement.
    pub fn announce(&mut self, entry: ServerEntry) -> ServerChange {
        let known = self.by_instance.get(&entry.instance).copied();
        if let Some(server) = known.and_then(|key| self.arena.get_mut(key)) {
            let is_same_life = server.entry.started_at_ms == entry.started_at_ms
                && server.entry.service == entry.service
                && server.entry.address == entry.address;
            if is_same_life && !server.is_removed {
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

    /// The announcement of an instance has been removed. With a deadline the server is used until
    /// then, in case it announces itself again.
    pub fn withdraw(&mut self, instance: &str, usable_until: Option<Timestamp>) -> bool {
        let known = self.by_instance.get(instance).copied();
        let Some(server) = known.and_then(|key| self.arena.get_mut(key)) else {
            return false;
        };
        let was_known = server.expires_at.is_none();
        match usable_until {
            Some(at) => server.expires_at = server.expires_at.or(Some(at)),
            None => self.remove(instance),
        }
        was_known
    }

    /// Instances that are known and not among `listed`.
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

    /// Forgets servers that did not announce themselves again, and those that are gone and on
    /// which no request is left. Gives the instances that are gone now.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<CompactString> {
        let lapsed: Vec<_> = self
            .by_instance
            .iter()
            .filter(|(_, key)| {
                let server = self.arena.get(**key);
                server.is_some_and(|s| s.expires_at.is_some_and(|at| at.has_passed(now)))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for instance in &lapsed {
            self.remove(instance);
        }
        self.arena
            .retain(|_, s| !s.is_removed || s.load.requests > 0);
        lapsed
    }

    /// Takes a server out of use; it is forgotten once its last request has ended.
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

/// Takes over a further announcement of a known server.
fn renew(server: &mut Server, entry: ServerEntry) -> ServerChange {
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
