//! Serves platform objects that this entry host has read to the other entry hosts of its failure
//! domain.
//!
//! An entry host is a reverse proxy between callers and backend servers. The platform is the
//! external system that stores the configuration, the announcements of servers and the list of
//! hosts as named objects.
//!
//! Calls to the platform are paid for, and their number would grow with the number of hosts.
//! Therefore, in a large failure domain, two hosts read each kind of object from the platform and
//! mirror it: the other hosts read from these mirror hosts over HTTP. A mirror host serves a kind
//! only while it can read the kind from the platform. Its responses state the age of the objects,
//! so that other hosts do not take old state for current state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;

use super::host::EntryHost;
use super::source::Change;
use super::source::Object;
use crate::time::Timestamp;

/// Changes kept per kind: more than a burst on the platform brings between two requests of a host.
/// A host that lacks older changes gets all objects instead.
const CHANGES_MAX: usize = 512;
/// How long a change is held back so that later ones go out in the same response. Servers announce
/// themselves every second, each at another time, and a response costs both hosts more than the
/// changes in it.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a request is held, whatever hold time it asks for.
const HOLD_MAX: Duration = Duration::from_secs(10);

/// Mirrored objects of one kind.
#[derive(Debug)]
struct Mirror {
    /// Content of all objects by name.
    objects: BTreeMap<CompactString, Value>,
    /// Latest changes with their revisions, oldest first.
    changes: VecDeque<(u64, Change)>,
    /// Revision after which all changes are in `changes`.
    since: u64,
    /// Revision up to which `objects` is complete.
    revision: u64,
    /// Time at which the objects were known to be current on the platform.
    confirmed_at: Timestamp,
    /// Whether other hosts may read the objects here: the last call succeeded, and it was to the
    /// platform itself.
    is_served: bool,
    /// Wakes held requests when `revision` or `is_served` changes.
    revision_sender: watch::Sender<u64>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            since: 0,
            revision: 0,
            confirmed_at: Timestamp::ZERO,
            is_served: false,
            revision_sender: watch::Sender::new(0),
        }
    }
}

