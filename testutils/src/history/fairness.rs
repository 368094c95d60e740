//! Checks of fairness: how evenly workspaces (customers) are served while their requests wait at
//! the same time.
//!
//! Only workspaces that are backlogged, that is have a request waiting, compete for capacity, so
//! service is compared only over such times.

use std::collections::BTreeMap;

use super::CallRecord;
use super::Interval;
use super::Intervals;
use super::Violation;

/// Service that a workspace received at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSample {
    /// When it was received, microseconds.
    pub at: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Cost in the unit of the service, such as tokens.
    pub cost: u64,
}

/// Times at which each workspace was backlogged, that is had at least one request waiting, by the
/// name of the workspace.
///
/// `started` gives the time at which a backend server started a call, according to the server's
/// records. A call that no server started waited until its end.
pub fn backlogged(
    calls: &[CallRecord],
    started: impl Fn(&CallRecord) -> Option<u64>,
) -> BTreeMap<String, Intervals> {
    let mut spans: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for call in calls {
        let span = Interval {
            from: call.sent,
            to: started(call).unwrap_or(call.end),
        };
        spans.entry(call.workspace.clone()).or_default().push(span);
    }
    spans
        .into_iter()
        .map(|(workspace, spans)| (workspace, Intervals::union(spans)))
        .collect()
}

/// Largest difference of service between two workspaces over any span of time inside `window` in
/// which both were backlogged throughout.
///
/// Let D be the difference of the service that the two have received so far. The gap of a span is D
/// at its end minus D at its start, so the largest gap is the maximum of D minus its minimum.
pub fn largest_service_gap(
    samples: &[ServiceSample],
    backlogged: &BTreeMap<String, Intervals>,
    window: Interval,
) -> u64 {
    let mut sorted: Vec<&ServiceSample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.at);
    let names: Vec<&String> = backlogged.keys().collect();
    let mut largest = 0;
    for (i, one) in names.iter().enumerate() {
        for other in &names[i + 1..] {
            let both = backlogged[*one].intersection(&backlogged[*other]);
            for span in both.within(window).spans() {
                largest = largest.max(range_of_difference(&sorted, one, other, *span));
            }
        }
    }
    largest
}

/// Maximum minus minimum of the difference D of [`largest_service_gap`] over `span`.
fn range_of_difference(sorted: &[&ServiceSample], one: &str, other: &str, span: Interval) -> u64 {
    let first = sorted.partition_point(|sample| sample.at < span.from);
    let (mut difference, mut lowest, mut highest) = (0_i64, 0_i64, 0_i64);
    for sample in &sorted[first..] {
        if sample.at >= span.to {
            break;
        }
        let cost = i64::try_from(sample.cost).unwrap_or(i64::MAX);
        if sample.workspace == one {
            difference += cost;
        } else if sample.workspace == other {
            difference -= cost;
        }
        lowest = lowest.min(difference);
        highest = highest.max(difference);
    }
    highest.abs_diff(lowest)
}

/// Finds workspaces that were backlogged for more than `limit` microseconds without any service.
pub fn check_no_starvation(
    samples: &[ServiceSample],
    backlogged: &BTreeMap<String, Intervals>,
    limit: u64,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (workspace, intervals) in backlogged {
        let mut served: Vec<u64> = samples
            .iter()
            .filter(|sample| sample.workspace == *workspace)
            .map(|sample| sample.at)
            .collect();
        served.sort_unstable();
        for span in intervals.spans() {
            let inside = served
                .iter()
                .filter(|at| span.from <= **at && **at < span.to);
            let mut since = span.from;
            for at in inside.copied().chain([span.to]) {
                if at - since > limit {
                    violations.push(Violation::Starved {
                        workspace: workspace.clone(),
                        from: since,
                        to: at,
                    });
                }
                since = at;
            }
        }
    }
    violations
}
