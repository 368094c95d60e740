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
use super::homes::SessionHomes;
use super::placement::Candidate;
use super::placement::choose;
use super::placement::sound;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::schedule::Bid;
use super::schedule::EngineView;
use super::schedule::Progress;
use super::schedule::Scheduler;
use super::schedule::Shard;
use super::schedule::Verdict;
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
/// Part of the longest deadline of its route below which a deadline tells that its caller has come
/// back: callers' first deadlines differ by up to 15 in 100.
const RETURNING_BELOW: f64 = 0.8;
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
    /// When its answer should have begun, counted from the caller's first attempt.
    pub objective_at: Timestamp,
    /// Its caller seems to have been refused before: it has less time than others of the route.
    pub is_returning: bool,
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
    /// Prompt tokens that it has to read, as the scheduler believes.
    pub unread_tokens: u32,
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

/// Servers that may get a request, and whether others were left out for being cold.
struct Usable {
    candidates: Vec<Candidate>,
    has_cold: bool,
}

impl Usable {
    fn refusal(&self) -> Refusal {
        let reason = match self.has_cold {
            true => Reason::ServersCold,
            false => Reason::NoServer,
        };
        Refusal::until(reason, SERVER_RETRY_AFTER)
    }
}

/// What a host knows of the fleet.
#[derive(Debug)]
pub struct Fleet {
    bounds: FleetBounds,
    own: HostIdentity,
    own_hash: u64,
    own_domain: u64,
    config: Option<Arc<FleetConfig>>,
    config_confirmed_at: Timestamp,
    servers: Servers,
    has_servers: bool,
    evacuated: HashSet<CompactString>,
    hosts: Vec<u64>,
    retries: HashMap<CompactString, RetryBudget>,
    flights: SlotMap<FlightKey, ServerKey>,
    scheduler: Scheduler,
    homes: SessionHomes,
    longest_deadlines: HashMap<CompactString, Duration>,
    is_stopping: bool,
}

