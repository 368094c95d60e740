//! What a host's view says of the fleet: who is alive, and who holds which role.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::Membership;
use super::record::Record;
use super::rendezvous;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::pool::PoolKey;

impl Membership {
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

    /// Listed hosts of all failure domains.
    pub fn listed_hosts_everywhere(&self) -> Vec<HostId> {
        self.select(|record| record.listed)
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
    pub fn configuration_watchers(&self, domain: DomainId) -> Vec<HostId> {
        let mut candidates = self.candidates(domain);
        let mut configuration_watchers = Vec::new();
        for _ in 0..2 {
            let Some(watcher) = rendezvous(candidates.iter().copied(), domain.0) else {
                break;
            };
            candidates.retain(|host| *host != watcher);
            configuration_watchers.push(watcher);
        }
        configuration_watchers
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
        let eligible =
            self.select(|record| in_domain(record) && record.hold_down.has_ended(self.now));
        if eligible.is_empty() {
            self.select(in_domain)
        } else {
            eligible
        }
    }
}
