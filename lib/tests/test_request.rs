//! Tests of the gateway's request table: grants, permits, deadlines and disconnected callers.
//!
//! The gateway, which is the host that accepted a request, sends a bid for it to the scheduler of a
//! shard: the servers of one service in one failure domain (`pool` in identifiers). The scheduler
//! answers with a grant of a server. If the server is cold (its capacity is not learnt yet), the
//! gateway also needs a permit for a slot, one unit of the server's limit, from the slot's home
//! host. A warm server needs no permit.

use std::time::Duration;

use cardamomshift_lib::control::EndReport;
use cardamomshift_lib::control::RequestSpec;
use cardamomshift_lib::control::TicketKey;
use cardamomshift_lib::id::DomainId;
use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::ServiceId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::EndOutcome;
use cardamomshift_lib::message::Grant;
use cardamomshift_lib::message::PeerMessage;
use cardamomshift_lib::message::PermitAnswer;
use cardamomshift_lib::message::RefusalReason;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::pool::PoolKey;
use cardamomshift_lib::request::RequestAction;
use cardamomshift_lib::request::RequestTable;
use cardamomshift_lib::request::Routing;
use cardamomshift_lib::time::Timestamp;
use proptest::prelude::*;

const OWN: HostId = HostId(1);
const SCHEDULER: HostId = HostId(2);
const HOME: HostId = HostId(3);
/// A host that is neither the scheduler nor the home of a slot.
const OTHER_HOST: HostId = HostId(4);
const SERVICE: ServiceId = ServiceId(10);
const DOMAIN: DomainId = DomainId(20);
const SERVER: ServerId = ServerId(30);
const POOL: PoolKey = PoolKey {
    service: SERVICE,
    domain: DOMAIN,
};

/// A request table with a simulated clock. All bids go to one scheduler, and all slots have one
/// home host.
struct Fixture {
    table: RequestTable,
    now: Timestamp,
    actions: Vec<RequestAction>,
    /// Whether the server may be given new requests.
    usable: bool,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: RequestTable::new(OWN, Incarnation(1_000)),
            now: Timestamp::from_micros(1),
            actions: Vec::new(),
            usable: true,
        }
    }

    /// Calls a method of the table and returns the actions.
    fn step(
        &mut self,
        step: impl FnOnce(&mut RequestTable, Timestamp, &Routing<'_>, &mut Vec<RequestAction>),
    ) -> Vec<RequestAction> {
        let usable = self.usable;
        let routing = Routing {
            route_bid: &|_, _| Ok((POOL, SCHEDULER)),
            scheduler: &|_| Some(SCHEDULER),
            usable_domain: &|_| usable.then_some(DOMAIN),
            domain: &|_| Some(DOMAIN),
            slot_home: &|_, _| Some(HOME),
        };
        step(&mut self.table, self.now, &routing, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    /// Submits a request with a deadline of 60 s.
    fn submit(&mut self, ticket: u64) -> Vec<RequestAction> {
        let spec = RequestSpec {
            service: SERVICE,
            workspace: WorkspaceId(1),
            estimate: 100,
            deadline: self.now + Duration::from_secs(60),
            prefix: 0,
        };
        self.step(|table, now, routing, out| {
            table.submit(now, routing, TicketKey(ticket), spec, out);
        })
    }

    /// Delivers a grant of a server in the given phase.
    fn grant(&mut self, from: HostId, ticket: u64, phase: ServerPhase) -> Vec<RequestAction> {
        let grant = self.make_grant(ticket, phase);
        self.step(|table, now, routing, out| table.granted(now, routing, from, grant, out))
    }

    /// A grant that expires after 2 s.
    fn make_grant(&self, ticket: u64, phase: ServerPhase) -> Grant {
        Grant {
            request: self.table.request(TicketKey(ticket)),
            service: SERVICE,
            server: SERVER,
            phase,
            limit: 1,
            expires_at_us: (self.now + Duration::from_secs(2)).as_micros(),
            ..Grant::default()
        }
    }

    /// Delivers the answer of `from` to a permit request: the permit or its refusal.
    fn answer(&mut self, from: HostId, ticket: u64, granted: bool) -> Vec<RequestAction> {
        let answer = PermitAnswer {
            request: self.table.request(TicketKey(ticket)),
            server: SERVER,
            slot: 0,
            granted,
        };
        self.step(|table, now, routing, out| table.permit_answered(now, routing, from, answer, out))
    }

    /// Advances the clock and lets deadlines take effect.
    fn tick(&mut self, span: Duration) -> Vec<RequestAction> {
        self.now = self.now + span;
        self.step(|table, now, routing, out| table.tick(now, routing, out))
    }
}

fn dispatches(actions: &[RequestAction]) -> usize {
    let is_dispatch = |action: &&RequestAction| matches!(action, RequestAction::Dispatch { .. });
    actions.iter().filter(is_dispatch).count()
}

/// Receivers and kinds of the messages among `actions`.
fn sent(actions: &[RequestAction]) -> Vec<(HostId, &'static str)> {
    let name = |message: &PeerMessage| match message {
        PeerMessage::Bid(_) => "bid",
        PeerMessage::Withdrawal(_) => "withdrawal",
        PeerMessage::GrantReturn(_) => "grant return",
        PeerMessage::PermitRequest(_) => "permit request",
        PeerMessage::PermitRelease(_) => "permit release",
        PeerMessage::Finished(_) => "finished",
        _ => "other",
    };
    actions
        .iter()
        .filter_map(|action| match action {
            RequestAction::Send { to, message } => Some((*to, name(message))),
            _ => None,
        })
        .collect()
}

#[test]
fn grant_for_a_warm_server_dispatches_once() {
    let mut fixture = Fixture::new();
    assert_eq!(sent(&fixture.submit(1)), [(SCHEDULER, "bid")]);
    assert_eq!(
        dispatches(&fixture.grant(SCHEDULER, 1, ServerPhase::Warm)),
        1
    );
    let repeated = fixture.grant(SCHEDULER, 1, ServerPhase::Warm);
    assert!(repeated.is_empty(), "{repeated:?}");
}

/// A host that no longer schedules the shard may still send grants.
#[test]
fn grant_from_a_host_that_is_not_the_scheduler_is_returned() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    let actions = fixture.grant(OTHER_HOST, 1, ServerPhase::Warm);
    assert_eq!(sent(&actions), [(OTHER_HOST, "grant return")]);
    assert_eq!(dispatches(&actions), 0);
}

#[test]
fn expired_grant_is_returned() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    let grant = fixture.make_grant(1, ServerPhase::Warm);
    fixture.now = fixture.now + Duration::from_secs(2);
    let actions =
        fixture.step(|table, now, routing, out| table.granted(now, routing, SCHEDULER, grant, out));
    assert_eq!(sent(&actions), [(SCHEDULER, "grant return")]);
}

