//! Identifiers of hosts, backend servers, services, failure domains, workspaces and requests: small
//! `Copy` values that stand for names in decisions and messages.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! name_hash_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Derives the ID from the name that the platform assigns, by hashing.
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

name_hash_id! {
    /// An entry host: a host that accepts requests. Hash of its name in the host list.
    HostId
}
name_hash_id! {
    /// A backend server: a server that runs requests. Hash of its name in the host list.
    ServerId
}
name_hash_id! {
    /// A service that backend servers offer: a model, or a plain HTTP service. Hash of its name.
    ServiceId
}
name_hash_id! {
    /// A failure domain: hosts and servers that can fail together. Hash of its name.
    DomainId
}

/// A workspace (customer). The configuration assigns the number when the workspace is created, and
/// never reuses it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkspaceId(pub u32);

impl fmt::Display for WorkspaceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies one start of the process on a host: wall-clock time of that start, in microseconds.
/// A restarted process has a higher value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// A request, identified by the gateway (the part of an entry host that accepts requests) that
/// accepted it and a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The host that accepted the request.
    pub gateway: HostId,
    /// Number of the request on that host. Each incarnation of the host starts counting at its own
    /// value in microseconds, so that the numbers of two incarnations never overlap as long as the
    /// host accepts fewer than one request per microsecond.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.gateway, self.sequence)
    }
}
