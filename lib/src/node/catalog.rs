//! What the host list and the configuration say together of servers and services.

use std::collections::BTreeMap;

use crate::configuration::Configuration;
use crate::host::HostEntry;
use crate::host::HostList;
use crate::host::HostState;
use crate::host::ListedService;
use crate::host::Role;
use crate::id::DomainId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::pool::PoolKey;
use crate::pool::PoolServer;

/// Servers, services and shards, rebuilt when the host list or the configuration changes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    servers: BTreeMap<ServerId, CatalogServer>,
    services: BTreeMap<ServiceId, ListedService>,
    pools: BTreeMap<PoolKey, Vec<PoolServer>>,
}

/// A listed backend server.
#[derive(Clone, Debug)]
pub struct CatalogServer {
    /// Its entry in the host list.
    pub entry: HostEntry,
    /// Whether it or its failure domain is out of service by configuration.
    pub out_of_service: bool,
}

impl CatalogServer {
    /// Whether the server takes new work.
    pub fn is_usable(&self) -> bool {
        !self.out_of_service && self.entry.state == HostState::Live
    }
}

impl Catalog {
    /// Builds the catalogue of a host list under a configuration.
    pub fn build(list: &HostList, configuration: Option<&Configuration>) -> Self {
        let mut catalog = Self::default();
        for entry in list
            .hosts
            .iter()
            .filter(|entry| entry.role == Role::Backend)
        {
            let out_of_service = configuration.is_some_and(|configuration| {
                configuration.is_domain_out(entry.domain_id())
                    || configuration.is_server_out(entry.server_id())
            });
            catalog.add(CatalogServer {
                entry: entry.clone(),
                out_of_service,
            });
        }
        catalog
    }

    fn add(&mut self, server: CatalogServer) {
        for service in &server.entry.services {
            let key = PoolKey {
                service: service.service_id(),
                domain: server.entry.domain_id(),
            };
            self.services.insert(key.service, service.clone());
            self.pools.entry(key).or_default().push(PoolServer {
                server: server.entry.server_id(),
                kind: service.kind,
                usable: server.is_usable(),
            });
        }
        self.servers.insert(server.entry.server_id(), server);
    }

    /// A listed server.
    pub fn server(&self, server: ServerId) -> Option<&CatalogServer> {
        self.servers.get(&server)
    }

    /// Every listed server.
    pub fn servers(&self) -> impl Iterator<Item = &CatalogServer> {
        self.servers.values()
    }

    /// Every service that some listed server offers.
    pub fn services(&self) -> impl Iterator<Item = &ListedService> {
        self.services.values()
    }

    /// Every shard with its servers.
    pub fn pools(&self) -> impl Iterator<Item = (PoolKey, &[PoolServer])> {
        self.pools
            .iter()
            .map(|(key, servers)| (*key, servers.as_slice()))
    }

    /// Failure domains with a server of the service that takes new work, in order.
    pub fn usable_domains(&self, service: ServiceId) -> impl Iterator<Item = DomainId> + '_ {
        let first = PoolKey {
            service,
            domain: DomainId(0),
        };
        let last = PoolKey {
            service,
            domain: DomainId(u64::MAX),
        };
        self.pools
            .range(first..=last)
            .filter(|(_, servers)| servers.iter().any(|server| server.usable))
            .map(|(key, _)| key.domain)
    }
}
