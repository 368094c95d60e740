//! The decision logic of one entry host (a host that accepts requests from callers), without I/O.
//!
//! A [`Node`] combines what the host knows of the other hosts, the configuration, the open requests
//! of the host's callers, the schedulers of the shards that the host is responsible for, and the
//! slots of which it is the home. [`Node::handle`] takes the time and an event and appends the
//! actions that follow. It does no I/O and reads no clock, so the control thread can drive it in
//! real time and a test in simulated time.
//!
//! The scheduler of a shard (the servers of one service in one failure domain) grants these servers
//! to requests. A slot is one unit of the limit on concurrent requests of a server whose capacity
//! is not learnt yet; its home is the host that permits it to one request at a time.

mod catalog;
mod configuration_relay;
mod event;
mod inbox;
mod roles;
mod routes;
mod state;
mod views;

pub use catalog::Catalog;
pub use event::NodeAction;
pub use event::NodeEvent;
pub use state::Node;
pub use state::NodeIdentity;
