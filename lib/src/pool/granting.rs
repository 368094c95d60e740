//! Life cycle of a request in its shard: bid, grant and end.
//!
//! A shard is the set of backend servers of one service in one failure domain, with a scheduler of
//! its own. A gateway, the part of a host that accepts callers' requests, sends a bid for each
//! waiting request. The scheduler answers with a grant, which permits the gateway to dispatch the
//! request to one server until the grant expires. The grant also names a slot, a numbered unit of
//! the server's limit on concurrent requests (see [`crate::permit`]). A granted request counts
//! against the capacity of its server until its end is known. Messages may be lost, repeated or
//! reordered: gateways repeat their bids, and the handlers ignore outdated messages.

use std::cmp::Reverse;
use std::time::Duration;

use super::PoolAction;
use super::in_flight::InFlightRequest;
use super::in_flight::InFlightState;
use super::queue::WaitingBid;
use super::scheduler::Scheduler;
use crate::backend_server::BackendServer;
use crate::backend_server::Completion;
use crate::host::ServiceKind;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::message::Bid;
use crate::message::Finished;
use crate::message::Grant;
use crate::message::GrantReturn;
use crate::message::PeerMessage;
use crate::message::Progress;
use crate::message::TotalCell;
use crate::message::Withdrawal;
use crate::time::Timestamp;

