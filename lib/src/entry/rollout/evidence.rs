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

use super::comparison::Measure;
use super::comparison::Span;
use super::comparison::SpanKind;
use super::comparison::compare;
use super::counts::Pair;
use super::counts::Sums;
use super::message::RolloutReport;
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

/// Largest failure rate of the other version that excuses the same rate of the target version, unless
/// there is enough evidence of quiet times. Servers of the other version may have faults of their own.
const EXCUSED_RATE_MAX: f64 = 0.03;

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
    spans.iter().any(|span| span.is_suspicious(excused_max))
}
