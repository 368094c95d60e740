//! Selects the entry host to ask for scheduling decisions, and the mirror hosts to read platform
//! objects from.
//!
//! An entry host is a reverse proxy that forwards callers' requests to backend servers. For a
//! request to a model, a scheduler on one of the hosts decides when it is sent and to which engine
//! (a backend server that runs the model). The engines of a service are split into shards, each
//! with a scheduler of its own. The platform is the external system that stores the configuration,
//! the announcements of servers and the list of hosts as named objects. Mirror hosts read objects
//! from it and serve them to the other hosts of their failure domain.
//!
//! Both are selected by rendezvous hashing: every host ranks all hosts by a hash of the host and
//! the subject, and takes the highest. Hosts that know the same hosts thus select the same one
//! without communication. The subject is a number that identifies what a host is selected for: the
//! scheduling of a shard, or the mirroring of a kind of platform object.
//!
//! A host that did not reply is not selected as a scheduler again before it has answered a probe, so
//! that no request waits to find out whether it is back. Hosts are lost one at a time, but also with
//! their failure domain, or nearly all of them: once several have been found silent with no reply from
//! another one between, the next ones in the order are probed before requests ask them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Timestamp;

/// How long after a host did not reply for the first time it is probed. Each further missing reply
/// doubles the time up to `SILENT_BACKOFF_MAX`; a reply resets it.
const SILENT_BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// Longest time between two probes of a silent host.
const SILENT_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Hosts found silent, with no reply from another one between, after which others are probed before
/// requests ask them.
const SILENT_RUN_MAX: u32 = 2;
/// Most hosts that are probed at once before requests ask them. All hosts of a fleet may do so at the same
/// time, and each answers the probes of all others.
const SWEEP_HOSTS: usize = 32;
/// How long ago a host may have replied to be taken for one that still does.
const HEARD_DURATION: Duration = Duration::from_millis(500);

/// How long a stopping host is skipped. It exits within its stop grace of some seconds, and its
/// successor at the same address must read the list of hosts before it can schedule.
const LEAVING_SKIP_DURATION: Duration = Duration::from_secs(10);
/// A host with at least this fraction of the cores of the largest available host counts as large.
/// Only large hosts are selected as schedulers.
const LARGE_HOST_CORE_RATIO: f64 = 0.5;
/// Most mirror hosts that a host asks, for each kind of object. With two, one can still be asked
/// while the other is replaced or has failed. If neither serves the objects, the host reads them
/// from the platform.
const MIRROR_HOSTS: usize = 2;

/// Most hosts to which one host hands requests over. With few of them, one read takes what has arrived for many
/// requests, and links are soon established. Together they have several times the processor time that a
/// small host can hand requests over with.
const HELPERS_MAX: usize = 8;
/// Those of them among which one is chosen for a request.
const HELPER_CHOICES: usize = 2;
/// How long no request is handed over to a host that could not be reached, or did not respond in time.
const NO_HELP_DURATION: Duration = Duration::from_secs(2);

/// An entry host, as registered on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the host.
    pub name: CompactString,
    /// Address at which it receives datagrams (UDP) and requests for mirrored objects (HTTP).
    pub address: SocketAddr,
    /// Address at which it accepts callers, `None` if it does not say.
    pub callers: Option<SocketAddr>,
    /// Failure domain of the host.
    pub domain: CompactString,
    /// Processor cores that the host may use; below 1 for a share of a core.
    pub cores: f64,
}

/// A host to which a request can be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Its address among the hosts.
    pub peer: SocketAddr,
    /// Address at which it accepts callers.
    pub callers: SocketAddr,
}

/// Another host and its recent behaviour.
#[derive(Clone, Debug)]
struct KnownPeer {
    /// Hash of its name.
    hash: u64,
    address: SocketAddr,
    /// Address at which it accepts callers.
    callers: Option<SocketAddr>,
    /// Requests handed over to it that have not ended.
    handed_over: u32,
    /// Time until which no request is handed over to it.
    no_help_until: Timestamp,
    /// Hash of its failure domain.
    domain: u64,
    /// Whether it is in this host's failure domain.
    is_same_domain: bool,
    cores: f64,
    /// Time until which it is not selected as a scheduler, because it said that it is stopping.
    skipped_until: Timestamp,
    /// When it last replied.
    heard_at: Option<Timestamp>,
    /// When it is probed next, `None` unless it is silent.
    probe_at: Option<Timestamp>,
    /// Time from the next missing reply to the probe that follows.
    next_backoff: Duration,
}

impl KnownPeer {
    /// Whether it can be asked to schedule.
    fn is_available(&self, now: Timestamp) -> bool {
        self.probe_at.is_none() && self.skipped_until.has_passed(now)
    }

    /// Records that a reply is missing at `now`.
    fn on_silent(&mut self, now: Timestamp) {
        self.probe_at = Some(now + self.next_backoff);
        self.next_backoff = (self.next_backoff * 2).min(SILENT_BACKOFF_MAX);
    }

