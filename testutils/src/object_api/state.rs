//! State of the stand-in object API: objects, injected faults and records.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use crate::clock::now_us;

/// Outage of the object API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every call fails with status 503.
    Unavailable,
    /// Every connection breaks without a response.
    Broken,
}

/// Counts of the calls to the object API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectApiCounts {
    /// Reads, watches included.
    pub reads: u64,
    /// Writes and deletions, those with conflicts and those through handles included.
    pub writes: u64,
    /// Conflicts: writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Calls refused with status 429 because of the rate limit.
    pub limited: u64,
    /// Watches (reads that wait for a newer version) in progress now.
    pub waiting_watches: u64,
}

/// A write or deletion that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectWrite {
    /// Time of the effect, microseconds of [`crate::now_us`].
    pub at: u64,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version that the write created. Versions increase over the writes of all objects.
    pub version: u64,
    /// Stored bytes; none for a deletion.
    pub bytes: Option<Bytes>,
}

/// Condition of a write: the object does not exist, or it has this version.
#[derive(Clone, Copy, Debug)]
pub(super) enum Condition {
    Absent,
    Version(u64),
}

/// Result of a write: the version that it created, or a condition that did not hold.
#[derive(Clone, Copy, Debug)]
pub(super) enum WriteResult {
    Stored(u64),
    Conflict,
}

/// A stored object.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) version: u64,
    pub(super) bytes: Bytes,
}

type Objects = BTreeMap<(String, String), Stored>;

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    last_version: u64,
    /// Old objects that reads get instead of the current ones, and until when.
    stale: Option<(Objects, Instant)>,
    outage: Outage,
    delay: Duration,
    responses_to_drop: u64,
    /// Calls per second; zero for no limit. Enforced by a token bucket of one second of calls.
    rate_limit: u64,
    tokens: f64,
    tokens_at: Option<Instant>,
    counts: ObjectApiCounts,
    writes: Vec<ObjectWrite>,
}

impl State {
    fn visible(&mut self) -> &Objects {
        if self
            .stale
            .as_ref()
            .is_some_and(|(_, until)| *until <= Instant::now())
        {
            self.stale = None;
        }
        self.stale
            .as_ref()
            .map_or(&self.objects, |(objects, _)| objects)
    }
}

/// State of the object API, shared by its connections and handles.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }
}

/// Counts one watch as waiting until it is dropped.
pub(super) struct WatchGuard<'a>(&'a Shared);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting_watches -= 1;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock of the object API state")
    }

    /// Wakes every waiting watch.
    pub(super) fn wake(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(super) fn track_watch(&self) -> WatchGuard<'_> {
        self.lock().counts.waiting_watches += 1;
        WatchGuard(self)
    }

    pub(super) fn get_visible(&self, kind: &str, name: &str) -> Option<Stored> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().visible().get(&key).cloned()
    }

    pub(super) fn current(&self, kind: &str, name: &str) -> Option<Stored> {
        let key = (kind.to_owned(), name.to_owned());
        self.lock().objects.get(&key).cloned()
    }

    pub(super) fn names(&self, kind: &str) -> Vec<String> {
        self.lock()
            .visible()
            .keys()
            .filter(|(of, _)| of == kind)
            .map(|(_, name)| name.clone())
            .collect()
    }

    pub(super) fn write(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        bytes: Option<Bytes>,
    ) -> WriteResult {
        let mut state = self.lock();
        state.counts.writes += 1;
        let key = (kind.to_owned(), name.to_owned());
        let holds = match (condition, state.objects.get(&key)) {
            (Condition::Absent, None) => true,
            (Condition::Version(version), Some(stored)) => stored.version == version,
            _ => false,
        };
        if !holds {
            state.counts.conflicts += 1;
            return WriteResult::Conflict;
        }
        state.last_version += 1;
        let version = state.last_version;
        match &bytes {
            Some(bytes) => {
                let bytes = bytes.clone();
                state.objects.insert(key, Stored { version, bytes });
            }
            None => {
                state.objects.remove(&key);
            }
        }
        state.writes.push(ObjectWrite {
            at: now_us(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            version,
            bytes,
        });
        drop(state);
        self.wake();
        WriteResult::Stored(version)
    }

    pub(super) fn count_read(&self) {
        self.lock().counts.reads += 1;
    }

    pub(super) fn counts(&self) -> ObjectApiCounts {
        self.lock().counts
    }

    pub(super) fn writes(&self) -> Vec<ObjectWrite> {
        self.lock().writes.clone()
    }

    pub(super) fn outage(&self) -> Outage {
        self.lock().outage
    }

    pub(super) fn set_outage(&self, outage: Outage) {
        self.lock().outage = outage;
        self.wake();
    }

    pub(super) fn delay(&self) -> Option<Duration> {
        let delay = self.lock().delay;
        (!delay.is_zero()).then_some(delay)
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    pub(super) fn drop_write_responses(&self, count: u64) {
        self.lock().responses_to_drop = count;
    }

    pub(super) fn take_response_drop(&self) -> bool {
        let mut state = self.lock();
        let lost = state.responses_to_drop > 0;
        state.responses_to_drop -= u64::from(lost);
        lost
    }

    pub(super) fn set_stale(&self, span: Duration) {
        let mut state = self.lock();
        let objects = state.objects.clone();
        state.stale = Some((objects, Instant::now() + span));
    }

    pub(super) fn set_rate_limit(&self, calls_per_second: u64) {
        let mut state = self.lock();
        state.rate_limit = calls_per_second;
        state.tokens = calls_per_second as f64;
        state.tokens_at = Some(Instant::now());
    }

    /// Counts one call against the rate limit; returns false if the call exceeds it.
    pub(super) fn try_take_call(&self) -> bool {
        let mut state = self.lock();
        if state.rate_limit == 0 {
            return true;
        }
        let now = Instant::now();
        let limit = state.rate_limit as f64;
        let elapsed = state.tokens_at.map_or(0.0, |at| (now - at).as_secs_f64());
        state.tokens = (state.tokens + elapsed * limit).min(limit);
        state.tokens_at = Some(now);
        if state.tokens < 1.0 {
            state.counts.limited += 1;
            return false;
        }
        state.tokens -= 1.0;
        true
    }
}
