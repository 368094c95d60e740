//! Exchange with the other shards of the service: totals, summaries and bids.
//!
//! A service has one shard per failure domain, each with a scheduler of its own. The schedulers
//! send each other the cumulative costs of the workspaces' requests (totals), and their free
//! capacity, backlog and charges for requests that have not ended (summaries), so that all order
//! the workspaces by the same counters. A bid stands for a request that waits for a server. A shard
//! with free capacity pulls bids from the others. A shard whose waiting workspaces are ahead also
//! pulls bids of a workspace that is behind. A bid is handed over for a limited time (a lease): if
//! the other shard has not granted it by then, it waits in its own shard again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::PoolAction;
use super::lease::Lease;
use super::queue::WaitingBid;
use super::scheduler::Scheduler;
use crate::id::HostId;
use crate::id::WorkspaceId;
use crate::ledger::Cursor;
use crate::message::BacklogEntry;
use crate::message::Handover;
use crate::message::PeerMessage;
use crate::message::Pull;
use crate::message::Summary;
use crate::message::Totals;
use crate::time::Timestamp;

/// Minimum time between updates to the other shards when a change affects their decisions (see
/// `is_urgent`).
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between updates to the other shards for any other change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time between two summaries.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two messages with all totals to the same shard.
const FULL_TOTALS_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of workspaces in a summary. If there are more, those with waiting bids are
/// preferred, and among them and among the rest those with the smallest counters.
const MAX_SUMMARY_ENTRIES: usize = 64;
/// Time after which a bid that was handed over to another shard waits in this shard's queue again.
const LEASE_TTL: Duration = Duration::from_secs(1);
/// Time for which a bid from another shard waits in this shard's queue. Shorter than its lease, so
/// that this shard drops the bid before the other one queues it again.
const REMOTE_BID_TTL: Duration = Duration::from_millis(600);
/// Minimum time between two checks for bids to pull from other shards.
const PULL_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum number of bids in one handover.
const MAX_HANDOVER_BIDS: u32 = 64;
/// Minimum number of bids that are asked for to even out the workspaces' counters.
const MIN_FAIR_PULL: u64 = 1;

/// The latest update (totals and summary) to the other shards, and when the next one may or must
/// follow.
#[derive(Clone, Debug, Default)]
pub(crate) struct SummaryState {
    /// Summary in that update.
    sent: Option<Summary>,
    /// Position in the ledger at the latest update.
    sent_cursor: Cursor,
    /// Earliest time of an update after a change that affects decisions of the other shards.
    next_urgent: Timestamp,
    /// Earliest time of an update after any other change.
    next_change: Timestamp,
    /// Time at which an update is sent even if nothing has changed.
    next_repeat: Timestamp,
}

impl Scheduler {
    /// Merges the totals of another shard into the ledger.
    pub(super) fn on_totals(&mut self, totals: &Totals) {
        for cell in &totals.cells {
            self.ledger.merge_relayed(*cell);
        }
    }

    /// Stores the summary of another shard. A shard that had been silent is sent an update at the
    /// next tick.
    pub(super) fn on_summary(&mut self, now: Timestamp, from: HostId, summary: Summary) {
        if self.peer_shards.record_summary(now, from, summary) {
            self.summary.next_repeat = now;
        }
    }

    /// Hands bids over to another shard, in fair order. Bids that came from a third shard are not
    /// passed on, because they could travel from shard to shard without being granted.
    pub(super) fn on_pull(
        &mut self,
        now: Timestamp,
        from: HostId,
        pull: Pull,
        out: &mut Vec<PoolAction>,
    ) {
        // A pull of any bids shows free capacity, one of a workspace's bids is for fairness.
        if pull.workspace.is_none() {
            self.peer_shards.record_capacity(now, pull.domain);
        }
        let mut bids = Vec::new();
        let mut leased = BTreeMap::new();
        for _ in 0..pull.count.min(MAX_HANDOVER_BIDS) {
            let Some(waiting) = self.next_to_lease(now, pull.workspace, &leased) else {
                break;
            };
            *leased.entry(waiting.bid.workspace).or_default() += waiting.bid.estimate;
            self.queue.remove(waiting.bid.request);
            self.meter.record_departure(now);
            bids.push(waiting.bid_at(now));
            self.leases.insert(Lease {
                waiting,
                to: from,
                until: waiting.deadline.min(now + LEASE_TTL),
            });
        }
        if !bids.is_empty() {
            let service = self.key.service;
            self.send(from, PeerMessage::Handover(Handover { service, bids }), out);
        }
    }

    /// Puts bids from another shard into the queue. Their workspaces are not lifted here (see
    /// `fairness`), because that shard has already done so.
    pub(super) fn on_handover(&mut self, now: Timestamp, handover: Handover) {
        self.peer_shards.finish_pull(now);
        for bid in handover.bids {
            let known = self.in_flight.get(bid.request).is_some()
                || self.queue.contains(bid.request)
                || self.leases.contains(bid.request);
            if !known && bid.remaining_us > 0 {
                self.enqueue(now, bid, Some(now + REMOTE_BID_TTL));
            }
        }
    }

