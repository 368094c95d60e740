//! Decides when requests to models start and on which engine.
//!
//! An engine is a backend server that runs a model. An entry host, which forwards callers' requests
//! to backend servers, sends a [`ScheduleRequest`] to the scheduler of a [`Shard`] (a subset of the
//! engines of a service), gets a [`ScheduleDecision`], and reports the [`Progress`] of each request
//! that was started.

mod engine;
mod engine_health;
mod quarantine;
mod request;
mod scheduler;
mod shard_search;
mod shares;
mod slots;

pub use quarantine::Clearance;
pub use quarantine::PartCrash;
pub use quarantine::PartQuarantine;
pub use quarantine::QuarantineChange;
pub use request::Progress;
pub use request::ProgressStep;
pub use request::ReservationId;
pub use request::ScheduleDecision;
pub use request::ScheduleRequest;
pub use request::Shard;
pub use scheduler::EngineView;
pub use scheduler::ScheduleSummary;
pub use scheduler::Scheduler;
pub use shard_search::SearchStep;
pub use shard_search::ShardSearch;
pub use shares::ShardWork;
pub use shares::WorkspaceWork;
pub(crate) use shares::max_min_share;
