//! Check that operations run at most once and that their callers are told correctly whether they
//! ran.
//!
//! It compares the runs that the backend servers recorded with the outcomes that the callers got.

use std::collections::BTreeMap;

use super::CallOutcome;
use super::CallRecord;
use super::Violation;

/// Finds operations that ran more than once, operations that ran although every call of them was
/// refused with "not run", and operations that never ran although a call got a complete response.
///
/// `runs` holds the operation's name for every run that a backend server recorded. `calls` must hold
/// every call of these operations: a missing one could make an operation look falsely refused.
pub fn check_at_most_once<'a>(
    runs: impl IntoIterator<Item = &'a str>,
    calls: &[CallRecord],
) -> Vec<Violation> {
    let mut times: BTreeMap<&str, usize> = BTreeMap::new();
    for operation in runs {
        *times.entry(operation).or_default() += 1;
    }
    let mut outcomes_by_operation: BTreeMap<&str, Vec<&CallOutcome>> = BTreeMap::new();
    for call in calls {
        outcomes_by_operation
            .entry(&call.operation)
            .or_default()
            .push(&call.outcome);
    }
    let mut violations: Vec<_> = times
        .iter()
        .filter(|(_, times)| **times > 1)
        .map(|(operation, times)| Violation::SecondRun {
            operation: (*operation).to_owned(),
            times: *times,
        })
        .collect();
    for (operation, outcomes) in outcomes_by_operation {
        let ran = times.contains_key(operation);
        let operation = operation.to_owned();
        let not_run = |outcome: &&CallOutcome| matches!(outcome, CallOutcome::NotRun(_));
        if ran && outcomes.iter().all(not_run) {
            violations.push(Violation::FalseNotRun { operation });
        } else if !ran && outcomes.contains(&&CallOutcome::Complete) {
            violations.push(Violation::ResponseWithoutRun { operation });
        }
    }
    violations
}
