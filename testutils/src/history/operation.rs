//! Runs of operations against what their callers were told.

use std::collections::BTreeMap;

use super::CallOutcome;
use super::CallRecord;
use super::Violation;

/// Finds operations that ran more than once, that ran although all of their callers were told
/// "not run", and that were answered without a run.
///
/// `runs` names the operation of every run that a backend server recorded. `calls` must hold every
/// call of the operations.
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
