//! Catalogue of backend servers, services and shards.
//!
//! It combines the host list, which says which servers exist, with the operators' configuration,
//! which may take a server or a failure domain out of service. The platform, the external system
//! that the fleet runs on, maintains the host list. A shard (`pool` in identifiers) is the set of
//! servers of one service in one failure domain.

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

/// Immutable catalogue of servers, services and shards. It is rebuilt as a whole when the host list
/// or the configuration changes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    servers: BTreeMap<ServerId, CatalogServer>,
    services: BTreeMap<ServiceId, ListedService>,
    pools: BTreeMap<PoolKey, Vec<PoolServer>>,
}

/// A backend server in the host list.
#[derive(Clone, Debug)]
pub struct CatalogServer {
    /// The server's entry in the host list.
    pub entry: HostEntry,
    /// Whether the configuration takes the server, or its whole failure domain, out of service.
    pub out_of_service: bool,
}

impl CatalogServer {
    /// Whether the server may be given new requests: it is in service and not about to stop.
    pub fn is_usable(&self) -> bool {
        !self.out_of_service && self.entry.state == HostState::Live
    }
}

impl Catalog {
    /// Builds the catalogue. Without a configuration, every listed server is in service.
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

    /// Looks up a server; `None` if it is not in the host list.
    pub fn server(&self, server: ServerId) -> Option<&CatalogServer> {
        self.servers.get(&server)
    }

    /// All servers in the host list, in service or not.
    pub fn servers(&self) -> impl Iterator<Item = &CatalogServer> {
        self.servers.values()
    }

    /// All services that at least one listed server offers.
    pub fn services(&self) -> impl Iterator<Item = &ListedService> {
        self.services.values()
    }

    /// All shards, each with its servers.
    pub fn pools(&self) -> impl Iterator<Item = (PoolKey, &[PoolServer])> {
        self.pools
            .iter()
            .map(|(key, servers)| (*key, servers.as_slice()))
    }

    /// Failure domains with at least one usable server of the service, in ascending order.
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
