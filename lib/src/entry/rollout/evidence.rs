//! Compares the version that is rolled out with the one that it replaces.
//!
//! The load: a version gets some requests a second of each of a few routes, and may fail a tenth of them
//! or answer several times slower, on all routes or on one, from its start or only later. Meanwhile
//! servers of either version crash, domains are cut off, and bursts make all of them slow. Whatever
//! happens to both versions at the same time is not attributed to one.
//!
//! Reports are sums since the order. They are split into intervals, so that a version that turns bad late
//! is compared over recent time too, and so that the failures of a single moment, as of a server that
//! crashes with a dozen requests, do not decide.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::message::RolloutReport;
use super::message::StartTimes;
use crate::time::Timestamp;

/// Length of the intervals into which the outcomes are split.
const INTERVAL: Duration = Duration::from_millis(500);
/// Number of single intervals that are kept. Older ones are added up.
const INTERVALS_MAX: usize = 32;
/// Numbers of latest intervals over which the versions are compared, besides the whole order. The shorter
/// span shows a version that fails most requests from some moment on, the longer one a version that fails
/// a tenth of them.
const SPANS: [usize; 2] = [4, 9];
/// Number of latest intervals in which a version that is used has responded.
const FRESH_INTERVALS: usize = 4;
/// Responses of the target version in the latest intervals without which it is not used any more.
const FRESH_MIN: u64 = 3;
/// Age of a run's first report from which its sums are no event of the present.
const FIRST_AGE_MAX: Duration = Duration::from_secs(1);
/// Age of the last report of a host from which it no longer counts as running.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

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
/// Failure rate of the other version up to which an interval counts as quiet.
const QUIET_RATE: f64 = 0.02;
/// Largest failure rate of the other version that excuses the same rate of the target version, unless
/// there is enough evidence of quiet times. Servers of the other version may have faults of their own.
const EXCUSED_RATE_MAX: f64 = 0.03;

/// Number of latest intervals in which late starts have to go on: the first requests find cold servers.
const LATE_INTERVALS: usize = 3;
/// Least number of responses that show whether they do; more intervals are taken until there are so many.
const LATE_KNOWN: u64 = 5;
/// Bad responses of a single interval that are left out where slight signs of a fault are looked for.
const CLUSTER_MIN: u64 = 3;

/// Responses that prove a version without failures, and the number for each failure more than expected.
const PROOF_MIN: f64 = 40.0;
const PROOF_PER_FAILURE: f64 = 20.0;
/// Responses that prove a route, unless it has few requests; then one of this number of requests.
const PROOF_ROUTE: u64 = 30;
const PROOF_ROUTE_PART: u64 = 10;

/// What the evidence says of the version that is rolled out.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too little is known, or the version does worse than the other one but not clearly.
    Unclear,
    /// Enough is known, and there is no sign of a fault.
    Sound,
    /// The version is clearly worse than the other one.
    Bad {
        /// Hash of the route on which it is worse, `None` if on all of them together.
        route: Option<u64>,
        /// What was compared, with the numbers, for the log.
        reason: String,
    },
}

/// Sums of outcomes.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u64,
    failed: u64,
    started: StartTimes,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.started.merge(&other.started);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            failed: self.failed.saturating_sub(earlier.failed),
            started: self.started.since(&earlier.started),
        }
    }

    fn responses(&self) -> u64 {
        self.failed + self.started.total()
    }
}

/// Outcomes of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    other: Counts,
    target: Counts,
}

/// Outcomes by route.
#[derive(Clone, Debug, Default)]
struct Sums(BTreeMap<u64, Pair>);

impl Sums {
    fn add(&mut self, more: &Self) {
        for (route, pair) in &more.0 {
            let sum = self.0.entry(*route).or_default();
            sum.other.add(&pair.other);
            sum.target.add(&pair.target);
        }
    }

