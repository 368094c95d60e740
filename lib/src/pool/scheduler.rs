//! The scheduler of one shard: its state, and the dispatch of events to their handlers.
//!
//! A shard (pool in the names of types) is the set of backend servers of one service in one failure
//! domain. The handlers are in the neighbouring modules: `granting` (bids, grants and ends of
//! requests), `refusing` (overload), `fairness` (order of the workspaces), `announcing` (recovery
//! and lost gateways) and `sharing` (exchange with the other shards of the service).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::PoolAction;
use super::PoolEvent;
use super::PoolKey;
use super::PoolMembers;
use super::in_flight::InFlightTable;
use super::lease::LeaseTable;
use super::meter::Meter;
use super::peer_shards::PeerShards;
use super::queue::Queue;
use crate::backend_server::BackendServer;
use crate::backend_server::Observation;
use crate::host::ServiceKind;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::WorkspaceId;
use crate::ledger::Ledger;
use crate::message::PeerMessage;
use crate::status::PoolStatus;
use crate::status::WorkspaceStatus;
use crate::time::Timestamp;

/// Scheduler of a shard: a fair queue of bids, and the admission state of the backend servers.
///
/// An entry host is a host that accepts requests from callers; its gateway is the part that does
/// so. A bid stands for a request that waits at its gateway. A grant permits the gateway to
/// dispatch the request to a server.
///
/// The scheduler is a deterministic state machine: it takes the time and an event and returns
/// messages. It reads no clock, does no I/O and uses no random numbers, so that the same events
/// always produce the same messages.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) key: PoolKey,
    /// Host that runs this scheduler.
    pub(super) own_host: HostId,
    /// Kind of the service. It determines the unit of cost, and whether the throughput of a server
    /// is measured in tokens or in requests.
    pub(super) kind: ServiceKind,
    /// Time at which the scheduler was created. For a while after it, a shard without a usable
    /// server does not refuse bids yet, because other shards may still report capacity (see
    /// `refusing`).
    pub(super) started: Timestamp,
    /// Bids that wait for a grant.
    pub(super) queue: Queue,
    /// Requests that were granted and have not ended.
    pub(super) in_flight: InFlightTable,
    /// Bids of this shard that another shard may grant for a limited time.
    pub(super) leases: LeaseTable,
    /// Cumulative cost of the ended requests of each workspace in the whole fleet, as reported by
    /// gateways ([`PoolEvent::Finished`], [`PoolEvent::Announcement`]) and by the other shards
    /// ([`PoolEvent::Totals`]), and the lifts (see [`Self::counter`]).
    pub(super) ledger: Ledger,
    /// Servers of the shard, and removed ones whose requests are not all known to have ended.
    pub(super) servers: BTreeMap<ServerId, BackendServer>,
    /// Latest summaries of the other shards of the service, and the bids that were requested from
    /// them.
    pub(super) peer_shards: PeerShards,
    /// Rates at which bids leave the queue and requests cause cost. They are used for wait
    /// estimates, for the maximum amount by which a workspace's counter may be below the others
    /// (see `fairness`), and to decide when to send the other shards an update.
    pub(super) meter: Meter,
    /// Last summary that was sent to the other shards, and when the next update (totals and
    /// summary) may or must follow.
    pub(super) summary: super::sharing::SummaryState,
    /// Earliest time to ask other shards for bids again.
    pub(super) next_pull: Timestamp,
    /// Counter of the workspace that received the latest grant, without the charge for that grant.
    /// A workspace that becomes backlogged (gets its first waiting bid) while no other one is
    /// backlogged on any shard is lifted to it, see `fairness`.
    pub(super) last_served_counter: u64,
    /// Largest cost or cost estimate of a request seen so far, at least 1, in the unit of the
    /// service (tokens for a model, microseconds of run time for a plain service). The maximum lag
    /// between workspaces depends on it, see `fairness`.
    pub(super) largest_cost: u64,
    /// Requests whose grants were returned unused, each with a deadline shortly after the return. A
    /// new bid for such a request before its deadline does not lift the counter of its workspace,
    /// because the workspace has not been idle.
    pub(super) returned_grants: BTreeMap<RequestId, Timestamp>,
    /// Whether the first [`PoolMembers`] have arrived. Before that, `awaiting_announcement` is
    /// empty because the live gateways are not known.
    pub(super) has_members: bool,
    /// Live gateways that have not announced their requests to this scheduler since it started.
    pub(super) awaiting_announcement: BTreeSet<HostId>,
    /// Gateways that have announced their requests to this scheduler since it started.
    pub(super) announced: BTreeSet<HostId>,
    /// Whether every live gateway has announced its running requests. Until then each server is
    /// treated as cold, with at most one request at a time, because the scheduler does not know its
    /// load (the cold hold). Then the phase and limit in `observations` are restored.
    pub(super) recovered: bool,
    /// Phase and limit on concurrent requests that gateways reported for each server during
    /// recovery. The phase is cold while it is unknown how many requests the server can run at
    /// once, warming while the limit is raised step by step, and then warm. `None` if they report
    /// different instances (processes) of the server.
    pub(super) observations: BTreeMap<ServerId, Option<Observation>>,
    /// Latest incarnation (start of the process) seen of each gateway.
    pub(super) incarnations: BTreeMap<HostId, Incarnation>,
}

