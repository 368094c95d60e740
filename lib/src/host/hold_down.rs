//! Hold-down: the time for which a host that came back or restarted must stay alive before it gets
//! roles again, such as scheduling the requests to a service.

use std::time::Duration;

use crate::time::Timestamp;

/// Hold-down after a first return.
pub(crate) const INITIAL_HOLD_DOWN: Duration = Duration::from_secs(2);
/// Longest hold-down, however often a host returns.
const MAX_HOLD_DOWN: Duration = Duration::from_secs(64);
/// Time after the end of a hold-down from which a new return counts as the first again.
const RESET_AFTER: Duration = Duration::from_secs(300);

/// The hold-down of one host. It doubles with every return up to [`MAX_HOLD_DOWN`], so that roles
/// do not move to a flapping host and away again each time that it comes back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldDown {
    /// Returns since `reset_at` last passed.
    returns: u32,
    /// End of the latest hold-down.
    ends_at: Timestamp,
    /// Time from which earlier returns no longer count.
    reset_at: Timestamp,
}

impl HoldDown {
    /// Starts a hold-down for a host that came back at `now`.
    pub(crate) fn on_return(&mut self, now: Timestamp) {
        if self.reset_at.has_passed(now) {
            self.returns = 0;
        }
        // The exponent is bounded so that the shift cannot overflow.
        let hold_down = (INITIAL_HOLD_DOWN * (1 << self.returns.min(16))).min(MAX_HOLD_DOWN);
        self.returns += 1;
        self.ends_at = now + hold_down;
        self.reset_at = self.ends_at + RESET_AFTER;
    }

    /// Whether the hold-down has ended after `before` and by `now`.
    pub(crate) fn ends_between(&self, before: Timestamp, now: Timestamp) -> bool {
        !self.has_ended(before) && self.has_ended(now)
    }

    /// Whether the hold-down has ended.
    pub(crate) fn has_ended(&self, now: Timestamp) -> bool {
        self.ends_at.has_passed(now)
    }
}
