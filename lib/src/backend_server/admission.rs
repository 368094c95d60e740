//! Admission state machine of a backend server: how many requests it may run at once.
//!
//! A server that has just started cannot take its full load, and neither its phase (cold, warming
//! or warm) nor its capacity is configured anywhere. The state machine derives both from completed
//! requests, failures and latency: a cold server runs one request at a time, a warming server's
//! limit grows quickly, and a warm server's limit follows a throughput search ([`LimitSearch`]). A
//! failure makes the server cold again at once and lowers the ceiling, the highest limit that may
//! be tried. A restart makes it cold too and resets the ceiling, as the new instance (the restarted
//! process) may differ.

use std::time::Duration;

use statig::prelude::*;

use super::limit_search::LimitSearch;
use crate::message::ServerPhase;

/// Highest limit that is ever tried, in concurrent requests.
const MAX_LIMIT: u32 = 512;
/// Limit at which a warming server becomes warm, unless its ceiling is lower.
const WARM_LIMIT: u32 = 8;
/// A cold server becomes warming after this many successful requests, run one at a time, or once
/// the run times of these requests add up to [`COLD_RUN_TIME`]. Both thresholds double with each
/// failure of a warming server, at most [`MAX_COLD_DOUBLINGS`] times.
const COLD_COMPLETIONS: u32 = 8;
const COLD_RUN_TIME: Duration = Duration::from_secs(4);
const MAX_COLD_DOUBLINGS: u32 = 3;
/// Initial number of successful requests at the ceiling that raise the ceiling by one. The number
/// is multiplied by four each time the ceiling is lowered, and halved each time it is raised,
/// within [`MIN_RAISE_COMPLETIONS`] and [`MAX_RAISE_COMPLETIONS`].
const INITIAL_RAISE_COMPLETIONS: u32 = 64;
/// The same number for a limit that was restored from gateways' observations: nothing is known of
/// higher limits, so the ceiling rises as slowly as after one failure.
const RESTORED_RAISE_COMPLETIONS: u32 = 256;
const MIN_RAISE_COMPLETIONS: u32 = 16;
const MAX_RAISE_COMPLETIONS: u32 = 1 << 16;

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionEvent {
    /// The server may be given new requests: it is in the host list and in service, and not about
    /// to stop.
    Listed,
    /// The server takes no new requests: it is stopping or out of service.
    Leave,
    /// The server is no longer in the host list.
    Removed,
    /// A request completed, and the server's latency is normal.
    Succeeded(Success),
    /// A warm server has refused one request without running it, which shows that it is full.
    Rejected,
    /// The average latency has risen well above its baseline: the server runs too many requests.
    LatencyRose,
    /// The server must be treated as cold: it failed, refused requests repeatedly, had a latency
    /// spike, or was restarted.
    ColdReset {
        /// Whether the server was restarted, so that its instance is a new one. What was learnt of
        /// the old instance is then dropped.
        replaced: bool,
    },
    /// A new scheduler takes over the phase and limit that gateways (the hosts that accept
    /// requests) know from its predecessor.
    Restored {
        /// Phase in the latest grants.
        phase: ServerPhase,
        /// Limit in the latest grants, in concurrent requests.
        limit: u32,
    },
}

/// A request that completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Success {
    /// Whether the server ran as many requests as its limit allows when this one ended.
    pub(crate) saturated: bool,
    /// Whether the limit is still the one under which the request was admitted.
    pub(crate) limit_unchanged: bool,
    /// Work done, in any unit that all requests of the server share.
    pub(crate) work: u64,
    /// Time from admission to the end.
    pub(crate) run_time: Duration,
}

