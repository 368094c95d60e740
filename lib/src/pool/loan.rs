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

/// Bids handed over to other shards. They are charged like granted requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loans {
    loans: BTreeMap<RequestId, Loan>,
    charges: BTreeMap<WorkspaceId, u64>,
}

impl Loans {
    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.loans.contains_key(&request)
    }

    pub(crate) fn charge(&self, workspace: WorkspaceId) -> u64 {
        self.charges.get(&workspace).copied().unwrap_or_default()
    }

    /// Workspaces with loans, in ascending order.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = WorkspaceId> {
        self.charges.keys().copied()
    }

    pub(crate) fn insert(&mut self, loan: Loan) {
        let bid = loan.waiting.bid;
        self.remove(bid.request);
        let charge = self.charges.entry(bid.workspace).or_default();
        *charge = charge.saturating_add(bid.estimate);
        self.loans.insert(bid.request, loan);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Loan> {
        let loan = self.loans.remove(&request)?;
        let bid = loan.waiting.bid;
        if let Some(charge) = self.charges.get_mut(&bid.workspace) {
            *charge = charge.saturating_sub(bid.estimate);
            if *charge == 0 {
                self.charges.remove(&bid.workspace);
            }
        }
        Some(loan)
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
        let taken: Vec<_> = self
            .loans
            .iter()
            .filter(|(_, loan)| select(loan))
            .map(|(request, _)| *request)
            .collect();
        taken
            .into_iter()
            .filter_map(|request| self.remove(request))
            .collect()
    }
}
