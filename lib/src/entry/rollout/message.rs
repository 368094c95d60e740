//! Messages between the hosts that serve a service during a roll-out and the host that conducts it.

use std::time::Duration;

use super::super::stream_origins::VersionId;

/// Upper bound of the first class of [`StartTimes`], milliseconds. Each further bound is larger by the
/// factor [`START_TIME_FACTOR`].
const START_TIME_FIRST_MS: f64 = 5.0;
/// Factor between the bounds of two classes of [`StartTimes`].
const START_TIME_FACTOR: f64 = std::f64::consts::SQRT_2;
/// Number of classes of [`StartTimes`]. The last one has no upper bound; it begins at about 5 s.
const START_TIME_CLASSES: usize = 22;

/// Numbers of responses by the time from sending the request until the response started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartTimes {
    counts: [u32; START_TIME_CLASSES],
}

impl StartTimes {
    /// Counts a response that started `after` its request was sent.
    pub fn add(&mut self, after: Duration) {
        let ratio = after.as_secs_f64() * 1_000.0 / START_TIME_FIRST_MS;
        let class = ratio.max(1.0).log(START_TIME_FACTOR).ceil() as usize;
        let count = &mut self.counts[class.min(START_TIME_CLASSES - 1)];
        *count = count.saturating_add(1);
    }

    /// Adds the numbers of another host.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(more);
        }
    }

    /// Number of responses.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|count| u64::from(*count)).sum()
    }

    /// Upper bound of the class that contains the given quantile, 0 to 1; `None` without responses.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = (self.total() as f64 * quantile).ceil().max(1.0) as u64;
        let mut sum = 0;
        for (class, count) in self.counts.iter().enumerate() {
            sum += u64::from(*count);
            if sum >= rank {
                let bound = START_TIME_FIRST_MS * START_TIME_FACTOR.powi(class as i32);
                return Some(Duration::from_secs_f64(bound / 1_000.0));
            }
        }
        None
    }

    /// The responses that have been counted since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let mut times = *self;
        for (count, before) in times.counts.iter_mut().zip(earlier.counts) {
            *count = count.saturating_sub(before);
        }
        times
    }

    /// Number of responses that started later than `bound`, as far as the classes tell.
    pub(crate) fn later_than(&self, bound: Duration) -> u64 {
        let mut at_bound = Self::default();
        at_bound.add(bound);
        let class = at_bound.counts.iter().position(|count| *count > 0);
        let later = self.counts.iter().skip(class.unwrap_or(0) + 1);
        later.map(|count| u64::from(*count)).sum()
    }

    /// Numbers by class, in order.
    pub(crate) fn counts(&self) -> &[u32] {
        &self.counts
    }

    /// The numbers of a message. Classes that are missing are empty; further ones count as the last.
    pub(crate) fn from_counts(counts: impl Iterator<Item = u32>) -> Self {
        let mut times = Self::default();
        for (class, count) in counts.enumerate() {
            let sum = &mut times.counts[class.min(START_TIME_CLASSES - 1)];
            *sum = sum.saturating_add(count);
        }
        times
    }
}

/// Outcomes of the requests of one route, at servers of the target version or at all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteOutcomes {
    /// Hash of the route's name.
    pub route: u64,
    /// Whether these are requests to servers of the target version.
    pub is_target: bool,
    /// Requests that were sent.
    pub sent: u32,
    /// Requests that the server failed.
    pub failed: u32,
    /// When the responses of the others started.
    pub start_times: StartTimes,
}

/// What a host has seen of both versions since it learned of the order. All numbers are sums since
/// then, so that a lost report has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// Hash of the name of the service.
    pub service: u64,
    /// The version that is rolled out.
    pub target: VersionId,
    /// Hash that identifies the order.
    pub order: u64,
    /// Identifies the run of the host's process.
    pub incarnation: u64,
    /// Time since the host learned of the order.
    pub age: Duration,
    /// Requests of the host that run at servers of other versions than the target.
    pub running_old: u32,
    /// Requests for the service that the host has sent to servers of any version.
    pub requests: u64,
    /// Outcomes by route and version.
    pub outcomes: Vec<RouteOutcomes>,
}

/// Which requests may go to servers of the target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// A share of the requests of each host, in millionths.
    Canary {
        /// The share.
        share_millionths: u32,
    },
    /// Those that are expected to run longer than until the roll-out is completed.
    Shift {
        /// Time until then.
        remaining: Duration,
    },
    /// All of them, and servers of other versions get none.
    Completed,
    /// None.
    Reverted,
}

/// What hosts may send to servers of the target version until the permit expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutPermit {
    /// Hash of the name of the service.
    pub service: u64,
    /// The version that is rolled out.
    pub target: VersionId,
    /// Hash that identifies the order.
    pub order: u64,
    /// How long the permit holds.
    pub valid_for: Duration,
    /// Which requests may go to the target version.
    pub phase: RolloutPhase,
}
