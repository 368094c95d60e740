//! How long a host that came back has to stay alive before it is given roles again.

use std::time::Duration;

use crate::time::Timestamp;

/// Steady time after a first return.
pub(crate) const FIRST_HOLD: Duration = Duration::from_secs(2);
/// Longest steady time.
const LONGEST_HOLD: Duration = Duration::from_secs(64);
/// Steady time after which earlier returns no longer count.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// Doubles the steady time with every return, so that a host which flaps does not take its roles
/// back and forth.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldDown {
    returns: u32,
    steady_at: Timestamp,
    forget_at: Timestamp,
}

impl HoldDown {
    /// Notes that the host came back at `now`.
    pub(crate) fn returned(&mut self, now: Timestamp) {
        if self.forget_at.has_passed(now) {
            self.returns = 0;
        }
        let hold = (FIRST_HOLD * (1 << self.returns.min(16))).min(LONGEST_HOLD);
        self.returns += 1;
        self.steady_at = now + hold;
        self.forget_at = self.steady_at + FORGET_AFTER;
    }

    /// Whether the steady time ends between `before` and `now`.
    pub(crate) fn ends_between(&self, before: Timestamp, now: Timestamp) -> bool {
        !self.is_steady(before) && self.is_steady(now)
    }

    /// Whether the host has been alive long enough.
    pub(crate) fn is_steady(&self, now: Timestamp) -> bool {
        self.steady_at.has_passed(now)
    }
}
