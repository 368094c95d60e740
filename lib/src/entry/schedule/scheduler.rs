//! Decides when requests to a model start and on which engine (a backend server that runs the
//! model).
//!
//! The load consists of prompts that share long leading parts, and it comes in bursts that exceed
//! what the engines can process. The engines of a service are divided into shards. All requests to
//! the engines of one shard are decided by one scheduler, which runs on one of the entry hosts (the
//! hosts that forward callers' requests). So it can plan from its own decisions when each engine is
//! free, without waiting for reports of load; reports on the started requests correct the plan. The
//! asking host is the host that received a request and asks the scheduler for a decision.
//!
//! A request goes to the engine with the least cost: the sum of the waiting time, the time to
//! process prompt parts that the engine has not cached, and a charge for bytes between failure
//! domains (zones). The prefill of a prompt is its processing before the first token of the
//! response. Only a part of each engine's time is planned for prefills; in the rest the engine
//! generates tokens for running responses.
//!
//! If no engine can send the first event of the response within the start limit of the request, the
//! request is refused at once. The limit follows from the objective, the time by which the response
//! should start. It is lower for requests with a less urgent priority rank, and, as far as requests
//! compete for the engines, for workspaces (customers) that were granted more than half of their fair
//! share, so that these are refused first.
//!
//! The current time is an argument of each decision, and nothing here does input or output.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::super::health::is_failing;
use super::super::health::median;
use super::engine::EngineState;
use super::engine::FIRST_EVENT_DELAY;
use super::engine::PlannedStart;
use super::quarantine::Clearance;
use super::quarantine::PartCrash;
use super::quarantine::PartQuarantine;
use super::request::Progress;
use super::request::ProgressStep;
use super::request::ReservationId;
use super::request::ScheduleDecision;
use super::request::ScheduleRequest;
use super::shares::ShardWork;
use super::shares::Standing;
use super::shares::WorkspaceShares;
use super::slots::HoldTime;
use crate::time::Timestamp;

new_key_type! {
    struct ReservationKey;
}

/// A request is sent to an engine this long before the engine becomes free, so that the engine does
/// not idle while the request is in transit or if a prefill ends sooner than planned.
const SEND_AHEAD: Duration = Duration::from_millis(30);
/// Fraction of the time until the objective that the start limit may use. The rest covers delays
/// that the plan does not include.
const OBJECTIVE_PLANNED_FRACTION: f64 = 0.8;
/// A prompt that cannot meet the start limit because of its own prefill time may still start if it
/// waits for the engine for at most this fraction of the limit.
const LONG_PROMPT_WAIT_FRACTION: f64 = 0.3;
/// Largest lower bound of the start limit for a request whose caller was refused before and tries again.
/// The objective counts from the caller's first attempt, so little or no time may be left until it.
/// Throttling and a less urgent rank can still lower the limit below this bound.
const CALLER_RETRY_LIMIT_MAX: Duration = Duration::from_millis(400);
/// The lower bound as a fraction of the objective. It is lower than the limit of first attempts, so that
/// a response that is late in any case does not make others late.
const CALLER_RETRY_FRACTION: f64 = 0.5;
/// Lower bound of the start limit for a request of an underserved workspace: one that was granted
/// far less than it requested and far less than another workspace. Callers wait at least 2 s for
/// the first event of a stream; the bound is half of this.
const UNDERSERVED_LIMIT_MIN: Duration = Duration::from_millis(1_000);
/// Fraction of the time until its caller gives up that a stream which continues may wait for its next
/// event. The rest of the response needs the other half. It is more than any new request may wait.
const CONTINUED_LIMIT_FRACTION: f64 = 0.5;
/// Cost of processing one token of a shared part that the engine has not cached, stated as a
/// waiting time. It is added to the prefill time, because the part evicts others from the cache.
const CACHE_MISS_COST: Duration = Duration::from_micros(100);
/// Cost for each prompt token of a request that goes to an engine in another failure domain than
/// that of the asking host, stated as a waiting time: 2 us for each byte, at about two bytes per
/// token.
const CROSS_DOMAIN_COST: Duration = Duration::from_micros(4);
/// By how much the retry delay is longer at full contention, as a factor.
const CONTENDED_RETRY_FACTOR: f64 = 2.0;
/// Shortest retry delay sent to the caller of a refused request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest retry delay sent to the caller of a refused request.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(2_000);
/// Ratio of a workspace's granted work to its fair share above which the workspace is throttled. It
/// is below 1 so that a workspace is throttled before it takes the shares of others. If all
/// workspaces are granted exactly their fair shares (ratio 1), all of them are throttled alike:
/// each has half of the unthrottled start limit.
const THROTTLE_SHARE_RATIO: f64 = 0.5;
/// Ratio of a workspace's granted work to its fair share above which it may not fill the engines. It has
/// more than its share, so that others are short of theirs.
const RESERVE_SHARE_RATIO: f64 = 1.0;
/// Fraction of each engine's slots and request memory that such a workspace may fill. The rest is left to
/// other workspaces.
const THROTTLED_CAPACITY: f64 = 0.8;
/// Fraction of an engine's memory that requests may fill. The rest caches parts of prompts.
const REQUEST_MEMORY_FRACTION: f64 = 0.9;

