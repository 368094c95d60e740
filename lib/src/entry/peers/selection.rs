//! Which hosts to ask for a decision, in order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Timestamp;

/// First time for which a host that did not answer is passed over.
const SILENT_BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// Longest such time: each further question costs a request the time of an answer.
const SILENT_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// How long a host that is going to stop is not asked: it ends within its grace of seconds, and its
/// successor must find the fleet first.
const LEAVING_SKIP_DURATION: Duration = Duration::from_secs(10);
/// Part of the largest host's cores from which a host counts as large.
const LARGE_HOST_CORE_RATIO: f64 = 0.5;
/// Hosts of a failure domain that read from the platform: one may be replaced while another fails.
const MIRROR_HOSTS: usize = 2;
/// Hosts of a failure domain from which on only some of them read from the platform. Below, relays
/// would save less than half of the calls.
const MIRRORED_DOMAIN_HOSTS_MIN: usize = 5;

/// A host of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: CompactString,
    /// Where it takes datagrams, and calls for what it has read of the platform.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its share of processor cores.
    pub cores: f64,
}

#[derive(Clone, Debug)]
struct KnownPeer {
    hash: u64,
    address: SocketAddr,
    is_same_domain: bool,
    cores: f64,
    skipped_until: Timestamp,
    next_backoff: Duration,
}

/// The hosts of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Peer,
    own_hash: u64,
    is_leaving: bool,
    known: HashMap<SocketAddr, KnownPeer>,
}

impl Peers {
    /// A host that knows no other.
    pub fn new(own: &Peer) -> Self {
        Self {
            own: own.clone(),
            own_hash: xxh3_64(own.name.as_bytes()),
            is_leaving: false,
            known: HashMap::new(),
        }
    }

    /// These are all hosts. What is known of those that stay is kept.
    pub fn set(&mut self, peers: &[Peer]) {
        let mut known = HashMap::new();
        for peer in peers.iter().filter(|peer| peer.address != self.own.address) {
            let fresh = || KnownPeer {
                hash: xxh3_64(peer.name.as_bytes()),
                address: peer.address,
                is_same_domain: peer.domain == self.own.domain,
                cores: peer.cores,
                skipped_until: Timestamp::ZERO,
                next_backoff: SILENT_BACKOFF_FIRST,
            };
            let kept = self.known.remove(&peer.address);
            known.insert(peer.address, kept.unwrap_or_else(fresh));
        }
        self.known = known;
    }

    /// The first host to ask about `subject`, `None` for this host itself. Hosts with a small share
    /// of a core do not schedule while larger ones answer.
    pub fn scheduler(&self, now: Timestamp, subject: u64) -> Option<SocketAddr> {
        let available = || {
            let known = self.known.values();
            known.filter(|peer| peer.skipped_until.has_passed(now))
        };
        let own_cores = if self.is_leaving { 0.0 } else { self.own.cores };
        let max_cores = available().map(|peer| peer.cores).fold(own_cores, f64::max);
        let is_large = |cores: f64| cores >= LARGE_HOST_CORE_RATIO * max_cores;
        let first = available()
            .filter(|peer| is_large(peer.cores))
            .max_by_key(|peer| rank(peer.hash, subject))?;
        let is_own =
            is_large(own_cores) && rank(self.own_hash, subject) > rank(first.hash, subject);
        (!is_own).then_some(first.address)
    }

    /// Hosts of the own failure domain that read `subject` from the platform for the others, best
    /// first; none if this host is one of them or the domain is too small for it to pay.
    pub fn mirror_hosts(&self, subject: u64) -> Vec<SocketAddr> {
        let near = self.known.values().filter(|peer| peer.is_same_domain);
        let mut ranked: Vec<_> = near
            .map(|peer| (rank(peer.hash, subject), Some(peer.address)))
            .collect();
        ranked.push((rank(self.own_hash, subject), None));
        if ranked.len() < MIRRORED_DOMAIN_HOSTS_MIN {
            return Vec::new();
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(MIRROR_HOSTS);
        let mirror_hosts: Option<Vec<_>> = ranked.into_iter().map(|(_, address)| address).collect();
        mirror_hosts.unwrap_or_default()
    }

    /// A host did not answer. Says whether it was asked until now.
    pub fn on_no_answer(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        if !peer.skipped_until.has_passed(now) {
            return false;
        }
        peer.skipped_until = now + peer.next_backoff;
        peer.next_backoff = (peer.next_backoff * 2).min(SILENT_BACKOFF_MAX);
        true
    }

    /// This host is going to stop: others decide.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// A host said that it is going to stop. Says whether that is new.
    pub fn on_leaving(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        let is_new = peer.skipped_until.has_passed(now);
        peer.skipped_until = now + LEAVING_SKIP_DURATION;
        is_new
    }

    /// A host answered. Says whether it had been passed over.
    pub fn on_answer(&mut self, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        peer.skipped_until = Timestamp::ZERO;
        std::mem::replace(&mut peer.next_backoff, SILENT_BACKOFF_FIRST) != SILENT_BACKOFF_FIRST
    }
}

/// Rendezvous rank of a host for a subject.
fn rank(hash: u64, subject: u64) -> (u64, u64) {
    (xxh3_64_with_seed(&hash.to_le_bytes(), subject), hash)
}
