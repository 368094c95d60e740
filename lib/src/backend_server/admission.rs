//! State machine of what a backend server bears.

use std::time::Duration;

use statig::prelude::*;

use crate::message::ServerPhase;

/// Requests at once up to which a limit is probed.
const PROBE_BOUND: u32 = 512;
/// Limit from which on a server is warm.
const WARM_LIMIT: u32 = 8;
/// Good completions one after the other, or time that they ran, after which a cold server is tried
/// with more than one request at once. Both double with each failure of a warming server.
const COLD_COMPLETIONS: u32 = 8;
const COLD_SERVICE: Duration = Duration::from_secs(4);
const MOST_COLD_DOUBLINGS: u32 = 4;
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
    /// A request ended well. `saturated` says whether the server was at its limit.
    Good {
        /// Whether the server was at its limit.
        saturated: bool,
        /// Time that the request ran.
        served: Duration,
    },
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

/// What a backend server bears: its learnt limit, and the state that bounds it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    limit: u32,
    ceiling: u32,
    credit: u32,
    ceiling_credit: u32,
    ceiling_price: u32,
    cold_completions: u32,
    cold_service: Duration,
    cold_doublings: u32,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: 1,
            ceiling: PROBE_BOUND,
            credit: 0,
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
            AdmissionEvent::Good { served, .. } => {
                self.cold_completions += 1;
                self.cold_service += *served;
                if !self.has_warmed_up() {
                    return Handled;
                }
                self.grow();
                Transition(State::warming())
            }
            AdmissionEvent::Restored { phase, limit } => self.restore(*phase, *limit),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warming(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Good { saturated, .. } => {
                if *saturated {
                    self.earn_ceiling();
                    self.grow();
                }
                self.settle()
            }
            AdmissionEvent::Strained if self.limit > 1 => {
                self.shrink();
                Transition(State::warm())
            }
            // It was still cold: the next warm-up has to show more before the limit grows.
            AdmissionEvent::Damaged { replaced: false } => {
                self.cold_doublings = (self.cold_doublings + 1).min(MOST_COLD_DOUBLINGS);
                Transition(State::cold())
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warm(&mut self, event: &AdmissionEvent) -> Outcome<State> {
        match event {
            AdmissionEvent::Good { saturated, .. } => {
                if *saturated {
                    self.earn_ceiling();
                    self.probe();
                }
                Handled
            }
            AdmissionEvent::Strained => {
                self.probe_down();
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
        self.limit = 1;
        self.credit = 0;
        self.cold_completions = 0;
        self.cold_service = Duration::ZERO;
    }
}

impl Admission {
    /// Requests that the server bears at once while it takes work.
    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    fn has_warmed_up(&self) -> bool {
        let factor = 1 << self.cold_doublings;
        self.cold_completions >= COLD_COMPLETIONS * factor
            || self.cold_service >= COLD_SERVICE * factor
    }

    fn grow(&mut self) {
        self.limit = (self.limit + 1).min(self.ceiling.max(1));
    }

    fn settle(&self) -> Outcome<State> {
        if self.limit >= WARM_LIMIT.min(self.ceiling).max(2) {
            Transition(State::warm())
        } else {
            Handled
        }
    }

    /// One more request at once after as many good completions as the limit counts.
    fn probe(&mut self) {
        self.credit += 1;
        if self.credit >= self.limit {
            self.credit = 0;
            self.grow();
        }
    }

    /// Lowers the limit at most once for as many completions as it counts.
    fn probe_down(&mut self) {
        self.credit += 1;
        if self.credit >= self.limit {
            self.credit = 0;
            self.shrink();
        }
    }

    fn shrink(&mut self) {
        let step = (self.limit / 8).max(1);
        self.limit = self.limit.saturating_sub(step).max(1);
    }

    fn learn_ceiling(&mut self, replaced: bool) {
        self.ceiling_credit = 0;
        if replaced {
            self.ceiling = PROBE_BOUND;
            self.ceiling_price = CEILING_COMPLETIONS;
            self.cold_doublings = 0;
        } else if self.limit > 1 {
            self.ceiling = self.limit - 1;
            self.ceiling_price = (self.ceiling_price * 4).min(MOST_COMPLETIONS);
        }
    }

    fn earn_ceiling(&mut self) {
        if self.limit < self.ceiling {
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
        self.limit = limit.clamp(1, PROBE_BOUND);
        // More than gateways saw is probed as slowly as above a limit that led to a failure.
        self.ceiling = self.limit.max(WARM_LIMIT);
        self.ceiling_price = RESTORED_COMPLETIONS;
        Transition(target)
    }
}
