//! Selects the backend server for a request to a plain service, one that runs no model.
//!
//! Such requests are short and occupy one slot of the server each. A server that is full rejects them.
//!
//! [`select_server`] sends the next request to the server with the fewest requests of this host, and
//! prefers a server in the host's own failure domain (zone) while it has free slots, since traffic
//! between domains has a cost.
//!
//! [`select_by_evidence`] addresses many hosts with few requests each, for example 62 hosts with 352
//! requests of 30 ms a second at four servers of six slots. Such a host has no request in flight most
//! of the time, so its own requests show nothing of the load that all hosts together put on a server,
//! and any fixed order of the servers sends all hosts to the same one. What a host knows of a
//! server are its rejections and the times of its responses:
//!
//! - Among the servers with the fewest requests of this host, the choice is random. The weight of a
//!   server is the slots that this host does not use, over the usual time of its responses, times the
//!   fraction of requests that it accepts.
//! - A server in the host's own failure domain is preferred, but less so the more requests the servers
//!   there reject.

use std::time::Duration;

use super::servers::ServerKey;
use crate::time::Timestamp;

/// Half-life of the weight that a response has in the fraction of rejected requests. A host of 62 sends
/// about four requests to a server in this time.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of accepted requests that is assumed without any response, so that a single rejection does
/// not count as a full server.
const ACCEPTED_PRIOR: f64 = 2.0;
/// Weight of a response in the usual time of responses.
const TIME_WEIGHT: f64 = 0.2;
/// A response counts as at most this multiple of the usual time, so that a single stall does not make
/// a server seem slow for long.
const TIME_FACTOR_MAX: u32 = 4;
/// Fraction of requests rejected by servers of the own failure domain above which they are no longer
/// preferred at all. Below it the preference shrinks in proportion.
const REJECTED_FRACTION_MAX: f64 = 0.5;

/// What the responses of a server have shown to this host of its free slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotEvidence {
    /// Weight of answered requests at the time `updated`.
    accepted: f64,
    /// Weight of rejected requests at the time `updated`.
    rejected: f64,
    /// Usual time from sending a request to the end of its response.
    usual_time: Option<Duration>,
    updated: Timestamp,
}

impl SlotEvidence {
    fn decay(&mut self, now: Timestamp) {
        let age = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = (-age).exp2();
        self.accepted *= factor;
        self.rejected *= factor;
        self.updated = now;
    }

    /// Counts a request that was answered `elapsed` after it was sent.
    pub fn on_answered(&mut self, now: Timestamp, elapsed: Duration) {
        self.decay(now);
        self.accepted += 1.0;
        self.usual_time = Some(match self.usual_time {
            Some(usual) => {
                let elapsed = elapsed.min(usual * TIME_FACTOR_MAX);
                usual.mul_f64(1.0 - TIME_WEIGHT) + elapsed.mul_f64(TIME_WEIGHT)
            }
            None => elapsed,
        });
    }

    /// Counts a request that the server rejected without running it.
    pub fn on_rejected(&mut self, now: Timestamp) {
        self.decay(now);
        self.rejected += 1.0;
    }

    /// Fraction of recent requests that the server rejected, 0 if nothing is known.
    pub fn rejected_fraction(&self, now: Timestamp) -> f64 {
        let mut at_now = *self;
        at_now.decay(now);
        at_now.rejected / (at_now.accepted + at_now.rejected + ACCEPTED_PRIOR)
    }

    /// Usual time from sending a request to the end of its response, `None` if nothing is known.
    pub fn usual_time(&self) -> Option<Duration> {
        self.usual_time
    }
}

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the server.
    pub key: ServerKey,
    /// Hash of the server's instance identifier.
    pub hash: u64,
    /// Most requests that the server runs at the same time.
    pub slots: u32,
    /// Requests of this host to the server that have no final response yet.
    pub requests: u32,
    /// Whether the server is in the failure domain of this host.
    pub is_local: bool,
    /// Whether the server fails far more requests than is usual for its service.
    pub is_failing: bool,
    /// Fraction of recent requests of this host that the server rejected.
    pub rejected_fraction: f64,
    /// Usual time of the server's responses to this host, `None` if there were none.
    pub usual_time: Option<Duration>,
}

