//! Moves the traffic of a service from servers of one software version to servers of another, as an
//! operator's order asks.
//!
//! A version may be bad: it fails part of its requests, or is several times slower than the one that it
//! replaces. Until it has proven itself, it gets a small share of the requests of the service, summed
//! over all hosts.

mod comparison;
mod conductor;
mod control;
mod counts;
mod evidence;
mod exposure;
mod message;
mod order;
mod order_tracker;
mod stored;

pub use conductor::Conductor;
pub use conductor::ConductorAction;
pub use conductor::RolloutStep;
pub use conductor::WriteError;
pub(crate) use control::CONDUCTOR_HOSTS;
pub use control::RolloutControl;
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
pub use order_tracker::OrderChanges;
pub use order_tracker::OrderTracker;
pub use order_tracker::TrackedOrder;
pub use stored::ReadFuture;
pub use stored::ReadRollout;
pub use stored::RolloutStore;
pub use stored::StatusFuture;
pub use stored::StoredRollout;
pub use stored::StoredStatus;
pub use stored::WriteStatus;
