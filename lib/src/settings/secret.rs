//! Wrapper that keeps keys out of logs and error messages.

use std::fmt;

use compact_str::CompactString;
use serde::Deserialize;

/// A key from the settings. Its `Debug` output omits the text, and it has no `Display`.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(CompactString);

impl Secret {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<CompactString>) -> Self {
        Self(text.into())
    }

    /// Returns the bytes of the key. Use them only to compare keys or to derive others.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
