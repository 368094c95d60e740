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
use super::budget::cold_share;
use super::config::FleetConfig;
use super::config::Route;
use super::dialect::CallHead;
use super::dialect::Prompt;
use super::dialect::ServerEntry;
use super::health::is_failing;
use super::placement::Candidate;
use super::placement::Choice;
use super::placement::Demand;
use super::placement::choose;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::servers::Server;
use super::servers::ServerChange;
use super::servers::ServerKey;
use super::servers::Servers;
use crate::time::Timestamp;

new_key_type! {
    /// A request at a backend server.
    pub struct FlightKey;
}

/// Time by which a host stops serving a key before the lease of its configuration ends: the
/// request still has to reach a server.
const KEY_LEASE_MARGIN: Duration = Duration::from_millis(300);
/// When to ask a host again that waits for the platform: about two of its attempts to reach it.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When to come back after a refusal for lack of a server: servers announce changes about as fast.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When to come back after a refusal for load: about the time in which an engine reads
/// the tokens that may wait at it.
const LOAD_RETRY_AFTER: Duration = Duration::from_millis(600);
/// How long a server counts as cold after a sign of a restart, until its announcement tells:
/// servers announce themselves about every second.
const DOUBT_LASTS: Duration = Duration::from_secs(3);

/// Who this host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name.
    pub name: CompactString,
    /// Failure domain.
    pub domain: CompactString,
}

/// A request that may be served.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: CompactString,
    /// Workspace of its key, if the route needs one.
    pub workspace: Option<CompactString>,
    /// Whether keys are kept from servers.
    pub hides_key: bool,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When its caller or its route gives up.
    pub give_up_at: Timestamp,
    /// Version of the configuration that decided.
    pub config_version: u64,
}

/// Where to send a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Its record, to be ended by [`Fleet::end`].
    pub flight: FlightKey,
    /// The server.
    pub server: ServerKey,
    /// What the server announced.
    pub entry: ServerEntry,
    /// Prompt tokens that it has to read, as this host believes.
    pub unread_tokens: u32,
    /// Prompt tokens that waited there before.
    pub waiting_tokens: u64,
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
    Silent,
    /// The caller left, or the request was given up for a reason that says nothing of the server.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Flight {
    server: ServerKey,
    unread_tokens: u32,
    memory_tokens: u64,
    prompt: Option<Prompt>,
    has_begun: bool,
}

/// What a host knows of the fleet.
#[derive(Debug)]
pub struct Fleet {
    bounds: FleetBounds,
    own: HostIdentity,
    own_hash: u64,
    config: Option<Arc<FleetConfig>>,
    config_confirmed_at: Timestamp,
    servers: Servers,
    has_servers: bool,
    evacuated: HashSet<CompactString>,
    hosts: Vec<u64>,
    retries: HashMap<CompactString, RetryBudget>,
    flights: SlotMap<FlightKey, Flight>,
    is_stopping: bool,
}

