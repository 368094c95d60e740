//! Objects of the platform that a host follows: a list first, then the changes after it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

use super::host::EntryHost;
use super::mirror::ObjectsResponse;
use super::mirror::objects_path;
use crate::platform::Backoff;
use crate::platform::CallOptions;
use crate::platform::HttpCaller;
use crate::time::Clock;
use crate::time::Timestamp;

/// First pause after a failed call: about twenty answer times of the platform.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Every call is paid for, and a host that is cut off must be
/// current again well within the two seconds that a configuration may take.
const RETRY_MAX: Duration = Duration::from_millis(600);
/// Longest pause of a host that has others to ask for the platform's objects: all of them fail
/// together while the platform is away.
const MIRRORED_RETRY_MAX: Duration = Duration::from_millis(2_000);
/// How long another host holds a question. It must fail, and the next host be asked, within the
/// two seconds that a configuration may take.
const MIRROR_HOLD: Duration = Duration::from_millis(700);
/// Limits of questions to other hosts of the failure domain, a fraction of a millisecond away.
const MIRROR_CALL_OPTIONS: CallOptions = CallOptions {
    connect_timeout: Duration::from_millis(200),
    call_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(5),
};
/// Age from which another host's objects are not taken: two holds of its watch, and an answer.
const MIRROR_AGE_MAX: Duration = Duration::from_millis(3_500);
/// How long a host that did not answer a question is not asked again.
const MIRROR_RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The changes after the revision are no longer known.
    #[snafu(display("the history after the revision is gone"))]
    HistoryGone,
    /// The answer has a status that brings nothing.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// No answer came.
    #[snafu(display("{reason}"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
    /// The answer cannot be read.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// A named object as the platform holds it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Name, empty if the object has none.
    pub name: CompactString,
    /// What it holds.
    pub spec: Value,
}

/// All objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// Revision at which they were listed.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// It was created or replaced.
    Set(Object),
    /// It was removed.
    Removed(CompactString),
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// The changes in order, none if the wait ended without.
    pub changes: Vec<Change>,
    /// Revision up to which they go.
    pub revision: u64,
}

/// Answer to a list call, to come.
pub type ListFuture = BoxFuture<'static, Result<Listing, SourceError>>;
/// Answer to a watch call, to come.
pub type WatchFuture = BoxFuture<'static, Result<Changes, SourceError>>;
/// Reads an object by its name and what it holds.
pub type Decode<T> = Box<dyn Fn(&str, &Value) -> Result<T, String> + Send + Sync>;

/// Calls that read the objects of one kind.
pub struct Source<T> {
    /// What the objects are, for logs and other hosts.
    pub kind: &'static str,
    /// Longest time that a watch call is held.
    pub hold: Duration,
    /// Lists all objects.
    pub list: Box<dyn Fn() -> ListFuture + Send + Sync>,
    /// Waits at most so long for changes after a revision.
    pub watch: Box<dyn Fn(u64, Duration) -> WatchFuture + Send + Sync>,
    /// Reads an object.
    pub decode: Decode<T>,
}

/// An object that was read, or why it cannot be.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<T> {
    /// Name of the object.
    pub name: CompactString,
    /// What it says.
    pub value: Result<T, String>,
}

/// What following a source brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Update<T> {
    /// All objects.
    Listed(Vec<Item<T>>),
    /// An object was created or replaced.
    Set(Item<T>),
    /// An object was removed.
    Removed(CompactString),
    /// The objects known are those that there were at this time, or later.
    Confirmed(Timestamp),
    /// The platform does not answer.
    Lost,
    /// The platform answers again.
    Regained,
}

/// What one call brought.
struct Fetched {
    content: Content,
    revision: u64,
    confirmed_at: Timestamp,
}

impl Fetched {
    fn has_changes(&self) -> bool {
        match &self.content {
            Content::All(_) => false,
            Content::Changes(changes) => !changes.is_empty(),
        }
    }
}

