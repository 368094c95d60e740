//! Measures how late an entry host's timers fire (the lag), and limits the load when they fire too
//! late.
//!
//! Late timers mean that the host has no processor time left, for example when all callers of one
//! busy workspace (customer) connect to the same small host. Requests would then wait on the host,
//! so it refuses them at once: first a part of the new connections, the larger the later the timers
//! are, so that the others are served in time and the host does not run idle in between. Whose
//! connections these are, and which requests other hosts serve, is decided in `arrival`. If the lag
//! grows all the same, it refuses requests, and if it persists, even refusing is too much work: the
//! host reports that it is not ready, so that the load balancer of the platform sends it no new
//! connections. Then it closes each existing connection after the next response, so that the
//! callers reconnect to other hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use log::info;
use log::warn;
use tokio::sync::Notify;

use super::forward::millis;
use super::host::EntryHost;
use crate::time::Timestamp;

/// Interval between two measurements.
const SAMPLE_PERIOD: Duration = Duration::from_millis(25);
/// Number of consecutive measurements without a request after which measuring pauses, so that an
/// idle host does not wake up.
const IDLE_SAMPLES_MAX: u32 = 10;
/// Largest mean lag above which the host is overloaded. A request waits for the host about eight times
/// between its arrival and the first event of its response. 60 ms of lag therefore add about half a
/// second. On a host with processor time left, timers are a few milliseconds late.
const LAG_MAX: Duration = Duration::from_millis(60);
/// The mean lag above which the host is overloaded, as a fraction of the time within which responses of
/// models should start. A host with a quota of processor time is late before it has used the quota: with a
/// lower limit, callers who reach the fleet by a few such hosts get less than their share.
const LAG_OBJECTIVE_FRACTION: f64 = 0.15;
/// Lag from which on a part of the new connections is refused. On a host with processor time left, timers
/// are hardly ever later.
const REFUSING_LAG_MIN: Duration = Duration::from_millis(10);
/// Lag from which on all new connections are refused. With 15 ms, a host was idle for a seventh of the time
/// in a flood, and its workspaces got less than their shares.
const ACCEPTING_LAG_MAX: Duration = Duration::from_millis(40);
/// Largest part of the connections that is refused if it is known whose they are. The rest is divided among
/// the workspaces, so that those with few connections are not kept out by others.
const REFUSED_FRACTION_MAX: f64 = 0.95;
/// Lag from which on a part of the requests of workspaces is refused that send the host many. Most of the new
/// connections are refused then, which costs the host less.
const BUSY_REQUEST_LAG_MIN: Duration = Duration::from_millis(25);
/// Lag from which on all requests of workspaces are refused that send the host many. It is longer, since
/// a request that is refused after it was read costs the host several times as much as a refused
/// connection.
const BUSY_REQUEST_LAG_MAX: Duration = Duration::from_millis(60);
/// Time constant of the mean lag that decides on refusals. It is long enough that a single pause of
/// 100 ms, as on a host with a processor time quota, does not cause refusals.
const REFUSAL_SPAN: Duration = Duration::from_millis(150);
/// Time constant of the mean lag that decides on readiness: longer than the burst of new
/// connections that follows the loss of another host.
const READINESS_SPAN: Duration = Duration::from_millis(700);
/// Upper bound of the lag that counts for one measurement. A host that was suspended measures a lag
/// of several seconds once, but is not overloaded.
const SAMPLE_MAX: Duration = Duration::from_millis(200);
/// How long the host is not ready after it became overloaded for the first time. This is several
/// times the few seconds that it takes to leave and rejoin the load balancer, so that the host is
/// overloaded for only a small part of the time.
const UNREADY_FIRST: Duration = Duration::from_secs(8);
/// Longest time for which the host is not ready. The time doubles each time that the host becomes
/// overloaded again, and starts again at [`UNREADY_FIRST`] if the host was ready for longer than
/// this in between.
const UNREADY_MAX: Duration = Duration::from_secs(64);
/// Shortest time after which a caller that was refused because of the lag should try again. A part of the
/// connections is accepted all the time, and the next attempt can still be in time.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after which the load balancer sends no new connections to a host that is not ready: two
/// readiness checks at one per second.
const BALANCER_DELAY: Duration = Duration::from_millis(2_200);

/// Exponentially weighted mean, seconds.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean(f64);

impl DecayingMean {
    /// Adds a value that held for the time `lasted`; `span` is the time constant.
    fn add(&mut self, value: Duration, lasted: Duration, span: Duration) {
        let kept = (-lasted.as_secs_f64() / span.as_secs_f64()).exp();
        self.0 = self.0 * kept + value.as_secs_f64() * (1.0 - kept);
    }
}

/// Refuses a part of what arrives, the larger the later the timers fire.
#[derive(Clone, Copy, Debug, Default)]
struct PartialRefusal {
    /// Grows with each decision by the fraction to be refused; a refusal costs 1.
    credit: f64,
}

