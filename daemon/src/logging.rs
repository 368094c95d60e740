//! Log of a host with the fleet's own interface: text lines on standard error. Entry hosts write a
//! JSON log instead.

use std::io::stderr;
use std::time::SystemTime;

use log::LevelFilter;
use snafu::ResultExt;

use crate::error::DaemonError;
use crate::error::LoggingSnafu;

/// Prefixes of the modules that follow the configured level. Other libraries only log warnings and
/// errors.
const OWN_MODULES: [&str; 2] = ["cardamomshift_lib", "cardamomshiftd"];

/// Installs the logger, for messages of `level` and more severe ones.
pub(crate) fn start(level: &str) -> Result<(), DaemonError> {
    // Loading the settings has validated the level. The fallback only applies if the settings
    // accept a level that the `log` crate does not know.
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
