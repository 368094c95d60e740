//! Checks of recorded histories.
//!
//! A history is the records of one run: those of the stand-ins (test servers in place of the
//! backend servers) and those of the callers. Reports of the daemons under test are never part of
//! it, so that the checks do not depend on the code under test. Each check returns the
//! [`Violation`]s that it finds or a measure such as the largest difference of service between two
//! workspaces. All times are microseconds of [`crate::now_us`].

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

/// A breach of a rule, found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An operation ran more than once.
    SecondRun {
        /// Name of the operation.
        operation: String,
        /// How many times it ran.
        times: usize,
    },
    /// An operation ran although every call of it was refused with "not run".
    FalseNotRun {
        /// Name of the operation.
        operation: String,
    },
    /// A caller got a complete response to an operation that never ran.
    ResponseWithoutRun {
        /// Name of the operation.
        operation: String,
    },
    /// A caller got the response to another request, without an error.
    MismatchedResponse {
        /// Name of the operation.
        operation: String,
    },
    /// A caller got a part of its response that ended cleanly, without an error.
    PartialResponse {
        /// Name of the operation.
        operation: String,
    },
    /// A cold backend server (not yet at its full capacity) got more requests at once than its
    /// limit.
    ColdOverload {
        /// Time of the admission.
        at: u64,
        /// Requests at once, this one included.
        running: usize,
        /// Limit of the cold server.
        limit: usize,
    },
    /// A request started in a failure domain or on a backend server that was out of service.
    StartWhileOutOfService {
        /// Time of the start.
        at: u64,
        /// Time since the command to take it out of service was accepted.
        after: u64,
    },
    /// A workspace had requests waiting for too long without any service.
    Starved {
        /// Name of the workspace.
        workspace: String,
        /// Start of the time without service.
        from: u64,
        /// End of the time without service.
        to: u64,
    },
    /// An accepted configuration change never came into force on a host: the host never applied it
    /// to requests.
    NeverInForce {
        /// Index of the change, in the order of acceptance.
        change: usize,
        /// Name of the host.
        host: String,
    },
    /// A configuration change was in force on a host and later was not.
    Reverted {
        /// Index of the change, in the order of acceptance.
        change: usize,
        /// Name of the host.
        host: String,
        /// When a caller got the response that showed the change not in force.
        at: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SecondRun { operation, times } => write!(f, "{operation} ran {times} times"),
            Self::FalseNotRun { operation } => write!(
                f,
                "{operation} ran, but its callers were told that it did not run"
            ),
            Self::ResponseWithoutRun { operation } => {
                write!(f, "{operation} got a complete response, but never ran")
            }
            Self::MismatchedResponse { operation } => {
                write!(f, "{operation} got the response to another request")
            }
            Self::PartialResponse { operation } => write!(
                f,
                "{operation} got a partial response as if it were complete"
            ),
            Self::ColdOverload { at, running, limit } => {
                write!(
                    f,
                    "{running} requests at {at} us on a cold server with a limit of {limit}"
                )
            }
            Self::StartWhileOutOfService { at, after } => {
                write!(
                    f,
                    "request started at {at} us, {after} us after the take-out of service was accepted"
                )
            }
            Self::Starved {
                workspace,
                from,
                to,
            } => write!(f, "{workspace} got no service from {from} us to {to} us"),
            Self::NeverInForce { change, host } => {
                write!(f, "change {change} never came into force on {host}")
            }
            Self::Reverted { change, host, at } => {
                write!(f, "change {change} no longer in force on {host} at {at} us")
            }
        }
    }
}
