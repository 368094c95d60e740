//! The batch of a stand-in model engine: admission, steps, warm-up and records.
//!
//! All running requests are in one batch. A step generates up to a fixed number of tokens for every
//! request whose prompt is processed, and takes longer the more requests run. A cold engine (one
//! that has not completed enough requests yet) crashes if a request would bring the batch above
//! [`EngineProfile::cold_limit`], so that tests notice a router that does not respect this limit.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc;

use super::profile::EngineProfile;
use super::record::EngineOutcome;
use super::record::EngineRecord;
use super::record::OverloadViolation;
use super::record::TokenSample;
use super::request::Completion;
use crate::clock::now_us;
use crate::server::new_instance;

/// Progress of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// This many more tokens were generated.
    Tokens(u32),
    /// All tokens were generated.
    End,
}

/// Result of adding a request to the batch.
pub(super) enum Admission {
    Admitted(Sequence),
    /// The engine is down after a crash, possibly one that this request caused.
    Down,
}

/// A running request as the batch holds it.
#[derive(Debug)]
struct Slot {
    /// Index of its record in [`State::records`].
    record: usize,
    /// When the prefill (processing of the prompt) is complete.
    ready_at: Instant,
    tx: mpsc::UnboundedSender<SequenceEvent>,
}

#[derive(Debug)]
struct State {
    /// Name of this run of the engine, until its restart.
    instance: String,
    warm: bool,
    /// Completed requests counted towards warm-up; a crash resets them.
    completed: u32,
    /// End of the downtime after a crash.
    down_until: Option<Instant>,
    next_key: u64,
    running: BTreeMap<u64, Slot>,
    /// Cached prompt prefixes as hashes, least recently used first.
    prefixes: VecDeque<u64>,
    /// Batch size after each change, with its time, oldest first. Kept for as long as reports of
    /// the load are delayed ([`EngineProfile::load_lag`]).
    loads: VecDeque<(Instant, usize)>,
    records: Vec<EngineRecord>,
    violations: Vec<OverloadViolation>,
    /// Tokens processed for each request in each step, if the profile asks for samples.
    samples: Vec<TokenSample>,
}

/// The batch of an engine, with the state and the records of the engine.
#[derive(Debug)]
pub(super) struct Batch {
    profile: EngineProfile,
    state: Mutex<State>,
    request_admitted: Notify,
}

/// A running request. Dropping it before its end cancels the request.
#[derive(Debug)]
pub(super) struct Sequence {
    batch: Arc<Batch>,
    key: u64,
    pub(super) instance: String,
    rx: mpsc::UnboundedReceiver<SequenceEvent>,
}

impl Sequence {
    /// Waits for the next progress; none after the end, or if the engine crashed or was restarted.
    pub(super) async fn next(&mut self) -> Option<SequenceEvent> {
        self.rx.recv().await
    }

    /// Whether the engine generates a complete response at once (steps take no time).
    pub(super) fn is_instant(&self) -> bool {
        self.batch.profile.step.is_zero()
    }

    /// Waits for the end of the request and discards its tokens.
    pub(super) async fn run_to_end(mut self) {
        while let Some(SequenceEvent::Tokens(_)) = self.next().await {}
    }
}

impl Drop for Sequence {
    fn drop(&mut self) {
        self.batch.remove(self.key, EngineOutcome::Cancelled);
    }
}

impl State {
    /// Marks a prompt prefix as the most recently used one in the cache and returns whether it was
    /// cached. Evicts the least recently used prefixes above `capacity`.
    fn touch_prefix(&mut self, prefix: u64, capacity: usize) -> bool {
        let cached = self.prefixes.contains(&prefix);
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > capacity {
            self.prefixes.pop_front();
        }
        cached
    }

    /// Records the current batch size, and drops sizes that are too old to be reported. `lag` is
    /// the age of the load that the engine reports.
    fn record_load(&mut self, lag: Duration) {
        let now = Instant::now();
        self.loads.push_back((now, self.running.len()));
        while self.loads.len() > 1 && now - self.loads[1].0 >= lag {
            self.loads.pop_front();
        }
    }

