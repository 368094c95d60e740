//! Budgets of the whole fleet, divided among its hosts so that the sum holds without messages.
//!
//! Answers two loads: callers and hosts that repeat requests during a failure, and backend servers
//! in a cold start that bear only a few requests a second. Each host keeps to a share that is safe
//! if every other host uses its own to the full, whether or not the hosts can reach one another.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Timestamp;

/// Part of the ratio of repeats that hosts use. The rest covers the counts of hosts that were
/// restarted within a window and forgot theirs.
const RETRY_RATIO_USED: f64 = 0.75;
/// Part of the burst of repeats that hosts use, for the same reason.
const RETRY_BURST_USED: f64 = 0.75;
/// Window of the rate that a cold server bears: the rate is stated a second.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Limits that hold for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Repeats allowed for each request.
    pub retry_ratio: f64,
    /// Repeats allowed beyond the ratio in one window.
    pub retry_burst: f64,
    /// Window of the two limits above.
    pub retry_window: Duration,
    /// How far the requests to a cold server may exceed its rate.
    pub cold_overrun: f64,
    /// How long a request with a key may still run after the key was taken away.
    pub key_lease: Duration,
    /// How long a host may act on a configuration after a newer one was accepted.
    pub config_lag: Duration,
    /// Time between the request to stop and the end of the process.
    pub stop_grace: Duration,
    /// How long servers whose announcement lapsed while the platform was away have to announce
    /// themselves again.
    pub announce_grace: Duration,
}

/// Counts events within a sliding window.
#[derive(Clone, Debug)]
pub struct SlidingCount {
    window: Duration,
    expiries: VecDeque<Timestamp>,
}

impl SlidingCount {
    /// Counts within `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            expiries: VecDeque::new(),
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Timestamp) {
        self.expiries.push_back(now + self.window);
    }

    /// Events within the window that ends now.
    pub fn count(&mut self, now: Timestamp) -> usize {
        while self.expiries.front().is_some_and(|at| at.has_passed(now)) {
            self.expiries.pop_front();
        }
        self.expiries.len()
    }

    /// When the oldest event leaves the window.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiries.front().copied()
    }
}

/// Repeats of one service that this host may send.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    /// Starts with empty windows.
    pub fn new(bounds: &FleetBounds) -> Self {
        Self {
            requests: SlidingCount::new(bounds.retry_window),
            retries: SlidingCount::new(bounds.retry_window),
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.add(now);
    }

    /// Takes one repeat, if the share of this host among `hosts` has one left.
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

/// Requests that this host may send to one cold server.
#[derive(Clone, Debug)]
pub struct ColdShare {
    sent: SlidingCount,
}

impl Default for ColdShare {
    fn default() -> Self {
        Self {
            sent: SlidingCount::new(COLD_WINDOW),
        }
    }
}

impl ColdShare {
    /// Whether the share allows one more request now.
    pub fn has_room(&mut self, now: Timestamp, allowed: usize) -> bool {
        self.sent.count(now) < allowed
    }

    /// Counts a request, also to a warm server: it may turn out to have been cold.
    pub fn on_sent(&mut self, now: Timestamp) {
        self.sent.add(now);
    }
}

/// Requests a second that one host may send to a cold server.
///
/// The whole requests of the rate are dealt to the hosts; those that do not divide evenly go to
/// the hosts with the highest hash for this server, which every host computes alike.
pub fn cold_share(
    rate: f64,
    bounds: &FleetBounds,
    hosts: &[u64],
    own_host: u64,
    server: u64,
) -> usize {
    // Truncation keeps the sum below the rate.
    let whole = (rate * bounds.cold_overrun).max(0.0) as usize;
    let Some(each) = whole.checked_div(hosts.len()) else {
        return 0;
    };
    let own_hash = xxh3_64_with_seed(&own_host.to_le_bytes(), server);
    let above = hosts
        .iter()
        .filter(|host| xxh3_64_with_seed(&host.to_le_bytes(), server) > own_hash)
        .count();
    each + usize::from(above < whole % hosts.len())
}
