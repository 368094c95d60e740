//! Health of a backend server, as this entry host observes it from the requests that it forwards to
//! the server.
//!
//! This detects servers that fail some of their requests although their health check passes, and
//! servers that cannot be reached. The failure rate of a server is compared with those of the other
//! servers of its service, so that a fault common to all of them does not divert requests from any
//! of them.

use std::time::Duration;

use crate::time::Timestamp;

/// Half-life of the weight that the outcome of a request has in the failure rate.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Least total weight of recent outcomes for which a failure rate is computed.
const OUTCOMES_MIN: f64 = 3.0;
/// Largest total weight of recent outcomes. Without a bound, a server that failed many requests would
/// be left out long after it has recovered: the rate stays the same while it gets no requests.
const OUTCOMES_MAX: f64 = 10.0;
/// Lowest failure rate at which a server may count as failing. Healthy servers fail well under 20%
/// of their requests.
const FAILING_RATE: f64 = 0.3;
/// Lowest ratio of a server's failure rate to the usual rate of its service at which the server may
/// count as failing.
const FAILING_EXCESS: f64 = 2.0;
/// Backoff after the first failed connection.
const BACKOFF_FIRST: Duration = Duration::from_millis(250);
/// Longest backoff after consecutive failed connections.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Failure rate of requests, where recent outcomes weigh more.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    /// Total weight of the successful outcomes at the time `updated`.
    succeeded: f64,
    /// Total weight of the failed outcomes at the time `updated`.
    failed: f64,
    updated: Timestamp,
}

impl FailureRate {
    fn decay(&mut self, now: Timestamp) {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-age).exp2();
        self.succeeded *= factor;
        self.failed *= factor;
        self.updated = now;
    }

    /// Counts the outcome of a request.
    pub fn add(&mut self, now: Timestamp, has_failed: bool) {
        self.decay(now);
        if has_failed {
            self.failed += 1.0;
        } else {
            self.succeeded += 1.0;
        }
        let excess = (self.failed + self.succeeded) / OUTCOMES_MAX;
        if excess > 1.0 {
            self.failed /= excess;
            self.succeeded /= excess;
        }
    }

    /// Fraction of recent requests that failed, `None` if there were too few of them.
    pub fn rate(&self, now: Timestamp) -> Option<f64> {
        let mut at_now = *self;
        at_now.decay(now);
        let sum = at_now.failed + at_now.succeeded;
        (sum >= OUTCOMES_MIN).then(|| at_now.failed / sum)
    }
}

/// Whether a server's failure `rate` is high, both in itself and compared with the usual rate of
/// its service.
pub(crate) fn is_failing(rate: Option<f64>, service_rate: f64) -> bool {
    rate.is_some_and(|rate| rate >= FAILING_RATE && rate >= FAILING_EXCESS * service_rate)
}

/// Median of the failure rates of a service's servers, 0 if there are none. A server whose rate is
/// well above it may count as failing. With an even number of rates it is the lower of the two in
/// the middle: with the higher, the worse of two servers would only be compared with itself.
pub(crate) fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    let middle = rates.len().saturating_sub(1) / 2;
    rates.get(middle).copied().unwrap_or(0.0)
}

/// Whether a server can be reached, with an exponential backoff after failures.
#[derive(Clone, Copy, Debug)]
pub struct Reachability {
    /// End of the last backoff.
    backoff_until: Timestamp,
    /// Length of the backoff that the next failed connection starts.
    next_backoff: Duration,
    /// Whether requests are held back for the result of a trial.
    is_trial: bool,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            backoff_until: Timestamp::ZERO,
            next_backoff: BACKOFF_FIRST,
            is_trial: false,
        }
    }
}

impl Reachability {
    /// Starts a backoff after a failed connection; each backoff is twice as long as the one before,
    /// up to a maximum. Failures during a backoff are ignored: they come from requests that were
    /// assigned before it.
    pub fn on_failed(&mut self, now: Timestamp) {
        if !self.backoff_until.has_passed(now) && !self.is_trial {
            return;
        }
        self.is_trial = false;
        self.backoff_until = now + self.next_backoff;
        self.next_backoff = (self.next_backoff * 2).min(BACKOFF_MAX);
    }

    /// Records that a request is sent after a backoff. Others are held back until its result is known,
    /// or for the shortest backoff.
    pub fn on_trial(&mut self, now: Timestamp) {
        if self.last_attempt_failed() && self.allows_requests(now) {
            self.backoff_until = now + BACKOFF_FIRST;
            self.is_trial = true;
        }
    }

    /// Ends the backoff, since the server responded. The next backoff is the shortest again.
    pub fn on_response(&mut self) {
        *self = Self::default();
    }

    /// Whether no backoff is in progress. The first request after a backoff shows whether the
    /// server can be reached again.
    pub fn allows_requests(&self, now: Timestamp) -> bool {
        self.backoff_until.has_passed(now)
    }

    /// Whether the last connection failed, with no response since then.
    pub fn last_attempt_failed(&self) -> bool {
        self.next_backoff > BACKOFF_FIRST
    }
}
