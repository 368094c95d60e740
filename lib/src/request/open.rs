//! One accepted request.

use crate::control::RequestSpec;
use crate::id::HostId;
use crate::message::Grant;
use crate::pool::PoolKey;
use crate::time::Timestamp;

/// A request that has been accepted and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    /// What the caller asked for.
    pub spec: RequestSpec,
    /// Where the request stands.
    pub state: RequestState,
}

/// Where an accepted request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its bid waits at a scheduler.
    Waiting {
        /// Shard of the scheduler.
        pool: PoolKey,
        /// Host of the scheduler.
        scheduler: HostId,
    },
    /// It has a grant for a slot that the home host must permit.
    AwaitingPermit {
        /// The grant.
        grant: Grant,
        /// Scheduler that gave it.
        scheduler: HostId,
        /// Home host of the slot.
        home: HostId,
        /// When the grant lapses.
        expires_at: Timestamp,
    },
    /// Its grant could not be used, and is held for a moment before it is given back so that
    /// scheduler and gateway do not exchange it without pause.
    BackingOff {
        /// The grant.
        grant: Grant,
        /// Scheduler that gave it.
        scheduler: HostId,
        /// When the grant is given back.
        return_at: Timestamp,
    },
    /// It has been passed to the traffic threads for dispatch.
    Dispatched {
        /// The grant.
        grant: Grant,
        /// Home host of the permitted slot, if the server was not warm.
        home: Option<HostId>,
        /// Cost so far, in the unit of the service.
        cost: u64,
    },
}
