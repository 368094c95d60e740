//! Which hosts watch which: the receivers of a host's heartbeats.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::rendezvous;
use crate::id::DomainId;
use crate::id::HostId;

/// Hosts of the own failure domain that watch a host.
pub(crate) const LOCAL_MONITORS: usize = 3;

/// Seed of the positions on the ring.
const RING_SEED: u64 = 0x72696e67;

/// The hosts of each failure domain that can watch others, in the order of the ring.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    domains: BTreeMap<DomainId, Vec<(u64, HostId)>>,
}

impl Ring {
    /// Arranges hosts on the ring of their failure domain.
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

    /// Failure domains with at least one host on the ring.
    pub(crate) fn domains(&self) -> impl Iterator<Item = DomainId> {
        self.domains.keys().copied()
    }

    /// The hosts of `domain` that watch `host`, which is of the same failure domain: those before
    /// it on the ring.
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

    /// The host of `domain` that watches `host`, which is of another failure domain.
    pub(crate) fn remote_monitor(&self, domain: DomainId, host: HostId) -> Option<HostId> {
        let hosts = self.hosts(domain);
        rendezvous(hosts.iter().map(|(_, other)| *other), host.0)
    }

    fn hosts(&self, domain: DomainId) -> &[(u64, HostId)] {
        self.domains.get(&domain).map_or(&[], Vec::as_slice)
    }
}

fn position(host: HostId) -> u64 {
    xxh3_64_with_seed(&host.0.to_le_bytes(), RING_SEED)
}
