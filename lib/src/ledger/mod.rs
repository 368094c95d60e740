//! Cost of the requests that each workspace has run on one service, in the whole fleet.
//!
//! The ledger is a replicated grow-only counter (a G-counter CRDT). Each incarnation of a gateway,
//! that is, each start of its process, has one cumulative cell per workspace, and two values of a
//! cell merge by maximum. Repeated, reordered or late messages therefore count once, and a restarted
//! gateway counts in new cells.

mod store;

pub use store::Cursor;
pub use store::LIFT_ORIGIN;
pub use store::Ledger;
