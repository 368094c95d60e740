//! Entry hosts of a platform: they take requests of callers and send each to a backend server.
//!
//! Every host decides alone, by the same rules and from the same objects of the platform. What the
//! wire says comes through a [`Dialect`], what the platform holds through [`Sources`]; both are
//! given by an adapter, and nothing here knows their names. [`Fleet`] holds the decisions, which
//! take the time as an argument and do no input or output.

mod attempt;
mod budget;
mod config;
mod dialect;
mod events;
mod fleet;
mod forward;
mod health;
mod host;
mod learn;
mod placement;
mod prefix;
mod refusal;
mod relay;
mod servers;
mod source;
mod stats;

pub use budget::ColdShare;
pub use budget::FleetBounds;
pub use budget::RetryBudget;
pub use budget::SlidingCount;
pub use budget::cold_share;
pub use config::CallerLimits;
pub use config::EngineSpec;
pub use config::FleetConfig;
pub use config::Repeat;
pub use config::Route;
pub use config::Service;
pub use config::Target;
pub use config::Workspace;
pub use dialect::AnswerHead;
pub use dialect::CallFault;
pub use dialect::CallHead;
pub use dialect::Dialect;
pub use dialect::Dispatch;
pub use dialect::Prompt;
pub use dialect::PromptPart;
pub use dialect::ServerEntry;
pub use dialect::UnreadableSnafu;
pub use dialect::MissingSnafu;
pub use fleet::Admitted;
pub use fleet::Fleet;
pub use fleet::FlightEnd;
pub use fleet::FlightKey;
pub use fleet::HostIdentity;
pub use fleet::Placement;
pub use health::FailureRate;
pub use health::Reachability;
pub use host::EntryControl;
pub use host::EntryDaemon;
pub use host::EntryError;
pub use host::EntryParts;
pub use host::ListenAddresses;
pub use host::RegisterFuture;
pub use host::Sources;
pub use placement::Candidate;
pub use placement::Choice;
pub use placement::Demand;
pub use placement::choose;
pub use prefix::PrefixMemory;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use servers::Load;
pub use servers::Server;
pub use servers::ServerChange;
pub use servers::ServerKey;
pub use servers::Servers;
pub use source::Change;
pub use source::Changes;
pub use source::Item;
pub use source::ListFuture;
pub use source::Listing;
pub use source::Source;
pub use source::SourceError;
pub use source::Update;
pub use source::WatchFuture;
pub use source::follow;
pub use stats::EntryStats;
