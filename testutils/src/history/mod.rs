//! Checks of recorded histories.
//!
//! A history holds what the stand-ins and the callers recorded, never what a daemon says of
//! itself. All times are microseconds of [`crate::now_us`].

mod call;
mod capacity;
mod configuration;
mod fairness;
mod interval;
mod operation;

pub use call::CallOutcome;
pub use call::CallRecord;
pub use call::check_responses;
pub use capacity::RequestStart;
pub use capacity::check_cold_limit;
pub use capacity::check_starts_while_out_of_service;
pub use capacity::slot_utilisation;
pub use configuration::ChangeObservation;
pub use configuration::check_configuration;
pub use fairness::ServiceSample;
pub use fairness::backlogged;
pub use fairness::check_no_starvation;
pub use fairness::largest_service_gap;
pub use interval::Interval;
pub use interval::Intervals;
pub use operation::check_at_most_once;

use std::fmt;

/// A rule that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An operation ran more than once.
    SecondRun {
        /// The operation.
        operation: String,
        /// How many times it ran.
        times: usize,
    },
    /// An operation ran although every one of its callers was told that it did not.
    FalseNotRun {
        /// The operation.
        operation: String,
    },
    /// A caller got a whole answer of an operation that never ran.
    ResponseWithoutRun {
        /// The operation.
        operation: String,
    },
    /// A caller took another request's answer for its own.
    MismatchedResponse {
        /// The operation.
        operation: String,
    },
    /// A caller took a part of an answer for the whole.
    PartialResponse {
        /// The operation.
        operation: String,
    },
    /// A cold backend server got more than it bears.
    ColdOverload {
        /// Time of the admission.
        at: u64,
        /// Requests at once.
        running: usize,
        /// Requests that it bore.
        limit: usize,
    },
    /// A request started where nothing may start any more.
    StartWhileOutOfService {
        /// Time of the start.
        at: u64,
        /// Time since the take-out was accepted.
        after: u64,
    },
    /// A workspace waited too long for any service.
    Starved {
        /// The workspace.
        workspace: String,
        /// From when.
        from: u64,
        /// Until when.
        to: u64,
    },
    /// A change was never in force on a host.
    NeverActive {
        /// Number of the change.
        change: usize,
        /// Name of the host.
        host: String,
    },
    /// A change was in force on a host and then not any more.
    Reverted {
        /// Number of the change.
        change: usize,
        /// Name of the host.
        host: String,
        /// When it was seen to be not in force.
        at: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SecondRun { operation, times } => write!(f, "{operation} ran {times} times"),
            Self::FalseNotRun { operation } => write!(f, "{operation} ran, said to be not run"),
            Self::ResponseWithoutRun { operation } => write!(f, "{operation} answered, never ran"),
            Self::MismatchedResponse { operation } => write!(f, "{operation} got a foreign answer"),
            Self::PartialResponse { operation } => write!(f, "{operation} got a partial answer"),
            Self::ColdOverload { at, running, limit } => {
                write!(
                    f,
                    "{running} requests at {at} on a cold server that bears {limit}"
                )
            }
            Self::StartWhileOutOfService { at, after } => {
                write!(f, "start at {at}, {after} us after the take-out")
            }
            Self::Starved {
                workspace,
                from,
                to,
            } => write!(f, "{workspace} got no service from {from} to {to}"),
            Self::NeverActive { change, host } => {
                write!(f, "change {change} never in force on {host}")
            }
            Self::Reverted { change, host, at } => {
                write!(f, "change {change} not in force any more on {host} at {at}")
            }
        }
    }
}
