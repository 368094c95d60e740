//! How far a host is behind its own work.
//!
//! Answers callers of one busy workspace that all enter at one small host: a host without
//! processor time left would let every request wait, and refuses at once in place of that.
//! Callers that are refused come back through other hosts.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::host::EntryHost;

/// Period in which the lag is measured.
const PERIOD: Duration = Duration::from_millis(25);
/// Lag from which requests are refused: timers of a host with time left are a few milliseconds
/// late, and a host whose processor time is a quota may pause for a tenth of a second.
const LAG_MAX: Duration = Duration::from_millis(150);
/// Part of the lag that remains after a period without delay.
const DECAY: f64 = 0.8;

/// The lag of a host.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    micros: AtomicU64,
}

impl Lag {
    /// Whether the host is too far behind to take more work.
    pub(crate) fn is_too_long(&self) -> bool {
        Duration::from_micros(self.micros.load(Ordering::Relaxed)) > LAG_MAX
    }

    fn update(&self, late: Duration) {
        let before = Duration::from_micros(self.micros.load(Ordering::Relaxed));
        let lag = before.mul_f64(DECAY).max(late);
        let micros = u64::try_from(lag.as_micros()).unwrap_or(u64::MAX);
        self.micros.store(micros, Ordering::Relaxed);
    }
}

/// Measures the lag until the task is dropped.
pub(crate) async fn measure(host: Arc<EntryHost>) {
    loop {
        let due = host.clock.now() + PERIOD;
        tokio::time::sleep(PERIOD).await;
        let late = host.clock.now().since(due);
        host.lag.update(late);
    }
}
