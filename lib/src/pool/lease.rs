//! Bids that were handed over to other shards for a limited time.
//!
//! A shard is the set of backend servers of one service in one failure domain, with a scheduler of
//! its own. A bid stands for a request that waits at its gateway, the part of a host that accepts
//! callers' requests; a grant permits the gateway to dispatch the request to a server.
//!
//! A shard with free capacity pulls waiting bids from the other shards of the service. The shard
//! that hands a bid over records a lease: until the lease expires, only the other shard may grant
//! the bid. A gateway that uses a grant of the other shard withdraws the bid from this shard, which
//! then drops the lease. Otherwise the bid waits in this shard's queue again once the lease has
//! expired.

use std::collections::BTreeMap;

use super::queue::WaitingBid;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::WorkspaceId;
use crate::time::Timestamp;

/// A bid that another shard may grant until a deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// The bid as it waited in this shard's queue.
    pub(crate) waiting: WaitingBid,
    /// Host of the other shard's scheduler.
    pub(crate) to: HostId,
    /// Time at which the lease expires and the bid returns to this shard's queue.
    pub(crate) until: Timestamp,
}

/// Bids handed over to other shards, by request. Their estimated cost is not added to the counters
/// by which workspaces are ordered, because a bid that waits on another shard has not been served.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    leases: BTreeMap<RequestId, Lease>,
}

impl LeaseTable {
    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.leases.contains_key(&request)
    }

    /// Whether any bid of a workspace is handed over. The workspace is then backlogged even if it
    /// has no bids in this shard's queue.
    pub(crate) fn has_workspace(&self, workspace: WorkspaceId) -> bool {
        let mut leases = self.leases.values();
        leases.any(|lease| lease.waiting.bid.workspace == workspace)
    }

    pub(crate) fn insert(&mut self, lease: Lease) {
        self.leases.insert(lease.waiting.bid.request, lease);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Lease> {
        self.leases.remove(&request)
    }

    /// Removes and returns the leases whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<Lease> {
        self.take(|lease| lease.until.has_passed(now))
    }

    /// Removes and returns those leases that `select` matches among the leases for requests of
    /// `gateway`: those that the gateway no longer announces, or those of its earlier incarnations
    /// (starts of its process).
    pub(crate) fn take_gateway(
        &mut self,
        gateway: HostId,
        select: impl Fn(&Lease) -> bool,
    ) -> Vec<Lease> {
        self.take(|lease| lease.waiting.bid.request.gateway == gateway && select(lease))
    }

    fn take(&mut self, select: impl Fn(&Lease) -> bool) -> Vec<Lease> {
        self.leases
            .extract_if(.., |_, lease| select(lease))
            .map(|(_, lease)| lease)
            .collect()
    }
}
