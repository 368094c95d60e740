//! Follows the platform's objects of one kind: lists them first, then watches for changes.
//!
//! The platform is the external system that stores the configuration, the announcements of backend
//! servers and the list of entry hosts as named objects. An entry host, here just host, is a
//! reverse proxy between callers and backend servers.
//!
//! A list gives all objects and the revision of the platform at that moment. A watch is a long
//! poll: the call is held until there are changes after a given revision, or until its hold time is
//! over. After an error the objects are listed again, with increasing pauses.
//!
//! To save paid calls to the platform, a host of a large failure domain follows a *mirror host*
//! instead: another host of the domain that reads the objects from the platform and serves them
//! (see `mirror`). If no mirror host serves them, it calls the platform itself. After each
//! successful call [`Update::Confirmed`] states at which time the objects were known to be current,
//! so that decisions can require recent state.

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
use crate::platform::HttpClient;
use crate::time::Clock;
use crate::time::Timestamp;

/// First pause after a failed call: about twenty times the response time of the platform.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Longer pauses save calls, each of which is paid for, but a
/// host that was cut off must be up to date again well within the two seconds that a configuration
/// may take to reach it.
const RETRY_MAX: Duration = Duration::from_millis(600);
/// Longest pause of a host that has mirror hosts. While the platform is unreachable, mirror hosts
/// do not serve its objects either, so each host tries them in vain. Shorter pauses would multiply
/// these failing calls.
const MIRRORED_RETRY_MAX: Duration = Duration::from_millis(2_000);
/// How long a mirror host holds a watch. If a mirror host fails, the next one must be asked within
/// the two seconds that a configuration may take.
const MIRROR_HOLD: Duration = Duration::from_millis(700);
/// Timeouts for calls to mirror hosts, which are a fraction of a millisecond away in the same
/// failure domain. The hold time of a watch is added to the call timeout.
const MIRROR_CALL_OPTIONS: CallOptions = CallOptions {
    connect_timeout: Duration::from_millis(200),
    call_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(5),
};
/// Objects that a mirror host has not confirmed for this time are not used. It covers two holds of
/// the mirror host's own watch, of 1.5 s for the configuration, and a response.
const MIRROR_AGE_MAX: Duration = Duration::from_millis(3_500);
/// How long a mirror host is not asked again after a failed call.
const MIRROR_RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Why a call to the platform or to a mirror host failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The platform no longer has the changes after the requested revision; the objects must be
    /// listed again.
    #[snafu(display("changes after the requested revision are no longer available"))]
    HistoryGone,
    /// The response has an error status.
    #[snafu(display("unexpected status {status}"))]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// No usable response arrived: the call failed, or a mirror host's objects are too old.
    #[snafu(display("{reason}"))]
    NoResponse {
        /// Error of the call.
        reason: String,
    },
    /// The body of the response cannot be parsed.
    #[snafu(display("cannot parse response: {reason}"))]
    Unreadable {
        /// Error of the parser.
        reason: String,
    },
}

/// An object as stored on the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Name, unique in its kind; empty if objects of the kind have no name.
    pub name: CompactString,
    /// Content, in the format of the platform.
    pub spec: Value,
}

/// Result of a list call: all objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The objects, in no particular order.
    pub objects: Vec<Object>,
    /// Revision of the platform at which the list was made.
    pub revision: u64,
}

/// A change to an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// The object was created or replaced.
    Set(Object),
    /// The object of this name was removed.
    Removed(CompactString),
}

/// Result of a watch call: the changes after a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// The changes in order; empty if the hold time passed without any.
    pub changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
}

/// Future of a list call.
pub type ListFuture = BoxFuture<'static, Result<Listing, SourceError>>;
/// Future of a watch call.
pub type WatchFuture = BoxFuture<'static, Result<Changes, SourceError>>;
/// Parses an object from its name and content; the error is a message for the log.
pub type Decode<T> = Box<dyn Fn(&str, &Value) -> Result<T, String> + Send + Sync>;

