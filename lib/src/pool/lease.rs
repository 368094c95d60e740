//! Bids handed over to other shards.

use std::collections::BTreeMap;

use super::queue::WaitingBid;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::WorkspaceId;
use crate::time::Timestamp;

/// A bid that another shard has until a deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) waiting: WaitingBid,
    /// Scheduler of the other shard.
    pub(crate) to: HostId,
    /// Time at which the bid is taken back.
    pub(crate) until: Timestamp,
}

/// Bids handed over to other shards. They are not charged: a workspace whose bids wait elsewhere
/// has not been served.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    leases: BTreeMap<RequestId, Lease>,
}

impl LeaseTable {
    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.leases.contains_key(&request)
    }

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

    /// Removes the loans whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<Lease> {
        self.take(|lease| lease.until.has_passed(now))
    }

    /// Removes the loans of a gateway that `select` picks.
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
