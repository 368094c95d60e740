//! Plays a load against a way of deciding, in simulated time.

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
use super::load::draw;

/// Time between a host and an engine.
const WAY: Duration = Duration::from_millis(1);
/// Hash of the service.
const SERVICE: u64 = 1;

/// A way of deciding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The scheduler of entry hosts.
    Scheduler,
    /// Each session has a home by its number; nothing is refused.
    Home,
    /// Engines in turn; nothing is refused.
    InTurn,
}

/// What became of the requests of a workspace or kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests.
    pub asked: u32,
    /// Whole answers that began in time.
    pub in_time: u32,
    /// Whole answers that began late.
    pub late: u32,
    /// Requests refused at once.
    pub refused: u32,
}

impl Tally {
    /// Part of the requests with a whole answer.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Part of the requests with a whole answer that began in time.
    pub fn timely(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// What became of a load.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// All requests.
    pub all: Tally,
    /// By kind.
    pub kinds: [Tally; KINDS.len()],
    /// By workspace.
    pub workspaces: HashMap<u64, Tally>,
    /// Prompt tokens that the engines read.
    pub read_tokens: u64,
    /// Prompt tokens of the requests sent to engines that no other request shares.
    pub own_tokens: u64,
}

impl Outcome {
    /// Smallest part of a workspace's requests that began in time.
    pub fn worst_workspace(&self) -> f64 {
        let parts = self.workspaces.values().map(Tally::timely);
        parts.fold(1.0, f64::min)
    }
}

struct Flight {
    request: LoadRequest,
    engine: usize,
    reservation: Option<ReservationId>,
    sent_at: Duration,
    begun_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Submit(u64),
    GiveUp(u64),
}

struct Play<'a> {
    spec: &'a LoadSpec,
    policy: Policy,
    scheduler: Scheduler,
    views: Vec<EngineView>,
    engines: Vec<SimulatedEngine>,
    flights: HashMap<u64, Flight>,
    actions: BinaryHeap<Reverse<(Duration, Action)>>,
    turn: usize,
    outcome: Outcome,
}

/// Plays a load with one seed.
pub fn play(spec: &LoadSpec, policy: Policy, seed: u64) -> Outcome {
    let sheet = SimulatedEngineProfile::default();
    let hashes = (1..).take(spec.engines);
    let mut play = Play {
        spec,
        policy,
        scheduler: Scheduler::new(1),
        views: hashes
            .map(|hash| EngineView {
                hash,
                domain: hash % 4,
                slots: 64,
                memory_tokens: sheet.memory_tokens,
            })
            .collect(),
        engines: (0..spec.engines)
            .map(|_| SimulatedEngine::new(sheet))
            .collect(),
        flights: HashMap::new(),
        actions: BinaryHeap::new(),
        turn: 0,
        outcome: Outcome::default(),
    };
    let requests = draw(spec, seed);
    for (id, request) in (0..).zip(requests) {
        play.run_until(request.at);
        play.arrive(id, request);
    }
    let longest = KINDS.iter().map(|kind| kind.patience).max();
    play.run_until(spec.length + longest.unwrap_or_default());
    play.outcome.read_tokens = play
        .engines
        .iter()
        .map(SimulatedEngine::prefilled_tokens)
        .sum();
    play.outcome
}

