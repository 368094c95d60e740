//! State of the other shards of the service, as reported by their schedulers.
//!
//! A service has one shard per failure domain, each with a scheduler of its own. The schedulers
//! exchange summaries (free capacity, waiting bids, charges for requests that have not ended) and
//! totals (cumulative costs of the workspaces' requests). They pull bids, which stand for waiting
//! requests, from each other to use idle capacity and to keep the workspaces' shares fair.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::WorkspaceId;
use crate::ledger::Cursor;
use crate::message::BacklogEntry;
use crate::message::Summary;
use crate::time::Timestamp;

/// Age beyond which a summary is ignored.
const SUMMARY_TTL: Duration = Duration::from_secs(3);
/// Time allowed for the totals of a shard to arrive after its first summary following a silence.
/// Its backlog is not acted on before, because the workspaces' counters would lack those totals.
const TOTALS_GRACE: Duration = Duration::from_millis(300);
/// Time for which a shard counts as having capacity after it last reported free capacity or asked
/// for any bids.
const CAPACITY_TTL: Duration = Duration::from_secs(10);
/// Time to wait for the answer to a pull (a request for bids) before another one is sent.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// A shard of the same service in another failure domain.
#[derive(Clone, Debug)]
pub(crate) struct PeerShard {
    /// Host of the shard's scheduler.
    pub(crate) host: HostId,
    /// Position in the ledger's change log up to which changes were sent to this shard.
    pub(crate) sent_cursor: Cursor,
    /// When to send all totals instead of the changed ones.
    pub(crate) next_full_totals: Timestamp,
    /// Latest summary, possibly outdated.
    summary: Option<Summary>,
    /// Charges in the latest summary for requests that have not ended.
    charges: BTreeMap<WorkspaceId, u64>,
    /// Time from which the backlog in the summary is acted on.
    summary_valid_from: Timestamp,
    /// Time from which the summary is outdated.
    summary_valid_until: Timestamp,
    /// Time until which the shard counts as having capacity.
    capacity_until: Timestamp,
    /// Time until which the answer to the latest pull is expected.
    pull_deadline: Timestamp,
    /// Bids asked for by the latest pull.
    pull_count: u32,
}

impl PeerShard {
    fn new(host: HostId) -> Self {
        Self {
            host,
            sent_cursor: Cursor::default(),
            next_full_totals: Timestamp::ZERO,
            summary: None,
            charges: BTreeMap::new(),
            summary_valid_from: Timestamp::ZERO,
            summary_valid_until: Timestamp::ZERO,
            capacity_until: Timestamp::ZERO,
            pull_deadline: Timestamp::ZERO,
            pull_count: 0,
        }
    }

    /// The latest summary, unless it is outdated or the shard's totals are still expected.
    pub(crate) fn summary(&self, now: Timestamp) -> Option<&Summary> {
        self.summary
            .as_ref()
            .filter(|_| self.summary_valid_from.has_passed(now))
            .filter(|_| !self.summary_valid_until.has_passed(now))
    }

    /// Workspaces that have waiting bids according to the latest summary.
    pub(crate) fn backlog(&self, now: Timestamp) -> impl Iterator<Item = &BacklogEntry> {
        self.summary(now)
            .into_iter()
            .flat_map(|summary| &summary.backlog)
            .filter(|entry| entry.queued > 0)
    }

    /// Whether the answer to a pull is still expected.
    pub(crate) fn is_pulling(&self, now: Timestamp) -> bool {
        !self.pull_deadline.has_passed(now)
    }

    /// Records that the shard was asked for `count` bids.
    pub(crate) fn start_pull(&mut self, now: Timestamp, count: u32) {
        self.pull_deadline = now + PULL_TIMEOUT;
        self.pull_count = count;
    }
}

/// The other shards of the service, by failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerShards {
    peers: BTreeMap<DomainId, PeerShard>,
}

