//! Counts and latency percentiles of recorded calls, per workspace.

use std::collections::BTreeMap;

use cardamomshift_testutils::history::CallOutcome;
use cardamomshift_testutils::history::CallRecord;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant decimal digits of the latency histogram.
const DIGITS: u8 = 3;

/// Latency percentiles, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of recorded latencies.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest latency.
    pub max: f64,
}

impl Latency {
    /// Computes the percentiles of latencies in microseconds.
    pub fn from_micros(micros: impl IntoIterator<Item = u64>) -> Self {
        let mut histogram = Histogram::<u64>::new(DIGITS).expect("number of digits is valid");
        for value in micros {
            histogram.record(value).expect("histogram resizes itself");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1e3,
        }
    }
}

/// Summary of the calls of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallSummary {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tokens of complete responses.
    pub tokens: u64,
    /// Time to the first byte of complete responses.
    pub first_byte: Latency,
    /// Time to the end of complete responses.
    #[serde(rename = "whole")]
    pub response_time: Latency,
}

/// Summarizes the calls of each workspace.
pub fn summarize(calls: &[CallRecord]) -> BTreeMap<String, CallSummary> {
    let mut calls_by_workspace: BTreeMap<String, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        let workspace = call.workspace.clone();
        calls_by_workspace.entry(workspace).or_default().push(call);
    }
    calls_by_workspace
        .into_iter()
        .map(|(workspace, calls)| (workspace, summarize_calls(&calls)))
        .collect()
}

fn summarize_calls(calls: &[&CallRecord]) -> CallSummary {
    let mut outcomes = BTreeMap::new();
    for call in calls {
        *outcomes.entry(outcome_name(&call.outcome)).or_default() += 1;
    }
    let complete_calls = || calls.iter().filter(|c| c.outcome == CallOutcome::Complete);
    CallSummary {
        calls: calls.len() as u64,
        outcomes,
        tokens: complete_calls().map(|call| u64::from(call.tokens)).sum(),
        first_byte: Latency::from_micros(
            complete_calls().filter_map(|c| Some(c.first_byte? - c.sent)),
        ),
        response_time: Latency::from_micros(complete_calls().map(|call| call.end - call.sent)),
    }
}

/// Name of an outcome in summaries, which are printed and written as JSON.
fn outcome_name(outcome: &CallOutcome) -> String {
    match outcome {
        CallOutcome::Complete => "whole".to_owned(),
        CallOutcome::Mismatched => "foreign".to_owned(),
        CallOutcome::Partial => "partial".to_owned(),
        CallOutcome::NotRun(code) => format!("not_run {code}"),
        CallOutcome::Unknown(code) => format!("unknown {code}"),
        CallOutcome::Rejected(status) => format!("rejected {status}"),
        CallOutcome::Broken => "broken".to_owned(),
        CallOutcome::Unfinished => "unfinished".to_owned(),
    }
}
