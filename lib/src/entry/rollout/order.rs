//! An operator's order to move the traffic of a service to another software version.

use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use super::super::source::StoreRevision;
use super::super::stream_origins::VersionId;
use crate::time::Timestamp;

/// What a roll-out may cost callers if the version is bad. Without these bounds roll-outs are off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Largest fraction of the requests of a service that a bad version may get between the order and
    /// its deadline, in addition to `exposure_slack`.
    pub exposure_share: f64,
    /// Requests that a bad version may get in addition to `exposure_share`.
    pub exposure_slack: f64,
    /// Time after the 50th bad response from which a bad version gets nothing more.
    pub rollback: Duration,
}

/// State of a roll-out, as its status in the store says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The order has no status yet.
    Ordered,
    /// Part of the requests may go to the target version.
    InProgress,
    /// The target version serves all requests. Never changes again.
    Completed,
    /// The target version serves no requests. Never changes again.
    Reverted,
}

impl RolloutState {
    /// Whether the state never changes again for its order.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }

    /// Name of the state in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::InProgress => "in progress",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }
}

/// An operator's order to move the traffic of a service to a software version.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Name of the service.
    pub service: CompactString,
    /// Hash of the name of the service.
    pub service_hash: u64,
    /// Name of the version that is rolled out.
    pub target_name: CompactString,
    /// The version that is rolled out.
    pub target: VersionId,
    /// Hash of service, target and the revision at which the order was written. A later order for the
    /// same target has another one.
    pub identity: u64,
    /// Time from the order until its deadline.
    pub duration: Duration,
    /// State in the store.
    pub state: RolloutState,
    /// When this host learned of the order.
    pub learned_at: Timestamp,
}

impl Order {
    /// An order that was written at `revision` and has no status yet. `revision` is that of the last
    /// change of the order itself, not of its status.
    pub fn new(
        service: &str,
        target: &str,
        revision: StoreRevision,
        duration: Duration,
        learned_at: Timestamp,
    ) -> Self {
        let version = VersionId::new(service, target);
        let mut hasher = Xxh3::new();
        hasher.update(&version.0.to_le_bytes());
        hasher.update(&revision.era.to_le_bytes());
        hasher.update(&revision.number.to_le_bytes());
        Self {
            service: service.into(),
            service_hash: xxh3_64(service.as_bytes()),
            target_name: target.into(),
            target: version,
            identity: hasher.digest(),
            duration,
            state: RolloutState::Ordered,
            learned_at,
        }
    }
}
