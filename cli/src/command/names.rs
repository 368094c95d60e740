//! Names of the keys that hosts use in their status.

use std::collections::HashMap;

use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::operator::ConfigurationView;
use cardamomshift_lib::status::Status;

/// Names by key, as far as the asked hosts know them.
#[derive(Default)]
pub(super) struct Names {
    servers: HashMap<ServerId, String>,
    services: HashMap<ServiceId, String>,
    domains: HashMap<DomainId, String>,
    workspaces: HashMap<WorkspaceId, String>,
}

impl Names {
    /// Learns what a host's status names.
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

    /// Learns the names of workspaces.
    pub(super) fn add_workspaces(&mut self, view: &ConfigurationView) {
        let named = view.workspaces.iter();
        self.workspaces
            .extend(named.map(|entry| (entry.id, entry.name.to_string())));
    }

    fn add_domain(&mut self, name: &str) {
        self.domains.insert(DomainId::of(name), name.to_owned());
    }

    /// Name of a backend server, or its key if the name is unknown.
    pub(super) fn server(&self, id: ServerId) -> String {
        self.servers
            .get(&id)
            .cloned()
            .unwrap_or_else(|| id.to_string())
    }

    /// Name of a service, or its key if the name is unknown.
    pub(super) fn service(&self, id: ServiceId) -> String {
        self.services
            .get(&id)
            .cloned()
            .unwrap_or_else(|| id.to_string())
    }

    /// Name of a failure domain, or its key if the name is unknown.
    pub(super) fn domain(&self, id: DomainId) -> String {
        self.domains
            .get(&id)
            .cloned()
            .unwrap_or_else(|| id.to_string())
    }

    /// Name of a workspace, or its number if the name is unknown.
    pub(super) fn workspace(&self, id: WorkspaceId) -> String {
        let found = self.workspaces.get(&id).cloned();
        found.unwrap_or_else(|| format!("#{id}"))
    }
}
