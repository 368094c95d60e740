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
const RETRY_FIRST: Duration = Duration::from_millis(5);
const RETRY_LONGEST: Duration = Duration::from_millis(250);

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
    stored: Arc<AtomicU64>,
    /// One edit of this host at a time, so that its own do not conflict with each other.
    turn: Arc<Mutex<()>>,
}

impl Editor {
    /// Makes an editor of the configuration in `store`.
    pub fn new(store: ConfigurationStore) -> Self {
        Self {
            store: Arc::new(store),
            stored: Arc::default(),
            turn: Arc::default(),
        }
    }

    /// Notes that a revision is known to be stored, so that no change is judged by an older one.
    pub fn note_revision(&self, revision: u64) {
        self.stored.fetch_max(revision, Ordering::AcqRel);
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
        let turn = tokio::time::timeout_at(deadline, self.turn.lock()).await;
        let _turn = turn.map_err(|_| EditError::NotStored {
            reason: CompactString::const_new("other changes through this host took all the time"),
        })?;
        let attempts = Attempts {
            editor: self,
            req,
            lost: None,
        };
        attempts.run(deadline).await
    }

    async fn read(&self) -> Result<Configuration, Setback> {
        let configuration = match (self.store.read)().await {
            Ok(object) => parse(&object)?,
            Err(ObjectError::NotFound) => Configuration::default(),
            Err(err) => return Err(retry(&err)),
        };
        let stored = self.stored.load(Ordering::Acquire);
        if configuration.revision < stored {
            let revision = configuration.revision;
            let reason = format!("read revision {revision} although {stored} has been stored");
            return Err(Setback::Retry(reason.into()));
        }
        self.note_revision(configuration.revision);
        Ok(configuration)
    }
}

/// Why one attempt did not store the change.
enum Setback {
    /// Another attempt may.
    Retry(CompactString),
    /// No attempt will.
    End(EditError),
}

impl<E: Into<EditError>> From<E> for Setback {
    fn from(err: E) -> Self {
        Self::End(err.into())
    }
}

/// The attempts at one change.
struct Attempts<'a> {
    editor: &'a Editor,
    req: &'a ChangeRequest,
    lost: Option<LostWrite>,
}

/// A write whose answer is lost.
struct LostWrite {
    /// Revision that it was to replace.
    base: u64,
    /// Identifier of the latest change in that revision.
    latest: Option<CompactString>,
}

impl Attempts<'_> {
    async fn run(mut self, deadline: Instant) -> Result<Accepted, EditError> {
        let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LONGEST);
        loop {
            let reason = match self.attempt().await {
                Ok(accepted) => return Ok(accepted),
                Err(Setback::End(err)) => return Err(err),
                Err(Setback::Retry(reason)) => reason,
            };
            let next = Instant::now() + backoff.next_delay();
            if next >= deadline {
                return Err(self.give_up(reason));
            }
            tokio::time::sleep_until(next).await;
        }
    }

    fn give_up(self, reason: CompactString) -> EditError {
        if self.lost.is_some() {
            return EditError::Unknown { reason };
        }
        EditError::NotStored { reason }
    }

    async fn attempt(&mut self) -> Result<Accepted, Setback> {
        let base = self.read().await?;
        let ChangeRequest { id, at, change } = self.req;
        if base.has_change(id, change)? {
            return Ok(Accepted {
                configuration: Arc::new(base),
                effect: Effect::StoredBefore,
            });
        }
        self.resolve_lost_write(&base)?;
        let next = base.apply(id, *at, change)?;
        self.write(&base, next).await
    }

    /// Reads the base of the next attempt. While a write is lost, a document that cannot be read
    /// leaves open whether the change was stored before it.
    async fn read(&self) -> Result<Configuration, Setback> {
        self.editor.read().await.map_err(|setback| match setback {
            Setback::End(err) if self.lost.is_some() => Setback::End(EditError::Unknown {
                reason: err.to_compact_string(),
            }),
            other => other,
        })
    }

    /// Judges an earlier write by a base without the change. The write is condemned once its own
    /// base was replaced, unless the change's record may have been pushed out since.
    fn resolve_lost_write(&mut self, base: &Configuration) -> Result<(), EditError> {
        let Some(lost) = &self.lost else {
            return Ok(());
        };
        if lost.is_forgotten_by(base) {
            let reason = "too many changes since to tell".into();
            return Err(EditError::Unknown { reason });
        }
        if base.revision > lost.base {
            self.lost = None;
        }
        Ok(())
    }

    async fn write(
        &mut self,
        base: &Configuration,
        mut next: Configuration,
    ) -> Result<Accepted, Setback> {
        let document = next.to_document()?.into();
        let version = (base.revision > 0).then_some(base.revision);
        next.revision = match (self.editor.store.write)(version, document).await {
            Ok(revision) => revision,
            Err(err) => return Err(self.write_failed(base, &err)),
        };
        self.editor.note_revision(next.revision);
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

    fn write_failed(&mut self, base: &Configuration, err: &ObjectError) -> Setback {
        if matches!(err, ObjectError::Unknown { .. }) {
            let latest = base.changes.last().map(|record| record.id.clone());
            self.lost = Some(LostWrite {
                base: base.revision,
                latest,
            });
        }
        retry(err)
    }
}

impl LostWrite {
    /// Whether the record of the lost change, had it been stored, may be gone from `later`.
    fn is_forgotten_by(&self, later: &Configuration) -> bool {
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

fn retry(err: &ObjectError) -> Setback {
    Setback::Retry(err.to_compact_string())
}
