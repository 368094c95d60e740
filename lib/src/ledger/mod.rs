//! Cost of the requests that each workspace has run on one service, in the whole fleet. The unit of
//! the cost depends on the service: tokens for a model, microseconds of run time for a plain
//! service.
//!
//! The ledger is a replicated grow-only counter (a G-counter CRDT). A gateway is the part of a host
//! that accepts callers' requests. Each incarnation of a gateway, that is, each start of its
//! process, has one cumulative cell per workspace, and two values of a cell merge by maximum.
//! Repeated, reordered or late messages therefore count once, and a restarted gateway counts in new
//! cells.

mod store;

pub use store::Cursor;
pub use store::LIFT_ORIGIN;
pub use store::Ledger;
