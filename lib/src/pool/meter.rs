//! Measured rates of one scheduler: departures from its queue, and cost of ended requests.
//!
//! A scheduler orders the waiting requests of one shard, the backend servers of one service in one
//! failure domain. The unit of cost is that of the service: tokens for a model, microseconds of run
//! time for a plain service.
//!
//! A bid (a request that waits for a server) departs when it is granted or handed over to another
//! shard, whose servers then run it.
//!
//! The scheduler estimates waiting times from the departure rate. The highest cost rate is part of
//! the maximum lag between workspaces, and the average one decides when the other shards are sent
//! an update. The departure rate is only measured while the shard is backlogged, that is, while
//! bids wait: otherwise it would show the demand and not the capacity.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Period that one bucket covers.
const BUCKET_SPAN: Duration = Duration::from_millis(500);
/// Number of buckets that are kept.
const BUCKET_COUNT: usize = 20;
/// Number of departures below which the departure rate is unknown.
const MIN_DEPARTURES: u64 = 8;
/// Time during which bids waited, below which the departure rate is unknown.
const MIN_BACKLOGGED_TIME: Duration = Duration::from_secs(1);

/// Measurements of one period of [`BUCKET_SPAN`].
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Time from which measurements belong to the next bucket.
    end: Timestamp,
    /// Bids that left the queue while bids waited.
    departures: u64,
    /// Time during which bids waited.
    backlogged_time: Duration,
    /// Total cost of the ended requests, in the unit of the service.
    cost: u64,
    /// Number of ended requests.
    ended: u64,
}

/// Departures from the queue while bids waited, and cost of ended requests, in the latest
/// [`BUCKET_COUNT`] buckets, which cover up to 10 s of activity. A period in which nothing is
/// recorded has no bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    /// Oldest bucket first.
    buckets: VecDeque<Bucket>,
    /// Start of the waiting time that is not yet in a bucket, `None` while no bid waits.
    backlogged_since: Option<Timestamp>,
}

impl Meter {
    /// Sets whether bids wait from now on, and records the time during which they waited so far.
    pub(crate) fn set_backlogged(&mut self, now: Timestamp, backlogged: bool) {
        if let Some(since) = self.backlogged_since {
            self.bucket(now).backlogged_time += now.since(since);
        }
        self.backlogged_since = backlogged.then_some(now);
    }

    /// Records that a bid has left the queue, by a grant or by a handover to another shard.
    pub(crate) fn record_departure(&mut self, now: Timestamp) {
        if self.backlogged_since.is_some() {
            self.bucket(now).departures += 1;
        }
    }

    /// Records the cost of an ended request, in the unit of the service.
    pub(crate) fn record_cost(&mut self, now: Timestamp, cost: u64) {
        let bucket = self.bucket(now);
        bucket.cost = bucket.cost.saturating_add(cost);
        bucket.ended += 1;
    }

    /// Average cost of an ended request in the unit of the service, at least 1.
    pub(crate) fn average_cost(&self) -> u64 {
        let cost: u64 = self.buckets.iter().map(|bucket| bucket.cost).sum();
        let ended: u64 = self.buckets.iter().map(|bucket| bucket.ended).sum();
        (cost / ended.max(1)).max(1)
    }

    /// Average time between two departures while bids wait, `None` if too few were observed.
    pub(crate) fn departure_interval(&self) -> Option<Duration> {
        let departures: u64 = self.buckets.iter().map(|bucket| bucket.departures).sum();
        let backlogged_time: Duration = self
            .buckets
            .iter()
            .map(|bucket| bucket.backlogged_time)
            .sum();
        if departures < MIN_DEPARTURES || backlogged_time < MIN_BACKLOGGED_TIME {
            return None;
        }
        Some(backlogged_time / u32::try_from(departures).unwrap_or(u32::MAX))
    }

    /// Total cost of the requests that end within `span` on average, in the unit of the service.
    pub(crate) fn cost_within(&self, span: Duration) -> u64 {
        let cost: u64 = self.buckets.iter().map(|bucket| bucket.cost).sum();
        let buckets = u64::try_from(self.buckets.len()).unwrap_or(u64::MAX);
        let observed = buckets.saturating_mul(BUCKET_SPAN.as_millis() as u64);
        let span = span.as_millis() as u64;
        cost.saturating_mul(span) / observed.max(1)
    }

    /// Highest cost rate of any bucket, per second, in the unit of the service.
    pub(crate) fn peak_rate(&self) -> u64 {
        let peak = self.buckets.iter().map(|bucket| bucket.cost).max();
        // Follows from `BUCKET_SPAN`.
        let buckets_per_second = 2;
        peak.unwrap_or_default().saturating_mul(buckets_per_second)
    }

    /// The current bucket. If the last one has ended, a new one is started, and the oldest is
    /// dropped if there are more than [`BUCKET_COUNT`].
    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let current = self
            .buckets
            .back()
            .is_some_and(|bucket| !bucket.end.has_passed(now));
        if !current {
            self.buckets.push_back(Bucket {
                end: now + BUCKET_SPAN,
                departures: 0,
                backlogged_time: Duration::ZERO,
                cost: 0,
                ended: 0,
            });
            if self.buckets.len() > BUCKET_COUNT {
                self.buckets.pop_front();
            }
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
