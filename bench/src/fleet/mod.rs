//! A fleet on loopback addresses: its hosts, their settings, and the stand-ins around them.
//!
//! Entry hosts accept the requests of callers and forward them to backend servers. The platform
//! stores the fleet's configuration (object API) and names its hosts and servers (host list).
//! Stand-ins, which are test servers in this process, take the place of the platform and of the
//! backend servers. The hosts run on threads of this process or as processes of their own.

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

/// The running stand-ins of a fleet, and the addresses of its hosts. The hosts are started
/// separately, by [`InProcessHosts`] or [`HostProcesses`].
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
    /// Starts the stand-ins of a plan, stores its configuration in the object API, and adds its
    /// hosts and backend servers to the host list.
    ///
    /// # Panics
    ///
    /// Panics if a loopback address cannot be bound.
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
            .expect("configuration of the plan is valid");
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

    /// Plan that the fleet was started from.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Range of loopback addresses that the fleet has claimed.
    pub fn subnet(&self) -> &Subnet {
        &self.subnet
    }

    /// State and byte counts of the links that go through relays.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Stand-ins for the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Running backend servers of all failure domains.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Names and addresses of the hosts. An index into them is the number of a host.
    pub fn hosts(&self) -> &[HostPlan] {
        &self.hosts
    }

    /// Addresses at which the hosts accept requests of callers, by host number.
    pub fn addresses_for_callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    /// Key that authenticates operators.
    pub fn operator_key() -> &'static str {
        plan::OPERATOR_KEY
    }

    /// Settings file of a host, TOML text.
    pub fn settings_text(&self, host: &HostPlan) -> String {
        settings::settings_text(host, &self.subnet, self.plan.relays)
    }

    /// Model engines, each with the name of its failure domain.
    pub fn engines(&self) -> Vec<(&str, EngineHandle)> {
        self.backends
            .iter()
            .filter_map(|backend| Some((backend.domain.as_str(), backend.engine()?)))
            .collect()
    }

    /// Plain services, each with the name of its failure domain.
    pub fn plain_services(&self) -> Vec<(&str, PlainServiceHandle)> {
        self.backends
            .iter()
            .filter_map(|backend| Some((backend.domain.as_str(), backend.plain()?)))
            .collect()
    }

    /// Configuration that the object API stores now.
    pub fn stored_configuration(&self) -> Configuration {
        let stored = self.platform.objects().get("configuration", "fleet");
        let (revision, document) = stored.expect("configuration was stored at the start");
        Configuration::parse(revision, &document).expect("stored configuration is valid")
    }

    /// IP addresses of the hosts and backend servers of a failure domain.
    pub fn domain_addresses(&self, domain: &str) -> Vec<IpAddr> {
        let hosts = self.hosts.iter().filter(|host| host.domain == domain);
        let backends = self.backends.iter().filter(|b| b.domain == domain);
        hosts
            .map(|host| host.peers.ip())
            .chain(backends.map(|backend| backend.address.ip()))
            .collect()
    }

    /// Sets the state of every link between a failure domain and the other domains.
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

    /// Sets the state of every link between a failure domain and the platform.
    pub fn set_platform_links(&self, domain: &str, to: LinkState) {
        let inside = self.domain_addresses(domain);
        let platform = [self.subnet.platform()];
        self.network.set_between(&inside, &platform, to);
    }

    /// Bytes of control traffic so far: all links between hosts and from hosts to the platform.
    /// Each byte counts once for every host at an end of its link, so twice between two hosts.
    pub fn control_bytes(&self) -> u64 {
        let hosts: Vec<IpAddr> = self.hosts.iter().map(|host| host.peers.ip()).collect();
        let platform = self.subnet.platform();
        let ends = |link: &Link| {
            if link.destination == platform {
                return 1;
            }
            // Links to backend servers carry requests, which are not control traffic.
            2 * u64::from(hosts.contains(&link.destination))
        };
        let links = self.network.bytes();
        links.iter().map(|(link, bytes)| ends(link) * bytes).sum()
    }
}
