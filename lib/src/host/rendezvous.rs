//! Rendezvous hashing, with which hosts agree on the host for a key without exchanging messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;

/// Returns the candidate with the highest weight for `key`, `None` without candidates. The weight
/// is a hash of host and key.
///
/// Every host that calls this with the same candidates gets the same result. When a candidate is
/// added or removed, only the keys assigned to that candidate move.
pub fn rendezvous(candidates: impl IntoIterator<Item = HostId>, key: u64) -> Option<HostId> {
    candidates
        .into_iter()
        .max_by_key(|host| (xxh3_64_with_seed(&host.0.to_le_bytes(), key), *host))
}
