//! Points in time on the monotonic clock of one host.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A point in time, in microseconds since an arbitrary origin that differs between processes.
///
/// Timestamps of different hosts cannot be compared. Messages between hosts therefore carry the
/// time remaining until a deadline, which the receiver adds to its own time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A deadline that never passes.
    pub const FAR_FUTURE: Self = Self(u64::MAX);

    /// Creates a timestamp from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time from `now` until this deadline, zero once the deadline has passed.
    pub fn remaining(self, now: Self) -> Duration {
        self.since(now)
    }

    /// Whether this deadline is at or before `now`.
    pub fn has_passed(self, now: Self) -> bool {
        self <= now
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// Saturates at [`Timestamp::ZERO`].
impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// The clock of this process. Only the code around the decision logic reads it; the decision logic
/// is passed the time, which keeps it deterministic.
///
/// The clock counts the time during which the host was suspended, so that a deadline which passed
/// during a suspension is seen to have passed.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Time since the origin. Unlike wall-clock time, it never goes backwards.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// Converts `at` to an [`Instant`] for the timers of the async runtime. The current instant if
    /// `at` has passed.
    pub fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.remaining(self.now())
    }
}

/// Time since the host booted, including the time during which it was suspended.
fn since_boot() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(at.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}
