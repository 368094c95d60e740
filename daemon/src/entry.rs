//! Runs an entry host: a reverse proxy that forwards the requests of callers to backend servers.
//!
//! The platform, the external system that the host runs on, defines the settings file, the HTTP
//! headers of requests and responses, and a store of objects such as the fleet's configuration. It
//! may replace the settings file at any time. The daemon polls the file, reads it again on SIGHUP,
//! and applies the changes that need no restart.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cardamomshift_lib::entry::EntryControl;
use cardamomshift_lib::entry::EntryDaemon;
use cardamomshift_lib::time::Clock;
use cardamomshift_platform::PlatformSettings;
use cardamomshift_platform::Store;
use cardamomshift_platform::entry_parts;
use log::info;
use log::warn;
use snafu::ResultExt;

use crate::args::EntryArgs;
use crate::error::DaemonError;
use crate::error::EntrySnafu;
use crate::error::PlatformSettingsSnafu;
use crate::error::RuntimeSnafu;
use crate::error::SignalsSnafu;
use crate::json_log;
use crate::signal::StopSignals;

/// Interval at which the settings file is read again, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an entry host until a signal stops it, or only checks its settings.
pub(crate) fn run(args: &EntryArgs) -> Result<(), DaemonError> {
    let path = match &args.settings {
        Some(path) => path.clone(),
        None => PlatformSettings::path().context(PlatformSettingsSnafu)?,
    };
    let settings = PlatformSettings::load(&path).context(PlatformSettingsSnafu)?;
    if args.check {
        println!("settings are valid");
        return Ok(());
    }
    let log_dropped = json_log::start(args.log_level)?;
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let result = rt.block_on(serve(path, settings, args.metrics_port, log_dropped));
    log::logger().flush();
    result
}

/// Runs the entry host. The first SIGTERM or SIGINT starts a graceful stop, after which this
/// returns; later signals have no effect. `log_dropped` is the logger's count of dropped lines,
/// which the host shows as a metric.
async fn serve(
    path: PathBuf,
    mut settings: PlatformSettings,
    metrics_port: Option<u16>,
    log_dropped: Arc<AtomicU64>,
) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    settings.listen.metrics = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    log_settings(&settings, "starting");
    let store = Store::new(settings.store);
    let parts = entry_parts(&settings, &store, Clock::start(), log_dropped);
    let daemon = EntryDaemon::start(parts).await.context(EntrySnafu)?;
    let control = daemon.control();
    let reloading = tokio::spawn(follow_settings(path, settings, store, control));
    daemon.serve(signals.next()).await;
    reloading.abort();
    Ok(())
}

/// Logs the settings, with a warning for each contract that this version does not implement. A
/// contract is a named group of requirements of the platform on an entry host.
fn log_settings(settings: &PlatformSettings, event: &str) {
    info!(target: "host", host = settings.identity.name.as_str(),
        domain = settings.identity.domain.as_str(),
        callers = settings.listen.callers.to_string(), store = settings.store.to_string(),
        version = env!("CARGO_PKG_VERSION"); "{event}");
    for name in &settings.unimplemented_contracts {
        warn!(target: "host", contract = name.as_str();
            "contract is not implemented by this version");
    }
}

/// Applies changes of the settings file until the task is aborted.
///
/// The address of the store and the fleet-wide limits (`bounds`, for example on retries) take
/// effect at once; other settings need a restart. An invalid file leaves the current settings in
/// force, and the same error is logged only once in a row.
async fn follow_settings(
    path: PathBuf,
    mut current: PlatformSettings,
    store: Store,
    control: EntryControl,
) -> Result<(), DaemonError> {
    let kind = tokio::signal::unix::SignalKind::hangup();
    let mut hangup = tokio::signal::unix::signal(kind).context(SignalsSnafu)?;
    let mut last_error = None;
    loop {
        tokio::select! {
            _ = hangup.recv() => info!(target: "host", "reading the settings again after SIGHUP"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match reload(&path, &current) {
            Ok(settings) if settings == current => last_error = None,
            Ok(settings) => {
                log_settings(&settings, "settings changed");
                if settings.store != current.store {
                    store.set_address(settings.store);
                }
                if settings.listen != current.listen || settings.identity != current.identity {
                    warn!(target: "host", "changed addresses and names need a restart");
                }
                control.set_bounds(settings.bounds);
                current = settings;
                last_error = None;
            }
            Err(err) => {
                if last_error.as_ref() != Some(&err) {
                    warn!(target: "host", reason = err.as_str();
                        "cannot load the settings; the current ones stay in force");
                }
                last_error = Some(err);
            }
        }
    }
}

/// Reads the settings file again. The address for metrics is not in the file and is taken from
/// `current`.
fn reload(path: &Path, current: &PlatformSettings) -> Result<PlatformSettings, String> {
    let mut settings = PlatformSettings::load(path).map_err(|err| err.to_string())?;
    settings.listen.metrics = current.listen.metrics;
    Ok(settings)
}
