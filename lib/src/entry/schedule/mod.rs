//! Decisions of when and where requests to models begin.

mod engine;
mod request;
mod scheduler;
mod shares;

pub use request::Progress;
pub use request::ProgressStep;
pub use request::ReservationId;
pub use request::ScheduleDecision;
pub use request::ScheduleRequest;
pub use request::Shard;
pub use scheduler::EngineView;
pub use scheduler::Scheduler;
