//! A model engine (inference server for a large language model) in simulated time.
//!
//! It models continuous batching, chunked prefill (prompts are processed in chunks of limited size,
//! at most one chunk per step) and a prefix cache with eviction of the least recently used parts.
//! So an experiment can simulate many engines without sockets or real time: the caller advances the
//! simulated time, and no function sleeps.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits and speed of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedEngineProfile {
    /// Requests that run at the same time at most.
    pub slots: usize,
    /// Tokens that fit into the memory: those of running requests and of cached prompt parts.
    pub memory_tokens: u64,
    /// Prompt tokens processed in one step at most, over all requests.
    pub chunk_tokens: u32,
    /// Tokens in one event of the response stream.
    pub event_tokens: u32,
    /// Duration of a step before the additions below, milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step for each running request, milliseconds.
    pub step_per_request_ms: f64,
    /// Prompt tokens processed per millisecond, without attention.
    pub prefill_tokens_per_ms: f64,
    /// Additional prefill time for attention, milliseconds per million pairs of a prompt token and
    /// an earlier token of its prompt.
    pub ms_per_million_pairs: f64,
}

impl Default for SimulatedEngineProfile {
    /// The engines of the current deployments.
    fn default() -> Self {
        Self {
            slots: 64,
            memory_tokens: 230_000,
            chunk_tokens: 4_096,
            event_tokens: 4,
            step_ms: 5.47,
            step_per_request_ms: 0.0121,
            prefill_tokens_per_ms: 38.7,
            ms_per_million_pairs: 0.737,
        }
    }
}

/// A request to a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Identifier, chosen by the caller.
    pub id: u64,
    /// Leading parts of the prompt that other requests may share, in order: identifier and length
    /// in tokens. Cached parts are not processed again.
    pub shared_parts: Vec<(u64, u32)>,
    /// Length of the complete prompt, tokens, shared parts included.
    pub input_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
}

/// A change in the progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    /// Identifier of the request.
    pub id: u64,
    /// Simulated time since the creation of the engine.
    pub at: Duration,
    /// The change.
    pub kind: EngineEventKind,
}

/// Kind of an [`EngineEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEventKind {
    /// The first event of the response stream was sent.
    ResponseStarted,
    /// The last token was generated.
    Ended,
}

/// An admitted request.
#[derive(Debug)]
struct Run {
    request: EngineRequest,
    /// Whether the cache was looked up and the prefill has started, which sets `prefill_remaining`.
    has_started_prefill: bool,
    /// Prompt tokens that are neither cached nor processed yet.
    prefill_remaining: u32,
    generated: u32,
}

/// A simulated engine, which is idle until requests are submitted.
#[derive(Debug)]
pub struct SimulatedEngine {
    profile: SimulatedEngineProfile,
    now: Duration,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Run>,
    /// Cached prompt parts by identifier: length in tokens and value of `use_count` at the last
    /// use.
    cached_parts: HashMap<u64, (u32, u64)>,
    use_count: u64,
    prefilled_tokens: u64,
}

impl SimulatedEngine {
    /// Creates an idle engine at time zero.
    pub fn new(profile: SimulatedEngineProfile) -> Self {
        Self {
            profile,
            now: Duration::ZERO,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached_parts: HashMap::new(),
            use_count: 0,
            prefilled_tokens: 0,
        }
    }

    /// Prompt tokens processed so far; tokens taken from the cache do not count.
    pub fn prefilled_tokens(&self) -> u64 {
        self.prefilled_tokens
    }

    /// Queues a request. The engine must have been advanced to the current time first.
    pub fn submit(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// Removes a request, as when its caller disconnects.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|request| request.id != id);
        self.running.retain(|run| run.request.id != id);
    }