    /// Whether requests can be handed over to it.
    fn can_help(&self, now: Timestamp) -> bool {
        self.is_same_domain
            && self.callers.is_some()
            && self.is_available(now)
            && self.no_help_until.has_passed(now)
    }
}

/// All entry hosts that this host knows.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Peer,
    /// Hash of the own name.
    own_hash: u64,
    /// Whether this host is stopping.
    is_leaving: bool,
    /// The other hosts, by address.
    known: HashMap<SocketAddr, KnownPeer>,
    /// Hosts found silent since the last reply of any host.
    silent_run: u32,
}

impl Peers {
    /// A list with no host but this one.
    pub fn new(own: &Peer) -> Self {
        Self {
            own: own.clone(),
            own_hash: xxh3_64(own.name.as_bytes()),
            is_leaving: false,
            known: HashMap::new(),
            silent_run: 0,
        }
    }

    /// Address of this host.
    pub fn own_address(&self) -> SocketAddr {
        self.own.address
    }

    /// Addresses of all other hosts, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self.known.keys().copied().collect();
        addresses.sort_unstable();
        addresses
    }

    /// The first hosts for `subject`, at most `count` including this one, which is left out.
    pub fn homes(&self, subject: u64, count: usize) -> Vec<SocketAddr> {
        let order = self.home_order(subject, count).into_iter();
        order.flatten().collect()
    }

    /// The first hosts for `subject`, at most `count`, `None` for this one. All hosts that know the same
    /// hosts select the same ones in the same order. Failure domains take turns, so that few are lost
    /// with a domain.
    pub fn home_order(&self, subject: u64, count: usize) -> Vec<Option<SocketAddr>> {
        let own_domain = xxh3_64(self.own.domain.as_bytes());
        let own = (rank(self.own_hash, subject), own_domain, None);
        let others = self
            .known
            .values()
            .map(|peer| (rank(peer.hash, subject), peer.domain, Some(peer.address)));
        let mut hosts: Vec<_> = others.chain([own]).collect();
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        let mut counts: HashMap<u64, usize> = HashMap::new();
        let mut by_turn: Vec<_> = hosts
            .into_iter()
            .map(|(rank, domain, address)| {
                let turn = counts.entry(domain).or_default();
                *turn += 1;
                (*turn, Reverse(rank), address)
            })
            .collect();
        by_turn.sort_unstable();
        by_turn.truncate(count);
        by_turn.into_iter().map(|(.., address)| address).collect()
    }

    /// Replaces the list of hosts. For an address that was known before, the earlier entry stays as
    /// a whole: whether the host is silent or stopping, but also its name hash, failure domain and
    /// cores.
    pub fn set(&mut self, peers: &[Peer]) {
        let mut known = HashMap::new();
        for peer in peers.iter().filter(|peer| peer.address != self.own.address) {
            let fresh = || KnownPeer {
                hash: xxh3_64(peer.name.as_bytes()),
                address: peer.address,
                callers: peer.callers,
                handed_over: 0,
                no_help_until: Timestamp::ZERO,
                domain: xxh3_64(peer.domain.as_bytes()),
                is_same_domain: peer.domain == self.own.domain,
                cores: peer.cores,
                skipped_until: Timestamp::ZERO,
                heard_at: None,
                probe_at: None,
                next_backoff: SILENT_BACKOFF_FIRST,
            };
            let mut entry = self.known.remove(&peer.address).unwrap_or_else(fresh);
            entry.callers = peer.callers;
            known.insert(peer.address, entry);
        }
        self.known = known;
    }

    /// The host to ask for decisions on `subject`, `None` for this host itself. Hosts that are silent or
    /// stopping are not selected, and neither are hosts with less than half the cores of the largest
    /// other one.
    pub fn scheduler(&self, now: Timestamp, subject: u64) -> Option<SocketAddr> {
        let available = || {
            let known = self.known.values();
            known.filter(|peer| peer.is_available(now))
        };
        // A stopping host counts as having no cores, so that any other available host is preferred.
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

    /// Mirror hosts of this failure domain for `subject`, in the order in which to ask them: the
    /// hosts that rank before this one, large hosts before small ones, at most two.
    /// Empty if this host is the first; it then reads from the platform itself. Hosts that are
    /// silent or stopping are included: the `source` module itself skips mirror hosts for a while
    /// after a failed call.
    pub fn mirror_hosts(&self, subject: u64) -> Vec<SocketAddr> {
        let local = || self.known.values().filter(|peer| peer.is_same_domain);
        let max_cores = local()
            .map(|peer| peer.cores)
            .fold(self.own.cores, f64::max);
        let order = |hash, cores: f64| {
            let is_large = cores >= LARGE_HOST_CORE_RATIO * max_cores;
            (is_large, rank(hash, subject))
        };
        let own_order = order(self.own_hash, self.own.cores);
        let mut before: Vec<_> = local()
            .map(|peer| (order(peer.hash, peer.cores), peer.address))
            .filter(|(order, _)| *order > own_order)
            .collect();
        before.sort_unstable_by(|a, b| b.cmp(a));
        before.truncate(MIRROR_HOSTS);
        before.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether a connection from this address is that of a host.
    pub fn is_peer(&self, from: IpAddr) -> bool {
        self.known.keys().any(|address| address.ip() == from)
    }

    /// Whether there is a host to hand requests over to.
    pub fn has_helper(&self, now: Timestamp) -> bool {
        self.known.values().any(|peer| peer.can_help(now))
    }

    /// Chooses a host of this failure domain to hand a request over to, and counts the request there. Each host
    /// hands over to a few others. Of the first two of them for `subject`, it is the one with fewer such requests
    /// for its processor cores.
    pub fn choose_helper(&mut self, now: Timestamp, subject: u64) -> Option<Helper> {
        let known = self.known.values().filter(|peer| peer.can_help(now));
        let mut helpers: Vec<_> = known
            .map(|peer| (rank(peer.hash, self.own_hash), peer))
            .collect();
        helpers.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        helpers.truncate(HELPERS_MAX);
        let by_subject = |peer: &KnownPeer| Reverse(rank(peer.hash, subject));
        helpers.sort_unstable_by_key(|(_, peer)| by_subject(peer));
        let load = |peer: &KnownPeer| f64::from(peer.handed_over) / peer.cores;
        let choices = helpers.into_iter().take(HELPER_CHOICES);
        let chosen = choices.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b)));
        let address = chosen?.1.address;
        let peer = self.known.get_mut(&address)?;
        peer.handed_over += 1;
        Some(Helper {
            peer: address,
            callers: peer.callers?,
        })
    }

    /// Records that a request that was handed over has ended. A host that could not be reached gets none
    /// for a while.
    pub fn on_handover_ended(&mut self, now: Timestamp, address: SocketAddr, was_reached: bool) {
        let Some(peer) = self.known.get_mut(&address) else {
            return;
        };
        peer.handed_over = peer.handed_over.saturating_sub(1);
        if !was_reached {
            peer.no_help_until = now + NO_HELP_DURATION;
        }
    }

    /// Skips a host that did not reply. Returns whether that is new: false if it is unknown or
    /// already skipped, as when several requests find it silent at the same time.
    pub fn on_no_reply(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        if !peer.is_available(now) {
            return false;
        }
        peer.on_silent(now);
        self.silent_run += 1;
        true
    }

    /// The silent hosts that are to be probed now.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let is_due = |peer: &&mut KnownPeer| peer.probe_at.is_some_and(|at| at.has_passed(now));
        let due = self.known.values_mut().filter(is_due);
        due.map(|peer| {
            peer.on_silent(now);
            peer.address
        })
        .collect()
    }

    /// When the next silent host is to be probed, `None` if none is silent.
    pub fn next_probe_at(&self) -> Option<Timestamp> {
        self.known.values().filter_map(|peer| peer.probe_at).min()
    }

    /// The hosts to probe before requests ask them, the first ones for `subject`: those that have not replied
    /// lately. Empty unless several hosts have been found silent with no reply between.
    pub fn sweep(&self, now: Timestamp, subject: u64) -> Vec<SocketAddr> {
        if self.silent_run < SILENT_RUN_MAX {
            return Vec::new();
        }
        let was_heard = |peer: &KnownPeer| {
            peer.heard_at
                .is_some_and(|at| now.since(at) < HEARD_DURATION)
        };
        let known = self.known.values();
        let mut hosts: Vec<_> = known
            .filter(|peer| peer.is_available(now) && !was_heard(peer))
            .map(|peer| (rank(peer.hash, subject), peer.address))
            .collect();
        hosts.sort_unstable_by(|a, b| b.cmp(a));
        hosts.truncate(SWEEP_HOSTS);
        hosts.into_iter().map(|(_, address)| address).collect()
    }

    /// Records that some of the probed hosts have replied, so that no more hosts need to be probed before
    /// requests ask them.
    pub fn end_sweep(&mut self) {
        self.silent_run = 0;
    }

    /// Whether a host has replied at or after a time.
    pub fn has_replied_since(&self, address: SocketAddr, since: Timestamp) -> bool {
        let peer = self.known.get(&address);
        peer.and_then(|peer| peer.heard_at)
            .is_some_and(|at| at >= since)
    }

    /// Marks this host as stopping. It then schedules only if no other host can be asked.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Skips a host that said that it is stopping. Returns whether it was not skipped before.
    pub fn on_leaving(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        let is_new = peer.is_available(now);
        peer.skipped_until = now + LEAVING_SKIP_DURATION;
        peer.probe_at = None;
        self.silent_run = 0;
        is_new
    }

    /// Ends the skipping of a host that replied. Returns whether it had been silent before.
    pub fn on_reply(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Some(peer) = self.known.get_mut(&address) else {
            return false;
        };
        peer.skipped_until = Timestamp::ZERO;
        peer.heard_at = Some(now);
        peer.next_backoff = SILENT_BACKOFF_FIRST;
        self.silent_run = 0;
        peer.probe_at.take().is_some()
    }
}

/// Rendezvous rank of a host for a subject; the host hash breaks ties.
fn rank(hash: u64, subject: u64) -> (u64, u64) {
    (xxh3_64_with_seed(&hash.to_le_bytes(), subject), hash)
}
