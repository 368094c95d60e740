//! Handling of grants, permits and refusals that other hosts send for a waiting request.
//!
//! The gateway, which is the host that accepted the request, sends a bid for it to a scheduler. The
//! scheduler answers with a refusal or with a grant of a backend server. Two schedulers may be
//! active for a short time and grant the same server. A server whose capacity has been learnt (a
//! warm server) tolerates a brief excess, so its requests are dispatched at once. On any other
//! server the grant is for one slot, a numbered unit of the server's limit on concurrent requests,
//! and the gateway first asks the slot's home host for a permit. The home host is a host of the
//! server's failure domain that permits the slot to one request at a time.
//!
//! While the scheduler's role moves to another host, a grant may come from the wrong scheduler,
//! arrive twice or arrive too late. A grant that cannot be used is returned and a permit that is
//! not needed is released, so that capacity is neither used twice nor lost.

use std::time::Duration;

use super::RequestAction;
use super::RequestState;
use super::RequestTable;
use super::Routing;
use crate::control::TicketKey;
use crate::id::HostId;
use crate::message::Grant;
use crate::message::PeerMessage;
use crate::message::PermitAnswer;
use crate::message::PermitRelease;
use crate::message::PermitRequest;
use crate::message::Refusal;
use crate::message::ServerPhase;
use crate::time::Timestamp;

/// Time for which a valid grant without a usable permit is kept before it is returned and a new bid
/// is sent. An immediate return could bring the same grant back at once, again and again.
const BACKOFF: Duration = Duration::from_millis(50);

impl RequestTable {
    /// Handles a grant from `from`, which may no longer be the scheduler of the server's shard.
    ///
    /// A repeated grant is ignored. A grant is returned if the request does not wait, the grant has
    /// expired, the server may not be given new requests, or `from` is not the server's scheduler.
    pub fn granted(
        &mut self,
        now: Timestamp,
        routing: &Routing<'_>,
        from: HostId,
        grant: Grant,
        out: &mut Vec<RequestAction>,
    ) {
        let ticket = self.ticket(grant.request);
        let state = self.open.get(&ticket).map(|open| open.state);
        if state.is_some_and(|state| holds_same_grant(&state, &grant)) {
            return;
        }
        let expires_at = Timestamp::from_micros(grant.expires_at_us);
        let is_waiting = matches!(state, Some(RequestState::Waiting { .. }));
        if !is_waiting || expires_at.has_passed(now) || !self.is_valid(routing, from, &grant) {
            // `false`: no connection to the server has failed.
            self.return_grant(&grant, from, false, out);
            return;
        }
        self.withdraw_superseded_bid(ticket, from, out);
        // The server's phase and limit, which a new scheduler learns from the announcements.
        self.accounts.record_grant(&grant);
        if grant.phase == ServerPhase::Warm {
            self.dispatch(ticket, grant, None, expires_at, out);
            return;
        }
        let Some(home) = (routing.slot_home)(grant.server, grant.slot) else {
            // The host list has no entry host in the server's failure domain.
            self.back_off(now, ticket, grant, from);
            return;
        };
        self.set_state(
            ticket,
            RequestState::AwaitingPermit {
                grant,
                scheduler: from,
                home,
                expires_at,
            },
        );
        let message = PeerMessage::PermitRequest(PermitRequest {
            request: grant.request,
            server: grant.server,
            slot: grant.slot,
        });
        out.push(RequestAction::Send { to: home, message });
    }

