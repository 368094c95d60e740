//! Checks of the load on backend servers: overload of cold servers, starts while out of service,
//! and capacity that was idle while requests waited.

use super::Interval;
use super::Intervals;
use super::Violation;
use crate::model_engine::EngineRecord;
use crate::model_engine::OverloadViolation;

/// Finds requests that brought a cold engine above `limit` requests at once.
///
/// A cold engine (one that has not completed enough requests to reach its full capacity) crashes
/// above its limit. `records` holds the requests that the engine admitted, `overloads` those that
/// it did not admit because they crashed it.
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

/// The start of a request on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestStart {
    /// When it started, microseconds.
    pub at: u64,
    /// Name of the failure domain or backend server where it started.
    pub location: String,
}

/// Finds starts in `location` while it was out of service.
///
/// `out` runs from the acceptance of the command that takes the location out of service to the
/// sending of the command that brings it back. Starts in the first `grace` microseconds are
/// allowed.
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

/// Share of a server's `slots` (requests that it can run at once) in use, from 0 to 1, averaged
/// over the time in `waiting`. None if `waiting` is empty.
///
/// `waiting` is the time in which requests waited: only then is an unused slot a loss. `busy` holds
/// one span for each request that the server ran. `used` maps the number of requests running at
/// once to the slots that they use effectively, as an overloaded server does less work than a full
/// one.
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
