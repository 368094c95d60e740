//! One host of the fleet: every decision that it takes, composed of the aggregates.
//!
//! [`Node::handle`] takes the time and an event and gives actions. It performs no input or output,
//! so that one thread with any clock can drive it.

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
