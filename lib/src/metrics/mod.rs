//! Measurements of a host and the listener that shows them.

mod registry;

pub use registry::Fault;
pub use registry::Metrics;
pub use registry::PairMetrics;
