//! A scheduler's book of one model engine: when it is free to read, what it runs and keeps.

use std::time::Duration;

use super::super::dialect::PromptPart;
use super::super::prefix_cache::PrefixCache;
use super::request::ScheduleRequest;
use crate::time::Timestamp;

/// Part of an engine's time that goes into reading prompts at most. An engine reads in chunks of
/// thousands of tokens, and each running answer gains one token a chunk: with 15 in 100 of the
/// time left between chunks, answers still grow by about thirty tokens a second.
const PREFILL_SHARE_MAX: f64 = 0.85;
/// Prompt length at which attention doubles the time of reading, tokens: 0.737 ms for a million
/// pairs of tokens against 38.7 tokens a millisecond, by the sheet of today's engines.
const ATTENTION_DOUBLING_TOKENS: f64 = 35_000.0;
/// Prompt tokens that an engine reads in a millisecond until its answers tell, by the same sheet.
const SPEED_INITIAL: f64 = 38.7;
/// Bounds of the learnt speed: a tenth and four times of the first value.
const SPEED_RANGE: (f64, f64) = (3.8, 160.0);
/// Weight of one answer in the learnt speed.
const SPEED_GAIN: f64 = 0.05;
/// Prompts from this length on tell the speed; shorter ones are dominated by other delays.
const SPEED_TOKENS_MIN: u32 = 1_000;
/// Part of a delay that moves the times of the requests behind it: some of it was the time of
/// running answers, which does not come again.
const DELAY_GAIN: f64 = 0.5;
/// Time from the end of reading to the first event of an answer: an event holds four tokens, and a
/// token takes about ten milliseconds beside others.
pub(crate) const FIRST_EVENT_DELAY: Duration = Duration::from_millis(40);

/// Book of one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    /// When all prompts that were let begin will have been read.
    busy_until: Timestamp,
    /// Prompt tokens read in a millisecond.
    speed: f64,
    /// Requests without an end.
    pub(crate) running: u32,
    /// Tokens that they hold in memory at most.
    pub(crate) memory_tokens: u64,
    /// Parts of prompts in memory.
    pub(crate) prefix_cache: PrefixCache,
}

impl Default for EngineState {
    fn default() -> Self {
        Self {
            busy_until: Timestamp::ZERO,
            speed: SPEED_INITIAL,
            running: 0,
            memory_tokens: 0,
            prefix_cache: PrefixCache::default(),
        }
    }
}

impl EngineState {
    /// Time until the engine can begin to read another prompt.
    pub(crate) fn wait(&self, now: Timestamp) -> Duration {
        self.busy_until.since(now)
    }

    /// Time to read `uncached` tokens at the end of a prompt of `input` tokens.
    pub(crate) fn prefill_time(&self, uncached: u32, input: u32) -> Duration {
        let uncached = f64::from(uncached);
        let mean_position = f64::from(input) - uncached / 2.0;
        let attention = 1.0 + mean_position.max(0.0) / ATTENTION_DOUBLING_TOKENS;
        Duration::from_secs_f64(uncached / self.speed * attention / 1000.0)
    }

    /// Counts a request that begins.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        request: &ScheduleRequest,
        uncached: u32,
        capacity: u64,
    ) {
        let start = self.busy_until.max(now);
        let prefill = self.prefill_time(uncached, request.input_tokens);
        self.busy_until = start + prefill.div_f64(PREFILL_SHARE_MAX);
        self.running += 1;
        self.memory_tokens += request.memory_tokens();
        self.record_cached(now, &request.shared_parts, capacity);
    }

    fn record_cached(&mut self, now: Timestamp, parts: &[PromptPart], capacity: u64) {
        let capacity = capacity.saturating_sub(self.memory_tokens);
        self.prefix_cache.on_read(now, parts, capacity);
    }

    /// Learns from an answer that began `late` after it should have, or early if negative.
    pub(crate) fn on_response_started(
        &mut self,
        now: Timestamp,
        uncached: u32,
        took: Duration,
        planned: Duration,
    ) {
        if uncached >= SPEED_TOKENS_MIN {
            let ratio = planned.as_secs_f64() / took.as_secs_f64().max(0.001);
            let step = 1.0 + SPEED_GAIN * (ratio.clamp(0.25, 4.0) - 1.0);
            self.speed = (self.speed * step).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        }
        // What is late delays all that was to follow.
        let late = took.saturating_sub(planned);
        if self.busy_until > now {
            self.busy_until = self.busy_until + late.mul_f64(DELAY_GAIN);
        }
    }

    /// A request has left the engine.
    pub(crate) fn end(&mut self, memory_tokens: u64) {
        self.running = self.running.saturating_sub(1);
        self.memory_tokens = self.memory_tokens.saturating_sub(memory_tokens);
    }

    /// A request that was let begin was not sent after all.
    pub(crate) fn cancel_prefill(&mut self, now: Timestamp, prefill: Duration) {
        let spared = prefill.div_f64(PREFILL_SHARE_MAX);
        let earlier = self.busy_until.since(Timestamp::ZERO + spared);
        self.busy_until = (Timestamp::ZERO + earlier).max(now);
    }
}
