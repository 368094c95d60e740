//! The threads and tasks of one host.
//!
//! The control thread owns the state that decides which request runs where: the node, the links to
//! other hosts, and their timers. The traffic threads serve the connections of callers and
//! operators and the calls to the platform, the external system that the fleet runs on. The threads
//! communicate over channels.

mod control_loop;
mod control_metrics;
mod daemon;
mod platform_watch;

pub use daemon::Daemon;
pub use daemon::DaemonError;
