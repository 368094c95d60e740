//! What one entry host knows of the fleet: the configuration, the backend servers, the other entry
//! hosts, and the requests that it has in flight. Its decisions are based on this state.
//!
//! An entry host is a reverse proxy between callers and backend servers. The fleet is the entry
//! hosts and the backend servers together. The platform is the external store that lists the
//! servers and the hosts and holds the configuration.
//!
//! [`Fleet`] does no I/O and takes the current time as an argument, so that tests run it without a
//! network or real time. Its other methods are in the modules `admission` (whether to serve a
//! request) and `request_placement` (at which server).

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64;

use super::budget::FleetBounds;
use super::budget::RetryBudget;
use super::config::FleetConfig;
use super::config_restore::ConfigRestore;
use super::dialect::ResponseHead;
use super::dialect::ServerAnnouncement;
use super::rate_limit::ToldLimit;
use super::rollout::RolloutControl;
use super::schedule::Scheduler;
use super::servers::RunUpdate;
use super::servers::Server;
use super::servers::ServerChange;
use super::servers::ServerKey;
use super::servers::Servers;
use super::session_affinity::SessionAffinity;
use super::stream_origins::StreamOrigins;
use super::stream_origins::VersionHistory;
use super::workspace_tally::WorkspaceTally;
use crate::crashing::RequestQuarantine;
use crate::time::Timestamp;

new_key_type! {
    /// Key of a request in flight: one that counts towards the load of a backend server and has not
    /// ended there.
    pub struct InFlightKey;
}

/// How long a server is assumed to be in its cold start after a failed connection, because the
/// connection may have failed due to a restart. Servers announce themselves about every second, so
/// an announcement with the true state arrives within this time.
const ASSUMED_COLD_DURATION: Duration = Duration::from_secs(3);

/// Interval at which the software versions of the servers are recorded.
const VERSIONS_PERIOD: Duration = Duration::from_secs(1);

/// Number and work of requests that have arrived, which decay with each sweep of the host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadPrompts {
    pub(super) count: f64,
    pub(super) tokens: f64,
    /// Grows with each request by the part that is to be refused; a refusal costs 1.
    pub(super) refusal_credit: f64,
}

/// Identity of this host within the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name, unique in the fleet.
    pub name: CompactString,
    /// Failure domain (zone) in which the host runs.
    pub domain: CompactString,
}

/// How a request in flight ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server sent a complete response that is not a failure.
    Answered,
    /// The server stated that it did not run the request.
    Refused,
    /// Another instance answered at the server's address (status 421).
    Misdirected,
    /// The server reported a failure, broke off, or sent an invalid response.
    Failed,
    /// The connection broke after the request was sent, before the response was complete or had gone on
    /// for long. The server may have ended, and the request may be why.
    Broken,
    /// The connection to the server failed.
    Unreachable,
    /// The deadline of the request passed before the response was complete. For a stream this
    /// applies only if the deadline passes before the head of the response arrives; if it passes
    /// later, the outcome is [`Self::Expired`].
    TimedOut,
    /// The deadline of the request passed while a stream arrived.
    Expired,
    /// The caller disconnected, or the request ended in another way that says nothing about the
    /// health of the server.
    Abandoned,
}

