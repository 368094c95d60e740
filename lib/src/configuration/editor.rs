//! Stores operators' changes in the configuration object.
//!
//! The platform, the external system that the fleet runs on, stores the configuration as one JSON
//! document. The version of the stored object is the revision. Several operators may submit changes
//! through different hosts at the same time, and calls to the platform may fail or lose their
//! response. Every write is therefore conditional on the revision that it replaces.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;
use snafu::Snafu;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::Change;
use super::ChangeError;
use super::Configuration;
use super::ConfigurationStore;
use super::DocumentError;
use super::MAX_CHANGE_RECORDS;
use crate::platform::Backoff;
use crate::platform::Object;
use crate::platform::ObjectError;

/// Upper bound of the first delay between two attempts at a change. It doubles with each attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest delay between two attempts at a change.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A change that an operator has submitted, with the identifier by which a repetition is
/// recognised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Unique identifier of the change.
    pub id: CompactString,
    /// Wall-clock time of the request, in seconds since the Unix epoch.
    pub at: u64,
    /// The change.
    pub change: Change,
}

/// Result for a change that is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// A stored configuration that includes the change.
    pub configuration: Arc<Configuration>,
    /// Whether this request stored the change and altered the configuration.
    pub effect: Effect,
}

/// Effect of a change that is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The change was stored and altered the configuration.
    Made,
    /// Only a record of the change was stored: the configuration already had the requested state.
    AlreadySo,
    /// An earlier attempt had stored the change under the same identifier.
    StoredBefore,
}

/// Reason why a change is not stored, or why that is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditError {
    /// The change is invalid for the stored configuration. It is not stored.
    #[snafu(transparent)]
    Refused {
        /// Why the change is invalid.
        source: ChangeError,
    },
    /// The stored JSON document is not a valid configuration, or the new one would be too large.
    /// The change is not stored.
    #[snafu(transparent)]
    Document {
        /// What is wrong with the document.
        source: DocumentError,
    },
    /// The stored document has JSON members that this version of the software does not know and
    /// would delete on a write. The change is not stored.
    #[snafu(display("the configuration was written by a newer version; use one of its hosts"))]
    NewerFormat,
    /// All attempts until the deadline failed. The change is not stored.
    #[snafu(display("the change is not stored: {reason}"))]
    NotStored {
        /// Why the last attempt failed.
        reason: CompactString,
    },
    /// The response to a write was lost: the change may be stored, or may still be stored later.
    #[snafu(display("it is unknown whether the change is stored: {reason}"))]
    Unknown {
        /// Why the last attempt failed.
        reason: CompactString,
    },
}

/// Stores changes by optimistic concurrency control: reads the configuration, applies the change,
/// and writes the result on condition that the stored revision is still the one that was read.
///
/// After a conflict the change is applied again to the configuration that the other operator
/// stored, so that both changes take effect, or it is refused if it is no longer valid. If the
/// response to a write is lost, the object is read back and searched for the identifier of the
/// change.
///
/// Clones share their state, so a host needs only one editor.
#[derive(Clone, Debug)]
pub struct Editor {
    store: Arc<ConfigurationStore>,
    /// Highest revision known to be stored. A read that returns a lower one is stale.
    known_revision: Arc<AtomicU64>,
    /// Held during an edit, so that edits through this host do not conflict with each other.
    edit_lock: Arc<Mutex<()>>,
}

impl Editor {
    /// Creates an editor of the configuration in `store`.
    pub fn new(store: ConfigurationStore) -> Self {
        Self {
            store: Arc::new(store),
            known_revision: Arc::default(),
            edit_lock: Arc::default(),
        }
    }

    /// Records that a revision is stored, so that no change is applied to an older one.
    pub fn record_revision(&self, revision: u64) {
        self.known_revision.fetch_max(revision, Ordering::AcqRel);
    }

    /// Stores a change, with retries. Starts no attempt after `deadline`, so it returns soon after.
    ///
    /// # Errors
    ///
    /// [`EditError::Unknown`] if the change may be stored. After any other error it is not stored.
    pub async fn submit(
        &self,
        req: &ChangeRequest,
        deadline: Instant,
    ) -> Result<Accepted, EditError> {
        let guard = tokio::time::timeout_at(deadline, self.edit_lock.lock()).await;
        let _guard = guard.map_err(|_| EditError::NotStored {
            reason: CompactString::const_new("other changes through this host took all the time"),
        })?;
        let attempts = Attempts {
            editor: self,
            req,
            unresolved_write: None,
        };
        attempts.run(deadline).await
    }

    /// Reads the stored configuration, which is empty before the first write. Rejects a stale read.
    async fn read(&self) -> Result<Configuration, AttemptError> {
        let configuration = match (self.store.read)().await {
            Ok(object) => parse(&object)?,
            Err(ObjectError::NotFound) => Configuration::default(),
            Err(err) => return Err(retry(&err)),
        };
        let known = self.known_revision.load(Ordering::Acquire);
        if configuration.revision < known {
            let revision = configuration.revision;
            let reason = format!("read revision {revision} although {known} has been stored");
            return Err(AttemptError::Retry(reason.into()));
        }
        self.record_revision(configuration.revision);
        Ok(configuration)
    }
}

/// Reason why one attempt did not store the change.
enum AttemptError {
    /// The next attempt may succeed. Contains the reason of the failure.
    Retry(CompactString),
    /// Further attempts are useless.
    Fatal(EditError),
}

