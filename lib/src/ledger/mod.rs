//! Service that each workspace was given on one service, over the whole fleet.
//!
//! Every life of a gateway owns one cumulative cell per workspace, and cells merge by maximum.
//! Repeated, reordered or late messages therefore count once, and a restarted gateway counts in
//! cells of its own.

mod store;

pub use store::Cursor;
pub use store::LIFT_ORIGIN;
pub use store::Ledger;
