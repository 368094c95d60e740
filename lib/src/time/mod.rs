//! Points in time on the clock of one host.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A point in time, in microseconds since an arbitrary origin of one host.
///
/// Timestamps of two hosts cannot be compared. Messages between hosts carry the time that
/// remains until a deadline, and the receiver turns it back into a deadline of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A deadline that never passes.
    pub const FAR_FUTURE: Self = Self(u64::MAX);

    /// Makes a timestamp from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time that remains until this deadline, zero once it has passed.
    pub fn remaining(self, now: Self) -> Duration {
        self.since(now)
    }

    /// Whether this deadline has passed at `now`.
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

/// The clock of this process, read only at the edges of the core. It counts the time during
/// which the host was suspended, so that a deadline that passed meanwhile is seen to have passed.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// The point of the runtime's clock that `at` stands for, now if `at` has passed.
    pub fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.remaining(self.now())
    }
}

/// Time since the host was started, with the time that it was suspended.
fn since_boot() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(at.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}
