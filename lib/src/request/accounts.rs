//! Cumulative costs and server states that a gateway has recorded from its requests.
//!
//! The gateway of a request is the host that accepted it. A scheduler grants the request a backend
//! server, and the grant also tells the server's phase and its limit on concurrent requests. A cold
//! server is one of which no limit is learnt yet.
//!
//! Each gateway announces these records to the schedulers. A new scheduler rebuilds from them its
//! ledger, by which it shares the servers fairly among workspaces, and the states of its backend
//! servers.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::ServerId;
use crate::id::ServiceId;
use crate::id::WorkspaceId;
use crate::message::EndOutcome;
use crate::message::Grant;
use crate::message::ServerPhase;
use crate::message::ServerSight;
use crate::message::TotalCell;

/// Cumulative cost of each workspace, and the last observed state of each backend server.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    totals: BTreeMap<(ServiceId, WorkspaceId), Total>,
    /// Number of charges since the host started; each dispatched request that ends is one charge.
    charges: u64,
    /// Phase and limit of each server in the latest grant, corrected by the ends of requests since.
    observations: BTreeMap<(ServiceId, ServerId), ServerSight>,
}

/// Cumulative cost of a workspace on a service.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    cost: u64,
    /// Number of the latest charge that raised the cost, counted over all totals.
    last_charge: u64,
}

impl Accounts {
    /// Number of charges so far. Passed to [`changed_totals`](Self::changed_totals) later, it
    /// selects the totals that changed in between.
    pub fn charges(&self) -> u64 {
        self.charges
    }

    /// Adds the cost of an ended request, in the unit of the service, to the total of its workspace
    /// and returns the new total.
    pub fn charge(&mut self, service: ServiceId, workspace: WorkspaceId, cost: u64) -> u64 {
        self.charges += 1;
        let total = self.totals.entry((service, workspace)).or_default();
        total.cost = total.cost.saturating_add(cost);
        total.last_charge = self.charges;
        total.cost
    }

    /// Records the phase and limit of a server that a grant carries.
    pub fn record_grant(&mut self, grant: &Grant) {
        let observation = ServerSight {
            server: grant.server,
            instance: grant.instance,
            phase: grant.phase,
            limit: grant.limit,
        };
        self.observations
            .insert((grant.service, grant.server), observation);
    }

    /// Updates the observed state of a server with the end of a request. After a failure, a
    /// rejection or a restart the server is taken to be cold with a limit of one. `instance` is a
    /// hash of the server's instance name, zero if unknown; it changes when the server restarts.
    pub fn record_end(
        &mut self,
        service: ServiceId,
        server: ServerId,
        outcome: EndOutcome,
        instance: u64,
    ) {
        let Some(observation) = self.observations.get_mut(&(service, server)) else {
            return;
        };
        let failed = matches!(outcome, EndOutcome::Failed | EndOutcome::Rejected);
        let restarted =
            instance != 0 && observation.instance != 0 && observation.instance != instance;
        if failed || restarted {
            observation.phase = ServerPhase::Cold;
            observation.limit = 1;
        }
        if instance != 0 {
            observation.instance = instance;
        }
    }

    /// Last observed states of the servers of a service.
    pub fn observations(&self, service: ServiceId) -> impl Iterator<Item = ServerSight> + '_ {
        self.observations
            .range((service, ServerId(0))..=(service, ServerId(u64::MAX)))
            .map(|(_, observation)| *observation)
    }

    /// Totals of a service that changed after the charge numbered `since`.
    ///
    /// Each total becomes a cell of the schedulers' replicated cost ledger, identified by the
    /// gateway `origin`, its incarnation (which rises with each restart) and the workspace.
    pub fn changed_totals(
        &self,
        service: ServiceId,
        since: u64,
        origin: HostId,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = TotalCell> + '_ {
        self.totals
            .range((service, WorkspaceId(0))..=(service, WorkspaceId(u32::MAX)))
            .filter(move |(_, total)| total.last_charge > since)
            .map(move |((_, workspace), total)| TotalCell {
                origin,
                incarnation,
                workspace: *workspace,
                cost: total.cost,
            })
    }
}