#[test]
fn cold_server_is_used_only_with_a_permit_of_the_slot_home() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    let actions = fixture.grant(SCHEDULER, 1, ServerPhase::Cold);
    assert_eq!(sent(&actions), [(HOME, "permit request")]);
    let unsolicited = fixture.answer(OTHER_HOST, 1, true);
    assert_eq!(sent(&unsolicited), [(OTHER_HOST, "permit release")]);
    assert_eq!(dispatches(&fixture.answer(HOME, 1, true)), 1);
    let report = EndReport {
        outcome: EndOutcome::Complete,
        cost: 7,
        first_byte: None,
        instance: 0,
    };
    let end = fixture.step(|table, _, routing, out| {
        table.finish(routing, TicketKey(1), report, out);
    });
    assert_eq!(
        sent(&end),
        [(HOME, "permit release"), (SCHEDULER, "finished")]
    );
}

#[test]
fn server_taken_out_of_service_while_awaiting_a_permit_is_not_used() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    fixture.grant(SCHEDULER, 1, ServerPhase::Cold);
    fixture.usable = false;
    let actions = fixture.answer(HOME, 1, true);
    assert_eq!(sent(&actions), [(HOME, "permit release")]);
    assert_eq!(dispatches(&actions), 0);
}

#[test]
fn refused_permit_delays_the_next_bid() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    fixture.grant(SCHEDULER, 1, ServerPhase::Cold);
    let refused = fixture.answer(HOME, 1, false);
    assert!(refused.is_empty(), "{refused:?}");
    let after_backoff = fixture.tick(Duration::from_millis(100));
    assert_eq!(
        sent(&after_backoff),
        [(SCHEDULER, "grant return"), (SCHEDULER, "bid")]
    );
}