/// An engine that may get requests and its capacity, as known to the scheduler's host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// Hash of the engine's instance identifier.
    pub hash: u64,
    /// Hash that identifies the run of the engine: another one after a restart.
    pub run: u64,
    /// Hash of the engine's failure domain.
    pub domain: u64,
    /// Most requests that the engine runs at the same time.
    pub slots: u32,
    /// Capacity of the engine's memory (KV cache), tokens.
    pub memory_tokens: u64,
    /// Requests per second that the engine takes from all hosts together, if it names a limit.
    pub rate_limit: Option<f64>,
}

/// Engine time and memory that are reserved for a request until it has left the engine.
#[derive(Clone, Debug)]
struct Reservation {
    /// Hash of the service's name.
    service: u64,
    /// Hash of the engine's instance identifier.
    server: u64,
    /// Hash that identifies the run of the engine.
    run: u64,
    /// Hash of what the request asks the engine to do.
    content: u64,
    /// Identifiers of the shared parts of the prompt.
    parts: Box<[u64]>,
    /// Whether the request is sent to find out whether its prompt makes engines crash.
    is_trial: bool,
    /// Hash of the failure domain of the asking host.
    domain: u64,
    /// Hash of the name of the workspace.
    workspace: u64,
    /// Work for which the workspace was charged, tokens.
    charged_tokens: u64,
    /// When the engine has processed the prompt, as planned.
    prefilled_at: Timestamp,
    /// Prompt tokens that the engine had not cached.
    uncached_tokens: u32,
    /// Memory that the request occupies, tokens.
    memory_tokens: u64,
    /// Planned time from sending the request to the first event of the response.
    planned: Duration,
    /// Planned time for processing the prompt.
    prefill: Duration,
    /// Estimate of the tokens that are generated.
    output_tokens: u32,
    /// When the response started, as far as is reported.
    response_started_at: Option<Timestamp>,
    /// Whether the server has failed the request.
    has_failed: bool,
    /// When the reservation is dropped unless the end of the request was reported before.
    expires_at: Timestamp,
}

impl Reservation {
    /// Whether an engine has done work for the request, if it ends now. Otherwise the asking host could not
    /// use the engine, or the caller has left; a request that is scheduled again is counted then.
    fn has_run(&self, now: Timestamp) -> bool {
        self.response_started_at.is_some() || self.has_failed || self.prefilled_at.has_passed(now)
    }

    /// Records that the run of the engine took the request with it as it ended.
    fn count_crash(&self, now: Timestamp, quarantine: &mut PartQuarantine) {
        quarantine.on_crash(now, self.run, self.content, &self.parts, self.is_trial);
    }
}

/// What a scheduler has decided and heard about the engines of one service over some time, for log
/// lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScheduleSummary {
    /// Requests that were allowed to start.
    pub granted: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Responses that hosts have reported as started.
    pub responses: u32,
    /// Those of them whose times were not used, since the reporting hosts were too late themselves.
    pub unmeasured: u32,
    /// Sum of the times by which the others started later than planned.
    pub late: Duration,
    /// Contention for the engines at the last request, 0 to 1.
    pub contention: f64,
}

/// What the scheduler knows of one service.
#[derive(Debug, Default)]
struct ServiceState {
    /// Engines by instance hash, those of all shards that this host schedules.
    engines: HashMap<u64, EngineState>,
    /// Work requested by and granted to each workspace.
    shares: WorkspaceShares,
    /// Time of the last request of each recently active priority rank. Rank 0 is the most urgent.
    ranks: BTreeMap<u32, Timestamp>,
    /// Usual prefill time by kind of request.
    usual_prefills: HashMap<u64, UsualPrefill>,
    /// How long responses occupy a slot.
    hold_time: HoldTime,
    /// Number of shards of the service, as the last request states it.
    shard_count: u32,
    /// Time of the last request.
    asked_at: Timestamp,
    /// When this host last refused requests by itself.
    refused_at: Timestamp,
    /// Contention for the engines at the last request.
    contention: f64,
    /// Decisions and reports since the last summary.
    summary: ScheduleSummary,
    /// When idle engines were last removed.
    engines_swept_at: Timestamp,
}