/// Time in which a gateway must dispatch a granted request.
const GRANT_TTL: Duration = Duration::from_secs(2);
/// Time after the return of a grant in which a new bid for the request does not lift the counter of
/// its workspace (see `fairness`), because the workspace has not been idle.
const RETURNED_GRANT_TTL: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Queues or refuses a new bid, or repeats the grant for a request that already has one. A bid
    /// that already waits here or on another shard changes nothing.
    pub(super) fn on_bid(&mut self, now: Timestamp, bid: Bid, out: &mut Vec<PoolAction>) {
        if self.in_flight.get(bid.request).is_some() {
            self.resend_grant(now, bid, out);
            return;
        }
        if self.queue.contains(bid.request) || self.leases.contains(bid.request) {
            return;
        }
        if let Some(refusal) = self.refusal_of(now, &bid) {
            self.send(bid.request.gateway, PeerMessage::Refusal(refusal), out);
            return;
        }
        if self.returned_grants.remove(&bid.request).is_none() {
            self.lift_if_newly_backlogged(now, bid.workspace);
        }
        self.enqueue(now, bid, None);
    }

    /// Puts a bid into the queue. `remote_until` is set for a bid from another shard: the time
    /// until which the bid may wait here.
    pub(super) fn enqueue(&mut self, now: Timestamp, bid: Bid, remote_until: Option<Timestamp>) {
        self.largest_cost = self.largest_cost.max(bid.estimate);
        self.queue.insert(WaitingBid {
            bid,
            deadline: now + Duration::from_micros(bid.remaining_us),
            remote_until,
        });
    }

    /// Removes a bid, and forwards the withdrawal if the bid was handed over to another shard.
    pub(super) fn on_withdrawal(&mut self, withdrawal: Withdrawal, out: &mut Vec<PoolAction>) {
        self.queue.remove(withdrawal.request);
        if let Some(lease) = self.leases.remove(withdrawal.request) {
            self.send(lease.to, PeerMessage::Withdrawal(withdrawal), out);
        }
    }

    /// Frees the capacity of a request whose grant the gateway returned unused.
    pub(super) fn on_grant_return(&mut self, now: Timestamp, grant_return: GrantReturn) {
        let in_flight = self.in_flight.get(grant_return.request);
        // A return is outdated if a grant for another server followed, or if the request runs.
        let current = in_flight.is_some_and(|in_flight| {
            in_flight.server == grant_return.server && in_flight.state != InFlightState::Running
        });
        if !current {
            return;
        }
        self.in_flight.remove(grant_return.request);
        self.returned_grants
            .insert(grant_return.request, now + RETURNED_GRANT_TTL);
        if let Some(server) = self.servers.get_mut(&grant_return.server) {
            server.grant_returned(now, grant_return.request, grant_return.unreachable);
        }
    }

    /// Frees the capacity of an ended request and replaces its charge by its cost in the ledger.
    /// The cumulative total in `finished` also covers requests whose reports were lost.
    pub(super) fn on_finished(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        finished: Finished,
    ) {
        let in_flight = self.in_flight.remove(finished.request);
        self.ledger.merge(TotalCell {
            origin: finished.request.gateway,
            incarnation,
            workspace: finished.workspace,
            cost: finished.total,
        });
        self.queue.remove(finished.request);
        self.leases.remove(finished.request);
        if in_flight.is_some() {
            self.meter.record_cost(now, finished.cost);
            self.largest_cost = self.largest_cost.max(finished.cost);
        }
        if let Some(server) = self.servers.get_mut(&finished.server) {
            let end = Completion {
                outcome: finished.outcome,
                instance: finished.instance,
                first_byte_us: finished.first_byte_us,
                work: work_done(self.kind, &finished),
            };
            server.complete(now, finished.request, end);
        }
    }

    /// Records that a request runs, and raises its charge to its cost so far.
    pub(super) fn on_progress(&mut self, progress: Progress) {
        self.in_flight.progress(progress.request, progress.cost);
        if self.in_flight.get(progress.request).is_some() {
            self.largest_cost = self.largest_cost.max(progress.cost);
        }
    }

    /// Grants waiting bids in fair order while servers have free capacity.
    pub(super) fn grant_waiting(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        while let Some(workspace) = self.least_served() {
            let Some(server) = self.least_loaded_server(now) else {
                return;
            };
            let Some(waiting) = self.queue.head(workspace).copied() else {
                return;
            };
            self.queue.remove(waiting.bid.request);
            if waiting.deadline.has_passed(now) {
                self.refuse_past_deadline(&waiting, out);
            } else {
                self.grant(now, waiting, server, out);
            }
        }
    }

    /// Number of requests that could start at once on the servers of the shard.
    pub(super) fn free_capacity(&self, now: Timestamp) -> u32 {
        let free = self.servers.values().map(|server| server.free(now));
        free.fold(0, u32::saturating_add)
    }

    /// The server with free capacity that is least occupied in relation to its limit. Of equally
    /// occupied servers, the one in the warmest phase.
    fn least_loaded_server(&self, now: Timestamp) -> Option<ServerId> {
        let free = self.servers.values().filter(|server| server.free(now) > 0);
        free.min_by_key(|server| (occupancy_of(server), Reverse(server.phase()), server.id()))
            .map(BackendServer::id)
    }

    /// Grants one bid: occupies capacity of the server, charges the estimated cost to the workspace
    /// and sends the grant.
    fn grant(
        &mut self,
        now: Timestamp,
        waiting: WaitingBid,
        server_id: ServerId,
        out: &mut Vec<PoolAction>,
    ) {
        let bid = waiting.bid;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let Some(slot) = server.admit(now, bid.request) else {
            return;
        };
        let grant = new_grant(server, bid, slot);
        self.last_served_counter = self.counter(bid.workspace);
        self.in_flight.insert(InFlightRequest {
            request: bid.request,
            workspace: bid.workspace,
            server: server_id,
            charge: bid.estimate.max(1),
            state: InFlightState::Granted {
                grant,
                expires_at: now + GRANT_TTL,
            },
        });
        self.meter.record_departure(now);
        self.send(bid.request.gateway, PeerMessage::Grant(grant), out);
    }

    /// Answers a repeated bid with the grant that the request already has, because the grant
    /// message may have been lost. An expired grant is renewed on the same server, so that a
    /// request never has grants for two servers of the shard. Sends nothing if the request runs, or
    /// if the grant has expired and the server is out of service.
    fn resend_grant(&mut self, now: Timestamp, bid: Bid, out: &mut Vec<PoolAction>) {
        let Some(mut in_flight) = self.in_flight.get(bid.request).copied() else {
            return;
        };
        let InFlightState::Granted {
            mut grant,
            expires_at,
        } = in_flight.state
        else {
            return;
        };
        let mut until = expires_at;
        if expires_at.has_passed(now) {
            let server = self.servers.get(&in_flight.server);
            if !server.is_some_and(BackendServer::is_usable) {
                return;
            }
            until = now + GRANT_TTL;
            in_flight.state = InFlightState::Granted {
                grant,
                expires_at: until,
            };
            self.in_flight.insert(in_flight);
        }
        let remaining = until.remaining(now).as_micros();
        grant.remaining_us = u64::try_from(remaining).unwrap_or(u64::MAX);
        self.send(bid.request.gateway, PeerMessage::Grant(grant), out);
    }
}

/// Work that a request caused, for the throughput measurement of its server: tokens on a model
/// service. On a plain service each request counts as one, because its cost is its run time.
fn work_done(kind: ServiceKind, finished: &Finished) -> u64 {
    match kind {
        ServiceKind::Model => finished.cost,
        ServiceKind::Plain => 1,
    }
}

/// Share of the server's limit that is in use, in millionths.
fn occupancy_of(server: &BackendServer) -> u64 {
    u64::from(server.running()) * 1_000_000 / u64::from(server.limit().max(1))
}

fn new_grant(server: &BackendServer, bid: Bid, slot: u32) -> Grant {
    Grant {
        request: bid.request,
        service: bid.service,
        server: server.id(),
        instance: server.instance(),
        phase: server.phase(),
        limit: server.limit(),
        slot,
        remaining_us: u64::try_from(GRANT_TTL.as_micros()).unwrap_or(u64::MAX),
        // The host of this scheduler sets it when it sends the grant: the expiry on the gateway's
        // clock.
        expires_at_us: 0,
    }
}
