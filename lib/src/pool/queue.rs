//! Waiting bids of a shard, ordered by workspace and deadline.
//!
//! A shard is the set of backend servers of one service in one failure domain. A gateway, the part
//! of a host that accepts callers' requests, sends the shard's scheduler a bid for each request
//! that waits for a server. The scheduler answers with a grant, which names the server. A shard may
//! hand bids over to another shard of the service, where they wait for a limited time.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::RequestId;
use crate::id::WorkspaceId;
use crate::message::Bid;
use crate::time::Timestamp;

/// A bid that waits for a grant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingBid {
    pub(crate) bid: Bid,
    /// Time by which the request must have started.
    pub(crate) deadline: Timestamp,
    /// Time until which a bid from another shard may wait here, `None` for a bid of this shard.
    pub(crate) remote_until: Option<Timestamp>,
}

impl WaitingBid {
    /// Whether the bid was handed over by another shard.
    pub(crate) fn is_remote(&self) -> bool {
        self.remote_until.is_some()
    }

    /// The bid with its remaining time recalculated at `now`.
    pub(crate) fn bid_at(&self, now: Timestamp) -> Bid {
        let remaining = self.deadline.remaining(now).as_micros();
        Bid {
            remaining_us: u64::try_from(remaining).unwrap_or(u64::MAX),
            ..self.bid
        }
    }
}

/// Order of a workspace's bids: by deadline, and by request ID for equal deadlines.
type DeadlineKey = (Timestamp, RequestId);

/// Waiting bids of a shard: for each workspace, its bids with the earliest deadline first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    by_workspace: BTreeMap<WorkspaceId, BTreeMap<DeadlineKey, WaitingBid>>,
    /// Where to find the bid of a request in `by_workspace`.
    index: BTreeMap<RequestId, (WorkspaceId, DeadlineKey)>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.index.contains_key(&request)
    }

    pub(crate) fn insert(&mut self, waiting: WaitingBid) {
        let workspace = waiting.bid.workspace;
        let key = (waiting.deadline, waiting.bid.request);
        self.index.insert(waiting.bid.request, (workspace, key));
        self.by_workspace
            .entry(workspace)
            .or_default()
            .insert(key, waiting);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<WaitingBid> {
        let (workspace, key) = self.index.remove(&request)?;
        let bids = self.by_workspace.get_mut(&workspace)?;
        let waiting = bids.remove(&key);
        if bids.is_empty() {
            self.by_workspace.remove(&workspace);
        }
        waiting
    }

    /// Workspaces with waiting bids, in ascending order.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = WorkspaceId> {
        self.by_workspace.keys().copied()
    }

    /// Number of workspaces with waiting bids.
    pub(crate) fn workspace_count(&self) -> usize {
        self.by_workspace.len()
    }

    pub(crate) fn is_backlogged(&self, workspace: WorkspaceId) -> bool {
        self.by_workspace.contains_key(&workspace)
    }

    /// The bid of a workspace with the earliest deadline.
    pub(crate) fn head(&self, workspace: WorkspaceId) -> Option<&WaitingBid> {
        self.bids_of(workspace).next()
    }

    /// Bids of a workspace, earliest deadline first.
    pub(crate) fn bids_of(&self, workspace: WorkspaceId) -> impl Iterator<Item = &WaitingBid> {
        self.by_workspace
            .get(&workspace)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    pub(crate) fn bid_count(&self, workspace: WorkspaceId) -> usize {
        self.by_workspace.get(&workspace).map_or(0, BTreeMap::len)
    }

    /// Number of bids of a workspace with a deadline no later than `deadline`.
    pub(crate) fn ahead_of(&self, workspace: WorkspaceId, deadline: Timestamp) -> usize {
        self.bids_of(workspace)
            .take_while(|waiting| waiting.deadline <= deadline)
            .count()
    }

    /// Every waiting bid, ordered by request ID.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingBid> {
        self.index
            .values()
            .filter_map(|(workspace, key)| self.by_workspace.get(workspace)?.get(key))
    }

    /// Bids whose deadline has passed, and bids from other shards that may no longer wait here.
    pub(crate) fn expired(&self, now: Timestamp) -> Vec<WaitingBid> {
        self.iter()
            .filter(|waiting| {
                waiting.deadline.has_passed(now)
                    || waiting
                        .remote_until
                        .is_some_and(|until| until.has_passed(now))
            })
            .copied()
            .collect()
    }

    /// Removes those bids that `select` matches among the bids of `gateway`.
    pub(crate) fn remove_gateway(&mut self, gateway: HostId, select: impl Fn(&WaitingBid) -> bool) {
        let selected: Vec<_> = self
            .iter()
            .filter(|waiting| waiting.bid.request.gateway == gateway && select(waiting))
            .map(|waiting| waiting.bid.request)
            .collect();
        for request in selected {
            self.remove(request);
        }
    }
}
