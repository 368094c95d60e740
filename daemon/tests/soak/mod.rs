//! Processes of the program under faults from outside.

mod check;
mod host;
mod plan;
mod proxy;
mod site;
mod traffic;

pub(crate) use site::soak;
