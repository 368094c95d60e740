//! Overload: bids that are refused at once.

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

/// Waiting bids of one workspace on one shard.
const MAX_BIDS_PER_WORKSPACE: usize = 2_000;
/// Time that a new scheduler waits for the first summaries before it takes other shards to have
/// no capacity.
const PEER_GRACE: Duration = Duration::from_secs(1);
/// Advice to callers while the drain rate is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Scheduler {
    /// Refusal of a new bid, if it has to be refused.
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

    /// Refuses waiting bids whose deadline has passed. A bid of another shard is dropped without
    /// a word: its own shard takes it back.
    pub(super) fn refuse_expired(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        for waiting in self.queue.expired(now) {
            self.queue.remove(waiting.bid.request);
            if waiting.deadline.has_passed(now) {
                self.refuse_past_deadline(&waiting, out);
            }
        }
    }

    /// Refuses one bid whose deadline has passed.
    pub(super) fn refuse_past_deadline(&self, waiting: &WaitingBid, out: &mut Vec<PoolAction>) {
        let refusal = self.refusal(&waiting.bid, RefusalReason::DeadlinePassed);
        self.send(refusal.request.gateway, PeerMessage::Refusal(refusal), out);
    }

    /// Refuses every waiting bid if neither this shard nor another one can serve it.
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

    fn is_unservable(&self, now: Timestamp) -> bool {
        let usable = self.servers.values().any(BackendServer::is_usable);
        if usable || !self.has_members || self.peer_shards.has_capacity(now) {
            return false;
        }
        self.peer_shards.has_all_summaries() || (self.started + PEER_GRACE).has_passed(now)
    }

    /// Time after which a new bid would start, by the workspace's share of the drain rate.
    fn estimated_wait(&self, now: Timestamp, bid: &Bid) -> Duration {
        let Some(interval) = self.meter.departure_interval() else {
            return Duration::ZERO;
        };
        if self.free_capacity(now) > 0 || self.is_warming_up() {
            return Duration::ZERO;
        }
        let deadline = now + Duration::from_micros(bid.remaining_us);
        let ahead = self.queue.ahead_of(bid.workspace, deadline);
        let known = self.queue.is_backlogged(bid.workspace);
        let sharers = self.queue.backlogged() + usize::from(!known);
        multiply(interval, ahead.saturating_mul(sharers))
    }

    /// Whether the measured drain rate tells nothing of the coming one, because at least half of
    /// the servers are in a cold start.
    fn is_warming_up(&self) -> bool {
        let usable = self.servers.values().filter(|server| server.is_usable());
        let (warm, cold): (Vec<_>, Vec<_>) =
            usable.partition(|server| server.phase() == ServerPhase::Warm);
        cold.len() >= warm.len()
    }

    fn refusal(&self, bid: &Bid, reason: RefusalReason) -> Refusal {
        let retry = self.retry_after(bid.workspace).as_millis();
        Refusal {
            request: bid.request,
            service: bid.service,
            reason,
            retry_after_ms: u64::try_from(retry).unwrap_or(u64::MAX),
        }
    }

    /// Time in which the backlog of a workspace drains.
    fn retry_after(&self, workspace: WorkspaceId) -> Duration {
        let Some(interval) = self.meter.departure_interval() else {
            return DEFAULT_RETRY_AFTER;
        };
        let sharers = self.queue.backlogged().max(1);
        let backlog = self.queue.bid_count(workspace).saturating_mul(sharers);
        multiply(interval, backlog).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn multiply(interval: Duration, count: usize) -> Duration {
    interval.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
