//! A backend server as its scheduler knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use super::admission::Admission;
use super::admission::AdmissionEvent;
use super::admission::State;
use super::admission::Success;
use super::latency::Latency;
use super::latency::LatencySignal;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::message::EndOutcome;
use crate::message::ServerPhase;
use crate::status::ServerStatus;
use crate::time::Timestamp;

/// Pause after two failures of a server in a row; it doubles with each one that follows.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a slot that its home refused is not tried again.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// End of a request on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// How it ended.
    pub outcome: EndOutcome,
    /// Hash of the instance name in the answer, zero if none was seen.
    pub instance: u64,
    /// Time to the first byte, microseconds, zero if there was none.
    pub first_byte_us: u64,
    /// Work done, in any unit that all requests of the server share.
    pub work: u64,
}

/// What gateways saw of a server before its scheduler began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Hash of the instance name, zero if unknown.
    pub instance: u64,
    /// Phase in the latest grant.
    pub phase: ServerPhase,
    /// Limit in the latest grant.
    pub limit: u32,
}

/// A request that the server is known to run. `epoch` counts the damages before its admission.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    at: Timestamp,
    slot: Option<u32>,
    epoch: u32,
    /// Number of the limit at the admission.
    generation: u32,
}

/// A backend server: its admission state, and the requests that it is known to run.
pub struct BackendServer {
    id: ServerId,
    usable: bool,
    instance: u64,
    admission: StateMachine<Admission>,
    latency: Latency,
    requests: BTreeMap<RequestId, Admitted>,
    refused_slots: BTreeMap<u32, Timestamp>,
    backoff_until: Timestamp,
    consecutive_failures: u32,
    held_cold: bool,
    epoch: u32,
}

impl BackendServer {
    /// Makes a server of which nothing is known. It is held cold until `end_cold_hold`.
    pub fn new(id: ServerId) -> Self {
        Self {
            id,
            usable: false,
            instance: 0,
            admission: Admission::default().state_machine(),
            latency: Latency::default(),
            requests: BTreeMap::new(),
            refused_slots: BTreeMap::new(),
            backoff_until: Timestamp::ZERO,
            consecutive_failures: 0,
            held_cold: true,
            epoch: 0,
        }
    }

    /// Key of the server.
    pub fn id(&self) -> ServerId {
        self.id
    }

    /// Sets whether the server takes new work.
    pub fn set_usable(&mut self, usable: bool) {
        self.usable = usable;
        let event = if usable {
            AdmissionEvent::Listed
        } else {
            AdmissionEvent::Leave
        };
        self.admission.handle(&event);
    }

    /// Marks the server as no longer listed.
    pub fn remove(&mut self) {
        self.usable = false;
        self.admission.handle(&AdmissionEvent::Removed);
    }

    /// Whether the server takes new work.
    pub fn is_usable(&self) -> bool {
        self.usable
    }

    /// Phase that a grant carries.
    pub fn phase(&self) -> ServerPhase {
        if self.held_cold {
            return ServerPhase::Cold;
        }
        match self.admission.state() {
            State::Warm {} => ServerPhase::Warm,
            State::Warming {} => ServerPhase::Warming,
            _ => ServerPhase::Cold,
        }
    }

    /// Requests that the server bears at once.
    pub fn limit(&self) -> u32 {
        match self.phase() {
            ServerPhase::Cold => 1,
            _ => self.admission.limit(),
        }
    }

