//! State machine of what a backend server bears.

use std::time::Duration;

use statig::prelude::*;

use super::limit_search::LimitSearch;
use crate::message::ServerPhase;

/// Requests at once up to which a limit is probed.
const PROBE_BOUND: u32 = 512;
/// Limit from which on a server is warm.
const WARM_LIMIT: u32 = 8;
/// Good completions one after the other, or time that they ran, after which a cold server is tried
/// with more than one request at once. Both double with each failure of a warming server.
const COLD_COMPLETIONS: u32 = 8;
const COLD_SERVICE: Duration = Duration::from_secs(4);
const MOST_COLD_DOUBLINGS: u32 = 3;
/// Good completions that raise a ceiling by one at first. The number grows fourfold with each
/// failure that a raised limit provokes, and halves with each raise that is borne.
const CEILING_COMPLETIONS: u32 = 64;
const RESTORED_COMPLETIONS: u32 = 256;
const LEAST_COMPLETIONS: u32 = 16;
const MOST_COMPLETIONS: u32 = 1 << 16;

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
    Good(GoodEnd),
    /// A warm server has refused a request, which it did not run.
    Full,
    /// Latency has risen: the server bears no more than it does.
    Strained,
    /// The server failed, refused work, or is new.
    Damaged {
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
pub(crate) struct GoodEnd {
    /// Whether the server was at its limit.
    pub(crate) saturated: bool,
    /// Whether the limit has not changed since the request was admitted.
    pub(crate) current: bool,
    /// Work done, in any unit that all requests of the server share.
    pub(crate) work: u64,
    /// Time that the request ran.
    pub(crate) served: Duration,
}

/// What a backend server bears: its learnt limit, and the state that bounds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    search: LimitSearch,
    ceiling: u32,
    ceiling_credit: u32,
    ceiling_price: u32,
    cold_completions: u32,
    cold_service: Duration,
    cold_doublings: u32,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            search: LimitSearch::starting_at(1, 0),
            ceiling: PROBE_BOUND,
            ceiling_credit: 0,
            ceiling_price: CEILING_COMPLETIONS,
            cold_completions: 0,
            cold_service: Duration::ZERO,
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
            AdmissionEvent::Removed => Transition(State::gone()),
            _ => Handled,
        }
    }

    #[state(superstate = "serving", entry_action = "enter_cold")]
    fn cold(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Good(end) => {
                self.cold_completions += 1;
                self.cold_service += end.served;
                if !self.has_warmed_up() {
                    return Handled;
                }
                let generation = self.search.generation() + 1;
                self.search = LimitSearch::starting_at(2.min(self.ceiling), generation);
                Transition(State::warming())
            }
            AdmissionEvent::Restored { phase, limit } => self.restore(*phase, *limit),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warming(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Good(end) => {
                self.measure(end);
                self.settle()
            }
            AdmissionEvent::Strained if self.limit() > 1 => {
                self.shrink();
                Transition(State::warm())
            }
            AdmissionEvent::Damaged { replaced: false } => {
                self.learn_cold_start();
                Transition(State::cold())
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warm(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Good(end) => {
                self.measure(end);
                Handled
            }
            AdmissionEvent::Strained => {
                self.shrink();
                Handled
            }
            AdmissionEvent::Full => {
                self.learn_ceiling(false);
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
            AdmissionEvent::Removed => Transition(State::gone()),
            _ => Handled,
        }
    }

    #[state]
    fn gone(&mut self, event: &AdmissionEvent) -> Outcome<State> {
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
            AdmissionEvent::Removed => Transition(State::gone()),
            AdmissionEvent::Damaged { replaced } => {
                self.learn_ceiling(*replaced);
                Transition(State::cold())
            }
            _ => Handled,
        }
    }

    #[action]
    fn enter_cold(&mut self) {
        self.search = LimitSearch::starting_at(1, self.search.generation() + 1);
        self.cold_completions = 0;
        self.cold_service = Duration::ZERO;
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

    fn measure(&mut self, end: &GoodEnd) {
        if !end.saturated {
            return;
        }
        self.earn_ceiling();
        if end.current {
            self.search.record(end.work, end.served, self.ceiling);
        }
    }

    fn has_warmed_up(&self) -> bool {
        let factor = 1 << self.cold_doublings;
        self.cold_completions >= COLD_COMPLETIONS * factor
            || self.cold_service >= COLD_SERVICE * factor
    }

    fn settle(&self) -> Outcome<State> {
        let is_high = self.limit() >= WARM_LIMIT.min(self.ceiling).max(2);
        if is_high || !self.search.is_fast() {
            Transition(State::warm())
        } else {
            Handled
        }
    }

    fn shrink(&mut self) {
        let step = (self.limit() / 8).max(1);
        self.search.reduce_to(self.limit().saturating_sub(step));
    }

    /// A server that fails while it warms up was still cold, so the next warm-up has to show more;
    /// if it fails there again, it bears no more.
    fn learn_cold_start(&mut self) {
        if self.cold_doublings > 0 {
            self.learn_ceiling(false);
        }
        self.cold_doublings = (self.cold_doublings + 1).min(MOST_COLD_DOUBLINGS);
    }

    fn learn_ceiling(&mut self, replaced: bool) {
        self.ceiling_credit = 0;
        if replaced {
            self.ceiling = PROBE_BOUND;
            self.ceiling_price = CEILING_COMPLETIONS;
            self.cold_doublings = 0;
        } else if self.limit() > 1 {
            self.ceiling = self.limit() - 1;
            self.ceiling_price = (self.ceiling_price * 4).min(MOST_COMPLETIONS);
        }
    }

    fn earn_ceiling(&mut self) {
        if self.limit() < self.ceiling {
            return;
        }
        self.ceiling_credit += 1;
        if self.ceiling_credit >= self.ceiling_price {
            self.ceiling_credit = 0;
            self.ceiling = (self.ceiling + 1).min(PROBE_BOUND);
            self.ceiling_price = (self.ceiling_price / 2).max(LEAST_COMPLETIONS);
        }
    }

    fn restore(&mut self, phase: ServerPhase, limit: u32) -> Outcome<State> {
        let target = match phase {
            ServerPhase::Cold => return Handled,
            ServerPhase::Warming => State::warming(),
            ServerPhase::Warm => State::warm(),
        };
        let limit = limit.clamp(1, PROBE_BOUND);
        self.search = LimitSearch::settled_at(limit, self.search.generation() + 1);
        // More than gateways saw is probed as slowly as above a limit that led to a failure.
        self.ceiling = limit.max(WARM_LIMIT);
        self.ceiling_price = RESTORED_COMPLETIONS;
        Transition(target)
    }
}
