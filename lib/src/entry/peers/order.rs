//! Which hosts to ask for a decision, in order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Timestamp;

/// First time for which a host that did not answer is passed over.
const PASS_OVER_FIRST: Duration = Duration::from_millis(500);
/// Longest such time: each further question costs a request the time of an answer.
const PASS_OVER_MAX: Duration = Duration::from_secs(4);

/// A host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: CompactString,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct KnownPeer {
    hash: u64,
    address: SocketAddr,
    passed_over_until: Timestamp,
    next_pass_over: Duration,
}

/// The hosts of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    own: SocketAddr,
    own_hash: u64,
    known: HashMap<SocketAddr, KnownPeer>,
}

impl Peers {
    /// A host that knows no other.
    pub fn new(own: &Peer) -> Self {
        Self {
            own: own.address,
            own_hash: xxh3_64(own.name.as_bytes()),
            known: HashMap::new(),
        }
    }

    /// These are all hosts. What is known of those that stay is kept.
    pub fn set(&mut self, peers: &[Peer]) {
        let mut known = HashMap::new();
        for peer in peers.iter().filter(|peer| peer.address != self.own) {
            let fresh = || KnownPeer {
                hash: xxh3_64(peer.name.as_bytes()),
                address: peer.address,
                passed_over_until: Timestamp::ZERO,
                next_pass_over: PASS_OVER_FIRST,
            };
            let kept = self.known.remove(&peer.address);
            known.insert(peer.address, kept.unwrap_or_else(fresh));
        }
        self.known = known;
    }

    /// The first host to ask about `subject`, `None` for this host itself.
    pub fn scheduler(&self, now: Timestamp, subject: u64) -> Option<SocketAddr> {
        let weight = |hash: u64| xxh3_64_with_seed(&hash.to_le_bytes(), subject);
        let open = self.known.values().filter(|peer| peer.passed_over_until.has_passed(now));
        let first = open.max_by_key(|peer| (weight(peer.hash), peer.hash))?;
        let is_own = (weight(self.own_hash), self.own_hash) > (weight(first.hash), first.hash);
        (!is_own).then_some(first.address)
    }

    /// A host did not answer. Says whether it was asked until now.
    pub fn on_silent(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        if !peer.passed_over_until.has_passed(now) {
            return false;
        }
        peer.passed_over_until = now + peer.next_pass_over;
        peer.next_pass_over = (peer.next_pass_over * 2).min(PASS_OVER_MAX);
        true
    }

    /// A host answered. Says whether it had been passed over.
    pub fn on_answer(&mut self, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        peer.passed_over_until = Timestamp::ZERO;
        std::mem::replace(&mut peer.next_pass_over, PASS_OVER_FIRST) != PASS_OVER_FIRST
    }
}