impl Candidate {
    /// Whether the server is in the own failure domain and seems to have free slots. Other hosts use
    /// it too, so it counts as free only until this host occupies half of its slots.
    fn is_local_and_free(&self) -> bool {
        self.is_local && self.requests < self.slots.div_ceil(2)
    }

    /// Relative number of requests that the server can take. `assumed_time` is used if nothing is known
    /// of its responses.
    fn weight(&self, assumed_time: Duration) -> f64 {
        // A server whose slots this host occupies alone may still be the only one.
        let free = self.slots.saturating_sub(self.requests).max(1);
        let time = self.usual_time.unwrap_or(assumed_time);
        let time = time.max(Duration::from_millis(1)).as_secs_f64();
        f64::from(free) * (1.0 - self.rejected_fraction) / time
    }
}

/// The candidates that are not failing, or all candidates if every one of them is failing.
pub fn healthy_candidates(candidates: &[Candidate]) -> Vec<Candidate> {
    let healthy_candidates: Vec<_> = candidates
        .iter()
        .filter(|c| !c.is_failing)
        .copied()
        .collect();
    if healthy_candidates.is_empty() {
        return candidates.to_vec();
    }
    healthy_candidates
}

/// Selects the server for a request to a plain service by the requests of this host alone, `None` if
/// there are no candidates.
pub fn select_server(candidates: &[Candidate]) -> Option<ServerKey> {
    let usable = healthy_candidates(candidates);
    let least = usable
        .iter()
        .min_by_key(|c| (!c.is_local_and_free(), c.requests, !c.is_local, c.hash));
    least.map(|c| c.key)
}

/// Selects the server for a request to a plain service by what its responses have shown, `None` if
/// there are no candidates. `points` are random numbers from 0 to 1, without 1: the first decides on
/// the failure domain, the second on the server.
pub fn select_by_evidence(candidates: &[Candidate], points: [f64; 2]) -> Option<ServerKey> {
    let usable = healthy_candidates(candidates);
    let times: Vec<_> = usable.iter().filter_map(|c| c.usual_time).collect();
    let assumed_time = match u32::try_from(times.len()) {
        Ok(count) if count > 0 => times.iter().sum::<Duration>() / count,
        _ => Duration::ZERO,
    };
    let weighted = usable.iter().map(|c| (*c, c.weight(assumed_time)));
    let (local, others): (Vec<_>, Vec<_>) = weighted.partition(|(c, _)| c.is_local_and_free());
    let sum = |group: &[(Candidate, f64)]| group.iter().map(|(_, weight)| weight).sum::<f64>();
    let rejected = local.iter().map(|(c, _)| c.rejected_fraction);
    // Without a local server the others are not held back.
    let openness = rejected.reduce(f64::min).unwrap_or(1.0) / REJECTED_FRACTION_MAX;
    let others_sum = sum(&others) * openness.min(1.0);
    let is_local = points[0] * (sum(&local) + others_sum) >= others_sum;
    let group = match is_local && !local.is_empty() {
        true => local,
        false => others,
    };
    pick_least_used(group, points[1])
}

/// Picks one of the servers with the fewest requests of this host at random by weight.
fn pick_least_used(mut group: Vec<(Candidate, f64)>, point: f64) -> Option<ServerKey> {
    let least = group.iter().map(|(c, _)| c.requests).min()?;
    group.retain(|(c, _)| c.requests == least);
    // The order in which the servers became known must not matter.
    group.sort_by_key(|(c, _)| c.hash);
    let mut left = point * group.iter().map(|(_, weight)| weight).sum::<f64>();
    let picked = group.iter().find(|(_, weight)| {
        left -= weight;
        left < 0.0
    });
    picked.or(group.last()).map(|(c, _)| c.key)
}