    /// Runs the engine until `until` and returns its events in order. A step in progress at that
    /// time is completed, so the engine may end a little later.
    pub fn advance(&mut self, until: Duration) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while self.now < until {
            self.admit();
            if self.running.is_empty() {
                self.now = until;
                break;
            }
            self.step(&mut events);
        }
        events
    }

    fn admit(&mut self) {
        while self.running.len() < self.profile.slots {
            let Some(request) = self.waiting.front() else {
                return;
            };
            let need = u64::from(request.input_tokens) + u64::from(request.output_tokens);
            if self.used_tokens() + need > self.profile.memory_tokens && !self.running.is_empty() {
                return;
            }
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(Run {
                prefill_remaining: 0,
                has_started_prefill: false,
                generated: 0,
                request,
            });
        }
    }

    fn used_tokens(&self) -> u64 {
        let sizes = self
            .running
            .iter()
            .map(|run| u64::from(run.request.input_tokens) + u64::from(run.request.output_tokens));
        sizes.sum()
    }

    /// Runs one step: processes up to `chunk_tokens` prompt tokens, in the order of admission, and
    /// generates one token for each request whose prefill is complete.
    fn step(&mut self, events: &mut Vec<EngineEvent>) {
        let mut budget = self.profile.chunk_tokens;
        let mut pairs = 0.0;
        let mut prefilled = 0;
        for index in 0..self.running.len() {
            if budget == 0 {
                break;
            }
            if !self.running[index].has_started_prefill {
                let prefill_remaining = self.uncached_tokens(&self.running[index].request);
                self.running[index].prefill_remaining = prefill_remaining;
                self.running[index].has_started_prefill = true;
            }
            let run = &mut self.running[index];
            let chunk = run.prefill_remaining.min(budget);
            if chunk == 0 {
                continue;
            }
            let position = f64::from(run.request.input_tokens - run.prefill_remaining)
                + f64::from(chunk) / 2.0;
            pairs += f64::from(chunk) * position;
            run.prefill_remaining -= chunk;
            budget -= chunk;
            prefilled += chunk;
            if run.prefill_remaining == 0 {
                let parts = run.request.shared_parts.clone();
                self.cache_parts(&parts);
            }
        }
        self.prefilled_tokens += u64::from(prefilled);
        let ms = self.profile.step_ms
            + self.profile.step_per_request_ms * self.running.len() as f64
            + f64::from(prefilled) / self.profile.prefill_tokens_per_ms
            + pairs / 1e6 * self.profile.ms_per_million_pairs;
        self.now += Duration::from_secs_f64(ms / 1000.0);
        let (now, event_tokens) = (self.now, self.profile.event_tokens);
        self.running.retain_mut(|run| {
            if !run.has_started_prefill || run.prefill_remaining > 0 {
                return true;
            }
            run.generated += 1;
            let event = |kind| EngineEvent {
                id: run.request.id,
                at: now,
                kind,
            };
            if run.generated == event_tokens.min(run.request.output_tokens) {
                events.push(event(EngineEventKind::ResponseStarted));
            }
            if run.generated >= run.request.output_tokens {
                events.push(event(EngineEventKind::Ended));
            }
            run.generated < run.request.output_tokens
        });
    }

    fn uncached_tokens(&self, request: &EngineRequest) -> u32 {
        let cached_parts = request
            .shared_parts
            .iter()
            .take_while(|(id, _)| self.cached_parts.contains_key(id));
        request.input_tokens - cached_parts.map(|(_, tokens)| tokens).sum::<u32>()
    }

    /// Caches prompt parts, then evicts the least recently used ones until the cache fits into the
    /// memory that the running requests leave free.
    fn cache_parts(&mut self, parts: &[(u64, u32)]) {
        for (id, tokens) in parts {
            self.use_count += 1;
            self.cached_parts.insert(*id, (*tokens, self.use_count));
        }
        let capacity = self
            .profile
            .memory_tokens
            .saturating_sub(self.used_tokens());
        while self
            .cached_parts
            .values()
            .map(|(t, _)| u64::from(*t))
            .sum::<u64>()
            > capacity
        {
            let oldest = self.cached_parts.iter().min_by_key(|(_, (_, used))| *used);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return;
            };
            self.cached_parts.remove(&id);
        }
    }
}
