//! Order of the workspaces: lift on arrival, least counter first, and the clamp.

use std::time::Duration;

use super::scheduler::Scheduler;
use crate::id::WorkspaceId;
use crate::time::Timestamp;

/// Largest requests that a backlogged workspace may lie ahead of another one.
const MAX_LAG_REQUESTS: u64 = 4;
/// Span of the measured rate that a backlogged workspace may lie ahead of another one.
const MAX_LAG_SPAN: Duration = Duration::from_millis(400);

impl Scheduler {
    /// The backlogged workspace with the least counter. Equal counters go by number.
    pub(super) fn least_served(&self) -> Option<WorkspaceId> {
        self.queue
            .workspaces()
            .min_by_key(|workspace| (self.counter(*workspace), *workspace))
    }

    /// Lifts a workspace that becomes backlogged to the least counter among the backlogged, or to
    /// the counter that was served last if there is none: idleness earns no credit.
    pub(super) fn lift_if_newly_backlogged(&mut self, now: Timestamp, workspace: WorkspaceId) {
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

    /// Keeps every backlogged workspace within the clamp behind the one that is furthest ahead. A
    /// difference carried over from a partition is forgiven beyond it, so that nobody starves to
    /// repay it.
    pub(super) fn clamp_counters(&mut self) {
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

    /// Bound of the clamp, in the unit of the service.
    pub(super) fn max_lag(&self) -> u64 {
        let shards = self.peer_shards.len() as u64 + 1;
        let rate = self.meter.peak_rate().saturating_mul(shards);
        let span = rate / 1_000 * MAX_LAG_SPAN.as_millis() as u64;
        self.largest_cost
            .saturating_mul(MAX_LAG_REQUESTS)
            .saturating_add(span)
    }

    fn lift_to(&mut self, workspace: WorkspaceId, target: u64) {
        let counter = self.counter(workspace);
        if counter < target {
            self.ledger.lift(workspace, target - counter);
        }
    }
}
