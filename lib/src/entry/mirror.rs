//! Objects of the platform that a host has read, served to the other hosts of its failure domain.
//!
//! Answers the cost of calls to the platform, which would grow with the number of hosts: two hosts
//! of a failure domain read each kind of object, the others ask them. A host serves only what it
//! reads from the platform itself, and says how old that is, so that no host takes old state for
//! new.

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

/// Changes that are kept for hosts that ask for what is new: more than a platform's burst of
/// changes between two questions.
const CHANGES_MAX: usize = 512;
/// How long news waits for more: servers announce themselves every second, each at another time,
/// and each answer costs both hosts more than the news that it holds.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest hold of a question, so that a host that asks for more does not keep it forever.
const HOLD_MAX: Duration = Duration::from_secs(10);

/// Objects of one kind.
#[derive(Debug)]
struct Mirror {
    objects: BTreeMap<CompactString, Value>,
    changes: VecDeque<(u64, Change)>,
    /// Changes after this revision are kept.
    since: u64,
    revision: u64,
    confirmed_at: Timestamp,
    /// Whether the objects come from the platform itself, and it answers.
    is_served: bool,
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

/// What a host tells another of objects of a kind.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ObjectsResponse {
    /// Revision up to which it goes.
    pub(crate) revision: u64,
    /// How long ago the host knew these objects to be the newest, microseconds.
    pub(crate) age_micros: u64,
    /// All objects are in it, not only changed ones.
    pub(crate) is_full: bool,
    /// Changes in order.
    pub(crate) changes: Vec<Change>,
}

/// Objects by kind.
#[derive(Debug, Default)]
pub(crate) struct Mirrors {
    kinds: Mutex<HashMap<&'static str, Mirror>>,
}

impl Mirrors {
    fn kinds(&self) -> MutexGuard<'_, HashMap<&'static str, Mirror>> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All objects have been listed.
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

    /// Objects have changed.
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

    /// The objects are those of the platform at `at`, read from it directly or not.
    pub(crate) fn confirm(&self, kind: &'static str, at: Timestamp, is_direct: bool) {
        let mut kinds = self.kinds();
        let mirror = kinds.entry(kind).or_default();
        mirror.confirmed_at = mirror.confirmed_at.max(at);
        mirror.is_served = is_direct;
    }

    /// The platform does not answer.
    pub(crate) fn on_lost(&self, kind: &'static str) {
        if let Some(mirror) = self.kinds().get_mut(kind) {
            mirror.is_served = false;
            // Whoever waits is to ask elsewhere.
            mirror.revision_sender.send_modify(|_| {});
        }
    }

    /// Tells when there is something new, `None` if the kind is not served here.
    fn subscribe(&self, kind: &str) -> Option<watch::Receiver<u64>> {
        let kinds = self.kinds();
        let mirror = kinds.get(kind).filter(|mirror| mirror.is_served)?;
        Some(mirror.revision_sender.subscribe())
    }

    /// Objects after a revision, or all, `None` if the kind is not served here.
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

fn to_set((name, spec): (&CompactString, &Value)) -> Change {
    Change::Set(Object {
        name: name.clone(),
        spec: spec.clone(),
    })
}

#[derive(Deserialize)]
struct ObjectsQuery {
    after: Option<u64>,
    hold_ms: Option<u64>,
}

/// Serves the objects to other hosts.
pub(crate) fn router(host: Arc<EntryHost>) -> Router {
    Router::new()
        .route("/objects/{kind}", get(serve_objects))
        .with_state(host)
}

/// Path of the objects of a kind after a revision.
pub(crate) fn objects_path(kind: &str, after: Option<u64>, hold: Duration) -> String {
    match after {
        None => format!("/objects/{kind}"),
        Some(after) => format!("/objects/{kind}?after={after}&hold_ms={}", hold.as_millis()),
    }
}

/// Answers a question at once if there is something new, or else at the end of the hold.
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
