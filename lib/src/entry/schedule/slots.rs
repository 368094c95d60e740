//! Predicts when an engine has a free slot.
//!
//! The load: requests occupy the slots of an engine for longer than it processes their prompts, so that
//! all slots are taken while there is time left for prefills. Slots of the engines of a service get free
//! every few milliseconds. A request that may wait for one is planned for the time at which the running
//! requests are expected to have left enough slots, instead of being refused because all are taken.

use std::time::Duration;

use super::request::ReservationId;
use crate::time::Timestamp;

/// Time from now until a request that has run longer than expected is assumed to end. Callers' estimates
/// of the lengths are often far off.
const OVERDUE_END: Duration = Duration::from_millis(50);
/// Time by which a request is overdue from which on its engine seems to have stopped. It is then assumed
/// to take as long again as it is overdue.
const OVERDUE_STOPPED: Duration = Duration::from_millis(500);
/// Time to generate a token, assumed before any response has ended. It is that of an engine that runs
/// other requests too.
const TOKEN_TIME_INITIAL: Duration = Duration::from_millis(10);
/// Fraction of the sums of [`HoldTime`] that is kept from one response to the next. The time per token
/// grows with the load, which changes within a second or two.
const HOLD_TIME_KEPT: f64 = 0.99;
/// Weight of the initial time per token, tokens: that of a few responses.
const HOLD_TIME_INITIAL_TOKENS: f64 = 500.0;

/// Requests that were assigned to an engine, with the times at which they are expected to leave it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotPlan {
    /// Sorted by time.
    ends: Vec<(Timestamp, ReservationId)>,
}

impl SlotPlan {
    /// Whether the engine has no request.
    pub(crate) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Time until fewer than `slots` of the requests are left.
    pub(crate) fn wait(&self, now: Timestamp, slots: u32) -> Duration {
        let slots = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
        let Some(last) = self.ends.len().checked_sub(slots) else {
            return Duration::ZERO;
        };
        let (end, _) = self.ends[last];
        if !end.has_passed(now) {
            return end.remaining(now);
        }
        let overdue = now.since(end);
        match overdue > OVERDUE_STOPPED {
            true => overdue,
            false => OVERDUE_END,
        }
    }

    /// Adds a request that is expected to leave the engine at `end`.
    pub(crate) fn add(&mut self, reservation: ReservationId, end: Timestamp) {
        let at = self.ends.partition_point(|(other, _)| *other <= end);
        self.ends.insert(at, (end, reservation));
    }

    /// Changes the time at which a request is expected to leave the engine.
    pub(crate) fn expect(&mut self, reservation: ReservationId, end: Timestamp) {
        if self.remove(reservation) {
            self.add(reservation, end);
        }
    }

    /// Removes a request. Returns whether it was there.
    pub(crate) fn remove(&mut self, reservation: ReservationId) -> bool {
        let at = self
            .ends
            .iter()
            .position(|(_, other)| *other == reservation);
        at.map(|at| self.ends.remove(at)).is_some()
    }
}

/// Time for which responses occupy a slot from their start to their end, learned per token of the
/// callers' estimates of their lengths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HoldTime {
    tokens: f64,
    seconds: f64,
}

impl Default for HoldTime {
    fn default() -> Self {
        Self {
            tokens: HOLD_TIME_INITIAL_TOKENS,
            seconds: HOLD_TIME_INITIAL_TOKENS * TOKEN_TIME_INITIAL.as_secs_f64(),
        }
    }
}

impl HoldTime {
    /// Adds a response with an estimated length of `tokens` that has ended `held` after its start.
    pub(crate) fn add(&mut self, tokens: u32, held: Duration) {
        self.tokens = self.tokens * HOLD_TIME_KEPT + f64::from(tokens);
        self.seconds = self.seconds * HOLD_TIME_KEPT + held.as_secs_f64();
    }

    /// Expected time from the start to the end of a response of `tokens`.
    pub(crate) fn of(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.seconds / self.tokens.max(1.0) * f64::from(tokens))
    }
}
