//! Service of workspaces that wait at the same time.

use std::collections::BTreeMap;

use super::CallRecord;
use super::Interval;
use super::Intervals;
use super::Violation;

/// Service given to a workspace at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSample {
    /// When it was given.
    pub at: u64,
    /// The workspace.
    pub workspace: String,
    /// Cost, in the unit of the service.
    pub cost: u64,
}

/// When each workspace had a request waiting.
///
/// `started` gives the time when a backend server started a call, from the server's records; a
/// call that none started waited until its end.
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

/// Largest difference of service between two workspaces over any window in which both were
/// backlogged all the time.
///
/// Over such a span the difference D of what the two have got moves; the gap of a window is
/// D at its end less D at its start, so the largest one is the range of D.
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

/// Finds workspaces that were backlogged for `limit` microseconds without any service.
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
