//! The shard of a service in one failure domain, and the scheduler that decides for it.

mod announcing;
mod event;
mod exchange;
mod fairness;
mod flight;
mod granting;
mod loan;
mod meter;
mod queue;
mod refusing;
mod scheduler;
mod sharing;

pub use event::PoolAction;
pub use event::PoolEvent;
pub use event::PoolKey;
pub use event::PoolMembers;
pub use event::PoolServer;
pub use scheduler::Scheduler;