/// Functions with which objects of one kind are read from the platform.
pub struct Source<T> {
    /// Name of the kind, used in logs and in requests to mirror hosts.
    pub kind: &'static str,
    /// How long the platform may hold a watch call that has no changes to report.
    pub hold: Duration,
    /// Lists all objects.
    pub list: Box<dyn Fn() -> ListFuture + Send + Sync>,
    /// Watches for changes after a revision, held for at most the given time.
    pub watch: Box<dyn Fn(u64, Duration) -> WatchFuture + Send + Sync>,
    /// Parses an object.
    pub decode: Decode<T>,
}

/// A parsed object, or the reason why it cannot be parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<T> {
    /// Name of the platform object.
    pub name: CompactString,
    /// Parsed content, or an error message.
    pub value: Result<T, String>,
}

/// An event for the owner of a followed source.
#[derive(Clone, Debug, PartialEq)]
pub enum Update<T> {
    /// The complete set of objects; replaces all earlier ones.
    Listed(Vec<Item<T>>),
    /// An object was created or replaced on the platform.
    Set(Item<T>),
    /// The object of this name was removed from the platform.
    Removed(CompactString),
    /// The updates so far reflect the platform's state at this time or later.
    Confirmed(Timestamp),
    /// The objects can no longer be read, neither from a mirror host nor from the platform, or
    /// could not be read from the start. Sent once per outage.
    Lost,
    /// The objects can be read again after `Lost`.
    Regained,
}

/// Result of one list or watch call to the platform or to a mirror host.
struct Fetched {
    content: Content,
    /// Revision up to which `content` is complete.
    revision: u64,
    /// Time at which the objects were known to be current.
    confirmed_at: Timestamp,
}

impl Fetched {
    /// Whether there are changes after the requested revision. A list of all objects has none.
    fn has_changes(&self) -> bool {
        match &self.content {
            Content::All(_) => false,
            Content::Changes(changes) => !changes.is_empty(),
        }
    }
}

enum Content {
    /// All objects of the kind.
    All(Vec<Object>),
    /// Changes after the requested revision.
    Changes(Vec<Change>),
}

/// A host of the same failure domain that reads the objects from the platform and serves them.
struct MirrorHost {
    address: SocketAddr,
    http: HttpClient,
    /// Time until which it is not asked, because the last call to it failed.
    retry_at: Timestamp,
}

/// State of [`follow`] for one source.
struct Follower<T> {
    host: Arc<EntryHost>,
    source: Source<T>,
    /// Hosts to ask in order; empty if this host reads from the platform itself.
    mirror_hosts: Vec<MirrorHost>,
    /// Revision up to which the objects are known here; `None` if the next call has to list all.
    revision: Option<u64>,
}

