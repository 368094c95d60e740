//! Follows one kind of the platform's objects on one host.
//!
//! The hosts of a failure domain are ranked for each kind. The first one reads the kind from the
//! platform. The second one reads it from the first one, and the others read it from the first one
//! or else from the second one. A host whose mirror hosts do not serve the kind reads it from the
//! platform: the second one at once, the others after a while, so that the second one can take over
//! before all of them call the platform. No election is needed, and the number of calls to the
//! platform does not grow with the number of hosts in a failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use log::info;
use log::warn;

use super::Acceptance;
use super::CallPacing;
use super::Change;
use super::FollowPosition;
use super::Item;
use super::Object;
use super::Source;
use super::SourceError;
use super::StoreRevision;
use super::Update;
use crate::entry::host::EntryHost;
use crate::entry::mirror::ObjectsResponse;
use crate::entry::mirror::objects_path;
use crate::platform::CallOptions;
use crate::platform::HttpClient;
use crate::time::Timestamp;

/// Timeouts for calls to mirror hosts, which are a fraction of a millisecond away in the same
/// failure domain. The hold time of a watch is added to the call timeout.
const MIRROR_CALL_OPTIONS: CallOptions = CallOptions {
    connect_timeout: Duration::from_millis(200),
    call_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(5),
};
/// How long a mirror host is not asked again after a call to it failed.
const MIRROR_FAILED_PAUSE: Duration = Duration::from_secs(3);
/// Pause after which mirror hosts are asked again if none of them serves the objects.
const NOT_SERVED_PAUSE: Duration = Duration::from_millis(150);
/// How long mirror hosts have not served the objects before a host that has two of them calls the
/// platform: the second one takes over meanwhile.
const DIRECT_DELAY: Duration = Duration::from_millis(400);
/// How long no mirror host has served the objects before they count as lost.
const LOST_DELAY: Duration = Duration::from_secs(1);
/// Longest pause before a follower looks whether the platform may be called again.
const GATE_PAUSE_MAX: Duration = Duration::from_millis(200);

/// Result of one list or watch call to the platform or to a mirror host.
struct Fetched {
    content: Content,
    /// Position up to which `content` is complete.
    revision: StoreRevision,
    /// Time at which the objects were known to be current.
    confirmed_at: Timestamp,
    /// Whether the result is from the platform itself.
    is_direct: bool,
}

enum Content {
    /// All objects of the kind.
    All(Vec<Object>),
    /// Changes after the requested position.
    Changes(Vec<Change>),
}

impl Content {
    fn is_full(&self) -> bool {
        matches!(self, Self::All(_))
    }

    /// Whether there are changes after the requested position. A list of all objects has none.
    fn has_changes(&self) -> bool {
        match self {
            Self::All(_) => false,
            Self::Changes(changes) => !changes.is_empty(),
        }
    }
}

/// A host of the same failure domain that serves the objects.
struct MirrorHost {
    address: SocketAddr,
    http: HttpClient,
    /// Time until which it is not asked, because the last call to it failed.
    retry_at: Timestamp,
    /// Whether it served the objects when it was asked last.
    is_serving: bool,
}

/// State of [`follow`] for one source.
struct Follower<T> {
    host: Arc<EntryHost>,
    source: Source<T>,
    /// Hosts to ask in order; empty if this host reads from the platform itself.
    mirror_hosts: Vec<MirrorHost>,
    position: FollowPosition,
    /// Delays calls to the platform while its answers are of no use.
    pacing: CallPacing,
    /// Since when no mirror host has served the objects, `None` while one does.
    unserved_since: Option<Timestamp>,
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
    let mut is_lost = false;
    let mut follower = Follower {
        host,
        source,
        mirror_hosts: Vec::new(),
        position: FollowPosition::default(),
        pacing: CallPacing::default(),
        unserved_since: None,
    };
    loop {
        match follower.fetch().await {
            Ok(fetched) => {
                if std::mem::take(&mut is_lost) {
                    info!(target: "platform", kind = kind; "platform objects are readable again");
                    on_update(Update::Regained);
                }
                let is_changed = fetched.content.has_changes();
                let is_direct = fetched.is_direct;
                follower.apply(fetched, &mut on_update);
                if is_direct && is_changed {
                    tokio::time::sleep(batch_interval).await;
                }
            }
            Err(SourceError::HistoryGone) => {
                info!(target: "platform", kind = kind;
                    "changes after the known revision are gone; listing all objects");
                follower.position.list_next();
            }
            Err(err) => {
                if follower.counts_as_lost(&err) && !std::mem::replace(&mut is_lost, true) {
                    warn!(target: "platform", kind = kind, reason = err.to_string();
                        "cannot read platform objects");
                    on_update(Update::Lost);
                }
                follower.pause(&err).await;
            }
        }
    }
}

