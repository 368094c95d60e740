//! Queries on a host's view of the fleet: which hosts are alive, and which hold the roles.
//!
//! The roles of a failure domain are the schedulers of its services, each of which decides which
//! request goes to which backend server, and the two hosts that watch the configuration on the
//! platform (the external system that stores it) for all others. Rendezvous hashing assigns them,
//! so that hosts with the same view choose the same holders without exchanging messages.

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
    /// Whether a host is considered alive.
    pub fn alive(&self, host: HostId) -> bool {
        self.records.get(&host).is_some_and(|record| record.alive)
    }

    /// Whether a host is in the host list.
    pub fn is_listed(&self, host: HostId) -> bool {
        self.records.get(&host).is_some_and(|record| record.listed)
    }

    /// Hosts of a failure domain that are considered alive, including hosts that the host list no
    /// longer contains.
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

    /// Hosts of all failure domains that are listed or considered alive.
    pub fn known_hosts(&self) -> Vec<HostId> {
        self.select(|record| record.listed || record.alive)
    }

    /// Failure domains with at least one listed host.
    pub fn domains(&self) -> Vec<DomainId> {
        let listed = self.records.values().filter(|record| record.listed);
        let domains: BTreeSet<_> = listed.filter_map(Record::domain).collect();
        domains.into_iter().collect()
    }

    /// Failure domain of a host, `None` if the host has never been listed.
    pub fn domain(&self, host: HostId) -> Option<DomainId> {
        self.records.get(&host).and_then(Record::domain)
    }

    /// The host that schedules a shard, which is a service in one failure domain. `None` if no host
    /// of the failure domain may hold roles.
    pub fn scheduler(&self, pool: PoolKey) -> Option<HostId> {
        let mut key = [0; 16];
        key[..8].copy_from_slice(&pool.service.0.to_le_bytes());
        key[8..].copy_from_slice(&pool.domain.0.to_le_bytes());
        rendezvous(self.candidates(pool.domain), xxh3_64(&key))
    }

    /// The two hosts of a failure domain that watch the platform for new configurations; fewer if
    /// fewer may hold roles.
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

    /// Latest known incarnation of a host, which identifies the start of its process. `None` if
    /// unknown.
    pub fn incarnation(&self, host: HostId) -> Option<Incarnation> {
        let record = self.records.get(&host)?;
        (record.incarnation != Incarnation::default()).then_some(record.incarnation)
    }

    /// Latest configuration revision that a host has sent in a heartbeat, zero if unknown.
    pub fn configuration_revision(&self, host: HostId) -> u64 {
        self.records
            .get(&host)
            .map_or(0, |record| record.configuration_revision)
    }

    /// Whether a host is about to stop, according to the host list or to its own heartbeats.
    pub fn is_leaving(&self, host: HostId) -> bool {
        self.records.get(&host).is_some_and(Record::is_leaving)
    }

    /// Hosts to keep a link to, with the address of their listener: all others that are listed or
    /// considered alive.
    pub fn peers_to_connect(&self) -> Vec<(HostId, SocketAddr)> {
        self.records
            .iter()
            .filter(|(host, record)| **host != self.own && (record.listed || record.alive))
            .filter_map(|(host, record)| Some((*host, record.entry?.address)))
            .collect()
    }

    /// Hosts that may hold roles in a failure domain: listed hosts that are alive, not about to
    /// stop and past their hold-down (the wait after a return). If all are in hold-down, such as
    /// the only host of a failure domain after its start, all of them.
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
