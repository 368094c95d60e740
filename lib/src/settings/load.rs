//! Reads and validates the settings of the daemon.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use snafu::Snafu;

use super::Settings;
use super::check::check;
use super::locate::line_of_key;
use super::locate::locate_span;

/// Reason why settings were rejected. The message never quotes the value of a secret key.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read settings from {}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not TOML, or a key is unknown or missing, or has a value of the wrong type or
    /// out of range.
    #[snafu(display("line {line}: {}{reason}", KeyPrefix(key)))]
    Invalid {
        /// Dotted path of the key, empty if the text is not TOML.
        key: String,
        /// Line number of the key, counted from one.
        line: usize,
        /// What is wrong, and which values are valid.
        reason: String,
    },
}

/// Formats a key followed by a colon, or nothing for an empty key.
struct KeyPrefix<'a>(&'a str);

impl std::fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0.is_empty() {
            return Ok(());
        }
        write!(f, "{}: ", self.0)
    }
}

impl Settings {
    /// Reads settings from a TOML file.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] if the file cannot be read or its settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses and validates settings in TOML.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with the path and the line of the first invalid key.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|err| parse_error(text, &err))?;
        check(&settings).map_err(|invalid| SettingsError::Invalid {
            line: line_of_key(text, invalid.key),
            key: invalid.key.to_owned(),
            reason: invalid.reason,
        })?;
        Ok(settings)
    }
}

fn parse_error(text: &str, err: &toml::de::Error) -> SettingsError {
    let location = locate_span(text, err.span().unwrap_or(0..0));
    let reason = if is_secret(&location.key) {
        // The message of the parser would quote the secret if it has the wrong type.
        "must be a string of one line in double quotes".to_owned()
    } else {
        err.message().to_owned()
    };
    SettingsError::Invalid {
        key: location.key,
        line: location.line,
        reason,
    }
}

/// Whether a dotted path names a secret. All secrets are named `key`.
fn is_secret(key: &str) -> bool {
    key.rsplit('.').next() == Some("key")
}