impl<T> Follower<T> {
    /// Makes one call: to the mirror hosts in order until one serves the objects, or else to the
    /// platform.
    async fn fetch(&mut self) -> Result<Fetched, SourceError> {
        self.update_mirror_hosts();
        if let Some(fetched) = self.fetch_from_mirrors().await {
            self.unserved_since = None;
            return Ok(fetched);
        }
        let now = self.host.clock.now();
        if !self.mirror_hosts.is_empty() {
            let since = *self.unserved_since.get_or_insert(now);
            let delay = match self.mirror_hosts.len() {
                1 => Duration::ZERO,
                _ => DIRECT_DELAY,
            };
            if now.since(since) < delay {
                return Err(SourceError::NotServed);
            }
        }
        let wait = self.pacing.wait(now);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let sent = self.host.clock.now();
        if self.host.store_gate().admit(sent).is_err() {
            return Err(SourceError::NotServed);
        }
        let result = self.fetch_from_platform().await;
        self.on_platform_result(sent, &result);
        result
    }

    /// Asks the mirror hosts in order. `None` if none serves the objects.
    async fn fetch_from_mirrors(&mut self) -> Option<Fetched> {
        let clock = self.host.clock;
        for mirror_host in &mut self.mirror_hosts {
            if !mirror_host.retry_at.has_passed(clock.now()) {
                continue;
            }
            let fetched = mirror_host
                .fetch(&self.host, &self.source, self.position.watch_after())
                .await;
            let err = match fetched {
                Ok(fetched) => {
                    mirror_host.is_serving = true;
                    return Some(fetched);
                }
                Err(err) => err,
            };
            if std::mem::take(&mut mirror_host.is_serving) {
                info!(target: "platform", kind = self.source.kind,
                    peer = mirror_host.address.to_string(), reason = err.to_string();
                    "mirror host does not serve the objects");
            }
            let is_alive = matches!(
                err,
                SourceError::Status { .. } | SourceError::Outdated { .. }
            );
            if !is_alive {
                mirror_host.retry_at = clock.now() + MIRROR_FAILED_PAUSE;
            }
        }
        None
    }

    /// Lists the objects on the platform, or watches for changes.
    async fn fetch_from_platform(&self) -> Result<Fetched, SourceError> {
        let sent = self.host.clock.now();
        let source = &self.source;
        match self.position.watch_after() {
            None => {
                let listing = (source.list)().await?;
                Ok(Fetched {
                    content: Content::All(listing.objects),
                    revision: listing.revision,
                    // The list is at least as recent as the call.
                    confirmed_at: sent,
                    is_direct: true,
                })
            }
            Some(after) => {
                let changes = (source.watch)(after, source.hold).await?;
                let confirmed_at = match changes.changes.is_empty() {
                    // Without changes the platform answers at the end of the hold, so its state is
                    // confirmed for that time. The time of arrival would be too late: the response
                    // may have been delayed.
                    true => (sent + source.hold).min(self.host.clock.now()),
                    false => sent,
                };
                Ok(Fetched {
                    content: Content::Changes(changes.changes),
                    revision: changes.revision,
                    confirmed_at,
                    is_direct: true,
                })
            }
        }
    }

    /// Counts a call to the platform, which was sent at `sent`, and decides when further calls may be made.
    fn on_platform_result(&mut self, sent: Timestamp, result: &Result<Fetched, SourceError>) {
        let call = match self.position.watch_after() {
            None => "list",
            Some(_) => "watch",
        };
        let is_answered = matches!(
            result,
            Ok(_) | Err(SourceError::HistoryGone | SourceError::Unreadable { .. })
        );
        let outcome = if is_answered { "answered" } else { "failed" };
        self.host
            .stats
            .platform_calls
            .with_label_values(&[self.source.kind, call, outcome])
            .inc();
        let now = self.host.clock.now();
        match result {
            Ok(fetched) if !fetched.content.is_full() => {
                let after = self.position.watch_after();
                let advances = after.is_none_or(|after| fetched.revision > after);
                let has_news = advances && fetched.content.has_changes();
                self.pacing.on_watched(sent, has_news);
            }
            Err(_) if is_answered => self.pacing.on_useless(now),
            _ => {}
        }
        let mut gate = self.host.store_gate();
        match is_answered {
            true => gate.on_success(),
            false => gate.on_failure(now, !self.mirror_hosts.is_empty()),
        }
    }

    /// Whether an error means that the objects cannot be read any more.
    fn counts_as_lost(&self, err: &SourceError) -> bool {
        match err {
            SourceError::NotServed => self
                .unserved_since
                .is_some_and(|since| self.host.clock.now().since(since) >= LOST_DELAY),
            _ => true,
        }
    }

