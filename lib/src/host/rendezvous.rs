//! Rendezvous hashing: agreement on a host for a key without messages.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostId;

/// Picks the host with the highest weight for `key`.
///
/// Hosts that see the same candidates pick the same one; a candidate that comes or goes moves
/// only the keys that it gains or loses.
pub fn rendezvous(candidates: impl IntoIterator<Item = HostId>, key: u64) -> Option<HostId> {
    candidates
        .into_iter()
        .max_by_key(|host| (xxh3_64_with_seed(&host.0.to_le_bytes(), key), *host))
}
