//! How long a host that came back has to stay alive before it is given roles again.

use std::time::Duration;

use crate::time::Timestamp;

/// Steady time after a first return.
pub(crate) const INITIAL_HOLD_DOWN: Duration = Duration::from_secs(2);
/// Longest steady time.
const MAX_HOLD_DOWN: Duration = Duration::from_secs(64);
/// Steady time after which earlier returns no longer count.
const RESET_AFTER: Duration = Duration::from_secs(300);

/// Doubles the steady time with every return, so that a host which flaps does not take its roles
/// back and forth.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldDown {
    returns: u32,
    ends_at: Timestamp,
    reset_at: Timestamp,
}

impl HoldDown {
    /// Notes that the host came back at `now`.
    pub(crate) fn on_return(&mut self, now: Timestamp) {
        if self.reset_at.has_passed(now) {
            self.returns = 0;
        }
        let hold_down = (INITIAL_HOLD_DOWN * (1 << self.returns.min(16))).min(MAX_HOLD_DOWN);
        self.returns += 1;
        self.ends_at = now + hold_down;
        self.reset_at = self.ends_at + RESET_AFTER;
    }

    /// Whether the steady time ends between `before` and `now`.
    pub(crate) fn ends_between(&self, before: Timestamp, now: Timestamp) -> bool {
        !self.has_ended(before) && self.has_ended(now)
    }

    /// Whether the host has been alive long enough.
    pub(crate) fn has_ended(&self, now: Timestamp) -> bool {
        self.ends_at.has_passed(now)
    }
}
