//! Granted and running requests of a shard.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::id::WorkspaceId;
use crate::message::Grant;
use crate::time::Timestamp;

/// What is known of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlightState {
    /// Granted. The gateway may dispatch it before `lapses`.
    Granted {
        /// The grant that was sent.
        grant: Grant,
        /// Deadline of the grant.
        lapses: Timestamp,
    },
    /// The gateway has said that it runs.
    Running,
}

/// A request that counts against its server until its end is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) request: RequestId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) server: ServerId,
    /// Cost that is charged until the true cost is known.
    pub(crate) charge: u64,
    pub(crate) state: FlightState,
}

/// Charges and number of the flights of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) charge: u64,
    pub(crate) count: u64,
}

/// Granted and running requests of a shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flights {
    flights: BTreeMap<RequestId, Flight>,
    loads: BTreeMap<WorkspaceId, Load>,
}

impl Flights {
    pub(crate) fn len(&self) -> usize {
        self.flights.len()
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Flight> {
        self.flights.get(&request)
    }

    pub(crate) fn load(&self, workspace: WorkspaceId) -> Load {
        self.loads.get(&workspace).copied().unwrap_or_default()
    }

    /// Workspaces with flights, in ascending order.
    pub(crate) fn workspaces(&self) -> impl Iterator<Item = WorkspaceId> {
        self.loads.keys().copied()
    }

    pub(crate) fn insert(&mut self, flight: Flight) {
        self.remove(flight.request);
        let load = self.loads.entry(flight.workspace).or_default();
        load.charge = load.charge.saturating_add(flight.charge);
        load.count += 1;
        self.flights.insert(flight.request, flight);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Flight> {
        let flight = self.flights.remove(&request)?;
        if let Some(load) = self.loads.get_mut(&flight.workspace) {
            load.charge = load.charge.saturating_sub(flight.charge);
            load.count -= 1;
            if load.count == 0 {
                self.loads.remove(&flight.workspace);
            }
        }
        Some(flight)
    }

    /// Notes that a request runs and has cost `cost` so far.
    pub(crate) fn progress(&mut self, request: RequestId, cost: u64) {
        if let Some(mut flight) = self.remove(request) {
            flight.charge = flight.charge.max(cost);
            flight.state = FlightState::Running;
            self.insert(flight);
        }
    }

    /// Requests of a gateway.
    pub(crate) fn of_gateway(&self, gateway: HostId) -> Vec<Flight> {
        let first = RequestId {
            gateway,
            sequence: 0,
        };
        let last = RequestId {
            gateway,
            sequence: u64::MAX,
        };
        self.flights
            .range(first..=last)
            .map(|(_, flight)| *flight)
            .collect()
    }
}
