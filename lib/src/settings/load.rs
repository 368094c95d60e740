//! Reads settings and refuses values that a daemon cannot run with.

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

/// Why settings were refused. No variant carries the text of a value, which may be a key.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings from {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A key is unknown, missing, of the wrong type or out of its range.
    #[snafu(display("line {line}: {}{reason}", KeyPrefix(key)))]
    Invalid {
        /// Dotted path of the key, empty if the text is not TOML.
        key: String,
        /// Line of the key, counted from one.
        line: usize,
        /// What is wrong and what would be right.
        reason: String,
    },
}

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
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// See [`SettingsError`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads settings from TOML text.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Invalid`] with the path and the line of the first key at fault.
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
        // The parser quotes a value of the wrong type.
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

fn is_secret(key: &str) -> bool {
    key.rsplit('.').next() == Some("key")
}