/// State of the fleet as this host knows it, and the decisions based on it.
#[derive(Debug)]
pub struct Fleet {
    /// Limits on retries and on requests to servers in a cold start, which hold for all hosts
    /// together, and time limits that apply to each host, such as the time in which it must stop.
    /// They come from the settings, which may change while the host runs.
    pub(super) bounds: FleetBounds,
    pub(super) own: HostIdentity,
    /// Hash of the own host name. A server in its cold start takes only a few requests per second
    /// from all hosts together. They are divided evenly among `hosts`, and the hashes decide which
    /// hosts may send one of those that are left over.
    pub(super) own_hash: u64,
    /// Hash of the own failure domain. This host sends it in its schedule requests, because the
    /// scheduler prefers engines in the domain of the host that asks.
    pub(super) own_domain_hash: u64,
    pub(super) config: Option<Arc<FleetConfig>>,
    /// What follows for `config` if the platform has gone back to an older state.
    pub(super) restore: ConfigRestore,
    /// Latest time at which `config` was known to be the newest configuration on the platform.
    pub(super) config_confirmed_at: Timestamp,
    pub(super) servers: Servers,
    /// Whether the platform has listed the servers since the start. The host is not ready before.
    pub(super) has_server_list: bool,
    /// Failure domains taken out of service. Their servers get no new requests.
    pub(super) evacuated: HashSet<CompactString>,
    /// Hashes of the names of all hosts registered on the platform. The limits of the fleet are
    /// divided among these hosts.
    pub(super) hosts: Vec<u64>,
    /// Retry budgets by service.
    pub(super) retries: HashMap<CompactString, RetryBudget>,
    /// Requests in flight and their servers.
    pub(super) in_flight: SlotMap<InFlightKey, InFlight>,
    /// Whether servers of plain services are selected by what their responses have shown.
    pub(super) weighs_plain_servers: bool,
    /// Random numbers drawn so far, to choose servers of plain services.
    pub(super) points_drawn: u64,
    /// Scheduler of the engines (backend servers that run a model) that are assigned to this host.
    /// Every host computes the assignment by hashes. Before a host sends a request to a model, it
    /// sends a schedule request to the host to which the model's engines are assigned, and the
    /// scheduler there chooses the engine. The engines of a large service are split into shards,
    /// which are assigned separately.
    pub(super) scheduler: Scheduler,
    /// Tokens of the requests to models that this host has refused without a schedule request, by
    /// service and workspace, until the next schedule request.
    pub(super) refused_tokens: HashMap<(CompactString, Option<CompactString>), u64>,
    /// Requests that have arrived here lately, by service and workspace: those to models, and while the
    /// host is behind its work also those to plain services. Connections that are refused unread are
    /// assumed to carry such requests.
    pub(super) read_prompts: HashMap<(CompactString, Option<CompactString>), ReadPrompts>,
    /// Requests that make servers crash.
    pub(super) request_quarantine: RequestQuarantine,
    /// Versions at which streams began.
    pub(super) stream_origins: StreamOrigins,
    /// Versions that servers have lately run.
    pub(super) version_history: VersionHistory,
    /// Latest time at which the list of servers was known to be complete.
    pub(super) servers_confirmed_at: Option<Timestamp>,
    /// When the versions of the servers are recorded next.
    pub(super) versions_due_at: Timestamp,
    /// What schedulers were told of the limits of runs of engines, by address and run.
    pub(super) told_limits: HashMap<(SocketAddr, u64), ToldLimit>,
    /// Work of each workspace, for log lines.
    pub(super) tally: WorkspaceTally,
    /// Number of these requests by workspace, for log lines.
    pub(super) refused_counts: HashMap<CompactString, u64>,
    /// Server to which this host last sent each session (requests whose prompts begin alike).
    /// Schedule requests name this server, because it may still have that beginning cached.
    pub(super) session_affinity: SessionAffinity,
    /// By route, the longest time seen between the arrival of a request and its caller's deadline.
    /// A caller keeps its deadline when it tries again, so a request with clearly less time left is
    /// probably a caller's retry. The time in which its response should start is then counted from
    /// the caller's first attempt (see `admission`).
    pub(super) longest_deadlines: HashMap<CompactString, Duration>,
    /// Orders to roll out software versions, and which requests may go to these versions.
    pub(super) rollouts: RolloutControl,
    /// When the platform first listed the servers.
    pub(super) servers_listed_at: Option<Timestamp>,
    /// Whether this host is shutting down, and so is not ready.
    pub(super) is_stopping: bool,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    /// Its server.
    pub(super) server: ServerKey,
    /// When the server was chosen.
    pub(super) placed_at: Timestamp,
}

