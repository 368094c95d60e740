//! Requests of a shard that were granted and have not ended, and their charges by workspace.
//!
//! A shard is the set of backend servers of one service in one failure domain. A grant of its
//! scheduler permits a gateway, the part of a host that accepts callers' requests, to dispatch one
//! request to one server. From the grant on, the request is charged to its workspace: its estimated
//! cost is added to the counter by which the scheduler orders the workspaces.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::WorkspaceId;
use crate::message::Grant;
use crate::time::Timestamp;

/// Progress of a granted request, as far as the scheduler knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InFlightState {
    /// The gateway may dispatch the request until `expires_at`.
    Granted {
        /// Grant that was sent, kept to be sent again if it is lost.
        grant: Grant,
        /// Time by which the gateway must have dispatched the request.
        expires_at: Timestamp,
    },
    /// The gateway has reported that the request runs.
    Running,
}

/// A request that occupies capacity of its server until its end is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) server: ServerId,
    /// Cost charged to the workspace until the final cost is known, in the unit of the service: the
    /// estimate, or the cost so far if that is higher.
    pub(crate) charge: u64,
    pub(crate) state: InFlightState,
}

/// Sum of charges, and number, of the requests in flight of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) charge: u64,
    pub(crate) count: u64,
}

/// Granted and running requests of a shard, by request ID.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    /// Sums over `requests`, kept up to date because the fair order needs them for every grant.
    loads: BTreeMap<WorkspaceId, Load>,
}

impl InFlightTable {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&request)
    }

    pub(crate) fn load(&self, workspace: WorkspaceId) -> Load {
        self.loads.get(&workspace).copied().unwrap_or_default()
    }

    /// Workspaces with requests in flight, in ascending order.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = WorkspaceId> {
        self.loads.keys().copied()
    }

    pub(crate) fn insert(&mut self, in_flight: InFlightRequest) {
        self.remove(in_flight.request);
        let load = self.loads.entry(in_flight.workspace).or_default();
        load.charge = load.charge.saturating_add(in_flight.charge);
        load.count += 1;
        self.requests.insert(in_flight.request, in_flight);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<InFlightRequest> {
        let in_flight = self.requests.remove(&request)?;
        if let Some(load) = self.loads.get_mut(&in_flight.workspace) {
            load.charge = load.charge.saturating_sub(in_flight.charge);
            load.count -= 1;
            if load.count == 0 {
                self.loads.remove(&in_flight.workspace);
            }
        }
        Some(in_flight)
    }

    /// Records that a request runs and has cost `cost` so far. The charge never decreases.
    pub(crate) fn progress(&mut self, request: RequestId, cost: u64) {
        if let Some(mut in_flight) = self.remove(request) {
            in_flight.charge = in_flight.charge.max(cost);
            in_flight.state = InFlightState::Running;
            self.insert(in_flight);
        }
    }

    /// Requests in flight that were accepted by `gateway`.
    pub(crate) fn of_gateway(&self, gateway: HostId) -> Vec<InFlightRequest> {
        let first = RequestId {
            gateway,
            sequence: 0,
        };
        let last = RequestId {
            gateway,
            sequence: u64::MAX,
        };
        self.requests
            .range(first..=last)
            .map(|(_, in_flight)| *in_flight)
            .collect()
    }
}
