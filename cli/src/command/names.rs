//! Names for the identifiers in the status of hosts.
//!
//! The status refers to servers, services and failure domains by the hash of their name, and to
//! workspaces by number. The names are collected from the host lists and the configuration.

use std::collections::HashMap;

use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::operator::ConfigurationView;
use cardamomshift_lib::status::Status;

/// Names by identifier, as far as the hosts that were asked know them.
#[derive(Default)]
pub(super) struct Names {
    servers: HashMap<ServerId, String>,
    services: HashMap<ServiceId, String>,
    domains: HashMap<DomainId, String>,
    workspaces: HashMap<WorkspaceId, String>,
}

impl Names {
    /// Adds the names of the servers, services and failure domains in a host's status.
    pub(super) fn add_status(&mut self, status: &Status) {
        for host in &status.hosts {
            self.add_domain(&host.domain);
        }
        for server in &status.servers {
            let name = server.name.to_string();
            self.servers.insert(ServerId::of(&server.name), name);
            self.add_domain(&server.domain);
            for service in &server.services {
                let id = ServiceId::of(service);
                self.services.insert(id, service.to_string());
            }
        }
    }

    /// Adds the names of the workspaces in the configuration.
    pub(super) fn add_workspaces(&mut self, view: &ConfigurationView) {
        let named = view.workspaces.iter();
        self.workspaces
            .extend(named.map(|entry| (entry.id, entry.name.to_string())));
    }

    fn add_domain(&mut self, name: &str) {
        self.domains.insert(DomainId::of(name), name.to_owned());
    }

    /// Name of a backend server, or its identifier if the name is unknown.
    pub(super) fn server(&self, id: ServerId) -> String {
        self.servers
            .get(&id)
            .cloned()
            .unwrap_or_else(|| id.to_string())
    }

    /// Name of a service, or its identifier if the name is unknown.
    pub(super) fn service(&self, id: ServiceId) -> String {
        self.services
            .get(&id)
            .cloned()
            .unwrap_or_else(|| id.to_string())
    }

    /// Name of a failure domain, or its identifier if the name is unknown.
    pub(super) fn domain(&self, id: DomainId) -> String {
        self.domains
            .get(&id)
            .cloned()
            .unwrap_or_else(|| id.to_string())
    }

    /// Name of a workspace, or `#` and its number if the name is unknown.
    pub(super) fn workspace(&self, id: WorkspaceId) -> String {
        let found = self.workspaces.get(&id).cloned();
        found.unwrap_or_else(|| format!("#{id}"))
    }
}