/// Learnt limit of a backend server, and the bounds on how fast and how far it may grow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    search: LimitSearch,
    /// Highest limit that the search may try. A failure sets it to one below the current limit;
    /// successful requests while the limit is at the ceiling raise it again.
    ceiling: u32,
    /// Successful requests at the ceiling since the ceiling last changed.
    completions_at_ceiling: u32,
    /// Successful requests at the ceiling that raise it by one.
    completions_to_raise: u32,
    /// Successful requests since the server became cold.
    cold_completions: u32,
    /// Sum of the run times of these requests.
    cold_run_time: Duration,
    /// How often the thresholds that end the cold phase have been doubled.
    cold_doublings: u32,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            search: LimitSearch::new(1, 0),
            ceiling: MAX_LIMIT,
            completions_at_ceiling: 0,
            completions_to_raise: INITIAL_RAISE_COMPLETIONS,
            cold_completions: 0,
            cold_run_time: Duration::ZERO,
            cold_doublings: 0,
        }
    }
}

#[state_machine(
    initial = "State::unknown()",
    visibility = "pub(crate)",
    state(derive(Clone, Copy, Debug, PartialEq, Eq)),
    superstate(derive(Clone, Copy, Debug, PartialEq, Eq))
)]
impl Admission {
    // It is not known yet whether the server may be given new requests.
    #[state]
    fn unknown(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Listed => Transition(State::cold()),
            AdmissionEvent::Leave => Transition(State::leaving()),
            AdmissionEvent::Removed => Transition(State::removed()),
            _ => Handled,
        }
    }

    #[state(superstate = "serving", entry_action = "enter_cold")]
    fn cold(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Succeeded(end) => {
                self.cold_completions += 1;
                self.cold_run_time += end.run_time;
                if !self.has_warmed_up() {
                    return Handled;
                }
                let generation = self.search.generation() + 1;
                self.search = LimitSearch::new(2.min(self.ceiling), generation);
                Transition(State::warming())
            }
            AdmissionEvent::Restored { phase, limit } => self.restore(*phase, *limit),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warming(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Succeeded(end) => {
                self.record_success(end);
                self.finish_warming_if_ready()
            }
            AdmissionEvent::LatencyRose if self.limit() > 1 => {
                self.reduce_limit();
                Transition(State::warm())
            }
            AdmissionEvent::ColdReset { replaced: false } => {
                self.extend_cold_start();
                Transition(State::cold())
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warm(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Succeeded(end) => {
                self.record_success(end);
                Handled
            }
            AdmissionEvent::LatencyRose => {
                self.reduce_limit();
                Handled
            }
            AdmissionEvent::Rejected => {
                self.adjust_ceiling(false);
                self.search.reduce_to(self.ceiling);
                Handled
            }
            _ => Super,
        }
    }

    // The server is listed but takes no new requests.
    #[state]
    fn leaving(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Listed => Transition(State::cold()),
            AdmissionEvent::Removed => Transition(State::removed()),
            _ => Handled,
        }
    }

    #[state]
    fn removed(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Listed => {
                *self = Self::default();
                Transition(State::cold())
            }
            _ => Handled,
        }
    }

    // What the cold, warming and warm states have in common.
    #[superstate]
    fn serving(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Leave => Transition(State::leaving()),
            AdmissionEvent::Removed => Transition(State::removed()),
            AdmissionEvent::ColdReset { replaced } => {
                self.adjust_ceiling(*replaced);
                Transition(State::cold())
            }
            _ => Handled,
        }
    }

    #[action]
    fn enter_cold(&mut self) {
        self.search = LimitSearch::new(1, self.search.generation() + 1);
        self.cold_completions = 0;
        self.cold_run_time = Duration::ZERO;
    }
}

impl Admission {
    /// Largest number of concurrent requests that the server may run.
    pub(crate) fn limit(&self) -> u32 {
        self.search.limit()
    }

    /// Number of limit changes so far. It tells whether a request was admitted under the current
    /// limit.
    pub(crate) fn generation(&self) -> u32 {
        self.search.generation()
    }

