//! Validates the values of settings: their ranges, and constraints between them.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::LimitSettings;
use super::ListenSettings;
use super::Secret;
use super::Settings;

/// Minimum length of a secret key, in bytes.
pub const MIN_SECRET_BYTES: usize = 24;
/// Maximum length of a secret key, in bytes.
pub const MAX_SECRET_BYTES: usize = 512;
/// Maximum length of the name of a host or failure domain, in bytes.
pub const MAX_HOST_NAME_BYTES: usize = 253;

/// Valid log levels.
const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// A setting that failed validation.
pub(crate) struct InvalidSetting {
    /// Dotted path of the key.
    pub(crate) key: &'static str,
    /// What is wrong, and which values are valid.
    pub(crate) reason: String,
}

impl InvalidSetting {
    fn new(key: &'static str, reason: impl Into<String>) -> Self {
        Self {
            key,
            reason: reason.into(),
        }
    }
}

/// Validates everything that the types of the settings do not guarantee.
///
/// # Errors
///
/// The first invalid setting.
pub(crate) fn check(settings: &Settings) -> Result<(), InvalidSetting> {
    check_name("host.name", &settings.host.name)?;
    check_name("host.domain", &settings.host.domain)?;
    check_listeners(&settings.listen)?;
    check_port("platform.object_api", settings.platform.object_api)?;
    check_port("platform.host_list", settings.platform.host_list)?;
    check_keys(settings)?;
    check_source(settings)?;
    check_limits(&settings.limits)?;
    check_level(&settings.log.level)
}

fn check_name(key: &'static str, text: &str) -> Result<(), InvalidSetting> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
    if text.is_empty() || text.len() > MAX_HOST_NAME_BYTES || !text.bytes().all(allowed) {
        return Err(InvalidSetting::new(
            key,
            format!(
                "must be 1 to {MAX_HOST_NAME_BYTES} ASCII letters, digits, hyphens, dots or \
                 underscores"
            ),
        ));
    }
    Ok(())
}

fn check_port(key: &'static str, address: SocketAddr) -> Result<(), InvalidSetting> {
    if address.port() == 0 {
        return Err(InvalidSetting::new(key, "must have a port other than 0"));
    }
    Ok(())
}

/// Checks that each listener has a port, that no two overlap, and that the one for other hosts has
/// no wildcard address.
fn check_listeners(listen: &ListenSettings) -> Result<(), InvalidSetting> {
    let all = [
        ("listen.callers", listen.callers),
        ("listen.peers", listen.peers),
        ("listen.operators", listen.operators),
        ("listen.metrics", listen.metrics),
    ];
    for (i, (key, address)) in all.into_iter().enumerate() {
        check_port(key, address)?;
        if let Some((other, _)) = all[..i].iter().find(|(_, used)| overlaps(*used, address)) {
            let reason = format!("must differ from {other}: both listen on {address}");
            return Err(InvalidSetting::new(key, reason));
        }
    }
    if listen.peers.ip().is_unspecified() {
        // Other hosts connect only to the address of this host in the host list, so a wildcard
        // would wrongly suggest that any local address works.
        return Err(InvalidSetting::new(
            "listen.peers",
            "must be an IP address of this host, not a wildcard",
        ));
    }
    Ok(())
}

/// Whether two listeners cannot be open at the same time: they have the same port, and the same IP
/// address or a wildcard as one of their addresses.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port()
}

/// Checks the secret keys, which must differ from each other.
fn check_keys(settings: &Settings) -> Result<(), InvalidSetting> {
    check_secret("fleet.key", &settings.fleet.key)?;
    check_secret("operators.key", &settings.operators.key)?;
    if settings.fleet.key == settings.operators.key {
        return Err(InvalidSetting::new(
            "operators.key",
            "must differ from fleet.key",
        ));
    }
    Ok(())
}

fn check_secret(key: &'static str, secret: &Secret) -> Result<(), InvalidSetting> {
    let bytes = secret.expose();
    if !(MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&bytes.len()) {
        let reason = format!("must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} characters");
        return Err(InvalidSetting::new(key, reason));
    }
    if !bytes.iter().all(u8::is_ascii_graphic) {
        return Err(InvalidSetting::new(
            key,
            "must consist of printable ASCII characters without spaces",
        ));
    }
    Ok(())
}

/// Checks that the local address of outgoing connections, if set, has the IP version of the
/// listener for other hosts.
fn check_source(settings: &Settings) -> Result<(), InvalidSetting> {
    let Some(source) = settings.fleet.source else {
        return Ok(());
    };
    if source.is_ipv4() != settings.listen.peers.is_ipv4() {
        let reason = "must be of the same IP version as listen.peers";
        return Err(InvalidSetting::new("fleet.source", reason));
    }
    Ok(())
}

fn check_limits(limits: &LimitSettings) -> Result<(), InvalidSetting> {
    const MINUTE_MS: u64 = 60_000;
    let LimitSettings {
        body_bytes,
        held_body_bytes,
        header_bytes,
        connections,
        header_timeout_ms,
        body_timeout_ms,
        waiting_per_workspace,
        answer_timeout_ms,
        idle_timeout_ms,
        drain_timeout_ms,
    } = *limits;
    check_range("limits.body_bytes", body_bytes, 1 << 10..=64 << 20)?;
    // A workspace that holds nothing may hold half.
    check_range(
        "limits.held_body_bytes",
        held_body_bytes,
        2 * body_bytes..=64 << 30,
    )?;
    check_range("limits.header_bytes", header_bytes, 8 << 10..=1 << 20)?;
    check_range("limits.connections", connections, 1..=100_000)?;
    check_range(
        "limits.header_timeout_ms",
        header_timeout_ms,
        100..=MINUTE_MS,
    )?;
    check_range(
        "limits.body_timeout_ms",
        body_timeout_ms,
        100..=10 * MINUTE_MS,
    )?;
    check_range(
        "limits.waiting_per_workspace",
        waiting_per_workspace,
        1..=100_000,
    )?;
    check_range(
        "limits.answer_timeout_ms",
        answer_timeout_ms,
        100..=60 * MINUTE_MS,
    )?;
    check_range(
        "limits.idle_timeout_ms",
        idle_timeout_ms,
        100..=60 * MINUTE_MS,
    )?;
    check_range(
        "limits.drain_timeout_ms",
        drain_timeout_ms,
        100..=60 * MINUTE_MS,
    )
}

fn check_range<T: PartialOrd + Display>(
    key: &'static str,
    value: T,
    allowed: RangeInclusive<T>,
) -> Result<(), InvalidSetting> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let (low, high) = allowed.into_inner();
    Err(InvalidSetting::new(
        key,
        format!("must be between {low} and {high}, is {value}"),
    ))
}

fn check_level(level: &str) -> Result<(), InvalidSetting> {
    if LEVELS.contains(&level) {
        return Ok(());
    }
    let reason = format!("must be one of {}", LEVELS.join(", "));
    Err(InvalidSetting::new("log.level", reason))
}