impl Fleet {
    /// State of a host that has not read anything from the platform yet.
    ///
    /// `epoch` is a number that differs between runs of the host process. The scheduler keeps a
    /// reservation for each request that it places, and hosts report progress by reservation. The
    /// epoch shows which reports belong to an earlier run; these are ignored.
    pub fn new(own: HostIdentity, bounds: FleetBounds, epoch: u32) -> Self {
        Self {
            own_hash: xxh3_64(own.name.as_bytes()),
            own_domain_hash: xxh3_64(own.domain.as_bytes()),
            bounds,
            own,
            config: None,
            restore: ConfigRestore::default(),
            config_confirmed_at: Timestamp::ZERO,
            servers: Servers::default(),
            has_server_list: false,
            evacuated: HashSet::new(),
            hosts: Vec::new(),
            retries: HashMap::new(),
            in_flight: SlotMap::with_key(),
            weighs_plain_servers: false,
            points_drawn: 0,
            scheduler: Scheduler::new(epoch),
            refused_tokens: HashMap::new(),
            tally: WorkspaceTally::default(),
            refused_counts: HashMap::new(),
            read_prompts: HashMap::new(),
            request_quarantine: RequestQuarantine::default(),
            stream_origins: StreamOrigins::default(),
            version_history: VersionHistory::default(),
            servers_confirmed_at: None,
            versions_due_at: Timestamp::ZERO,
            told_limits: HashMap::new(),
            session_affinity: SessionAffinity::default(),
            longest_deadlines: HashMap::new(),
            rollouts: RolloutControl::new(epoch.into(), bounds.rollout),
            servers_listed_at: None,
            is_stopping: false,
        }
    }

    /// Limits for all hosts together, and time limits that apply to each host.
    pub fn bounds(&self) -> &FleetBounds {
        &self.bounds
    }

    /// Work of each workspace since the last log line.
    pub(crate) fn tally(&mut self) -> &mut WorkspaceTally {
        &mut self.tally
    }

    /// Replaces the limits of the fleet after a change of the settings.
    pub fn set_bounds(&mut self, bounds: FleetBounds) {
        self.bounds = bounds;
    }

    /// Selects servers of plain services by what their responses have shown, instead of by this host's
    /// own requests alone.
    pub fn weigh_plain_servers(&mut self, is_on: bool) {
        self.weighs_plain_servers = is_on;
    }

    /// The active configuration, `None` until the first one was read.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// All backend servers that this host knows.
    pub fn servers(&self) -> &Servers {
        &self.servers
    }

    /// Number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Records that the active configuration was the newest one on the platform at `at`.
    pub fn confirm_config(&mut self, at: Timestamp) {
        self.config_confirmed_at = self.config_confirmed_at.max(at);
    }

    /// Time since the active configuration was last known to be the newest.
    pub fn config_age(&self, now: Timestamp) -> Duration {
        now.since(self.config_confirmed_at)
    }

    /// Forgets what is kept of routes other than these.
    pub(crate) fn retain_routes(&mut self, names: &HashSet<CompactString>) {
        self.longest_deadlines
            .retain(|name, _| names.contains(name));
    }

    /// Adds or updates a server that announced itself.
    pub fn announce_server(&mut self, now: Timestamp, entry: ServerAnnouncement) -> ServerChange {
        self.servers.announce(now, entry)
    }

    /// Records what a server states of itself in the head of a response, and returns what is new.
    pub fn on_response_head(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        head: &ResponseHead,
    ) -> RunUpdate {
        self.servers.on_response_head(now, server, head)
    }

    /// Records that the announcement of an instance (an installation of a server, which keeps its
    /// identifier when it restarts) was removed. With `usable_until` the server still gets requests
    /// until then: after an outage of the platform, the announcement may have expired only because
    /// the server could not renew it. Returns whether the announcement was present until now.
    pub fn withdraw_server(
        &mut self,
        now: Timestamp,
        instance: &str,
        usable_until: Option<Timestamp>,
    ) -> bool {
        self.servers.withdraw(now, instance, usable_until)
    }

    /// Records that the platform has gone back to an older state. Announcements that were removed
    /// since may be listed again; their servers are not used until they renew them.
    pub fn on_servers_restored(&mut self) {
        self.servers.on_restored();
    }