impl Fleet {
    /// A host that knows nothing yet.
    pub fn new(own: HostIdentity, bounds: FleetBounds) -> Self {
        Self {
            own_hash: xxh3_64(own.name.as_bytes()),
            bounds,
            own,
            config: None,
            config_confirmed_at: Timestamp::ZERO,
            servers: Servers::default(),
            has_servers: false,
            evacuated: HashSet::new(),
            hosts: Vec::new(),
            retries: HashMap::new(),
            flights: SlotMap::with_key(),
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
        self.has_servers = true;
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

    /// Whether the host can serve what callers send it.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let is_confirmed = config.workspaces.is_empty() || self.serves_keys(now);
        self.has_servers && is_confirmed && !self.is_stopping
    }

    /// Whether the configuration is recent enough to decide on keys.
    fn serves_keys(&self, now: Timestamp) -> bool {
        self.config_age(now) + KEY_LEASE_MARGIN < self.bounds.key_lease
    }

    /// Finds route, service and workspace of a request.
    ///
    /// # Errors
    ///
    /// The refusal of a request that the configuration does not allow, or on which this host
    /// cannot decide.
    pub fn admit(
        &mut self,
        now: Timestamp,
        head: &CallHead,
        path: &str,
    ) -> Result<Admitted, Refusal> {
        let Some(config) = &self.config else {
            return Err(Refusal::until(
                Reason::NoConfiguration,
                PLATFORM_RETRY_AFTER,
            ));
        };
        // What an old configuration does not allow, a newer one may.
        let is_recent = self.config_age(now) < self.bounds.config_lag;
        let deny = |reason| match is_recent {
            true => Refusal::new(reason),
            false => Refusal::until(Reason::StaleConfiguration, PLATFORM_RETRY_AFTER),
        };
        let route = config
            .route(&head.host, path)
            .ok_or_else(|| deny(Reason::NoRoute))?;
        let workspace = if config.needs_key(route) {
            let key = head.key.as_ref().ok_or_else(|| deny(Reason::NoKey))?;
            let workspace = config.workspace_of_key(key);
            if !self.serves_keys(now) {
                return Err(Refusal::until(
                    Reason::StaleConfiguration,
                    PLATFORM_RETRY_AFTER,
                ));
            }
            Some(workspace.ok_or_else(|| deny(Reason::UnknownKey))?)
        } else {
            None
        };
        // Requests of one session go to one service, so that its parts are kept there.
        let session = head.prompt.as_ref().and_then(Prompt::session);
        let point = session.unwrap_or_else(|| xxh3_64(head.id.as_bytes()));
        let service = route
            .service(point)
            .ok_or_else(|| Refusal::until(Reason::NoServer, SERVER_RETRY_AFTER))?;
        let by_route = now + route.timeout;
        Ok(Admitted {
            route: route.clone(),
            service: service.clone(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            hides_key: !config.workspaces.is_empty(),
            arrived: now,
            give_up_at: head.deadline.map_or(by_route, |at| at.min(by_route)),
            config_version: config.version,
        })
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

    /// Chooses a server for a request, other than those in `tried`, and counts it there.
    ///
    /// # Errors
    ///
    /// The refusal of a request that no server can take now.
    pub fn place(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: Option<&Prompt>,
        tried: &[ServerKey],
    ) -> Result<Placement, Refusal> {
        let (candidates, has_cold) = self.candidates(now, &admitted.service, tried);
        let session = prompt.and_then(Prompt::session);
        let demand = session.map_or(Demand::Plain, |session| Demand::Prompt { session });
        match choose(demand, &candidates) {
            Choice::Server(key) => self.begin(now, admitted, key, prompt),
            Choice::Full => Err(Refusal::until(Reason::Overloaded, LOAD_RETRY_AFTER)),
            Choice::None if has_cold => {
                Err(Refusal::until(Reason::ServersCold, SERVER_RETRY_AFTER))
            }
            Choice::None => Err(Refusal::until(Reason::NoServer, SERVER_RETRY_AFTER)),
        }
    }

    /// Servers that may get a request now, and whether some were left out for being cold.
    fn candidates(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        tried: &[ServerKey],
    ) -> (Vec<Candidate>, bool) {
        let keys = self.servers.of_service(service).to_vec();
        let rates: Vec<f64> = keys
            .iter()
            .filter_map(|key| self.servers.get(*key)?.failures.rate(now))
            .collect();
        let service_rate = median(rates);
        let spec = self.config.as_ref().and_then(|c| c.services.get(service));
        let cold_rate = spec.map_or(0.0, |spec| spec.cold_rate);
        let connections = spec.map_or(u32::MAX, |spec| spec.connections_max);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX).max(1);
        let connections_each = (connections / hosts).max(1);
        let mut has_cold = false;
        let mut candidates = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let is_usable = server.is_announced(now)
                && server.reachability.is_open(now)
                && server.load.requests < connections_each
                && !tried.contains(&key)
                && !self.evacuated.contains(&server.entry.domain);
            if !is_usable {
                continue;
            }
            if server.is_cold(now) && cold_rate > 0.0 {
                let hash = server.hash;
                let share = cold_share(cold_rate, &self.bounds, &self.hosts, self.own_hash, hash);
                if !server.cold_share.has_room(now, share) {
                    has_cold = true;
                    continue;
                }
            }
            candidates.push(Candidate {
                key,
                hash: server.hash,
                slots: server.entry.slots,
                requests: server.load.requests,
                waiting_tokens: server.load.waiting_tokens,
                is_local: server.entry.domain == self.own.domain,
                is_failing: is_failing(server.failures.rate(now), service_rate),
            });
        }
        (candidates, has_cold)
    }

    fn begin(
        &mut self,
        now: Timestamp,
        _admitted: &Admitted,
        key: ServerKey,
        prompt: Option<&Prompt>,
    ) -> Result<Placement, Refusal> {
        let server = self
            .servers
            .get_mut(key)
            .ok_or_else(|| Refusal::until(Reason::NoServer, SERVER_RETRY_AFTER))?;
        let unread_tokens = prompt.map_or(0, |p| server.prefixes.unread_tokens(p));
        let memory_tokens = prompt.map_or(0, |p| {
            u64::from(p.input_tokens) + u64::from(p.output_tokens())
        });
        let waiting_tokens = server.load.waiting_tokens;
        server.load.requests += 1;
        server.load.waiting_tokens += u64::from(unread_tokens);
        server.load.memory_tokens += memory_tokens;
        server.cold_share.on_sent(now);
        let entry = server.entry.clone();
        let flight = self.flights.insert(Flight {
            server: key,
            unread_tokens,
            memory_tokens,
            prompt: prompt.cloned(),
            has_begun: false,
        });
        Ok(Placement {
            flight,
            server: key,
            entry,
            unread_tokens,
            waiting_tokens,
        })
    }

    /// The answer to a request has begun.
    pub fn on_begun(&mut self, now: Timestamp, flight: FlightKey) {
        let Some(flight) = self.flights.get_mut(flight) else {
            return;
        };
        if std::mem::replace(&mut flight.has_begun, true) {
            return;
        }
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        server.load.waiting_tokens -= u64::from(flight.unread_tokens);
        server.reachability.on_answer();
        if let Some(prompt) = &flight.prompt {
            let spec = self
                .config
                .as_ref()
                .and_then(|config| config.services.get(&server.entry.service)?.engine);
            let memory = spec.map_or(u64::MAX, |engine| engine.memory_tokens);
            let room = memory.saturating_sub(server.load.memory_tokens);
            server.prefixes.on_read(now, prompt, room);
        }
    }

    /// A request has left its server.
    pub fn end(&mut self, now: Timestamp, flight: FlightKey, end: FlightEnd) {
        let Some(flight) = self.flights.remove(flight) else {
            return;
        };
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        server.load.requests -= 1;
        server.load.memory_tokens -= flight.memory_tokens;
        if !flight.has_begun {
            server.load.waiting_tokens -= u64::from(flight.unread_tokens);
        }
        observe(now, server, end);
    }
}

/// Takes over what the end of a request says of its server.
fn observe(now: Timestamp, server: &mut Server, end: FlightEnd) {
    match end {
        FlightEnd::Answered => {
            server.failures.add(now, false);
            server.reachability.on_answer();
        }
        FlightEnd::Failed | FlightEnd::Silent => server.failures.add(now, true),
        FlightEnd::Misdirected => server.is_misdirected = true,
        FlightEnd::Unreachable => {
            server.reachability.on_failed(now);
            // It may have been restarted, and be cold.
            server.cold_until = server.cold_until.max(now + DOUBT_LASTS);
        }
        FlightEnd::Refused | FlightEnd::Abandoned => {}
    }
}

fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or(0.0)
}
