//! Decides when and where requests to a model begin.
//!
//! Answers a load of prompts that share long parts, and that comes in bursts above what the
//! engines bear. All requests of a shard of engines are decided at one host, so that the times at
//! which each engine is free are known and not guessed from lagging reports. A request goes where
//! it costs least: waiting, reading parts again that another engine keeps, bytes between failure
//! domains. It is refused at once if no engine can begin in time. Reading is paced so that running
//! answers keep growing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::engine::EngineState;
use super::engine::FIRST_EVENT_DELAY;
use super::request::Progress;
use super::request::ProgressStep;
use super::request::ReservationId;
use super::request::ScheduleDecision;
use super::request::ScheduleRequest;
use super::shares::WorkspaceShares;
use crate::time::Timestamp;

new_key_type! {
    struct ReservationKey;
}

/// How long before an engine is free a request is sent to it, so that the engine does not run dry
/// while the request is on its way or a prompt is read faster than expected.
const SEND_AHEAD: Duration = Duration::from_millis(30);
/// Part of the time until the objective that may be planned away; the rest covers what the plan
/// does not know.
const OBJECTIVE_PLANNED_FRACTION: f64 = 0.8;
/// Part of the limit that a prompt may wait whose reading alone takes the rest.
const LONG_PROMPT_WAIT_FRACTION: f64 = 0.3;
/// Longest wait planned for a request that cannot meet its objective any more, because its caller
/// was refused before.
const CALLER_RETRY_WAIT_MAX: Duration = Duration::from_millis(400);
/// Longest wait planned for a request of a workspace that is owed work: callers give up a stream
/// that has not begun after two seconds at the least.
const UNDERSERVED_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// Cost of reading a token of a shared part again, as a wait: beyond the time that it takes, it
/// displaces other parts.
const CACHE_MISS_COST: Duration = Duration::from_micros(100);
/// Cost of a request from another failure domain, as a wait, by the tokens of its prompt: a token
/// is about two bytes.
const CROSS_DOMAIN_COST: Duration = Duration::from_micros(4);
/// Shortest wait after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest such wait.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(2_000);
/// Times its even share up to which a workspace is not held back. Below one, since a workspace is to
/// be held back before it has taken what others are owed.
const THROTTLE_SHARE_RATIO: f64 = 0.5;
/// Part of the room that a workspace may fill that is held back; the rest is left to others.
const THROTTLED_CAPACITY: f64 = 0.8;
/// Part of an engine's memory that requests may fill; the rest keeps parts of prompts.
const REQUEST_MEMORY_FRACTION: f64 = 0.9;

/// An engine that requests may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// Hash of its instance.
    pub hash: u64,
    /// Hash of its failure domain.
    pub domain: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    service: u64,
    server: u64,
    uncached_tokens: u32,
    memory_tokens: u64,
    planned: Duration,
    prefill: Duration,
    response_started: bool,
    /// When it is forgotten if nothing is heard of it.
    expires_at: Timestamp,
}

/// Engines of one service.
#[derive(Debug, Default)]
struct ServiceState {
    engines: HashMap<u64, EngineState>,
    shares: WorkspaceShares,
    /// When requests of a rank were last let begin or refused.
    ranks: BTreeMap<u32, Timestamp>,
}

/// Decisions on bids.
#[derive(Debug)]
pub struct Scheduler {
    epoch: u32,
    services: HashMap<u64, ServiceState>,
    reservations: SlotMap<ReservationKey, Reservation>,
    swept_at: Timestamp,
}

/// Where a bid may go and at what cost.
struct EngineCandidate {
    hash: u64,
    uncached: u32,
    cost: Duration,
    wait: Duration,
    first_event_after: Duration,
}

impl EngineCandidate {
    /// Whether the answer begins within `limit`. A prompt that takes long to read itself may
    /// always wait for a part of the limit: refusing it would refuse all of its size.
    fn is_in_time(&self, limit: Duration) -> bool {
        self.first_event_after <= limit || self.wait <= limit.mul_f64(LONG_PROMPT_WAIT_FRACTION)
    }
}

impl Scheduler {
    /// A scheduler that knows nothing; `epoch` tells its records from those of another life.
    pub fn new(epoch: u32) -> Self {
        Self {
            epoch,
            services: HashMap::new(),
            reservations: SlotMap::with_key(),
            swept_at: Timestamp::ZERO,
        }
    }

