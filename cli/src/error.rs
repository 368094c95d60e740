//! Why a command failed.

use std::io;
use std::path::PathBuf;

use cardamomshift_lib::operator::ErrorCode;
use serde_json::Value;
use serde_json::json;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// No host was given.
    #[snafu(display("no host: give --host IP:PORT or set CARDAMOMSHIFT_HOST"))]
    NoHost,
    /// The list of hosts in the environment has a wrong form.
    #[snafu(display("CARDAMOMSHIFT_HOST: {text:?} is not IP:PORT"))]
    HostForm { text: String },
    /// No key was given.
    #[snafu(display("no key: give --key-file FILE or set CARDAMOMSHIFT_KEY"))]
    NoKey,
    /// The key file cannot be read.
    #[snafu(display("cannot read the key from {}: {source}", path.display()))]
    KeyFile { path: PathBuf, source: io::Error },
    /// The key has characters that no key has.
    #[snafu(display("the key must be one line of printable ASCII characters without spaces"))]
    KeyForm,
    /// The system has no randomness to draw a key from.
    #[snafu(display("cannot draw a key: {source}"))]
    Random { source: getrandom::Error },
    /// A host has answered with an error.
    #[snafu(display("{message}"))]
    Answered { code: ErrorCode, message: String },
    /// No host could be reached, or none gave an answer that can be read.
    #[snafu(display("no host has answered:\n  {}", tried.join("\n  ")))]
    Unreachable { tried: Vec<String> },
    /// A change was sent, and whether it is stored is unknown.
    #[snafu(display(
        "it is unknown whether the change is stored. See `config history` for change {id}; \
         after a lost key run `workspace rotate-key`:\n  {}",
        tried.join("\n  ")
    ))]
    Unknown { id: String, tried: Vec<String> },
}

impl CliError {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoHost
            | Self::HostForm { .. }
            | Self::NoKey
            | Self::KeyFile { .. }
            | Self::KeyForm => 2,
            Self::Answered { code, .. } if !code.may_succeed_on_another_host() => 1,
            Self::Answered { .. } | Self::Unreachable { .. } | Self::Random { .. } => 3,
            Self::Unknown { .. } => 4,
        }
    }

    /// The error for programs.
    pub(crate) fn to_json(&self) -> Value {
        let code = match self {
            Self::Answered { code, .. } => json!(code),
            Self::Unreachable { .. } => json!("unreachable"),
            Self::Unknown { .. } => json!("outcome_unknown"),
            Self::Random { .. } => json!("no_randomness"),
            _ => json!("usage"),
        };
        json!({ "error": { "code": code, "message": self.to_string() } })
    }
}
