//! Keys that must not be shown.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;

/// A key from the settings. Its text is never formatted.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps a key.
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }

    /// The bytes of the key, for comparison and derivation only.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