impl Fleet {
    /// A host that knows nothing yet.
    ///
    /// `epoch` tells this life of the host from others.
    pub fn new(own: HostIdentity, bounds: FleetBounds, epoch: u32) -> Self {
        Self {
            own_hash: xxh3_64(own.name.as_bytes()),
            own_domain: xxh3_64(own.domain.as_bytes()),
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
            .ok_or_else(|| Refusal::until(Reason::NoServer, SERVER_RETRY_AFTER))?
            .clone();
        let workspace = workspace.map(|workspace| workspace.name.clone());
        let hides_key = !config.workspaces.is_empty();
        let config_version = config.version;
        let by_route = now + route.timeout;
        let route = route.clone();
        let given = head.deadline.map(|at| at.remaining(now));
        let longest = self
            .longest_deadlines
            .entry(route.name.clone())
            .or_default();
        *longest = (*longest).max(given.unwrap_or_default());
        let is_returning = given.is_some_and(|given| given < longest.mul_f64(RETURNING_BELOW));
        let used = match given {
            Some(given) if is_returning => longest.saturating_sub(given),
            _ => Duration::ZERO,
        };
        Ok(Admitted {
            objective_at: now + route.objective.saturating_sub(used),
            is_returning,
            route,
            service,
            workspace,
            hides_key,
            arrived: now,
            give_up_at: head.deadline.map_or(by_route, |at| at.min(by_route)),
            config_version,
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

    /// Chooses a server for a request to a plain service, other than those in `tried`, and counts
    /// it there.
    ///
    /// # Errors
    ///
    /// The refusal of a request that no server can take now.
    pub fn place(
        &mut self,
        now: Timestamp,
        service: &CompactString,
        tried: &[ServerKey],
    ) -> Result<Placement, Refusal> {
        let usable = self.usable(now, service, tried);
        match choose(&usable.candidates) {
            Some(key) => self.begin(now, key, 0),
            None => Err(usable.refusal()),
        }
    }

    /// What to ask a scheduler for a request to a model that may not go to those in `tried`.
    ///
    /// # Errors
    ///
    /// The refusal of a request that no server can take now.
    pub fn bid(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: &Prompt,
        tried: &[ServerKey],
    ) -> Result<Bid, Refusal> {
        let usable = self.usable(now, &admitted.service, tried);
        if usable.candidates.is_empty() {
            return Err(usable.refusal());
        }
        let sound: HashSet<_> = sound(&usable.candidates).iter().map(|c| c.hash).collect();
        let keys = self.servers.of_service(&admitted.service);
        let subject = prompt.session().unwrap_or(admitted.arrived.as_micros());
        let shard = Shard::of_session(subject, keys.len());
        let hashes = keys
            .iter()
            .filter_map(|key| Some(self.servers.get(*key)?.hash));
        let excluded = hashes.filter(|hash| !sound.contains(hash)).collect();
        let workspace = admitted.workspace.as_deref();
        let last_server = prompt.session().and_then(|session| self.homes.get(session));
        Ok(Bid {
            service: xxh3_64(admitted.service.as_bytes()),
            shard,
            workspace: workspace.map_or(0, |name| xxh3_64(name.as_bytes())),
            domain: self.own_domain,
            input_tokens: prompt.input_tokens,
            output_tokens: prompt.output_tokens(),
            shared_parts: prompt.shared_parts().to_vec(),
            until_objective: admitted.objective_at.remaining(now),
            until_give_up: admitted.give_up_at.remaining(now),
            is_returning: admitted.is_returning,
            last_server: last_server.unwrap_or(0),
            excluded,
        })
    }

    /// Decides on a bid as the scheduler.
    pub fn decide(&mut self, now: Timestamp, bid: &Bid) -> Verdict {
        let Some(config) = &self.config else {
            return Verdict::Unknown;
        };
        let mut services = config.services.values();
        let spec = services.find(|spec| xxh3_64(spec.name.as_bytes()) == bid.service);
        let Some((spec, engine)) = spec.and_then(|spec| Some((spec, spec.engine?))) else {
            return Verdict::Unknown;
        };
        let servers = self.servers.of_service(&spec.name);
        let servers = servers.iter().filter_map(|key| self.servers.get(*key));
        let servers = bid.shard.select(servers.collect(), |server| server.hash);
        let views: Vec<_> = servers
            .into_iter()
            .filter(|server| {
                server.is_announced(now) && !self.evacuated.contains(&server.entry.domain)
            })
            .map(|server| EngineView {
                hash: server.hash,
                domain: server.domain_hash,
                slots: server.entry.slots.min(engine.slots),
                memory_tokens: engine.memory_tokens,
            })
            .collect();
        self.scheduler.decide(now, bid, &views)
    }

    /// Takes in what became of a request that this host let begin as the scheduler.
    pub fn on_progress(&mut self, now: Timestamp, progress: &Progress) {
        self.scheduler.on_progress(now, progress);
    }

    /// Counts a request at the server that a scheduler chose, if this host may still use it.
    pub fn start(
        &mut self,
        now: Timestamp,
        admitted: &Admitted,
        prompt: &Prompt,
        server: u64,
        unread_tokens: u32,
    ) -> Option<Placement> {
        let usable = self.usable(now, &admitted.service, &[]);
        let chosen = usable.candidates.iter().find(|c| c.hash == server)?;
        let key = chosen.key;
        if let Some(session) = prompt.session() {
            self.homes.set(now, session, server);
        }
        self.begin(now, key, unread_tokens).ok()
    }

    /// Servers that may get a request now.
    fn usable(&mut self, now: Timestamp, service: &CompactString, tried: &[ServerKey]) -> Usable {
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
        let mut usable = Usable {
            candidates: Vec::with_capacity(keys.len()),
            has_cold: false,
        };
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
                    usable.has_cold = true;
                    continue;
                }
            }
            usable.candidates.push(Candidate {
                key,
                hash: server.hash,
                slots: server.entry.slots,
                requests: server.load.requests,
                is_local: server.entry.domain == self.own.domain,
                is_failing: is_failing(server.failures.rate(now), service_rate),
            });
        }
        usable
    }

    fn begin(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        unread_tokens: u32,
    ) -> Result<Placement, Refusal> {
        let server = self
            .servers
            .get_mut(key)
            .ok_or_else(|| Refusal::until(Reason::NoServer, SERVER_RETRY_AFTER))?;
        server.load.requests += 1;
        server.cold_share.on_sent(now);
        let entry = server.entry.clone();
        Ok(Placement {
            flight: self.flights.insert(key),
            server: key,
            entry,
            unread_tokens,
        })
    }

    /// The answer to a request has begun.
    pub fn on_begun(&mut self, flight: FlightKey) {
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

/// The lower middle of the rates: of two servers the sound one tells what is usual.
fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    let middle = rates.len().saturating_sub(1) / 2;
    rates.get(middle).copied().unwrap_or(0.0)
}
