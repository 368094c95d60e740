//! Fair scheduling of requests onto the backend servers of one shard.
//!
//! A shard (pool in the names of types) is the set of backend servers that offer one service in one
//! failure domain. One entry host (a host that accepts requests from callers) runs its
//! [`Scheduler`]. Each entry host has a gateway, the part that accepts the requests; it sends the
//! scheduler a bid for each waiting request. The scheduler answers with a grant, which names the
//! server to dispatch the request to, or with a refusal. The next grant goes to the waiting
//! workspace whose requests have cost the least in the whole fleet, so that no workspace can crowd
//! out the others.

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
