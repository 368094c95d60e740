//! Prometheus metrics of a host, and the listener that exposes them.

mod registry;
mod serve;

pub use registry::Fault;
pub use registry::Metrics;
pub use registry::RequestHistograms;
pub use serve::serve;