/// Follows a source and passes each update to `on_update`, until the task is dropped. After changes
/// read from the platform itself it waits for `batch_interval`, so that the next call returns all
/// changes made in the meantime.
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
                    info!(target: "platform", kind = kind; "platform objects are readable again");
                    on_update(Update::Regained);
                }
                backoff.reset();
                mirrored_backoff.reset();
                let has_changes = fetched.has_changes();
                follower.apply(fetched, is_direct, &mut on_update);
                if is_direct && has_changes {
                    tokio::time::sleep(batch_interval).await;
                }
            }
            Err(SourceError::HistoryGone) => {
                info!(target: "platform", kind = kind, after = follower.revision;
                    "changes after the known revision are gone; listing all objects");
                follower.revision = None;
            }
            Err(err) => {
                follower.host.mirrors.on_lost(kind);
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(target: "platform", kind = kind, reason = err.to_string();
                        "cannot read platform objects");
                    on_update(Update::Lost);
                }
                // The platform answers a list call at once, but holds a watch call. A list
                // therefore shows sooner that the platform is reachable again.
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
    /// Makes one call: to the mirror hosts in order until one serves the objects, or else to the
    /// platform. The flag is true if the result is from the platform itself.
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
                        "mirror host does not serve the objects");
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

    /// Replaces the mirror hosts if their addresses have changed. Otherwise their connections and
    /// retry times are kept.
    fn update_mirror_hosts(&mut self) {
        let addresses = self.host.link.mirror_hosts(self.source.kind);
        if self
            .mirror_hosts
            .iter()
            .map(|mirror_host| mirror_host.address)
            .eq(addresses.iter().copied())
        {
            return;
        }
        let mirror_host = |address| MirrorHost {
            address,
            http: HttpClient::new(address, MIRROR_CALL_OPTIONS),
            retry_at: Timestamp::ZERO,
        };
        self.mirror_hosts = addresses.into_iter().map(mirror_host).collect();
    }

    /// Passes the fetched objects to this host's mirror and, parsed, to `on_update`.
    fn apply(&mut self, fetched: Fetched, is_direct: bool, on_update: &mut impl FnMut(Update<T>)) {
        let kind = self.source.kind;
        let mirrors = &self.host.mirrors;
        let decode = &self.source.decode;
        let parse = |object: &Object| Item {
            name: object.name.clone(),
            value: decode(&object.name, &object.spec),
        };
        self.revision = Some(fetched.revision);
        match fetched.content {
            Content::All(objects) => {
                mirrors.on_listed(kind, &objects, fetched.revision);
                on_update(Update::Listed(objects.iter().map(parse).collect()));
            }
            Content::Changes(changes) => {
                mirrors.on_changed(kind, &changes, fetched.revision);
                for change in changes {
                    on_update(match change {
                        Change::Set(object) => Update::Set(parse(&object)),
                        Change::Removed(name) => Update::Removed(name),
                    });
                }
            }
        }
        mirrors.confirm(kind, fetched.confirmed_at, is_direct);
        on_update(Update::Confirmed(fetched.confirmed_at));
    }
}

/// Lists all objects. `sent` is the time of the call: the list is at least as recent.
async fn list<T>(source: &Source<T>, sent: Timestamp) -> Result<Fetched, SourceError> {
    let listing = (source.list)().await?;
    Ok(Fetched {
        content: Content::All(listing.objects),
        revision: listing.revision,
        confirmed_at: sent,
    })
}

/// Watches for changes after a revision. `sent` is the time of the call.
async fn watch<T>(
    source: &Source<T>,
    sent: Timestamp,
    clock: Clock,
    after: u64,
) -> Result<Fetched, SourceError> {
    let changes = (source.watch)(after, source.hold).await?;
    let confirmed_at = match changes.changes.is_empty() {
        // Without changes the platform answers at the end of the hold, so its state is confirmed
        // for that time. The time of arrival would be too late: the response may have been delayed.
        true => (sent + source.hold).min(clock.now()),
        false => sent,
    };
    Ok(Fetched {
        content: Content::Changes(changes.changes),
        revision: changes.revision,
        confirmed_at,
    })
}

/// Reads objects from a mirror host: all of them, or the changes after a revision.
///
/// The clocks of two hosts cannot be compared, so the mirror host states the age of its objects.
/// The age is subtracted from the earliest time by this host's clock at which the response can have
/// been made.
async fn fetch_from_mirror(
    mirror_host: &MirrorHost,
    kind: &str,
    after: Option<u64>,
    clock: Clock,
) -> Result<Fetched, SourceError> {
    let sent = clock.now();
    let path = objects_path(kind, after, MIRROR_HOLD);
    let no_response = |reason: String| SourceError::NoResponse { reason };
    let req = Request::get(mirror_host.http.uri(&path))
        .body(Full::default())
        .map_err(|err| no_response(err.to_string()))?;
    let reply = mirror_host.http.call_long_poll(req, MIRROR_HOLD).await;
    let reply = reply.map_err(|err| no_response(err.to_string()))?;
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
        return Err(no_response(format!(
            "objects are {} ms old",
            age.as_millis()
        )));
    }
    // The response was made after the request was sent, and, if it has no changes, at the end of
    // the hold.
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

/// The object of a `Set` change; full responses contain no other changes.
fn into_object(change: Change) -> Option<Object> {
    match change {
        Change::Set(object) => Some(object),
        Change::Removed(_) => None,
    }
}
