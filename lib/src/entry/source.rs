//! Objects of the platform that a host follows: a list first, then the changes after it.

use std::time::Duration;

use compact_str::CompactString;
use futures::future::BoxFuture;
use log::info;
use log::warn;
use snafu::Snafu;

use crate::platform::Backoff;
use crate::time::Clock;
use crate::time::Timestamp;

/// First pause after a failed call: about twenty answer times of the platform.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Every call is paid for, and a host that is cut off must be
/// current again well within the two seconds that a configuration may take.
const RETRY_MAX: Duration = Duration::from_millis(600);

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The changes after the revision are no longer known.
    #[snafu(display("the history after the revision is gone"))]
    HistoryGone,
    /// The platform answered with a status that brings nothing.
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

/// A named object, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Item<T> {
    /// Name of the object.
    pub name: CompactString,
    /// What it holds, or why it cannot be read.
    pub value: Result<T, String>,
}

/// All objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// The objects.
    pub items: Vec<Item<T>>,
    /// Revision at which they were listed.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change<T> {
    /// It was created or replaced.
    Set(Item<T>),
    /// It was removed.
    Removed(CompactString),
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes<T> {
    /// The changes in order, none if the wait ended without.
    pub changes: Vec<Change<T>>,
    /// Revision up to which they go.
    pub revision: u64,
}

/// Answer to a list call, to come.
pub type ListFuture<T> = BoxFuture<'static, Result<Listing<T>, SourceError>>;
/// Answer to a watch call, to come.
pub type WatchFuture<T> = BoxFuture<'static, Result<Changes<T>, SourceError>>;

/// Calls that read the objects of one kind.
pub struct Source<T> {
    /// What the objects are, for logs.
    pub kind: &'static str,
    /// Longest time that a watch call is held.
    pub hold: Duration,
    /// Lists all objects.
    pub list: Box<dyn Fn() -> ListFuture<T> + Send + Sync>,
    /// Waits at most so long for changes after a revision.
    pub watch: Box<dyn Fn(u64, Duration) -> WatchFuture<T> + Send + Sync>,
}

/// What following a source brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Update<T> {
    /// All objects.
    Listed(Vec<Item<T>>),
    /// Changes since.
    Changed(Vec<Change<T>>),
    /// The objects known are those that there were at this time, or later.
    Confirmed(Timestamp),
    /// The platform does not answer.
    Lost,
    /// The platform answers again.
    Regained,
}

/// Follows a source until the task is dropped.
pub async fn follow<T>(source: Source<T>, clock: Clock, mut on_update: impl FnMut(Update<T>)) {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MAX);
    let mut revision = None;
    let mut is_lost = false;
    loop {
        let sent = clock.now();
        let result = match revision {
            None => list(&source, sent).await,
            Some(after) => watch(&source, sent, clock, after).await,
        };
        match result {
            Ok(step) => {
                if std::mem::take(&mut is_lost) {
                    info!(target: "platform", kind = source.kind; "regained");
                    on_update(Update::Regained);
                }
                backoff.reset();
                revision = Some(step.revision);
                if let Some(update) = step.update {
                    on_update(update);
                }
                on_update(Update::Confirmed(step.confirmed_at));
            }
            Err(SourceError::HistoryGone) => {
                info!(target: "platform", kind = source.kind, after = revision; "history gone");
                revision = None;
            }
            Err(err) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(target: "platform", kind = source.kind, reason = err.to_string(); "lost");
                    on_update(Update::Lost);
                }
                // A list is answered at once, and shows sooner than a watch that all is well.
                revision = None;
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

struct Step<T> {
    update: Option<Update<T>>,
    revision: u64,
    confirmed_at: Timestamp,
}

async fn list<T>(source: &Source<T>, sent: Timestamp) -> Result<Step<T>, SourceError> {
    let listing = (source.list)().await?;
    Ok(Step {
        update: Some(Update::Listed(listing.items)),
        revision: listing.revision,
        confirmed_at: sent,
    })
}

async fn watch<T>(
    source: &Source<T>,
    sent: Timestamp,
    clock: Clock,
    after: u64,
) -> Result<Step<T>, SourceError> {
    let changes = (source.watch)(after, source.hold).await?;
    if changes.changes.is_empty() {
        // The platform answered no sooner than the end of the hold, but the answer may have
        // been on its way for long.
        let held_until = sent + source.hold;
        return Ok(Step {
            update: None,
            revision: changes.revision,
            confirmed_at: held_until.min(clock.now()),
        });
    }
    Ok(Step {
        update: Some(Update::Changed(changes.changes)),
        revision: changes.revision,
        confirmed_at: sent,
    })
}