impl Play<'_> {
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

    fn arrive(&mut self, id: u64, request: LoadRequest) {
        let kind = &KINDS[request.kind];
        for tally in self.tallies(&request) {
            tally.asked += 1;
        }
        let decision = match self.policy {
            Policy::Scheduler => self.ask_scheduler(&request),
            Policy::Home => Some((self.home_of(&request), None, Duration::ZERO)),
            Policy::InTurn => {
                self.turn += 1;
                Some((self.turn % self.spec.engines, None, Duration::ZERO))
            }
        };
        let Some((engine, reservation, after)) = decision else {
            for tally in self.tallies(&request) {
                tally.refused += 1;
            }
            return;
        };
        let sent_at = request.at + after;
        let give_up_at = request.at + kind.patience;
        self.actions
            .push(Reverse((sent_at + WAY, Action::Submit(id))));
        self.actions.push(Reverse((give_up_at, Action::GiveUp(id))));
        let flight = Flight {
            request,
            engine,
            reservation,
            sent_at,
            begun_at: None,
        };
        self.flights.insert(id, flight);
    }

    fn home_of(&self, request: &LoadRequest) -> usize {
        let session = request.shared_parts.last().map_or(0, |part| part.0);
        // A multiplicative hash spreads consecutive sessions.
        (session.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % self.spec.engines
    }

    fn ask_scheduler(
        &mut self,
        request: &LoadRequest,
    ) -> Option<(usize, Option<ReservationId>, Duration)> {
        let kind = &KINDS[request.kind];
        let part = |(id, tokens): &(u64, u32)| PromptPart {
            id: *id,
            tokens: *tokens,
        };
        let bid = ScheduleRequest {
            service: SERVICE,
            shard: Shard { index: 0, count: 1 },
            workspace: request.workspace + 1,
            domain: request.workspace % 4,
            input_tokens: request.input_tokens,
            output_tokens: request.output_tokens,
            shared_parts: request.shared_parts.iter().map(part).collect(),
            until_objective: kind.objective,
            until_give_up: kind.patience,
            rank: 1,
            is_caller_retry: false,
            last_server: 0,
            excluded: Vec::new(),
        };
        match self
            .scheduler
            .decide(timestamp(request.at), &bid, &self.views)
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
            ScheduleDecision::Refuse { .. } | ScheduleDecision::NoEngine => None,
        }
    }

    fn submit(&mut self, at: Duration, id: u64) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        debug_assert!(at >= flight.sent_at, "requests are sent in order");
        let parts = &flight.request.shared_parts;
        let shared: u32 = parts.iter().map(|(_, tokens)| tokens).sum();
        self.outcome.own_tokens += u64::from(flight.request.input_tokens - shared);
        self.engines[flight.engine].submit(EngineRequest {
            id,
            shared_parts: flight.request.shared_parts.clone(),
            input_tokens: flight.request.input_tokens,
            output_tokens: flight.request.output_tokens,
        });
    }

    fn give_up(&mut self, at: Duration, id: u64) {
        if let Some(flight) = self.flights.remove(&id) {
            self.engines[flight.engine].cancel(id);
            self.report(at, flight.reservation, ProgressStep::Ended);
        }
    }

    fn on_event(&mut self, event: EngineEvent) {
        let Some(flight) = self.flights.get_mut(&event.id) else {
            return;
        };
        let reservation = flight.reservation;
        match event.kind {
            EngineEventKind::ResponseStarted => {
                flight.begun_at = Some(event.at);
                let after = event.at.saturating_sub(flight.sent_at);
                self.report(
                    event.at,
                    reservation,
                    ProgressStep::ResponseStarted { after },
                );
            }
            EngineEventKind::Ended => {
                self.report(event.at, reservation, ProgressStep::Ended);
                if let Some(flight) = self.flights.remove(&event.id) {
                    self.count_answer(&flight);
                }
            }
        }
    }

    fn count_answer(&mut self, flight: &Flight) {
        let objective = KINDS[flight.request.kind].objective;
        let begun_at = flight.begun_at.unwrap_or(Duration::MAX);
        let is_timely = begun_at.saturating_sub(flight.request.at) <= objective;
        for tally in self.tallies(&flight.request) {
            if is_timely {
                tally.in_time += 1;
            } else {
                tally.late += 1;
            }
        }
    }

    fn report(&mut self, at: Duration, reservation: Option<ReservationId>, step: ProgressStep) {
        if let Some(reservation) = reservation {
            let progress = Progress { reservation, step };
            self.scheduler.on_progress(timestamp(at), &progress);
        }
    }

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
