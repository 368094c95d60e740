//! How far a host is behind its own work, and what it does about it.
//!
//! Answers callers of one busy workspace that all enter at one small host: a host without
//! processor time left would let every request wait, and refuses at once in place of that. If it
//! stays behind, even refusing is too much for it: it says that it is not ready, and once the
//! platform sends it no new connections it closes those that it has after their next answer, so
//! that their callers come back through other hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::FutureExt;
use log::info;
use log::warn;
use tokio::sync::Notify;

use super::forward::millis;
use super::host::EntryHost;
use crate::time::Timestamp;

/// Period in which the lag is measured.
const SAMPLE_PERIOD: Duration = Duration::from_millis(25);
/// Periods without a request after which the measuring rests: an idle host need not wake up.
const IDLE_SAMPLES_MAX: u32 = 10;
/// Mean lag from which requests are refused: a request waits for the host about eight times from
/// its arrival to the first event of its answer, half a second in all, which is most of an
/// objective. Timers of a host with time left are a few milliseconds late.
const LAG_MAX: Duration = Duration::from_millis(60);
/// Span of the mean that decides on requests. One pause of a tenth of a second, as of a host whose
/// processor time is a quota, is not enough.
const REFUSAL_SPAN: Duration = Duration::from_millis(150);
/// Span of the mean that decides whether the host is ready: longer than a burst of connections
/// after the loss of another host lasts.
const READINESS_SPAN: Duration = Duration::from_millis(700);
/// Most of one delay that counts: a host that was suspended is seconds late once, and not behind.
const SAMPLE_MAX: Duration = Duration::from_millis(200);
/// First time for which a host is not ready: a few of the seconds that it takes to leave and enter
/// the balance again, so that the times behind are a small part.
const UNREADY_FIRST: Duration = Duration::from_secs(8);
/// Longest such time; each one soon after another lasts twice as long.
const UNREADY_MAX: Duration = Duration::from_secs(64);
/// Time after which new connections go elsewhere: two readiness checks, one a second.
const BALANCER_DELAY: Duration = Duration::from_millis(2_200);

/// A mean in which older values count less, seconds.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean(f64);

impl DecayingMean {
    fn add(&mut self, value: Duration, lasted: Duration, span: Duration) {
        let kept = (-lasted.as_secs_f64() / span.as_secs_f64()).exp();
        self.0 = self.0 * kept + value.as_secs_f64() * (1.0 - kept);
    }
}

/// How far a host is behind.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    recent: DecayingMean,
    sustained: DecayingMean,
    updated: Timestamp,
    unready_since: Timestamp,
    ready_at: Timestamp,
    unready_for: Duration,
}

impl Lag {
    /// Takes in how late a timer was. Says whether the host withdraws by that.
    pub fn update(&mut self, now: Timestamp, late: Duration) -> bool {
        // The measuring may have rested before, since nothing was to be done.
        let rested = now.since(self.updated).saturating_sub(late + SAMPLE_PERIOD);
        self.updated = now;
        let late = late.min(SAMPLE_MAX);
        let lasted = late + SAMPLE_PERIOD;
        for (mean, span) in [
            (&mut self.recent, REFUSAL_SPAN),
            (&mut self.sustained, READINESS_SPAN),
        ] {
            mean.add(Duration::ZERO, rested, span);
            mean.add(late, lasted, span);
        }
        if self.sustained.0 <= LAG_MAX.as_secs_f64() || !self.is_ready(now) {
            return false;
        }
        let ready_for = now.since(self.ready_at);
        let is_first = self.unready_for.is_zero() || ready_for > UNREADY_MAX;
        self.unready_for = match is_first {
            true => UNREADY_FIRST,
            false => (self.unready_for * 2).min(UNREADY_MAX),
        };
        self.unready_since = now;
        self.ready_at = now + self.unready_for;
        true
    }

    /// Whether the host is too far behind to take more work.
    pub fn is_overloaded(&self) -> bool {
        self.recent.0 > LAG_MAX.as_secs_f64()
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.ready_at.has_passed(now)
    }

    /// Whether callers are to come back over another connection, which leads elsewhere.
    pub fn closes_connections(&self, now: Timestamp) -> bool {
        !self.is_ready(now) && now.since(self.unready_since) >= BALANCER_DELAY
    }
}

/// Measures the lag of a host.
#[derive(Debug, Default)]
pub(crate) struct LagMeter {
    lag: Mutex<Lag>,
    /// Told of each request.
    has_work: Notify,
}

impl LagMeter {
    /// A request has arrived.
    pub(crate) fn on_request(&self) {
        self.has_work.notify_one();
    }

    /// The lag.
    pub(crate) fn lag(&self) -> MutexGuard<'_, Lag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures the lag, while there are requests, until the task is dropped.
pub(crate) async fn measure(host: Arc<EntryHost>) {
    let meter = &host.lag;
    loop {
        meter.has_work.notified().await;
        let mut idle_samples = 0;
        while idle_samples < IDLE_SAMPLES_MAX {
            let due = host.clock.now() + SAMPLE_PERIOD;
            tokio::time::sleep(SAMPLE_PERIOD).await;
            let now = host.clock.now();
            let (was_behind, is_behind, becomes_unready) = {
                let mut lag = meter.lag();
                let was_behind = lag.is_overloaded();
                let becomes_unready = lag.update(now, now.since(due));
                (was_behind, lag.is_overloaded(), becomes_unready)
            };
            if was_behind != is_behind {
                info!(target: "host", last_ms = millis(now.since(due)), behind = is_behind,
                    refused = host.stats.refused_behind.get(); "lag");
            }
            if becomes_unready {
                warn!(target: "host", last_ms = millis(now.since(due)),
                    requests = host.fleet().in_flight_count(); "not ready, behind its work");
            }
            let has_work = meter.has_work.notified().now_or_never().is_some();
            idle_samples = if has_work { 0 } else { idle_samples + 1 };
        }
    }
}
