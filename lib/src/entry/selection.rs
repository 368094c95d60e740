//! Selects the backend server for a request to a plain service, one that runs no model.
//!
//! Such requests are short and occupy one slot of the server each. The next request goes to the
//! server with the fewest requests of this host. A server in the host's own failure domain (zone)
//! is preferred while it has free slots, since traffic between domains has a cost.

use super::servers::ServerKey;

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

/// Selects the server for a request to a plain service, `None` if there are no candidates.
pub fn select_server(candidates: &[Candidate]) -> Option<ServerKey> {
    let usable = healthy_candidates(candidates);
    // Other hosts use the server too, so it counts as free only until this host occupies half of
    // its slots.
    let least = usable.iter().min_by_key(|c| {
        let is_local_and_free = c.is_local && c.requests < c.slots.div_ceil(2);
        (!is_local_and_free, c.requests, !c.is_local, c.hash)
    });
    least.map(|c| c.key)
}
