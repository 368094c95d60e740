//! Stores operators' changes, against other operators and a platform that fails.

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

/// First and longest delay before another attempt at a change.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A change with the identifier by which it is recognised when it is sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Unique identifier.
    pub id: CompactString,
    /// Wall-clock time, seconds since the Unix epoch.
    pub at: u64,
    /// The change.
    pub change: Change,
}

/// A change that is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// A stored configuration that includes the change.
    pub configuration: Arc<Configuration>,
    /// What became of the change.
    pub effect: Effect,
}

/// What became of an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It was made.
    Made,
    /// It was recorded; the configuration was already as the change would make it.
    AlreadySo,
    /// It had been stored by an earlier attempt under the same identifier.
    StoredBefore,
}

/// Why a change is not known to be stored.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditError {
    /// The change does not apply to the stored configuration. It is not stored.
    #[snafu(transparent)]
    Refused {
        /// The rule.
        source: ChangeError,
    },
    /// The stored document cannot be read, or the new one not stored. The change is not stored.
    #[snafu(transparent)]
    Document {
        /// The fault.
        source: DocumentError,
    },
    /// The stored document has members that this version does not know. The change is not stored.
    #[snafu(display("the configuration was written by a newer version; use one of its hosts"))]
    NewerFormat,
    /// The platform did not take the change before the deadline. It is not stored.
    #[snafu(display("the change is not stored: {reason}"))]
    NotStored {
        /// What was seen last.
        reason: CompactString,
    },
    /// The change may be stored, or may be in a moment.
    #[snafu(display("it is unknown whether the change is stored: {reason}"))]
    Unknown {
        /// What was seen last.
        reason: CompactString,
    },
}

/// Stores changes by reading the configuration, applying them, and updating it on the condition
/// that nobody else has.
///
/// After a conflict the change is applied anew to what the other operator stored, so that both
/// changes stand, or is refused if it no longer applies. After a lost answer the object is read
/// back and searched for the identifier of the change.
#[derive(Clone, Debug)]
pub struct Editor {
    store: Arc<ConfigurationStore>,
    /// Highest revision known to be stored: a read below it is stale.
    known_revision: Arc<AtomicU64>,
    /// One edit of this host at a time, so that its own do not conflict with each other.
    edit_lock: Arc<Mutex<()>>,
}

impl Editor {
    /// Makes an editor of the configuration in `store`.
    pub fn new(store: ConfigurationStore) -> Self {
        Self {
            store: Arc::new(store),
            known_revision: Arc::default(),
            edit_lock: Arc::default(),
        }
    }

    /// Notes that a revision is known to be stored, so that no change is judged by an older one.
    pub fn record_revision(&self, revision: u64) {
        self.known_revision.fetch_max(revision, Ordering::AcqRel);
    }

    /// Stores a change. Attempts end soon after `deadline`.
    ///
    /// # Errors
    ///
    /// See [`EditError`], which tells apart what is not stored and what may be.
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

/// Why one attempt did not store the change.
enum AttemptError {
    /// Another attempt may.
    Retry(CompactString),
    /// No attempt will.
    Fatal(EditError),
}

impl<E: Into<EditError>> From<E> for AttemptError {
    fn from(err: E) -> Self {
        Self::Fatal(err.into())
    }
}

/// The attempts at one change.
struct Attempts<'a> {
    editor: &'a Editor,
    req: &'a ChangeRequest,
    unresolved_write: Option<UnresolvedWrite>,
}

/// A write whose answer is lost.
struct UnresolvedWrite {
    /// Revision that it was to replace.
    base: u64,
    /// Identifier of the latest change in that revision.
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

    fn give_up(self, reason: CompactString) -> EditError {
        if self.unresolved_write.is_some() {
            return EditError::Unknown { reason };
        }
        EditError::NotStored { reason }
    }

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

    /// Reads the base of the next attempt. While a write is lost, a document that cannot be read
    /// leaves open whether the change was stored before it.
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

    /// Judges an earlier write by a base without the change. The write is condemned once its own
    /// base was replaced, unless the change's record may have been pushed out since.
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
    /// Whether the record of the lost change, had it been stored, may be gone from `later`.
    fn may_have_dropped_record(&self, later: &Configuration) -> bool {
        match &self.latest {
            Some(latest) => !later.changes.iter().any(|record| record.id == *latest),
            None => later.changes.len() >= MAX_CHANGE_RECORDS,
        }
    }
}

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
