//! Delays between attempts of a loop.

use std::time::Duration;

/// Delays that double up to a bound, each drawn between half of it and the whole, so that hosts
/// that failed together do not come back together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    upper_bound: Duration,
}

impl Backoff {
    /// Starts with a delay of at most `initial`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            upper_bound: initial,
        }
    }

    /// The delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.upper_bound;
        self.upper_bound = (delay * 2).min(self.max);
        delay.mul_f64(0.5 + 0.5 * unit_random())
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.upper_bound = self.initial;
    }
}

/// A number drawn evenly from [0, 1). Without a source of randomness it is one half.
fn unit_random() -> f64 {
    let bits = getrandom::u32().unwrap_or(u32::MAX / 2);
    f64::from(bits) / (f64::from(u32::MAX) + 1.0)
}
