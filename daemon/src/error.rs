//! Why the daemon ends early.

use std::io;
use std::process::ExitCode;

use cardamomshift_lib::settings::SettingsError;
use snafu::Snafu;

/// Exit code for settings that the daemon cannot run with.
const EXIT_SETTINGS: u8 = 2;

/// Why the daemon ends early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DaemonError {
    /// The settings are not valid.
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    /// The platform's settings are not valid.
    #[snafu(display("{source}"))]
    PlatformSettings {
        source: cardamomshift_platform::SettingsError,
    },
    /// The entry host cannot be started.
    #[snafu(display("cannot start the entry host: {source}"))]
    Entry {
        source: cardamomshift_lib::entry::EntryError,
    },
    /// The log cannot be opened.
    #[snafu(display("cannot start logging: {source}"))]
    Logging { source: log::SetLoggerError },
    /// The system refuses threads or timers.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: io::Error },
    /// The host cannot be started.
    #[snafu(display("cannot start the host: {source}"))]
    Start {
        source: cardamomshift_lib::runtime::DaemonError,
    },
    /// The system refuses to pass signals on.
    #[snafu(display("cannot listen for signals: {source}"))]
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
