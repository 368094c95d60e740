//! Serialization of the configuration as a JSON document, and its validation.
//!
//! The platform, the external system that the fleet runs on, stores the document as one object.
//! Every document that is read is validated, since it may have been written by another version of
//! the software or by hand.

use std::collections::HashSet;

use compact_str::CompactString;
use compact_str::format_compact;
use serde_json::Value;
use snafu::Snafu;

use super::Configuration;
use super::change::MAX_CHANGE_RECORDS;
use super::change::MAX_CLASSES;
use super::name::is_host_list_name;
use super::name::is_key_hash;
use super::name::is_name;

/// Maximum size of a document, in bytes: the size limit of objects in the platform's object API.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Reason why a document is not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[snafu(display("the configuration takes {bytes} bytes of at most {MAX_DOCUMENT_BYTES}"))]
    TooLarge {
        /// Size of the document, in bytes.
        bytes: usize,
    },
    /// The document is not JSON, or its members have the wrong types.
    #[snafu(display("the configuration cannot be read: {reason}"))]
    Malformed {
        /// Message of the JSON parser.
        reason: CompactString,
    },
    /// The document violates an invariant of the configuration, for example that names are
    /// unique.
    #[snafu(display("the configuration is inconsistent: {reason}"))]
    Inconsistent {
        /// What violates the invariant.
        reason: CompactString,
    },
}

impl Configuration {
    /// Parses and validates a stored document of the given revision. JSON members that this version
    /// of the software does not know are ignored.
    ///
    /// # Errors
    ///
    /// A [`DocumentError`] if the document is not a valid configuration.
    pub fn parse(revision: u64, document: &[u8]) -> Result<Self, DocumentError> {
        if document.len() > MAX_DOCUMENT_BYTES {
            let bytes = document.len();
            return Err(DocumentError::TooLarge { bytes });
        }
        let parsed: Self = serde_json::from_slice(document).map_err(malformed)?;
        parsed.check()?;
        Ok(Self { revision, ..parsed })
    }

    /// Returns the document to store: JSON text without the revision.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the document exceeds [`MAX_DOCUMENT_BYTES`].
    pub fn to_document(&self) -> Result<Vec<u8>, DocumentError> {
        let document = serde_json::to_vec(self).map_err(malformed)?;
        if document.len() > MAX_DOCUMENT_BYTES {
            let bytes = document.len();
            return Err(DocumentError::TooLarge { bytes });
        }
        Ok(document)
    }

    /// Whether `document`, from which `self` was parsed, has JSON members that this version of the
    /// software does not know. They would be lost if `self` was written in its place.
    pub(crate) fn drops_members_of(&self, document: &[u8]) -> Result<bool, DocumentError> {
        let stored = serde_json::from_slice(document).map_err(malformed)?;
        let known = serde_json::to_value(self).map_err(malformed)?;
        Ok(!has_members_of(&known, &stored))
    }

    /// Checks the invariants that the types do not guarantee. The maximum target of a class is not
    /// one of them; it is checked only when a class is set.
    fn check(&self) -> Result<(), DocumentError> {
        self.check_workspaces()?;
        self.check_classes()?;
        let mut out = self.domains_out.iter().chain(&self.servers_out);
        if let Some(name) = out.find(|name| !is_host_list_name(name)) {
            return inconsistent(format_compact!("{name:?} is no name of the platform"));
        }
        if self.changes.len() > MAX_CHANGE_RECORDS {
            return inconsistent("too many change records");
        }
        Ok(())
    }

    /// Checks that workspaces have valid, unique names and key hashes, and rising numbers below
    /// `next_workspace`.
    fn check_workspaces(&self) -> Result<(), DocumentError> {
        let mut names = HashSet::new();
        let mut hashes = HashSet::new();
        let mut min_id = 0;
        for workspace in &self.workspaces {
            let name = &workspace.name;
            if !is_name(name) || !names.insert(name) {
                return inconsistent(format_compact!("workspace name {name:?}"));
            }
            if !is_key_hash(&workspace.key_hash) || !hashes.insert(&workspace.key_hash) {
                return inconsistent(format_compact!("key hash of workspace {name}"));
            }
            if workspace.id.0 < min_id || workspace.id.0 >= self.next_workspace {
                return inconsistent(format_compact!("number of workspace {name}"));
            }
            min_id = workspace.id.0 + 1;
        }
        Ok(())
    }

    /// Checks that classes have valid, unique names and targets above zero, and are not too many.
    fn check_classes(&self) -> Result<(), DocumentError> {
        let mut names = HashSet::new();
        for class in &self.classes {
            if !is_name(&class.name) || !names.insert(&class.name) || class.target_ms == 0 {
                return inconsistent(format_compact!("class {:?}", class.name));
            }
        }
        if self.classes.len() > MAX_CLASSES {
            return inconsistent("too many classes");
        }
        Ok(())
    }
}

/// Whether each member of every JSON object in `stored` also exists in `known`, at the same place.
/// Other values are not compared.
fn has_members_of(known: &Value, stored: &Value) -> bool {
    match (known, stored) {
        (Value::Object(known), Value::Object(stored)) => stored.iter().all(|(name, value)| {
            let member = known.get(name);
            member.is_some_and(|member| has_members_of(member, value))
        }),
        (Value::Array(known), Value::Array(stored)) => {
            let mut pairs = known.iter().zip(stored);
            pairs.all(|(known, stored)| has_members_of(known, stored))
        }
        _ => true,
    }
}

/// Wraps an error of the JSON parser.
pub(super) fn malformed(err: serde_json::Error) -> DocumentError {
    DocumentError::Malformed {
        reason: err.to_string().into(),
    }
}

fn inconsistent(reason: impl Into<CompactString>) -> Result<(), DocumentError> {
    Err(DocumentError::Inconsistent {
        reason: reason.into(),
    })
}
