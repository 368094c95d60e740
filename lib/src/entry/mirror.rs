//! Serves platform objects that this entry host has read to the other entry hosts of its failure
//! domain.
//!
//! An entry host is a reverse proxy between callers and backend servers. The platform is the
//! external system that stores the configuration, the announcements of servers and the list of
//! hosts as named objects.
//!
//! Calls to the platform are paid for, and their number would grow with the number of hosts.
//! Therefore one host of a failure domain reads a kind of object from the platform, and the other
//! hosts read it from this host or from one that has read it there, over HTTP. A host serves a kind
//! only while it has confirmed it recently. Its responses state the age of the objects, so that
//! other hosts do not take old state for current state.
//!
//! Each object is kept once, in its present state and as text, however often it changes and however
//! many hosts read it at the same time: changes are kept as the names of the objects, and responses
//! share the text. A host that was away for a while gets the present state of what has changed, as
//! it would from a list.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use axum::routing::get;
use compact_str::CompactString;
use futures::stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use super::host::EntryHost;
use super::source::Change;
use super::source::Object;
use super::source::StoreRevision;
use crate::time::Timestamp;

/// Changes kept per kind, as names: more than a burst on the platform brings between two requests of a
/// host. A host that lacks older changes gets all objects instead.
const CHANGES_MAX: usize = 512;
/// Smallest text that a response shares with the mirror instead of copying it, bytes. Many small parts
/// cost more to write than to copy.
const SHARED_TEXT_MIN_BYTES: usize = 4 << 10;
/// How long a change is held back so that later ones go out in the same response. Servers announce
/// themselves every second, each at another time, and a response costs both hosts more than the
/// changes in it.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a request is held, whatever hold time it asks for.
const HOLD_MAX: Duration = Duration::from_secs(10);

/// Mirrored objects of one kind.
#[derive(Debug)]
struct Mirror {
    /// The `Set` change that creates each object, as JSON, by name.
    objects: BTreeMap<CompactString, Bytes>,
    /// Names of the objects that changed last, with the positions of the changes, oldest first.
    changed: VecDeque<(StoreRevision, CompactString)>,
    /// Position after which all changes are in `changed`.
    since: StoreRevision,
    /// Position up to which `objects` is complete.
    revision: StoreRevision,
    /// Time at which the objects were known to be current on the platform.
    confirmed_at: Timestamp,
    /// When the objects are too old to be served, unless they are confirmed again.
    serve_until: Timestamp,
    /// Wakes held requests when `revision` changes.
    revision_sender: watch::Sender<StoreRevision>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            changed: VecDeque::new(),
            since: StoreRevision::default(),
            revision: StoreRevision::default(),
            confirmed_at: Timestamp::ZERO,
            serve_until: Timestamp::ZERO,
            revision_sender: watch::Sender::new(StoreRevision::default()),
        }
    }
}

impl Mirror {
    /// Whether other hosts may read the objects here.
    fn is_served(&self, now: Timestamp) -> bool {
        !self.serve_until.has_passed(now)
    }

    /// Applies a change that was made at `revision`.
    fn apply(&mut self, change: &Change, revision: StoreRevision) {
        let name = match change {
            Change::Set(object) => {
                let text = to_json(&ChangeRef::Set(object)).into();
                self.objects.insert(object.name.clone(), text);
                &object.name
            }
            Change::Removed(name) => {
                self.objects.remove(name);
                name
            }
        };
        self.changed.push_back((revision, name.clone()));
        if self.changed.len() > CHANGES_MAX
            && let Some((dropped_at, _)) = self.changed.pop_front()
        {
            self.since = dropped_at;
        }
    }

    /// The present state of each object that changed after a position, in the order of the last changes.
    fn changes_after(&self, after: StoreRevision) -> Vec<Bytes> {
        let mut seen = HashSet::new();
        let newest_first = self.changed.iter().rev();
        let mut changes: Vec<_> = newest_first
            .take_while(|(at, _)| *at > after)
            .filter(|(_, name)| seen.insert(name))
            .map(|(_, name)| match self.objects.get(name) {
                Some(text) => text.clone(),
                None => to_json(&ChangeRef::Removed(name)).into(),
            })
            .collect();
        changes.reverse();
        changes
    }
}

