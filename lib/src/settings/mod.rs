//! Settings of the daemon.

mod check;
mod load;
mod locate;
mod secret;

use std::net::IpAddr;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;

pub use check::MAX_NAME_BYTES;
pub use check::MAX_SECRET_BYTES;
pub use check::MIN_SECRET_BYTES;
pub use load::SettingsError;
pub use secret::Secret;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host itself.
    pub host: HostSettings,
    /// Listeners.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Links between the hosts of the fleet.
    pub fleet: FleetSettings,
    /// Operator access.
    pub operators: OperatorSettings,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// The host itself.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name in the host list.
    pub name: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
}

/// Listeners. All of them are IP addresses with a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Links from other hosts of the fleet.
    pub peers: SocketAddr,
    /// Operator interface.
    pub operators: SocketAddr,
    /// Metrics and health.
    pub metrics: SocketAddr,
}

/// The platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Object API.
    pub object_api: SocketAddr,
    /// Host list.
    pub host_list: SocketAddr,
}

/// Links between the hosts of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Key that every host of the fleet proves to its peers.
    pub key: Secret,
    /// Address that outgoing links are bound to; the system chooses if absent.
    #[serde(default)]
    pub source: Option<IpAddr>,
}

/// Operator access.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Key that operators present.
    pub key: Secret,
}

/// Limits on callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Largest head of a request, bytes.
    pub header_bytes: usize,
    /// Connections of callers at once.
    pub connections: usize,
    /// Time within which a caller must have sent the head of its request, milliseconds.
    pub header_timeout_ms: u64,
    /// Time within which a caller must have sent the body of its request, milliseconds.
    pub body_timeout_ms: u64,
    /// Waiting requests of one workspace on this host.
    pub waiting_per_workspace: usize,
    /// Time within which a backend server must begin its answer, milliseconds.
    pub answer_timeout_ms: u64,
    /// Longest silence within an answer, milliseconds.
    pub idle_timeout_ms: u64,
    /// Time that running requests have to end at a planned stop, milliseconds.
    pub drain_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            connections: 4096,
            header_timeout_ms: 5_000,
            body_timeout_ms: 15_000,
            waiting_per_workspace: 1_000,
            answer_timeout_ms: 60_000,
            idle_timeout_ms: 30_000,
            drain_timeout_ms: 300_000,
        }
    }
}

/// Logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written: `error`, `warn`, `info` or `debug`.
    pub level: CompactString,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: CompactString::const_new("info"),
        }
    }
}
