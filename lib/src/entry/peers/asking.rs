//! How long one request may go on asking other hosts for a decision.
//!
//! The load is requests while many hosts are lost at once. Each request may find a few hosts silent, which
//! costs it a known time; then this host decides by itself. Two schedulers of a shard at the same time break
//! no promise, but a request that waits for its decision until its deadline does.

use std::net::SocketAddr;

use super::selection::Peers;
use crate::time::Timestamp;

/// Most hosts that one request finds silent.
const SILENT_MAX: u32 = 2;

/// Who is to decide on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// This host.
    Own,
    /// The host with this address.
    Peer(SocketAddr),
}

/// What one request has waited for other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asking {
    /// When the request gives up.
    pub give_up_at: Timestamp,
    /// Hosts that it has found silent.
    silent: u32,
}

impl Asking {
    /// A request that has asked no host.
    pub fn new(give_up_at: Timestamp) -> Self {
        Self {
            give_up_at,
            silent: 0,
        }
    }

    /// Who is to decide on the request, on `subject`. `None` if the request has given up.
    pub fn next(&self, now: Timestamp, peers: &Peers, subject: u64) -> Option<Decider> {
        if self.give_up_at.has_passed(now) {
            return None;
        }
        let peer = peers.scheduler(now, subject);
        let peer = peer.filter(|_| self.silent < SILENT_MAX);
        Some(peer.map_or(Decider::Own, Decider::Peer))
    }

    /// Records that an asked host did not reply.
    pub fn on_no_reply(&mut self) {
        self.silent += 1;
    }
}
