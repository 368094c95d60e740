//! Clock of all recorded times in one process, so that records of different stand-ins and of
//! callers can be compared.

use std::sync::OnceLock;
use std::time::Instant;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Microseconds of monotonic time since the first call in this process.
pub fn now_us() -> u64 {
    let elapsed = ORIGIN.get_or_init(Instant::now).elapsed();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
