//! Limits that hold for all entry hosts together. They are divided among the hosts so that the
//! total holds without communication between them. An entry host forwards callers' requests to
//! backend servers.
//!
//! They bound two loads: the retries that hosts send during a failure, and requests to backend
//! servers in a cold start, the time after a server's start in which it can take only a few
//! requests per second. Each host may use its own share fully without regard to the others, whether
//! or not the hosts can reach each other. The number of hosts is that of the hosts registered on
//! the platform, the external system that stores the configuration, the list of hosts and the
//! announcements of servers.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::rollout::RolloutBounds;
use crate::time::Timestamp;

/// Fraction of the allowed retry ratio that hosts use. The rest is left for hosts that restart
/// within a window: they lose their counts, and so can use their share of the burst again.
const RETRY_RATIO_USED: f64 = 0.75;
/// Fraction of the allowed retry burst that hosts use. The rest is left for restarted hosts too.
const RETRY_BURST_USED: f64 = 0.75;
/// Window over which requests to a server in its cold start are counted: the configuration states
/// the rate limit per second.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Limits of the fleet (all entry hosts together): totals over all hosts, and times that hold for
/// every host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Retries allowed per request of a caller, for each service.
    pub retry_ratio: f64,
    /// Retries allowed in one window in addition to the ratio, for each service.
    pub retry_burst: f64,
    /// Window over which `retry_ratio` and `retry_burst` are counted.
    pub retry_window: Duration,
    /// Requests per second allowed to a server in its cold start, as a multiple of the rate in the
    /// configuration of its service.
    pub cold_overrun: f64,
    /// Longest time after the revocation of a key for which a request with that key may still run.
    pub key_lease: Duration,
    /// Time within which hosts use a newer configuration of the platform. A host that could not
    /// confirm its configuration for this long may have an outdated one, so it asks callers to
    /// retry instead of denying their requests.
    pub config_lag: Duration,
    /// Time between the request to stop and the end of the process.
    pub stop_grace: Duration,
    /// How long after an outage of the platform a host still uses servers whose announcements
    /// expired in it, so that these servers can announce themselves again.
    pub announce_grace: Duration,
    /// Limits on roll-outs; `None` if this deployment has none. Orders to roll out a version are only
    /// followed if these limits are set.
    pub rollout: Option<RolloutBounds>,
}

/// Counter of the events within a sliding window.
#[derive(Clone, Debug)]
pub struct SlidingCount {
    window: Duration,
    /// When each event leaves the window, in order.
    expiries: VecDeque<Timestamp>,
}

impl SlidingCount {
    /// A counter over the last `window`, with no events.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            expiries: VecDeque::new(),
        }
    }

    /// Counts an event at `now`.
    pub fn add(&mut self, now: Timestamp) {
        // Most counts are asked for rarely, if ever.
        self.drop_expired(now);
        self.expiries.push_back(now + self.window);
    }

    /// Number of events within the window that ends at `now`.
    pub fn count(&mut self, now: Timestamp) -> usize {
        self.drop_expired(now);
        self.expiries.len()
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self.expiries.front().is_some_and(|at| at.has_passed(now)) {
            self.expiries.pop_front();
        }
    }

    /// When the oldest event leaves the window, `None` if there are no events.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiries.front().copied()
    }
}

/// Limit on the retries that this host may send to one service, a group of interchangeable backend
/// servers.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    /// A budget with empty windows.
    pub fn new(bounds: &FleetBounds) -> Self {
        Self {
            requests: SlidingCount::new(bounds.retry_window),
            retries: SlidingCount::new(bounds.retry_window),
        }
    }

    /// Counts a request of a caller, which adds to the allowed retries.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.add(now);
    }

    /// Counts one retry and returns true, if this host's share allows it. The burst is divided
    /// among the number of `hosts`; the ratio applies to the requests that this host counted.
    pub fn take(&mut self, now: Timestamp, bounds: &FleetBounds, hosts: usize) -> bool {
        let requests = self.requests.count(now) as f64;
        let burst = RETRY_BURST_USED * bounds.retry_burst / hosts.max(1) as f64;
        let allowed = RETRY_RATIO_USED * bounds.retry_ratio * requests + burst;
        if (self.retries.count(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.add(now);
        true
    }
}

/// Limits the requests of this host to one server while the server is in its cold start.
#[derive(Clone, Debug)]
pub struct ColdStartLimiter {
    sent: SlidingCount,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self {
            sent: SlidingCount::new(COLD_WINDOW),
        }
    }
}

impl ColdStartLimiter {
    /// Whether this host sent fewer than `allowed` requests in the last second.
    pub fn has_room(&mut self, now: Timestamp, allowed: usize) -> bool {
        self.sent.count(now) < allowed
    }

    /// Counts a request. Requests outside a cold start are counted too, since the host may find out
    /// only later that the server had restarted before them.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.sent.add(now);
    }
}

/// Requests per second that one host may send to a server in its cold start. `rate` is the rate in
/// the configuration of the service, `hosts` the hashes of all registered hosts.
///
/// All hosts together may send `rate` times the overrun that `bounds` allows, rounded down.
pub fn cold_share(
    rate: f64,
    bounds: &FleetBounds,
    hosts: &[u64],
    own_host: u64,
    server: u64,
) -> usize {
    // Rounded down, so that the shares of all hosts together do not exceed the total.
    let total = (rate * bounds.cold_overrun).max(0.0) as usize;
    deal(total, hosts, own_host, server)
}

/// The share of one host in `total` requests to a server. They are divided evenly among the hosts; each
/// of the remaining requests goes to one of the hosts with the highest hashes for this server, which
/// every host computes in the same way.
pub(crate) fn deal(total: usize, hosts: &[u64], own_host: u64, server: u64) -> usize {
    let Some(each) = total.checked_div(hosts.len()) else {
        return 0;
    };
    let own_hash = xxh3_64_with_seed(&own_host.to_le_bytes(), server);
    let higher_ranked = hosts
        .iter()
        .filter(|host| xxh3_64_with_seed(&host.to_le_bytes(), server) > own_hash)
        .count();
    each + usize::from(higher_ranked < total % hosts.len())
}