    /// Decides on a bid among the engines that may be used.
    pub fn decide(
        &mut self,
        now: Timestamp,
        request: &ScheduleRequest,
        engines: &[EngineView],
    ) -> ScheduleDecision {
        self.sweep(now);
        let state = self.services.entry(request.service).or_default();
        state.remove_stale_engines(engines);
        let tokens = u64::from(request.input_tokens) + u64::from(request.output_tokens);
        state.shares.on_requested(now, request.workspace, tokens);
        let mut usable = engines.to_vec();
        usable.retain(|engine| !request.excluded.contains(&engine.hash));
        if usable.is_empty() {
            return ScheduleDecision::Unknown;
        }
        let share_ratio = state.shares.share_ratio(now, request.workspace);
        let capacity_fraction = if share_ratio > THROTTLE_SHARE_RATIO {
            THROTTLED_CAPACITY
        } else {
            1.0
        };
        let candidates: Vec<_> = usable
            .iter()
            .filter_map(|engine| state.candidate(now, request, engine, capacity_fraction))
            .collect();
        let mut limit =
            wait_limit(request, share_ratio).mul_f64(state.rank_factor(now, request.rank));
        if state.shares.is_underserved(now, request.workspace) {
            limit = limit.max(UNDERSERVED_WAIT_MAX.min(request.until_give_up));
        }
        let best = candidates
            .iter()
            .filter(|candidate| candidate.is_in_time(limit))
            .min_by_key(|candidate| (candidate.cost, candidate.hash));
        let Some(best) = best else {
            let soonest = candidates
                .iter()
                .map(|candidate| candidate.first_event_after)
                .min();
            let soonest = soonest.unwrap_or(FULL_ENGINE_WAIT);
            return ScheduleDecision::Refuse {
                retry_after: retry_after(soonest, limit),
                soonest,
                limit,
            };
        };
        let memory = usable
            .iter()
            .find(|engine| engine.hash == best.hash)
            .map_or(0, |engine| engine.memory_tokens);
        let (hash, uncached) = (best.hash, best.uncached);
        state.shares.on_granted(now, request.workspace, tokens);
        let engine = state.engines.entry(hash).or_default();
        let wait = engine.wait(now);
        let prefill = engine.prefill_time(uncached, request.input_tokens);
        let after = wait.saturating_sub(SEND_AHEAD);
        let key = self.reservations.insert(Reservation {
            service: request.service,
            server: hash,
            uncached_tokens: uncached,
            memory_tokens: request.memory_tokens(),
            planned: wait - after + prefill + FIRST_EVENT_DELAY,
            prefill,
            response_started: false,
            expires_at: now + request.until_give_up,
        });
        let number = key.data().as_ffi();
        engine.start(now, request, uncached, memory);
        ScheduleDecision::Start {
            reservation: ReservationId {
                epoch: self.epoch,
                number,
            },
            server: hash,
            after,
            uncached_tokens: uncached,
        }
    }

    /// Takes in what became of a request.
    pub fn on_progress(&mut self, now: Timestamp, progress: &Progress) {
        if progress.reservation.epoch != self.epoch {
            return;
        }
        let key = ReservationKey::from(KeyData::from_ffi(progress.reservation.number));
        let Some(reservation) = self.reservations.get_mut(key) else {
            return;
        };
        let state = self.services.get_mut(&reservation.service);
        let engine = state.and_then(|state| state.engines.get_mut(&reservation.server));
        match progress.step {
            ProgressStep::ResponseStarted { after } => {
                reservation.response_started = true;
                let (uncached, planned) = (reservation.uncached_tokens, reservation.planned);
                if let Some(engine) = engine {
                    engine.on_response_started(now, uncached, after, planned);
                }
            }
            ProgressStep::Ended => {
                if let Some(engine) = engine {
                    engine.end(reservation.memory_tokens);
                    if !reservation.response_started {
                        engine.cancel_prefill(now, reservation.prefill);
                    }
                }
                self.reservations.remove(key);
            }
        }
    }

    /// Forgets requests whose end was not reported.
    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        let services = &mut self.services;
        self.reservations.retain(|_, reservation| {
            if !reservation.expires_at.has_passed(now) {
                return true;
            }
            let state = services.get_mut(&reservation.service);
            if let Some(engine) = state.and_then(|state| state.engines.get_mut(&reservation.server))
            {
                engine.end(reservation.memory_tokens);
            }
            false
        });
    }
}

