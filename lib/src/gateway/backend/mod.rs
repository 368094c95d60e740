//! Connections from the gateway to backend servers.

mod gate;
mod pool;
mod send_queue;

pub(crate) use gate::WriteGate;
pub(crate) use gate::Written;
pub(crate) use pool::BackendPool;
pub(crate) use pool::ConnectError;
pub(crate) use pool::Connection;
pub(crate) use pool::READY_TIMEOUT;
