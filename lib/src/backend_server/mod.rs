//! Admission control for backend servers: how many requests each server may run at once.
//!
//! The capacity of a server is not configured. Its scheduler, which decides which requests run on
//! it, learns the capacity as a limit on concurrent requests, from the outcome, latency and
//! throughput of the requests that it admits there. The server is *cold* while nothing is learnt,
//! *warming* while the limit grows quickly, and *warm* from then on. A failure or a restart makes
//! it cold again.

mod admission;
mod latency;
mod limit_search;
mod server;

pub use server::BackendServer;
pub use server::Completion;
pub use server::Observation;
