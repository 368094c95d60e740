//! Paces the calls of a host to the platform for one kind of objects while the answers are of no use.
//!
//! The load: the platform answers at once, but the answer cannot be read, or the history that a watch needs is
//! gone, each time; or watches are not held, although there is no change. This is no outage of the platform (see
//! `gate`): it may be so for one kind only, and the other kinds must not wait. Each call is paid for, and without
//! pauses a host makes thousands in a second.

use std::time::Duration;

use crate::platform::Backoff;
use crate::time::Timestamp;

/// First pause, after the second useless answer in succession.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause. A configuration may take two seconds to reach all hosts.
const PAUSE_MAX: Duration = Duration::from_millis(600);
/// Least time from a watch without news to the next call.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// When the next call for a kind may be made.
#[derive(Debug)]
pub struct CallPacing {
    pauses: Backoff,
    /// Whether the last answer that counts was of no use.
    is_useless: bool,
    call_at: Timestamp,
}

impl Default for CallPacing {
    fn default() -> Self {
        Self {
            pauses: Backoff::new(PAUSE_FIRST, PAUSE_MAX),
            is_useless: false,
            call_at: Timestamp::ZERO,
        }
    }
}

impl CallPacing {
    /// Records an answer of no use. The call after the first one is not delayed: a list makes up for a
    /// watch whose history is gone.
    pub fn on_useless(&mut self, now: Timestamp) {
        if std::mem::replace(&mut self.is_useless, true) {
            self.call_at = now + self.pauses.next_delay();
        }
    }

    /// Records that a watch that was sent at `sent` was answered. `has_news` states whether it brought changes
    /// and a later position. A list does not count: watches may fail after each one.
    pub fn on_watched(&mut self, sent: Timestamp, has_news: bool) {
        *self = Self::default();
        if !has_news {
            self.call_at = sent + WATCH_INTERVAL_MIN;
        }
    }

    /// Time until the next call may be made.
    pub fn wait(&self, now: Timestamp) -> Duration {
        self.call_at.remaining(now)
    }
}