/// A [`Change`] to be written.
#[derive(Serialize)]
enum ChangeRef<'a> {
    Set(&'a Object),
    Removed(&'a CompactString),
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("what was read as JSON should be writable as JSON")
}

/// Response of a mirror host, as JSON: the objects of a kind, or their changes.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ObjectsResponse {
    /// Position up to which the response is complete.
    pub(crate) revision: StoreRevision,
    /// Time since these objects were last known to be current on the platform, microseconds.
    pub(crate) age_micros: u64,
    /// Whether `changes` holds all objects instead of the changes after the requested revision.
    pub(crate) is_full: bool,
    /// Changes in order; only `Set` if `is_full`.
    pub(crate) changes: Vec<Change>,
}

/// An [`ObjectsResponse`] to be written, whose changes share their text with the mirror.
struct MirroredChanges {
    /// The response without its changes.
    head: ObjectsResponse,
    changes: Vec<Bytes>,
}

impl MirroredChanges {
    /// The response as JSON, in parts.
    fn into_parts(self) -> Vec<Bytes> {
        let mut copied = to_json(&self.head);
        // The end of the empty list of changes and of the response.
        let end = copied.split_off(copied.len() - 2);
        let mut parts = Vec::new();
        for (at, change) in self.changes.into_iter().enumerate() {
            if at > 0 {
                copied.push(b',');
            }
            if change.len() < SHARED_TEXT_MIN_BYTES {
                copied.extend_from_slice(&change);
                continue;
            }
            parts.push(std::mem::take(&mut copied).into());
            parts.push(change);
        }
        copied.extend_from_slice(&end);
        parts.push(copied.into());
        parts
    }
}

/// Mirrored objects by kind.
#[derive(Debug, Default)]
pub(crate) struct Mirrors {
    kinds: Mutex<HashMap<&'static str, Mirror>>,
}

impl Mirrors {
    fn kinds(&self) -> MutexGuard<'_, HashMap<&'static str, Mirror>> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the objects of a kind by a complete list.
    pub(crate) fn on_listed(
        &self,
        kind: &'static str,
        objects: &[Object],
        revision: StoreRevision,
    ) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        let pairs = objects.iter().map(|object| {
            let text = to_json(&ChangeRef::Set(object));
            (object.name.clone(), text.into())
        });
        mirror.objects = pairs.collect();
        mirror.changed.clear();
        mirror.since = revision;
        mirror.revision = revision;
        mirror.revision_sender.send_replace(revision);
    }

    /// Applies changes that are complete up to `revision`.
    pub(crate) fn on_changed(
        &self,
        kind: &'static str,
        changes: &[Change],
        revision: StoreRevision,
    ) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        for change in changes {
            mirror.apply(change, revision);
        }
        mirror.revision = revision;
        if !changes.is_empty() {
            mirror.revision_sender.send_replace(revision);
        }
    }

    /// Records that the objects were current at `at`. They are served until they are `age_max` old.
    pub(crate) fn confirm(&self, kind: &'static str, at: Timestamp, age_max: Duration) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        mirror.confirmed_at = mirror.confirmed_at.max(at);
        mirror.serve_until = mirror.confirmed_at + age_max;
    }

    /// A receiver that is notified of changes to a kind, and the time until which the kind can be
    /// served without being confirmed again. `None` if the kind is not served here.
    fn subscribe(
        &self,
        kind: &str,
        now: Timestamp,
    ) -> Option<(watch::Receiver<StoreRevision>, Timestamp)> {
        let kinds = self.kinds();
        let mirror = kinds.get(kind).filter(|mirror| mirror.is_served(now))?;
        Some((mirror.revision_sender.subscribe(), mirror.serve_until))
    }

    /// The changes after a position, or all objects if `after` is `None` or the changes after it
    /// are no longer kept. `None` if the kind is not served here, or if the asking host already
    /// knows a later position.
    fn response(
        &self,
        kind: &str,
        after: Option<StoreRevision>,
        now: Timestamp,
    ) -> Option<MirroredChanges> {
        let kinds = self.kinds();
        let mirror = kinds.get(kind).filter(|mirror| mirror.is_served(now))?;
        if after.is_some_and(|after| after > mirror.revision) {
            return None;
        }
        let known = after.filter(|after| (mirror.since..=mirror.revision).contains(after));
        let changes = match known {
            Some(after) => mirror.changes_after(after),
            None => mirror.objects.values().cloned().collect(),
        };
        let age = now.since(mirror.confirmed_at);
        let head = ObjectsResponse {
            revision: mirror.revision,
            age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            is_full: known.is_none(),
            changes: Vec::new(),
        };
        Some(MirroredChanges { head, changes })
    }
}

