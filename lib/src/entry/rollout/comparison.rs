//! Compares two versions of a service over a span of time.
//!
//! The load: a few hundred requests of one version beside some thousand of the other, on routes that take
//! different times, in parts of half a second each. Servers of either version crash, and domains are cut
//! off, so that the failures of a single moment say little of a version.

use std::time::Duration;

use super::counts::Counts;
use super::counts::Sums;

/// Standard deviations by which the target version has to be worse. Each tick compares many spans and
/// routes, over the whole time of an order.
const BAD_DEVIATIONS: f64 = 3.0;
/// Standard deviations that are added to the rate of the other version.
const BASE_DEVIATIONS: f64 = 1.0;
/// Factor over the rate of the other version, and the one from `BAD_MANY` bad responses on: the bounds
/// count 50 of them.
const BAD_EXCESS: f64 = 2.0;
const BAD_EXCESS_MANY: f64 = 1.5;
const BAD_MANY: u64 = 30;
/// Least number of failures, or of late responses, that decide.
const BAD_MIN: u64 = 5;
/// Least failure rate that decides.
const FAILED_RATE_MIN: f64 = 0.02;
/// Failures from which a lower rate decides too: the bounds count single responses.
const FAILED_MANY: u64 = 20;
/// Factor over the upper bound of a class of times from which a start counts as late. The time itself is
/// up to 1.4 times less than this bound, so a start is late from 2 to 2.8 times the time on.
const LATE_FACTOR: f64 = 1.9;
/// Least number of responses whose times are compared.
const TIMES_MIN: u64 = 20;
/// Responses of the other version from which its rate on a route is known. Below, that of all routes is
/// used.
const BASE_MIN: u64 = 20;
/// Number of latest intervals in which late starts have to go on: the first requests find cold servers.
const LATE_INTERVALS: usize = 3;
/// Least number of responses that show whether they do; more intervals are taken until there are so many.
const LATE_KNOWN: u64 = 5;
/// Bad responses of a single interval that are left out where slight signs of a fault are looked for.
const CLUSTER_MIN: u64 = 3;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Measure {
    Failed,
    LateMedian,
    LateDecile,
}

impl Measure {
    pub(super) const ALL: [Self; 3] = [Self::Failed, Self::LateMedian, Self::LateDecile];

    fn name(self) -> &'static str {
        match self {
            Self::Failed => "failures",
            Self::LateMedian => "starts several times later than the median of the other version",
            Self::LateDecile => {
                "starts several times later than the upper decile of the other version"
            }
        }
    }

    /// The time after which a start counts as late, on a route where the other version did as `other`.
    fn bound(self, other: &Counts) -> Option<Duration> {
        let quantile = match self {
            Self::Failed => return None,
            Self::LateMedian => 0.5,
            Self::LateDecile => 0.9,
        };
        let is_known = other.started.total() >= TIMES_MIN;
        let time = other.started.quantile(quantile).filter(|_| is_known);
        time.map(|time| time.mul_f64(LATE_FACTOR))
    }

    fn tally(self, counts: &Counts, bound: Option<Duration>) -> Tally {
        match (self, bound) {
            (Self::Failed, _) => Tally {
                bad: counts.failed,
                all: counts.responses(),
            },
            (_, None) => Tally::default(),
            (_, Some(bound)) => Tally {
                bad: counts.started.later_than(bound),
                all: counts.started.total(),
            },
        }
    }

    /// The rate above which a version is bad that had `bad` bad responses.
    fn rate_min(self, bad: u64) -> f64 {
        match self {
            Self::Failed if bad >= FAILED_MANY => 0.0,
            Self::Failed => FAILED_RATE_MIN,
            Self::LateMedian => 0.5,
            Self::LateDecile => 0.1,
        }
    }

    fn responses_min(self) -> u64 {
        match self {
            Self::Failed => 0,
            Self::LateMedian | Self::LateDecile => TIMES_MIN,
        }
    }
}