impl PartialRefusal {
    /// Decides on one more. From a lag of `some_from` on some are refused, and all from `all_from` on.
    fn refuses(&mut self, late: Duration, some_from: Duration, all_from: Duration) -> bool {
        let beyond = late.saturating_sub(some_from).as_secs_f64();
        let range = all_from.saturating_sub(some_from).as_secs_f64();
        self.credit += (beyond / range).min(1.0);
        let refuses = self.credit >= 1.0;
        if refuses {
            self.credit -= 1.0;
        }
        refuses
    }
}

/// Lag of a host's timers, and the readiness that follows from it.
#[derive(Clone, Debug)]
pub struct Lag {
    /// Mean lag above which the host is overloaded.
    limit: Duration,
    /// Mean lag with the time constant [`REFUSAL_SPAN`].
    recent: DecayingMean,
    /// Mean lag with the time constant [`READINESS_SPAN`].
    sustained: DecayingMean,
    updated: Timestamp,
    /// When the host last became not ready.
    unready_since: Timestamp,
    /// When the host becomes ready again, or last did.
    ready_at: Timestamp,
    /// How long the host was not ready the last time, zero if it always was ready.
    unready_for: Duration,
    /// Refusals of new connections.
    connections: PartialRefusal,
    /// Refusals of requests of workspaces that send the host many.
    busy_requests: PartialRefusal,
}

impl Default for Lag {
    fn default() -> Self {
        Self {
            limit: LAG_MAX,
            recent: DecayingMean::default(),
            sustained: DecayingMean::default(),
            updated: Timestamp::ZERO,
            unready_since: Timestamp::ZERO,
            ready_at: Timestamp::ZERO,
            unready_for: Duration::ZERO,
            connections: PartialRefusal::default(),
            busy_requests: PartialRefusal::default(),
        }
    }
}

impl Lag {
    /// Sets the shortest time within which responses of models should start, `None` if no route leads
    /// to a model.
    pub fn set_objective(&mut self, objective: Option<Duration>) {
        let limit = objective.map(|objective| objective.mul_f64(LAG_OBJECTIVE_FRACTION));
        self.limit = limit.map_or(LAG_MAX, |limit| limit.min(LAG_MAX));
    }

    /// Adds a measurement: a timer that was due at `now - late` fired at `now`. Returns whether the
    /// host becomes not ready because of it.
    pub fn update(&mut self, now: Timestamp, late: Duration) -> bool {
        // Measuring may have paused before this measurement, because there were no requests. The
        // pause counts as time without lag.
        let paused_for = now.since(self.updated).saturating_sub(late + SAMPLE_PERIOD);
        self.updated = now;
        let late = late.min(SAMPLE_MAX);
        let lasted = late + SAMPLE_PERIOD;
        for (mean, span) in [
            (&mut self.recent, REFUSAL_SPAN),
            (&mut self.sustained, READINESS_SPAN),
        ] {
            mean.add(Duration::ZERO, paused_for, span);
            mean.add(late, lasted, span);
        }
        if self.sustained.0 <= self.limit.as_secs_f64() || !self.is_ready(now) {
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

    /// Mean lag of the last moments.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.recent.0)
    }

    /// Whether the lag is so long that the host should refuse requests.
    pub fn is_overloaded(&self) -> bool {
        self.recent.0 > self.limit.as_secs_f64()
    }

    /// Whether the lag allows that the host is reported as ready, so that the load balancer sends
    /// it new connections.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.ready_at.has_passed(now)
    }

    /// Time after which a caller that was refused because of the lag should try again. If the load
    /// balancer is about to send new connections to other hosts, the retry waits for that.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        let is_leaving = !self.is_ready(now);
        let left = BALANCER_DELAY.saturating_sub(now.since(self.unready_since));
        match is_leaving {
            true => left.max(BUSY_RETRY_AFTER),
            false => BUSY_RETRY_AFTER,
        }
    }

    /// Whether timers that are late by `late` mean that the host has no processor time left.
    pub fn is_behind(late: Duration) -> bool {
        late >= REFUSING_LAG_MIN
    }

    /// The part of new connections, from 0 to 1, that should be refused if it is known whose they are.
    pub fn refused_fraction(&self, late: Duration) -> f64 {
        let late = late.max(self.recent());
        let beyond = late.saturating_sub(REFUSING_LAG_MIN).as_secs_f64();
        let range = (ACCEPTING_LAG_MAX - REFUSING_LAG_MIN).as_secs_f64();
        (beyond / range).min(REFUSED_FRACTION_MAX)
    }

    /// Decides on a new connection of which nothing is known. Returns the time after which its caller should try again, `None` if
    /// the connection is to be served. `late` is how late the timers fire at present.
    pub fn on_connection(&mut self, now: Timestamp, late: Duration) -> Option<Duration> {
        let late = late.max(self.recent());
        let is_refused = self
            .connections
            .refuses(late, REFUSING_LAG_MIN, ACCEPTING_LAG_MAX);
        is_refused.then(|| self.retry_after(now))
    }

    /// Decides on a request to a model of a workspace that sends the host many. Returns the time after which
    /// its caller should try again, `None` if the request is to be served. The host has spent time on the
    /// request already, so a single late timer does not count.
    pub fn on_busy_request(&mut self, now: Timestamp) -> Option<Duration> {
        let late = self.recent();
        let is_refused = self.is_overloaded()
            || self
                .busy_requests
                .refuses(late, BUSY_REQUEST_LAG_MIN, BUSY_REQUEST_LAG_MAX);
        is_refused.then(|| self.retry_after(now))
    }

    /// Whether requests should come on new connections, which cost less to hand over or refuse than a request on
    /// a connection that is kept.
    pub fn prefers_new_connections(&self) -> bool {
        Self::is_behind(self.recent())
    }

    /// Whether the host should close its connections after the next response. This begins only when
    /// the load balancer sends new connections to other hosts, since callers would otherwise
    /// reconnect to this one.
    pub fn closes_connections(&self, now: Timestamp) -> bool {
        !self.is_ready(now) && now.since(self.unready_since) >= BALANCER_DELAY
    }
}

