//! Table of a gateway's open requests and the transitions between their states. The gateway of a
//! request is the host that accepted it.
//!
//! For each accepted request the gateway sends a bid to the scheduler of a shard (`pool` in
//! identifiers), which is the set of servers of one service in one failure domain. The scheduler
//! answers with a grant of a server or with a refusal.
//!
//! The scheduler learns how many requests a server can run at once; the server is *warm* once this
//! limit is known. Until then the scheduler works with a preliminary limit. Each unit of it is a
//! numbered slot, and every grant is for one slot. While the scheduler's role moves to another
//! host, two schedulers may be active and grant the same slot. The gateway therefore needs a permit
//! for the slot before it dispatches the request. The permit comes from the slot's home host, which
//! gives each slot to one request at a time. A warm server tolerates a brief excess, so its
//! requests need no permit.
//!
//! The table does no I/O: each method appends the messages and decisions that result to a list of
//! [`RequestAction`]. Schedulers and slot homes move from host to host as hosts come and go, so the
//! table asks [`Routing`] for the current receiver each time and moves waiting bids when their
//! scheduler changes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Accounts;
use super::OpenRequest;
use super::RequestState;
use crate::control::EndReport;
use crate::control::RequestSpec;
use crate::control::TicketKey;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::message::Announcement;
use crate::message::Bid;
use crate::message::EndOutcome;
use crate::message::Finished;
use crate::message::Grant;
use crate::message::GrantReturn;
use crate::message::PeerMessage;
use crate::message::PermitRelease;
use crate::message::PermitRequest;
use crate::message::Progress;
use crate::message::RefusalReason;
use crate::message::Running;
use crate::message::Withdrawal;
use crate::pool::PoolKey;
use crate::time::Timestamp;

/// Time after which a caller may retry, for refusals that the gateway decides without a scheduler.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Routing queries, answered from the gateway's own view of the fleet.
pub struct Routing<'a> {
    /// Shard and scheduler for a new bid of a service, or the reason why there is none. The second
    /// argument is the request's sequence number; it spreads requests over the shards of other
    /// failure domains if the gateway's own domain has no shard of the service.
    pub route_bid: &'a dyn Fn(ServiceId, u64) -> Result<(PoolKey, HostId), RefusalReason>,
    /// Host that runs the scheduler of a shard, if any.
    pub scheduler: &'a dyn Fn(PoolKey) -> Option<HostId>,
    /// Failure domain of a server that may be given new requests: it is in the host list, not about
    /// to stop, and not taken out of service by the configuration. `None` for any other server.
    pub usable_domain: &'a dyn Fn(ServerId) -> Option<DomainId>,
    /// Failure domain of a server, whether or not it may be given new requests. `None` if it is not
    /// in the host list, which names the backend servers as well as the entry hosts (the hosts that
    /// run gateways).
    pub domain: &'a dyn Fn(ServerId) -> Option<DomainId>,
    /// Home host of a server's slot, from which the permit for the slot must be obtained.
    pub slot_home: &'a dyn Fn(ServerId, u32) -> Option<HostId>,
}

