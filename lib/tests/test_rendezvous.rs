//! Rendezvous hashing: the choice of a host for a key from a set of candidates.

use cardamomshift_lib::host::rendezvous;
use cardamomshift_lib::id::HostId;

#[test]
fn removed_candidate_moves_only_its_own_keys() {
    let hosts: Vec<_> = (1..=9).map(HostId).collect();
    let removed = hosts[4];
    for key in 0..1_000 {
        let before = rendezvous(hosts.iter().copied(), key);
        let after = rendezvous(hosts.iter().copied().filter(|h| *h != removed), key);
        if before == Some(removed) {
            assert_ne!(after, Some(removed));
        } else {
            assert_eq!(after, before);
        }
    }
}

#[test]
fn no_candidates_give_no_host() {
    assert_eq!(rendezvous([], 1), None);
}
