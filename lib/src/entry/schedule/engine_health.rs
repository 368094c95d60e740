//! Health of an engine as all hosts together observe it.
//!
//! In a large fleet a single host sends an engine few requests, and would need many failures to find
//! out for itself that the engine has crashed or fails part of its requests. Hosts therefore report
//! failures to the scheduler, which spares the others from them.
//!
//! A host that cannot connect to an engine may be cut off from it alone, so its report first counts
//! for its own failure domain only. If hosts of two domains cannot connect, the engine counts as
//! unreachable for all.

use std::collections::HashMap;

use super::super::health::FailureRate;
use super::super::health::Reachability;
use crate::time::Timestamp;

/// Failure domains whose hosts must have failed to connect before an engine is unreachable for all.
const UNREACHABLE_DOMAINS: usize = 2;

/// What hosts have reported of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineHealth {
    /// Whether hosts of each failure domain can connect. Domains without a failure since the last
    /// response are left out.
    by_domain: HashMap<u64, Reachability>,
    failures: FailureRate,
}

impl EngineHealth {
    /// Whether a request of a host in `domain` may be sent to the engine.
    pub(crate) fn allows_requests(&self, now: Timestamp, domain: u64) -> bool {
        let is_blocked = |health: &Reachability| !health.allows_requests(now);
        if self.by_domain.get(&domain).is_some_and(is_blocked) {
            return false;
        }
        let blocked = self.by_domain.values().filter(|health| is_blocked(health));
        blocked.count() < UNREACHABLE_DOMAINS
    }

    /// Records that a request of a host in `domain` is sent. If the domain could not connect before,
    /// this is a trial, and other requests wait for its result.
    pub(crate) fn on_started(&mut self, now: Timestamp, domain: u64) {
        if let Some(health) = self.by_domain.get_mut(&domain) {
            health.on_trial(now);
        }
    }

    /// Records that a host in `domain` could not connect.
    pub(crate) fn on_unreachable(&mut self, now: Timestamp, domain: u64) {
        self.by_domain.entry(domain).or_default().on_failed(now);
    }

    /// Records that the engine has sent a response to a host in `domain`.
    pub(crate) fn on_response(&mut self, now: Timestamp, domain: u64) {
        self.by_domain.remove(&domain);
        self.failures.add(now, false);
    }

    /// Records that the engine has failed a request.
    pub(crate) fn on_failed(&mut self, now: Timestamp) {
        self.failures.add(now, true);
    }

    /// Fraction of recent requests that the engine failed, `None` if there were too few.
    pub(crate) fn failure_rate(&self, now: Timestamp) -> Option<f64> {
        self.failures.rate(now)
    }
}
