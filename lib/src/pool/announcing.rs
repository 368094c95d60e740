//! Announcements of gateways, recovery of a new scheduler, and removal of lost gateways.
//!
//! Each gateway, the part of a host that accepts callers' requests, announces its complete state to
//! each scheduler from time to time: bids (requests that wait for a grant, the permission to
//! dispatch them), running requests, server states and costs. An announcement replaces what the
//! scheduler knew of the gateway and so repairs the effects of lost messages. A new scheduler
//! learns from the first announcements which requests already run; it has recovered once every live
//! gateway has announced.

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

/// Time after the expiry of a grant from which the gateway's announcements are certain to show
/// whether the grant was used.
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

    /// Ends the recovery of a new scheduler once every live gateway has announced: the servers are
    /// no longer treated as cold, and take over the state that gateways reported of them.
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

    /// Removes the bids and requests of a gateway with sequence numbers below `first`. Each
    /// incarnation numbers its requests from its own value upwards, so that those of earlier
    /// incarnations lie below it.
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

    fn merge_totals(&mut self, from: HostId, incarnation: Incarnation, totals: &[TotalCell]) {
        for cell in totals {
            self.ledger.merge(TotalCell {
                origin: from,
                incarnation,
                ..*cell
            });
        }
    }

    /// Removes requests of the gateway that have ended according to the announcement, and records
    /// those that run.
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

    /// Records a request that runs according to its gateway. Its bid, if any, no longer waits.
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
    /// Bids from other shards stay: their gateways announce them to their own shard only.
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
        self.leases
            .take_gateway(from, |lease| !listed.contains(&lease.waiting.bid.request));
        for bid in &announcement.bids {
            self.on_bid(now, *bid, out);
        }
    }

    /// Merges a gateway's reports on the servers, kept from its latest grants, with those of the
    /// other gateways.
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

    /// Removes a request that ended without a report, and frees its capacity and its charge.
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
/// may be absent because the grant is still on its way or its bid came from another shard, so it
/// counts as ended only [`ANNOUNCEMENT_DELAY`] after the grant has expired.
fn has_ended(in_flight: &InFlightRequest, now: Timestamp) -> bool {
    match in_flight.state {
        InFlightState::Running => true,
        InFlightState::Granted { expires_at, .. } => {
            (expires_at + ANNOUNCEMENT_DELAY).has_passed(now)
        }
    }
}

/// Of two reports on a server, the one with the warmer phase or, in the same phase, the higher
/// limit. `None` if they concern different instances of the server.
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
