//! Chooses the idle connections of callers that are closed early, so that others can be served.
//!
//! Some callers open a connection for nearly every request and keep it open. At the limit of
//! connections such idle ones would keep new ones out until their idle timeout has passed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

use super::request_counter::RequestCounter;

/// One open connection, shared with the task that serves it.
pub(crate) struct OpenConnection {
    pub(crate) requests: Arc<RequestCounter>,
    /// Notified when the connection is to be closed.
    close: Notify,
    /// Whether it is being closed.
    is_closing: AtomicBool,
}

impl OpenConnection {
    /// Waits until the connection is to be closed and is idle.
    pub(crate) async fn chosen(&self) {
        loop {
            self.close.notified().await;
            if self.requests.is_idle() {
                return;
            }
            // A request has arrived in the meantime.
            self.is_closing.store(false, Ordering::Release);
        }
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }
}

/// All open connections of callers.
#[derive(Default)]
pub(crate) struct OpenConnections {
    /// Some may have ended; these are removed from time to time.
    list: Vec<Arc<OpenConnection>>,
    /// Numbers the times at which connections become idle.
    idle_order: Arc<AtomicU64>,
}

impl OpenConnections {
    /// Adds a new connection.
    pub(crate) fn add(&mut self) -> Arc<OpenConnection> {
        if self.list.len() == self.list.capacity() {
            self.remove_ended();
        }
        let connection = Arc::new(OpenConnection {
            requests: Arc::new(RequestCounter::new(self.idle_order.clone())),
            close: Notify::new(),
            is_closing: AtomicBool::new(false),
        });
        self.list.push(connection.clone());
        connection
    }

    /// Closes idle connections, those that have been idle for longest first, until `count` are being
    /// closed, including those chosen earlier. Returns how many are.
    pub(crate) fn close_idle(&mut self, count: usize) -> usize {
        self.remove_ended();
        let (closing, open): (Vec<_>, Vec<_>) = self.list.iter().partition(|c| c.is_closing());
        let mut idle: Vec<_> = open.into_iter().filter(|c| c.requests.is_idle()).collect();
        idle.sort_unstable_by_key(|connection| connection.requests.idle_since());
        idle.truncate(count.saturating_sub(closing.len()));
        for connection in &idle {
            connection.is_closing.store(true, Ordering::Release);
            connection.close.notify_one();
        }
        closing.len() + idle.len()
    }

    /// Removes connections whose task has ended.
    fn remove_ended(&mut self) {
        self.list
            .retain(|connection| Arc::strong_count(connection) > 1);
    }
}
