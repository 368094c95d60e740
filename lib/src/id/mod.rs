//! Small `Copy` keys of the things that the fleet reasons about.

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
            /// Derives the key from the name that the platform gives.
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
    /// An entry host, by the hash of its name in the host list.
    HostId
}
name_hash_id! {
    /// A backend server, by the hash of its name in the host list.
    ServerId
}
name_hash_id! {
    /// A model or plain service, by the hash of its name.
    ServiceId
}
name_hash_id! {
    /// A failure domain, by the hash of its name.
    DomainId
}

/// A workspace, numbered by the configuration when it is created and never reused.
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

/// Distinguishes the lives of one host: microseconds of wall-clock time at its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// A request accepted by a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The host that accepted the request.
    pub gateway: HostId,
    /// Number within the host. A life of the host starts counting at its incarnation, so that
    /// numbers of two lives never meet.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.gateway, self.sequence)
    }
}