/// An output of the request table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Send a message to a host, which may be the gateway's own.
    Send {
        /// Receiver.
        to: HostId,
        /// The message.
        message: PeerMessage,
    },
    /// Pass a request to the traffic threads for dispatch.
    Dispatch {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Server to use.
        server: ServerId,
        /// When the grant expires. The first byte of the request must be sent before this time, or
        /// else the dispatch order is returned.
        deadline: Timestamp,
    },
    /// Tell the caller that the request was not run.
    Refuse {
        /// Ticket of the request.
        ticket: TicketKey,
        /// Why it was refused.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The open requests of a gateway: accepted and not ended.
pub struct RequestTable {
    /// Host of this gateway.
    own: HostId,
    /// Incarnation of that host: identifies this start of its process.
    incarnation: Incarnation,
    pub(super) open: BTreeMap<TicketKey, OpenRequest>,
    /// Cost totals and observed server states, for the announcements to schedulers.
    pub(super) accounts: Accounts,
}

impl RequestTable {
    /// Creates an empty table. `incarnation` identifies this start of the host.
    pub fn new(own: HostId, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            open: BTreeMap::new(),
            accounts: Accounts::default(),
        }
    }

    /// Request id of a ticket. Tickets are numbered from zero at each start of the host; a request
    /// id is unique in the fleet and across restarts.
    ///
    /// The sequence number is the ticket's number added to the incarnation, which is the time of
    /// the start in microseconds. Those of a later incarnation are therefore higher as long as the
    /// host accepts fewer than one request per microsecond.
    pub fn request(&self, ticket: TicketKey) -> RequestId {
        RequestId {
            gateway: self.own,
            sequence: self.incarnation.0.wrapping_add(ticket.0),
        }
    }

    /// Number of requests not yet dispatched, and number of dispatched requests.
    pub fn counts(&self) -> (u64, u64) {
        let dispatched = self
            .open
            .values()
            .filter(|open| matches!(open.state, RequestState::Dispatched { .. }))
            .count() as u64;
        (self.open.len() as u64 - dispatched, dispatched)
    }

    /// Accepts a request and sends a bid for it, or refuses it if no scheduler can take the bid.
    pub fn submit(
        &mut self,
        now: Timestamp,
        routing: &Routing<'_>,
        ticket: TicketKey,
        spec: RequestSpec,
        out: &mut Vec<RequestAction>,
    ) {
        self.bid(now, routing, ticket, spec, out);
    }

    /// Handles a dispatch order ([`RequestAction::Dispatch`]) that a traffic thread returns because
    /// no byte of the request was sent: releases the permit, returns the grant and sends a new bid.
    /// `unreachable` says whether the connection to the server failed.
    pub fn return_order(
        &mut self,
        now: Timestamp,
        routing: &Routing<'_>,
        ticket: TicketKey,
        unreachable: bool,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(open) = self.open.get(&ticket).copied() else {
            return;
        };
        let RequestState::Dispatched { grant, home, .. } = open.state else {
            return;
        };
        self.release(&grant, home, out);
        if let Some(scheduler) = self.scheduler_of(routing, &grant) {
            self.return_grant(&grant, scheduler, unreachable, out);
        }
        self.bid(now, routing, ticket, open.spec, out);
    }

    /// Records the cost so far of a dispatched request, in the unit of the service, and reports it
    /// to the scheduler.
    pub fn progress(
        &mut self,
        routing: &Routing<'_>,
        ticket: TicketKey,
        cost_so_far: u64,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        let RequestState::Dispatched { grant, cost, .. } = &mut open.state else {
            return;
        };
        *cost = cost_so_far;
        let grant = *grant;
        if let Some(to) = self.scheduler_of(routing, &grant) {
            let message = PeerMessage::Progress(Progress {
                request: grant.request,
                service: grant.service,
                cost: cost_so_far,
            });
            out.push(RequestAction::Send { to, message });
        }
    }

    /// Ends a dispatched request: releases the permit, charges the workspace and reports the end to
    /// the scheduler. The report also has the workspace's cumulative cost (`total`), which makes up
    /// for lost reports.
    pub fn finish(
        &mut self,
        routing: &Routing<'_>,
        ticket: TicketKey,
        report: EndReport,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        let RequestState::Dispatched { grant, home, .. } = open.state else {
            return;
        };
        self.release(&grant, home, out);
        self.accounts
            .record_end(grant.service, grant.server, report.outcome, report.instance);
        let total = self
            .accounts
            .charge(grant.service, open.spec.workspace, report.cost);
        let Some(to) = self.scheduler_of(routing, &grant) else {
            return;
        };
        // Zero in the message means that the time was not measured.
        let first_byte = report.first_byte.unwrap_or_default();
        let message = PeerMessage::Finished(Finished {
            request: grant.request,
            service: grant.service,
            workspace: open.spec.workspace,
            server: grant.server,
            instance: report.instance,
            outcome: report.outcome,
            cost: report.cost,
            first_byte_us: u64::try_from(first_byte.as_micros()).unwrap_or(u64::MAX),
            total,
        });
        out.push(RequestAction::Send { to, message });
    }

    /// Ends a request whose caller has disconnected. A dispatched request counts as cancelled and
    /// is charged its cost so far.
    pub fn abandon(
        &mut self,
        routing: &Routing<'_>,
        ticket: TicketKey,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(open) = self.open.get(&ticket).copied() else {
            return;
        };
        if let RequestState::Dispatched { cost, .. } = open.state {
            let report = EndReport {
                outcome: EndOutcome::Cancelled,
                cost,
                first_byte: None,
                // Zero: the server's instance (running process) is unknown, because the ticket was
                // dropped without a report (see `control::Ticket`).
                instance: 0,
            };
            self.finish(routing, ticket, report, out);
            return;
        }
        self.release_claims(ticket, &open, out);
        self.open.remove(&ticket);
    }

    /// Moves waiting bids whose shard or scheduler has changed: withdraws each from the old
    /// scheduler and bids again.
    pub fn reroute_bids(
        &mut self,
        now: Timestamp,
        routing: &Routing<'_>,
        out: &mut Vec<RequestAction>,
    ) {
        for ticket in self.tickets() {
            let open = self.open[&ticket];
            let RequestState::Waiting { pool, scheduler } = open.state else {
                continue;
            };
            let sequence = self.request(ticket).sequence;
            match (routing.route_bid)(open.spec.service, sequence) {
                Ok(route) if route == (pool, scheduler) => (),
                Ok(_) | Err(_) => {
                    self.release_claims(ticket, &open, out);
                    self.bid(now, routing, ticket, open.spec, out);
                }
            }
        }
    }

    /// Acts on deadlines that have passed. Waiting requests are refused after their deadline. If
    /// the permit did not arrive before the grant expired, the grant is returned and a new bid
    /// sent. The same happens at the end of the backoff for a grant that could not be used, for
    /// example because the permit was refused (see [`RequestState::BackingOff`]).
    pub fn tick(&mut self, now: Timestamp, routing: &Routing<'_>, out: &mut Vec<RequestAction>) {
        for ticket in self.tickets() {
            let open = self.open[&ticket];
            match open.state {
                RequestState::Waiting { .. } if open.spec.deadline.has_passed(now) => {
                    self.release_claims(ticket, &open, out);
                    self.refuse(ticket, RefusalReason::DeadlinePassed, RETRY_AFTER, out);
                }
                RequestState::AwaitingPermit { expires_at, .. } if expires_at.has_passed(now) => {
                    self.release_claims(ticket, &open, out);
                    self.bid(now, routing, ticket, open.spec, out);
                }
                RequestState::BackingOff { return_at, .. } if return_at.has_passed(now) => {
                    self.release_claims(ticket, &open, out);
                    self.bid(now, routing, ticket, open.spec, out);
                }
                _ => (),
            }
        }
    }

    /// Number of charges so far; each dispatched request that ends is one charge. Passed as `since`
    /// to a later [`announcement`](Self::announcement), it leaves out the totals that have not
    /// changed in between.
    pub fn charges(&self) -> u64 {
        self.accounts.charges()
    }

    /// The state that the scheduler of shard `key` needs from this gateway: its waiting bids,
    /// running requests, observed server states (`sights`) and cost totals.
    ///
    /// A scheduler keeps no state across a restart or a change of host, and rebuilds it from these
    /// announcements. Only totals that changed after the charge numbered `since` are included.
    pub fn announcement(
        &self,
        now: Timestamp,
        routing: &Routing<'_>,
        key: PoolKey,
        since: u64,
    ) -> Announcement {
        let mut announcement = Announcement {
            service: key.service,
            domain: key.domain,
            sights: self.accounts.observations(key.service).collect(),
            totals: self
                .accounts
                .changed_totals(key.service, since, self.own, self.incarnation)
                .collect(),
            ..Announcement::default()
        };
        announcement
            .sights
            .retain(|observation| (routing.domain)(observation.server) == Some(key.domain));
        for (ticket, open) in &self.open {
            match open.state {
                RequestState::Waiting { pool, .. } if pool == key => {
                    announcement
                        .bids
                        .push(self.make_bid(now, *ticket, &open.spec));
                }
                RequestState::Dispatched { grant, cost, .. }
                    if grant.service == key.service
                        && (routing.domain)(grant.server) == Some(key.domain) =>
                {
                    announcement
                        .running
                        .push(running_entry(&grant, &open.spec, cost));
                }
                // A granted request is not announced before its dispatch. The scheduler that sent
                // the grant counts the request from then on, and a new scheduler learns of it from
                // the first announcement after the dispatch or after a new bid.
                _ => (),
            }
        }
        announcement
    }

    /// All slots that this gateway holds or has asked for, each as its permit request. The gateway
    /// announces them to every host, so that a new home host learns which slots are in use.
    ///
    /// They are not filtered by home host, since the home of a slot may have changed since the
    /// permit was requested.
    pub fn held_slots(&self) -> Vec<PermitRequest> {
        self.open.values().filter_map(held_slot).collect()
    }

    /// Ticket of a request id; the inverse of [`request`](Self::request).
    pub(super) fn ticket(&self, request: RequestId) -> TicketKey {
        TicketKey(request.sequence.wrapping_sub(self.incarnation.0))
    }

    fn tickets(&self) -> Vec<TicketKey> {
        self.open.keys().copied().collect()
    }

    /// Sets the state of a request, unless it has ended.
    pub(super) fn set_state(&mut self, ticket: TicketKey, state: RequestState) {
        if let Some(open) = self.open.get_mut(&ticket) {
            open.state = state;
        }
    }

    /// Sends a bid for a request, which then waits, or refuses the request if no scheduler can take
    /// the bid.
    fn bid(
        &mut self,
        now: Timestamp,
        routing: &Routing<'_>,
        ticket: TicketKey,
        spec: RequestSpec,
        out: &mut Vec<RequestAction>,
    ) {
        let sequence = self.request(ticket).sequence;
        match (routing.route_bid)(spec.service, sequence) {
            Ok((pool, scheduler)) => {
                let state = RequestState::Waiting { pool, scheduler };
                self.open.insert(ticket, OpenRequest { spec, state });
                let message = PeerMessage::Bid(self.make_bid(now, ticket, &spec));
                out.push(RequestAction::Send {
                    to: scheduler,
                    message,
                });
            }
            Err(reason) => self.refuse(ticket, reason, RETRY_AFTER, out),
        }
    }

    /// The bid for a request, with its estimated cost and the time that remains until its deadline.
    /// `prefix` is the hash of the beginning of the prompt, zero for a request without one.
    fn make_bid(&self, now: Timestamp, ticket: TicketKey, spec: &RequestSpec) -> Bid {
        let remaining = spec.deadline.remaining(now);
        Bid {
            request: self.request(ticket),
            service: spec.service,
            workspace: spec.workspace,
            estimate: spec.estimate,
            remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            prefix: spec.prefix,
        }
    }

    /// Ends a request that was not run, and tells its caller why.
    pub(super) fn refuse(
        &mut self,
        ticket: TicketKey,
        reason: RefusalReason,
        retry_after: Duration,
        out: &mut Vec<RequestAction>,
    ) {
        self.open.remove(&ticket);
        out.push(RequestAction::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    /// Withdraws the bid, or returns the grant and releases the permit, of a request that is not
    /// dispatched.
    fn release_claims(&self, ticket: TicketKey, open: &OpenRequest, out: &mut Vec<RequestAction>) {
        match open.state {
            RequestState::Waiting { scheduler, .. } => {
                self.withdraw(ticket, open.spec.service, scheduler, out);
            }
            RequestState::AwaitingPermit {
                grant,
                scheduler,
                home,
                ..
            } => {
                self.release(&grant, Some(home), out);
                self.return_grant(&grant, scheduler, false, out);
            }
            RequestState::BackingOff {
                grant, scheduler, ..
            } => self.return_grant(&grant, scheduler, false, out),
            RequestState::Dispatched { .. } => (),
        }
    }

    /// Tells a scheduler to drop the bid for a request.
    pub(super) fn withdraw(
        &self,
        ticket: TicketKey,
        service: ServiceId,
        to: HostId,
        out: &mut Vec<RequestAction>,
    ) {
        let message = PeerMessage::Withdrawal(Withdrawal {
            request: self.request(ticket),
            service,
        });
        out.push(RequestAction::Send { to, message });
    }

    /// Returns an unused grant to a scheduler. `unreachable` says whether connecting to the server
    /// failed, which the scheduler counts as a failure of the server.
    pub(super) fn return_grant(
        &self,
        grant: &Grant,
        to: HostId,
        unreachable: bool,
        out: &mut Vec<RequestAction>,
    ) {
        let message = PeerMessage::GrantReturn(GrantReturn {
            request: grant.request,
            service: grant.service,
            server: grant.server,
            unreachable,
        });
        out.push(RequestAction::Send { to, message });
    }

    /// Releases the permit for the grant's slot. `home` is `None` if no permit was needed.
    pub(super) fn release(
        &self,
        grant: &Grant,
        home: Option<HostId>,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(to) = home else {
            return;
        };
        let message = PeerMessage::PermitRelease(PermitRelease {
            request: grant.request,
            server: grant.server,
            slot: grant.slot,
        });
        out.push(RequestAction::Send { to, message });
    }

    /// Current scheduler of the shard of the grant's server. It may differ from the one that sent
    /// the grant.
    pub(super) fn scheduler_of(&self, routing: &Routing<'_>, grant: &Grant) -> Option<HostId> {
        let domain = (routing.domain)(grant.server)?;
        (routing.scheduler)(PoolKey {
            service: grant.service,
            domain,
        })
    }
}

/// The permit request for the slot that a request holds or has asked for, if any.
fn held_slot(open: &OpenRequest) -> Option<PermitRequest> {
    let grant = match open.state {
        RequestState::AwaitingPermit { grant, .. } => grant,
        RequestState::Dispatched {
            grant,
            home: Some(_),
            ..
        } => grant,
        _ => return None,
    };
    Some(PermitRequest {
        request: grant.request,
        server: grant.server,
        slot: grant.slot,
    })
}

fn running_entry(grant: &Grant, spec: &RequestSpec, cost: u64) -> Running {
    Running {
        request: grant.request,
        workspace: spec.workspace,
        server: grant.server,
        estimate: spec.estimate,
        cost,
    }
}
