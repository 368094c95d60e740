//! The configuration that entry hosts serve by: routes, services, workspaces and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another backend server may continue after the last whole event.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: CompactString,
    /// Part of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Requests of one kind and where they go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: CompactString,
    /// Host header of its requests.
    pub host: CompactString,
    /// Start of the paths of its requests; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// What may be done again.
    pub retry_policy: RetryPolicy,
    /// Longest time until a final answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is of full use.
    pub objective: Duration,
    /// Rank, 0 is the most urgent.
    pub rank: u32,
    /// Services, never empty.
    pub targets: Vec<Target>,
    /// Most backend servers to which one request may be sent.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

impl Route {
    /// The service for a request whose point in the weights is `point`: the same point gives the
    /// same service while the weights stay.
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

/// How the engines of a model service work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Connections that one server accepts from the whole fleet.
    pub connections_max: u32,
    /// Requests a second that a cold server bears from the whole fleet, 0 if none is ever cold.
    pub cold_rate: f64,
    /// Set for model services.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, bytes.
    pub head_bytes: usize,
    /// Largest body, bytes.
    pub body_bytes: u64,
    /// Longest time for sending a head.
    pub head_timeout: Duration,
    /// How long a connection may stay unused.
    pub idle_timeout: Duration,
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: CompactString,
    /// Rank that goes before the rank of a route.
    pub rank: Option<u32>,
    /// Keys of its callers.
    pub keys: Vec<CompactString>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version, rising.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<CompactString, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Workspaces; if there are none, no request needs a key.
    pub workspaces: Vec<Workspace>,
    by_key: HashMap<CompactString, usize>,
}

impl FleetConfig {
    /// Puts the parts of a version together.
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

    /// The route with the longest prefix of `path` among the routes of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The workspace that holds `key`.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Workspace> {
        self.by_key.get(key).map(|at| &self.workspaces[*at])
    }

    /// Whether requests of `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !self.workspaces.is_empty() && !route.is_anonymous
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
