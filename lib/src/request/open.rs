//! An accepted request and its state.
//!
//! The gateway, which is the host that accepted the request, sends a bid for it to a scheduler. The
//! scheduler answers with a grant of a backend server. Unless the capacity of the server has been
//! learnt, the grant is for one slot, a numbered unit of the server's limit on concurrent requests.

use crate::control::RequestSpec;
use crate::id::HostId;
use crate::message::Grant;
use crate::pool::PoolKey;
use crate::time::Timestamp;

/// A request that has been accepted and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    /// Service, workspace, cost estimate and deadline.
    pub spec: RequestSpec,
    /// Current state.
    pub state: RequestState,
}

/// State of an accepted request between its bid and its end. A server is warm once its capacity has
/// been learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its bid is queued at a scheduler.
    Waiting {
        /// Shard that the scheduler is responsible for: one service in one failure domain.
        pool: PoolKey,
        /// Host of the scheduler.
        scheduler: HostId,
    },
    /// It has a grant for a server that is not warm, and has asked the home host of the granted
    /// slot for a permit. A home host permits each of its slots to one request at a time.
    AwaitingPermit {
        /// The grant.
        grant: Grant,
        /// Scheduler that sent the grant.
        scheduler: HostId,
        /// Home host of the slot.
        home: HostId,
        /// When the grant expires. Without a permit by then, it is returned and a new bid is sent.
        expires_at: Timestamp,
    },
    /// Its grant could not be used, for example because the permit was refused. The grant is held
    /// for a short time before it is returned, so that scheduler and gateway do not send it back
    /// and forth in a tight loop.
    BackingOff {
        /// The grant.
        grant: Grant,
        /// Scheduler that sent the grant.
        scheduler: HostId,
        /// When the grant is returned and a new bid is sent.
        return_at: Timestamp,
    },
    /// It has been passed to the traffic threads, which send it to the server.
    Dispatched {
        /// The grant.
        grant: Grant,
        /// Home host that permitted the slot, if the server was not warm.
        home: Option<HostId>,
        /// Cost so far, in the unit of the service: tokens for a model, microseconds of server time
        /// for a service of any other kind.
        cost: u64,
    },
}
