//! Agreement on a host for a key.

use cardamomshift_lib::host::rendezvous;
use cardamomshift_lib::id::HostId;

#[test]
fn leaving_host_moves_only_its_own_keys() {
    let hosts: Vec<_> = (1..=9).map(HostId).collect();
    let leaving = hosts[4];
    for key in 0..1_000 {
        let before = rendezvous(hosts.iter().copied(), key);
        let after = rendezvous(hosts.iter().copied().filter(|h| *h != leaving), key);
        if before == Some(leaving) {
            assert_ne!(after, Some(leaving));
        } else {
            assert_eq!(after, before);
        }
    }
}

#[test]
fn no_candidate_gives_no_host() {
    assert_eq!(rendezvous([], 1), None);
}
