//! A fleet on loopback: stand-ins around it, addresses, settings and the hosts themselves.

mod backend;
mod host_processes;
mod in_process;
mod link;
mod plan;
mod platform;
mod process;
mod settings;
mod subnet;
mod usage;

use std::net::IpAddr;
use std::net::SocketAddr;

use cardamomshift_lib::configuration::Configuration;
use cardamomshift_testutils::EngineHandle;
use cardamomshift_testutils::Link;
use cardamomshift_testutils::LinkState;
use cardamomshift_testutils::Network;
use cardamomshift_testutils::PlainServiceHandle;

use self::link::HostLinks;
pub use backend::Backend;
pub use backend::BackendKind;
pub use host_processes::HostProcesses;
pub use host_processes::HostStartError;
pub use host_processes::wait_ready;
pub use in_process::InProcessHosts;
pub use plan::FleetPlan;
pub use plan::HostPlan;
pub use plan::MODEL;
pub use plan::PLAIN_SERVICE;
pub use platform::Platform;
pub use process::HostProcess;
pub use process::Signal;
pub use subnet::Subnet;
pub use usage::ProcessUsage;

/// The systems around a fleet, and the places of its hosts.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    subnet: Subnet,
    network: Network,
    platform: Platform,
    backends: Vec<Backend>,
    hosts: Vec<HostPlan>,
    _links: Vec<HostLinks>,
}

impl Fleet {
    /// Starts the stand-ins of a plan, stores its configuration and lists its hosts and servers.
    ///
    /// # Panics
    ///
    /// Panics if the loopback addresses cannot be had.
    pub fn start(plan: FleetPlan) -> Self {
        let subnet = Subnet::claim();
        let network = Network::default();
        network.set_delay(plan.link_delay);
        let platform = Platform::start(&subnet);
        let backends = backend::start_all(&plan, &subnet, &network);
        let hosts = plan::plan_hosts(&plan, &subnet);
        let links = match plan.relays {
            true => link::start_all(&hosts, &subnet, &network),
            false => Vec::new(),
        };
        let fleet = Self {
            plan,
            subnet,
            network,
            platform,
            backends,
            hosts,
            _links: links,
        };
        fleet.store_configuration();
        fleet.fill_host_list();
        fleet
    }

    fn store_configuration(&self) {
        let document = self
            .plan
            .configuration()
            .to_document()
            .expect("configuration of the plan");
        let api = self.platform.objects();
        api.put("configuration", "fleet", document);
    }

    fn fill_host_list(&self) {
        let list = self.platform.hosts();
        for host in &self.hosts {
            list.put(host.entry());
        }
        for backend in &self.backends {
            list.put(backend.entry());
        }
    }

    /// The plan of the fleet.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// The loopback addresses of the fleet.
    pub fn subnet(&self) -> &Subnet {
        &self.subnet
    }

    /// The links of the fleet.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// The platform's stand-ins.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The backend servers.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// The places of the hosts.
    pub fn hosts(&self) -> &[HostPlan] {
        &self.hosts
    }

    /// Listeners of the hosts for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    /// Key of the operators.
    pub fn operator_key() -> &'static str {
        plan::OPERATOR_KEY
    }

    /// Settings of a host, TOML text.
    pub fn settings_text(&self, host: &HostPlan) -> String {
        settings::settings_text(host, &self.subnet, self.plan.relays)
    }

    /// Engines with the names of their failure domains.
    pub fn engines(&self) -> Vec<(&str, EngineHandle)> {
        self.backends
            .iter()
            .filter_map(|backend| Some((backend.domain.as_str(), backend.engine()?)))
            .collect()
    }

    /// Plain services with the names of their failure domains.
    pub fn plain_services(&self) -> Vec<(&str, PlainServiceHandle)> {
        self.backends
            .iter()
            .filter_map(|backend| Some((backend.domain.as_str(), backend.plain()?)))
            .collect()
    }

    /// The configuration as it is stored now.
    pub fn stored_configuration(&self) -> Configuration {
        let stored = self.platform.objects().get("configuration", "fleet");
        let (revision, document) = stored.expect("stored configuration");
        Configuration::parse(revision, &document).expect("valid configuration")
    }

    /// Addresses of the hosts and backend servers of a failure domain.
    pub fn domain_addresses(&self, domain: &str) -> Vec<IpAddr> {
        let hosts = self.hosts.iter().filter(|host| host.domain == domain);
        let backends = self.backends.iter().filter(|b| b.domain == domain);
        hosts
            .map(|host| host.peers.ip())
            .chain(backends.map(|backend| backend.address.ip()))
            .collect()
    }

    /// Sets the state of every link between a failure domain and the others.
    pub fn set_domain_links(&self, domain: &str, to: LinkState) {
        let inside = self.domain_addresses(domain);
        let outside: Vec<_> = self
            .plan
            .domains
            .iter()
            .filter(|name| *name != domain)
            .flat_map(|name| self.domain_addresses(name))
            .collect();
        self.network.set_between(&inside, &outside, to);
    }

    /// Sets the state of the links between the hosts of a failure domain and the platform.
    pub fn set_platform_links(&self, domain: &str, to: LinkState) {
        let inside = self.domain_addresses(domain);
        let platform = [self.subnet.platform()];
        self.network.set_between(&inside, &platform, to);
    }

    /// Bytes of all links between hosts and to the platform so far, counted at each end that is a
    /// host.
    pub fn control_bytes(&self) -> u64 {
        let hosts: Vec<IpAddr> = self.hosts.iter().map(|host| host.peers.ip()).collect();
        let platform = self.subnet.platform();
        let ends = |link: &Link| {
            if link.destination == platform {
                return 1;
            }
            // Links to backend servers carry requests.
            2 * u64::from(hosts.contains(&link.destination))
        };
        let links = self.network.bytes();
        links.iter().map(|(link, bytes)| ends(link) * bytes).sum()
    }
}
