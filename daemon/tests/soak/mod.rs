//! Processes of the program under faults from outside.

mod check;
mod cluster;
mod host;
mod plan;
mod proxy;
mod traffic;

pub(crate) use cluster::soak;
