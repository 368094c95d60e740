//! Errors of commands, their exit codes and their JSON form.

use std::io;
use std::path::PathBuf;

use cardamomshift_lib::operator::ErrorCode;
use serde_json::Value;
use serde_json::json;
use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// No host was given.
    #[snafu(display("no host given: use --host IP:PORT or set CARDAMOMSHIFT_HOST"))]
    NoHost,
    /// An entry of the host list in the environment is not an address.
    #[snafu(display("CARDAMOMSHIFT_HOST: {text:?} is not IP:PORT"))]
    InvalidHost { text: String },
    /// No key was given.
    #[snafu(display("no key given: use --key-file FILE or set CARDAMOMSHIFT_KEY"))]
    NoKey,
    /// The key file cannot be read.
    #[snafu(display("cannot read the key from {}: {source}", path.display()))]
    KeyFile { path: PathBuf, source: io::Error },
    /// The key is empty or has invalid characters.
    #[snafu(display("the key must be one line of printable ASCII characters without spaces"))]
    InvalidKey,
    /// The operating system provides no random numbers for a key or an identifier.
    #[snafu(display("cannot generate random numbers: {source}"))]
    Random { source: getrandom::Error },
    /// A host responded with an error.
    #[snafu(display("{message}"))]
    ErrorResponse { code: ErrorCode, message: String },
    /// No host could be reached, or none gave a readable response.
    #[snafu(display("no host responded:\n  {}", failures.join("\n  ")))]
    Unreachable { failures: Vec<String> },
    /// A change was sent, and it is unknown whether it is stored.
    #[snafu(display(
        "it is unknown whether the change is stored. Look for change {id} in `config history`; \
         if a new key was lost, run `workspace rotate-key`:\n  {}",
        failures.join("\n  ")
    ))]
    OutcomeUnknown { id: String, failures: Vec<String> },
}

impl CliError {
    /// Exit code of the process, as listed in the help text: 1 refused, 2 usage error, 3 failed and
    /// may succeed on a retry or on another host, 4 unknown whether a change is stored.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoHost
            | Self::InvalidHost { .. }
            | Self::NoKey
            | Self::KeyFile { .. }
            | Self::InvalidKey => 2,
            Self::ErrorResponse { code, .. } if !code.may_succeed_on_another_host() => 1,
            Self::ErrorResponse { .. } | Self::Unreachable { .. } | Self::Random { .. } => 3,
            Self::OutcomeUnknown { .. } => 4,
        }
    }

    /// The error as JSON, for the option `--json`.
    pub(crate) fn to_json(&self) -> Value {
        let code = match self {
            Self::ErrorResponse { code, .. } => json!(code),
            Self::Unreachable { .. } => json!("unreachable"),
            Self::OutcomeUnknown { .. } => json!("outcome_unknown"),
            Self::Random { .. } => json!("no_randomness"),
            _ => json!("usage"),
        };
        json!({ "error": { "code": code, "message": self.to_string() } })
    }
}