    /// Replaces the announcements by a complete list. `usable_until` applies to instances that are
    /// not in it, as in [`Self::withdraw_server`]. Returns those of them whose announcement was
    /// present until now.
    pub fn apply_server_list(
        &mut self,
        now: Timestamp,
        entries: Vec<ServerAnnouncement>,
        usable_until: Option<Timestamp>,
    ) -> Vec<CompactString> {
        let listed: Vec<_> = entries.iter().map(|entry| entry.instance.clone()).collect();
        let mut missing = self.servers.missing_from(&listed);
        missing.retain(|instance| self.servers.withdraw(now, instance, usable_until));
        for entry in entries {
            self.servers.announce_listed(now, entry);
        }
        self.servers.on_list_end();
        self.has_server_list = true;
        self.servers_listed_at.get_or_insert(now);
        missing
    }

    /// Removes servers that did not announce themselves again in time, and returns their instance
    /// identifiers.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<CompactString> {
        self.told_limits.retain(|_, told| told.is_recent(now));
        if self.versions_due_at.has_passed(now) {
            self.versions_due_at = now + VERSIONS_PERIOD;
            self.record_versions(now);
        }
        self.servers.sweep(now)
    }

    /// Records that the list of servers was complete at `at`.
    pub fn confirm_servers(&mut self, at: Timestamp) {
        self.servers_confirmed_at = self.servers_confirmed_at.max(Some(at));
    }

    /// Replaces the set of failure domains that are out of service.
    pub fn set_evacuated(&mut self, domains: HashSet<CompactString>) {
        self.evacuated = domains;
    }

    /// Replaces the set of hosts registered on the platform, given by name.
    pub fn set_hosts<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.hosts = names.map(|name| xxh3_64(name.as_bytes())).collect();
    }

    /// Number of registered hosts, by which the limits of the fleet are divided.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Requests that make servers crash.
    pub fn request_quarantine(&mut self) -> &mut RequestQuarantine {
        &mut self.request_quarantine
    }

    /// Orders to roll out software versions, and which requests may go to these versions.
    pub fn rollouts(&mut self) -> &mut RolloutControl {
        &mut self.rollouts
    }

    /// Marks this host as stopping: it is no longer ready.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether this host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Adds a caller's request to the retry budget of its service. To be called once per request,
    /// not per attempt.
    pub fn on_request(&mut self, now: Timestamp, service: &CompactString) {
        self.retry_budget(service).on_request(now);
    }

    /// Takes a retry from the budget of a service. Returns whether one was left.
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

    /// Records that the response to a request in flight has started: its server is reachable.
    pub fn on_response_started(&mut self, request: InFlightKey) {
        let flight = self.in_flight.get(request);
        if let Some(server) = flight.and_then(|flight| self.servers.get_mut(flight.server)) {
            server.reachability.on_response();
        }
    }

    /// Ends a request in flight and updates load and health of its server. Does nothing if the
    /// request has already ended or the server was removed.
    pub fn end(&mut self, now: Timestamp, request: InFlightKey, outcome: RequestOutcome) {
        let Some(flight) = self.in_flight.remove(request) else {
            return;
        };
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        let evidence = &mut server.slot_evidence;
        match outcome {
            RequestOutcome::Answered => evidence.on_answered(now, now.since(flight.placed_at)),
            RequestOutcome::Refused => evidence.on_rejected(now),
            _ => {}
        }
        server.load.requests -= 1;
        record_outcome(now, server, outcome);
    }
}

/// Updates the health of a server by the outcome of a request.
fn record_outcome(now: Timestamp, server: &mut Server, outcome: RequestOutcome) {
    match outcome {
        RequestOutcome::Answered => {
            // The flag states whether the request failed.
            server.failures.add(now, false);
            server.reachability.on_response();
        }
        RequestOutcome::Failed | RequestOutcome::Broken | RequestOutcome::TimedOut => {
            server.failures.add(now, true)
        }
        // The server gets no more requests. An announcement with another start time, service or
        // address creates a new entry for the instance, without this flag.
        RequestOutcome::Misdirected => server.is_misdirected = true,
        RequestOutcome::Unreachable => {
            server.reachability.on_failed(now);
            // The server may have restarted and be in its cold start.
            server.cold_until = server.cold_until.max(now + ASSUMED_COLD_DURATION);
        }
        RequestOutcome::Refused | RequestOutcome::Expired | RequestOutcome::Abandoned => {}
    }
}
