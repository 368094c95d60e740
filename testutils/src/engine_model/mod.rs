//! A model engine in simulated time: batching, chunked reading of prompts, prefix cache with
//! eviction. Nothing here waits; the owner moves the time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// How an engine works.
#[derive(Clone, Copy, Debug)]
pub struct EngineSheet {
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
    pub request_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// What attention adds for a million pairs of tokens, milliseconds.
    pub pairs_ms: f64,
}

impl Default for EngineSheet {
    /// The engines of the deployments of today.
    fn default() -> Self {
        Self {
            slots: 64,
            memory_tokens: 230_000,
            chunk_tokens: 4_096,
            event_tokens: 4,
            step_ms: 5.47,
            request_ms: 0.0121,
            tokens_per_ms: 38.7,
            pairs_ms: 0.737,
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
    Begun,
    /// Its last token is out.
    Ended,
}

#[derive(Debug)]
struct Run {
    request: EngineRequest,
    is_admitted: bool,
    unread: u32,
    made: u32,
}

/// An engine.
#[derive(Debug)]
pub struct EngineModel {
    sheet: EngineSheet,
    now: Duration,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Run>,
    kept: HashMap<u64, (u32, u64)>,
    uses: u64,
    read_tokens: u64,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(sheet: EngineSheet) -> Self {
        Self {
            sheet,
            now: Duration::ZERO,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            uses: 0,
            read_tokens: 0,
        }
    }

    /// Prompt tokens read so far.
    pub fn read_tokens(&self) -> u64 {
        self.read_tokens
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
        while self.running.len() < self.sheet.slots {
            let Some(request) = self.waiting.front() else {
                return;
            };
            let need = u64::from(request.input_tokens) + u64::from(request.output_tokens);
            if self.used_tokens() + need > self.sheet.memory_tokens && !self.running.is_empty() {
                return;
            }
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(Run {
                unread: 0,
                is_admitted: false,
                made: 0,
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
        let mut left = self.sheet.chunk_tokens;
        let mut pairs = 0.0;
        let mut read = 0;
        for at in 0..self.running.len() {
            if left == 0 {
                break;
            }
            if !self.running[at].is_admitted {
                let unread = self.unread_tokens(&self.running[at].request);
                self.running[at].unread = unread;
                self.running[at].is_admitted = true;
            }
            let run = &mut self.running[at];
            let now = run.unread.min(left);
            if now == 0 {
                continue;
            }
            let position = f64::from(run.request.input_tokens - run.unread) + f64::from(now) / 2.0;
            pairs += f64::from(now) * position;
            run.unread -= now;
            left -= now;
            read += now;
            if run.unread == 0 {
                let parts = run.request.shared_parts.clone();
                self.keep(&parts);
            }
        }
        self.read_tokens += u64::from(read);
        let ms = self.sheet.step_ms
            + self.sheet.request_ms * self.running.len() as f64
            + f64::from(read) / self.sheet.tokens_per_ms
            + pairs / 1e6 * self.sheet.pairs_ms;
        self.now += Duration::from_secs_f64(ms / 1000.0);
        let (now, event_tokens) = (self.now, self.sheet.event_tokens);
        self.running.retain_mut(|run| {
            if !run.is_admitted || run.unread > 0 {
                return true;
            }
            run.made += 1;
            let event = |kind| EngineEvent {
                id: run.request.id,
                at: now,
                kind,
            };
            if run.made == event_tokens.min(run.request.output_tokens) {
                events.push(event(EngineEventKind::Begun));
            }
            if run.made >= run.request.output_tokens {
                events.push(event(EngineEventKind::Ended));
            }
            run.made < run.request.output_tokens
        });
    }

    fn unread_tokens(&self, request: &EngineRequest) -> u32 {
        let kept = request
            .shared_parts
            .iter()
            .take_while(|(id, _)| self.kept.contains_key(id));
        request.input_tokens - kept.map(|(_, tokens)| tokens).sum::<u32>()
    }

    /// Keeps parts, and lets the least recently used ones go.
    fn keep(&mut self, parts: &[(u64, u32)]) {
        for (id, tokens) in parts {
            self.uses += 1;
            self.kept.insert(*id, (*tokens, self.uses));
        }
        let room = self.sheet.memory_tokens.saturating_sub(self.used_tokens());
        while self.kept.values().map(|(t, _)| u64::from(*t)).sum::<u64>() > room {
            let oldest = self.kept.iter().min_by_key(|(_, (_, used))| *used);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                return;
            };
            self.kept.remove(&id);
        }
    }
}