impl Scheduler {
    /// Creates a scheduler on host `own_host` without any state, as after a start or a takeover.
    pub fn new(key: PoolKey, own_host: HostId, now: Timestamp) -> Self {
        Self {
            key,
            own_host,
            // Replaced by the kind in the first list of servers.
            kind: ServiceKind::Model,
            started: now,
            queue: Queue::default(),
            in_flight: InFlightTable::default(),
            leases: LeaseTable::default(),
            ledger: Ledger::default(),
            servers: BTreeMap::new(),
            peer_shards: PeerShards::default(),
            meter: Meter::default(),
            summary: super::sharing::SummaryState::default(),
            next_pull: Timestamp::ZERO,
            last_served_counter: 0,
            largest_cost: 1,
            returned_grants: BTreeMap::new(),
            has_members: false,
            awaiting_announcement: BTreeSet::new(),
            announced: BTreeSet::new(),
            recovered: false,
            observations: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// Service and failure domain of the shard.
    pub fn key(&self) -> PoolKey {
        self.key
    }

    /// Handles an event at time `now` and appends the messages that result from it to `out`.
    pub fn handle(&mut self, now: Timestamp, event: PoolEvent, out: &mut Vec<PoolAction>) {
        match event {
            PoolEvent::Members(members) => self.on_members(members),
            PoolEvent::Bid(bid) => self.on_bid(now, bid, out),
            PoolEvent::Withdrawal(withdrawal) => self.on_withdrawal(withdrawal, out),
            PoolEvent::GrantReturn(grant_return) => self.on_grant_return(now, grant_return),
            PoolEvent::Finished {
                incarnation,
                finished,
            } => self.on_finished(now, incarnation, finished),
            PoolEvent::Progress(progress) => self.on_progress(progress),
            PoolEvent::Announcement {
                from,
                incarnation,
                announcement,
            } => self.on_announcement(now, from, incarnation, announcement, out),
            PoolEvent::GatewayLost(gateway) => self.on_gateway_lost(gateway),
            PoolEvent::Totals(totals) => self.on_totals(&totals),
            PoolEvent::Summary { from, summary } => self.on_summary(now, from, summary),
            PoolEvent::Pull { from, pull } => self.on_pull(now, from, pull, out),
            PoolEvent::Handover(handover) => self.on_handover(now, handover),
            PoolEvent::Tick => self.on_tick(now, out),
        }
        self.grant_waiting(now, out);
        self.pull(now, out);
        // The departure rate is measured only while bids wait.
        let backlogged = !self.queue.is_empty();
        self.meter.set_backlogged(now, backlogged);
    }

    /// State of the shard, for operators.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            service: self.key.service,
            domain: self.key.domain,
            waiting: self.queue.len() as u64,
            running: self.in_flight.len() as u64,
            servers: self.servers.values().map(BackendServer::status).collect(),
            workspaces: self.workspace_status(),
        }
    }

