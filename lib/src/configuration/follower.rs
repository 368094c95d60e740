//! Keeps the latest configuration that one host has received.
//!
//! The configuration in force is the one by which the host serves requests. The platform, the
//! external system that the fleet runs on, stores the configuration as a JSON document with a
//! version number, the revision. A host receives revisions from the platform and from other hosts,
//! possibly late, repeatedly or out of order.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;

use super::Configuration;
use super::DocumentError;
use super::delta::Delta;

/// Maximum number of previous revisions that are kept as bases of deltas. A delta is the difference
/// between two revisions, sent to a host that has the earlier one.
const MAX_PREVIOUS_REVISIONS: usize = 16;

/// Holds the configuration in force on a host and replaces it when a newer revision arrives.
///
/// Copies of the configuration come from watches of the platform's object API, which may return
/// stale ones, and from other hosts, which may lag behind. A copy comes into force only if its
/// revision is higher than the current one, so the configuration never reverts. An invalid copy is
/// rejected and the current configuration stays in force.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    current: Option<Current>,
    /// Previous configurations in force, oldest first.
    previous: VecDeque<Arc<Configuration>>,
}

/// The configuration in force.
#[derive(Clone, Debug)]
struct Current {
    configuration: Arc<Configuration>,
    /// The JSON text that `configuration` was parsed from.
    document: Bytes,
    /// Whether `configuration` holds every JSON member of `document`. If not, a newer version of
    /// the software wrote the document, and a delta would lose members.
    complete: bool,
}

impl Follower {
    /// Creates a follower without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a copy of the stored object, or an update that [`Self::update_for`] returned on
    /// another host. Returns the configuration if it comes into force. Returns `None` if its
    /// revision is not above the one in force, or if it is a delta that cannot be applied here.
    ///
    /// # Errors
    ///
    /// A [`DocumentError`] if `document` is not valid. The configuration in force stays.
    pub fn offer_document(
        &mut self,
        revision: u64,
        document: impl Into<Bytes>,
    ) -> Result<Option<Arc<Configuration>>, DocumentError> {
        if revision <= self.revision() {
            return Ok(None);
        }
        let document = document.into();
        if document.starts_with(Delta::PREFIX) {
            return self.offer_delta(revision, &document);
        }
        let configuration = Configuration::parse(revision, &document)?;
        let complete = !configuration.drops_members_of(&document)?;
        Ok(Some(self.replace_current(Current {
            configuration: Arc::new(configuration),
            document,
            complete,
        })))
    }

    /// Handles a configuration that this host itself has written to the platform. Returns it if it
    /// comes into force, which is the case if its revision is above the current one.
    ///
    /// # Errors
    ///
    /// A [`DocumentError`] if the configuration is too large to be stored. The configuration in
    /// force stays.
    pub fn offer(
        &mut self,
        configuration: &Arc<Configuration>,
    ) -> Result<Option<Arc<Configuration>>, DocumentError> {
        if configuration.revision <= self.revision() {
            return Ok(None);
        }
        Ok(Some(self.replace_current(Current {
            configuration: configuration.clone(),
            document: configuration.to_document()?.into(),
            complete: true,
        })))
    }

    /// Handles a delta. It is ignored if its base is not the revision in force.
    fn offer_delta(
        &mut self,
        revision: u64,
        text: &[u8],
    ) -> Result<Option<Arc<Configuration>>, DocumentError> {
        let delta = Delta::parse(text)?;
        let current = match &self.current {
            // JSON members that this version of the software does not know exist only in the
            // document, and a delta would lose them. The host needs the full document instead.
            Some(current) if current.complete => current,
            _ => return Ok(None),
        };
        if current.configuration.revision != delta.base {
            return Ok(None);
        }
        let next = delta.apply(&current.configuration, revision);
        let document: Bytes = next.to_document()?.into();
        // The result must pass the same validation as a document.
        let configuration = Arc::new(Configuration::parse(revision, &document)?);
        Ok(Some(self.replace_current(Current {
            configuration,
            document,
            complete: true,
        })))
    }

    fn replace_current(&mut self, next: Current) -> Arc<Configuration> {
        let configuration = next.configuration.clone();
        if let Some(last) = self.current.replace(next) {
            self.previous.push_back(last.configuration);
        }
        if self.previous.len() > MAX_PREVIOUS_REVISIONS {
            self.previous.pop_front();
        }
        configuration
    }

    /// Returns the revision in force, or zero if there is none.
    pub fn revision(&self) -> u64 {
        let current = self.current.as_ref();
        current.map_or(0, |current| current.configuration.revision)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref().map(|current| &current.configuration)
    }

    /// Returns the JSON text of the configuration in force.
    pub fn document(&self) -> Option<&Bytes> {
        self.current.as_ref().map(|current| &current.document)
    }

    /// Returns the update to send to a host whose revision in force is `have` (zero if it has none
    /// or its revision is unknown): a delta if that revision is still kept here, and the full
    /// document otherwise. Returns `None` if the host needs no update.
    pub fn update_for(&self, have: u64) -> Option<Bytes> {
        let current = self.current.as_ref()?;
        if current.configuration.revision <= have {
            return None;
        }
        let delta = self.delta_from(have, current);
        Some(delta.unwrap_or_else(|| current.document.clone()))
    }

    /// Returns the delta from revision `have`, unless it is not kept or a delta would lose members.
    fn delta_from(&self, have: u64, current: &Current) -> Option<Bytes> {
        if !current.complete {
            return None;
        }
        let base = self.previous.iter().find(|kept| kept.revision == have)?;
        let delta = Delta::between(base, &current.configuration)?;
        Some(delta.to_text().into())
    }
}
