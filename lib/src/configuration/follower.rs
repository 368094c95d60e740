//! The configuration in force on one host.

use std::sync::Arc;

use bytes::Bytes;

use super::Configuration;
use super::DocumentError;

/// Follows the stored configuration through whatever copies of it arrive.
///
/// Copies come from watches of the object API, which may read stale ones, and from other hosts,
/// which may lag. Only a rising revision takes force, so the configuration never reverts, and a
/// copy that breaks a rule leaves the one in force where it is.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    current: Option<Current>,
}

#[derive(Clone, Debug)]
struct Current {
    configuration: Arc<Configuration>,
    document: Bytes,
}

impl Follower {
    /// Starts without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a copy of the stored object. Returns the configuration if it takes force, and
    /// `None` if its revision is not above the one in force.
    ///
    /// # Errors
    ///
    /// A document that is no configuration; the one in force stays.
    pub fn offer_document(
        &mut self,
        revision: u64,
        document: impl Into<Bytes>,
    ) -> Result<Option<Arc<Configuration>>, DocumentError> {
        if revision <= self.revision() {
            return Ok(None);
        }
        let document = document.into();
        let configuration = Arc::new(Configuration::parse(revision, &document)?);
        self.current = Some(Current {
            configuration: configuration.clone(),
            document,
        });
        Ok(Some(configuration))
    }

    /// Takes a configuration that this host has stored itself. Returns it if it takes force.
    ///
    /// # Errors
    ///
    /// A configuration too large to be stored; the one in force stays.
    pub fn offer(
        &mut self,
        configuration: &Arc<Configuration>,
    ) -> Result<Option<Arc<Configuration>>, DocumentError> {
        if configuration.revision <= self.revision() {
            return Ok(None);
        }
        let document = configuration.to_document()?.into();
        self.current = Some(Current {
            configuration: configuration.clone(),
            document,
        });
        Ok(Some(configuration.clone()))
    }

    /// Revision in force, zero for none.
    pub fn revision(&self) -> u64 {
        let current = self.current.as_ref();
        current.map_or(0, |current| current.configuration.revision)
    }

    /// Configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref().map(|current| &current.configuration)
    }

    /// Document in force, to be passed on to hosts that lag.
    pub fn document(&self) -> Option<&Bytes> {
        self.current.as_ref().map(|current| &current.document)
    }
}
