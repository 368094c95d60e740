//! Exponential backoff with jitter.

use std::time::Duration;

/// Sequence of delays between attempts. Their upper bound doubles from `initial` to `max`, and each
/// delay is chosen at random between half the bound and the bound. The jitter keeps hosts whose
/// calls failed at the same time from retrying at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    /// Upper bound of the next delay.
    upper_bound: Duration,
}

impl Backoff {
    /// Creates a sequence whose first delay is at most `initial` and whose other delays are at most
    /// `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            upper_bound: initial,
        }
    }

    /// Returns the delay before the next attempt, and doubles the bound for the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.upper_bound;
        self.upper_bound = (delay * 2).min(self.max);
        delay.mul_f64(0.5 + 0.5 * unit_random())
    }

    /// Starts the sequence over. Call this after a successful attempt.
    pub fn reset(&mut self) {
        self.upper_bound = self.initial;
    }
}

/// Returns a uniformly distributed random number in [0, 1), or about 0.5 if the operating system
/// provides no random numbers.
fn unit_random() -> f64 {
    let bits = getrandom::u32().unwrap_or(u32::MAX / 2);
    f64::from(bits) / (f64::from(u32::MAX) + 1.0)
}
