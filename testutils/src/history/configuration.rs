//! Check that accepted configuration changes come into force on every host and stay in force. A
//! change is in force on a host while the host applies it to requests.

use std::collections::BTreeMap;

use super::Violation;

/// Whether one configuration change was in force on one host, as a caller observed it with one
/// request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeObservation {
    /// Index of the change, in the order of acceptance.
    pub change: usize,
    /// Name of the host.
    pub host: String,
    /// When the caller sent the request, microseconds.
    pub sent: u64,
    /// When the response arrived, microseconds.
    pub received: u64,
    /// Whether the response showed the change in force.
    pub in_force: bool,
}

/// Measures how long each change took to come into force on each host, and finds changes that never
/// were in force or were reverted.
///
/// `accepted` holds the time of acceptance of each change. Every change must come into force on every
/// host in `hosts`. The first result holds the delays from acceptance to the first response that
/// showed the change in force, in microseconds, for each pair of change and host that has one.
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
                .filter(|e| e.in_force)
                .map(|e| e.received)
                .min()
            else {
                violations.push(Violation::NeverInForce {
                    change,
                    host: (*host).to_owned(),
                });
                continue;
            };
            delays.push(first.saturating_sub(*accepted));
            // Requests that overlap may observe the change in either order, so only a request sent
            // after the first response with the change in force can show a reversion.
            let reverted = observations.iter().find(|e| !e.in_force && e.sent > first);
            violations.extend(reverted.map(|observation| Violation::Reverted {
                change,
                host: (*host).to_owned(),
                at: observation.received,
            }));
        }
    }
    (delays, violations)
}
