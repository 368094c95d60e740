//! Refusal of bids under overload.
//!
//! A bid, which stands for a request waiting at its gateway, is refused as soon as it is clear that
//! the request cannot start before its deadline, instead of leaving the caller to wait until then.
//! The wait is estimated from the measured rate at which bids leave the queue.
//!
//! Each service has one shard per failure domain: the backend servers there, with a scheduler and a
//! queue of their own. A scheduler with free capacity may take over bids of other shards.

use std::time::Duration;

use super::PoolAction;
use super::queue::WaitingBid;
use super::scheduler::Scheduler;
use crate::backend_server::BackendServer;
use crate::id::WorkspaceId;
use crate::message::Bid;
use crate::message::PeerMessage;
use crate::message::Refusal;
use crate::message::RefusalReason;
use crate::message::ServerPhase;
use crate::time::Timestamp;

/// Maximum number of waiting bids of one workspace on one shard.
const MAX_BIDS_PER_WORKSPACE: usize = 2_000;
/// Time that a new scheduler waits for the first summaries of the other shards. After it, a shard
/// that has not reported counts as having no capacity.
const PEER_GRACE: Duration = Duration::from_secs(1);
/// Retry delay for callers while the rate at which bids leave the queue is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bounds of the estimated retry delay for callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Scheduler {
    /// Decides whether a new bid may wait: returns `None` if it may, otherwise the refusal to send.
    pub(super) fn refusal_of(&self, now: Timestamp, bid: &Bid) -> Option<Refusal> {
        let remaining = Duration::from_micros(bid.remaining_us);
        let reason = if remaining.is_zero() {
            RefusalReason::DeadlinePassed
        } else if self.is_unservable(now) {
            RefusalReason::NoServer
        } else if self.queue.bid_count(bid.workspace) >= MAX_BIDS_PER_WORKSPACE {
            RefusalReason::QueueFull
        } else if self.estimated_wait(now, bid) > remaining {
            RefusalReason::DeadlineUnreachable
        } else {
            return None;
        };
        Some(self.refusal(bid, reason))
    }

    /// Refuses waiting bids whose deadline has passed. A bid that another shard handed over may
    /// wait here only for a limited time. After it, the bid is removed without an answer, because
    /// its own shard queues it again when the lease (see `lease`) expires.
    pub(super) fn refuse_expired(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        for waiting in self.queue.expired(now) {
            self.queue.remove(waiting.bid.request);
            if waiting.deadline.has_passed(now) {
                self.refuse_past_deadline(&waiting, out);
            }
        }
    }

    /// Sends the refusal for one bid whose deadline has passed.
    pub(super) fn refuse_past_deadline(&self, waiting: &WaitingBid, out: &mut Vec<PoolAction>) {
        let refusal = self.refusal(&waiting.bid, RefusalReason::DeadlinePassed);
        self.send(refusal.request.gateway, PeerMessage::Refusal(refusal), out);
    }

    /// Refuses every waiting bid if no shard of the service can serve it.
    pub(super) fn refuse_unservable(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        if !self.is_unservable(now) {
            return;
        }
        let waiting: Vec<_> = self.queue.iter().copied().collect();
        for entry in waiting {
            self.queue.remove(entry.bid.request);
            let refusal = self.refusal(&entry.bid, RefusalReason::NoServer);
            self.send(refusal.request.gateway, PeerMessage::Refusal(refusal), out);
        }
    }

    /// Whether this shard has no usable server and no other shard of the service is known to have
    /// had capacity within the last 10 s (`CAPACITY_TTL` in `peer_shards`). False while the servers
    /// and the other shards are not known (`has_members`), and while the other shards may still be
    /// about to report.
    fn is_unservable(&self, now: Timestamp) -> bool {
        let usable = self.servers.values().any(BackendServer::is_usable);
        if usable || !self.has_members || self.peer_shards.has_capacity(now) {
            return false;
        }
        self.peer_shards.has_all_summaries() || (self.started + PEER_GRACE).has_passed(now)
    }

    /// Estimated time until a new bid is granted, on the assumption that bids leave the queue at
    /// the measured rate and that the workspaces with waiting bids share that rate equally. Zero
    /// while servers have free capacity, while the rate is unknown, and while too few servers are
    /// warm (see [`Self::is_warming_up`]).
    fn estimated_wait(&self, now: Timestamp, bid: &Bid) -> Duration {
        let Some(interval) = self.meter.departure_interval() else {
            return Duration::ZERO;
        };
        if self.free_capacity(now) > 0 || self.is_warming_up() {
            return Duration::ZERO;
        }
        let deadline = now + Duration::from_micros(bid.remaining_us);
        let ahead = self.queue.ahead_of(bid.workspace, deadline);
        // A workspace without waiting bids is not yet in the count of the workspaces.
        let known = self.queue.is_backlogged(bid.workspace);
        let sharers = self.queue.workspace_count() + usize::from(!known);
        multiply(interval, ahead.saturating_mul(sharers))
    }

    /// Whether at least half of the usable servers are not warm, or none is usable. The measured
    /// rate then says little about the rate to come.
    fn is_warming_up(&self) -> bool {
        let usable = self.servers.values().filter(|server| server.is_usable());
        let (warm, cold): (Vec<_>, Vec<_>) =
            usable.partition(|server| server.phase() == ServerPhase::Warm);
        cold.len() >= warm.len()
    }

    /// Builds the refusal of `bid` for `reason`, which tells the caller when to retry.
    fn refusal(&self, bid: &Bid, reason: RefusalReason) -> Refusal {
        let retry = self.retry_after(bid.workspace).as_millis();
        Refusal {
            request: bid.request,
            service: bid.service,
            reason,
            retry_after_ms: u64::try_from(retry).unwrap_or(u64::MAX),
        }
    }

    /// Estimated time in which the waiting bids of a workspace leave the queue, as a retry delay
    /// for callers.
    fn retry_after(&self, workspace: WorkspaceId) -> Duration {
        let Some(interval) = self.meter.departure_interval() else {
            return DEFAULT_RETRY_AFTER;
        };
        let sharers = self.queue.workspace_count().max(1);
        let backlog = self.queue.bid_count(workspace).saturating_mul(sharers);
        multiply(interval, backlog).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn multiply(interval: Duration, count: usize) -> Duration {
    interval.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
