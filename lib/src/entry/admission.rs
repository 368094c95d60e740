//! Whether a request may be served: its route, key and workspace.
//!
//! Answers hosts that are cut off from the platform: what they know may be out of date, so they
//! neither deny what a newer configuration may allow nor serve keys that may have been taken away.

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

/// Time by which a host stops serving a key before the lease of its configuration ends: the
/// request still has to reach a server.
const KEY_LEASE_MARGIN: Duration = Duration::from_millis(300);
/// When to ask a host again that waits for the platform: about two of its attempts to reach it.
const PLATFORM_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When to come back to a route without a service: about the time in which a configuration changes.
const ROUTE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Part of the longest deadline of its route below which a deadline tells that its caller has come
/// back: callers' first deadlines differ by up to 15 in 100.
const RETRY_DEADLINE_FRACTION: f64 = 0.8;

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
    /// Rank of its workspace, or of its route, 0 is the most urgent.
    pub rank: u32,
    /// Its caller seems to have been refused before: it has less time than others of the route.
    pub is_caller_retry: bool,
    /// Version of the configuration that decided.
    pub config_version: u64,
}

impl Fleet {
    /// Whether the host can serve what callers send it.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let is_confirmed = config.workspaces.is_empty() || self.is_key_lease_valid(now);
        self.has_server_list && is_confirmed && !self.is_stopping
    }

    /// Whether the configuration is recent enough to decide on keys.
    fn is_key_lease_valid(&self, now: Timestamp) -> bool {
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
            return Err(Refusal::with_retry_after(
                Reason::NoConfiguration,
                PLATFORM_RETRY_AFTER,
            ));
        };
        // What an old configuration does not allow, a newer one may.
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
            Some(workspace.ok_or_else(|| deny(Reason::UnknownKey))?)
        } else {
            None
        };
        // Requests of one session go to one service, so that its parts are kept there.
        let session = head.prompt.as_ref().and_then(Prompt::session);
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
        let given = head.deadline.map(|at| at.remaining(now));
        let longest = self
            .longest_deadlines
            .entry(route.name.clone())
            .or_default();
        *longest = (*longest).max(given.unwrap_or_default());
        let is_caller_retry =
            given.is_some_and(|given| given < longest.mul_f64(RETRY_DEADLINE_FRACTION));
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
