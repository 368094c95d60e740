//! Limits the calls of a host to the platform while these fail.
//!
//! Each call to the platform is paid for, also one that fails. The kinds of objects are followed by
//! separate tasks, but if the platform fails for one of them it most likely fails for all. While it
//! fails, only one call at a time goes out for all kinds together, with increasing pauses, and the
//! first success lets all others through.

use std::time::Duration;

use crate::platform::Backoff;
use crate::time::Timestamp;

/// First pause of a host that reads objects for others, after a failed call: about twenty times the
/// response time of the platform.
const READER_PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause of such a host. A configuration may take two seconds to reach all hosts.
const READER_PAUSE_MAX: Duration = Duration::from_millis(600);
/// First pause of a host that can read the objects from mirror hosts.
const MIRRORED_PAUSE_FIRST: Duration = Duration::from_millis(1_000);
/// Longest pause of such a host. It calls the platform only in case its mirror hosts alone are cut
/// off from it; otherwise it learns from them that the platform is back.
const MIRRORED_PAUSE_MAX: Duration = Duration::from_secs(8);
/// Time after which a probe without a result no longer holds back the next one: the timeout of a
/// call to the platform and a margin.
const PROBE_EXPIRY: Duration = Duration::from_millis(1_500);

/// Whether calls to the platform may be made now.
#[derive(Debug)]
pub struct StoreGate {
    /// Whether the last call failed.
    is_failing: bool,
    /// Whether a call is in progress that shows whether the platform answers again.
    is_probing: bool,
    /// When the next probe may start.
    probe_at: Timestamp,
    reader_pauses: Backoff,
    mirrored_pauses: Backoff,
}

impl Default for StoreGate {
    fn default() -> Self {
        Self {
            is_failing: false,
            is_probing: false,
            probe_at: Timestamp::ZERO,
            reader_pauses: Backoff::new(READER_PAUSE_FIRST, READER_PAUSE_MAX),
            mirrored_pauses: Backoff::new(MIRRORED_PAUSE_FIRST, MIRRORED_PAUSE_MAX),
        }
    }
}

impl StoreGate {
    /// Admits a call.
    ///
    /// # Errors
    ///
    /// The time until which no call is admitted, unless one succeeds before.
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Timestamp> {
        if !self.is_failing {
            return Ok(());
        }
        if !self.probe_at.has_passed(now) {
            return Err(self.probe_at);
        }
        self.is_probing = true;
        self.probe_at = now + PROBE_EXPIRY;
        Ok(())
    }

    /// Time until a call may be admitted.
    pub fn wait(&self, now: Timestamp) -> Duration {
        match self.is_failing {
            true => self.probe_at.remaining(now),
            false => Duration::ZERO,
        }
    }

    /// Records that the platform answered a call.
    pub fn on_success(&mut self) {
        if self.is_failing {
            *self = Self::default();
        }
    }

    /// Records a failed call. `is_mirrored` states whether this host can read the objects from
    /// mirror hosts instead. Failures of calls that were made at the same time count once.
    pub fn on_failure(&mut self, now: Timestamp, is_mirrored: bool) {
        if self.is_failing && !self.is_probing && !self.probe_at.has_passed(now) {
            return;
        }
        self.is_failing = true;
        self.is_probing = false;
        let pauses = match is_mirrored {
            true => &mut self.mirrored_pauses,
            false => &mut self.reader_pauses,
        };
        self.probe_at = now + pauses.next_delay();
    }
}
