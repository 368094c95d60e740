//! State of the stand-in plain service: its limit, running operations and records.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::clock::now_us;
use crate::server::new_instance;

/// Limit and speed of a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainProfile {
    /// Duration of an operation.
    pub latency: Duration,
    /// Operations that run at once at most; further ones are refused.
    pub limit: usize,
}

impl Default for PlainProfile {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(5),
            limit: 16,
        }
    }
}

/// Whether and how an operation ended on the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It has not ended yet.
    Running,
    /// It ran to its end. The service does not know whether its response arrived.
    Complete,
    /// Its client disconnected while it ran. It counts as run.
    ClientDisconnected,
}

/// One run of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name in `x-operation`, empty if there was none.
    pub operation: String,
    /// Identifier in `x-request-id`, empty if there was none.
    pub request_id: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Time of the start, microseconds of [`crate::now_us`].
    pub start: u64,
    /// Time of the end, microseconds of [`crate::now_us`].
    pub end: Option<u64>,
    /// Whether and how it ended.
    pub outcome: ExecutionOutcome,
}

#[derive(Debug)]
struct State {
    instance: String,
    running: usize,
    refused: u64,
    run_count: HashMap<String, u32>,
    executions: Vec<Execution>,
}

/// State of a plain service, shared by its connections and handles.
#[derive(Debug)]
pub(super) struct Shared {
    profile: PlainProfile,
    state: Mutex<State>,
}

/// A running operation. Dropping it before its end means that its client disconnected.
#[derive(Debug)]
pub(super) struct RunningOperation {
    shared: Arc<Shared>,
    index: usize,
    run_count: u32,
    instance: String,
}

impl RunningOperation {
    pub(super) fn run_count(&self) -> u32 {
        self.run_count
    }

    pub(super) fn instance(&self) -> &str {
        &self.instance
    }

    pub(super) fn end(self) {
        self.shared.end(self.index, ExecutionOutcome::Complete);
    }
}

impl Drop for RunningOperation {
    fn drop(&mut self) {
        self.shared
            .end(self.index, ExecutionOutcome::ClientDisconnected);
    }
}

impl Shared {
    pub(super) fn new(profile: PlainProfile) -> Self {
        let state = State {
            instance: new_instance(),
            running: 0,
            refused: 0,
            run_count: HashMap::new(),
            executions: Vec::new(),
        };
        Self {
            profile,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of the plain service state")
    }

    /// Starts an operation; none if the service is at its limit.
    pub(super) fn start_operation(
        self: &Arc<Self>,
        operation: &str,
        request_id: Option<&str>,
        method: &str,
        path: &str,
    ) -> Option<RunningOperation> {
        let mut state = self.lock();
        if state.running >= self.profile.limit {
            state.refused += 1;
            return None;
        }
        state.running += 1;
        let run_count = state.run_count.entry(operation.to_owned()).or_default();
        *run_count += 1;
        let run_count = *run_count;
        let index = state.executions.len();
        state.executions.push(Execution {
            operation: operation.to_owned(),
            request_id: request_id.unwrap_or_default().to_owned(),
            method: method.to_owned(),
            path: path.to_owned(),
            start: now_us(),
            end: None,
            outcome: ExecutionOutcome::Running,
        });
        Some(RunningOperation {
            shared: Arc::clone(self),
            index,
            run_count,
            instance: state.instance.clone(),
        })
    }

    /// Records the end of an operation, unless it has ended already.
    fn end(&self, index: usize, outcome: ExecutionOutcome) {
        let mut state = self.lock();
        let execution = &mut state.executions[index];
        if execution.outcome != ExecutionOutcome::Running {
            return;
        }
        execution.end = Some(now_us());
        execution.outcome = outcome;
        state.running -= 1;
    }

    pub(super) fn restart(&self) {
        self.lock().instance = new_instance();
    }

    pub(super) fn latency(&self) -> Duration {
        self.profile.latency
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    pub(super) fn running(&self) -> usize {
        self.lock().running
    }

    pub(super) fn refused(&self) -> u64 {
        self.lock().refused
    }
}
