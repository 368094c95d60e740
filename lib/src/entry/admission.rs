//! Decides whether a request may be served, by its route, key and workspace (customer).
//!
//! An entry host reads its configuration from the object store of the platform, an external system,
//! into [`Fleet`], its view of all entry hosts and backend servers. A host that is cut off from the
//! store may hold an outdated configuration. Instead of denying what a newer configuration may
//! allow, such a host asks the caller to retry. Once its configuration is too old it refuses all
//! requests that need a key, since the key may have been revoked.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use super::config::Route;
use super::dialect::CallHead;
use super::dialect::Prompt;
use super::fleet::Fleet;
use super::refusal::Reason;
use super::refusal::Refusal;
use crate::time::Timestamp;

/// A host stops accepting keys this long before the end of the key lease, since an admitted request
/// still has to reach a server. The key lease is the time for which a host may accept keys after
/// its configuration was last confirmed.
const KEY_LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Retry delay while the host has no current configuration: about the time of two attempts to reach
/// the platform.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for a route whose targets all have the weight 0: about the time within which a
/// configuration changes.
const ROUTE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A request counts as a caller's retry if the time until its deadline is below this fraction of
/// the longest one seen on its route. Among first attempts these times differ by up to 15%.
const RETRY_DEADLINE_FRACTION: f64 = 0.8;

/// A request that may be served, with the decisions made on its admission.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that was selected among the targets of the route.
    pub service: CompactString,
    /// Workspace that holds the request's key, if the route needs one.
    pub workspace: Option<CompactString>,
    /// Whether the caller's key is removed before the request is sent to a server.
    pub hides_key: bool,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// When the caller or the route times out, whichever comes first.
    pub give_up_at: Timestamp,
    /// When the response should have started, counted from the caller's first attempt.
    pub objective_at: Timestamp,
    /// Priority rank of the workspace, or else of the route; 0 is the most urgent.
    pub rank: u32,
    /// Whether the request looks like a caller's retry after a refusal: it has clearly less time
    /// left than others of the route.
    pub is_caller_retry: bool,
    /// Version of the configuration that admitted the request.
    pub config_version: u64,
}

impl Fleet {
    /// Whether the host can serve requests: it has a configuration, a list of servers, the orders to
    /// roll out versions if it follows them, and current keys if the configuration has workspaces, and
    /// it is not stopping.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let is_confirmed = config.workspaces.is_empty() || self.is_key_lease_valid(now);
        // Servers are not used before the orders are known that may concern their version.
        let are_orders_known = self
            .servers_listed_at
            .is_some_and(|at| self.rollouts.is_confirmed_after(at));
        self.has_server_list && are_orders_known && is_confirmed && !self.is_stopping
    }

    /// Whether this host knows the servers, and can decide for other hosts which one gets a request.
    pub fn can_schedule(&self) -> bool {
        self.has_server_list && !self.is_stopping
    }

    /// Whether the configuration was confirmed recently enough to accept keys.
    fn is_key_lease_valid(&self, now: Timestamp) -> bool {
        self.config_age(now) + KEY_LEASE_MARGIN < self.bounds.key_lease
    }

    /// Finds the route, service and workspace of a request.
    ///
    /// # Errors
    ///
    /// A refusal if the configuration does not allow the request, or if this host cannot decide
    /// because its configuration is missing or may be outdated.
    pub fn admit(
        &mut self,
        now: Timestamp,
        head: &CallHead,
        path: &str,
    ) -> Result<Admitted, Refusal> {
        let Some(config) = &self.config else {
            return Err(Refusal::with_retry_after(
                Reason::NoConfiguration,
                PLATFORM_RETRY_AFTER,
            ));
        };
        // A newer configuration may allow what an outdated one does not.
        let is_recent = self.config_age(now) < self.bounds.config_lag;
        let deny = |reason| match is_recent {
            true => Refusal::new(reason),
            false => Refusal::with_retry_after(Reason::StaleConfiguration, PLATFORM_RETRY_AFTER),
        };
        let route = config
            .route(&head.host, path)
            .ok_or_else(|| deny(Reason::NoRoute))?;
        let workspace = if config.needs_key(route) {
            let key = head.key.as_ref().ok_or_else(|| deny(Reason::NoKey))?;
            let workspace = config.workspace_of_key(key);
            if !self.is_key_lease_valid(now) {
                return Err(Refusal::with_retry_after(
                    Reason::StaleConfiguration,
                    PLATFORM_RETRY_AFTER,
                ));
            }
            let workspace = workspace.filter(|_| !self.restore.is_revoked(key));
            Some(workspace.ok_or_else(|| deny(Reason::UnknownKey))?)
        } else {
            None
        };
        // All requests of a session (those with the same beginning of the prompt) go to the same
        // service, where the session's prompt parts are cached.
        let session = head.prompt.as_ref().and_then(Prompt::session);
        // Requests without a session are spread by their identifiers.
        let point = session.unwrap_or_else(|| xxh3_64(head.id.as_bytes()));
        let service = route
            .service(point)
            .ok_or_else(|| Refusal::with_retry_after(Reason::NoServer, ROUTE_RETRY_AFTER))?
            .clone();
        let rank = workspace.and_then(|workspace| workspace.rank);
        let rank = rank.unwrap_or(route.rank);
        let workspace = workspace.map(|workspace| workspace.name.clone());
        let hides_key = !config.workspaces.is_empty();
        let config_version = config.version;
        let by_route = now + route.timeout;
        let route = route.clone();
        // Time until the caller's deadline.
        let given = head.deadline.map(|at| at.remaining(now));
        let longest = self
            .longest_deadlines
            .entry(route.name.clone())
            .or_default();
        *longest = (*longest).max(given.unwrap_or_default());
        let is_caller_retry =
            given.is_some_and(|given| given < longest.mul_f64(RETRY_DEADLINE_FRACTION));
        // A caller keeps its deadline when it tries again, so earlier attempts have used the time
        // that is missing from the longest one.
        let used = match given {
            Some(given) if is_caller_retry => longest.saturating_sub(given),
            _ => Duration::ZERO,
        };
        Ok(Admitted {
            objective_at: now + route.objective.saturating_sub(used),
            rank,
            is_caller_retry,
            route,
            service,
            workspace,
            hides_key,
            arrived: now,
            give_up_at: head.deadline.map_or(by_route, |at| at.min(by_route)),
            config_version,
        })
    }
}
