//! What a host knows of the fleet, and its decisions on requests.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

use super::budget::FleetBounds;
use super::budget::RetryBudget;
use super::config::FleetConfig;
use super::dialect::ServerEntry;
use super::homes::SessionHomes;
use super::schedule::Scheduler;
use super::servers::Server;
use super::servers::ServerChange;
use super::servers::ServerKey;
use super::servers::Servers;
use crate::time::Timestamp;

new_key_type! {
    /// A request at a backend server.
    pub struct FlightKey;
}

/// How long a server counts as cold after a sign of a restart, until its announcement tells:
/// servers announce themselves about every second.
const ASSUMED_COLD_DURATION: Duration = Duration::from_secs(3);

/// Who this host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name.
    pub name: CompactString,
    /// Failure domain.
    pub domain: CompactString,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlightEnd {
    /// With a whole answer that is no failure.
    Answered,
    /// The server stated that it did not run it.
    Refused,
    /// The address belongs to another instance.
    Misdirected,
    /// The server answered with a failure, broke off, or sent what is no answer.
    Failed,
    /// No connection came about.
    Unreachable,
    /// The server was silent until the request's time was over.
    TimedOut,
    /// The caller left, or the request was given up for a reason that says nothing of the server.
    Abandoned,
}

/// What a host knows of the fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) bounds: FleetBounds,
    pub(super) own: HostIdentity,
    pub(super) own_hash: u64,
    pub(super) own_domain_hash: u64,
    pub(super) config: Option<Arc<FleetConfig>>,
    pub(super) config_confirmed_at: Timestamp,
    pub(super) servers: Servers,
    pub(super) has_server_list: bool,
    pub(super) evacuated: HashSet<CompactString>,
    pub(super) hosts: Vec<u64>,
    pub(super) retries: HashMap<CompactString, RetryBudget>,
    pub(super) flights: SlotMap<FlightKey, ServerKey>,
    pub(super) scheduler: Scheduler,
    pub(super) homes: SessionHomes,
    pub(super) longest_deadlines: HashMap<CompactString, Duration>,
    pub(super) is_stopping: bool,
}

impl Fleet {
    /// A host that knows nothing yet.
    ///
    /// `epoch` tells this life of the host from others.
    pub fn new(own: HostIdentity, bounds: FleetBounds, epoch: u32) -> Self {
        Self {
            own_hash: xxh3_64(own.name.as_bytes()),
            own_domain_hash: xxh3_64(own.domain.as_bytes()),
            bounds,
            own,
            config: None,
            config_confirmed_at: Timestamp::ZERO,
            servers: Servers::default(),
            has_server_list: false,
            evacuated: HashSet::new(),
            hosts: Vec::new(),
            retries: HashMap::new(),
            flights: SlotMap::with_key(),
            scheduler: Scheduler::new(epoch),
            homes: SessionHomes::default(),
            longest_deadlines: HashMap::new(),
            is_stopping: false,
        }
    }

    /// The bounds that all hosts keep to together.
    pub fn bounds(&self) -> &FleetBounds {
        &self.bounds
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: FleetBounds) {
        self.bounds = bounds;
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// The servers.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Requests that are at servers.
    pub fn flight_count(&self) -> usize {
        self.flights.len()
    }

    /// Puts a configuration in force, unless a newer one is. Says whether it did.
    pub fn apply_config(&mut self, config: FleetConfig) -> bool {
        let known = self.config.as_ref().map(|config| config.version);
        if known.is_some_and(|known| config.version <= known) {
            return false;
        }
        self.config = Some(Arc::new(config));
        true
    }

    /// The configuration in force was the newest one at `at`.
    pub fn confirm_config(&mut self, at: Timestamp) {
        self.config_confirmed_at = self.config_confirmed_at.max(at);
    }

    /// Time since the configuration was last known to be the newest one.
    pub fn config_age(&self, now: Timestamp) -> Duration {
        now.since(self.config_confirmed_at)
    }

    /// A server announced itself.
    pub fn announce_server(&mut self, entry: ServerEntry) -> ServerChange {
        self.servers.announce(entry)
    }

    /// An announcement has been removed.
    pub fn withdraw_server(&mut self, instance: &str, usable_until: Option<Timestamp>) -> bool {
        self.servers.withdraw(instance, usable_until)
    }

    /// These are all announcements there are. Gives the instances that are missing among them.
    pub fn list_servers(
        &mut self,
        entries: Vec<ServerEntry>,
        usable_until: Option<Timestamp>,
    ) -> Vec<CompactString> {
        let listed: Vec<_> = entries.iter().map(|entry| entry.instance.clone()).collect();
        let mut missing = self.servers.missing_from(&listed);
        missing.retain(|instance| self.servers.withdraw(instance, usable_until));
        for entry in entries {
            self.servers.announce(entry);
        }
        self.has_server_list = true;
        missing
    }

    /// Forgets servers that did not announce themselves again in time.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<CompactString> {
        self.servers.sweep(now)
    }

    /// Failure domains that are taken out of service.
    pub fn set_evacuated(&mut self, domains: HashSet<CompactString>) {
        self.evacuated = domains;
    }

    /// Names of all hosts that are registered.
    pub fn set_hosts<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.hosts = names.map(|name| xxh3_64(name.as_bytes())).collect();
    }

    /// Number of hosts that share the budgets.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// The host is going to stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the host is going to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Counts a request of a caller, once.
    pub fn on_request(&mut self, now: Timestamp, service: &CompactString) {
        self.retry_budget(service).on_request(now);
    }

    /// Takes a repeat out of the budget of a service, if there is one left.
    pub fn take_retry(&mut self, now: Timestamp, service: &CompactString) -> bool {
        let bounds = self.bounds;
        let hosts = self.hosts.len();
        self.retry_budget(service).take(now, &bounds, hosts)
    }

    fn retry_budget(&mut self, service: &CompactString) -> &mut RetryBudget {
        let bounds = &self.bounds;
        self.retries
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds))
    }

    /// The answer to a request has begun.
    pub fn on_response_started(&mut self, flight: FlightKey) {
        let key = self.flights.get(flight);
        if let Some(server) = key.and_then(|key| self.servers.get_mut(*key)) {
            server.reachability.on_answer();
        }
    }

    /// A request has left its server.
    pub fn end(&mut self, now: Timestamp, flight: FlightKey, end: FlightEnd) {
        let key = self.flights.remove(flight);
        let Some(server) = key.and_then(|key| self.servers.get_mut(key)) else {
            return;
        };
        server.load.requests -= 1;
        record_outcome(now, server, end);
    }
}

/// Takes over what the end of a request says of its server.
fn record_outcome(now: Timestamp, server: &mut Server, end: FlightEnd) {
    match end {
        FlightEnd::Answered => {
            server.failures.add(now, false);
            server.reachability.on_answer();
        }
        FlightEnd::Failed | FlightEnd::TimedOut => server.failures.add(now, true),
        FlightEnd::Misdirected => server.is_misdirected = true,
        FlightEnd::Unreachable => {
            server.reachability.on_failed(now);
            // It may have been restarted, and be cold.
            server.cold_until = server.cold_until.max(now + ASSUMED_COLD_DURATION);
        }
        FlightEnd::Refused | FlightEnd::Abandoned => {}
    }
}
