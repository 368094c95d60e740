//! Routing queries: which host schedules a shard or is the home of a slot.
//!
//! A shard (`pool` in identifiers) is the set of servers of one service in one failure domain. Its
//! scheduler grants these servers to requests, for each of which it receives a bid. A slot is one
//! unit of the limit of a server that is not warm (whose capacity is not learnt yet), and its home
//! is the host that permits it to one request at a time.
//!
//! The answers follow from the node's own view of membership and host list. Two hosts may disagree
//! for a short time, so receivers check each message against their own view.

use super::Catalog;
use crate::host::Membership;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::message::RefusalReason;
use crate::permit::slot_home;
use crate::pool::PoolKey;

/// Borrowed view of membership and catalogue that answers routing queries.
#[derive(Clone, Copy)]
pub(super) struct Routes<'a> {
    pub(super) own_domain: DomainId,
    pub(super) members: &'a Membership,
    pub(super) catalog: &'a Catalog,
}

impl Routes<'_> {
    /// Shard and scheduler for a new bid.
    ///
    /// The own failure domain is preferred, because its scheduler is near and hands bids over to
    /// other shards that have free capacity. If the own domain has no usable server or no
    /// scheduler, `sequence` spreads the requests over the other domains.
    ///
    /// # Errors
    ///
    /// `NoServer` if no usable server offers the service, `NoScheduler` if none of the shards has a
    /// host that can schedule it.
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

    /// The shard of a service in a failure domain and its scheduler, or `None` if no host can
    /// schedule the shard.
    fn scheduled(&self, service: ServiceId, domain: DomainId) -> Option<(PoolKey, HostId)> {
        let key = PoolKey { service, domain };
        self.members.scheduler(key).map(|host| (key, host))
    }

    /// Failure domain of a server that may be given new requests, `None` for any other server.
    pub(super) fn usable_domain(&self, server: ServerId) -> Option<DomainId> {
        self.catalog
            .server(server)
            .filter(|server| server.is_usable())
            .map(|server| server.entry.domain_id())
    }

    /// Failure domain of a server, `None` if it is not in the host list.
    pub(super) fn domain(&self, server: ServerId) -> Option<DomainId> {
        self.catalog
            .server(server)
            .map(|server| server.entry.domain_id())
    }

    /// Home host of a server's slot: a listed host of the server's failure domain.
    pub(super) fn slot_home(&self, server: ServerId, slot: u32) -> Option<HostId> {
        let domain = self.domain(server)?;
        slot_home(self.members.listed_hosts(domain), server, slot)
    }
}
