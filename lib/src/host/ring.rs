//! Assignment of monitors in a large fleet. The monitors of a host are the hosts that receive its
//! heartbeats and report it dead when it falls silent.
//!
//! In its own failure domain they are its predecessors on the domain's hash ring. In each other
//! domain it is one host, selected by rendezvous hashing: each pair of hosts is hashed, and the
//! candidate with the highest hash is selected.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::rendezvous;
use crate::id::DomainId;
use crate::id::HostId;

/// Number of monitors that a host has in its own failure domain.
pub(crate) const LOCAL_MONITORS: usize = 3;

/// Seed of the hash that places hosts on a ring ("ring" in ASCII). All hosts must use the same.
const RING_SEED: u64 = 0x72696e67;

/// The hash rings of all failure domains. The ring of a domain has its hosts that can be monitors,
/// sorted by a hash of their identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct HashRings {
    domains: BTreeMap<DomainId, Vec<(u64, HostId)>>,
}

impl HashRings {
    /// Sorts the hosts onto the rings of their failure domains.
    pub(crate) fn new(hosts: impl IntoIterator<Item = (DomainId, HostId)>) -> Self {
        let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (domain, host) in hosts {
            domains
                .entry(domain)
                .or_default()
                .push((position(host), host));
        }
        for hosts in domains.values_mut() {
            hosts.sort_unstable();
        }
        Self { domains }
    }

    /// Failure domains with at least one host on their ring.
    pub(crate) fn domains(&self) -> impl Iterator<Item = DomainId> {
        self.domains.keys().copied()
    }

    /// Monitors of `host` in its own failure domain `domain`: the up to [`LOCAL_MONITORS`] hosts
    /// that precede it on the domain's ring. `host` itself need not be on it.
    pub(crate) fn local_monitors(&self, domain: DomainId, host: HostId) -> Vec<HostId> {
        let hosts = self.hosts(domain);
        let at = hosts.partition_point(|entry| *entry < (position(host), host));
        let before = hosts[..at].iter().rev();
        let after = hosts[at..].iter().rev();
        before
            .chain(after)
            .map(|(_, other)| *other)
            .filter(|other| *other != host)
            .take(LOCAL_MONITORS)
            .collect()
    }

    /// Monitor of `host` in `domain`, a failure domain other than the host's own: the host of that
    /// domain's ring that rendezvous hashing selects for `host`. The ring only lists the candidates
    /// here; their order does not matter.
    pub(crate) fn remote_monitor(&self, domain: DomainId, host: HostId) -> Option<HostId> {
        let hosts = self.hosts(domain);
        rendezvous(hosts.iter().map(|(_, other)| *other), host.0)
    }

    /// The ring of a failure domain, empty without hosts.
    fn hosts(&self, domain: DomainId) -> &[(u64, HostId)] {
        self.domains.get(&domain).map_or(&[], Vec::as_slice)
    }
}

/// Position of a host on its ring.
fn position(host: HostId) -> u64 {
    xxh3_64_with_seed(&host.0.to_le_bytes(), RING_SEED)
}
