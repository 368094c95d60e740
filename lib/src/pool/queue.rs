//! Waiting bids, by workspace and by deadline.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::RequestId;
use crate::id::WorkspaceId;
use crate::message::Bid;
use crate::time::Timestamp;

/// A waiting bid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) bid: Bid,
    /// Time by which the request must have started.
    pub(crate) deadline: Timestamp,
    /// Time until which a bid of another shard may wait here, `None` for a bid of this shard.
    pub(crate) guest_until: Option<Timestamp>,
}

impl Waiting {
    pub(crate) fn is_guest(&self) -> bool {
        self.guest_until.is_some()
    }

    /// The bid with the time that remains at `now`.
    pub(crate) fn bid_at(&self, now: Timestamp) -> Bid {
        let remaining = self.deadline.remaining(now).as_micros();
        Bid {
            remaining_us: u64::try_from(remaining).unwrap_or(u64::MAX),
            ..self.bid
        }
    }
}

type LineKey = (Timestamp, RequestId);

/// Waiting bids of a shard: one line per workspace, earliest deadline first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    lines: BTreeMap<WorkspaceId, BTreeMap<LineKey, Waiting>>,
    index: BTreeMap<RequestId, (WorkspaceId, LineKey)>,
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

    pub(crate) fn insert(&mut self, waiting: Waiting) {
        let workspace = waiting.bid.workspace;
        let key = (waiting.deadline, waiting.bid.request);
        self.index.insert(waiting.bid.request, (workspace, key));
        self.lines
            .entry(workspace)
            .or_default()
            .insert(key, waiting);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let (workspace, key) = self.index.remove(&request)?;
        let line = self.lines.get_mut(&workspace)?;
        let waiting = line.remove(&key);
        if line.is_empty() {
            self.lines.remove(&workspace);
        }
        waiting
    }

    /// Backlogged workspaces, in ascending order.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = WorkspaceId> {
        self.lines.keys().copied()
    }

    /// Number of backlogged workspaces.
    pub(crate) fn backlogged(&self) -> usize {
        self.lines.len()
    }

    pub(crate) fn is_backlogged(&self, workspace: WorkspaceId) -> bool {
        self.lines.contains_key(&workspace)
    }

    /// The first bid of a workspace.
    pub(crate) fn head(&self, workspace: WorkspaceId) -> Option<&Waiting> {
        self.line(workspace).next()
    }

    /// Bids of a workspace, earliest deadline first.
    pub(crate) fn line(&self, workspace: WorkspaceId) -> impl Iterator<Item = &Waiting> {
        self.lines
            .get(&workspace)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    pub(crate) fn line_len(&self, workspace: WorkspaceId) -> usize {
        self.lines.get(&workspace).map_or(0, BTreeMap::len)
    }

    /// Bids of a workspace with a deadline no later than `deadline`.
    pub(crate) fn ahead_of(&self, workspace: WorkspaceId, deadline: Timestamp) -> usize {
        self.line(workspace)
            .take_while(|waiting| waiting.deadline <= deadline)
            .count()
    }

    /// Every waiting bid, in the order of the requests' keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.index
            .values()
            .filter_map(|(workspace, key)| self.lines.get(workspace)?.get(key))
    }

    /// Bids whose deadline, or whose time as a guest, has passed.
    pub(crate) fn expired(&self, now: Timestamp) -> Vec<Waiting> {
        self.iter()
            .filter(|waiting| {
                waiting.deadline.has_passed(now)
                    || waiting
                        .guest_until
                        .is_some_and(|until| until.has_passed(now))
            })
            .copied()
            .collect()
    }

    /// Removes the bids of a gateway that `select` picks.
    pub(crate) fn remove_gateway(&mut self, gateway: HostId, select: impl Fn(&Waiting) -> bool) {
        let gone: Vec<_> = self
            .iter()
            .filter(|waiting| waiting.bid.request.gateway == gateway && select(waiting))
            .map(|waiting| waiting.bid.request)
            .collect();
        for request in gone {
            self.remove(request);
        }
    }
}