enum Content {
    All(Vec<Object>),
    Changes(Vec<Change>),
}

/// Another host that reads the platform.
struct MirrorHost {
    address: SocketAddr,
    http: HttpCaller,
    retry_at: Timestamp,
}

/// Follows the objects of one kind, from the platform or from hosts that read it.
struct Follower<T> {
    host: Arc<EntryHost>,
    source: Source<T>,
    mirror_hosts: Vec<MirrorHost>,
    revision: Option<u64>,
}

/// Follows a source until the task is dropped. After news from the platform it waits for `batch_interval`, so
/// that one call brings all the news of that time.
pub(crate) async fn follow<T>(
    source: Source<T>,
    batch_interval: Duration,
    host: Arc<EntryHost>,
    mut on_update: impl FnMut(Update<T>),
) {
    let kind = source.kind;
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MAX);
    let mut mirrored_backoff = Backoff::new(RETRY_FIRST, MIRRORED_RETRY_MAX);
    let mut is_lost = false;
    let mut follower = Follower {
        host,
        source,
        mirror_hosts: Vec::new(),
        revision: None,
    };
    loop {
        match follower.fetch().await {
            Ok((fetched, is_direct)) => {
                if std::mem::take(&mut is_lost) {
                    info!(target: "platform", kind = kind; "regained");
                    on_update(Update::Regained);
                }
                backoff.reset();
                mirrored_backoff.reset();
                let has_changes = fetched.has_changes();
                follower.take(fetched, is_direct, &mut on_update);
                if is_direct && has_changes {
                    tokio::time::sleep(batch_interval).await;
                }
            }
            Err(SourceError::HistoryGone) => {
                info!(target: "platform", kind = kind, after = follower.revision; "history gone");
                follower.revision = None;
            }
            Err(err) => {
                follower.host.mirrors.on_lost(kind);
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(target: "platform", kind = kind, reason = err.to_string(); "lost");
                    on_update(Update::Lost);
                }
                // A list is answered at once, and shows sooner than a watch that all is well.
                follower.revision = None;
                let pause = match follower.mirror_hosts.is_empty() {
                    true => backoff.next_delay(),
                    false => mirrored_backoff.next_delay(),
                };
                tokio::time::sleep(pause).await;
            }
        }
    }
}

impl<T> Follower<T> {
    /// Makes one call: to a reader if there is one that answers, or else to the platform.
    async fn fetch(&mut self) -> Result<(Fetched, bool), SourceError> {
        self.update_mirror_hosts();
        let after = self.revision;
        let clock = self.host.clock;
        for mirror_host in &mut self.mirror_hosts {
            let now = clock.now();
            if !mirror_host.retry_at.has_passed(now) {
                continue;
            }
            match fetch_from_mirror(mirror_host, self.source.kind, after, clock).await {
                Ok(fetched) => return Ok((fetched, false)),
                Err(err) => {
                    info!(target: "platform", kind = self.source.kind,
                        peer = mirror_host.address.to_string(), reason = err.to_string();
                        "reader does not serve");
                    mirror_host.retry_at = clock.now() + MIRROR_RETRY_PAUSE;
                }
            }
        }
        let sent = clock.now();
        let fetched = match after {
            None => list(&self.source, sent).await?,
            Some(after) => watch(&self.source, sent, clock, after).await?,
        };
        Ok((fetched, true))
    }

    /// Keeps what is known of readers that stay.
    fn update_mirror_hosts(&mut self) {
        let addresses = self.host.link.mirror_hosts(self.source.kind);
        if self
            .mirror_hosts
            .iter()
            .map(|r| r.address)
            .eq(addresses.iter().copied())
        {
            return;
        }
        let mirror_host = |address| MirrorHost {
            address,
            http: HttpCaller::new(address, MIRROR_CALL_OPTIONS),
            retry_at: Timestamp::ZERO,
        };
        self.mirror_hosts = addresses.into_iter().map(mirror_host).collect();
    }

