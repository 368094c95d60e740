//! Keeps to the request rates that backend servers name.
//!
//! The load: a server in need states in each response how many requests a second it takes from all
//! hosts together, for as long as it says so. The requests to an engine (a server that runs a model)
//! are started by one scheduler, which spaces them with a [`RatePacer`]. The requests to a plain service
//! are sent by all hosts without asking each other, so each host gets a share (see
//! [`rate_limit_share`]).

use std::time::Duration;

use super::budget::deal;
use crate::time::Timestamp;

/// How long a limit holds after the last response that named it. The next response usually renews or
/// lifts it; this is for servers that no longer get any request.
const LIMIT_RETENTION: Duration = Duration::from_secs(20);
/// Lowest rate to which requests are limited, so that a response can show that the limit was lifted,
/// requests per second.
const RATE_MIN: f64 = 0.25;
/// Requests that a scheduler may start at once at an engine that has got none for some time.
const BURST: f64 = 2.0;
/// How soon a scheduler is told again of an unchanged limit.
const TELL_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// Most limits that are told to a scheduler in one datagram.
pub(crate) const TOLD_LIMITS_MAX: usize = 32;
/// Span over which hosts count their requests to a plain server. It is longer than a second because the
/// share of a host may be less than one request a second.
pub(crate) const SHARE_WINDOW: Duration = Duration::from_secs(4);

/// What a run of a server has last stated about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests per second from all hosts together, `None` if the server names no limit any more.
    pub per_second: Option<f64>,
    /// When the server stated it.
    pub as_of: Timestamp,
    /// Whether this host has read it in a response. Only such statements are told to other hosts:
    /// times that are passed on become a little later each time.
    pub is_own: bool,
}

impl NamedLimit {
    /// The rate to keep to, `None` if there is no limit now.
    pub fn rate(&self, now: Timestamp) -> Option<f64> {
        let holds = !(self.as_of + LIMIT_RETENTION).has_passed(now);
        self.per_second
            .filter(|_| holds)
            .map(|limit| limit.max(RATE_MIN))
    }

    /// Whether the statement is recent enough to tell other hosts.
    pub fn is_recent(&self, now: Timestamp) -> bool {
        !(self.as_of + LIMIT_RETENTION).has_passed(now)
    }
}

/// A server's limit, as one host tells another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLimit {
    /// Hash of the server's instance identifier.
    pub server: u64,
    /// Hash that identifies the run of the server.
    pub run: u64,
    /// Requests per second, `None` if the server names no limit any more.
    pub per_second: Option<f64>,
    /// Time since the server stated it.
    pub age: Duration,
}

/// What a scheduler was last told of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ToldLimit {
    per_second: Option<f64>,
    as_of: Timestamp,
    repeat_at: Timestamp,
}

impl ToldLimit {
    pub(crate) fn new(now: Timestamp, limit: &NamedLimit) -> Self {
        Self {
            per_second: limit.per_second,
            as_of: limit.as_of,
            repeat_at: now + TELL_AGAIN_AFTER,
        }
    }

    /// Whether the scheduler has to be told of a limit: another one than before, or a newer statement
    /// of the same after some time.
    pub(crate) fn is_due(&self, now: Timestamp, limit: &NamedLimit) -> bool {
        let is_newer = limit.as_of > self.as_of;
        is_newer && (self.per_second != limit.per_second || self.repeat_at.has_passed(now))
    }

    /// Whether this is worth remembering.
    pub(crate) fn is_recent(&self, now: Timestamp) -> bool {
        !(self.as_of + LIMIT_RETENTION).has_passed(now)
    }
}

/// Spaces the requests to one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct RatePacer {
    /// Requests per second, `None` without a limit.
    rate: Option<f64>,
    /// When the next request would start if all had the same distance.
    next_at: Timestamp,
}

impl RatePacer {
    /// Sets the rate to keep to, `None` to end the limit.
    pub fn set_rate(&mut self, rate: Option<f64>) {
        if rate.is_none() {
            self.next_at = Timestamp::ZERO;
        }
        self.rate = rate;
    }

    /// When the next request may be sent.
    pub fn earliest(&self) -> Timestamp {
        let tolerance = self.rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64((BURST - 1.0) / rate)
        });
        self.next_at - tolerance
    }

    /// Counts a request that is sent at `at`.
    pub fn on_sent(&mut self, at: Timestamp) {
        if let Some(rate) = self.rate {
            self.next_at = self.next_at.max(at) + Duration::from_secs_f64(1.0 / rate);
        }
    }
}

/// Requests that one host may send to a plain server within four seconds, if the server takes `rate`
/// a second. `hosts` are the hashes of all registered hosts.
pub fn rate_limit_share(rate: f64, hosts: &[u64], own_host: u64, server: u64) -> usize {
    let total = (rate * SHARE_WINDOW.as_secs_f64()) as usize;
    deal(total.max(1), hosts, own_host, server)
}
