//! Snapshots of the node's state for the traffic threads, which handle the connections of callers,
//! and for operators.

use crate::control::FleetView;
use crate::control::ServerEntry;
use crate::control::ServiceEntry;
use crate::host::HostEntry;
use crate::host::HostState;
use crate::host::Role;
use crate::status::HostStatus;
use crate::status::ListedServerStatus;
use crate::status::Status;

use super::Node;
use super::catalog::CatalogServer;

impl Node {
    /// Snapshot of the fleet for the traffic threads.
    pub(super) fn view(&self) -> FleetView {
        let services = self.catalog.services().map(|service| {
            let entry = ServiceEntry {
                id: service.service_id(),
                kind: service.kind,
            };
            (service.name.clone(), entry)
        });
        let servers = self.catalog.servers().map(|server| {
            let entry = ServerEntry {
                name: server.entry.name.clone(),
                address: server.entry.address,
                checks_fencing: server.entry.checks_fencing,
            };
            (server.entry.server_id(), entry)
        });
        FleetView {
            configuration: self.configuration().cloned(),
            services: services.collect(),
            servers: servers.collect(),
            stopping: self.stopping,
        }
    }

    /// State of the fleet as this host sees it, for operators and metrics.
    pub fn status(&self) -> Status {
        let (waiting, running) = self.requests.counts();
        let hosts = self
            .list
            .hosts
            .iter()
            .filter(|entry| entry.role == Role::Entry)
            .map(|entry| self.host_status(entry));
        Status {
            host: self.identity.name.clone(),
            domain: self.identity.domain.clone(),
            revision: self.follower.revision(),
            stopping: self.stopping,
            waiting,
            running,
            hosts: hosts.collect(),
            servers: self.catalog.servers().map(server_status).collect(),
            pools: self.pools.values().map(|pool| pool.status()).collect(),
        }
    }

    fn host_status(&self, entry: &HostEntry) -> HostStatus {
        let host = entry.host_id();
        let revision = if host == self.own {
            self.follower.revision()
        } else {
            self.members.configuration_revision(host)
        };
        HostStatus {
            name: entry.name.clone(),
            domain: entry.domain.clone(),
            alive: self.members.alive(host),
            leaving: entry.state == HostState::Leaving,
            revision,
        }
    }
}

fn server_status(server: &CatalogServer) -> ListedServerStatus {
    ListedServerStatus {
        name: server.entry.name.clone(),
        domain: server.entry.domain.clone(),
        leaving: server.entry.state == HostState::Leaving,
        out: server.out_of_service,
        services: server
            .entry
            .services
            .iter()
            .map(|service| service.name.clone())
            .collect(),
    }
}