    /// Puts bids whose lease has expired back into the queue.
    pub(super) fn reclaim_expired_leases(&mut self, now: Timestamp) {
        for lease in self.leases.take_expired(now) {
            self.queue.insert(lease.waiting);
        }
    }

    /// Asks other shards for bids: for any bids while the queue is empty, otherwise for those of a
    /// workspace whose counter is well below the counters of the workspaces that wait here.
    pub(super) fn pull(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        if !self.next_pull.has_passed(now) {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        if self.queue.is_empty() {
            self.pull_for_idle(now, out);
        } else {
            self.pull_for_fairness(now, out);
        }
    }

    /// Sends the other shards an update if one is due. The totals precede the summary, so that a
    /// request that has ended is in the totals before its charge disappears from the summary.
    pub(super) fn update_peers(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        if self.peer_shards.is_empty() {
            return;
        }
        let summary = self.summarize(now);
        if !self.is_update_due(now, &summary) {
            return;
        }
        self.send_totals(now, out);
        for peer in self.peer_shards.peers() {
            self.send(peer.host, PeerMessage::Summary(summary.clone()), out);
        }
        self.summary = SummaryState {
            sent: Some(summary),
            sent_cursor: self.ledger.cursor(),
            next_urgent: now + URGENT_INTERVAL,
            next_change: now + CHANGE_INTERVAL,
            next_repeat: now + REPEAT_INTERVAL,
        };
    }

    /// Whether `summary` and the ledger's changes have to be sent to the other shards now.
    fn is_update_due(&self, now: Timestamp, summary: &Summary) -> bool {
        let state = &self.summary;
        let Some(sent) = &state.sent else {
            return true;
        };
        let changed = sent.backlog != summary.backlog || state.sent_cursor != self.ledger.cursor();
        state.next_repeat.has_passed(now)
            || (changed && state.next_change.has_passed(now))
            || (is_urgent(sent, summary) && state.next_urgent.has_passed(now))
            || largest_charge_change(sent, summary) > self.meter.cost_within(CHANGE_INTERVAL)
    }

    /// Sends each other shard the ledger cells that changed since the last message to it, or all
    /// cells every [`FULL_TOTALS_INTERVAL`], because messages may be lost.
    fn send_totals(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        let latest = self.ledger.cursor();
        let service = self.key.service;
        for peer in self.peer_shards.peers_mut() {
            let cells = if peer.next_full_totals.has_passed(now) {
                peer.next_full_totals = now + FULL_TOTALS_INTERVAL;
                self.ledger.all()
            } else {
                self.ledger.changed_since(peer.sent_cursor)
            };
            peer.sent_cursor = latest;
            if !cells.is_empty() {
                let message = PeerMessage::Totals(Totals { service, cells });
                let to = peer.host;
                out.push(PoolAction::Send { to, message });
            }
        }
    }

    fn summarize(&self, now: Timestamp) -> Summary {
        let mut workspaces: BTreeSet<_> = self.queue.workspaces().collect();
        workspaces.extend(self.in_flight.workspaces());
        let mut backlog: Vec<_> = workspaces
            .into_iter()
            .map(|workspace| self.backlog_of(workspace))
            .collect();
        if backlog.len() > MAX_SUMMARY_ENTRIES {
            backlog.sort_by_key(|entry| {
                let counter = self.counter(entry.workspace);
                (entry.queued == 0, counter, entry.workspace)
            });
            backlog.truncate(MAX_SUMMARY_ENTRIES);
        }
        Summary {
            service: self.key.service,
            domain: self.key.domain,
            free_slots: self.free_capacity(now),
            backlog,
        }
    }

    /// The summary's entry for a workspace. It counts only bids of this shard, because bids from
    /// other shards may not be pulled. The field `counter` holds only the charge for requests that
    /// have not ended; the cost of ended ones is in the totals.
    fn backlog_of(&self, workspace: WorkspaceId) -> BacklogEntry {
        let own = self
            .queue
            .bids_of(workspace)
            .filter(|waiting| !waiting.is_remote());
        BacklogEntry {
            workspace,
            queued: u32::try_from(own.count()).unwrap_or(u32::MAX),
            counter: self.in_flight.load(workspace).charge,
        }
    }

    /// The next bid of this shard in fair order, of the workspace `only` if given. `leased` holds
    /// the sum of the estimates of the bids picked before it, by workspace.
    fn next_to_lease(
        &self,
        now: Timestamp,
        only: Option<WorkspaceId>,
        leased: &BTreeMap<WorkspaceId, u64>,
    ) -> Option<WaitingBid> {
        let counter = |workspace| {
            let picked = leased.get(&workspace).copied().unwrap_or_default();
            self.counter(workspace).saturating_add(picked)
        };
        let heads = self
            .queue
            .workspaces()
            .filter(|workspace| only.is_none_or(|only| only == *workspace))
            .filter_map(|workspace| self.queue.bids_of(workspace).find(|w| !w.is_remote()))
            .filter(|waiting| !waiting.deadline.has_passed(now));
        heads
            .min_by_key(|waiting| (counter(waiting.bid.workspace), waiting.bid.workspace))
            .copied()
    }

    /// Asks other shards with waiting bids for as many bids as the free servers of this shard can
    /// run.
    fn pull_for_idle(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        let pending = self.peer_shards.pending_pulls(now);
        let mut free = self.free_capacity(now).saturating_sub(pending);
        let key = self.key;
        for peer in self.peer_shards.peers_mut() {
            let queued: u32 = peer.backlog(now).map(|entry| entry.queued).sum();
            let count = free.min(queued);
            if count == 0 || peer.is_pulling(now) {
                continue;
            }
            free -= count;
            peer.start_pull(now, count);
            out.push(pull_message(key, peer.host, None, count));
        }
    }

    /// Asks other shards for bids of workspaces that have none here and whose counter is more than
    /// the average cost of a request below the smallest counter here. Asks for as many bids as
    /// close the difference, but for no more than the shard can grant in half of
    /// [`REMOTE_BID_TTL`].
    fn pull_for_fairness(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        let Some(head) = self.least_served() else {
            return;
        };
        let least = self.counter(head);
        let average = self.meter.average_cost();
        let ceiling = least.saturating_sub(average);
        let lagging: BTreeMap<_, _> = self
            .peer_shards
            .backlogged(now)
            .into_iter()
            .filter(|workspace| !self.queue.is_backlogged(*workspace))
            .map(|workspace| (workspace, self.counter(workspace)))
            .filter(|(_, counter)| *counter < ceiling)
            .collect();
        let key = self.key;
        let most = self.departures_within(REMOTE_BID_TTL / 2);
        for peer in self.peer_shards.peers_mut() {
            if peer.is_pulling(now) {
                continue;
            }
            let wanted = peer
                .backlog(now)
                .filter_map(|entry| Some((lagging.get(&entry.workspace)?, entry.workspace)))
                .min();
            if let Some((counter, workspace)) = wanted {
                let bids = ((least - counter) / average).clamp(MIN_FAIR_PULL, most);
                let count = u32::try_from(bids).unwrap_or(MAX_HANDOVER_BIDS);
                peer.start_pull(now, count);
                out.push(pull_message(key, peer.host, Some(workspace), count));
            }
        }
    }

    /// Number of bids that leave the queue within `span` at the measured rate, at least
    /// [`MIN_FAIR_PULL`] and at most [`MAX_HANDOVER_BIDS`].
    fn departures_within(&self, span: Duration) -> u64 {
        let interval = self.meter.departure_interval().unwrap_or(span);
        let departures = span.as_micros() / interval.as_micros().max(1);
        u64::try_from(departures)
            .unwrap_or(u64::MAX)
            .clamp(MIN_FAIR_PULL, u64::from(MAX_HANDOVER_BIDS))
    }
}

fn pull_message(
    key: super::PoolKey,
    to: HostId,
    workspace: Option<WorkspaceId>,
    count: u32,
) -> PoolAction {
    let message = PeerMessage::Pull(Pull {
        service: key.service,
        domain: key.domain,
        workspace,
        count,
    });
    PoolAction::Send { to, message }
}

/// Whether a change of the summary affects decisions of the other shards: the shard has gained its
/// first free slot or filled its last one, or the set of workspaces with waiting bids has changed.
fn is_urgent(sent: &Summary, new: &Summary) -> bool {
    let full = |summary: &Summary| summary.free_slots == 0;
    full(sent) != full(new) || backlogged_in(sent) != backlogged_in(new)
}

/// The largest change of any workspace's charges between two summaries.
///
/// A request that costs more than the shard serves in [`CHANGE_INTERVAL`] is reported at once.
/// Otherwise every shard would start such a request before it learns of those of the others.
fn largest_charge_change(sent: &Summary, new: &Summary) -> u64 {
    let before: BTreeMap<_, _> = sent
        .backlog
        .iter()
        .map(|entry| (entry.workspace, entry.counter))
        .collect();
    new.backlog
        .iter()
        .map(|entry| {
            entry
                .counter
                .abs_diff(before.get(&entry.workspace).copied().unwrap_or(0))
        })
        .max()
        .unwrap_or(0)
}

fn backlogged_in(summary: &Summary) -> BTreeSet<WorkspaceId> {
    let entries = summary.backlog.iter().filter(|entry| entry.queued > 0);
    entries.map(|entry| entry.workspace).collect()
}