/// Schedules the requests to models for all shards that are assigned to this host. Shards of the
/// same service share one `ServiceState`. Services are keyed by the hashes of their names.
#[derive(Debug)]
pub struct Scheduler {
    epoch: u32,
    services: HashMap<u64, ServiceState>,
    reservations: SlotMap<ReservationKey, Reservation>,
    /// Parts of prompts that make engines crash.
    quarantine: PartQuarantine,
    /// When expired reservations were last removed.
    swept_at: Timestamp,
}

/// An engine that could run a request, with the cost and the times of that choice.
struct EngineCandidate {
    hash: u64,
    /// Prompt tokens that the engine has not cached.
    uncached: u32,
    /// How many of them are in parts that other requests share.
    uncached_shared: u32,
    /// Waiting and prefill time plus the charges for uncached parts and for another failure domain.
    cost: Duration,
    /// Time until the engine can start the prefill.
    wait: Duration,
    /// Time for the prefill.
    prefill: Duration,
    /// Time until the first event of the response.
    first_event_after: Duration,
    /// Whether the engine runs no request.
    is_empty: bool,
}

impl EngineCandidate {
    /// Whether the response can start within the start limit. A prompt with a long prefill may also
    /// start if its wait for the engine is short; otherwise all prompts of its size would be
    /// refused.
    ///
    /// A prompt that takes longer to process than is usual for its kind counts with the usual time:
    /// in an overload the waits of all engines are close to what the shortest prompts may wait, so
    /// that longer ones of the same kind would never start.
    fn is_in_time(&self, limit: Duration, usual_prefill: Option<UsualPrefill>) -> bool {
        let prefill = match usual_prefill {
            Some(usual) => self.prefill.min(usual.0),
            None => self.prefill,
        };
        let counted = self.wait + prefill + FIRST_EVENT_DELAY;
        counted <= limit || self.wait <= limit.mul_f64(LONG_PROMPT_WAIT_FRACTION)
    }
}

/// Usual prefill time of the requests of one kind that were started: an exponentially weighted mean.
#[derive(Clone, Copy, Debug)]
struct UsualPrefill(Duration);

impl UsualPrefill {
    fn new(first: Duration) -> Self {
        Self(first)
    }

    fn add(&mut self, prefill: Duration) {
        self.0 = self.0.mul_f64(1.0 - USUAL_PREFILL_GAIN) + prefill.mul_f64(USUAL_PREFILL_GAIN);
    }
}

impl Scheduler {
    /// A scheduler without any state. `epoch` distinguishes its reservations from those of other
    /// incarnations of the host.
    pub fn new(epoch: u32) -> Self {
        Self {
            epoch,
            services: HashMap::new(),
            reservations: SlotMap::with_key(),
            quarantine: PartQuarantine::default(),
            swept_at: Timestamp::ZERO,
        }
    }