    /// Passes a completed request to the throughput search and counts it for the ceiling. A request
    /// on a server that runs fewer requests than its limit allows says nothing about the limit and
    /// is ignored.
    fn record_success(&mut self, end: &Success) {
        if !end.saturated {
            return;
        }
        self.count_towards_raise();
        if end.limit_unchanged {
            self.search.record(end.work, end.run_time, self.ceiling);
        }
    }

    /// Whether the number of successful requests, or the sum of their run times, suffices to end
    /// the cold phase.
    fn has_warmed_up(&self) -> bool {
        let factor = 1 << self.cold_doublings;
        self.cold_completions >= COLD_COMPLETIONS * factor
            || self.cold_run_time >= COLD_RUN_TIME * factor
    }

    /// Makes a warming server warm once its limit has reached [`WARM_LIMIT`], or the ceiling if the
    /// ceiling is lower, or once the search has ended its fast growth. The limit must be at least
    /// two unless fast growth has ended.
    fn finish_warming_if_ready(&self) -> Outcome<State> {
        let is_high = self.limit() >= WARM_LIMIT.min(self.ceiling).max(2);
        if is_high || !self.search.is_growing_fast() {
            Transition(State::warm())
        } else {
            Handled
        }
    }

    /// Lowers the limit by an eighth, and by at least one.
    fn reduce_limit(&mut self) {
        let step = (self.limit() / 8).max(1);
        self.search.reduce_to(self.limit().saturating_sub(step));
    }

    /// Doubles the length of the next cold phase, because a server that fails while warming was
    /// taken to be warming too early. If the phase had been lengthened before, the failure shows
    /// that the limit was too high, and lowers the ceiling as well.
    fn extend_cold_start(&mut self) {
        if self.cold_doublings > 0 {
            self.adjust_ceiling(false);
        }
        self.cold_doublings = (self.cold_doublings + 1).min(MAX_COLD_DOUBLINGS);
    }

    /// Resets the ceiling for a new instance (`replaced`), or else lowers it to one below the
    /// current limit, which was too high.
    fn adjust_ceiling(&mut self, replaced: bool) {
        self.completions_at_ceiling = 0;
        if replaced {
            self.ceiling = MAX_LIMIT;
            self.completions_to_raise = INITIAL_RAISE_COMPLETIONS;
            self.cold_doublings = 0;
        } else if self.limit() > 1 {
            self.ceiling = self.limit() - 1;
            self.completions_to_raise = (self.completions_to_raise * 4).min(MAX_RAISE_COMPLETIONS);
        }
    }

    /// Counts a success while the limit is at the ceiling, and raises the ceiling by one when there
    /// have been enough.
    fn count_towards_raise(&mut self) {
        if self.limit() < self.ceiling {
            return;
        }
        self.completions_at_ceiling += 1;
        if self.completions_at_ceiling >= self.completions_to_raise {
            self.completions_at_ceiling = 0;
            self.ceiling = (self.ceiling + 1).min(MAX_LIMIT);
            self.completions_to_raise = (self.completions_to_raise / 2).max(MIN_RAISE_COMPLETIONS);
        }
    }

    /// Resumes in an observed phase at the observed limit. A server that was cold stays cold.
    fn restore(&mut self, phase: ServerPhase, limit: u32) -> Outcome<State> {
        let target = match phase {
            ServerPhase::Cold => return Handled,
            ServerPhase::Warming => State::warming(),
            ServerPhase::Warm => State::warm(),
        };
        let limit = limit.clamp(1, MAX_LIMIT);
        self.search = LimitSearch::restored_at(limit, self.search.generation() + 1);
        // Nothing is known of limits above the observed one, so the ceiling is set there, or at
        // `WARM_LIMIT` if that is higher, and rises slowly, as it does after a failure.
        self.ceiling = limit.max(WARM_LIMIT);
        self.completions_to_raise = RESTORED_RAISE_COMPLETIONS;
        Transition(target)
    }
}
