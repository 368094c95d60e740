//! Simulates a load on model engines under a request placement policy.
//!
//! The engines are models without sockets, and time is a number that jumps from event to event, so
//! a run is fast and depends only on its seed. The scheduler is the code that entry hosts run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use cardamomshift_lib::entry::EngineView;
use cardamomshift_lib::entry::Progress;
use cardamomshift_lib::entry::ProgressStep;
use cardamomshift_lib::entry::PromptPart;
use cardamomshift_lib::entry::ReservationId;
use cardamomshift_lib::entry::ScheduleDecision;
use cardamomshift_lib::entry::ScheduleRequest;
use cardamomshift_lib::entry::Scheduler;
use cardamomshift_lib::entry::Shard;
use cardamomshift_lib::time::Timestamp;
use cardamomshift_testutils::EngineEvent;
use cardamomshift_testutils::EngineEventKind;
use cardamomshift_testutils::EngineRequest;
use cardamomshift_testutils::SimulatedEngine;
use cardamomshift_testutils::SimulatedEngineProfile;

use super::load::KINDS;
use super::load::LoadRequest;
use super::load::LoadSpec;
use super::load::generate_requests;

/// One-way network delay from a host to an engine.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Hash that identifies the service to the scheduler.
const SERVICE: u64 = 1;

/// Policy that decides which engine a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The scheduler of entry hosts. It may delay or refuse a request.
    Scheduler,
    /// All requests of a session go to the engine given by a hash of the session. None is refused.
    SessionAffinity,
    /// Requests go to the engines in turn. None is refused.
    RoundRobin,
}

/// Request counts by outcome, of all requests or those of one kind or workspace. Requests in none
/// of the outcomes timed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All requests.
    pub requests: u32,
    /// Complete responses that started within the latency objective.
    pub in_time: u32,
    /// Complete responses that started after the latency objective.
    pub late: u32,
    /// Requests refused on arrival.
    pub refused: u32,
}

impl Tally {
    /// Share of the requests with a complete response.
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    /// Share of the requests with a complete response that started within the latency objective.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

/// Result of a simulated load.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Counts of all requests.
    pub all: Tally,
    /// Counts by kind, in the order of [`KINDS`].
    pub kinds: [Tally; KINDS.len()],
    /// Counts by workspace number.
    pub workspaces: HashMap<u64, Tally>,
    /// Prompt tokens that the engines processed (prefill), without those that they had cached.
    pub prefilled_tokens: u64,
    /// Prompt tokens that no other request has, of all requests that were sent to engines.
    pub unique_tokens: u64,
}

impl Outcome {
    /// Smallest [`Tally::in_time_share`] of any workspace.
    pub fn worst_workspace(&self) -> f64 {
        let parts = self.workspaces.values().map(Tally::in_time_share);
        parts.fold(1.0, f64::min)
    }
}

/// A request that was given to an engine and has not ended.
struct InFlightRequest {
    request: LoadRequest,
    /// Index of its engine.
    engine: usize,
    /// Reservation in the scheduler, none under the other policies.
    reservation: Option<ReservationId>,
    /// When the host sends it, which the scheduler may have delayed.
    sent_at: Duration,
    response_started_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    /// The request with this id reaches its engine.
    Submit(u64),
    /// The caller of the request with this id gives up.
    GiveUp(u64),
}

/// State of a running simulation.
struct Simulation<'a> {
    spec: &'a LoadSpec,
    policy: Policy,
    scheduler: Scheduler,
    /// Engines as the scheduler sees them, in the order of `engines`.
    views: Vec<EngineView>,
    engines: Vec<SimulatedEngine>,
    in_flight: HashMap<u64, InFlightRequest>,
    /// Future actions, the earliest first.
    actions: BinaryHeap<Reverse<(Duration, Action)>>,
    /// Requests so far, counted only under [`Policy::RoundRobin`].
    arrivals: usize,
    outcome: Outcome,
}