    /// Waits before the next call after an error.
    async fn pause(&mut self, err: &SourceError) {
        // The platform answers a list call at once, but holds a watch call. A list therefore shows
        // sooner that the platform is reachable again.
        if *err != SourceError::NotServed {
            self.position.list_next();
        }
        let pause = match self.mirror_hosts.is_empty() {
            true => GATE_PAUSE_MAX.min(self.gate_wait()),
            false => NOT_SERVED_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }

    /// Time until the platform may be called again.
    fn gate_wait(&self) -> Duration {
        let now = self.host.clock.now();
        self.host.store_gate().wait(now)
    }

    /// Replaces the mirror hosts if their addresses have changed. Otherwise their connections and
    /// retry times are kept.
    fn update_mirror_hosts(&mut self) {
        let addresses = self.host.link.mirror_hosts(self.source.kind);
        let known = self.mirror_hosts.iter();
        if known
            .map(|mirror_host| mirror_host.address)
            .eq(addresses.iter().copied())
        {
            return;
        }
        let mirror_host = |address| MirrorHost {
            address,
            http: HttpClient::new(address, MIRROR_CALL_OPTIONS),
            retry_at: Timestamp::ZERO,
            is_serving: true,
        };
        self.mirror_hosts = addresses.into_iter().map(mirror_host).collect();
    }

    /// Passes the fetched objects to this host's mirror and, parsed, to `on_update`, unless they
    /// are outdated.
    fn apply(&mut self, fetched: Fetched, on_update: &mut impl FnMut(Update<T>)) {
        let kind = self.source.kind;
        let latest_era = self.host.on_era_seen(fetched.revision.era);
        let is_full = fetched.content.is_full();
        let acceptance =
            self.position
                .accept(latest_era, fetched.revision, is_full, fetched.is_direct);
        match acceptance {
            Acceptance::Apply => {}
            Acceptance::ApplyRestored => {
                info!(target: "platform", kind = kind, era = fetched.revision.era;
                    "platform has gone back to an older state");
                on_update(Update::Restored);
            }
            Acceptance::ListAgain => return,
            Acceptance::Outdated => {
                info!(target: "platform", kind = kind, era = fetched.revision.era,
                    latest_era = latest_era; "ignored outdated objects");
                self.position.list_next();
                return;
            }
        }
        let decode = &self.source.decode;
        let parse = |object: &Object| Item {
            name: object.name.clone(),
            value: decode(&object.name, &object.spec),
        };
        let mirrors = &self.host.mirrors;
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
        let age_max = self.source.mirror_age_max();
        mirrors.confirm(kind, fetched.confirmed_at, age_max);
        on_update(Update::Confirmed(fetched.confirmed_at));
    }
}

impl MirrorHost {
    /// Reads objects from the mirror host: all of them, or the changes after a position.
    ///
    /// The clocks of two hosts cannot be compared, so the mirror host states the age of its
    /// objects. The age is subtracted from the earliest time by this host's clock at which the
    /// response can have been made.
    async fn fetch<T>(
        &self,
        host: &EntryHost,
        source: &Source<T>,
        after: Option<StoreRevision>,
    ) -> Result<Fetched, SourceError> {
        let clock = host.clock;
        let sent = clock.now();
        let hold = source.mirror_hold();
        let path = objects_path(source.kind, after, hold);
        let no_response = |reason: String| SourceError::NoResponse { reason };
        let req = Request::get(self.http.uri(&path))
            .body(Full::default())
            .map_err(|err| no_response(err.to_string()))?;
        let reply = self.http.call_long_poll(req, hold).await;
        let reply = reply.map_err(|err| no_response(err.to_string()))?;
        if reply.status != StatusCode::OK {
            let status = reply.status.as_u16();
            return Err(SourceError::Status { status });
        }
        let response: ObjectsResponse =
            serde_json::from_slice(&reply.body).map_err(|err| SourceError::Unreadable {
                reason: err.to_string(),
            })?;
        let era = response.revision.era;
        if era < host.latest_era() {
            return Err(SourceError::Outdated { era });
        }
        let age = Duration::from_micros(response.age_micros);
        if age > source.mirror_age_max() {
            let ms = age.as_millis();
            return Err(no_response(format!("objects are {ms} ms old")));
        }
        // The response was made after the request was sent, and, if it has no changes, at the end of
        // the hold.
        let is_held = after.is_some() && response.changes.is_empty() && !response.is_full;
        let made_at = match is_held {
            true => (sent + hold).min(clock.now()),
            false => sent,
        };
        let before = made_at.since(Timestamp::ZERO).saturating_sub(age);
        let content = match response.is_full {
            true => Content::All(
                response
                    .changes
                    .into_iter()
                    .filter_map(into_object)
                    .collect(),
            ),
            false => Content::Changes(response.changes),
        };
        Ok(Fetched {
            content,
            revision: response.revision,
            confirmed_at: Timestamp::ZERO + before,
            is_direct: false,
        })
    }
}

/// The object of a `Set` change; full responses contain no other changes.
fn into_object(change: Change) -> Option<Object> {
    match change {
        Change::Set(object) => Some(object),
        Change::Removed(_) => None,
    }
}
