//! Follows the platform's objects of one kind: lists them first, then watches for changes.
//!
//! The platform is the external system that stores the configuration, the announcements of backend
//! servers and the list of entry hosts as named objects. An entry host, here just host, is a
//! reverse proxy between callers and backend servers.
//!
//! A list gives all objects and the position of the platform in its history at that moment (see
//! `revision`). A watch is a long poll: the call is held until there are changes after a given
//! position, or until its hold time is over.
//!
//! To save paid calls to the platform, only one host of a failure domain reads a kind of object from
//! it. The others read from this *mirror host* (see `mirror` and `follower`). After each successful
//! call [`Update::Confirmed`] states at which time the objects were known to be current, so that
//! decisions can require recent state.

mod follower;
mod gate;
mod objects;
mod pacing;
mod revision;

use std::time::Duration;

use compact_str::CompactString;
use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

pub(crate) use follower::follow;
pub use gate::StoreGate;
pub use objects::KeptObjects;
pub use pacing::CallPacing;
pub use revision::Acceptance;
pub use revision::FollowPosition;
pub use revision::StoreRevision;

use crate::time::Timestamp;

/// How long objects are kept that the platform has lost by going back to an older state. Their
/// owners write them again as soon as they notice; hosts do so within a second or two.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_secs(10);
/// Least time by which the objects of a mirror host may be older than the two holds on their way
/// explain, which covers calls that fail or take long.
const MIRROR_AGE_MARGIN: Duration = Duration::from_millis(300);

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
    /// The response is older than what this host has read before.
    #[snafu(display("response of era {era} is outdated"))]
    Outdated {
        /// Era of the response.
        era: u64,
    },
    /// No mirror host serves the objects, and the platform is not to be called yet.
    #[snafu(display("no mirror host serves the objects"))]
    NotServed,
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
    /// Position of the platform at which the list was made.
    pub revision: StoreRevision,
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
    /// Position up to which the changes are complete.
    pub revision: StoreRevision,
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
    /// Watches for changes after a position, held for at most the given time.
    pub watch: Box<dyn Fn(StoreRevision, Duration) -> WatchFuture + Send + Sync>,
    /// Parses an object.
    pub decode: Decode<T>,
}

impl<T> Source<T> {
    /// How long a mirror host holds a watch that has no changes to report. If it fails meanwhile,
    /// the next one must be asked well within the time that a change may take.
    pub(crate) fn mirror_hold(&self) -> Duration {
        self.hold / 2
    }

    /// Largest age of objects that a mirror host serves.
    pub(crate) fn mirror_age_max(&self) -> Duration {
        self.hold + self.mirror_hold() + MIRROR_AGE_MARGIN
    }
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
    /// The platform has gone back to an older state; `Listed` follows. Objects that were written
    /// since then are missing until their owners write them again.
    Restored,
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
