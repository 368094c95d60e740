//! Choice of the backend server for a request to a plain service.
//!
//! Answers short requests that occupy a slot each: the least occupied server gets the next one, and
//! a server in the host's own failure domain goes before others while it is free, since bytes
//! between domains cost.

use super::servers::ServerKey;

/// A server that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Hash of its instance.
    pub hash: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests of this host without a final answer.
    pub requests: u32,
    /// Whether it stands in the failure domain of this host.
    pub is_local: bool,
    /// Whether it fails many requests.
    pub is_failing: bool,
}

/// The servers that do not fail, or all if every one does.
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

/// Chooses the server for a request to a plain service.
pub fn select_server(candidates: &[Candidate]) -> Option<ServerKey> {
    let usable = healthy_candidates(candidates);
    // A server of the own domain counts as free until half of its slots are taken by this host.
    let least = usable.iter().min_by_key(|c| {
        let is_local_and_free = c.is_local && c.requests < c.slots.div_ceil(2);
        (!is_local_and_free, c.requests, !c.is_local, c.hash)
    });
    least.map(|c| c.key)
}