    /// Handles the answer of a home host to a permit request.
    ///
    /// A permit that the request has no use for, for example because its caller has disconnected,
    /// is released.
    pub fn permit_answered(
        &mut self,
        now: Timestamp,
        routing: &Routing<'_>,
        from: HostId,
        answer: PermitAnswer,
        out: &mut Vec<RequestAction>,
    ) {
        let ticket = self.ticket(answer.request);
        let state = self.open.get(&ticket).map(|open| open.state);
        if let Some(RequestState::AwaitingPermit {
            grant,
            scheduler,
            home,
            expires_at,
        }) = state
            && home == from
            && grant.server == answer.server
            && grant.slot == answer.slot
        {
            // `usable_domain` is `None` for a server that may not be given new requests.
            if !answer.granted {
                self.back_off(now, ticket, grant, scheduler);
            } else if expires_at.has_passed(now) || (routing.usable_domain)(grant.server).is_none()
            {
                self.release(&grant, Some(home), out);
                self.back_off(now, ticket, grant, scheduler);
            } else {
                self.dispatch(ticket, grant, Some(home), expires_at, out);
            }
            return;
        }
        if answer.granted
            && !state.is_some_and(|state| dispatched_with_permit(&state, from, &answer))
        {
            let message = PeerMessage::PermitRelease(PermitRelease {
                request: answer.request,
                server: answer.server,
                slot: answer.slot,
            });
            out.push(RequestAction::Send { to: from, message });
        }
    }

    /// Handles a refusal of a bid. It is ignored unless it comes from the scheduler at which the
    /// request waits.
    pub fn refused(&mut self, from: HostId, refusal: Refusal, out: &mut Vec<RequestAction>) {
        let ticket = self.ticket(refusal.request);
        let Some(open) = self.open.get(&ticket) else {
            return;
        };
        let RequestState::Waiting { scheduler, .. } = open.state else {
            return;
        };
        if scheduler != from {
            return;
        }
        self.refuse(
            ticket,
            refusal.reason,
            Duration::from_millis(refusal.retry_after_ms),
            out,
        );
    }

    /// Withdraws the bid from the scheduler at which it waits if another scheduler has sent the
    /// grant.
    fn withdraw_superseded_bid(
        &self,
        ticket: TicketKey,
        granted_by: HostId,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(open) = self.open.get(&ticket) else {
            return;
        };
        if let RequestState::Waiting { scheduler, .. } = open.state
            && scheduler != granted_by
        {
            self.withdraw(ticket, open.spec.service, scheduler, out);
        }
    }

    /// Keeps the grant for [`BACKOFF`], after which [`tick`](Self::tick) returns it and bids again.
    fn back_off(&mut self, now: Timestamp, ticket: TicketKey, grant: Grant, scheduler: HostId) {
        self.set_state(
            ticket,
            RequestState::BackingOff {
                grant,
                scheduler,
                return_at: now + BACKOFF,
            },
        );
    }

    /// Dispatches a request, whose first byte must be sent before `deadline`: the expiry of the
    /// grant, not the deadline of the request.
    fn dispatch(
        &mut self,
        ticket: TicketKey,
        grant: Grant,
        home: Option<HostId>,
        deadline: Timestamp,
        out: &mut Vec<RequestAction>,
    ) {
        let cost = 0;
        self.set_state(ticket, RequestState::Dispatched { grant, home, cost });
        out.push(RequestAction::Dispatch {
            ticket,
            server: grant.server,
            deadline,
        });
    }

    /// Whether a grant is for a server that may be given new requests, and comes from the scheduler
    /// of its shard.
    fn is_valid(&self, routing: &Routing<'_>, from: HostId, grant: &Grant) -> bool {
        (routing.usable_domain)(grant.server).is_some()
            && self.scheduler_of(routing, grant) == Some(from)
    }
}

/// Whether the request has a grant for the same server already, so that `grant` is a repetition.
/// The slots are not compared: a scheduler identifies a returned grant by request and server, so it
/// would take the return of a repeated grant for that of the first.
fn holds_same_grant(state: &RequestState, grant: &Grant) -> bool {
    match state {
        RequestState::Waiting { .. } => false,
        RequestState::AwaitingPermit { grant: held, .. }
        | RequestState::BackingOff { grant: held, .. }
        | RequestState::Dispatched { grant: held, .. } => held.server == grant.server,
    }
}

/// Whether the request was dispatched with a permit for the same slot from the same host, so that
/// `answer` is a repetition.
fn dispatched_with_permit(state: &RequestState, from: HostId, answer: &PermitAnswer) -> bool {
    matches!(
        state,
        RequestState::Dispatched { grant, home: Some(home), .. }
            if *home == from && grant.server == answer.server && grant.slot == answer.slot
    )
}