impl PeerShards {
    /// Replaces the set of shards. A shard whose scheduler has moved to another host starts without
    /// state and is sent all totals again.
    pub(crate) fn set_peers(&mut self, peers: &[(DomainId, HostId)]) {
        let domains: BTreeSet<_> = peers.iter().map(|(domain, _)| *domain).collect();
        self.peers.retain(|domain, _| domains.contains(domain));
        for (domain, host) in peers {
            let known = self
                .peers
                .get(domain)
                .is_some_and(|peer| peer.host == *host);
            if !known {
                self.peers.insert(*domain, PeerShard::new(*host));
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// The shards, ordered by failure domain.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &PeerShard> {
        self.peers.values()
    }

    pub(crate) fn peers_mut(&mut self) -> impl Iterator<Item = &mut PeerShard> {
        self.peers.values_mut()
    }

    /// Stores a summary, unless it comes from a host that does not schedule that shard.
    ///
    /// Returns whether the shard had been silent for longer than [`SUMMARY_TTL`]. Such a shard is
    /// sent all totals, and its backlog is not acted on until its own totals have had time to
    /// arrive.
    pub(crate) fn record_summary(
        &mut self,
        now: Timestamp,
        from: HostId,
        summary: Summary,
    ) -> bool {
        let peer = self.peers.get_mut(&summary.domain);
        let Some(peer) = peer.filter(|peer| peer.host == from) else {
            return false;
        };
        let silent = peer.summary_valid_until.has_passed(now);
        if silent {
            peer.next_full_totals = Timestamp::ZERO;
            peer.summary_valid_from = now + TOTALS_GRACE;
        }
        if summary.free_slots > 0 {
            peer.capacity_until = now + CAPACITY_TTL;
        }
        peer.summary_valid_until = now + SUMMARY_TTL;
        // The message field `counter` holds only the shard's charge for requests that have not
        // ended.
        peer.charges = summary
            .backlog
            .iter()
            .map(|entry| (entry.workspace, entry.counter))
            .collect();
        peer.summary = Some(summary);
        silent
    }

    /// Drops the charges of outdated summaries.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            if peer.summary_valid_until.has_passed(now) {
                peer.charges.clear();
            }
        }
    }

    /// Sum of the other shards' charges to a workspace for requests that have not ended, in the
    /// unit of the service.
    pub(crate) fn charge(&self, workspace: WorkspaceId) -> u64 {
        self.peers()
            .filter_map(|peer| peer.charges.get(&workspace).copied())
            .fold(0, u64::saturating_add)
    }

    /// Records that a shard asked for any bids and therefore has free capacity.
    pub(crate) fn record_capacity(&mut self, now: Timestamp, domain: DomainId) {
        if let Some(peer) = self.peers.get_mut(&domain) {
            peer.capacity_until = now + CAPACITY_TTL;
        }
    }

    /// Number of bids that were asked for and may still arrive.
    pub(crate) fn pending_pulls(&self, now: Timestamp) -> u32 {
        self.peers()
            .filter(|peer| peer.is_pulling(now))
            .map(|peer| peer.pull_count)
            .fold(0, u32::saturating_add)
    }

    /// Records the answer to a pull. A handover does not name its sender, so it is taken as the
    /// answer to the oldest open pull.
    pub(crate) fn finish_pull(&mut self, now: Timestamp) {
        let pulling = self.peers.values_mut().filter(|peer| peer.is_pulling(now));
        if let Some(peer) = pulling.min_by_key(|peer| peer.pull_deadline) {
            peer.pull_deadline = Timestamp::ZERO;
        }
    }

    /// Whether any other shard had capacity within the last [`CAPACITY_TTL`].
    pub(crate) fn has_capacity(&self, now: Timestamp) -> bool {
        self.peers()
            .any(|peer| !peer.capacity_until.has_passed(now))
    }

    /// Whether every other shard has sent at least one summary.
    pub(crate) fn has_all_summaries(&self) -> bool {
        self.peers().all(|peer| peer.summary.is_some())
    }

    /// Workspaces that have waiting bids on other shards.
    pub(crate) fn backlogged(&self, now: Timestamp) -> BTreeSet<WorkspaceId> {
        self.peers()
            .flat_map(|peer| peer.backlog(now))
            .map(|entry| entry.workspace)
            .collect()
    }
}
