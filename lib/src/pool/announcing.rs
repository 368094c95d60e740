//! Announcements of gateways, recovery of a new scheduler, and removal of lost gateways.
//!
//! A shard is the set of backend servers of one service in one failure domain, with a scheduler of
//! its own. Each gateway, the part of a host that accepts callers' requests, regularly announces to
//! each scheduler its complete state on that shard: bids (requests that wait there for a grant, the
//! permission to dispatch them), running requests, observed server states and cost totals. The
//! bids and running requests replace what the scheduler knew of the gateway, which repairs the
//! effects of lost messages. A lease is a bid that this shard handed over to another one for a
//! limited time.
//!
//! A new scheduler learns from the first announcements which requests already run; it has recovered
//! once every live gateway has announced.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::PoolAction;
use super::in_flight::InFlightRequest;
use super::in_flight::InFlightState;
use super::scheduler::Scheduler;
use crate::backend_server::Observation;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::message::Announcement;
use crate::message::Running;
use crate::message::ServerSight;
use crate::message::TotalCell;
use crate::time::Timestamp;

/// How long after the expiry of a grant an announcement can still arrive that does not show whether
/// the grant was used.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Replaces the state of a gateway by the announced one, unless it is from an earlier
    /// incarnation.
    pub(super) fn on_announcement(
        &mut self,
        now: Timestamp,
        from: HostId,
        incarnation: Incarnation,
        announcement: Announcement,
        out: &mut Vec<PoolAction>,
    ) {
        if !self.observe_incarnation(from, incarnation) {
            return;
        }
        self.merge_totals(from, incarnation, &announcement.totals);
        self.replace_in_flight(now, from, &announcement);
        self.replace_bids(now, from, &announcement, out);
        if !self.recovered {
            self.collect_observations(&announcement.sights);
            // The next member list sets `awaiting_announcement` to the live gateways not in here.
            self.announced.insert(from);
            self.awaiting_announcement.remove(&from);
            self.finish_recovery_if_complete();
        }
    }

    /// Removes all requests of a gateway that has restarted or is considered dead (see
    /// [`PoolEvent::GatewayLost`](super::PoolEvent::GatewayLost)).
    pub(super) fn on_gateway_lost(&mut self, gateway: HostId) {
        self.remove_requests_below(gateway, u64::MAX);
    }

    /// Ends the recovery of a new scheduler once the live gateways are known (`has_members`) and
    /// all have announced. Until then each server is treated as cold, with at most one request at a
    /// time, because its load is not known. Now it takes over the state that gateways observed.
    pub(super) fn finish_recovery_if_complete(&mut self) {
        if self.recovered || !self.has_members || !self.awaiting_announcement.is_empty() {
            return;
        }
        self.recovered = true;
        let observations = std::mem::take(&mut self.observations);
        for (id, server) in &mut self.servers {
            server.end_cold_hold(observations.get(id).copied().flatten());
        }
    }

    /// Records the incarnation of a gateway, which changes when its process restarts. Requests of
    /// earlier incarnations have ended and are removed. Returns whether `incarnation` is the
    /// latest.
    fn observe_incarnation(&mut self, from: HostId, incarnation: Incarnation) -> bool {
        let known = self.incarnations.insert(from, incarnation);
        match known {
            Some(known) if known > incarnation => {
                self.incarnations.insert(from, known);
                false
            }
            Some(known) if known < incarnation => {
                self.remove_requests_below(from, incarnation.0);
                true
            }
            _ => true,
        }
    }

    /// Removes the bids and requests of a gateway with sequence numbers below `first`. An
    /// incarnation is the start time in microseconds, and numbers its requests from that value
    /// upwards. A gateway accepts fewer than one request per microsecond, so the numbers of earlier
    /// incarnations lie below the value of a later one.
    fn remove_requests_below(&mut self, gateway: HostId, first: u64) {
        for in_flight in self.in_flight.of_gateway(gateway) {
            if in_flight.request.sequence < first {
                self.remove_in_flight(in_flight.request);
            }
        }
        self.queue
            .remove_gateway(gateway, |waiting| waiting.bid.request.sequence < first);
        self.leases
            .take_gateway(gateway, |lease| lease.waiting.bid.request.sequence < first);
    }

    /// Merges the gateway's cumulative cost per workspace into the ledger, from which the counters
    /// of the workspaces are computed. The cells count as the sender's, whatever origin they name.
    fn merge_totals(&mut self, from: HostId, incarnation: Incarnation, totals: &[TotalCell]) {
        for cell in totals {
            self.ledger.merge(TotalCell {
                origin: from,
                incarnation,
                ..*cell
            });
        }
    }

    /// Removes requests of the gateway that have ended or run on another server according to the
    /// announcement, and records those that run.
    fn replace_in_flight(&mut self, now: Timestamp, from: HostId, announcement: &Announcement) {
        let running: BTreeMap<RequestId, &Running> = announcement
            .running
            .iter()
            .map(|entry| (entry.request, entry))
            .collect();
        for in_flight in self.in_flight.of_gateway(from) {
            let listed = running.get(&in_flight.request);
            let moved = listed.is_some_and(|entry| entry.server != in_flight.server);
            if moved || (listed.is_none() && has_ended(&in_flight, now)) {
                self.remove_in_flight(in_flight.request);
            }
        }
        for entry in running.values() {
            self.add_running(now, entry);
        }
    }

    /// Records a request that runs according to its gateway. Its bid, if any, no longer waits. Its
    /// workspace is charged the estimated cost, or the cost so far if that is higher, until the
    /// request ends.
    fn add_running(&mut self, now: Timestamp, entry: &Running) {
        self.queue.remove(entry.request);
        self.leases.remove(entry.request);
        self.largest_cost = self.largest_cost.max(entry.cost).max(entry.estimate);
        if let Some(server) = self.servers.get_mut(&entry.server) {
            server.add_running(now, entry.request);
        }
        self.in_flight.insert(InFlightRequest {
            request: entry.request,
            workspace: entry.workspace,
            server: entry.server,
            charge: entry.estimate.max(entry.cost).max(1),
            state: InFlightState::Running,
        });
    }

    /// Removes bids of the gateway that are not in the announcement, and queues the announced ones.
    /// Bids handed over by other shards stay in the queue, because a gateway announces a bid only
    /// to the shard that it sent the bid to.
    fn replace_bids(
        &mut self,
        now: Timestamp,
        from: HostId,
        announcement: &Announcement,
        out: &mut Vec<PoolAction>,
    ) {
        let listed: BTreeSet<_> = announcement.bids.iter().map(|bid| bid.request).collect();
        self.queue.remove_gateway(from, |waiting| {
            !waiting.is_remote() && !listed.contains(&waiting.bid.request)
        });
        // A bid handed over by another shard is not handed on, so every lease is of a bid that the
        // gateway announces here.
        self.leases
            .take_gateway(from, |lease| !listed.contains(&lease.waiting.bid.request));
        for bid in &announcement.bids {
            self.on_bid(now, *bid, out);
        }
    }

    /// Merges a gateway's observations of the servers with those of the other gateways. A gateway
    /// remembers the phase and limit of the server that its latest grant for it contained.
    fn collect_observations(&mut self, sights: &[ServerSight]) {
        for sight in sights {
            let observation = Observation {
                instance: sight.instance,
                phase: sight.phase,
                limit: sight.limit,
            };
            self.observations
                .entry(sight.server)
                .and_modify(|known| {
                    *known = known.and_then(|known| merge_observations(known, observation))
                })
                .or_insert(Some(observation));
        }
    }

    /// Removes a request that moved to another server or whose end the gateway has not reported,
    /// frees its capacity on the server and takes back its charge.
    fn remove_in_flight(&mut self, request: RequestId) {
        let Some(in_flight) = self.in_flight.remove(request) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&in_flight.server) {
            server.remove_request(request);
        }
    }
}

/// Whether a request that its gateway does not list as running has ended. A request with a grant
/// may be absent because the grant is still on its way, or because its bid was handed over by
/// another shard and is announced only there. It therefore counts as ended only
/// [`ANNOUNCEMENT_DELAY`] after the grant has expired.
fn has_ended(in_flight: &InFlightRequest, now: Timestamp) -> bool {
    match in_flight.state {
        InFlightState::Running => true,
        InFlightState::Granted { expires_at, .. } => {
            (expires_at + ANNOUNCEMENT_DELAY).has_passed(now)
        }
    }
}

/// Of two observations of a server, the one with the later phase (cold, warming, warm) or, in the
/// same phase, the higher limit on concurrent requests. `None` if they are of different instances
/// (processes) of the server.
fn merge_observations(a: Observation, b: Observation) -> Option<Observation> {
    if a.instance != b.instance {
        return None;
    }
    if (b.phase, b.limit) > (a.phase, a.limit) {
        Some(b)
    } else {
        Some(a)
    }
}