    /// Hash of the instance name, zero if unknown.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Requests admitted and not known to have ended.
    pub fn running(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    /// Requests that may be admitted at `now`.
    pub fn free(&self, now: Timestamp) -> u32 {
        if !self.usable || !self.backoff_until.has_passed(now) {
            return 0;
        }
        let free = self.limit().saturating_sub(self.running());
        if self.phase() == ServerPhase::Warm {
            return free;
        }
        free.min(u32::try_from(self.free_slots(now).count()).unwrap_or(u32::MAX))
    }

    /// Admits a request and returns the slot that it has to obtain, zero on a warm server.
    pub fn admit(&mut self, now: Timestamp, request: RequestId) -> Option<u32> {
        if self.free(now) == 0 {
            return None;
        }
        if self.phase() == ServerPhase::Warm {
            self.insert(now, request, None);
            return Some(0);
        }
        let slot = self.free_slots(now).next()?;
        self.refused_slots.remove(&slot);
        self.insert(now, request, Some(slot));
        Some(slot)
    }

    /// Takes in a request that runs already.
    pub fn add_running(&mut self, now: Timestamp, request: RequestId) {
        if !self.requests.contains_key(&request) {
            self.insert(now, request, None);
        }
    }

    /// Frees the place of a request whose end is known without a report of the server.
    pub fn remove_request(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Takes in the end of a request.
    pub fn complete(&mut self, now: Timestamp, request: RequestId, end: Completion) {
        let saturated = self.running() >= self.limit();
        let admitted = self.requests.remove(&request);
        if self.is_replaced(end.instance) {
            self.instance = end.instance;
            self.latency = Latency::default();
            self.reset_to_cold(true);
            return;
        }
        if end.instance != 0 {
            self.instance = end.instance;
        }
        let Some(admitted) = admitted.filter(|admitted| admitted.epoch == self.epoch) else {
            // It was admitted to the server as it was before a damage.
            return;
        };
        let good = Success {
            saturated,
            limit_unchanged: admitted.generation == self.admission.generation(),
            work: end.work,
            run_time: now.since(admitted.at),
        };
        match end.outcome {
            EndOutcome::Complete => self.record_success(good, end.first_byte_us),
            EndOutcome::Cancelled => {}
            EndOutcome::Rejected
                if self.consecutive_failures == 0 && self.phase() == ServerPhase::Warm =>
            {
                self.consecutive_failures = 1;
                self.admission.handle(&AdmissionEvent::Rejected);
            }
            EndOutcome::Rejected | EndOutcome::Failed => self.record_failure(now),
        }
    }

    /// Takes in the return of a grant: the slot was refused by its home, or the server could not
    /// be reached.
    pub fn grant_returned(&mut self, now: Timestamp, request: RequestId, unreachable: bool) {
        let slot = self
            .requests
            .remove(&request)
            .and_then(|admitted| admitted.slot);
        if unreachable {
            self.record_failure(now);
        } else if let Some(slot) = slot {
            self.refused_slots.insert(slot, now + SLOT_RETRY_DELAY);
        }
    }

    /// Ends the time in which the server is held cold, and restores what gateways saw of it.
    pub fn end_cold_hold(&mut self, observation: Option<Observation>) {
        self.held_cold = false;
        let Some(observation) = observation else {
            return;
        };
        if self.epoch > 0 || self.is_replaced(observation.instance) {
            return;
        }
        if observation.instance != 0 {
            self.instance = observation.instance;
        }
        let event = AdmissionEvent::Restored {
            phase: observation.phase,
            limit: observation.limit,
        };
        self.admission.handle(&event);
    }

    /// State for operators.
    pub fn status(&self) -> ServerStatus {
        ServerStatus {
            server: self.id,
            phase: self.phase(),
            limit: self.limit(),
            running: self.running(),
            usable: self.usable,
            cold_returns: self.epoch,
        }
    }

    fn is_replaced(&self, instance: u64) -> bool {
        instance != 0 && self.instance != 0 && instance != self.instance
    }

    fn record_success(&mut self, end: Success, first_byte_us: u64) {
        self.consecutive_failures = 0;
        match self.latency.record(first_byte_us) {
            LatencySignal::Normal => {
                self.admission.handle(&AdmissionEvent::Succeeded(end));
            }
            LatencySignal::Elevated => self.admission.handle(&AdmissionEvent::LatencyRose),
            LatencySignal::Spike => self.reset_to_cold(false),
        }
    }

    fn record_failure(&mut self, now: Timestamp) {
        if self.consecutive_failures > 0 {
            let doublings = (self.consecutive_failures - 1).min(5);
            let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
            self.backoff_until = self.backoff_until.max(now + backoff);
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.reset_to_cold(false);
    }

    fn reset_to_cold(&mut self, replaced: bool) {
        self.epoch = self.epoch.saturating_add(1);
        self.admission
            .handle(&AdmissionEvent::ColdReset { replaced });
    }

    fn insert(&mut self, at: Timestamp, request: RequestId, slot: Option<u32>) {
        let admitted = Admitted {
            at,
            slot,
            epoch: self.epoch,
            generation: self.admission.generation(),
        };
        self.requests.insert(request, admitted);
    }

    fn free_slots(&self, now: Timestamp) -> impl Iterator<Item = u32> {
        (0..self.limit()).filter(move |slot| {
            let retry_at = self.refused_slots.get(slot);
            retry_at.is_none_or(|until| until.has_passed(now))
                && !self
                    .requests
                    .values()
                    .any(|taken| taken.slot == Some(*slot))
        })
    }
}

impl std::fmt::Debug for BackendServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BackendServer")
            .field("id", &self.id)
            .field("phase", &self.phase())
            .field("limit", &self.limit())
            .field("running", &self.running())
            .finish_non_exhaustive()
    }
}