/// Query parameters of a request for objects.
#[derive(Deserialize)]
struct ObjectsQuery {
    /// Number of the position that the asking host knows; without it all objects are sent.
    after: Option<u64>,
    /// Era of that position.
    era: Option<u64>,
    /// How long to hold the request if there are no changes.
    hold_ms: Option<u64>,
}

/// HTTP routes on which the objects are served to other hosts.
pub(crate) fn router(host: Arc<EntryHost>) -> Router {
    Router::new()
        .route("/objects/{kind}", get(serve_objects))
        .with_state(host)
}

/// Path and query of a request for all objects of a kind or for the changes after a position.
pub(crate) fn objects_path(kind: &str, after: Option<StoreRevision>, hold: Duration) -> String {
    match after {
        None => format!("/objects/{kind}"),
        Some(StoreRevision { era, number }) => {
            let hold_ms = hold.as_millis();
            format!("/objects/{kind}?after={number}&era={era}&hold_ms={hold_ms}")
        }
    }
}

/// Answers a request for objects. The request is held if it asks for the changes after a position
/// and there are none yet, until there are some, its hold time is over, or the objects are too old
/// to be served. The status is 503 if the kind is not served here.
async fn serve_objects(
    State(host): State<Arc<EntryHost>>,
    Path(kind): Path<String>,
    Query(query): Query<ObjectsQuery>,
) -> Result<Response<Body>, StatusCode> {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let now = host.clock.now();
    let (mut revisions, serve_until) = host.mirrors.subscribe(&kind, now).ok_or(unavailable)?;
    let hold = Duration::from_millis(query.hold_ms.unwrap_or(0)).min(HOLD_MAX);
    let after = query.after.map(|number| StoreRevision {
        era: query.era.unwrap_or_default(),
        number,
    });
    let known = *revisions.borrow_and_update();
    if after.is_some_and(|after| after >= known) {
        let mut hold_until = now + hold;
        // If the objects may get too old during the hold, it is checked then whether they have been
        // confirmed in the meantime.
        if serve_until < hold_until {
            let changed = wait_for_change(&host, &mut revisions, serve_until).await;
            if changed {
                hold_until = now;
            } else if host.mirrors.subscribe(&kind, host.clock.now()).is_none() {
                return Err(unavailable);
            }
        }
        wait_for_change(&host, &mut revisions, hold_until).await;
    }
    let response = host.mirrors.response(&kind, after, host.clock.now());
    response.map(to_http).ok_or(unavailable)
}

fn to_http(response: MirroredChanges) -> Response<Body> {
    let parts = response.into_parts().into_iter();
    let body = Body::from_stream(stream::iter(parts.map(Ok::<_, Infallible>)));
    let mut response = Response::new(body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Waits until the mirrored objects change, at most until `deadline`. Returns whether they did.
async fn wait_for_change(
    host: &EntryHost,
    revisions: &mut watch::Receiver<StoreRevision>,
    deadline: Timestamp,
) -> bool {
    let deadline = host.clock.instant(deadline);
    let changed = tokio::time::timeout_at(deadline.into(), revisions.changed()).await;
    let is_changed = matches!(changed, Ok(Ok(())));
    if is_changed {
        tokio::time::sleep(BATCH_DELAY).await;
    }
    is_changed
}