/// Bad responses among all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) bad: u64,
    pub(super) all: u64,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.all += other.all;
    }

    fn rate(self) -> f64 {
        self.bad as f64 / self.all.max(1) as f64
    }

    /// Bound of the rate that the given number of standard deviations away, above or below if negative:
    /// the score interval of Wilson, which also holds for few responses.
    fn bound(self, deviations: f64) -> f64 {
        if self.all == 0 {
            return if deviations < 0.0 { 0.0 } else { 1.0 };
        }
        let n = self.all as f64;
        let square = deviations * deviations;
        let rate = self.rate();
        let center = rate + square / (2.0 * n);
        let spread = (rate * (1.0 - rate) / n + square / (4.0 * n * n)).sqrt();
        (center + deviations * spread) / (1.0 + square / n)
    }
}

/// The target version over a span of time, beside what is expected of it from the other one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Comparison {
    pub(super) target: Tally,
    /// Number of bad responses at the rate of the other version.
    pub(super) expected: f64,
    /// The same at the upper bound of that rate.
    expected_max: f64,
}

/// Which time is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SpanKind {
    /// All since the order.
    Whole,
    /// The latest intervals.
    Lately,
    /// The intervals in which the other version hardly failed.
    Quiet,
}

impl SpanKind {
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "since the order",
            Self::Lately => "lately",
            Self::Quiet => "while the other version did not fail",
        }
    }
}

/// A span of time: outcomes before it began to be split, and single intervals.
pub(super) struct Span<'a> {
    pub(super) kind: SpanKind,
    before: Option<&'a Sums>,
    intervals: Vec<&'a Sums>,
    /// Sums of all of them.
    pub(super) whole: Sums,
}

impl<'a> Span<'a> {
    pub(super) fn new(kind: SpanKind, before: Option<&'a Sums>, intervals: Vec<&'a Sums>) -> Self {
        let mut whole = Sums::default();
        let parts = before.into_iter().chain(intervals.iter().copied());
        parts.for_each(|part| whole.add(part));
        Self {
            kind,
            before,
            intervals,
            whole,
        }
    }
    /// Bad responses of the target version in one part, on a route or on all.
    fn bad_in(measure: Measure, part: &Sums, bounds: &Sums, route: Option<u64>) -> u64 {
        let pairs = part
            .0
            .iter()
            .filter(|(of, _)| route.is_none_or(|route| route == **of));
        pairs
            .map(|(of, pair)| {
                let bound = bounds.0.get(of).and_then(|pair| measure.bound(&pair.other));
                measure.tally(&pair.target, bound).bad
            })
            .sum()
    }

    /// Why the target version is bad by one measure on a route, or on all together; `None` if it is not.
    ///
    /// The interval with most bad responses is left out, and at least two others need some.
    pub(super) fn fault(&self, measure: Measure, route: Option<u64>) -> Option<String> {
        let whole = &self.whole;
        let bad_in = |part: &Sums| Self::bad_in(measure, part, whole, route);
        let bads: Vec<_> = self.intervals.iter().map(|part| bad_in(part)).collect();
        let worst = (0..bads.len()).max_by_key(|part| bads[*part]);
        let with_bad = bads.iter().filter(|bad| **bad > 0).count();
        let bad_before = self.before.map_or(0, bad_in);
        if with_bad < 3 && bad_before < BAD_MIN {
            return None;
        }
        let rest = self.without(worst);
        let compared = compare(measure, &rest, whole, route);
        let Tally { bad, all } = compared.target;
        if bad < BAD_MIN || all < measure.responses_min() {
            return None;
        }
        if measure != Measure::Failed && !self.goes_on(measure, route) {
            return None;
        }
        let excess = if bad >= BAD_MANY {
            BAD_EXCESS_MANY
        } else {
            BAD_EXCESS
        };
        let limit = excess * compared.expected_max / all as f64;
        let lower = compared.target.bound(-BAD_DEVIATIONS);
        (lower > limit.max(measure.rate_min(bad))).then(|| {
            format!(
                "{}: {bad} of {all} responses {}, expected {:.1}",
                measure.name(),
                self.kind.name(),
                compared.expected
            )
        })
    }

    /// Sums of all parts but one interval.
    fn without(&self, interval: Option<usize>) -> Sums {
        let mut rest = Sums::default();
        self.before.into_iter().for_each(|part| rest.add(part));
        let parts = self.intervals.iter().enumerate();
        let parts = parts.filter(|(part, _)| Some(*part) != interval);
        parts.for_each(|(_, part)| rest.add(part));
        rest
    }

