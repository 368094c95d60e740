//! Moves the traffic of a service from servers of one software version to servers of another, as an
//! operator's order asks.
//!
//! A version may be bad: it fails part of its requests, or is several times slower than the one that it
//! replaces. Until it has proven itself, it gets a small share of the requests of the service, summed
//! over all hosts.

mod comparison;
mod conductor;
mod counts;
mod evidence;
mod exposure;
mod message;
mod order;

pub use conductor::Conductor;
pub use conductor::ConductorAction;
pub use conductor::RolloutStep;
pub use conductor::WriteError;
pub use evidence::Evidence;
pub use evidence::Verdict;
pub use exposure::AttemptOutcome;
pub use exposure::Exposure;
pub use exposure::VersionChoice;
pub use message::RolloutPermit;
pub use message::RolloutPhase;
pub use message::RolloutReport;
pub use message::RouteOutcomes;
pub use message::StartTimes;
pub use order::Order;
pub use order::RolloutBounds;
pub use order::RolloutState;
