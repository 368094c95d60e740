//! A model engine in simulated time: batching, chunked reading of prompts, prefix cache with
//! eviction. Nothing here waits; the owner moves the time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedEngineProfile {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Tokens that the memory holds.
    pub memory_tokens: u64,
    /// Prompt tokens read in one step at most.
    pub chunk_tokens: u32,
    /// Tokens of an event.
    pub event_tokens: u32,
    /// Shortest step, milliseconds.
    pub step_ms: f64,
    /// What each running request adds to a step, milliseconds.
    pub step_per_request_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What attention adds for a million pairs of tokens, milliseconds.
    pub ms_per_million_pairs: f64,
}

impl Default for SimulatedEngineProfile {
    /// The engines of the deployments of today.
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

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Chosen by the owner.
    pub id: u64,
    /// Shared parts of the prompt in order: identifier and tokens.
    pub shared_parts: Vec<(u64, u32)>,
    /// Length of the whole prompt, tokens.
    pub input_tokens: u32,
    /// Tokens to be generated.
    pub output_tokens: u32,
}

/// What an engine did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    /// The request.
    pub id: u64,
    /// When.
    pub at: Duration,
    /// What.
    pub kind: EngineEventKind,
}

/// A step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEventKind {
    /// Its first event is out.
    ResponseStarted,
    /// Its last token is out.
    Ended,
}

#[derive(Debug)]
struct Run {
    request: EngineRequest,
    has_started_prefill: bool,
    prefill_remaining: u32,
    generated: u32,
}

/// An engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    profile: SimulatedEngineProfile,
    now: Duration,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Run>,
    cached_parts: HashMap<u64, (u32, u64)>,
    use_count: u64,
    prefilled_tokens: u64,
}

impl SimulatedEngine {
    /// An idle engine.
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

    /// Prompt tokens read so far.
    pub fn prefilled_tokens(&self) -> u64 {
        self.prefilled_tokens
    }

    /// Adds a request; the engine must have been moved to the present.
    pub fn submit(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// Drops a request, as when its caller leaves.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|request| request.id != id);
        self.running.retain(|run| run.request.id != id);
    }

    /// Moves the time to `until`, or just beyond by the step in progress.
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

    /// One step: a chunk of prompts is read, and each answer gains a token.
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

    /// Keeps parts, and lets the least recently used ones go.
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
