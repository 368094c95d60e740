//! A backend server as seen by the scheduler that sends requests to it.
//!
//! [`BackendServer`] counts the requests in flight, passes their outcome and latency to the
//! admission state machine, and says whether another request may be admitted. Requests to a server
//! that is not warm (whose capacity is not learnt yet) also need a slot: a number below the limit,
//! which a home host (a host of the server's failure domain, chosen by the server and the number)
//! permits to one request at a time. Slots keep the server within its limit even while two
//! schedulers are active. A warm server tolerates a brief excess, so no slot is used there.
//!
//! The scheduler admits a request by sending a grant to its gateway, the host that accepted the
//! request and then sends it to the server.

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

/// Time after the second consecutive failure of a server in which it is given no requests. It
/// doubles with each further failure, up to [`MAX_BACKOFF`]. A first failure causes no backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time before a slot is tried again after its home host refused it.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How a request ended on a server, as its gateway reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Whether the request completed, failed, was rejected by the server or was cancelled.
    pub outcome: EndOutcome,
    /// Hash of the instance name in the response, zero if there was none. It changes when the
    /// server restarts.
    pub instance: u64,
    /// Time from dispatch to the first byte of the response body, in microseconds. Zero if none
    /// arrived.
    pub first_byte_us: u64,
    /// Work done, in any unit that all requests of the server share.
    pub work: u64,
}

/// State of a server as gateways last knew it from the grants of an earlier scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Hash of the instance name, zero if unknown.
    pub instance: u64,
    /// Phase in the latest grant, or cold if the server has failed or restarted since.
    pub phase: ServerPhase,
    /// Limit in the latest grant, or one if the server has failed or restarted since.
    pub limit: u32,
}

/// A request in flight on the server.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    /// When it was admitted.
    at: Timestamp,
    /// Slot that the request needs, if the server was not warm.
    slot: Option<u32>,
    /// Value of [`BackendServer::epoch`] when it was admitted.
    epoch: u32,
    /// Value of [`Admission::generation`] when it was admitted.
    generation: u32,
}

/// A backend server: its admission state and its requests in flight.
pub struct BackendServer {
    id: ServerId,
    /// Whether the server may be given new requests.
    usable: bool,
    /// Hash of the name of the server's running instance, zero if unknown.
    instance: u64,
    admission: StateMachine<Admission>,
    latency: Latency,
    /// Requests in flight.
    requests: BTreeMap<RequestId, Admitted>,
    /// Slots that their home hosts refused, and when to try them again.
    refused_slots: BTreeMap<u32, Timestamp>,
    /// No request is admitted before this time.
    backoff_until: Timestamp,
    /// Failures since the latest success. A first refusal by a warm server counts as well.
    consecutive_failures: u32,
    /// Whether the server counts as cold whatever its admission state is, because the scheduler is
    /// new and may not know every request in flight.
    held_cold: bool,
    /// Number of cold resets so far. The end of a request that was admitted before the latest reset
    /// says nothing about the server's present state and is ignored.
    epoch: u32,
}

impl BackendServer {
    /// Creates a server in an unknown state, which may not be given requests yet. It counts as cold
    /// until [`end_cold_hold`](Self::end_cold_hold) is called.
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

    /// Key of the server: a hash of its name in the host list.
    pub fn id(&self) -> ServerId {
        self.id
    }

    /// Sets whether the server may be given new requests. A server that becomes usable again starts
    /// cold.
    pub fn set_usable(&mut self, usable: bool) {
        self.usable = usable;
        let event = if usable {
            AdmissionEvent::Listed
        } else {
            AdmissionEvent::Leave
        };
        self.admission.handle(&event);
    }

    /// Gives the server no new requests, because the host list has dropped it. If it is listed
    /// again, its limit is learnt anew.
    pub fn remove(&mut self) {
        self.usable = false;
        self.admission.handle(&AdmissionEvent::Removed);
    }

    /// Whether the server may be given new requests, whatever its load and backoff.
    pub fn is_usable(&self) -> bool {
        self.usable
    }

    /// Phase of the server, which is sent to the gateway with each grant.
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

    /// Concurrent requests that the server may run. One while it is cold.
    pub fn limit(&self) -> u32 {
        match self.phase() {
            ServerPhase::Cold => 1,
            _ => self.admission.limit(),
        }
    }

    /// Hash of the server's instance name, zero if unknown.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Requests in flight: admitted and not known to have ended.
    pub fn running(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    /// Number of requests that may be admitted at `now` in addition to those in flight. Zero while
    /// the server may not be given new requests or backs off after failures.
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

    /// Admits a request and returns the number of the slot that its gateway must obtain from the
    /// slot's home host. On a warm server no slot is needed and the number is zero. `None` if the
    /// server has no free capacity.
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

    /// Adds a request that is in flight already, admitted by another scheduler. A known request is
    /// not added again.
    pub fn add_running(&mut self, now: Timestamp, request: RequestId) {
        if !self.requests.contains_key(&request) {
            self.insert(now, request, None);
        }
    }

    /// Removes a request whose outcome is not known, for example because its gateway crashed.
    pub fn remove_request(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Records the end of a request and adjusts the limit accordingly.
    pub fn complete(&mut self, now: Timestamp, request: RequestId, end: Completion) {
        // Determined before the removal, so that the ended request counts.
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
            // The request was admitted before the latest cold reset, or is not known here.
            return;
        };
        let success = Success {
            saturated,
            limit_unchanged: admitted.generation == self.admission.generation(),
            work: end.work,
            run_time: now.since(admitted.at),
        };
        match end.outcome {
            EndOutcome::Complete => self.record_success(success, end.first_byte_us),
            EndOutcome::Cancelled => {}
            EndOutcome::Rejected
                if self.consecutive_failures == 0 && self.phase() == ServerPhase::Warm =>
            {
                // The server is full, but need not have failed. A second refusal in a row counts as
                // a failure.
                self.consecutive_failures = 1;
                self.admission.handle(&AdmissionEvent::Rejected);
            }
            EndOutcome::Rejected | EndOutcome::Failed => self.record_failure(now),
        }
    }

    /// Records that a gateway returned a grant unused. If connecting to the server failed
    /// (`unreachable`), this counts as a failure of the server. Otherwise the grant's slot, if any,
    /// is not tried again for a while, because the slot's home host may have refused it.
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

    /// Ends the time for which a new scheduler treats the server as cold, and restores the phase
    /// and limit in `observation`. The observation is ignored if the server has had a cold reset
    /// since this scheduler started, or if it is of another instance of the server.
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

    /// State of the server as shown to operators.
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

    /// Whether `instance` shows that the server has restarted.
    fn is_replaced(&self, instance: u64) -> bool {
        instance != 0 && self.instance != 0 && instance != self.instance
    }

    /// Passes a success to the admission state machine, unless its latency shows overload.
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

    /// Makes the server cold. From the second consecutive failure on, also backs off.
    fn record_failure(&mut self, now: Timestamp) {
        if self.consecutive_failures > 0 {
            // Five doublings already exceed `MAX_BACKOFF`.
            let doublings = (self.consecutive_failures - 1).min(5);
            let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
            self.backoff_until = self.backoff_until.max(now + backoff);
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.reset_to_cold(false);
    }

    /// Makes the server cold. `replaced` says whether it was restarted.
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

    /// Slots that no request in flight uses and that were not refused a short time ago.
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