impl<E: Into<EditError>> From<E> for AttemptError {
    fn from(err: E) -> Self {
        Self::Fatal(err.into())
    }
}

/// State of the attempts at one change.
struct Attempts<'a> {
    editor: &'a Editor,
    req: &'a ChangeRequest,
    /// Set while an earlier attempt may have stored the change, or may still store it.
    unresolved_write: Option<UnresolvedWrite>,
}

/// A write whose response was lost, so that its outcome is unknown.
struct UnresolvedWrite {
    /// Revision that the write replaces if it succeeds.
    base: u64,
    /// Identifier of the last change recorded in that revision.
    latest: Option<CompactString>,
}

impl Attempts<'_> {
    async fn run(mut self, deadline: Instant) -> Result<Accepted, EditError> {
        let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let reason = match self.attempt().await {
                Ok(accepted) => return Ok(accepted),
                Err(AttemptError::Fatal(err)) => return Err(err),
                Err(AttemptError::Retry(reason)) => reason,
            };
            let next = Instant::now() + backoff.next_delay();
            if next >= deadline {
                return Err(self.give_up(reason));
            }
            tokio::time::sleep_until(next).await;
        }
    }

    /// Returns the error for a change whose last attempt failed for `reason`.
    fn give_up(self, reason: CompactString) -> EditError {
        if self.unresolved_write.is_some() {
            return EditError::Unknown { reason };
        }
        EditError::NotStored { reason }
    }

    /// Makes one attempt: reads the configuration, applies the change and writes the result.
    async fn attempt(&mut self) -> Result<Accepted, AttemptError> {
        let base = self.read().await?;
        let ChangeRequest { id, at, change } = self.req;
        if base.has_change(id, change)? {
            return Ok(Accepted {
                configuration: Arc::new(base),
                effect: Effect::StoredBefore,
            });
        }
        self.resolve_earlier_write(&base)?;
        let next = base.apply(id, *at, change)?;
        self.write(&base, next).await
    }

    /// Reads the configuration that the next attempt starts from. If an earlier write is unresolved
    /// and the document cannot be read, the outcome is unknown: the change may have been stored
    /// before the document became unreadable.
    async fn read(&self) -> Result<Configuration, AttemptError> {
        self.editor.read().await.map_err(|err| match err {
            AttemptError::Fatal(err) if self.unresolved_write.is_some() => {
                AttemptError::Fatal(EditError::Unknown {
                    reason: err.to_compact_string(),
                })
            }
            other => other,
        })
    }

    /// Decides the outcome of an earlier write from `base`, a later read without a record of the
    /// change.
    ///
    /// If the revision that the write was conditional on has been replaced, the write has failed
    /// and cannot succeed any more. The exception is a record that may have been dropped since,
    /// because only [`MAX_CHANGE_RECORDS`] are kept: then the outcome stays unknown.
    fn resolve_earlier_write(&mut self, base: &Configuration) -> Result<(), EditError> {
        let Some(write) = &self.unresolved_write else {
            return Ok(());
        };
        if write.may_have_dropped_record(base) {
            let reason = "too many changes since to tell".into();
            return Err(EditError::Unknown { reason });
        }
        if base.revision > write.base {
            self.unresolved_write = None;
        }
        Ok(())
    }

    async fn write(
        &mut self,
        base: &Configuration,
        mut next: Configuration,
    ) -> Result<Accepted, AttemptError> {
        let document = next.to_document()?.into();
        let version = (base.revision > 0).then_some(base.revision);
        next.revision = match (self.editor.store.write)(version, document).await {
            Ok(revision) => revision,
            Err(err) => return Err(self.write_failed(base, &err)),
        };
        self.editor.record_revision(next.revision);
        let already_so = next.is_same_state(base);
        Ok(Accepted {
            configuration: Arc::new(next),
            effect: if already_so {
                Effect::AlreadySo
            } else {
                Effect::Made
            },
        })
    }

    fn write_failed(&mut self, base: &Configuration, err: &ObjectError) -> AttemptError {
        if matches!(err, ObjectError::Unknown { .. }) {
            let latest = base.changes.last().map(|record| record.id.clone());
            self.unresolved_write = Some(UnresolvedWrite {
                base: base.revision,
                latest,
            });
        }
        retry(err)
    }
}

impl UnresolvedWrite {
    /// Whether `later` may lack the record of the change although the write succeeded, because
    /// newer records have displaced it. Records are dropped oldest first, so the record cannot have
    /// been dropped while the one before it (`latest`) is still present.
    fn may_have_dropped_record(&self, later: &Configuration) -> bool {
        match &self.latest {
            Some(latest) => !later.changes.iter().any(|record| record.id == *latest),
            None => later.changes.len() >= MAX_CHANGE_RECORDS,
        }
    }
}

/// Parses the stored document, and rejects one that a newer version of the software has written.
fn parse(object: &Object) -> Result<Configuration, EditError> {
    let configuration = Configuration::parse(object.version, &object.bytes)?;
    if configuration.drops_members_of(&object.bytes)? {
        return Err(EditError::NewerFormat);
    }
    Ok(configuration)
}

fn retry(err: &ObjectError) -> AttemptError {
    AttemptError::Retry(err.to_compact_string())
}