/// Response of a mirror host, as JSON: the objects of a kind, or their changes.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ObjectsResponse {
    /// Revision up to which the response is complete.
    pub(crate) revision: u64,
    /// Time since these objects were last known to be current on the platform, microseconds.
    pub(crate) age_micros: u64,
    /// Whether `changes` holds all objects instead of the changes after the requested revision.
    pub(crate) is_full: bool,
    /// Changes in order; only `Set` if `is_full`.
    pub(crate) changes: Vec<Change>,
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
    pub(crate) fn on_listed(&self, kind: &'static str, objects: &[Object], revision: u64) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        let pairs = objects.iter().map(|o| (o.name.clone(), o.spec.clone()));
        mirror.objects = pairs.collect();
        mirror.changes.clear();
        mirror.since = revision;
        mirror.revision = revision;
        mirror.revision_sender.send_replace(revision);
    }

    /// Applies changes that are complete up to `revision`.
    pub(crate) fn on_changed(&self, kind: &'static str, changes: &[Change], revision: u64) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        for change in changes {
            match change {
                Change::Set(object) => {
                    let spec = object.spec.clone();
                    mirror.objects.insert(object.name.clone(), spec);
                }
                Change::Removed(name) => drop(mirror.objects.remove(name)),
            }
            mirror.changes.push_back((revision, change.clone()));
        }
        while mirror.changes.len() > CHANGES_MAX {
            mirror.since = mirror.changes.pop_front().map_or(revision, |(at, _)| at);
        }
        mirror.revision = revision;
        if !changes.is_empty() {
            mirror.revision_sender.send_replace(revision);
        }
    }

    /// Records that the objects were current at `at`. They are served only if `is_direct`, that is
    /// if they were read from the platform and not from another mirror host.
    pub(crate) fn confirm(&self, kind: &'static str, at: Timestamp, is_direct: bool) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        mirror.confirmed_at = mirror.confirmed_at.max(at);
        mirror.is_served = is_direct;
    }

    /// Stops serving a kind whose objects can no longer be read.
    pub(crate) fn on_lost(&self, kind: &'static str) {
        if let Some(mirror) = self.kinds().get_mut(kind) {
            mirror.is_served = false;
            // Ends held requests with an error, so that the asking hosts turn to another mirror
            // host.
            mirror.revision_sender.send_modify(|_| {});
        }
    }

    /// A receiver that is notified of changes to a kind, `None` if the kind is not served here.
    fn subscribe(&self, kind: &str) -> Option<watch::Receiver<u64>> {
        let kinds = self.kinds();
        let mirror = kinds.get(kind).filter(|mirror| mirror.is_served)?;
        Some(mirror.revision_sender.subscribe())
    }

    /// The changes after a revision, or all objects if `after` is `None` or the changes after it
    /// are no longer kept. `None` if the kind is not served here.
    fn response(&self, kind: &str, after: Option<u64>, now: Timestamp) -> Option<ObjectsResponse> {
        let kinds = self.kinds();
        let mirror = kinds.get(kind).filter(|mirror| mirror.is_served)?;
        let known = after.filter(|after| (mirror.since..=mirror.revision).contains(after));
        let changes = match known {
            Some(after) => {
                let newer = mirror.changes.iter().filter(|(at, _)| *at > after);
                newer.map(|(_, change)| change.clone()).collect()
            }
            None => mirror.objects.iter().map(to_set).collect(),
        };
        let age = now.since(mirror.confirmed_at);
        Some(ObjectsResponse {
            revision: mirror.revision,
            age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            is_full: known.is_none(),
            changes,
        })
    }
}

/// The `Set` change that creates an object.
fn to_set((name, spec): (&CompactString, &Value)) -> Change {
    Change::Set(Object {
        name: name.clone(),
        spec: spec.clone(),
    })
}

/// Query parameters of a request for objects.
#[derive(Deserialize)]
struct ObjectsQuery {
    /// Revision that the asking host knows; without it all objects are sent.
    after: Option<u64>,
    /// How long to hold the request if there are no changes.
    hold_ms: Option<u64>,
}

/// HTTP routes on which the objects are served to other hosts.
pub(crate) fn router(host: Arc<EntryHost>) -> Router {
    Router::new()
        .route("/objects/{kind}", get(serve_objects))
        .with_state(host)
}

/// Path and query of a request for all objects of a kind or for the changes after a revision.
pub(crate) fn objects_path(kind: &str, after: Option<u64>, hold: Duration) -> String {
    match after {
        None => format!("/objects/{kind}"),
        Some(after) => format!("/objects/{kind}?after={after}&hold_ms={}", hold.as_millis()),
    }
}

/// Answers a request for objects. The request is held if it asks for the changes after a revision
/// and there are none yet, until there are some or its hold time is over. The status is 503 if the
/// kind is not served here.
async fn serve_objects(
    State(host): State<Arc<EntryHost>>,
    Path(kind): Path<String>,
    Query(query): Query<ObjectsQuery>,
) -> Result<Json<ObjectsResponse>, StatusCode> {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let mut revisions = host.mirrors.subscribe(&kind).ok_or(unavailable)?;
    let hold = Duration::from_millis(query.hold_ms.unwrap_or(0)).min(HOLD_MAX);
    let known = *revisions.borrow_and_update();
    let is_current = query.after.is_some_and(|after| after >= known);
    if is_current && let Ok(Ok(())) = tokio::time::timeout(hold, revisions.changed()).await {
        tokio::time::sleep(BATCH_DELAY).await;
    }
    let response = host.mirrors.response(&kind, query.after, host.clock.now());
    response.map(Json).ok_or(unavailable)
}