    /// Decides on a request. `engines` are the engines of its shard that may get requests.
    pub fn decide(
        &mut self,
        now: Timestamp,
        request: &ScheduleRequest,
        engines: &[EngineView],
    ) -> ScheduleDecision {
        self.sweep(now);
        let clearance = self.quarantine.clearance(now, request.shared_ids());
        // Not counted as requested: the workspace would seem to get too little for it.
        if let Clearance::HeldBack { part, retry_after } = clearance {
            return ScheduleDecision::HoldBack { part, retry_after };
        }
        let state = self.services.entry(request.service).or_default();
        state.remove_idle_engines(now);
        state.shard_count = request.shard.count;
        state.asked_at = now;
        let tokens = request.work_tokens();
        // A request that another shard has refused was counted there, and a stream that continues is no
        // new demand.
        let is_counted = request.was_refused || request.continues_stream;
        let newly_requested = if is_counted { 0 } else { tokens };
        state.shares.on_requested(
            now,
            request.workspace,
            newly_requested.saturating_add(request.refused_tokens),
        );
        let mut usable = engines.to_vec();
        usable.retain(|engine| !request.excluded.contains(&engine.hash));
        state.remove_unhealthy(now, request.domain, &mut usable);
        if usable.is_empty() {
            return ScheduleDecision::NoEngine;
        }
        for engine in &usable {
            state.set_rate_limit(engine);
        }
        let standing = match request.continues_stream {
            true => Standing::CONTINUED_STREAM,
            false => state.shares.standing(now, request.workspace, tokens),
        };
        let Standing {
            share_ratio,
            is_underserved,
            ..
        } = standing;
        let capacity_fraction = if share_ratio > RESERVE_SHARE_RATIO {
            THROTTLED_CAPACITY
        } else {
            1.0
        };
        let mut candidates: Vec<_> = usable
            .iter()
            .filter_map(|engine| state.candidate(now, request, engine, capacity_fraction))
            .collect();
        let contention = state.contention_of(now, &usable);
        state.contention = contention;
        let mut limit = start_limit(request, share_ratio, contention)
            .mul_f64(state.rank_factor(now, request.rank));
        // This bound comes last, so that it also holds for less urgent ranks and throttled
        // workspaces.
        if is_underserved {
            limit = limit.max(UNDERSERVED_LIMIT_MIN.min(request.until_give_up));
        }
        if request.continues_stream {
            limit = limit.max(request.until_give_up.mul_f64(CONTINUED_LIMIT_FRACTION));
        }
        let is_throttled = share_ratio > THROTTLE_SHARE_RATIO && !is_underserved;
        if is_throttled && contention >= SPREAD_CONTENTION_MAX {
            keep_most_cached(&mut candidates);
        }
        let usual_prefill = state.usual_prefills.get(&request.kind).copied();
        let best = candidates
            .iter()
            .filter(|candidate| candidate.is_in_time(limit, usual_prefill))
            .min_by_key(|candidate| (candidate.cost, candidate.hash));
        let Some(best) = best else {
            return state.refuse(now, request, &candidates, limit, standing);
        };
        let (hash, wait, uncached) = (best.hash, best.wait, best.uncached);
        let Some(engine) = usable.into_iter().find(|engine| engine.hash == hash) else {
            return ScheduleDecision::NoEngine;
        };
        let planned = PlannedStart {
            wait,
            uncached,
            hold: state.hold_time.of(request.output_tokens),
        };
        let is_trial = clearance == Clearance::Trial;
        self.start(now, request, &engine, planned, is_trial)
    }

    /// Reserves an engine for a request that may start there.
    fn start(
        &mut self,
        now: Timestamp,
        request: &ScheduleRequest,
        view: &EngineView,
        planned: PlannedStart,
        is_trial: bool,
    ) -> ScheduleDecision {
        let server = view.hash;
        let parts: Box<[u64]> = request.shared_ids().collect();
        if is_trial {
            let give_up_at = now + request.until_give_up;
            self.quarantine.on_trial(now, &parts, give_up_at);
        }
        let state = self.services.entry(request.service).or_default();
        let tokens = request.charged_tokens(planned.uncached);
        if request.continues_stream {
            state.shares.on_requested(now, request.workspace, tokens);
        }
        state.shares.on_granted(now, request.workspace, tokens);
        state.summary.granted += 1;
        let engine = state.engines.entry(server).or_default();
        let PlannedStart { wait, uncached, .. } = planned;
        let prefill = engine.prefill_time(uncached, request.input_tokens);
        state
            .usual_prefills
            .entry(request.kind)
            .and_modify(|usual| usual.add(prefill))
            .or_insert_with(|| UsualPrefill::new(prefill));
        let send_after = wait.saturating_sub(SEND_AHEAD);
        let key = self.reservations.insert(Reservation {
            service: request.service,
            server,
            run: view.run,
            content: request.content,
            parts,
            is_trial,
            domain: request.domain,
            workspace: request.workspace,
            charged_tokens: tokens,
            prefilled_at: now + wait + prefill,
            uncached_tokens: uncached,
            output_tokens: request.output_tokens,
            memory_tokens: request.memory_tokens(),
            planned: wait - send_after + prefill + FIRST_EVENT_DELAY,
            prefill,
            response_started_at: None,
            has_failed: false,
            // At this time the caller or the route times out, and the asking host ends the request
            // even if its response is still running.
            expires_at: now + request.until_give_up,
        });
        let reservation = ReservationId {
            epoch: self.epoch,
            number: key.data().as_ffi(),
        };
        // The size of the memory bounds the estimate of what the engine has cached.
        engine.start(now, reservation, request, &planned, view.memory_tokens);
        ScheduleDecision::Start {
            reservation,
            server,
            send_after,
            uncached_tokens: uncached,
        }
    }

