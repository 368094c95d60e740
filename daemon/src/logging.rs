//! Log lines on standard error.

use std::io::stderr;
use std::time::SystemTime;

use log::LevelFilter;
use snafu::ResultExt;

use crate::error::DaemonError;
use crate::error::LoggingSnafu;

/// Prefixes of the modules whose lines follow the level of the settings.
const OWN_MODULES: [&str; 2] = ["cardamomshift_lib", "cardamomshiftd"];

/// Writes lines from `level` on; other libraries only write warnings and errors.
pub(crate) fn start(level: &str) -> Result<(), DaemonError> {
    // The settings have been checked; anything else would be a level added later.
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let others = level.min(LevelFilter::Warn);
    let base = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {:5} {}: {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            ));
        })
        .level(others)
        .chain(stderr());
    OWN_MODULES
        .into_iter()
        .fold(base, |dispatch, module| dispatch.level_for(module, level))
        .apply()
        .context(LoggingSnafu)
}