    /// Whether the latest starts are late too.
    fn goes_on(&self, measure: Measure, route: Option<u64>) -> bool {
        let mut latest = Sums::default();
        for (n, part) in self.intervals.iter().rev().enumerate() {
            latest.add(part);
            let Tally { bad, all } = compare(measure, &latest, &self.whole, route).target;
            if n + 1 >= LATE_INTERVALS && all >= LATE_KNOWN {
                return bad as f64 >= measure.rate_min(0) / 2.0 * all as f64;
            }
        }
        true
    }

    /// Number of failures of the target version on a route, or on all, and the number that is expected of
    /// it: at least that of the other version in the same intervals, of which at most `excused_max`
    /// counts. An interval with many failures is left out.
    fn failures(&self, route: Option<u64>, excused_max: f64) -> (f64, f64) {
        let pooled = compare(Measure::Failed, &self.whole, &self.whole, route);
        let rate = pooled.expected / pooled.target.all.max(1) as f64;
        let parts = self
            .before
            .into_iter()
            .chain(self.intervals.iter().copied());
        let parts = parts.map(|part| compare(Measure::Failed, part, part, route));
        let mut parts: Vec<_> = parts.collect();
        let worst = parts[self.before.iter().len()..]
            .iter()
            .map(|part| part.target.bad)
            .max()
            .filter(|bad| *bad >= CLUSTER_MIN);
        if let Some(worst) = worst
            && let Some(index) = parts.iter().rposition(|part| part.target.bad == worst)
        {
            parts.remove(index);
        }
        let bad = parts.iter().map(|part| part.target.bad).sum::<u64>() as f64;
        let expected = parts.iter().map(|part| {
            let all = part.target.all as f64;
            part.expected.max(rate * all).min(excused_max * all)
        });
        (bad, expected.sum())
    }

    /// Whether the target version does worse than expected over a span of time, though not clearly. Of the
    /// failure rate of the other version, at most `excused_max` is expected of the target version.
    pub(super) fn is_suspicious(&self, excused_max: f64) -> bool {
        let sums = &self.whole;
        let routes = sums.0.keys().copied().map(Some);
        for route in [None].into_iter().chain(routes) {
            let is_whole = self.kind != SpanKind::Lately;
            let (bad, expected) = self.failures(route, excused_max);
            if bad > unsuspicious(expected, is_whole) {
                return true;
            }
            for measure in [Measure::LateMedian, Measure::LateDecile] {
                let late = compare(measure, sums, sums, route);
                let usual = late.target.all as f64 * measure.rate_min(0) / 2.0;
                let expected = usual.max(BAD_EXCESS * late.expected);
                let bad = late.target.bad as f64;
                if bad > unsuspicious(expected, is_whole) && self.goes_on(measure, route) {
                    return true;
                }
            }
        }
        false
    }
}

/// Compares the versions on one route, or on all together. The mix of routes may differ between the
/// versions, so the expected numbers are computed by route. `bounds` are the sums from which it is known
/// which starts are late.
pub(super) fn compare(
    measure: Measure,
    sums: &Sums,
    bounds: &Sums,
    route: Option<u64>,
) -> Comparison {
    let mut by_route = Vec::new();
    let mut all_other = Tally::default();
    for (of, pair) in &sums.0 {
        let bound = bounds.0.get(of).and_then(|pair| measure.bound(&pair.other));
        let other = measure.tally(&pair.other, bound);
        all_other.add(other);
        if route.is_none_or(|route| route == *of) {
            by_route.push((measure.tally(&pair.target, bound), other));
        }
    }
    let mut compared = Comparison::default();
    for (target, other) in by_route {
        let base = if other.all >= BASE_MIN {
            other
        } else {
            all_other
        };
        compared.target.add(target);
        compared.expected += target.all as f64 * base.rate();
        compared.expected_max += target.all as f64 * base.bound(BASE_DEVIATIONS);
    }
    compared
}

/// Number of bad responses up to which a version that is expected to have `expected` shows no fault.
/// `is_whole` states whether they are those of the whole order; short spans are many.
fn unsuspicious(expected: f64, is_whole: bool) -> f64 {
    match is_whole {
        true => expected + 2.0 * expected.sqrt() + 1.0,
        false => expected + 3.0 * expected.sqrt() + 2.0,
    }
}
