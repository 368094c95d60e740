//! The shard of a service in one failure domain, and the scheduler that decides for it.

mod event;

pub use event::PoolAction;
pub use event::PoolEvent;
pub use event::PoolKey;
pub use event::PoolMembers;
pub use event::PoolServer;