/// Part of the wait limit that each more urgent rank takes from a rank: with a third less of the
/// wait a rank is refused first in every overload, and still served.
const RANK_LIMIT_FACTOR: f64 = 0.65;
/// Ranks that are told apart.
const RANKS_MAX: i32 = 4;
/// How long a rank counts after its last request: the span over which callers see a rank served.
const RANK_RETENTION: Duration = Duration::from_secs(5);
/// Books of engines that are gone which may stay besides as many as there are engines.
const STALE_ENGINES_MAX: usize = 16;
/// Time to the end of some answer where all engines are full: short answers take about a second.
const FULL_ENGINE_WAIT: Duration = Duration::from_secs(1);
/// Period of the removal of records whose end was not reported.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

impl ServiceState {
    /// Part of the wait limit for a rank: requests of a less urgent one are refused sooner, while
    /// more urgent ones are about.
    fn rank_factor(&mut self, now: Timestamp, rank: u32) -> f64 {
        self.ranks.insert(rank, now);
        self.ranks.retain(|_, at| now.since(*at) < RANK_RETENTION);
        let above = self.ranks.range(..rank).count();
        // A service has a few ranks at most; the bound keeps the power small.
        RANK_LIMIT_FACTOR.powi(i32::try_from(above).unwrap_or(i32::MAX).min(RANKS_MAX))
    }

    /// Drops the books of engines that are gone, once there are many of them.
    fn remove_stale_engines(&mut self, engines: &[EngineView]) {
        if self.engines.len() <= 2 * engines.len() + STALE_ENGINES_MAX {
            return;
        }
        let known: HashSet<_> = engines.iter().map(|engine| engine.hash).collect();
        self.engines
            .retain(|hash, engine| engine.running > 0 || known.contains(hash));
    }

    /// What it would take to send a bid to an engine, `None` if the engine has no room.
    /// Only the part `capacity_fraction` of its memory and slots may be filled.
    fn candidate(
        &self,
        now: Timestamp,
        request: &ScheduleRequest,
        view: &EngineView,
        capacity_fraction: f64,
    ) -> Option<EngineCandidate> {
        let fresh = EngineState::default();
        let engine = self.engines.get(&view.hash).unwrap_or(&fresh);
        let memory =
            (view.memory_tokens as f64 * REQUEST_MEMORY_FRACTION * capacity_fraction) as u64;
        let slots = (f64::from(view.slots) * capacity_fraction) as u32;
        let has_memory = engine.memory_tokens + request.memory_tokens() <= memory;
        if engine.running >= slots.max(1) || (!has_memory && engine.running > 0) {
            return None;
        }
        let mut cached = engine.prefix_cache.cached_tokens(&request.shared_parts);
        if cached == 0 && view.hash == request.last_server {
            // Another scheduler may have sent the session there.
            cached = request.shared_tokens();
        }
        let uncached = request.input_tokens.saturating_sub(cached);
        let uncached_shared = request.shared_tokens().saturating_sub(cached);
        let wait = engine.wait(now);
        let prefill = engine.prefill_time(uncached, request.input_tokens);
        let cross_domain = if view.domain == request.domain {
            Duration::ZERO
        } else {
            CROSS_DOMAIN_COST * request.input_tokens
        };
        Some(EngineCandidate {
            hash: view.hash,
            uncached,
            cost: wait + prefill + CACHE_MISS_COST * uncached_shared + cross_domain,
            wait,
            first_event_after: wait + prefill + FIRST_EVENT_DELAY,
        })
    }
}

/// Longest time to the first event for which a bid is let begin.
fn wait_limit(request: &ScheduleRequest, share_ratio: f64) -> Duration {
    let whole = request.until_objective.mul_f64(OBJECTIVE_PLANNED_FRACTION);
    let whole = if request.is_caller_retry {
        whole.max(CALLER_RETRY_WAIT_MAX)
    } else {
        whole
    };
    if share_ratio <= THROTTLE_SHARE_RATIO {
        return whole;
    }
    whole.mul_f64(THROTTLE_SHARE_RATIO / share_ratio)
}

fn retry_after(soonest: Duration, limit: Duration) -> Duration {
    let over = soonest.saturating_sub(limit);
    over.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