    fn take(&mut self, fetched: Fetched, is_direct: bool, on_update: &mut impl FnMut(Update<T>)) {
        let kind = self.source.kind;
        let mirrors = &self.host.mirrors;
        let decode = &self.source.decode;
        let read = |object: &Object| Item {
            name: object.name.clone(),
            value: decode(&object.name, &object.spec),
        };
        self.revision = Some(fetched.revision);
        match fetched.content {
            Content::All(objects) => {
                mirrors.on_listed(kind, &objects, fetched.revision);
                on_update(Update::Listed(objects.iter().map(read).collect()));
            }
            Content::Changes(changes) => {
                mirrors.on_changed(kind, &changes, fetched.revision);
                for change in changes {
                    on_update(match change {
                        Change::Set(object) => Update::Set(read(&object)),
                        Change::Removed(name) => Update::Removed(name),
                    });
                }
            }
        }
        mirrors.confirm(kind, fetched.confirmed_at, is_direct);
        on_update(Update::Confirmed(fetched.confirmed_at));
    }
}

async fn list<T>(source: &Source<T>, sent: Timestamp) -> Result<Fetched, SourceError> {
    let listing = (source.list)().await?;
    Ok(Fetched {
        content: Content::All(listing.objects),
        revision: listing.revision,
        confirmed_at: sent,
    })
}

async fn watch<T>(
    source: &Source<T>,
    sent: Timestamp,
    clock: Clock,
    after: u64,
) -> Result<Fetched, SourceError> {
    let changes = (source.watch)(after, source.hold).await?;
    let confirmed_at = match changes.changes.is_empty() {
        // The platform answered no sooner than the end of the hold, but the answer may have been
        // on its way for long.
        true => (sent + source.hold).min(clock.now()),
        false => sent,
    };
    Ok(Fetched {
        content: Content::Changes(changes.changes),
        revision: changes.revision,
        confirmed_at,
    })
}

/// Asks another host for what it has read.
async fn fetch_from_mirror(
    mirror_host: &MirrorHost,
    kind: &str,
    after: Option<u64>,
    clock: Clock,
) -> Result<Fetched, SourceError> {
    let sent = clock.now();
    let path = objects_path(kind, after, MIRROR_HOLD);
    let no_answer = |reason: String| SourceError::NoAnswer { reason };
    let req = Request::get(mirror_host.http.uri(&path))
        .body(Full::default())
        .map_err(|err| no_answer(err.to_string()))?;
    let reply = mirror_host.http.call_waiting(req, MIRROR_HOLD).await;
    let reply = reply.map_err(|err| no_answer(err.to_string()))?;
    if reply.status != StatusCode::OK {
        let status = reply.status.as_u16();
        return Err(SourceError::Status { status });
    }
    let response: ObjectsResponse =
        serde_json::from_slice(&reply.body).map_err(|err| SourceError::Unreadable {
            reason: err.to_string(),
        })?;
    let age = Duration::from_micros(response.age_micros);
    if age > MIRROR_AGE_MAX {
        return Err(no_answer(format!("objects are {} ms old", age.as_millis())));
    }
    // The page was made after the question was sent, at the end of the hold if nothing is new.
    let is_held = after.is_some() && response.changes.is_empty() && !response.is_full;
    let made_at = match is_held {
        true => (sent + MIRROR_HOLD).min(clock.now()),
        false => sent,
    };
    let before = made_at.since(Timestamp::ZERO).saturating_sub(age);
    Ok(Fetched {
        revision: response.revision,
        confirmed_at: Timestamp::ZERO + before,
        content: match response.is_full {
            true => Content::All(
                response
                    .changes
                    .into_iter()
                    .filter_map(into_object)
                    .collect(),
            ),
            false => Content::Changes(response.changes),
        },
    })
}

fn into_object(change: Change) -> Option<Object> {
    match change {
        Change::Set(object) => Some(object),
        Change::Removed(_) => None,
    }
}