/// Lag of a host, shared between the measuring task, the request handlers and the thread that
/// accepts connections.
#[derive(Debug, Default)]
pub(crate) struct LagMeter {
    lag: Mutex<Lag>,
    /// When the timer of the present measurement is due, microseconds; 0 if measuring pauses.
    due_micros: AtomicU64,
    /// Connections refused since the last sweep without knowing whose they are.
    refused_unread: AtomicU64,
    /// Notified of each request.
    has_work: Notify,
    /// Notified when callers' idle connections are to be closed.
    close_idle: Arc<Notify>,
}

impl LagMeter {
    /// Records the arrival of a request, which resumes measuring.
    pub(crate) fn on_request(&self) {
        self.has_work.notify_one();
    }

    /// Is notified when the idle connections of callers are to be closed, because the load balancer
    /// sends the callers to other hosts.
    pub(crate) fn close_idle(&self) -> Arc<Notify> {
        self.close_idle.clone()
    }

    /// How late the timers fire, including a measurement that has not ended yet.
    pub(crate) fn current(&self, now: Timestamp) -> Duration {
        let due = self.due_micros.load(Ordering::Acquire);
        let late = match due {
            0 => Duration::ZERO,
            due => now.since(Timestamp::from_micros(due)),
        };
        late.max(self.lag().recent())
    }

    /// Counts a connection that was refused without knowing whose it is.
    pub(crate) fn on_refused_unread(&self) {
        self.refused_unread.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of these connections since the last call.
    pub(crate) fn take_refused_unread(&self) -> u64 {
        self.refused_unread.swap(0, Ordering::Relaxed)
    }

    /// Like [`Lag::on_connection`], also if a measurement has not ended yet.
    pub(crate) fn on_connection(&self, now: Timestamp) -> Option<Duration> {
        let late = self.current(now);
        self.lag().on_connection(now, late)
    }

    /// Locks and returns the lag.
    pub(crate) fn lag(&self) -> MutexGuard<'_, Lag> {
        self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures the lag while there are requests. Runs until the task is dropped.
pub(crate) async fn measure(host: Arc<EntryHost>) {
    let meter = &host.lag;
    loop {
        meter.has_work.notified().await;
        let mut idle_samples = 0;
        while idle_samples < IDLE_SAMPLES_MAX {
            let due = host.clock.now() + SAMPLE_PERIOD;
            meter.due_micros.store(due.as_micros(), Ordering::Release);
            tokio::time::sleep(SAMPLE_PERIOD).await;
            let now = host.clock.now();
            let (was_overloaded, is_overloaded, becomes_unready) = {
                let mut lag = meter.lag();
                let was_overloaded = lag.is_overloaded();
                let becomes_unready = lag.update(now, now.since(due));
                (was_overloaded, lag.is_overloaded(), becomes_unready)
            };
            if was_overloaded != is_overloaded {
                // The workspace with the most refusals since the lag crossed the limit before.
                let most = host.fleet().take_most_refused();
                let (workspace, count) = most.unzip();
                info!(target: "host", last_ms = millis(now.since(due)), behind = is_overloaded,
                    refused = host.stats.refused_overloaded.get(),
                    workspace = workspace.as_deref(), refused_of_workspace = count;
                    "timer lag crossed refusal limit");
            }
            if becomes_unready {
                warn!(target: "host", last_ms = millis(now.since(due)),
                    requests = host.fleet().in_flight_count(); "not ready: timer lag is too high");
            }
            let has_work = meter.has_work.notified().now_or_never().is_some();
            idle_samples = if has_work { 0 } else { idle_samples + 1 };
        }
        meter.due_micros.store(0, Ordering::Release);
    }
}