/// Simulates a load with one seed until the last caller has given up or got its response.
pub fn simulate(spec: &LoadSpec, policy: Policy, seed: u64) -> Outcome {
    let profile = SimulatedEngineProfile::default();
    let hashes = (1..).take(spec.engines);
    let mut simulation = Simulation {
        spec,
        policy,
        scheduler: Scheduler::new(1),
        views: hashes
            .map(|hash| EngineView {
                hash,
                run: hash,
                domain: hash % 4,
                slots: 64,
                memory_tokens: profile.memory_tokens,
                rate_limit: None,
            })
            .collect(),
        engines: (0..spec.engines)
            .map(|_| SimulatedEngine::new(profile))
            .collect(),
        in_flight: HashMap::new(),
        actions: BinaryHeap::new(),
        arrivals: 0,
        outcome: Outcome::default(),
    };
    let requests = generate_requests(spec, seed);
    for (id, request) in (0..).zip(requests) {
        simulation.run_until(request.at);
        simulation.on_arrival(id, request);
    }
    let max_wait = KINDS.iter().map(|kind| kind.max_wait).max();
    simulation.run_until(spec.length + max_wait.unwrap_or_default());
    simulation.outcome.prefilled_tokens = simulation
        .engines
        .iter()
        .map(SimulatedEngine::prefilled_tokens)
        .sum();
    simulation.outcome
}

