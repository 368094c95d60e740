//! The shard of a service in one failure domain, and the scheduler that decides for it.

mod announcing;
mod event;
mod fairness;
mod granting;
mod in_flight;
mod lease;
mod meter;
mod peer_shards;
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
