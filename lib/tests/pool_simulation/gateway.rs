//! A simulated gateway that follows the protocol between gateways, schedulers and slot homes.
//!
//! It sends a bid for each waiting request to the scheduler of its own host. The scheduler answers
//! with a grant, which names a server. If that server is not warm, the gateway also asks a slot
//! home for a permit before it dispatches the request. It reports the end of each request.

use std::collections::BTreeMap;
use std::time::Duration;

use cardamomshift_lib::id::HostId;
use cardamomshift_lib::id::Incarnation;
use cardamomshift_lib::id::RequestId;
use cardamomshift_lib::id::ServerId;
use cardamomshift_lib::id::WorkspaceId;
use cardamomshift_lib::message::Announcement;
use cardamomshift_lib::message::Bid;
use cardamomshift_lib::message::EndOutcome;
use cardamomshift_lib::message::Finished;
use cardamomshift_lib::message::Grant;
use cardamomshift_lib::message::GrantReturn;
use cardamomshift_lib::message::PeerMessage;
use cardamomshift_lib::message::PermitAnswer;
use cardamomshift_lib::message::PermitRelease;
use cardamomshift_lib::message::PermitRequest;
use cardamomshift_lib::message::Refusal;
use cardamomshift_lib::message::Running;
use cardamomshift_lib::message::ServerPhase;
use cardamomshift_lib::message::ServerSight;
use cardamomshift_lib::message::TotalCell;
use cardamomshift_lib::message::Withdrawal;
use cardamomshift_lib::permit::slot_home;
use cardamomshift_lib::time::Timestamp;

use super::SERVICE;
use super::Simulation;

/// Time to the first byte of the response that the gateway reports for every request.
const FIRST_BYTE_US: u64 = 20_000;

/// A request of a caller. It runs for 1 ms per unit of its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) workspace: u32,
    /// Cost that the gateway states in its bids.
    pub(crate) estimate: u64,
    pub(crate) cost: u64,
    /// Time from the submission until the request must have started.
    pub(crate) max_wait: Duration,
}

/// A request that waits for a grant or a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) spec: RequestSpec,
    deadline: Timestamp,
    /// Host of the granting scheduler, grant, and expiry of the grant.
    granted: Option<(HostId, Grant, Timestamp)>,
}

/// A request that was dispatched to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) spec: RequestSpec,
    pub(crate) server: ServerId,
    pub(crate) started: Timestamp,
    ends: Timestamp,
    grant: Grant,
    /// Host of the scheduler that granted the request.
    from: HostId,
    /// Whether the server fails the request, because it runs more than its capacity or is set to
    /// fail every request.
    overloaded: bool,
}

#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    pub(crate) running: BTreeMap<RequestId, RunningRequest>,
    pub(crate) ended: BTreeMap<RequestId, RequestSpec>,
    pub(crate) refused: Vec<Refusal>,
    /// Total cost of the dispatched requests of each workspace.
    pub(crate) service: BTreeMap<u32, u64>,
    pub(crate) returned_grants: u64,
    /// Total cost of the ended requests of each workspace.
    totals: BTreeMap<WorkspaceId, u64>,
    /// State of each server at the latest dispatch to it, announced to schedulers.
    sights: BTreeMap<ServerId, ServerSight>,
    last_sequence: u64,
}

