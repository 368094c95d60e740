//! State machine of what a backend server bears.

use std::time::Duration;

use statig::prelude::*;

use super::limit_search::LimitSearch;
use crate::message::ServerPhase;

/// Requests at once up to which a limit is probed.
const MAX_LIMIT: u32 = 512;
/// Limit from which on a server is warm.
const WARM_LIMIT: u32 = 8;
/// Good completions one after the other, or time that they ran, after which a cold server is tried
/// with more than one request at once. Both double with each failure of a warming server.
const COLD_COMPLETIONS: u32 = 8;
const COLD_RUN_TIME: Duration = Duration::from_secs(4);
const MAX_COLD_DOUBLINGS: u32 = 3;
/// Good completions that raise a ceiling by one at first. The number grows fourfold with each
/// failure that a raised limit provokes, and halves with each raise that is borne.
const INITIAL_RAISE_COMPLETIONS: u32 = 64;
const RESTORED_RAISE_COMPLETIONS: u32 = 256;
const MIN_RAISE_COMPLETIONS: u32 = 16;
const MAX_RAISE_COMPLETIONS: u32 = 1 << 16;

/// What happened to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionEvent {
    /// The server is listed and in service.
    Listed,
    /// The server takes no new work.
    Leave,
    /// The server is no longer listed.
    Removed,
    /// A request ended well.
    Succeeded(Success),
    /// A warm server has refused a request, which it did not run.
    Rejected,
    /// Latency has risen: the server bears no more than it does.
    LatencyRose,
    /// The server failed, refused work, or is new.
    ColdReset {
        /// Whether it is a new instance, of which nothing is known.
        replaced: bool,
    },
    /// Gateways have seen the server at work before this scheduler began.
    Restored {
        /// Phase in their latest grants.
        phase: ServerPhase,
        /// Limit in their latest grants.
        limit: u32,
    },
}

/// A request that ended well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Success {
    /// Whether the server was at its limit.
    pub(crate) saturated: bool,
    /// Whether the limit has not changed since the request was admitted.
    pub(crate) limit_unchanged: bool,
    /// Work done, in any unit that all requests of the server share.
    pub(crate) work: u64,
    /// Time that the request ran.
    pub(crate) run_time: Duration,
}

/// What a backend server bears: its learnt limit, and the state that bounds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    search: LimitSearch,
    ceiling: u32,
    completions_at_ceiling: u32,
    completions_to_raise: u32,
    cold_completions: u32,
    cold_run_time: Duration,
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
    /// Requests that the server bears at once while it takes work.
    pub(crate) fn limit(&self) -> u32 {
        self.search.limit()
    }

    /// Number of the current limit among all that were tried.
    pub(crate) fn generation(&self) -> u32 {
        self.search.generation()
    }

    fn record_success(&mut self, end: &Success) {
        if !end.saturated {
            return;
        }
        self.count_towards_raise();
        if end.limit_unchanged {
            self.search.record(end.work, end.run_time, self.ceiling);
        }
    }

    fn has_warmed_up(&self) -> bool {
        let factor = 1 << self.cold_doublings;
        self.cold_completions >= COLD_COMPLETIONS * factor
            || self.cold_run_time >= COLD_RUN_TIME * factor
    }

    fn finish_warming_if_ready(&self) -> Outcome<State> {
        let is_high = self.limit() >= WARM_LIMIT.min(self.ceiling).max(2);
        if is_high || !self.search.is_growing_fast() {
            Transition(State::warm())
        } else {
            Handled
        }
    }

    fn reduce_limit(&mut self) {
        let step = (self.limit() / 8).max(1);
        self.search.reduce_to(self.limit().saturating_sub(step));
    }

    /// A server that fails while it warms up was still cold, so the next warm-up has to show more;
    /// if it fails there again, it bears no more.
    fn extend_cold_start(&mut self) {
        if self.cold_doublings > 0 {
            self.adjust_ceiling(false);
        }
        self.cold_doublings = (self.cold_doublings + 1).min(MAX_COLD_DOUBLINGS);
    }

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

    fn restore(&mut self, phase: ServerPhase, limit: u32) -> Outcome<State> {
        let target = match phase {
            ServerPhase::Cold => return Handled,
            ServerPhase::Warming => State::warming(),
            ServerPhase::Warm => State::warm(),
        };
        let limit = limit.clamp(1, MAX_LIMIT);
        self.search = LimitSearch::restored_at(limit, self.search.generation() + 1);
        // More than gateways saw is probed as slowly as above a limit that led to a failure.
        self.ceiling = limit.max(WARM_LIMIT);
        self.completions_to_raise = RESTORED_RAISE_COMPLETIONS;
        Transition(target)
    }
}
