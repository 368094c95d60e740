//! Admission control for backend servers: how many requests each server may run at once.
//!
//! The capacity of a server is not configured. Its scheduler learns it from the outcome, latency
//! and throughput of the requests that it sends there.

mod admission;
mod latency;
mod limit_search;
mod server;

pub use server::BackendServer;
pub use server::Completion;
pub use server::Observation;
