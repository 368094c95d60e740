//! Settings of the daemon, read from a TOML file at the start.

mod check;
mod load;
mod locate;
mod secret;

use std::net::IpAddr;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;

pub use check::MAX_HOST_NAME_BYTES;
pub use check::MAX_SECRET_BYTES;
pub use check::MIN_SECRET_BYTES;
pub use load::SettingsError;
pub use secret::Secret;

/// Settings of one daemon. Each field is a section of the TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the host.
    pub host: HostSettings,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// Addresses of the platform, the external system that the fleet runs on.
    pub platform: PlatformSettings,
    /// Connections to the other hosts of the fleet.
    pub fleet: FleetSettings,
    /// Access of operators.
    pub operators: OperatorSettings,
    /// Limits and timeouts for callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity of the host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host in the platform's host list.
    pub name: CompactString,
    /// Name of the failure domain (zone) that the host is in.
    pub domain: CompactString,
}

/// Addresses of the listeners, each an IP address with a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP listener for requests of callers.
    pub callers: SocketAddr,
    /// Listener for connections from other hosts of the fleet.
    pub peers: SocketAddr,
    /// HTTP listener for the operators' interface.
    pub operators: SocketAddr,
    /// HTTP listener for metrics and health checks.
    pub metrics: SocketAddr,
}

/// Addresses of the platform, the external system that the fleet runs on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Object API, which stores the configuration of the fleet and the records of operations.
    pub object_api: SocketAddr,
    /// Host list, which names the entry hosts and backend servers of the fleet.
    pub host_list: SocketAddr,
}

/// Connections to the other hosts of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Shared key by which the hosts of the fleet authenticate each other.
    pub key: Secret,
    /// Local address of outgoing connections to other hosts. If absent, the operating system
    /// chooses it.
    #[serde(default)]
    pub source: Option<IpAddr>,
}

/// Access of operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Shared key by which operators authenticate.
    pub key: Secret,
}

/// Limits and timeouts for callers' requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of all request bodies that are held at once, in bytes. A workspace may hold as much as
    /// is left free.
    pub held_body_bytes: usize,
    /// Maximum size of a request head (request line and header fields), in bytes.
    pub header_bytes: usize,
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Time within which a caller must have sent the head of its request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time within which a caller must have sent the body of its request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of requests of one workspace that wait on this host for a backend server.
    pub waiting_per_workspace: usize,
    /// Time within which the head of a backend server's response must arrive, then its body if it is read
    /// completely first, and each event of a stream, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Maximum time between two chunks of a backend server's response, and maximum time in which a
    /// caller accepts no byte of a response, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Time that open requests have to end in a planned stop, counted from when the host accepts no
    /// further connections, in milliseconds. Requests that have not ended by then are aborted.
    pub drain_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            held_body_bytes: 128 << 20,
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

/// Log output.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lowest severity that is logged: `error`, `warn`, `info` or `debug`.
    pub level: CompactString,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: CompactString::const_new("info"),
        }
    }
}