    fn add_report(&mut self, report: &RolloutReport) {
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

    fn since(&self, earlier: &Self) -> Self {
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

    fn total(&self) -> Pair {
        let mut total = Pair::default();
        for pair in self.0.values() {
            total.other.add(&pair.other);
            total.target.add(&pair.target);
        }
        total
    }

    fn is_quiet(&self) -> bool {
        let other = self.total().other;
        other.failed as f64 <= QUIET_RATE * other.responses() as f64
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Measure {
    Failed,
    LateMedian,
    LateDecile,
}

impl Measure {
    const ALL: [Self; 3] = [Self::Failed, Self::LateMedian, Self::LateDecile];

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
struct Tally {
    bad: u64,
    all: u64,
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
struct Comparison {
    target: Tally,
    /// Number of bad responses at the rate of the other version.
    expected: f64,
    /// The same at the upper bound of that rate.
    expected_max: f64,
}

/// Which time is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SpanKind {
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
struct Span<'a> {
    kind: SpanKind,
    before: Option<&'a Sums>,
    intervals: Vec<&'a Sums>,
    /// Sums of all of them.
    whole: Sums,
}

impl<'a> Span<'a> {
    fn new(kind: SpanKind, before: Option<&'a Sums>, intervals: Vec<&'a Sums>) -> Self {
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
    fn fault(&self, measure: Measure, route: Option<u64>) -> Option<String> {
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
}

/// Compares the versions on one route, or on all together. The mix of routes may differ between the
/// versions, so the expected numbers are computed by route. `bounds` are the sums from which it is known
/// which starts are late.
fn compare(measure: Measure, sums: &Sums, bounds: &Sums, route: Option<u64>) -> Comparison {
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

/// The last report of a run of a host.
#[derive(Clone, Debug)]
struct HostReport {
    received_at: Timestamp,
    report: RolloutReport,
}

/// Reports of all hosts on an order.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// By host, and incarnation of its process.
    reports: BTreeMap<(u64, u64), HostReport>,
    /// Sums of all finished intervals and of `before`.
    finished: Sums,
    /// Outcomes before the intervals.
    before: Sums,
    /// The finished intervals.
    intervals: VecDeque<Sums>,
    /// When the current interval began.
    interval_since: Option<Timestamp>,
}

impl Evidence {
    /// Takes in the report of a host. `from` identifies the host. Reports that are older than the last
    /// one of the same run of the host have no effect.
    pub fn on_report(&mut self, now: Timestamp, from: u64, report: RolloutReport) {
        let key = (from, report.incarnation);
        let known = self.reports.get(&key);
        if known.is_some_and(|known| known.report.age >= report.age) {
            return;
        }
        if known.is_none() && report.age > FIRST_AGE_MAX {
            // This conductor has taken over, or the host was cut off.
            self.before.add_report(&report);
            self.finished.add_report(&report);
        }
        let received_at = now;
        self.reports.insert(
            key,
            HostReport {
                received_at,
                report,
            },
        );
    }

    /// What the reports say of the version.
    pub fn verdict(&mut self, now: Timestamp) -> Verdict {
        let whole = self.whole();
        let current = whole.since(&self.finished);
        self.finish_interval(now, &whole, &current);
        let is_finished = self.interval_since == Some(now);
        let current = (!is_finished).then_some(&current);
        let spans = self.spans(current);
        let routes: Vec<_> = [None]
            .into_iter()
            .chain(whole.0.keys().copied().map(Some))
            .collect();
        for span in &spans {
            for measure in Measure::ALL {
                for route in &routes {
                    if let Some(reason) = span.fault(measure, *route) {
                        let route = *route;
                        return Verdict::Bad { route, reason };
                    }
                }
            }
        }
        let is_proven = self.is_proven(&spans, &whole);
        if is_proven && self.is_fresh(current) {
            return Verdict::Sound;
        }
        Verdict::Unclear
    }

    /// Whether the target version has responded without any sign of a fault so far, however few
    /// responses there are.
    pub fn is_unsuspicious(&self) -> bool {
        let current = self.whole().since(&self.finished);
        let spans = self.spans(Some(&current));
        !is_any_suspicious(&spans)
    }

    /// Whether no host that has reported lately has requests running at servers of other versions.
    pub fn is_old_idle(&self, now: Timestamp) -> bool {
        let mut live = self.live(now).peekable();
        live.peek().is_some() && live.all(|(_, host)| host.report.running_old == 0)
    }

    /// Whether at least half of all hosts that have ever reported do so now. Otherwise this host may be
    /// cut off from the others.
    pub fn is_connected(&self, now: Timestamp) -> bool {
        let count = |hosts: Vec<u64>| {
            let mut hosts = hosts;
            hosts.dedup();
            hosts.len()
        };
        let known = count(self.reports.keys().map(|(from, _)| *from).collect());
        let live = count(self.live(now).map(|(from, _)| from).collect());
        live > 0 && 2 * live >= known
    }

    /// Requests for the service that hosts have sent since they learned of the order.
    pub fn requests(&self) -> u64 {
        let reports = self.reports.values();
        reports.map(|host| host.report.requests).sum()
    }

    /// Requests that were sent to servers of the target version.
    pub fn target_requests(&self) -> u64 {
        self.whole().total().target.sent
    }

    /// Responses of servers of the target version.
    pub fn target_responses(&self) -> u64 {
        self.whole().total().target.responses()
    }

    /// The outcomes of both versions, for the log.
    pub fn summary(&self) -> String {
        let Pair { target, other } = self.whole().total();
        format!(
            "target version: {} sent, {} started, {} failed; other versions: {} sent, {} started, {} failed",
            target.sent,
            target.started.total(),
            target.failed,
            other.sent,
            other.started.total(),
            other.failed,
        )
    }

    /// Runs of hosts that have reported lately, with the hosts in order.
    fn live(&self, now: Timestamp) -> impl Iterator<Item = (u64, &HostReport)> {
        let reports = self.reports.iter();
        reports
            .filter(move |(_, host)| now.since(host.received_at) <= REPORT_AGE_MAX)
            .map(|((from, _), host)| (*from, host))
    }

    fn whole(&self) -> Sums {
        let mut sums = Sums::default();
        let reports = self.reports.values();
        reports.for_each(|host| sums.add_report(&host.report));
        sums
    }

    fn finish_interval(&mut self, now: Timestamp, whole: &Sums, current: &Sums) {
        let since = *self.interval_since.get_or_insert(now);
        if now.since(since) < INTERVAL {
            return;
        }
        self.interval_since = Some(now);
        self.intervals.push_back(current.clone());
        self.finished = whole.clone();
        if self.intervals.len() > INTERVALS_MAX
            && let Some(oldest) = self.intervals.pop_front()
        {
            self.before.add(&oldest);
        }
    }

    /// The spans of time that are compared; `current` is the interval that has not been finished.
    fn spans<'a>(&'a self, current: Option<&'a Sums>) -> Vec<Span<'a>> {
        let intervals: Vec<_> = self.intervals.iter().chain(current).collect();
        let since_order = Span::new(SpanKind::Whole, Some(&self.before), intervals.clone());
        let latest = |count: usize| intervals[intervals.len().saturating_sub(count)..].to_vec();
        let lately = SPANS.map(|count| Span::new(SpanKind::Lately, None, latest(count)));
        let quiet = intervals.iter().copied().filter(|sums| sums.is_quiet());
        let quiet = Span::new(SpanKind::Quiet, None, quiet.collect());
        [since_order]
            .into_iter()
            .chain(lately)
            .chain([quiet])
            .collect()
    }

    /// Whether there are enough responses without a sign of a fault.
    fn is_proven(&self, spans: &[Span<'_>], whole: &Sums) -> bool {
        if is_any_suspicious(spans) {
            return false;
        }
        let compared = compare(Measure::Failed, whole, whole, None);
        let failures = (compared.target.bad as f64 - compared.expected).max(0.0);
        if (compared.target.all as f64) < PROOF_MIN + PROOF_PER_FAILURE * failures {
            return false;
        }
        whole.0.values().all(|pair| {
            let requests = pair.other.sent + pair.target.sent;
            let needed = PROOF_ROUTE.min(requests.div_ceil(PROOF_ROUTE_PART));
            pair.target.responses() >= needed
        })
    }

    /// Whether the target version has responded lately.
    fn is_fresh(&self, current: Option<&Sums>) -> bool {
        let latest = self.intervals.iter().rev().take(FRESH_INTERVALS);
        let responses = latest.chain(current);
        let count = responses.map(|sums| sums.total().target.responses());
        count.sum::<u64>() >= FRESH_MIN
    }
}

/// Whether the target version does worse than expected over one of the spans of time.
fn is_any_suspicious(spans: &[Span<'_>]) -> bool {
    let quiet = spans.iter().filter(|span| span.kind == SpanKind::Quiet);
    let known: u64 = quiet
        .map(|span| span.whole.total().target.responses())
        .sum();
    let excused_max = match known as f64 >= PROOF_MIN {
        true => 1.0,
        false => EXCUSED_RATE_MAX,
    };
    spans.iter().any(|span| is_suspicious(span, excused_max))
}

/// Whether the target version does worse than expected over a span of time, though not clearly. Of the
/// failure rate of the other version, at most `excused_max` is expected of the target version.
fn is_suspicious(span: &Span<'_>, excused_max: f64) -> bool {
    let sums = &span.whole;
    let routes = sums.0.keys().copied().map(Some);
    for route in [None].into_iter().chain(routes) {
        let is_whole = span.kind != SpanKind::Lately;
        let (bad, expected) = span.failures(route, excused_max);
        if bad > unsuspicious(expected, is_whole) {
            return true;
        }
        for measure in [Measure::LateMedian, Measure::LateDecile] {
            let late = compare(measure, sums, sums, route);
            let usual = late.target.all as f64 * measure.rate_min(0) / 2.0;
            let expected = usual.max(BAD_EXCESS * late.expected);
            let bad = late.target.bad as f64;
            if bad > unsuspicious(expected, is_whole) && span.goes_on(measure, route) {
                return true;
            }
        }
    }
    false
}