    /// Records a report of the scheduler at `from` on its shards of a service.
    pub fn on_shares(&mut self, now: Timestamp, from: SocketAddr, service: u64, shards: ShardWork) {
        let state = self.services.entry(service).or_default();
        state.shares.on_report_from(now, from, shards);
    }

    /// Counts work of a workspace's requests that this host has refused by itself. `shard_count` is the number of
    /// shards of the service.
    pub fn on_refused_by_host(
        &mut self,
        now: Timestamp,
        service: u64,
        shard_count: u32,
        workspace: u64,
        tokens: u64,
    ) {
        let state = self.services.entry(service).or_default();
        state.refused_at = now;
        state.shard_count = shard_count;
        state.shares.on_requested(now, workspace, tokens);
    }

    /// The services with several shards for which this scheduler was asked lately, and those of which this host
    /// has lately refused requests by itself, with the number of their shards and the report for their
    /// other schedulers.
    pub fn shares_to_send(&self, now: Timestamp) -> Vec<(u64, u32, ShardWork)> {
        let is_recent = |at| now.since(at) < SHARES_SENT_AFTER;
        self.services
            .iter()
            .filter_map(|(service, state)| {
                let is_asked = is_recent(state.asked_at);
                let has_news = (is_asked && state.shard_count > 1) || is_recent(state.refused_at);
                let shards = ShardWork {
                    // Without requests the host may have no shard, and so no free engine.
                    contention: if is_asked {
                        state.contention as f32
                    } else {
                        1.0
                    },
                    work: state.shares.own_work(now),
                };
                has_news.then_some((*service, state.shard_count, shards))
            })
            .collect()
    }

    /// Summaries since the last call of the services of which requests were refused, by the hash of
    /// the service's name.
    pub fn take_summaries(&mut self) -> Vec<(u64, ScheduleSummary)> {
        let mut summaries = Vec::new();
        for (service, state) in &mut self.services {
            let mut summary = std::mem::take(&mut state.summary);
            summary.contention = state.contention;
            if summary.refused > 0 {
                summaries.push((*service, summary));
            }
        }
        summaries
    }

    /// Crashes to tell the other hosts of, with the parts of prompts under which they happened.
    pub fn crashes_to_share(&self, now: Timestamp) -> Vec<PartCrash> {
        self.quarantine.crashes_to_share(now)
    }

    /// Adds the crashes of which another host has told.
    pub fn on_crashes_shared(&mut self, now: Timestamp, crashes: &[PartCrash]) {
        self.quarantine.on_shared(now, crashes);
    }

    /// Parts of prompts that make engines crash.
    pub fn quarantine(&mut self) -> &mut PartQuarantine {
        &mut self.quarantine
    }

    /// Hash of the server of a reservation, `None` if the reservation is not known.
    pub fn server_of(&self, reservation: ReservationId) -> Option<u64> {
        if reservation.epoch != self.epoch {
            return None;
        }
        let key = ReservationKey::from(KeyData::from_ffi(reservation.number));
        self.reservations.get(key).map(|kept| kept.server)
    }

