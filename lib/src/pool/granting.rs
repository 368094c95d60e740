//! From waiting bid to the end of the request.

use std::cmp::Reverse;
use std::time::Duration;

use super::PoolAction;
use super::flight::Flight;
use super::flight::FlightState;
use super::queue::Waiting;
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

/// Time within which a gateway has to dispatch a granted request.
const GRANT_TERM: Duration = Duration::from_secs(2);
/// Time within which a request whose grant was returned bids again without a lift of its
/// workspace, which has not been idle.
const RETURN_TERM: Duration = Duration::from_secs(1);

impl Scheduler {
    pub(super) fn on_bid(&mut self, now: Timestamp, bid: Bid, out: &mut Vec<PoolAction>) {
        if self.flights.get(bid.request).is_some() {
            self.repeat_grant(now, bid, out);
            return;
        }
        if self.queue.contains(bid.request) || self.loans.contains(bid.request) {
            return;
        }
        if let Some(refusal) = self.refusal_of(now, &bid) {
            self.send(bid.request.gateway, PeerMessage::Refusal(refusal), out);
            return;
        }
        if self.returned.remove(&bid.request).is_none() {
            self.lift_newcomer(now, bid.workspace);
        }
        self.enqueue(now, bid, None);
    }

    /// Puts a bid into the queue.
    pub(super) fn enqueue(&mut self, now: Timestamp, bid: Bid, guest_until: Option<Timestamp>) {
        self.largest = self.largest.max(bid.estimate);
        self.queue.insert(Waiting {
            bid,
            deadline: now + Duration::from_micros(bid.remaining_us),
            guest_until,
        });
    }

    pub(super) fn on_withdrawal(&mut self, withdrawal: Withdrawal, out: &mut Vec<PoolAction>) {
        self.queue.remove(withdrawal.request);
        if let Some(loan) = self.loans.remove(withdrawal.request) {
            self.send(loan.to, PeerMessage::Withdrawal(withdrawal), out);
        }
    }

    pub(super) fn on_grant_return(&mut self, now: Timestamp, grant_return: GrantReturn) {
        let flight = self.flights.get(grant_return.request);
        // A return that crossed a later grant, or a sign that the request runs, is outdated.
        let current = flight.is_some_and(|flight| {
            flight.server == grant_return.server && flight.state != FlightState::Running
        });
        if !current {
            return;
        }
        self.flights.remove(grant_return.request);
        self.returned
            .insert(grant_return.request, now + RETURN_TERM);
        if let Some(server) = self.servers.get_mut(&grant_return.server) {
            server.grant_returned(now, grant_return.request, grant_return.unreachable);
        }
    }

    pub(super) fn on_finished(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        finished: Finished,
    ) {
        let flight = self.flights.remove(finished.request);
        self.ledger.merge(TotalCell {
            origin: finished.request.gateway,
            incarnation,
            workspace: finished.workspace,
            cost: finished.total,
        });
        self.queue.remove(finished.request);
        self.loans.remove(finished.request);
        if flight.is_some() {
            self.meter.spend(now, finished.cost);
            self.largest = self.largest.max(finished.cost);
        }
        if let Some(server) = self.servers.get_mut(&finished.server) {
            let end = Completion {
                outcome: finished.outcome,
                instance: finished.instance,
                first_byte_us: finished.first_byte_us,
                work: work_of(self.kind, &finished),
            };
            server.complete(now, finished.request, end);
        }
    }

    pub(super) fn on_progress(&mut self, progress: Progress) {
        self.flights.progress(progress.request, progress.cost);
        if self.flights.get(progress.request).is_some() {
            self.largest = self.largest.max(progress.cost);
        }
    }

    /// Grants waiting bids while servers have free places.
    pub(super) fn grant_free(&mut self, now: Timestamp, out: &mut Vec<PoolAction>) {
        while let Some(workspace) = self.least_served() {
            let Some(server) = self.freest_server(now) else {
                return;
            };
            let Some(waiting) = self.queue.head(workspace).copied() else {
                return;
            };
            self.queue.remove(waiting.bid.request);
            if waiting.deadline.has_passed(now) {
                self.refuse_late(&waiting, out);
            } else {
                self.grant(now, waiting, server, out);
            }
        }
    }

    /// Requests that could start at once.
    pub(super) fn free_places(&self, now: Timestamp) -> u32 {
        let free = self.servers.values().map(|server| server.free(now));
        free.fold(0, u32::saturating_add)
    }

    /// The server with the least load for its limit. Equal loads go to the warmer one.
    fn freest_server(&self, now: Timestamp) -> Option<ServerId> {
        let free = self.servers.values().filter(|server| server.free(now) > 0);
        free.min_by_key(|server| (load_of(server), Reverse(server.phase()), server.id()))
            .map(BackendServer::id)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        waiting: Waiting,
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
        let grant = grant_on(server, bid, slot);
        self.last_served = self.counter(bid.workspace);
        self.flights.insert(Flight {
            request: bid.request,
            workspace: bid.workspace,
            server: server_id,
            charge: bid.estimate.max(1),
            state: FlightState::Granted {
                grant,
                lapses: now + GRANT_TERM,
            },
        });
        self.meter.depart(now);
        self.send(bid.request.gateway, PeerMessage::Grant(grant), out);
    }

    /// Answers a bid that was granted before: the grant may have been lost. A lapsed grant is
    /// renewed in its place, so that the request never holds two.
    fn repeat_grant(&mut self, now: Timestamp, bid: Bid, out: &mut Vec<PoolAction>) {
        let Some(mut flight) = self.flights.get(bid.request).copied() else {
            return;
        };
        let FlightState::Granted { mut grant, lapses } = flight.state else {
            return;
        };
        let mut until = lapses;
        if lapses.has_passed(now) {
            let server = self.servers.get(&flight.server);
            if !server.is_some_and(BackendServer::is_usable) {
                return;
            }
            until = now + GRANT_TERM;
            flight.state = FlightState::Granted {
                grant,
                lapses: until,
            };
            self.flights.insert(flight);
        }
        let remaining = until.remaining(now).as_micros();
        grant.remaining_us = u64::try_from(remaining).unwrap_or(u64::MAX);
        self.send(bid.request.gateway, PeerMessage::Grant(grant), out);
    }
}

/// Work that a request did: tokens of a model, but requests of a plain service, whose cost is the
/// time that they ran.
fn work_of(kind: ServiceKind, finished: &Finished) -> u64 {
    match kind {
        ServiceKind::Model => finished.cost,
        ServiceKind::Plain => 1,
    }
}

/// Share of the limit that is taken, in millionths.
fn load_of(server: &BackendServer) -> u64 {
    u64::from(server.running()) * 1_000_000 / u64::from(server.limit().max(1))
}

fn grant_on(server: &BackendServer, bid: Bid, slot: u32) -> Grant {
    Grant {
        request: bid.request,
        service: bid.service,
        server: server.id(),
        instance: server.instance(),
        phase: server.phase(),
        limit: server.limit(),
        slot,
        remaining_us: u64::try_from(GRANT_TERM.as_micros()).unwrap_or(u64::MAX),
        lapses_at_us: 0,
    }
}