impl Gateway {
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            incarnation: Incarnation(1),
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            refused: Vec::new(),
            service: BTreeMap::new(),
            returned_grants: 0,
            totals: BTreeMap::new(),
            sights: BTreeMap::new(),
            last_sequence: 1,
        }
    }

    pub(crate) fn waiting_of(&self, workspace: u32) -> usize {
        let pending = self.pending.values();
        pending
            .filter(|pending| pending.spec.workspace == workspace)
            .count()
    }

    pub(crate) fn submit(&mut self, sim: &mut Simulation, spec: RequestSpec) {
        self.last_sequence += 1;
        let request = RequestId {
            gateway: self.host,
            sequence: self.last_sequence,
        };
        let pending = PendingRequest {
            spec,
            deadline: sim.now + spec.max_wait,
            granted: None,
        };
        self.pending.insert(request, pending);
        let bid = bid_of(request, &pending, sim.now);
        sim.send(self.host, self.host, PeerMessage::Bid(bid));
    }

    /// Sends all bids again. Gives up requests that are 1 s past their deadline, and forgets
    /// expired grants.
    pub(crate) fn resend_bids(&mut self, sim: &mut Simulation) {
        let now = sim.now;
        self.pending.retain(|_, pending| {
            let drop_at = pending.deadline + Duration::from_secs(1);
            !drop_at.has_passed(now)
        });
        for (request, pending) in &mut self.pending {
            if pending
                .granted
                .is_some_and(|(_, _, expires_at)| expires_at.has_passed(now))
            {
                pending.granted = None;
            }
            let bid = bid_of(*request, pending, now);
            sim.send(self.host, self.host, PeerMessage::Bid(bid));
        }
    }

    pub(crate) fn on_grant(&mut self, sim: &mut Simulation, from: HostId, grant: Grant) {
        let known = self.running.get(&grant.request);
        if known.is_some_and(|run| run.server == grant.server) {
            return;
        }
        let expires_at = sim.now + Duration::from_micros(grant.remaining_us);
        let Some(pending) = self.pending.get_mut(&grant.request) else {
            self.return_grant(sim, from, grant);
            return;
        };
        if pending
            .granted
            .is_some_and(|(_, known, _)| known.server != grant.server)
        {
            self.return_grant(sim, from, grant);
            return;
        }
        pending.granted = Some((from, grant, expires_at));
        if grant.phase == ServerPhase::Warm {
            self.dispatch(sim, grant.request);
        } else if let Some(home) = self.home_of(sim, &grant) {
            let req = PermitRequest {
                request: grant.request,
                server: grant.server,
                slot: grant.slot,
            };
            sim.send(self.host, home, PeerMessage::PermitRequest(req));
        }
    }

    pub(crate) fn on_permit_answer(&mut self, sim: &mut Simulation, answer: PermitAnswer) {
        let pending = self.pending.get_mut(&answer.request);
        let granted = pending.as_ref().and_then(|pending| pending.granted);
        let current = granted
            .filter(|(_, grant, _)| (grant.server, grant.slot) == (answer.server, answer.slot));
        let Some((from, grant, expires_at)) = current else {
            let runs = self.running.contains_key(&answer.request);
            if answer.granted && !runs {
                self.release(sim, answer.request, answer.server, answer.slot);
            }
            return;
        };
        if answer.granted && !expires_at.has_passed(sim.now) {
            self.dispatch(sim, answer.request);
            return;
        }
        if let Some(pending) = pending {
            pending.granted = None;
        }
        if answer.granted {
            self.release(sim, answer.request, answer.server, answer.slot);
        }
        self.return_grant(sim, from, grant);
        if let Some(pending) = self.pending.get(&answer.request) {
            let bid = bid_of(answer.request, pending, sim.now);
            sim.send(self.host, self.host, PeerMessage::Bid(bid));
        }
    }

    pub(crate) fn on_refusal(&mut self, refusal: Refusal) {
        if self.pending.remove(&refusal.request).is_some() {
            self.refused.push(refusal);
        }
    }

    /// Ends the requests whose run time is over.
    pub(crate) fn finish_due(&mut self, sim: &mut Simulation) {
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends.has_passed(sim.now))
            .map(|(request, run)| (*request, *run))
            .collect();
        for (request, run) in due {
            self.end(sim, request, run);
        }
    }

    /// Announces the gateway's state to all schedulers and slot homes, to the latter without delay
    /// or loss.
    pub(crate) fn announce(&mut self, sim: &mut Simulation) {
        let hosts: Vec<_> = sim.schedulers.keys().copied().collect();
        for to in hosts {
            let announcement = self.announcement(sim, to);
            sim.send(self.host, to, PeerMessage::Announcement(announcement));
        }
        let now = sim.now;
        let held: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.grant.phase != ServerPhase::Warm)
            .map(|(request, run)| (*request, run.server, run.grant.slot))
            .collect();
        for home in sim.homes.values_mut() {
            home.announced(now, self.host, self.incarnation, 0, held.iter().copied());
        }
    }

    fn announcement(&self, sim: &Simulation, to: HostId) -> Announcement {
        let is_own_host = to == self.host;
        let pending = self.pending.iter().filter(|_| is_own_host);
        let in_shard = |server: ServerId| sim.servers[&server].domain == sim.domains[&to];
        let running = self.running.iter().filter(|(_, run)| in_shard(run.server));
        let totals = self.totals.iter();
        Announcement {
            service: SERVICE,
            domain: sim.domains[&to],
            bids: pending
                .map(|(request, pending)| bid_of(*request, pending, sim.now))
                .collect(),
            running: running
                .map(|(request, run)| Running {
                    request: *request,
                    workspace: WorkspaceId(run.spec.workspace),
                    server: run.server,
                    estimate: run.spec.estimate,
                    cost: 0,
                })
                .collect(),
            sights: self
                .sights
                .values()
                .copied()
                .filter(|s| in_shard(s.server))
                .collect(),
            totals: totals
                .map(|(workspace, cost)| TotalCell {
                    origin: self.host,
                    incarnation: self.incarnation,
                    workspace: *workspace,
                    cost: *cost,
                })
                .collect(),
        }
    }

    fn dispatch(&mut self, sim: &mut Simulation, request: RequestId) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let Some((from, grant, _)) = pending.granted else {
            return;
        };
        assert!(!self.ended.contains_key(&request), "request ran twice");
        let server = sim.servers.get_mut(&grant.server).expect("granted server");
        server.running += 1;
        server.peak_running = server.peak_running.max(server.running);
        server.dispatched += 1;
        let overloaded = server.running > server.capacity;
        server.overloaded += u64::from(overloaded);
        let sight = ServerSight {
            server: grant.server,
            instance: server.instance,
            phase: grant.phase,
            limit: grant.limit,
        };
        let failing = server.failing;
        self.sights.insert(grant.server, sight);
        let run = RunningRequest {
            spec: pending.spec,
            server: grant.server,
            started: sim.now,
            ends: sim.now + Duration::from_millis(pending.spec.cost),
            grant,
            from,
            overloaded: overloaded || failing,
        };
        self.running.insert(request, run);
        *self.service.entry(pending.spec.workspace).or_default() += pending.spec.cost;
        if from != self.host {
            let withdrawal = Withdrawal {
                request,
                service: SERVICE,
            };
            sim.send(self.host, self.host, PeerMessage::Withdrawal(withdrawal));
        }
    }

    fn end(&mut self, sim: &mut Simulation, request: RequestId, run: RunningRequest) {
        self.running.remove(&request);
        self.ended.insert(request, run.spec);
        let workspace = WorkspaceId(run.spec.workspace);
        let total = self.totals.entry(workspace).or_default();
        *total += run.spec.cost;
        let total = *total;
        let server = sim.servers.get_mut(&run.server).expect("server");
        server.running -= 1;
        let outcome = if run.overloaded {
            EndOutcome::Failed
        } else {
            EndOutcome::Complete
        };
        let finished = Finished {
            request,
            service: SERVICE,
            workspace,
            server: run.server,
            instance: server.instance,
            outcome,
            cost: run.spec.cost,
            first_byte_us: FIRST_BYTE_US,
            total,
        };
        sim.send(self.host, run.from, PeerMessage::Finished(finished));
        if run.grant.phase != ServerPhase::Warm {
            self.release(sim, request, run.server, run.grant.slot);
        }
    }

    fn release(&self, sim: &mut Simulation, request: RequestId, server: ServerId, slot: u32) {
        let hosts = sim.homes.keys().copied();
        if let Some(home) = slot_home(hosts, server, slot) {
            let release = PermitRelease {
                request,
                server,
                slot,
            };
            sim.send(self.host, home, PeerMessage::PermitRelease(release));
        }
    }

    fn home_of(&self, sim: &Simulation, grant: &Grant) -> Option<HostId> {
        slot_home(sim.homes.keys().copied(), grant.server, grant.slot)
    }

    /// Returns a grant that is not used.
    fn return_grant(&mut self, sim: &mut Simulation, to: HostId, grant: Grant) {
        self.returned_grants += 1;
        let grant_return = GrantReturn {
            request: grant.request,
            service: SERVICE,
            server: grant.server,
            unreachable: false,
        };
        sim.send(self.host, to, PeerMessage::GrantReturn(grant_return));
    }
}

fn bid_of(request: RequestId, pending: &PendingRequest, now: Timestamp) -> Bid {
    let remaining = pending.deadline.remaining(now).as_micros();
    Bid {
        request,
        service: SERVICE,
        workspace: WorkspaceId(pending.spec.workspace),
        estimate: pending.spec.estimate,
        remaining_us: u64::try_from(remaining).unwrap_or(u64::MAX),
        prefix: 0,
    }
}
