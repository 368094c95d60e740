//! Errors that end the daemon, and their exit codes.

use std::io;
use std::process::ExitCode;

use cardamomshift_lib::settings::SettingsError;
use snafu::Snafu;

/// Exit code for invalid settings. Other errors give 1.
const EXIT_SETTINGS: u8 = 2;

/// Error that ends the daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DaemonError {
    /// The settings of a host with the fleet's own interface are not valid.
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    /// The settings of an entry host, which the platform provides, are not valid.
    #[snafu(display("{source}"))]
    PlatformSettings {
        source: cardamomshift_platform::SettingsError,
    },
    /// The entry host cannot be started.
    #[snafu(display("cannot start the entry host: {source}"))]
    Entry {
        source: cardamomshift_lib::entry::EntryError,
    },
    /// The logger cannot be installed.
    #[snafu(display("cannot start logging: {source}"))]
    Logging { source: log::SetLoggerError },
    /// The operating system refuses the resources for the async runtime or a thread.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: io::Error },
    /// A host with the fleet's own interface cannot be started.
    #[snafu(display("cannot start the host: {source}"))]
    Start {
        source: cardamomshift_lib::runtime::DaemonError,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals { source: io::Error },
}

impl DaemonError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings { .. } | Self::PlatformSettings { .. } => ExitCode::from(EXIT_SETTINGS),
            Self::Logging { .. }
            | Self::Runtime { .. }
            | Self::Start { .. }
            | Self::Entry { .. }
            | Self::Signals { .. } => ExitCode::FAILURE,
        }
    }
}
