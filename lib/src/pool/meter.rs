//! Measured rates of one scheduler: departures from its queue, and cost of ended requests.
//!
//! The scheduler estimates waiting times from the departure rate, and the permitted difference
//! between workspaces from the cost rate. The departure rate is only measured while bids wait:
//! otherwise it would show the demand and not the capacity.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

const BUCKET_SPAN: Duration = Duration::from_millis(500);
const BUCKET_COUNT: usize = 20;
/// Number of departures, and time during which bids waited, below which the departure rate is
/// unknown.
const MIN_DEPARTURES: u64 = 8;
const MIN_BUSY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    end: Timestamp,
    departures: u64,
    busy: Duration,
    cost: u64,
    ended: u64,
}

/// Departures from the queue while bids waited, and cost of ended requests, over the latest ten
/// seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    buckets: VecDeque<Bucket>,
    busy_since: Option<Timestamp>,
}

impl Meter {
    /// Records whether bids wait for a free server.
    pub(crate) fn set_busy(&mut self, now: Timestamp, busy: bool) {
        if let Some(since) = self.busy_since {
            self.bucket(now).busy += now.since(since);
        }
        self.busy_since = busy.then_some(now);
    }

    /// Records that a bid has left the queue, by a grant or by a handover to another shard.
    pub(crate) fn record_departure(&mut self, now: Timestamp) {
        if self.busy_since.is_some() {
            self.bucket(now).departures += 1;
        }
    }

    /// Records the cost of an ended request, in the unit of the service.
    pub(crate) fn record_cost(&mut self, now: Timestamp, cost: u64) {
        let bucket = self.bucket(now);
        bucket.cost = bucket.cost.saturating_add(cost);
        bucket.ended += 1;
    }

    /// Average cost of the ended requests in the unit of the service, at least 1.
    pub(crate) fn average_cost(&self) -> u64 {
        let cost: u64 = self.buckets.iter().map(|bucket| bucket.cost).sum();
        let ended: u64 = self.buckets.iter().map(|bucket| bucket.ended).sum();
        (cost / ended.max(1)).max(1)
    }

    /// Average time between two departures while bids wait, `None` if too few were observed.
    pub(crate) fn departure_interval(&self) -> Option<Duration> {
        let departures: u64 = self.buckets.iter().map(|bucket| bucket.departures).sum();
        let busy: Duration = self.buckets.iter().map(|bucket| bucket.busy).sum();
        if departures < MIN_DEPARTURES || busy < MIN_BUSY {
            return None;
        }
        Some(busy / u32::try_from(departures).unwrap_or(u32::MAX))
    }

    /// Total cost of the requests that end within `span` on average, in the unit of the service.
    pub(crate) fn cost_within(&self, span: Duration) -> u64 {
        let cost: u64 = self.buckets.iter().map(|bucket| bucket.cost).sum();
        let buckets = u64::try_from(self.buckets.len()).unwrap_or(u64::MAX);
        let observed = buckets.saturating_mul(BUCKET_SPAN.as_millis() as u64);
        let span = span.as_millis() as u64;
        cost.saturating_mul(span) / observed.max(1)
    }

    /// Highest rate of any bucket in the window, in cost per second.
    pub(crate) fn peak_rate(&self) -> u64 {
        let peak = self.buckets.iter().map(|bucket| bucket.cost).max();
        let buckets_per_second = 2;
        peak.unwrap_or_default().saturating_mul(buckets_per_second)
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let current = self
            .buckets
            .back()
            .is_some_and(|bucket| !bucket.end.has_passed(now));
        if !current {
            self.buckets.push_back(Bucket {
                end: now + BUCKET_SPAN,
                departures: 0,
                busy: Duration::ZERO,
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