    /// Updates the engine and the reservation with a report on a request. Reports for unknown
    /// reservations and for other incarnations are ignored.
    pub fn on_progress(&mut self, now: Timestamp, progress: &Progress) {
        if progress.reservation.epoch != self.epoch {
            return;
        }
        let key = ReservationKey::from(KeyData::from_ffi(progress.reservation.number));
        let Some(reservation) = self.reservations.get_mut(key) else {
            return;
        };
        let Some(state) = self.services.get_mut(&reservation.service) else {
            return;
        };
        let engine = state.engines.get_mut(&reservation.server);
        match progress.step {
            ProgressStep::ResponseStarted { after, host_lag } => {
                reservation.response_started_at.get_or_insert(now);
                let (uncached, planned) = (reservation.uncached_tokens, reservation.planned);
                let is_measured = host_lag <= MEASURING_LAG_MAX;
                match is_measured {
                    true => state.summary.late += after.saturating_sub(planned),
                    false => state.summary.unmeasured += 1,
                }
                state.summary.responses += 1;
                if let Some(engine) = engine {
                    let end = now + state.hold_time.of(reservation.output_tokens);
                    engine.slots.expect(progress.reservation, end);
                    if is_measured {
                        engine.on_response_started(now, uncached, after, planned);
                    }
                    engine.health.on_response(now, reservation.domain);
                    engine.responded_at = now;
                }
            }
            // The server itself is not part of this scheduler's state.
            ProgressStep::ServerLeaving { .. } => {}
            ProgressStep::Unreachable => {
                if let Some(engine) = engine {
                    engine.health.on_unreachable(now, reservation.domain);
                }
            }
            ProgressStep::Failed | ProgressStep::Broken => {
                reservation.has_failed = true;
                if let Some(engine) = engine {
                    engine.health.on_failed(now);
                }
                if progress.step == ProgressStep::Broken {
                    reservation.count_crash(now, &mut self.quarantine);
                }
            }
            ProgressStep::Silent => {
                reservation.has_failed = true;
                // An engine that answers others is alive.
                let is_silent =
                    |engine: &EngineState| now.since(engine.responded_at) >= ENGINE_SILENCE_MIN;
                if engine.is_some_and(|engine| is_silent(engine)) {
                    reservation.count_crash(now, &mut self.quarantine);
                }
            }
            ProgressStep::Survived => self.quarantine.on_answered(now, &reservation.parts),
            ProgressStep::Answered | ProgressStep::Ended => {
                state.end(now, reservation, progress.reservation);
                if progress.step == ProgressStep::Answered {
                    self.quarantine.on_answered(now, &reservation.parts);
                }
                if reservation.is_trial {
                    self.quarantine.on_trial_ended(&reservation.parts);
                }
                self.reservations.remove(key);
            }
        }
    }

    /// Drops the reservations of requests whose end was not reported in time. Slots and memory are
    /// freed. The time planned for the prefill is not taken back, unlike for a request that is
    /// reported to have ended before its response started.
    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        self.quarantine.sweep(now);
        for state in self.services.values_mut() {
            state.shares.sweep(now);
        }
        let services = &mut self.services;
        let epoch = self.epoch;
        self.reservations.retain(|key, reservation| {
            if !reservation.expires_at.has_passed(now) {
                return true;
            }
            let state = services.get_mut(&reservation.service);
            if let Some(engine) = state.and_then(|state| state.engines.get_mut(&reservation.server))
            {
                let number = key.data().as_ffi();
                engine.end(ReservationId { epoch, number }, reservation.memory_tokens);
            }
            false
        });
    }
}

/// Factor on the start limit for each more urgent rank that has recent requests. With a limit about
/// a third lower per rank, less urgent requests are refused before more urgent ones in an overload,
/// but some less urgent ones still start.
const RANK_LIMIT_FACTOR: f64 = 0.65;
/// Upper bound of the number of more urgent ranks that are counted for a request.
const RANKS_MAX: i32 = 4;
/// How long a rank counts as active after its last request. Callers assess how the requests of each
/// rank are served over spans of the same length.
const RANK_RETENTION: Duration = Duration::from_secs(5);
/// Weight of one request in the usual prefill time of its kind, as a fraction.
const USUAL_PREFILL_GAIN: f64 = 0.02;
/// How long after its last request for a service a scheduler sends reports to the others.
const SHARES_SENT_AFTER: Duration = Duration::from_secs(2);
/// Contention from which on a throttled workspace only gets the engines that have cached its prompts,
/// and below which the engines of a shard may get requests that another shard has refused.
const SPREAD_CONTENTION_MAX: f64 = 0.3;
/// Wait for an engine that counts as full contention: about the prefill of a prompt.
const CONTENDED_WAIT: Duration = Duration::from_millis(100);
/// How long the state of an engine is kept after its last request. The parts that an engine caches
/// are evicted within this time, unless the service is idle.
const ENGINE_RETENTION: Duration = Duration::from_secs(300);
/// Assumed time until an engine has a free slot when all are full: short responses take about a
/// second.
const FULL_ENGINE_WAIT: Duration = Duration::from_secs(1);
/// Longest lag of a host's timers at which the times that it reports say how busy an engine is. Hosts
/// with processor time left have a few milliseconds.
const MEASURING_LAG_MAX: Duration = Duration::from_millis(20);
/// An engine that has begun no response for this long may have ended without closing its connections. A
/// sound one may fall silent for about a second.
const ENGINE_SILENCE_MIN: Duration = Duration::from_millis(1_500);
/// Interval between removals of expired reservations.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

