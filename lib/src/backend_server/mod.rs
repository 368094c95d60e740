//! Backend servers as aggregates: how much each one bears, learnt from what it does.

mod admission;
mod latency;
mod limit_search;
mod server;

pub use server::BackendServer;
pub use server::Completion;
pub use server::Observation;
