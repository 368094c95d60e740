//! Decisions of when and where requests to models begin.

mod bid;
mod engine;
mod scheduler;
mod shares;

pub use bid::Bid;
pub use bid::Progress;
pub use bid::ProgressStep;
pub use bid::Shard;
pub use bid::Ticket;
pub use bid::Verdict;
pub use scheduler::EngineView;
pub use scheduler::Scheduler;
