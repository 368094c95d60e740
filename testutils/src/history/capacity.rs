//! Load of backend servers: overload, starts after a take-out, and idle capacity.

use super::Interval;
use super::Intervals;
use super::Violation;
use crate::model_engine::EngineRecord;
use crate::model_engine::OverloadViolation;

/// Finds admissions above what a cold engine bore, from what it admitted and what made it fall.
pub fn check_cold_limit(
    records: &[EngineRecord],
    overloads: &[OverloadViolation],
    limit: usize,
) -> Vec<Violation> {
    let admitted = records
        .iter()
        .filter(|record| record.cold && record.batch > limit)
        .map(|record| (record.start, record.batch));
    let refused = overloads
        .iter()
        .map(|overload| (overload.at, overload.running));
    admitted
        .chain(refused)
        .map(|(at, running)| Violation::ColdOverload { at, running, limit })
        .collect()
}

/// A start of a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestStart {
    /// When it started.
    pub at: u64,
    /// Name of the failure domain or backend server that it started in.
    pub location: String,
}

/// Finds starts in `location` later than `grace` microseconds after its take-out was accepted and
/// before its return was asked for.
pub fn check_starts_while_out_of_service(
    starts: &[RequestStart],
    location: &str,
    out: Interval,
    grace: u64,
) -> Vec<Violation> {
    starts
        .iter()
        .filter(|start| start.location == location)
        .filter(|start| start.at > out.from + grace && start.at < out.to)
        .map(|start| Violation::StartWhileOutOfService {
            at: start.at,
            after: start.at - out.from,
        })
        .collect()
}

/// Share of `slots` that was in use over the time of `waiting`, from 0 to 1; none if nothing
/// waited.
///
/// `busy` holds one span for each request of one server, and `used` gives the slots that so many
/// requests at once use: a server with more requests than it bears does less than a full one.
pub fn slot_utilisation(
    busy: &[Interval],
    slots: usize,
    waiting: &Intervals,
    used: impl Fn(usize) -> f64,
) -> Option<f64> {
    let total = waiting.length() as f64 * slots as f64;
    if total == 0.0 {
        return None;
    }
    let mut edges: Vec<(u64, bool)> = Vec::with_capacity(busy.len() * 2);
    for span in busy {
        edges.push((span.from, true));
        edges.push((span.to, false));
    }
    edges.sort_unstable();
    let mut sum = 0.0;
    let mut running = 0_usize;
    let mut since = 0;
    for (at, starts) in edges {
        if running > 0 && at > since {
            let part = waiting.within(Interval {
                from: since,
                to: at,
            });
            sum += part.length() as f64 * used(running);
        }
        since = at;
        running = if starts { running + 1 } else { running - 1 };
    }
    Some(sum / total)
}