#[test]
fn permit_granted_after_the_caller_disconnected_is_released() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    fixture.grant(SCHEDULER, 1, ServerPhase::Cold);
    let abandoned =
        fixture.step(|table, _, routing, out| table.abandon(routing, TicketKey(1), out));
    assert_eq!(
        sent(&abandoned),
        [(HOME, "permit release"), (SCHEDULER, "grant return")]
    );
    let late = fixture.answer(HOME, 1, true);
    assert_eq!(sent(&late), [(HOME, "permit release")]);
}

#[test]
fn waiting_request_is_refused_once_its_deadline_passes() {
    let mut fixture = Fixture::new();
    fixture.submit(1);
    let actions = fixture.tick(Duration::from_secs(60));
    let refused = actions.iter().any(|action| {
        matches!(
            action,
            RequestAction::Refuse {
                reason: RefusalReason::DeadlinePassed,
                ..
            }
        )
    });
    assert!(refused, "{actions:?}");
    assert_eq!(fixture.table.counts(), (0, 0));
}

/// An input of the request table. The number is that of a ticket, but for `Advance`, where it is a
/// time in milliseconds.
#[derive(Clone, Debug)]
enum Event {
    Submit(u64),
    Grant(u64, ServerPhase, HostId),
    Permit(u64, bool, HostId),
    ReturnOrder(u64),
    Finish(u64),
    Abandon(u64),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let ticket = 0..4_u64;
    let phase = prop_oneof![Just(ServerPhase::Cold), Just(ServerPhase::Warm)];
    let granter = prop_oneof![3 => Just(SCHEDULER), 1 => Just(OTHER_HOST)];
    let home = prop_oneof![3 => Just(HOME), 1 => Just(OTHER_HOST)];
    prop_oneof![
        ticket.clone().prop_map(Event::Submit),
        (ticket.clone(), phase, granter).prop_map(|(t, p, h)| Event::Grant(t, p, h)),
        (ticket.clone(), any::<bool>(), home).prop_map(|(t, g, h)| Event::Permit(t, g, h)),
        ticket.clone().prop_map(Event::ReturnOrder),
        ticket.clone().prop_map(Event::Finish),
        ticket.prop_map(Event::Abandon),
        (1..3_000_u64).prop_map(Event::Advance),
    ]
}

fn apply(fixture: &mut Fixture, event: Event) -> Vec<RequestAction> {
    match event {
        Event::Submit(ticket) => fixture.submit(ticket),
        Event::Grant(ticket, phase, from) => fixture.grant(from, ticket, phase),
        Event::Permit(ticket, granted, from) => fixture.answer(from, ticket, granted),
        Event::ReturnOrder(ticket) => fixture.step(|table, now, routing, out| {
            table.return_order(now, routing, TicketKey(ticket), false, out);
        }),
        Event::Finish(ticket) => fixture.step(|table, _, routing, out| {
            let report = EndReport {
                outcome: EndOutcome::Complete,
                cost: 1,
                first_byte: None,
                instance: 0,
            };
            table.finish(routing, TicketKey(ticket), report, out);
        }),
        Event::Abandon(ticket) => fixture.step(|table, _, routing, out| {
            table.abandon(routing, TicketKey(ticket), out);
        }),
        Event::Advance(millis) => fixture.tick(Duration::from_millis(millis)),
    }
}

proptest! {
    /// After every permit, whichever host it comes from, its request holds a slot or the permit is
    /// released. No event dispatches more than one request.
    #[test]
    fn slots_are_held_or_released(events in proptest::collection::vec(event(), 1..120)) {
        let mut fixture = Fixture::new();
        let mut submitted = std::collections::BTreeSet::new();
        for event in events {
            // A gateway never reuses a ticket number, so a repeated one is left out.
            if let Event::Submit(ticket) = &event
                && !submitted.insert(*ticket)
            {
                continue;
            }
            let permit = match &event {
                Event::Permit(ticket, true, from) => Some((*ticket, *from)),
                _ => None,
            };
            let actions = apply(&mut fixture, event);
            prop_assert!(dispatches(&actions) <= 1);
            if let Some((ticket, from)) = permit {
                let request = fixture.table.request(TicketKey(ticket));
                let held = fixture.table.held_slots().iter().any(|held| held.request == request);
                let released = sent(&actions).contains(&(from, "permit release"));
                prop_assert!(held || released);
            }
        }
        let (waiting, running) = fixture.table.counts();
        prop_assert!(waiting + running <= submitted.len() as u64);
    }
}
