//! Moves the traffic of a service from servers of one software version to servers of another, as an
//! operator's order asks.
//!
//! A version may be bad: it fails part of its requests, or is several times slower than the one that it
//! replaces. Until it has proven itself, it gets a small share of the requests of the service, summed
//! over all hosts.

mod message;

pub use message::RolloutPermit;
pub use message::RolloutPhase;
pub use message::RolloutReport;
pub use message::RouteOutcomes;
pub use message::StartTimes;
