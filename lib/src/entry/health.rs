//! What a host makes of a backend server's behaviour towards its own requests.
//!
//! Answers servers that fail part of their requests while their health check is good, and servers
//! that cannot be reached. A server is compared with the others of its service, so that a fault
//! that all of them share sends no request away from any.

use std::time::Duration;

use crate::time::Timestamp;

/// Time after which an outcome counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Outcomes, after decay, from which a rate of failures says something.
const OUTCOMES_MIN: f64 = 3.0;
/// Rate of failures from which a server may count as failing. Servers fail well under a fifth of
/// their requests when nothing is wrong with them.
const FAILING_RATE: f64 = 0.3;
/// How much higher than the rate of its service a failing server's rate is.
const FAILING_EXCESS: f64 = 2.0;
/// First pause after a failed connection.
const BACKOFF_FIRST: Duration = Duration::from_millis(250);
/// Longest pause after failed connections in series.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Outcomes that lose weight with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    succeeded: f64,
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

    /// Counts an outcome.
    pub fn add(&mut self, now: Timestamp, has_failed: bool) {
        self.decay(now);
        if has_failed {
            self.failed += 1.0;
        } else {
            self.succeeded += 1.0;
        }
    }

    /// Part of the recent requests that failed, if there were enough of them.
    pub fn rate(&self, now: Timestamp) -> Option<f64> {
        let mut at_now = *self;
        at_now.decay(now);
        let sum = at_now.failed + at_now.succeeded;
        (sum >= OUTCOMES_MIN).then(|| at_now.failed / sum)
    }
}

/// Whether a server with a rate of failures stands out among the servers of its service.
pub(crate) fn is_failing(rate: Option<f64>, service_rate: f64) -> bool {
    rate.is_some_and(|rate| rate >= FAILING_RATE && rate >= FAILING_EXCESS * service_rate)
}

/// Whether connections to a server come about.
#[derive(Clone, Copy, Debug)]
pub struct Reachability {
    backoff_until: Timestamp,
    next_backoff: Duration,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            backoff_until: Timestamp::ZERO,
            next_backoff: BACKOFF_FIRST,
        }
    }
}

impl Reachability {
    /// A connection failed, or a request was met with silence.
    pub fn on_failed(&mut self, now: Timestamp) {
        if !self.backoff_until.has_passed(now) {
            return;
        }
        self.backoff_until = now + self.next_backoff;
        self.next_backoff = (self.next_backoff * 2).min(BACKOFF_MAX);
    }

    /// The server answered.
    pub fn on_response(&mut self) {
        *self = Self::default();
    }

    /// Whether requests may be sent. After a pause the next one shows whether the server is back.
    pub fn allows_requests(&self, now: Timestamp) -> bool {
        self.backoff_until.has_passed(now)
    }

    /// Whether the last attempt failed.
    pub fn last_attempt_failed(&self) -> bool {
        self.next_backoff > BACKOFF_FIRST
    }
}