impl ServiceState {
    /// Factor on the start limit for a request of `rank`, at most 1. A request is refused sooner
    /// while more urgent ranks, which have lower numbers, are active.
    fn rank_factor(&mut self, now: Timestamp, rank: u32) -> f64 {
        self.ranks.insert(rank, now);
        self.ranks.retain(|_, at| now.since(*at) < RANK_RETENTION);
        let more_urgent = self.ranks.range(..rank).count();
        // A service usually has only a few ranks. If it has many, the bound keeps the limit from
        // falling almost to zero.
        RANK_LIMIT_FACTOR.powi(
            i32::try_from(more_urgent)
                .unwrap_or(i32::MAX)
                .min(RANKS_MAX),
        )
    }

    /// Removes the engines to which hosts of `domain` cannot connect, and those that fail far more
    /// requests than is usual, unless all that are left do.
    fn remove_unhealthy(&self, now: Timestamp, domain: u64, engines: &mut Vec<EngineView>) {
        let health = |engine: &EngineView| self.engines.get(&engine.hash).map(|e| &e.health);
        engines.retain(|engine| health(engine).is_none_or(|h| h.allows_requests(now, domain)));
        let rate = |engine: &EngineView| health(engine).and_then(|h| h.failure_rate(now));
        let usual = median(engines.iter().filter_map(rate).collect());
        let is_healthy = |engine: &EngineView| !is_failing(rate(engine), usual);
        if engines.iter().any(is_healthy) {
            engines.retain(is_healthy);
        }
    }

    /// Frees what is reserved for a request that is no longer at its engine.
    fn end(&mut self, now: Timestamp, reservation: &Reservation, id: ReservationId) {
        if let Some(at) = reservation.response_started_at
            && !reservation.has_failed
        {
            self.hold_time.add(reservation.output_tokens, now.since(at));
        }
        if !reservation.has_run(now) {
            let Reservation {
                workspace,
                charged_tokens,
                ..
            } = *reservation;
            self.shares.on_not_run(now, workspace, charged_tokens);
        }
        if let Some(engine) = self.engines.get_mut(&reservation.server) {
            engine.end(id, reservation.memory_tokens);
            if reservation.response_started_at.is_none() {
                engine.cancel_prefill(now, reservation.prefill);
            }
        }
    }

    /// Refuses a request that none of the candidates can start within its limit.
    fn refuse(
        &mut self,
        now: Timestamp,
        request: &ScheduleRequest,
        candidates: &[EngineCandidate],
        limit: Duration,
        standing: Standing,
    ) -> ScheduleDecision {
        self.summary.refused += 1;
        let soonest = candidates
            .iter()
            .map(|candidate| candidate.first_event_after)
            .min();
        let soonest = soonest.unwrap_or(FULL_ENGINE_WAIT);
        let has_room_elsewhere = self
            .shares
            .may_have_room_elsewhere(now, SPREAD_CONTENTION_MAX);
        ScheduleDecision::Refuse {
            retry_after: retry_after(request, soonest, limit, self.contention),
            soonest,
            limit,
            is_over_share: standing.wants_more_than_share,
            tries_others: standing.is_underserved || has_room_elsewhere,
        }
    }

    /// Sets the rate of requests to an engine.
    fn set_rate_limit(&mut self, view: &EngineView) {
        if view.rate_limit.is_some() || self.engines.contains_key(&view.hash) {
            let engine = self.engines.entry(view.hash).or_default();
            engine.pacer.set_rate(view.rate_limit);
        }
    }

    /// How much the requests to the engines compete with each other, from 0 if the engines are free
    /// to 1 if a request that is sent to any of them has to wait for others.
    fn contention_of(&self, now: Timestamp, engines: &[EngineView]) -> f64 {
        let wait = |engine: &EngineView| {
            let state = self.engines.get(&engine.hash);
            let wait = state.map_or(Duration::ZERO, |state| state.wait(now, engine.slots));
            wait.as_secs_f64() / CONTENDED_WAIT.as_secs_f64()
        };
        let sum: f64 = engines.iter().map(|engine| wait(engine).min(1.0)).sum();
        sum / engines.len().max(1) as f64
    }

    /// Drops the state of engines that have run no request for long, from time to time. A dropped
    /// engine that gets a request again starts with the initial speed and an empty cache estimate.
    fn remove_idle_engines(&mut self, now: Timestamp) {
        if now.since(self.engines_swept_at) < ENGINE_RETENTION {
            return;
        }
        self.engines_swept_at = now;
        self.engines.retain(|_, engine| {
            !engine.slots.is_empty() || now.since(engine.started_at) < ENGINE_RETENTION
        });
    }

