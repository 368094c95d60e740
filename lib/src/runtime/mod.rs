//! The threads and tasks of one host.
//!
//! One thread keeps the control state: the node, the links to other hosts and their timers. Other
//! threads carry the traffic of callers, operators and the platform. Channels join them.

mod control_loop;
mod control_metrics;
mod daemon;
mod platform_watch;

pub use daemon::Daemon;
pub use daemon::DaemonError;