    /// Counter of a workspace. The waiting workspace with the smallest counter gets the next grant.
    /// The counter is the sum of the cost of its ended requests in the whole fleet (all hosts), the
    /// lift (amount by which `fairness` raised the counter), and the charges of this and the other
    /// shards for requests that have not ended. A request is charged with its estimated cost when
    /// it is granted, and with its cost so far if that is higher.
    pub(super) fn counter(&self, workspace: WorkspaceId) -> u64 {
        self.ledger
            .counter(workspace)
            .saturating_add(self.in_flight.load(workspace).charge)
            .saturating_add(self.peer_shards.charge(workspace))
    }

    pub(super) fn send(&self, to: HostId, message: PeerMessage, out: &mut Vec<PoolAction>) {
        out.push(PoolAction::Send { to, message });
    }

    /// Handles expired deadlines, refuses all bids if no shard of the service can serve them,
    /// raises counters that are too far below the largest one (otherwise the workspace with the
    /// largest would get no grants until the others have caught up), and sends updates to the other
    /// shards. The updates follow the grants, so that they include the charges for them.
    fn on_tick(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        self.returned_grants
            .retain(|_, until| !until.has_passed(now));
        self.peer_shards.expire(now);
        self.reclaim_expired_leases(now);
        self.refuse_expired(now, out);
        self.refuse_unservable(now, out);
        self.lift_lagging_workspaces();
        self.grant_waiting(now, out);
        self.update_peers(now, out);
    }

    /// Replaces the servers of the shard, the schedulers of the other shards, and the gateways that
    /// are considered alive.
    fn on_members(&mut self, members: PoolMembers) {
        self.has_members = true;
        self.update_servers(&members);
        self.peer_shards.set_peers(&members.peers);
        let alive: BTreeSet<_> = members.alive.iter().copied().collect();
        self.drop_unreachable(&alive);
        self.awaiting_announcement = alive.difference(&self.announced).copied().collect();
        self.finish_recovery_if_complete();
    }

    fn update_servers(&mut self, members: &PoolMembers) {
        let listed: BTreeSet<_> = members.servers.iter().map(|entry| entry.server).collect();
        for entry in &members.servers {
            let server = self.servers.entry(entry.server).or_insert_with(|| {
                let mut server = BackendServer::new(entry.server);
                // During recovery a new server is held cold, because it may run requests that are
                // not known yet. After recovery all running requests are known, so the hold ends at
                // once. `None`: there is no gateway's observation to restore phase and limit from.
                if self.recovered {
                    server.end_cold_hold(None);
                }
                server
            });
            server.set_usable(entry.usable);
            // The same for all servers, because they offer the same service.
            self.kind = entry.kind;
        }
        for (id, server) in &mut self.servers {
            if !listed.contains(id) {
                // It gets no new requests, and what was learnt about its capacity is discarded.
                server.remove();
            }
        }
        // A server that left the list is kept until all of its requests are known to have ended.
        self.servers
            .retain(|id, server| listed.contains(id) || server.running() > 0);
    }

    /// Drops waiting bids of gateways that are not in `alive`, because a grant to them would occupy
    /// capacity without being used. The gateways send their bids again when they are reachable.
    /// Their granted and running requests count until their end is known or
    /// [`PoolEvent::GatewayLost`] arrives. The own host always counts as alive.
    fn drop_unreachable(&mut self, alive: &BTreeSet<HostId>) {
        let own_host = self.own_host;
        let gateways: BTreeSet<_> = self
            .queue
            .iter()
            .map(|waiting| waiting.bid.request.gateway)
            .filter(|gateway| *gateway != own_host && !alive.contains(gateway))
            .collect();
        for gateway in gateways {
            self.queue.remove_gateway(gateway, |_| true);
        }
    }

    fn workspace_status(&self) -> Vec<WorkspaceStatus> {
        let mut workspaces: BTreeSet<_> = self.ledger.workspaces().collect();
        workspaces.extend(self.queue.workspaces());
        workspaces.extend(self.in_flight.workspaces());
        workspaces
            .into_iter()
            .map(|workspace| WorkspaceStatus {
                workspace,
                waiting: self.queue.bid_count(workspace) as u64,
                running: self.in_flight.load(workspace).count,
                counter: self.counter(workspace),
            })
            .collect()
    }
}
