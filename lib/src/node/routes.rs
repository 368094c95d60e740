//! Where bids, reports and permits go, in the node's own view of the fleet.

use super::Catalog;
use crate::host::Membership;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::message::RefusalReason;
use crate::permit::slot_home;
use crate::pool::PoolKey;

/// A reading of membership and catalogue that answers routing questions.
#[derive(Clone, Copy)]
pub(super) struct Routes<'a> {
    pub(super) own_domain: DomainId,
    pub(super) members: &'a Membership,
    pub(super) catalog: &'a Catalog,
}

impl Routes<'_> {
    /// Shard and scheduler for a new bid. The own failure domain goes first, because its
    /// scheduler is near and hands bids over when other shards are free.
    pub(super) fn route_bid(
        &self,
        service: ServiceId,
        sequence: u64,
    ) -> Result<(PoolKey, HostId), RefusalReason> {
        let domains: Vec<_> = self.catalog.usable_domains(service).collect();
        if domains.is_empty() {
            return Err(RefusalReason::NoServer);
        }
        if domains.contains(&self.own_domain)
            && let Some(route) = self.scheduled(service, self.own_domain)
        {
            return Ok(route);
        }
        let start = usize::try_from(sequence % domains.len() as u64).unwrap_or(0);
        (0..domains.len())
            .map(|step| domains[(start + step) % domains.len()])
            .find_map(|domain| self.scheduled(service, domain))
            .ok_or(RefusalReason::NoScheduler)
    }

    fn scheduled(&self, service: ServiceId, domain: DomainId) -> Option<(PoolKey, HostId)> {
        let key = PoolKey { service, domain };
        self.members.scheduler(key).map(|host| (key, host))
    }

    /// Failure domain of a server that takes new work.
    pub(super) fn usable_domain(&self, server: ServerId) -> Option<DomainId> {
        self.catalog
            .server(server)
            .filter(|server| server.is_usable())
            .map(|server| server.entry.domain_id())
    }

    /// Failure domain of a listed server.
    pub(super) fn domain(&self, server: ServerId) -> Option<DomainId> {
        self.catalog
            .server(server)
            .map(|server| server.entry.domain_id())
    }

    /// Home host of a server's slot.
    pub(super) fn slot_home(&self, server: ServerId, slot: u32) -> Option<HostId> {
        let domain = self.domain(server)?;
        slot_home(self.members.listed_hosts(domain), server, slot)
    }
}