    fn end_record(&mut self, record: usize, outcome: EngineOutcome) {
        let record = &mut self.records[record];
        record.end = Some(now_us());
        record.outcome = outcome;
    }

    /// Ends all running requests as lost.
    fn abort_running(&mut self) {
        for slot in std::mem::take(&mut self.running).into_values() {
            self.end_record(slot.record, EngineOutcome::Lost);
        }
    }
}

impl Batch {
    pub(super) fn new(profile: EngineProfile) -> Self {
        let state = State {
            instance: new_instance(),
            warm: false,
            completed: 0,
            down_until: None,
            next_key: 0,
            running: BTreeMap::new(),
            prefixes: VecDeque::new(),
            loads: VecDeque::new(),
            records: Vec::new(),
            violations: Vec::new(),
            samples: Vec::new(),
        };
        Self {
            profile,
            state: Mutex::new(state),
            request_admitted: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of the engine state")
    }

    /// Adds a request to the batch, however large the batch is. A cold engine above its limit
    /// crashes instead: it loses the whole batch and the completed requests counted towards
    /// warm-up.
    pub(super) fn admit(self: &Arc<Self>, request: &Completion) -> Admission {
        let mut state = self.lock();
        let now = Instant::now();
        if state.down_until.is_some_and(|until| now < until) {
            return Admission::Down;
        }
        let running = state.running.len() + 1;
        if !state.warm && running > self.profile.cold_limit {
            self.crash(&mut state, request, running);
            return Admission::Down;
        }
        let cached = state.touch_prefix(request.prefix, self.profile.cached_prefixes);
        let prefill = self.profile.prefill_duration(running, state.warm, cached);
        let record = EngineRecord {
            request_id: request.request_id.clone().unwrap_or_default(),
            tag: request.tag.clone(),
            nonce: request.nonce,
            instance: state.instance.clone(),
            start: now_us(),
            first_token: None,
            end: None,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            generated: 0,
            outcome: EngineOutcome::Running,
            cold: !state.warm,
            batch: running,
            cached,
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let slot = Slot {
            record: state.records.len(),
            ready_at: now + prefill,
            tx,
        };
        state.records.push(record);
        let key = state.next_key;
        state.next_key += 1;
        state.running.insert(key, slot);
        state.record_load(self.profile.load_lag);
        let instance = state.instance.clone();
        // If steps take no time, a request whose prefill takes none either gets all tokens at once.
        if self.profile.step.is_zero() {
            self.step(&mut state, u32::MAX);
        }
        drop(state);
        self.request_admitted.notify_one();
        Admission::Admitted(Sequence {
            batch: Arc::clone(self),
            key,
            instance,
            rx,
        })
    }

    /// Ends all running requests as lost, resets the warm-up and starts the downtime. The instance
    /// name and the cached prefixes stay.
    fn crash(&self, state: &mut State, request: &Completion, running: usize) {
        state.violations.push(OverloadViolation {
            at: now_us(),
            request_id: request.request_id.clone().unwrap_or_default(),
            running,
            limit: self.profile.cold_limit,
        });
        state.completed = 0;
        state.down_until = Some(Instant::now() + self.profile.crash_downtime);
        state.abort_running();
        state.record_load(self.profile.load_lag);
    }

    /// Removes a request from the batch if it is still running.
    fn remove(&self, key: u64, outcome: EngineOutcome) {
        let mut state = self.lock();
        if let Some(slot) = state.running.remove(&key) {
            state.end_record(slot.record, outcome);
            state.record_load(self.profile.load_lag);
        }
    }

    /// Generates up to `tokens` tokens for every request whose prefill is complete.
    fn step(&self, state: &mut State, tokens: u32) {
        let now = Instant::now();
        let at = now_us();
        let mut ended = Vec::new();
        for (key, slot) in &state.running {
            if slot.ready_at > now {
                continue;
            }
            let record = &mut state.records[slot.record];
            let generated = tokens.min(record.output_tokens - record.generated);
            // The first sample of a request includes the tokens of its prompt.
            let prompt_tokens = match record.first_token {
                Some(_) => 0,
                None => record.prompt_tokens,
            };
            record.first_token.get_or_insert(at);
            record.generated += generated;
            if self.profile.record_samples {
                state.samples.push(TokenSample {
                    at,
                    record: slot.record,
                    tokens: generated + prompt_tokens,
                });
            }
            // Sending fails if the client disconnected; dropping its `Sequence` then removes the
            // request from the batch.
            let _ = slot.tx.send(SequenceEvent::Tokens(generated));
            if record.generated == record.output_tokens {
                let _ = slot.tx.send(SequenceEvent::End);
                ended.push(*key);
            }
        }
        for key in ended {
            self.complete(state, key);
        }
    }

    fn complete(&self, state: &mut State, key: u64) {
        let Some(slot) = state.running.remove(&key) else {
            return;
        };
        state.end_record(slot.record, EngineOutcome::Complete);
        state.completed += 1;
        if state.completed >= self.profile.warm_after {
            state.warm = true;
        }
        state.record_load(self.profile.load_lag);
    }

    pub(super) fn set_cold(&self) {
        let mut state = self.lock();
        state.warm = false;
        state.completed = 0;
    }

    pub(super) fn set_warm(&self) {
        self.lock().warm = true;
    }

    /// Ends all running requests as lost and makes the engine cold, with a new instance name and
    /// without cached prefixes. A downtime after a crash continues.
    pub(super) fn restart(&self) {
        let mut state = self.lock();
        state.instance = new_instance();
        state.warm = false;
        state.completed = 0;
        state.prefixes.clear();
        state.abort_running();
        state.record_load(self.profile.load_lag);
    }

    pub(super) fn is_warm(&self) -> bool {
        self.lock().warm
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running.len()
    }

    pub(super) fn instance(&self) -> String {
        self.lock().instance.clone()
    }

    pub(super) fn records(&self) -> Vec<EngineRecord> {
        self.lock().records.clone()
    }

    pub(super) fn violations(&self) -> Vec<OverloadViolation> {
        self.lock().violations.clone()
    }

    pub(super) fn samples(&self) -> Vec<TokenSample> {
        self.lock().samples.clone()
    }

    pub(super) fn profile(&self) -> EngineProfile {
        self.profile
    }

    /// Batch size as it was [`EngineProfile::load_lag`] ago; zero if the engine is younger than
    /// that.
    pub(super) fn reported_load(&self) -> usize {
        let mut state = self.lock();
        let now = Instant::now();
        let lag = self.profile.load_lag;
        while state.loads.len() > 1 && now - state.loads[1].0 >= lag {
            state.loads.pop_front();
        }
        match state.loads.front() {
            Some((at, running)) if now - *at >= lag => *running,
            _ => 0,
        }
    }

    fn next_step_duration(&self) -> Option<Duration> {
        let state = self.lock();
        (!state.running.is_empty())
            .then(|| self.profile.step_duration(state.running.len(), state.warm))
    }
}

/// Runs the steps of a batch until the returned future is dropped. Without running requests it
/// waits for the next admission.
pub(super) async fn run_steps(batch: Arc<Batch>) {
    let mut due = Instant::now();
    loop {
        let Some(length) = batch.next_step_duration() else {
            batch.request_admitted.notified().await;
            due = Instant::now();
            continue;
        };
        // If the last step was late by less than the length of this one, the wait for this one is
        // shortened to make up for it. If it was later, for example on a busy machine, this one is
        // due at once, and the rest of the delay is not made up for.
        due = (due + length).max(Instant::now());
        tokio::time::sleep_until(due.into()).await;
        let tokens = batch.profile.tokens_per_step;
        batch.step(&mut batch.lock(), tokens);
    }
}