    /// Cost and times of sending a request to an engine, `None` if the engine has no memory left.
    /// Only the fraction `capacity_fraction` of its slots and request memory may be filled. An idle
    /// engine takes any request, since a request that exceeds these limits by itself would
    /// otherwise never start.
    fn candidate(
        &self,
        now: Timestamp,
        request: &ScheduleRequest,
        view: &EngineView,
        capacity_fraction: f64,
    ) -> Option<EngineCandidate> {
        let fresh = EngineState::default();
        let engine = self.engines.get(&view.hash).unwrap_or(&fresh);
        let memory_limit =
            (view.memory_tokens as f64 * REQUEST_MEMORY_FRACTION * capacity_fraction) as u64;
        let slot_limit = (f64::from(view.slots) * capacity_fraction) as u32;
        let has_memory = engine.reserved_tokens + request.memory_tokens() <= memory_limit;
        if !has_memory && !engine.slots.is_empty() {
            return None;
        }
        let mut cached = engine.prefix_cache.cached_tokens(&request.shared_parts);
        if cached == 0 && view.hash == request.last_server {
            // The asking host last sent the session (requests with the same shared parts) to this
            // engine, but here it is not recorded: another scheduler may have been responsible for
            // the shard then. All shared parts are assumed to be cached.
            cached = request.shared_tokens();
        }
        let uncached = request.input_tokens.saturating_sub(cached);
        let uncached_shared = request.shared_tokens().saturating_sub(cached);
        let wait = engine.wait(now, slot_limit);
        let prefill = engine.prefill_time(uncached, request.input_tokens);
        let cross_domain = if view.domain == request.domain {
            Duration::ZERO
        } else {
            CROSS_DOMAIN_COST * request.input_tokens
        };
        Some(EngineCandidate {
            hash: view.hash,
            uncached,
            uncached_shared,
            cost: wait + prefill + CACHE_MISS_COST * uncached_shared + cross_domain,
            wait,
            prefill,
            first_event_after: wait + prefill + FIRST_EVENT_DELAY,
            is_empty: engine.slots.is_empty(),
        })
    }
}

/// Keeps the engines that have cached the most of the parts that other requests share, and those that
/// run no request.
///
/// A workspace that floods the service finds its usual engines busy. If its requests went to others
/// while these are wanted, they would process the same parts again, which takes engine time from all
/// workspaces.
fn keep_most_cached(candidates: &mut Vec<EngineCandidate>) {
    let least = candidates
        .iter()
        .map(|candidate| candidate.uncached_shared)
        .min();
    candidates.retain(|candidate| candidate.is_empty || Some(candidate.uncached_shared) == least);
}

/// Start limit of a request: it is started only if the first event of its response is expected
/// within this time. For a throttled workspace the limit is lowered in proportion to its share
/// ratio.
///
/// The limit is lowered only as far as there is contention for the engines, so that a workspace that
/// floods the service may use engines that would be idle otherwise.
fn start_limit(request: &ScheduleRequest, share_ratio: f64, contention: f64) -> Duration {
    let unthrottled = request.until_objective.mul_f64(OBJECTIVE_PLANNED_FRACTION);
    let unthrottled = if request.is_caller_retry {
        unthrottled.max(caller_retry_limit(request))
    } else {
        unthrottled
    };
    if share_ratio <= THROTTLE_SHARE_RATIO {
        return unthrottled;
    }
    let throttled = THROTTLE_SHARE_RATIO / share_ratio;
    unthrottled.mul_f64(1.0 - contention * (1.0 - throttled))
}

/// Lower bound of the start limit of a request whose caller tries again.
fn caller_retry_limit(request: &ScheduleRequest) -> Duration {
    let limit = request.objective.mul_f64(CALLER_RETRY_FRACTION);
    limit.min(CALLER_RETRY_LIMIT_MAX)
}

/// Retry delay for a refused request: how far the soonest possible first event of the response is
/// beyond the start limit that it has then, within bounds. While requests compete, the engines gain on
/// the waiting requests by only a part of the time that passes.
fn retry_after(
    request: &ScheduleRequest,
    soonest: Duration,
    limit: Duration,
    contention: f64,
) -> Duration {
    let limit = limit.min(caller_retry_limit(request));
    let over = soonest.saturating_sub(limit);
    let over = over.mul_f64(1.0 + contention * CONTENDED_RETRY_FACTOR);
    over.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
