//! Fair order of the workspaces.
//!
//! For each service, each workspace has a counter of the cost of its requests in the whole fleet,
//! in the unit of that service (tokens for a model, microseconds of run time for a plain service).
//! A granted request counts with its estimated cost, its charge, until its cost is known. The next
//! grant, the permission to dispatch a waiting request to a backend server, goes to the backlogged
//! workspace (one with waiting bids, which stand for requests that wait for a grant) that has the
//! smallest counter. Two rules limit the differences between the counters. A workspace that becomes
//! backlogged is lifted: its counter is raised to the smallest one of the backlogged workspaces, so
//! that it gains no credit by being idle. And a backlogged workspace whose counter is too far below
//! the largest one is lifted until the difference is the maximum lag.
//!
//! A shard is the set of backend servers of one service in one failure domain, with a scheduler and
//! a queue of its own. Below, a workspace is behind if its counter is smaller, and ahead if it is
//! larger.

use std::time::Duration;

use super::scheduler::Scheduler;
use crate::id::WorkspaceId;
use crate::time::Timestamp;

/// Part of the maximum lag that depends on the size of requests: multiples of the largest request
/// cost seen.
const MAX_LAG_REQUESTS: u64 = 4;
/// Part of the maximum lag that depends on throughput: the cost that all shards together cause in
/// this time, if each has the peak rate measured here.
const MAX_LAG_SPAN: Duration = Duration::from_millis(400);

impl Scheduler {
    /// The backlogged workspace with the smallest counter, and of equal ones the one with the
    /// lowest ID.
    pub(super) fn least_served(&self) -> Option<WorkspaceId> {
        self.queue
            .workspaces()
            .min_by_key(|workspace| (self.counter(*workspace), *workspace))
    }

    /// Lifts a workspace that becomes backlogged to the smallest counter of all workspaces that are
    /// backlogged on any shard, or if there is none, to the counter of the workspace that received
    /// the latest grant here. A workspace thus gains no credit by being idle.
    pub(super) fn lift_if_newly_backlogged(&mut self, now: Timestamp, workspace: WorkspaceId) {
        // A lease is a bid handed over to another shard for a limited time. Its request still
        // waits, so its workspace is already backlogged.
        if self.queue.is_backlogged(workspace) || self.leases.has_workspace(workspace) {
            return;
        }
        let mut others = self.peer_shards.backlogged(now);
        if others.contains(&workspace) {
            return;
        }
        others.extend(self.queue.workspaces());
        let least = others.into_iter().map(|other| self.counter(other)).min();
        self.lift_to(workspace, least.unwrap_or(self.last_served_counter));
    }

    /// Lifts every backlogged workspace that is more than the maximum lag behind the one that is
    /// furthest ahead. A larger difference can arise from a network partition, during which the
    /// shards do not learn each other's costs and charges. The part above the maximum lag is
    /// dropped, because otherwise the workspace that is ahead would get no grants until the others
    /// have caught up.
    pub(super) fn lift_lagging_workspaces(&mut self) {
        let counters: Vec<_> = self
            .queue
            .workspaces()
            .map(|workspace| (workspace, self.counter(workspace)))
            .collect();
        let Some(most) = counters.iter().map(|(_, counter)| *counter).max() else {
            return;
        };
        let floor = most.saturating_sub(self.max_lag());
        for (workspace, counter) in counters {
            if counter < floor {
                self.lift_to(workspace, floor);
            }
        }
    }

    /// Largest amount by which the counter of a backlogged workspace may be below that of another
    /// one, in the unit of the service.
    pub(super) fn max_lag(&self) -> u64 {
        let shards = self.peer_shards.len() as u64 + 1;
        let rate = self.meter.peak_rate().saturating_mul(shards);
        let span = rate / 1_000 * MAX_LAG_SPAN.as_millis() as u64;
        self.largest_cost
            .saturating_mul(MAX_LAG_REQUESTS)
            .saturating_add(span)
    }

    /// Raises the counter of a workspace to `target`. Never lowers it.
    fn lift_to(&mut self, workspace: WorkspaceId, target: u64) {
        let counter = self.counter(workspace);
        if counter < target {
            self.ledger.lift(workspace, target - counter);
        }
    }
}
