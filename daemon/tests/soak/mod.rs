//! Soak run: entry hosts as processes, with a plan of injected faults, callers, and checks.

mod check;
mod cluster;
mod host;
mod plan;
mod proxy;
mod traffic;

pub(crate) use cluster::soak;
