//! Composition of a fleet, its initial configuration, and the addresses of its hosts.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshift_lib::configuration::Class;
use cardamomshift_lib::configuration::Configuration;
use cardamomshift_lib::configuration::Workspace;
use cardamomshift_lib::configuration::hash_key;
use cardamomshift_lib::host::HostEntry;
use cardamomshift_lib::host::HostState;
use cardamomshift_lib::host::Role;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_testutils::EngineProfile;
use cardamomshift_testutils::PlainProfile;

use super::subnet::Subnet;
use super::subnet::socket_addr;

/// Name of the model that every engine serves.
pub const MODEL: &str = "ruling-7b";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "ledger";
/// Shared key with which the hosts of a fleet authenticate to each other.
pub(crate) const FLEET_KEY: &str = "bench-fleet-key-0123456789abcdef";
/// Key that authenticates operators.
pub(crate) const OPERATOR_KEY: &str = "bench-operator-key-0123456789abcdef";

const CALLERS_PORT: u16 = 7080;
const PEERS_LISTEN_PORT: u16 = 7090;
const PEERS_PORT: u16 = 7091;
const OPERATORS_PORT: u16 = 7070;
const METRICS_PORT: u16 = 7060;

/// Composition of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of entry hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// Number of model engines in each failure domain.
    pub engines_per_domain: usize,
    /// Number of plain services in each failure domain.
    pub plain_services_per_domain: usize,
    /// Capacity and speed of an engine.
    pub engine: EngineProfile,
    /// Capacity and speed of a plain service.
    pub plain: PlainProfile,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Classes of work, each with its latency target in milliseconds.
    pub classes: Vec<(String, u64)>,
    /// One-way delay of every link that goes through a relay.
    pub link_delay: Duration,
    /// Whether links between hosts, servers and the platform go through relays, which can delay,
    /// stall and count the traffic.
    pub relays: bool,
}

impl FleetPlan {
    /// Fleet of the Flipperliga deployment, with four failure domains.
    pub fn flipperliga() -> Self {
        Self::with_domains(&["bern-a", "zurich-b", "basel-c", "luzern-d"])
    }

    /// Fleet of the Teranga deployment, with three failure domains.
    pub fn teranga() -> Self {
        Self::with_domains(&["dakar-plateau", "dakar-almadies", "dakar-rufisque"])
    }

    fn with_domains(domains: &[&str]) -> Self {
        Self {
            domains: domains.iter().map(|name| (*name).to_owned()).collect(),
            hosts_per_domain: 2,
            engines_per_domain: 2,
            plain_services_per_domain: 1,
            engine: EngineProfile::default(),
            plain: PlainProfile::default(),
            workspaces: 6,
            classes: vec![
                ("ruling".to_owned(), 30_000),
                ("bulletin".to_owned(), 120_000),
                ("live".to_owned(), 2_000),
            ],
            link_delay: Duration::ZERO,
            relays: true,
        }
    }

    /// Number of requests that all engines together can run at once when they are warm.
    pub fn warm_slots(&self) -> usize {
        self.domains.len() * self.engines_per_domain * self.engine.warm_limit
    }

    /// Name of the workspace with the given number.
    pub fn workspace_name(&self, number: usize) -> String {
        format!("house-{number}")
    }

    /// Key that authenticates the workspace with the given number.
    pub fn workspace_key(&self, number: usize) -> String {
        format!("workspace-key-{number:04}-0123456789abcdef")
    }

    /// Initial configuration of the fleet.
    pub fn configuration(&self) -> Configuration {
        let workspaces = (0..self.workspaces).map(|number| Workspace {
            id: WorkspaceId(number as u32),
            name: self.workspace_name(number).into(),
            key_hash: hash_key(self.workspace_key(number).as_bytes()),
            enabled: true,
        });
        let classes = self.classes.iter().map(|(name, target_ms)| Class {
            name: name.as_str().into(),
            target_ms: *target_ms,
        });
        Configuration {
            next_workspace: self.workspaces as u32,
            workspaces: workspaces.collect(),
            classes: classes.collect(),
            ..Configuration::default()
        }
    }
}

/// Name and addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPlan {
    /// Name in the host list.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address at which it accepts calls.
    pub callers: SocketAddr,
    /// Address at which it listens for other hosts. Differs from `peers` if a relay stands in
    /// front.
    pub peers_listen: SocketAddr,
    /// Address in the host list, to which other hosts connect.
    pub peers: SocketAddr,
    /// Address of its operator interface.
    pub operators: SocketAddr,
    /// Address at which it serves metrics and health checks.
    pub metrics: SocketAddr,
}

impl HostPlan {
    /// Entry of this host in the host list.
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            name: self.name.as_str().into(),
            domain: self.domain.as_str().into(),
            role: Role::Entry,
            state: HostState::Live,
            address: self.peers,
            services: Vec::new(),
            checks_fencing: false,
        }
    }
}

/// Assigns names and addresses to the hosts of all failure domains.
pub(super) fn plan_hosts(plan: &FleetPlan, subnet: &Subnet) -> Vec<HostPlan> {
    let mut hosts = Vec::new();
    for (number, domain) in plan.domains.iter().enumerate() {
        for index in 0..plan.hosts_per_domain {
            let ip = subnet.host(number, index);
            let peers_listen_port = if plan.relays {
                PEERS_LISTEN_PORT
            } else {
                PEERS_PORT
            };
            hosts.push(HostPlan {
                name: format!("{domain}-entry-{index}"),
                domain: domain.clone(),
                callers: socket_addr(ip, CALLERS_PORT),
                peers_listen: socket_addr(ip, peers_listen_port),
                peers: socket_addr(ip, PEERS_PORT),
                operators: socket_addr(ip, OPERATORS_PORT),
                metrics: socket_addr(ip, METRICS_PORT),
            });
        }
    }
    hosts
}
