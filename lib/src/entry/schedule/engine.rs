//! A scheduler's model of one model engine: when it is free to process another prompt, how many
//! requests it runs, and which parts of prompts it caches.
//!
//! An engine processes a whole prompt (prefill) before it generates the first token of the
//! response, and skips the leading parts of the prompt that are in its cache.

use std::time::Duration;

use super::super::dialect::PromptPart;
use super::super::prefix_cache::PrefixCache;
use super::super::rate_limit::RatePacer;
use super::engine_health::EngineHealth;
use super::request::ReservationId;
use super::request::ScheduleRequest;
use super::slots::SlotPlan;
use crate::time::Timestamp;

/// Largest fraction of an engine's time that is planned for prefills. An engine processes prompts
/// in chunks of thousands of tokens, and each running response gains one token per chunk. With 15%
/// of the time left between chunks, each response still gains about 30 tokens/s.
const PREFILL_SHARE_MAX: f64 = 0.85;
/// Position in the prompt at which attention doubles the prefill time of a token, tokens. According
/// to the data sheet of the current engines, attention takes 0.737 ms per million token pairs and
/// the rest of the prefill 1 ms per 38.7 tokens, which are equal at 35,000 pairs per token.
const ATTENTION_DOUBLING_TOKENS: f64 = 35_000.0;
/// Prefill speed assumed before any response was measured, tokens/ms, from the data sheet of the
/// current engines.
const SPEED_INITIAL: f64 = 38.7;
/// Bounds of the learned speed, tokens/ms: about a tenth and four times the initial speed.
const SPEED_RANGE: (f64, f64) = (3.8, 160.0);
/// Weight of one response in the learned speed, as a fraction.
const SPEED_GAIN: f64 = 0.05;
/// A response updates the speed only if its prompt had at least this many uncached tokens. With
/// fewer, other delays dominate.
const SPEED_TOKENS_MIN: u32 = 1_000;
/// Fraction of the delay of a response, compared with the plan, that is added to the time at which
/// the engine becomes free. The rest was spent on responses that were running and does not recur.
const DELAY_GAIN: f64 = 0.5;
/// Time from the end of prefill to the first event of the response: an event holds four tokens, and
/// a token takes about 10 ms on an engine that runs other requests too.
pub(crate) const FIRST_EVENT_DELAY: Duration = Duration::from_millis(40);

/// Load, speed and cache of one engine, as the scheduler estimates them.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    /// When the engine will have finished the prefill of all requests started so far.
    busy_until: Timestamp,
    /// Prefill speed learned from responses, tokens/ms.
    speed: f64,
    /// When a request was last started.
    pub(crate) started_at: Timestamp,
    /// When the engine last began a response.
    pub(crate) responded_at: Timestamp,
    /// Requests that were started and whose end was not reported yet.
    pub(crate) slots: SlotPlan,
    /// Memory reserved for these requests, tokens. They occupy at most this.
    pub(crate) reserved_tokens: u64,
    /// Spaces the requests while the engine names a limit.
    pub(crate) pacer: RatePacer,
    /// What hosts have reported of the engine.
    pub(crate) health: EngineHealth,
    /// Parts of prompts that the engine is assumed to cache.
    pub(crate) prefix_cache: PrefixCache,
}

/// When and how a request is planned to run on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStart {
    /// Time until the prefill can start.
    pub(crate) wait: Duration,
    /// Prompt tokens that the engine has not cached.
    pub(crate) uncached: u32,
    /// Expected time from the start to the end of the response.
    pub(crate) hold: Duration,
}

impl Default for EngineState {
    fn default() -> Self {
        Self {
            busy_until: Timestamp::ZERO,
            speed: SPEED_INITIAL,
            started_at: Timestamp::ZERO,
            responded_at: Timestamp::ZERO,
            slots: SlotPlan::default(),
            reserved_tokens: 0,
            pacer: RatePacer::default(),
            health: EngineHealth::default(),
            prefix_cache: PrefixCache::default(),
        }
    }
}

impl EngineState {
    /// Time until the engine can start the prefill of another prompt, if it may run `slots` requests.
    pub(crate) fn wait(&self, now: Timestamp, slots: u32) -> Duration {
        let prefill_wait = self.busy_until.max(self.pacer.earliest()).since(now);
        prefill_wait.max(self.slots.wait(now, slots))
    }

    /// Time for the prefill of the last `uncached` tokens of a prompt of `input` tokens.
    pub(crate) fn prefill_time(&self, uncached: u32, input: u32) -> Duration {
        let uncached = f64::from(uncached);
        // The uncached tokens are the last ones of the prompt.
        let mean_position = f64::from(input) - uncached / 2.0;
        let attention = 1.0 + mean_position.max(0.0) / ATTENTION_DOUBLING_TOKENS;
        Duration::from_secs_f64(uncached / self.speed * attention / 1000.0)
    }

    /// Counts a request that starts as planned. `capacity` is the size of the engine's memory, tokens.
    /// The part that is not reserved for requests holds the cache.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        reservation: ReservationId,
        request: &ScheduleRequest,
        planned: &PlannedStart,
        capacity: u64,
    ) {
        let start = now + planned.wait;
        self.pacer.on_sent(start);
        let prefill = self.prefill_time(planned.uncached, request.input_tokens);
        self.busy_until = start + prefill.div_f64(PREFILL_SHARE_MAX);
        self.started_at = now;
        let first_event_at = start + prefill + FIRST_EVENT_DELAY;
        self.slots.add(reservation, first_event_at + planned.hold);
        self.health.on_started(now, request.domain);
        self.reserved_tokens += request.memory_tokens();
        self.record_cached(now, &request.shared_parts, capacity);
    }

    fn record_cached(&mut self, now: Timestamp, parts: &[PromptPart], capacity: u64) {
        let capacity = capacity.saturating_sub(self.reserved_tokens);
        self.prefix_cache.record(now, parts, capacity);
    }

    /// Updates the speed and the planned times by a response that started `took` after its request
    /// was sent. `planned` is the time that was expected for this, `uncached` the number of prompt
    /// tokens that the engine had not cached.
    pub(crate) fn on_response_started(
        &mut self,
        now: Timestamp,
        uncached: u32,
        took: Duration,
        planned: Duration,
    ) {
        if uncached >= SPEED_TOKENS_MIN {
            // A single response counts as at most four times faster or slower than planned.
            let ratio = planned.as_secs_f64() / took.as_secs_f64().max(0.001);
            let step = 1.0 + SPEED_GAIN * (ratio.clamp(0.25, 4.0) - 1.0);
            self.speed = (self.speed * step).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        }
        // The prefills that follow a late one are late too.
        let late = took.saturating_sub(planned);
        if self.busy_until > now {
            self.busy_until = self.busy_until + late.mul_f64(DELAY_GAIN);
        }
    }

    /// Counts the end of a request for which `memory_tokens` were reserved.
    pub(crate) fn end(&mut self, reservation: ReservationId, memory_tokens: u64) {
        self.slots.remove(reservation);
        self.reserved_tokens = self.reserved_tokens.saturating_sub(memory_tokens);
    }

    /// Takes back the prefill time planned for a request whose response never started.
    pub(crate) fn cancel_prefill(&mut self, now: Timestamp, prefill: Duration) {
        let spared = prefill.div_f64(PREFILL_SHARE_MAX);
        let earlier = self.busy_until.since(Timestamp::ZERO + spared);
        self.busy_until = (Timestamp::ZERO + earlier).max(now);
    }
}
