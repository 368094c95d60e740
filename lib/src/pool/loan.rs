//! Bids handed over to other shards.

use std::collections::BTreeMap;

use super::queue::Waiting;
use crate::id::HostId;
use crate::id::RequestId;
use crate::id::WorkspaceId;
use crate::time::Timestamp;

/// A bid that another shard has until a deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loan {
    pub(crate) waiting: Waiting,
    /// Scheduler of the other shard.
    pub(crate) to: HostId,
    /// Time at which the bid is taken back.
    pub(crate) until: Timestamp,
}

/// Bids handed over to other shards. They are not charged: a workspace whose bids wait elsewhere
/// has not been served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loans {
    loans: BTreeMap<RequestId, Loan>,
}

impl Loans {
    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.loans.contains_key(&request)
    }

    pub(crate) fn has_workspace(&self, workspace: WorkspaceId) -> bool {
        let mut loans = self.loans.values();
        loans.any(|loan| loan.waiting.bid.workspace == workspace)
    }

    pub(crate) fn insert(&mut self, loan: Loan) {
        self.loans.insert(loan.waiting.bid.request, loan);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Loan> {
        self.loans.remove(&request)
    }

    /// Removes the loans whose deadline has passed.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<Loan> {
        self.take(|loan| loan.until.has_passed(now))
    }

    /// Removes the loans of a gateway that `select` picks.
    pub(crate) fn take_gateway(
        &mut self,
        gateway: HostId,
        select: impl Fn(&Loan) -> bool,
    ) -> Vec<Loan> {
        self.take(|loan| loan.waiting.bid.request.gateway == gateway && select(loan))
    }

    fn take(&mut self, select: impl Fn(&Loan) -> bool) -> Vec<Loan> {
        self.loans
            .extract_if(.., |_, loan| select(loan))
            .map(|(_, loan)| loan)
            .collect()
    }
}
