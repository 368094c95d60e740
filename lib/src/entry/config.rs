//! Configuration of the entry hosts, which send the requests of callers to backend servers: routes,
//! services, workspaces (customers) and limits.
//!
//! A route selects requests by `Host` header and path, and divides them among one or more services.
//! A service is a group of interchangeable backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

/// How often a request of a route may run, which decides whether it may be sent again after a
/// failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The request runs at most once, and its response is a stream of events.
    Stream,
    /// The response is a stream of events, and another backend server may continue it after the
    /// last complete event.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether a request that may already have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: CompactString,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A class of requests and the services that they go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// `Host` header of the requests, without a port.
    pub host: CompactString,
    /// Prefix of the request paths. It begins and ends with a slash.
    pub path_prefix: CompactString,
    /// How often a request may run, and so whether it may be sent again after a failure.
    pub retry_policy: RetryPolicy,
    /// Longest time from the arrival of a request to its final response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, should reach the caller to be
    /// of full use.
    pub objective: Duration,
    /// Priority rank, 0 is the most urgent.
    pub rank: u32,
    /// Services that the requests are divided among, never empty.
    pub targets: Vec<Target>,
    /// Most backend servers to which one request may be sent, one after another.
    pub attempts_max: u32,
    /// Whether requests need no key even if there are workspaces.
    pub is_anonymous: bool,
}

impl Route {
    /// Selects the service for a request in proportion to the weights. `point` is a hash or other
    /// evenly distributed number that stands for the request; the same point gives the same service
    /// as long as the weights stay the same. `None` if all weights are 0.
    pub fn service(&self, point: u64) -> Option<&CompactString> {
        let sum: u64 = self.targets.iter().map(|to| u64::from(to.weight)).sum();
        let mut left = point.checked_rem(sum)?;
        for to in &self.targets {
            let weight = u64::from(to.weight);
            if left < weight {
                return Some(&to.service);
            }
            left -= weight;
        }
        None
    }
}

/// Capacity of each engine (a backend server that runs a model) of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Most requests that one engine runs at the same time.
    pub slots: u32,
    /// Capacity of one engine's memory (KV cache), tokens.
    pub memory_tokens: u64,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Most connections that one server accepts from all hosts together.
    pub connections_max: u32,
    /// Requests per second that a server can take from all hosts together during its cold start,
    /// the time just after its start. 0 if the servers have no cold start.
    pub cold_rate: f64,
    /// Capacity of the engines, set for services that run a model.
    pub engine: Option<EngineSpec>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Largest request body, bytes.
    pub body_bytes: u64,
    /// Longest time that a caller may take to send a head.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A workspace (customer) and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: CompactString,
    /// Priority rank that overrides the rank of a route, 0 is the most urgent.
    pub rank: Option<u32>,
    /// API keys of the workspace's callers.
    pub keys: Vec<CompactString>,
}

/// One version of the entry hosts' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version number. A newer configuration has a higher one.
    pub version: u64,
    /// Routes by `Host` header, those with the longest path prefix first.
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<CompactString, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Workspaces. If there are none, no request needs a key.
    pub workspaces: Vec<Workspace>,
    /// Index in `workspaces` by API key.
    by_key: HashMap<CompactString, usize>,
}

impl FleetConfig {
    /// Builds a configuration with its indexes by `Host` header and key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
        workspaces: Vec<Workspace>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = workspaces.iter().enumerate();
        let by_key = keys
            .flat_map(|(at, workspace)| workspace.keys.iter().map(move |key| (key.clone(), at)))
            .collect();
        Self {
            version,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            limits,
            workspaces,
            by_key,
        }
    }

    /// The route for a request: the one with the longest prefix of `path` among those with the
    /// `Host` header `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The workspace that holds `key`, `None` if the key is unknown.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        self.by_key.get(key).map(|at| &self.workspaces[*at])
    }

    /// All keys of all workspaces.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &CompactString> {
        self.by_key.keys()
    }

    /// Whether a workspace holds `key`.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.by_key.contains_key(key)
    }

    /// Whether requests of `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !self.workspaces.is_empty() && !route.is_anonymous
    }

    /// The longest timeout of any route.
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.routes.values().flatten();
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// The shortest time within which responses of models should start, over all routes to models.
    pub fn shortest_model_objective(&self) -> Option<Duration> {
        let runs_model = |target: &Target| {
            let service = self.services.get(&target.service);
            service.is_some_and(|service| service.engine.is_some())
        };
        let routes = self.routes.values().flatten();
        let routes = routes.filter(|route| route.targets.iter().any(runs_model));
        routes.map(|route| route.objective).min()
    }

    /// Names of all routes.
    pub(crate) fn route_names(&self) -> impl Iterator<Item = &CompactString> {
        self.routes.values().flatten().map(|route| &route.name)
    }

    /// Number of routes, over all `Host` headers.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