impl Simulation<'_> {
    /// Performs all actions up to a time and advances the engines to it.
    fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, action))) = self.actions.peek().copied() {
            if at > until {
                break;
            }
            self.actions.pop();
            self.advance(at);
            match action {
                Action::Submit(id) => self.submit(at, id),
                Action::GiveUp(id) => self.give_up(at, id),
            }
        }
        self.advance(until);
    }

    /// Advances the engines to a time and handles their events in the order of time.
    fn advance(&mut self, until: Duration) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            events.extend(engine.advance(until));
        }
        events.sort_by_key(|event| event.at);
        for event in events {
            self.on_event(event);
        }
    }

    /// Counts a request, and lets the policy choose an engine for it or refuse it.
    fn on_arrival(&mut self, id: u64, request: LoadRequest) {
        let kind = &KINDS[request.kind];
        for tally in self.tallies(&request) {
            tally.requests += 1;
        }
        let decision = match self.policy {
            Policy::Scheduler => self.schedule(&request),
            Policy::SessionAffinity => Some((self.session_engine(&request), None, Duration::ZERO)),
            Policy::RoundRobin => {
                self.arrivals += 1;
                Some((self.arrivals % self.spec.engines, None, Duration::ZERO))
            }
        };
        let Some((engine, reservation, after)) = decision else {
            for tally in self.tallies(&request) {
                tally.refused += 1;
            }
            return;
        };
        let sent_at = request.at + after;
        let give_up_at = request.at + kind.max_wait;
        self.actions
            .push(Reverse((sent_at + NETWORK_DELAY, Action::Submit(id))));
        self.actions.push(Reverse((give_up_at, Action::GiveUp(id))));
        let in_flight_request = InFlightRequest {
            request,
            engine,
            reservation,
            sent_at,
            response_started_at: None,
        };
        self.in_flight.insert(id, in_flight_request);
    }

    /// Engine of the request's session under [`Policy::SessionAffinity`].
    fn session_engine(&self, request: &LoadRequest) -> usize {
        let session = request.shared_parts.last().map_or(0, |part| part.0);
        // Multiplicative hashing distributes consecutive session ids over the engines.
        (session.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % self.spec.engines
    }

    /// Asks the scheduler for an engine. Returns its index, the reservation, and the delay before
    /// the request is sent; none if the scheduler refuses.
    fn schedule(
        &mut self,
        request: &LoadRequest,
    ) -> Option<(usize, Option<ReservationId>, Duration)> {
        let kind = &KINDS[request.kind];
        let part = |(id, tokens): &(u64, u32)| PromptPart {
            id: *id,
            tokens: *tokens,
        };
        let schedule_request = ScheduleRequest {
            service: SERVICE,
            shard: Shard { index: 0, count: 1 },
            workspace: request.workspace + 1,
            domain: request.workspace % 4,
            input_tokens: request.input_tokens,
            output_tokens: request.output_tokens,
            shared_parts: request.shared_parts.iter().map(part).collect(),
            until_objective: kind.objective,
            until_give_up: kind.max_wait,
            rank: 1,
            is_caller_retry: false,
            last_server: 0,
            kind: request.kind as u64 + 1,
            content: 0,
            version: None,
            except_version: None,
            objective: kind.objective,
            continues_stream: false,
            was_refused: false,
            refused_tokens: 0,
            excluded: Vec::new(),
        };
        match self
            .scheduler
            .decide(timestamp(request.at), &schedule_request, &self.views)
        {
            ScheduleDecision::Start {
                reservation,
                server,
                send_after,
                ..
            } => {
                let engine = self.views.iter().position(|view| view.hash == server)?;
                Some((engine, Some(reservation), send_after))
            }
            ScheduleDecision::Refuse { .. }
            | ScheduleDecision::HoldBack { .. }
            | ScheduleDecision::NoEngine => None,
        }
    }

    fn submit(&mut self, at: Duration, id: u64) {
        let Some(in_flight_request) = self.in_flight.get(&id) else {
            return;
        };
        debug_assert!(
            at >= in_flight_request.sent_at,
            "request {id} reached its engine before it was sent"
        );
        let parts = &in_flight_request.request.shared_parts;
        let shared: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
        self.outcome.unique_tokens += u64::from(in_flight_request.request.input_tokens - shared);
        self.engines[in_flight_request.engine].submit(EngineRequest {
            id,
            shared_parts: in_flight_request.request.shared_parts.clone(),
            input_tokens: in_flight_request.request.input_tokens,
            output_tokens: in_flight_request.request.output_tokens,
        });
    }

    fn give_up(&mut self, at: Duration, id: u64) {
        if let Some(in_flight_request) = self.in_flight.remove(&id) {
            self.engines[in_flight_request.engine].cancel(id);
            self.report_progress(at, in_flight_request.reservation, ProgressStep::Ended);
        }
    }

    fn on_event(&mut self, event: EngineEvent) {
        let Some(in_flight_request) = self.in_flight.get_mut(&event.id) else {
            return;
        };
        let reservation = in_flight_request.reservation;
        match event.kind {
            EngineEventKind::ResponseStarted => {
                in_flight_request.response_started_at = Some(event.at);
                let after = event.at.saturating_sub(in_flight_request.sent_at);
                self.report_progress(
                    event.at,
                    reservation,
                    ProgressStep::ResponseStarted {
                        after,
                        host_lag: Duration::ZERO,
                    },
                );
            }
            EngineEventKind::Ended => {
                self.report_progress(event.at, reservation, ProgressStep::Ended);
                if let Some(in_flight_request) = self.in_flight.remove(&event.id) {
                    self.count_response(&in_flight_request);
                }
            }
        }
    }

    fn count_response(&mut self, in_flight_request: &InFlightRequest) {
        let objective = KINDS[in_flight_request.request.kind].objective;
        let response_started_at = in_flight_request
            .response_started_at
            .unwrap_or(Duration::MAX);
        let is_in_time =
            response_started_at.saturating_sub(in_flight_request.request.at) <= objective;
        for tally in self.tallies(&in_flight_request.request) {
            if is_in_time {
                tally.in_time += 1;
            } else {
                tally.late += 1;
            }
        }
    }

    fn report_progress(
        &mut self,
        at: Duration,
        reservation: Option<ReservationId>,
        step: ProgressStep,
    ) {
        if let Some(reservation) = reservation {
            let progress = Progress { reservation, step };
            self.scheduler.on_progress(timestamp(at), &progress);
        }
    }

    /// The counts that a request is part of.
    fn tallies(&mut self, request: &LoadRequest) -> [&mut Tally; 3] {
        let outcome = &mut self.outcome;
        [
            &mut outcome.all,
            &mut outcome.kinds[request.kind],
            outcome.workspaces.entry(request.workspace).or_default(),
        ]
    }
}

fn timestamp(at: Duration) -> Timestamp {
    Timestamp::ZERO + at
}
