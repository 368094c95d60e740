//! Sums of the outcomes of both versions, by route.

use std::collections::BTreeMap;

use super::message::RolloutReport;
use super::message::StartTimes;

/// Failure rate of the other version up to which an interval counts as quiet.
const QUIET_RATE: f64 = 0.02;

/// Sums of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) sent: u64,
    pub(super) failed: u64,
    pub(super) started: StartTimes,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.started.merge(&other.started);
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            failed: self.failed.saturating_sub(earlier.failed),
            started: self.started.since(&earlier.started),
        }
    }

    pub(super) fn responses(&self) -> u64 {
        self.failed + self.started.total()
    }
}

/// Outcomes of a route.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pair {
    pub(super) other: Counts,
    pub(super) target: Counts,
}

/// Outcomes by route.
#[derive(Clone, Debug, Default)]
pub(super) struct Sums(pub(super) BTreeMap<u64, Pair>);

impl Sums {
    pub(super) fn add(&mut self, more: &Self) {
        for (route, pair) in &more.0 {
            let sum = self.0.entry(*route).or_default();
            sum.other.add(&pair.other);
            sum.target.add(&pair.target);
        }
    }

    pub(super) fn add_report(&mut self, report: &RolloutReport) {
        for outcome in &report.outcomes {
            let sum = self.0.entry(outcome.route).or_default();
            let side = match outcome.is_target {
                true => &mut sum.target,
                false => &mut sum.other,
            };
            side.add(&Counts {
                sent: u64::from(outcome.sent),
                failed: u64::from(outcome.failed),
                started: outcome.start_times,
            });
        }
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        let difference = |(route, pair): (&u64, &Pair)| {
            let before = earlier.0.get(route).copied().unwrap_or_default();
            let pair = Pair {
                other: pair.other.since(&before.other),
                target: pair.target.since(&before.target),
            };
            (*route, pair)
        };
        Self(self.0.iter().map(difference).collect())
    }

    pub(super) fn total(&self) -> Pair {
        let mut total = Pair::default();
        for pair in self.0.values() {
            total.other.add(&pair.other);
            total.target.add(&pair.target);
        }
        total
    }

    pub(super) fn is_quiet(&self) -> bool {
        let other = self.total().other;
        other.failed as f64 <= QUIET_RATE * other.responses() as f64
    }
}
