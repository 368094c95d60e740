//! When accepted changes of the configuration were in force.

use std::collections::BTreeMap;

use super::Violation;

/// What a caller saw of one change through one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeObservation {
    /// Number of the change.
    pub change: usize,
    /// Name of the host.
    pub host: String,
    /// When the caller sent its question.
    pub sent: u64,
    /// When the answer arrived.
    pub received: u64,
    /// Whether the answer showed the change in force.
    pub active: bool,
}

/// Gives the time from the acceptance of each change until callers saw it in force on each host,
/// and finds changes that were never in force or not any more.
///
/// `accepted` holds the time of acceptance by the number of the change; every host in `hosts` has
/// to show every change.
pub fn check_configuration(
    accepted: &[u64],
    hosts: &[&str],
    observations: &[ChangeObservation],
) -> (Vec<u64>, Vec<Violation>) {
    let mut by_change_and_host: BTreeMap<(usize, &str), Vec<&ChangeObservation>> = BTreeMap::new();
    for observation in observations {
        let key = (observation.change, observation.host.as_str());
        by_change_and_host.entry(key).or_default().push(observation);
    }
    let mut delays = Vec::new();
    let mut violations = Vec::new();
    for (change, accepted) in accepted.iter().enumerate() {
        for host in hosts {
            let observations = by_change_and_host
                .remove(&(change, *host))
                .unwrap_or_default();
            let Some(first) = observations
                .iter()
                .filter(|e| e.active)
                .map(|e| e.received)
                .min()
            else {
                violations.push(Violation::NeverActive {
                    change,
                    host: (*host).to_owned(),
                });
                continue;
            };
            delays.push(first.saturating_sub(*accepted));
            // Only a question sent after the first sight can show a reversion.
            let reverted = observations.iter().find(|e| !e.active && e.sent > first);
            violations.extend(reverted.map(|observation| Violation::Reverted {
                change,
                host: (*host).to_owned(),
                at: observation.received,
            }));
        }
    }
    (delays, violations)
}
